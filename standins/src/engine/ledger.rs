//! What the engine stand-in did.

use std::collections::BTreeMap;

use brassrack::engine::Order;
use serde::{Deserialize, Serialize};

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Accepted.
    Accepted,
    /// Accepted before under the same operation id; nothing was done.
    Known,
    /// Refused for an old fencing number.
    Stale,
    /// Refused for want of memory.
    Full,
}

/// An order as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// Milliseconds since the machine's boot.
    pub at: u64,
    /// The order.
    pub order: Order,
    /// What became of it.
    pub outcome: Outcome,
}

/// A step in a replica's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The memory was taken and the load began.
    Taken,
    /// The replica became ready.
    Ready,
    /// The load failed.
    Failed,
    /// The memory was freed.
    Freed,
}

/// A replica's step, with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Milliseconds since the machine's boot.
    pub at: u64,
    /// Model or adapter.
    pub model: String,
    /// Operation id of the load.
    pub op: String,
    /// What happened.
    pub step: Step,
    /// Memory of the replica, in bytes.
    pub bytes: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It still runs.
    Running,
    /// The whole answer was generated.
    Whole,
    /// The other side went away first.
    Cut,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Milliseconds since the machine's boot.
    pub at: u64,
    /// Id of the request.
    pub id: String,
    /// Model or adapter.
    pub model: String,
    /// Digest of the body.
    pub digest: String,
    /// How it ended.
    pub end: End,
}

/// What the engine did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Id of this start of the process.
    pub boot: String,
    /// Memory, in bytes.
    pub memory: u64,
    /// Most memory in use at once, in bytes.
    pub peak: u64,
    /// Most replicas of a model at once.
    pub replicas: BTreeMap<String, usize>,
    /// Most requests running at once.
    pub running: u32,
    /// Orders in the order of their arrival.
    pub orders: Vec<Ordered>,
    /// Loads and unloads.
    pub changes: Vec<Change>,
    /// Requests that ran.
    pub runs: Vec<Run>,
}
