//! When to load a model, where, in which order, and when to let it go.
//!
//! Decisions only: no I/O and no clock. Times are passed in as [`Duration`] since one origin that
//! all instances share, such as the Unix epoch, so that times of day mean the same everywhere.
//!
//! One rule decides residency. A replica is worth its memory while the expected rate of requests
//! times the value of the wait that it saves exceeds the price of the memory that it takes. The
//! rate is learnt from the model's idle gaps and from the times of day at which it woke. The
//! rules' weight of idle hours sets the price.

use std::collections::BTreeMap;
use std::time::Duration;

use self::demand::Demand;
use self::key::ModelKey;
use self::place::Resident;
use self::pool::Pool;
use crate::rules::{PriorityClass, Weights};

pub mod demand;
pub mod gaps;
pub mod key;
pub mod place;
pub mod pool;
pub mod queue;
pub mod rhythm;

pub use self::place::choose_server;
pub use self::queue::{feasible, order};

/// What the policy knows of a model from the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Profile {
    /// Base model, for an adapter; its requests count for the base, too.
    pub base: Option<ModelKey>,
    /// Accelerator memory of a replica, in bytes.
    pub bytes: u64,
    /// Priority class.
    pub class: PriorityClass,
}

/// A model without a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absent {
    /// The model.
    pub model: ModelKey,
    /// Time that a load would take.
    pub reload: Duration,
}

/// Longest time that a replica is kept without a new decision.
pub const MAX_KEEP: Duration = Duration::from_hours(24);
/// Step in which times ahead are examined.
const STEP: Duration = Duration::from_mins(5);
/// Memory that costs one unit of price, in mebibytes.
const UNIT_MIB: f64 = 16.0 * 1024.0;
/// Wait whose value is its own length, in seconds.
const UNIT_WAIT: f64 = 5.0;
/// Cost of any load beside the wait, in seconds of wait.
const LOAD_COST: f64 = 0.1;
/// Price of a unit of memory at equal weights, in seconds of wait a second.
const PRICE: f64 = 0.02;
/// Share of a cold start's value that may be lost in a lull before a replica is let go.
const LULL: f64 = 0.1;
/// Ratio of worth to price above which a model is loaded ahead.
const PRELOAD: f64 = 1.25;

/// Learnt demand of all models, and the decisions that follow from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::{Policy, Profile};
/// use brassrack::rules::{PriorityClass, Weights};
///
/// let mut policy = Policy::new(Weights::default());
/// let class = PriorityClass::Interactive;
/// let model = policy.insert(Profile { base: None, bytes: 16 << 30, class });
/// let secs = Duration::from_secs;
/// for n in 0..20 {
///     policy.arrival(model, PriorityClass::Interactive, secs(30 * n));
/// }
/// let keep = policy.keep_alive(model, secs(600), secs(8));
/// assert!(keep > secs(30));
/// ```
#[derive(Debug, Clone)]
pub struct Policy {
    weights: Weights,
    models: BTreeMap<ModelKey, Demand>,
    next: u32,
    pool: Pool,
}

impl Policy {
    /// A policy that has learnt nothing yet.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            models: BTreeMap::new(),
            next: 0,
            pool: Pool::default(),
        }
    }

    /// Changes the weights and keeps what was learnt.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a model or adapter.
    pub fn insert(&mut self, profile: Profile) -> ModelKey {
        let key = ModelKey(self.next);
        self.next += 1;
        self.models.insert(key, Demand::new(profile));
        key
    }

    /// Forgets a model or adapter.
    pub fn remove(&mut self, model: ModelKey) {
        self.models.remove(&model);
    }

    /// Learns a request that arrived, for the model and for its base.
    ///
    /// Batch requests can wait for a load and are not learnt.
    pub fn arrival(&mut self, model: ModelKey, class: PriorityClass, now: Duration) {
        let mut next = Some(model);
        while let Some(demand) = next.and_then(|key| self.models.get_mut(&key)) {
            next = demand.profile.base;
            if class != PriorityClass::Batch {
                demand.arrival(now, &mut self.pool);
            }
        }
    }

    /// Learns that the last running request of a replica ended.
    pub fn idle(&mut self, model: ModelKey, now: Duration) {
        if let Some(demand) = self.models.get_mut(&model) {
            demand.idle(now);
        }
    }

    /// How long a replica that is idle now stays; `reload` is the time that a later load takes.
    #[must_use]
    pub fn keep_alive(&self, model: ModelKey, now: Duration, reload: Duration) -> Duration {
        let Some(demand) = self.models.get(&model) else {
            return Duration::ZERO;
        };
        let value = value(demand.profile.class, reload);
        let price = self.price(demand.profile.bytes);
        let (mut at, mut alive, mut sum) = (Duration::ZERO, 1.0, 0.0);
        let (mut best, mut keep) = (0.0, Duration::ZERO);
        while at < MAX_KEEP {
            let step = (at / 8).clamp(Duration::from_secs(1), STEP);
            let rate = demand.rate(now + at + step / 2, &self.pool);
            let odds = 1.0 - (-rate * step.as_secs_f64()).exp();
            sum += alive * (odds * value - price * step.as_secs_f64());
            alive *= 1.0 - odds;
            at += step;
            if sum > best {
                (best, keep) = (sum, at);
            }
            if sum < best - LULL * value {
                break;
            }
        }
        keep
    }

    /// Models to load ahead of a predicted request, the most valuable first.
    #[must_use]
    pub fn preload(&self, now: Duration, absent: &[Absent]) -> Vec<ModelKey> {
        let mut wanted: Vec<(f64, ModelKey)> = absent
            .iter()
            .filter_map(|a| {
                let worth = self.worth(a.model, now + a.reload, a.reload)?;
                (worth > PRELOAD).then_some((worth, a.model))
            })
            .collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        wanted.into_iter().map(|(_, model)| model).collect()
    }

    /// Idle replicas to evict so that `need` bytes become free; none where that is not possible.
    ///
    /// Replicas with the least worth for their memory go first.
    #[must_use]
    pub fn evict(&self, residents: &[Resident], need: u64, now: Duration) -> Option<Vec<ModelKey>> {
        let mut idle: Vec<(f64, &Resident)> = residents
            .iter()
            .filter(|r| r.running == 0)
            .map(|r| (self.worth(r.model, now, r.reload).unwrap_or(0.0), r))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.model.cmp(&b.1.model)));
        let mut chosen: Vec<&Resident> = Vec::new();
        let mut freed = 0;
        for (_, resident) in idle {
            if freed >= need {
                break;
            }
            freed += resident.bytes;
            chosen.push(resident);
        }
        if freed < need {
            return None;
        }
        // A large last choice can make earlier ones needless.
        chosen.retain(|r| {
            let needless = freed - r.bytes >= need;
            if needless {
                freed -= r.bytes;
            }
            !needless
        });
        Some(chosen.iter().map(|r| r.model).collect())
    }

    /// Ratio of what residency at a time saves to what it costs; none for an unknown model.
    fn worth(&self, model: ModelKey, at: Duration, reload: Duration) -> Option<f64> {
        let demand = self.models.get(&model)?;
        let price = self.price(demand.profile.bytes).max(f64::MIN_POSITIVE);
        Some(demand.rate(at, &self.pool) * value(demand.profile.class, reload) / price)
    }

    /// Price of memory, in seconds of wait a second.
    fn price(&self, bytes: u64) -> f64 {
        let idle = self.weights.idle.clamp(0.0, 1.0);
        let tail = f64::max(1.0 - idle, 1e-9);
        PRICE * idle / tail * mebibytes(bytes) / UNIT_MIB
    }
}

/// Value of a cold start that does not happen, in seconds; long waits weigh more than in proportion.
fn value(class: PriorityClass, wait: Duration) -> f64 {
    let share = match class {
        PriorityClass::Interactive => 1.0,
        PriorityClass::Standard => 0.3,
        PriorityClass::Batch => 0.0,
    };
    let wait = wait.as_secs_f64();
    share * (LOAD_COST + wait + wait * wait * wait / UNIT_WAIT / UNIT_WAIT)
}

fn mebibytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes >> 20).unwrap_or(u32::MAX))
}
