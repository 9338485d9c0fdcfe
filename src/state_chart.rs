//! State charts, read from data files and interpreted.
//!
//! A chart file names, for every state, what every event does: the next state, `ignore` for a
//! repeat without effect, or `refuse`. A file that leaves out a pair, or names a state or event
//! that the code does not know, is rejected when it is loaded.

use std::collections::BTreeMap;
use std::fmt::{Debug, Display};
use std::str::FromStr;

use serde::Deserialize;
use strum::IntoEnumIterator;

mod definitions;

pub use definitions::{
    DrainChart, DrainEvent, DrainState, LeaseChart, LeaseEvent, LeaseState, ReplicaChart,
    ReplicaEvent, ReplicaState, RequestChart, RequestEvent, RequestState,
};

/// A name of a state or an event.
pub trait ChartName:
    Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

impl<N> ChartName for N where
    N: Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

/// A kind of chart: its states, its events and its file.
pub trait ChartDefinition: Debug {
    /// States.
    type State: ChartName;
    /// Events.
    type Event: ChartName;
    /// Name of the chart in its file.
    const NAME: &'static str;
    /// Text of the chart's file.
    const TEXT: &'static str;
}

/// What an event does in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition<S> {
    /// Go to this state, which may be the same one.
    To(S),
    /// A repeat; nothing changes.
    Ignore,
    /// The event is not allowed in this state.
    Refuse,
}

/// Why a chart file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The file is no chart.
    #[error("chart {chart}: {cause}")]
    Malformed {
        /// Name of the chart.
        chart: String,
        /// What the reader found.
        cause: String,
    },
    /// A state or an event is not known to the code.
    #[error("chart {chart}: unknown name {name}")]
    UnknownName {
        /// Name of the chart.
        chart: String,
        /// Name that was found.
        name: String,
    },
    /// A state does not say what an event does.
    #[error("chart {chart}: no transition for {event} in {state}")]
    MissingTransition {
        /// Name of the chart.
        chart: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    chart: String,
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// What each event does in each state.
type Transitions<D> = BTreeMap<StateEvent<D>, Transition<<D as ChartDefinition>::State>>;

/// A state and an event.
type StateEvent<D> = (<D as ChartDefinition>::State, <D as ChartDefinition>::Event);

/// A checked chart.
#[derive(Debug, Clone)]
pub struct StateChart<D: ChartDefinition> {
    initial: D::State,
    transitions: Transitions<D>,
}

impl<D: ChartDefinition> StateChart<D> {
    /// Loads the chart that was built in.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the file does not cover every state and event.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::state_chart::{ReplicaChart, ReplicaEvent, ReplicaState, StateChart, Transition};
    ///
    /// let chart = StateChart::<ReplicaChart>::load()?;
    /// let next = chart.transition(ReplicaState::Loading, ReplicaEvent::Confirm);
    /// assert_eq!(next, Transition::To(ReplicaState::Ready));
    /// # Ok::<(), brassrack::state_chart::ChartError>(())
    /// ```
    pub fn load() -> Result<Self, ChartError> {
        Self::parse(D::TEXT)
    }

    /// Reads a chart from text.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the text does not cover every state and event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = serde_saphyr::from_str(text).map_err(|e| malformed::<D>(&e))?;
        if file.chart != D::NAME {
            return Err(malformed::<D>(&format!("found chart {}", file.chart)));
        }
        let mut transitions = BTreeMap::new();
        for (state, row) in &file.states {
            let state = parse_state::<D>(state)?;
            for (event, target) in row {
                let event = event
                    .parse::<D::Event>()
                    .ok()
                    .ok_or_else(|| unknown_name::<D>(event))?;
                transitions.insert((state, event), parse_transition::<D>(target)?);
            }
        }
        check_complete::<D>(&transitions)?;
        let initial = parse_state::<D>(&file.initial)?;
        Ok(Self {
            initial,
            transitions,
        })
    }

    /// State that everything starts in.
    #[must_use]
    pub const fn initial(&self) -> D::State {
        self.initial
    }

    /// What an event does in a state.
    #[must_use]
    pub fn transition(&self, state: D::State, event: D::Event) -> Transition<D::State> {
        self.transitions
            .get(&(state, event))
            .copied()
            .unwrap_or(Transition::Refuse)
    }
}

fn check_complete<D: ChartDefinition>(transitions: &Transitions<D>) -> Result<(), ChartError> {
    for state in D::State::iter() {
        for event in D::Event::iter() {
            if !transitions.contains_key(&(state, event)) {
                return Err(ChartError::MissingTransition {
                    chart: D::NAME.into(),
                    state: state.to_string(),
                    event: event.to_string(),
                });
            }
        }
    }
    Ok(())
}

fn parse_state<D: ChartDefinition>(name: &str) -> Result<D::State, ChartError> {
    name.parse::<D::State>()
        .ok()
        .ok_or_else(|| unknown_name::<D>(name))
}

fn parse_transition<D: ChartDefinition>(name: &str) -> Result<Transition<D::State>, ChartError> {
    match name {
        "ignore" => Ok(Transition::Ignore),
        "refuse" => Ok(Transition::Refuse),
        state => parse_state::<D>(state).map(Transition::To),
    }
}

fn malformed<D: ChartDefinition>(cause: &dyn Display) -> ChartError {
    ChartError::Malformed {
        chart: D::NAME.into(),
        cause: cause.to_string(),
    }
}

fn unknown_name<D: ChartDefinition>(name: &str) -> ChartError {
    ChartError::UnknownName {
        chart: D::NAME.into(),
        name: name.into(),
    }
}
