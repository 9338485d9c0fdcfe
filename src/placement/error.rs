//! Why a decision about a replica was not taken.

use crate::chart::{ReplicaEvent, ReplicaState};
use crate::commit::{CommitError, MalformedRow};

/// Why a decision was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlaceError {
    /// The server has too little memory that is not counted.
    #[error("server has too little free memory")]
    NoMemory,
    /// As many replicas as allowed exist, and none of them can serve soon.
    #[error("all allowed replicas are on their way out")]
    ReplicaLimit,
    /// The weight store's places are taken.
    #[error("weight store has no free place")]
    SlotsBusy,
    /// The engine restarted, and orders from before that may still arrive.
    #[error("server settles after a restart")]
    Settling,
    /// The adapter's base model is not ready on the server.
    #[error("base model is not ready on the server")]
    NoBase,
    /// Adapters on the server need the model.
    #[error("adapters on the server need the model")]
    InUse,
    /// The replica is not decided any more.
    #[error("replica is not decided")]
    Gone,
    /// The replica's state does not allow the event.
    #[error("{event} is not allowed for a replica that is {state}")]
    NotAllowed {
        /// State.
        state: ReplicaState,
        /// Event.
        event: ReplicaEvent,
    },
    /// The table service does not answer; nothing was decided.
    #[error("table service is down: {0}")]
    TableDown(String),
    /// The table service does not answer; the decision may stand.
    #[error("outcome of the decision is unknown: {0}")]
    Unknown(String),
    /// Other decisions were faster each time; nothing was decided.
    #[error("other decisions came first")]
    Raced,
    /// A row is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedRow),
}

impl From<CommitError> for PlaceError {
    fn from(e: CommitError) -> Self {
        match e {
            CommitError::Unavailable(cause) => Self::TableDown(cause),
            CommitError::Unknown(cause) => Self::Unknown(cause),
            CommitError::Contended => Self::Raced,
            CommitError::Malformed(m) => Self::Malformed(m),
        }
    }
}
