//! Errors of replica placement.

use crate::commit::{CommitError, MalformedRow};
use crate::state_chart::{ReplicaEvent, ReplicaState};

/// Why a placement operation failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The server has too little unreserved memory.
    #[error("server has too little free memory")]
    NoMemory,
    /// The maximum number of replicas exists, and none of them is granted, loading or ready.
    #[error("replica limit is reached and all replicas are being removed")]
    ReplicaLimit,
    /// No load slot of the weight store is available.
    #[error("weight store has no free load slot")]
    SlotsBusy,
    /// The engine restarted, and orders from before the restart may still arrive.
    #[error("engine restarted and orders from before may still arrive")]
    Settling,
    /// The adapter's base model is not ready on the server.
    #[error("base model is not ready on the server")]
    BaseNotReady,
    /// Adapters on the server use the model as their base.
    #[error("adapters on the server use the model as their base")]
    InUse,
    /// The replica is no longer assigned to the server.
    #[error("replica is not assigned to the server")]
    NotAssigned,
    /// The replica's state does not allow the event.
    #[error("{event} is not allowed for a replica that is {state}")]
    NotAllowed {
        /// State of the replica.
        state: ReplicaState,
        /// Event that was refused.
        event: ReplicaEvent,
    },
    /// The table service does not answer; nothing was committed.
    #[error("table service is down: {0}")]
    TableDown(String),
    /// The table service does not answer; the transaction may have been committed.
    #[error("outcome of the transaction is unknown: {0}")]
    OutcomeUnknown(String),
    /// Concurrent transactions won every attempt; nothing was committed.
    #[error("concurrent transactions won every attempt")]
    Contended,
    /// A row in the table service is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedRow),
}

impl From<CommitError> for PlacementError {
    fn from(e: CommitError) -> Self {
        match e {
            CommitError::Unavailable(cause) => Self::TableDown(cause),
            CommitError::Unknown(cause) => Self::OutcomeUnknown(cause),
            CommitError::Contended => Self::Contended,
            CommitError::Malformed(m) => Self::Malformed(m),
        }
    }
}
