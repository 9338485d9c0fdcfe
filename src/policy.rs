//! Decides when and where models are loaded, in which order, and when replicas are evicted.
//!
//! This module only makes decisions: it does no I/O and reads no clock. Times are passed in as a
//! [`Duration`] since an origin that all instances share, such as the Unix epoch, so that times of
//! day agree across instances.
//!
//! Residency follows one rule: a replica is worth its memory while the expected request rate times
//! the value of the wait that it saves exceeds the price of the memory that it occupies. The rate
//! is estimated from the model's idle gaps and from the times of day of its wake-ups, the requests
//! that end a long idle gap. The weight of idle hours in the rules sets the price.

use std::collections::BTreeMap;
use std::time::Duration;

use self::demand::Demand;
use self::key::ModelKey;
use self::pooled_demand::PooledDemand;
use self::server_selection::EvictionCandidate;
use crate::rules::{PriorityClass, Weights};

pub mod daily_profile;
pub mod demand;
pub mod gap_histogram;
pub mod key;
pub mod load_queue;
pub mod pooled_demand;
pub mod server_selection;

pub use self::load_queue::{admit, sort_by_urgency};
pub use self::server_selection::choose_server;

/// Properties of a model that the rules define.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelProfile {
    /// Base model of an adapter; requests to the adapter also count for the base.
    pub base: Option<ModelKey>,
    /// Accelerator memory that a replica occupies, in bytes.
    pub bytes: u64,
    /// Priority class.
    pub class: PriorityClass,
}

/// A model that has no replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AbsentModel {
    /// The model.
    pub model: ModelKey,
    /// Expected duration of a load.
    pub load_time: Duration,
}

/// Longest keep-alive time that one decision gives an idle replica.
pub const MAX_KEEP_ALIVE: Duration = Duration::from_hours(24);
/// Longest step in which [`Policy::keep_alive`] examines future times.
const MAX_STEP: Duration = Duration::from_mins(5);
/// Memory that [`MEMORY_PRICE`] pays for, in mebibytes.
const PRICE_UNIT_MIB: f64 = 16.0 * 1024.0;
/// Wait at which the cubic term of a cold start's value equals the linear one, in seconds.
const LONG_WAIT_SECS: f64 = 5.0;
/// Cost of a load in addition to its wait, in seconds of wait.
const LOAD_COST_SECS: f64 = 0.1;
/// Price of a memory unit at an idle weight of 0.5, in seconds of wait per second.
const MEMORY_PRICE: f64 = 0.02;
/// Share of a cold start's value that a replica may lose in a lull before it is evicted.
const MAX_LOSS_RATIO: f64 = 0.1;
/// Ratio of benefit to memory price above which a model is preloaded.
const MIN_PRELOAD_RATIO: f64 = 1.25;

/// Observed demand for all models, and the decisions that follow from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::{Policy, ModelProfile};
/// use brassrack::rules::{PriorityClass, Weights};
///
/// let mut policy = Policy::new(Weights::default());
/// let model = policy.insert(ModelProfile {
///     base: None,
///     bytes: 16 << 30,
///     class: PriorityClass::Interactive,
/// });
/// let secs = Duration::from_secs;
/// for n in 0..20 {
///     policy.record_arrival(model, PriorityClass::Interactive, secs(30 * n));
/// }
/// let keep = policy.keep_alive(model, secs(600), secs(8));
/// assert!(keep > secs(30));
/// ```
#[derive(Debug, Clone)]
pub struct Policy {
    weights: Weights,
    models: BTreeMap<ModelKey, Demand>,
    next_key: u32,
    pooled: PooledDemand,
}

impl Policy {
    /// Creates a policy without models or observations.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            models: BTreeMap::new(),
            next_key: 0,
            pooled: PooledDemand::default(),
        }
    }

    /// Replaces the weights and keeps the observed demand.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a model or adapter.
    pub fn insert(&mut self, profile: ModelProfile) -> ModelKey {
        let key = ModelKey(self.next_key);
        self.next_key += 1;
        self.models.insert(key, Demand::new(profile));
        key
    }

    /// Removes a model or adapter and its observed demand.
    pub fn remove(&mut self, model: ModelKey) {
        self.models.remove(&model);
    }

    /// Records the arrival of a request for a model and for its base.
    ///
    /// Batch requests can wait for a load and are not recorded.
    pub fn record_arrival(&mut self, model: ModelKey, class: PriorityClass, now: Duration) {
        let mut next = Some(model);
        while let Some(demand) = next.and_then(|key| self.models.get_mut(&key)) {
            next = demand.profile.base;
            if class != PriorityClass::Batch {
                demand.record_arrival(now, &mut self.pooled);
            }
        }
    }

    /// Records that the last running request of a replica ended.
    pub fn record_idle(&mut self, model: ModelKey, now: Duration) {
        if let Some(demand) = self.models.get_mut(&model) {
            demand.record_idle(now);
        }
    }

    /// How long to keep a replica that is idle now, given the duration of a later load.
    #[must_use]
    pub fn keep_alive(&self, model: ModelKey, now: Duration, load_time: Duration) -> Duration {
        let Some(demand) = self.models.get(&model) else {
            return Duration::ZERO;
        };
        let value = cold_start_value(demand.profile.class, load_time);
        let price = self.memory_price(demand.profile.bytes);
        let (mut at, mut survival, mut sum) = (Duration::ZERO, 1.0, 0.0);
        let (mut best, mut keep) = (0.0, Duration::ZERO);
        while at < MAX_KEEP_ALIVE {
            let step = (at / 8).clamp(Duration::from_secs(1), MAX_STEP);
            let rate = demand.rate(now + at + step / 2, &self.pooled);
            let probability = 1.0 - (-rate * step.as_secs_f64()).exp();
            sum += survival * (probability * value - price * step.as_secs_f64());
            survival *= 1.0 - probability;
            at += step;
            if sum > best {
                (best, keep) = (sum, at);
            }
            if sum < best - MAX_LOSS_RATIO * value {
                break;
            }
        }
        keep
    }

    /// Models to load ahead of a predicted request, highest benefit ratio first.
    #[must_use]
    pub fn choose_preloads(&self, now: Duration, absent: &[AbsentModel]) -> Vec<ModelKey> {
        let mut wanted: Vec<(f64, ModelKey)> = absent
            .iter()
            .filter_map(|a| {
                let ratio = self.benefit_ratio(a.model, now + a.load_time, a.load_time)?;
                (ratio > MIN_PRELOAD_RATIO).then_some((ratio, a.model))
            })
            .collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        wanted.into_iter().map(|(_, model)| model).collect()
    }

    /// Idle replicas to evict so that `need` bytes become free, or `None` if that is impossible.
    ///
    /// Replicas with the lowest benefit ratio are evicted first.
    #[must_use]
    pub fn choose_evictions(
        &self,
        replicas: &[EvictionCandidate],
        need: u64,
        now: Duration,
    ) -> Option<Vec<ModelKey>> {
        let mut idle: Vec<(f64, &EvictionCandidate)> = replicas
            .iter()
            .filter(|r| r.requests == 0)
            .map(|r| {
                (
                    self.benefit_ratio(r.model, now, r.load_time).unwrap_or(0.0),
                    r,
                )
            })
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.model.cmp(&b.1.model)));
        let mut chosen: Vec<&EvictionCandidate> = Vec::new();
        let mut freed = 0;
        for (_, replica) in idle {
            if freed >= need {
                break;
            }
            freed += replica.bytes;
            chosen.push(replica);
        }
        if freed < need {
            return None;
        }
        // A large replica chosen last can make smaller ones chosen earlier unnecessary.
        chosen.retain(|r| {
            let unneeded = freed - r.bytes >= need;
            if unneeded {
                freed -= r.bytes;
            }
            !unneeded
        });
        Some(chosen.iter().map(|r| r.model).collect())
    }

    /// Ratio of what residency at a time saves to what it costs; `None` for an unknown model.
    fn benefit_ratio(&self, model: ModelKey, at: Duration, load_time: Duration) -> Option<f64> {
        let demand = self.models.get(&model)?;
        let price = self
            .memory_price(demand.profile.bytes)
            .max(f64::MIN_POSITIVE);
        Some(
            demand.rate(at, &self.pooled) * cold_start_value(demand.profile.class, load_time)
                / price,
        )
    }

    /// Price of memory, in seconds of wait per second.
    fn memory_price(&self, bytes: u64) -> f64 {
        let idle_weight = self.weights.idle.clamp(0.0, 1.0);
        let tail_weight = f64::max(1.0 - idle_weight, 1e-9);
        MEMORY_PRICE * idle_weight / tail_weight * mebibytes(bytes) / PRICE_UNIT_MIB
    }
}

/// Value of avoiding a cold start, in seconds; grows faster than the wait.
fn cold_start_value(class: PriorityClass, wait: Duration) -> f64 {
    let class_weight = match class {
        PriorityClass::Interactive => 1.0,
        PriorityClass::Standard => 0.3,
        PriorityClass::Batch => 0.0,
    };
    let wait = wait.as_secs_f64();
    class_weight * (LOAD_COST_SECS + wait + wait * wait * wait / LONG_WAIT_SECS / LONG_WAIT_SECS)
}

fn mebibytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes >> 20).unwrap_or(u32::MAX))
}
