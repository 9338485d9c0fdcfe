//! State machines whose transitions are defined in chart files.
//!
//! A chart file defines the effect of every event in every state: the next state, `ignore` for a
//! duplicate without effect, or `refuse`. A file that omits a pair of state and event, or names one
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

/// A state or an event, as named in a chart file.
pub trait ChartName:
    Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

impl<N> ChartName for N where
    N: Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

/// Defines the states, the events and the file of a chart.
pub trait ChartDefinition: Debug {
    /// States of the chart.
    type State: ChartName;
    /// Events of the chart.
    type Event: ChartName;
    /// Name of the chart, as in its file.
    const NAME: &'static str;
    /// Contents of the chart file.
    const TEXT: &'static str;
}

/// Effect of an event in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition<S> {
    /// The next state, which may be the current one.
    To(S),
    /// A duplicate event; the state does not change.
    Ignore,
    /// The event is not allowed in this state.
    Refuse,
}

/// Why a chart file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The file is not a valid chart.
    #[error("chart {chart}: {cause}")]
    Malformed {
        /// Name of the chart.
        chart: String,
        /// Error of the parser.
        cause: String,
    },
    /// The file names a state or an event that the code does not know.
    #[error("chart {chart}: unknown name {name}")]
    UnknownName {
        /// Name of the chart.
        chart: String,
        /// The unknown name.
        name: String,
    },
    /// The file does not define the effect of an event in a state.
    #[error("chart {chart}: no transition for {event} in {state}")]
    MissingTransition {
        /// Name of the chart.
        chart: String,
        /// State without the transition.
        state: String,
        /// Event without a transition.
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

/// Effect of each event in each state.
type Transitions<D> = BTreeMap<StateEvent<D>, Transition<<D as ChartDefinition>::State>>;

type StateEvent<D> = (<D as ChartDefinition>::State, <D as ChartDefinition>::Event);

/// A chart that defines the effect of every event in every state.
#[derive(Debug, Clone)]
pub struct StateChart<D: ChartDefinition> {
    initial: D::State,
    transitions: Transitions<D>,
}

impl<D: ChartDefinition> StateChart<D> {
    /// Loads the chart file that was compiled in.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the file is not a chart or does not cover every state and event.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::state_chart::{
    ///     ReplicaChart, ReplicaEvent, ReplicaState, StateChart, Transition,
    /// };
    ///
    /// let chart = StateChart::<ReplicaChart>::load()?;
    /// let next = chart.transition(ReplicaState::Loading, ReplicaEvent::Confirm);
    /// assert_eq!(next, Transition::To(ReplicaState::Ready));
    /// # Ok::<(), brassrack::state_chart::ChartError>(())
    /// ```
    pub fn load() -> Result<Self, ChartError> {
        Self::parse(D::TEXT)
    }

    /// Parses the contents of a chart file.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the text is not a chart or does not cover every state and event.
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

    /// The initial state.
    #[must_use]
    pub const fn initial(&self) -> D::State {
        self.initial
    }

    /// The effect of an event in a state.
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
