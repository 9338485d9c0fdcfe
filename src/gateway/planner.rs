//! Decides which engine loads or unloads which model or adapter.
//!
//! Pure: the state of all engines and the demand go in, the next orders come out. Three loads are
//! answered here: rare models asked for at once (swap in from the nearest copy), demand that moves
//! to another model (replicas follow the running requests), and a fleet whose copies lie unevenly
//! (copies are spread over the disks while the weight store is idle).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::catalog::{Engine, Model};
use super::edge::Target;

mod adapters;
mod model_loads;
mod model_summary;

use model_summary::{ModelSummary, summarize};

/// Free load slots that are kept for waiting requests when copies are spread ahead of demand.
const PREFETCH_RESERVED_SLOTS: u32 = 1;

/// A model on an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadedModel {
    /// Requests that run on it, over all instances.
    pub running: u32,
    /// Its adapters, with the requests that run on each.
    pub adapters: BTreeMap<String, u32>,
    /// When it was loaded, as far as known.
    pub loaded_at: Duration,
}

/// An engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineState {
    /// Id of the incarnation.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Models that it holds.
    pub models: BTreeMap<String, LoadedModel>,
    /// Adapters on their way.
    pub loading_adapters: BTreeSet<Target>,
    /// Models that lie in its main memory.
    pub in_memory: BTreeSet<String>,
    /// Models that lie on its disk.
    pub on_disk: BTreeSet<String>,
    /// Model that it is about to hold.
    pub loading_model: Option<String>,
    /// Whether it takes no order for a model now.
    pub busy: bool,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// Demand for a model or adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetDemand {
    /// Requests that wait for it.
    pub waiting: u32,
    /// When the one that has waited longest arrived.
    pub oldest_arrival: Duration,
    /// Requests a second, lately.
    pub request_rate: f64,
}

/// Loads that the weight store allows now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCapacity {
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
    pub demand: BTreeMap<Target, TargetDemand>,
}

/// Where the weights of a load come from.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum WeightSource {
    /// The engine's main memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

/// An order, or a series of them, for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineAction {
    /// Unload these models, then load one.
    LoadModel {
        /// Models to unload first.
        evict: Vec<String>,
        /// Model to load.
        model: String,
        /// Where its weights come from.
        source: WeightSource,
    },
    /// Unload these adapters, then load one.
    LoadAdapter {
        /// Adapters to unload first.
        evict: Vec<Target>,
        /// Adapter to load.
        target: Target,
    },
}

/// A change and the engine that makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedAction {
    /// Id of the engine.
    pub engine: String,
    /// The change.
    pub action: EngineAction,
    /// Whether requests wait for it; a copy made ahead is not urgent.
    pub urgent: bool,
}

/// Where an engine would load a model from.
#[must_use]
pub fn weight_source(engine: &EngineState, model: &str) -> WeightSource {
    if engine.in_memory.contains(model) {
        return WeightSource::Memory;
    }
    if engine.on_disk.contains(model) {
        return WeightSource::Disk;
    }
    WeightSource::Store
}

/// Time that a load takes.
#[must_use]
pub const fn load_time(model: &Model, source: WeightSource) -> Duration {
    match source {
        WeightSource::Memory => model.warm,
        WeightSource::Disk => model.disk,
        WeightSource::Store => model.cold,
    }
}

/// The changes to begin now.
#[must_use]
pub fn plan(
    spec: &Engine,
    fleet: &Fleet,
    mut capacity: StoreCapacity,
    now: Duration,
) -> Vec<PlannedAction> {
    let mut planner = Planner {
        spec,
        engines: fleet.engines.clone(),
        demand: &fleet.demand,
        summaries: summarize(fleet),
        now,
    };
    let mut actions = Vec::new();
    for model in planner.underreplicated_models() {
        if let Some(action) = planner.plan_model_load(&model, &mut capacity, true) {
            actions.push(action);
        }
    }
    for target in planner.missing_adapters() {
        if let Some(action) = planner.plan_adapter_load(&target) {
            actions.push(action);
        }
    }
    if capacity.slots <= PREFETCH_RESERVED_SLOTS {
        return actions;
    }
    for model in planner.models_without_copy() {
        if capacity.slots <= PREFETCH_RESERVED_SLOTS {
            break;
        }
        if let Some(action) = planner.plan_model_load(&model, &mut capacity, false) {
            actions.push(action);
        }
    }
    actions
}

struct Planner<'a> {
    spec: &'a Engine,
    engines: Vec<EngineState>,
    demand: &'a BTreeMap<Target, TargetDemand>,
    summaries: BTreeMap<String, ModelSummary>,
    now: Duration,
}

impl Planner<'_> {
    fn summary(&self, model: &str) -> ModelSummary {
        self.summaries.get(model).copied().unwrap_or_default()
    }

    fn demand(&self, model: &str) -> TargetDemand {
        self.summary(model).demand.unwrap_or_default()
    }

    fn replicas(&self, model: &str) -> u32 {
        self.summary(model).replicas
    }

    fn model_memory(&self, name: &str, loaded: &LoadedModel) -> f64 {
        let Some(model) = self.spec.models.get(name) else {
            return 0.0;
        };
        let adapters = u32::try_from(loaded.adapters.len()).unwrap_or(u32::MAX);
        model.weights + model.adapter * f64::from(adapters)
    }

    fn used_memory(&self, engine: &EngineState) -> f64 {
        let held: f64 = engine
            .models
            .iter()
            .map(|(name, loaded)| self.model_memory(name, loaded))
            .sum();
        let loading: f64 = engine
            .loading_adapters
            .iter()
            .filter_map(|t| self.spec.models.get(&t.model))
            .map(|m| m.adapter)
            .sum();
        held + loading
    }
}
