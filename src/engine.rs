//! Contract of the model engines.
//!
//! Over HTTP: `POST /v1/orders` takes an [`Order`] as JSON and answers 202, 409 with the cause
//! `stale-fence` where the engine checks fencing numbers, or 507 where memory is short; an order
//! with a known `op` is acknowledged again and not repeated. `GET /v1/report` answers a
//! [`Report`]. `POST /v1/chat/completions` runs a request; the engine echoes `x-request-id` and
//! answers 404 with `brassrack-verdict: not-run` where the model is not ready. A stream is whole
//! only after its `data: [DONE]` event.

use std::fmt::Debug;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::BoxFuture;

/// What an engine is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Fetch the checkpoint and make the model ready.
    Load,
    /// Finish running requests, then free the model's memory.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Operation id; the same order sent again carries the same one.
    pub op: String,
    /// Fencing number: an engine that checks refuses numbers below the highest seen.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// Model or adapter.
    pub model: String,
    /// Base model of an adapter.
    pub base: Option<String>,
    /// Memory that the replica takes, in bytes.
    pub bytes: u64,
}

/// State of a replica as its engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Residency {
    /// The checkpoint is on its way.
    Loading,
    /// Requests are served.
    Ready,
    /// No new requests; running ones finish.
    Unloading,
}

/// One replica in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Model or adapter.
    pub model: String,
    /// Operation id of the order that loads or loaded it.
    pub op: String,
    /// State.
    pub state: Residency,
    /// Memory taken, in bytes.
    pub bytes: u64,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the engine.
    pub queued: u32,
    /// Requests accepted since the replica became ready.
    #[serde(default)]
    pub served: u64,
}

/// What an engine reports of itself, with a lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Start counter or random id of the engine process; a new one means that all state is gone.
    pub boot: String,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Replicas in any state.
    pub residents: Vec<Resident>,
    /// Operation ids of recently failed loads.
    pub failed: Vec<String>,
    /// Models whose checkpoints lie on the endpoint's disk.
    pub cached: Vec<String>,
}

/// Why an order or a report failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The fencing number is older than one the engine has seen.
    #[error("engine refused a stale fencing number")]
    StaleFence,
    /// The engine has too little memory.
    #[error("engine has too little memory")]
    OutOfMemory,
    /// The engine could not be reached; the order surely did not arrive.
    #[error("engine is unreachable: {0}")]
    Unreachable(String),
    /// The answer was lost; the order may have taken effect.
    #[error("engine did not answer: {0}")]
    Unknown(String),
}

/// A model engine's orders and reports.
pub trait Engine: Debug + Send + Sync {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`EngineError::Unknown`] where the order may have taken effect.
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Fetches the engine's report.
    ///
    /// # Errors
    ///
    /// Any [`EngineError`] where the engine does not answer.
    fn report(&self, from: SocketAddr) -> BoxFuture<'_, Result<Report, EngineError>>;
}
