//! Decides which engine loads or unloads which model or adapter.
//!
//! Pure: the state of all engines and the demand go in, the next orders come out. Three loads are
//! answered here: rare models asked for at once (swap in from the nearest copy), demand that moves
//! to another model (replicas follow the running requests), and a fleet whose copies lie unevenly
//! (copies are spread over the disks while the weight store is idle).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::catalog::{Engine, Model};
use super::protocol::Target;

mod adapters;
mod facts;
mod swaps;

use facts::{Facts, facts};

/// Free load slots that are kept for waiting requests when copies are spread ahead of demand.
const AHEAD_RESERVE: u32 = 1;

/// A model on an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Holding {
    /// Requests that run on it, over all instances.
    pub running: u32,
    /// Its adapters, with the requests that run on each.
    pub adapters: BTreeMap<String, u32>,
    /// When it was loaded, as far as known.
    pub since: Duration,
}

/// An engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineState {
    /// Id of the incarnation.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Models that it holds.
    pub models: BTreeMap<String, Holding>,
    /// Adapters on their way.
    pub coming: BTreeSet<Target>,
    /// Models that lie in its main memory.
    pub warm: BTreeSet<String>,
    /// Models that lie on its disk.
    pub disk: BTreeSet<String>,
    /// Model that it is about to hold.
    pub loading: Option<String>,
    /// Whether it takes no order for a model now.
    pub busy: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Demand for a model or adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Want {
    /// Requests that wait for it.
    pub waiting: u32,
    /// When the one that has waited longest arrived.
    pub since: Duration,
    /// Requests a second, lately.
    pub rate: f64,
}

/// Loads that the weight store allows now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRoom {
    /// Loads that may begin without slowing the others.
    pub slots: u32,
    /// Loads that the rate allows.
    pub tokens: u32,
}

/// What the planner decides on.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The engines of one service.
    pub engines: Vec<EngineState>,
    /// Demand.
    pub wants: BTreeMap<Target, Want>,
}

/// Where the weights of a load come from.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// The engine's main memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

/// An order, or a series of them, for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Unload these models, then load one.
    Swap {
        /// Models to unload first.
        out: Vec<String>,
        /// Model to load.
        model: String,
        /// Where its weights come from.
        source: Source,
    },
    /// Unload these adapters, then load one.
    Adapter {
        /// Adapters to unload first.
        out: Vec<Target>,
        /// Adapter to load.
        target: Target,
    },
}

/// A change and the engine that makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Id of the engine.
    pub engine: String,
    /// The change.
    pub change: Change,
    /// Whether requests wait for it; a copy made ahead is not urgent.
    pub urgent: bool,
}

/// Where an engine would load a model from.
#[must_use]
pub fn source(engine: &EngineState, model: &str) -> Source {
    if engine.warm.contains(model) {
        return Source::Memory;
    }
    if engine.disk.contains(model) {
        return Source::Disk;
    }
    Source::Store
}

/// Time that a load takes.
#[must_use]
pub const fn load_time(model: &Model, source: Source) -> Duration {
    match source {
        Source::Memory => model.warm_load,
        Source::Disk => model.disk_load,
        Source::Store => model.cold_load,
    }
}

/// The changes to begin now.
#[must_use]
pub fn plan(spec: &Engine, fleet: &Fleet, mut room: StoreRoom, now: Duration) -> Vec<Step> {
    let mut planner = Planner {
        spec,
        engines: fleet.engines.clone(),
        wants: &fleet.wants,
        facts: facts(fleet),
        now,
    };
    let mut steps = Vec::new();
    for model in planner.wanted_models() {
        if let Some(step) = planner.swap(&model, &mut room, true) {
            steps.push(step);
        }
    }
    for target in planner.wanted_adapters() {
        if let Some(step) = planner.adapter(&target) {
            steps.push(step);
        }
    }
    if room.slots <= AHEAD_RESERVE {
        return steps;
    }
    for model in planner.uncopied() {
        if room.slots <= AHEAD_RESERVE {
            break;
        }
        if let Some(step) = planner.swap(&model, &mut room, false) {
            steps.push(step);
        }
    }
    steps
}

struct Planner<'a> {
    spec: &'a Engine,
    engines: Vec<EngineState>,
    wants: &'a BTreeMap<Target, Want>,
    facts: BTreeMap<String, Facts>,
    now: Duration,
}

impl Planner<'_> {
    fn fact(&self, model: &str) -> Facts {
        self.facts.get(model).copied().unwrap_or_default()
    }

    fn demand(&self, model: &str) -> Want {
        self.fact(model).want.unwrap_or_default()
    }

    fn replicas(&self, model: &str) -> u32 {
        self.fact(model).replicas
    }

    fn held(&self, name: &str, holding: &Holding) -> f64 {
        let Some(model) = self.spec.models.get(name) else {
            return 0.0;
        };
        let adapters = u32::try_from(holding.adapters.len()).unwrap_or(u32::MAX);
        model.weights_mb + model.adapter_mb * f64::from(adapters)
    }

    fn used(&self, engine: &EngineState) -> f64 {
        let held: f64 = engine.models.iter().map(|(n, h)| self.held(n, h)).sum();
        let coming: f64 = engine
            .coming
            .iter()
            .filter_map(|t| self.spec.models.get(&t.model))
            .map(|m| m.adapter_mb)
            .sum();
        held + coming
    }
}
