//! Models and adapters of a replay.

use std::time::Duration;

use brassrack::policy::key::ModelKey;
use brassrack::policy::{ModelProfile, Policy};

use super::arrivals::Spec;

/// State of a model's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Absent,
    /// Memory is reserved; the load waits for a slot.
    Queued,
    /// Ready at this time.
    Loading(Duration),
    Ready,
}

/// A model or adapter in the replay.
#[derive(Debug, Clone)]
pub(super) struct Unit {
    pub(super) key: ModelKey,
    pub(super) spec: Spec,
    pub(super) state: State,
    pub(super) server: usize,
    pub(super) running: u32,
    /// Requests that wait for the replica.
    pub(super) waiting: Vec<usize>,
    /// Adapters of a base model.
    pub(super) adapters: Vec<usize>,
    /// Number of the residency; events of earlier ones are void.
    pub(super) life: u32,
    /// Number of the idle time; expiries of earlier ones are void.
    pub(super) turn: u32,
    /// Start of the last idle time.
    pub(super) since: Duration,
    /// When the load was asked for, and its own time where a slot was free.
    pub(super) asked: Option<(Duration, Duration)>,
}

/// All models of a workload, known to the policy.
pub(super) fn units(policy: &mut Policy, models: &[Spec]) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (i, spec) in models.iter().enumerate() {
        let key = policy.insert(ModelProfile {
            base: spec.base.map(|b| units[b].key),
            bytes: spec.bytes,
            class: spec.class,
        });
        if let Some(base) = spec.base {
            units[base].adapters.push(i);
        }
        units.push(Unit {
            key,
            spec: *spec,
            state: State::Absent,
            server: 0,
            running: 0,
            waiting: Vec::new(),
            adapters: Vec::new(),
            life: 0,
            turn: 0,
            since: Duration::ZERO,
            asked: None,
        });
    }
    units
}
