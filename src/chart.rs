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

mod kinds;

pub use kinds::{
    Drain, DrainEvent, DrainState, Lease, LeaseEvent, LeaseState, Replica, ReplicaEvent,
    ReplicaState, Request, RequestEvent, RequestState,
};

/// A name of a state or an event.
pub trait Name:
    Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

impl<N> Name for N where
    N: Copy + Ord + Debug + Display + FromStr + IntoEnumIterator + Send + Sync + 'static
{
}

/// A kind of chart: its states, its events and its file.
pub trait Kind: Debug {
    /// States.
    type State: Name;
    /// Events.
    type Event: Name;
    /// Name of the chart in its file.
    const NAME: &'static str;
    /// Text of the chart's file.
    const TEXT: &'static str;
}

/// What an event does in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move<S> {
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
    Missing {
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
struct File {
    chart: String,
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// What each event does in each state.
type Moves<K> = BTreeMap<Pair<K>, Move<<K as Kind>::State>>;

/// A state and an event.
type Pair<K> = (<K as Kind>::State, <K as Kind>::Event);

/// A checked chart.
#[derive(Debug, Clone)]
pub struct Chart<K: Kind> {
    initial: K::State,
    moves: Moves<K>,
}

impl<K: Kind> Chart<K> {
    /// Loads the chart that was built in.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the file does not cover every state and event.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::chart::{Chart, Move, Replica, ReplicaEvent, ReplicaState};
    ///
    /// let chart = Chart::<Replica>::load()?;
    /// let next = chart.step(ReplicaState::Loading, ReplicaEvent::Confirm);
    /// assert_eq!(next, Move::To(ReplicaState::Ready));
    /// # Ok::<(), brassrack::chart::ChartError>(())
    /// ```
    pub fn load() -> Result<Self, ChartError> {
        Self::parse(K::TEXT)
    }

    /// Reads a chart from text.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the text does not cover every state and event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: File = serde_saphyr::from_str(text).map_err(|e| malformed::<K>(&e))?;
        if file.chart != K::NAME {
            return Err(malformed::<K>(&format!("found chart {}", file.chart)));
        }
        let mut moves = BTreeMap::new();
        for (state, row) in &file.states {
            let state = state_named::<K>(state)?;
            for (event, target) in row {
                let event = event
                    .parse::<K::Event>()
                    .ok()
                    .ok_or_else(|| unknown::<K>(event))?;
                moves.insert((state, event), target_named::<K>(target)?);
            }
        }
        check_complete::<K>(&moves)?;
        let initial = state_named::<K>(&file.initial)?;
        Ok(Self { initial, moves })
    }

    /// State that everything starts in.
    #[must_use]
    pub const fn initial(&self) -> K::State {
        self.initial
    }

    /// What an event does in a state.
    #[must_use]
    pub fn step(&self, state: K::State, event: K::Event) -> Move<K::State> {
        self.moves
            .get(&(state, event))
            .copied()
            .unwrap_or(Move::Refuse)
    }
}

fn check_complete<K: Kind>(moves: &Moves<K>) -> Result<(), ChartError> {
    for state in K::State::iter() {
        for event in K::Event::iter() {
            if !moves.contains_key(&(state, event)) {
                return Err(ChartError::Missing {
                    chart: K::NAME.into(),
                    state: state.to_string(),
                    event: event.to_string(),
                });
            }
        }
    }
    Ok(())
}

fn state_named<K: Kind>(name: &str) -> Result<K::State, ChartError> {
    name.parse::<K::State>()
        .ok()
        .ok_or_else(|| unknown::<K>(name))
}

fn target_named<K: Kind>(name: &str) -> Result<Move<K::State>, ChartError> {
    match name {
        "ignore" => Ok(Move::Ignore),
        "refuse" => Ok(Move::Refuse),
        state => state_named::<K>(state).map(Move::To),
    }
}

fn malformed<K: Kind>(cause: &dyn Display) -> ChartError {
    ChartError::Malformed {
        chart: K::NAME.into(),
        cause: cause.to_string(),
    }
}

fn unknown<K: Kind>(name: &str) -> ChartError {
    ChartError::UnknownName {
        chart: K::NAME.into(),
        name: name.into(),
    }
}
