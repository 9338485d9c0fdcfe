//! Loads from the weight store, as the lease holder tells them to its possible successors.
//!
//! Loads from disks end before a successor plans.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use prost::Message;

/// A load of a model from the weight store that an engine has accepted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EngineLoad {
    /// Id of the engine's incarnation.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start of the incarnation, in Unix milliseconds; 0 where unknown.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Model that it loads.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Number of orders that the engine has accepted with this one.
    #[prost(uint64, tag = "4")]
    pub accepted_orders: u64,
    /// Expected time to the end, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub left_ms: u32,
}

/// All loads from the weight store that engines carry out.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadsNotice {
    /// The loads, by engine.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<EngineLoad>,
}

impl LoadsNotice {
    /// Digests of the loads, which say whether an update is needed.
    #[must_use]
    pub fn ids(&self) -> Vec<u64> {
        let digest = |load: &EngineLoad| {
            let mut hasher = DefaultHasher::new();
            (&load.engine, load.started_ms, &load.model).hash(&mut hasher);
            hasher.finish()
        };
        self.loads.iter().map(digest).collect()
    }
}

/// Loads that the lease holder told last.
#[derive(Debug, Clone, Default)]
pub struct ToldLoads {
    /// The loads.
    pub notice: LoadsNotice,
    /// When they were told.
    pub heard_at: Duration,
}
