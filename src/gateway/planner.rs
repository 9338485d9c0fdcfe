//! Plans which engines load and unload which models and adapters.
//!
//! The planner does no I/O: it maps the state of all engines and the demand to the next actions. It
//! covers three workloads: simultaneous requests for rare models (each is loaded from the nearest
//! copy), demand that shifts to another model (the number of replicas follows the running
//! requests), and uneven copies across engines (models without a copy are loaded ahead of demand
//! while the weight store has capacity).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::catalog::{Engine, Model};
use super::protocol::Target;

mod adapters;
pub mod demand;
mod model_loads;
mod model_summary;
mod pinned;

use model_summary::{ModelSummary, summarize};

/// Weight store slots that prefetching leaves free for models that requests wait for.
const PREFETCH_RESERVED_SLOTS: u32 = 1;

/// A model loaded on an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadedModel {
    /// Requests running on it, from all instances.
    pub running: u32,
    /// Its loaded adapters, each with the number of requests running on it.
    pub adapters: BTreeMap<String, u32>,
    /// When it was loaded; zero if unknown.
    pub loaded_at: Duration,
}

/// State of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineState {
    /// Id of the engine's incarnation.
    pub id: String,
    /// Failure domain.
    pub domain: String,
    /// Version of its software.
    pub software: String,
    /// Models loaded on it.
    pub models: BTreeMap<String, LoadedModel>,
    /// Adapters being loaded.
    pub loading_adapters: BTreeSet<Target>,
    /// Models whose weights are in its main memory.
    pub in_memory: BTreeSet<String>,
    /// Models whose weights are on its disk.
    pub on_disk: BTreeSet<String>,
    /// Model being loaded.
    pub loading_model: Option<String>,
    /// Whether it accepts no load or unload orders at present.
    pub busy: bool,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Whether it cannot be reached; its models serve no request.
    pub unreachable: bool,
    /// Requests a second that it takes, if it names a limit.
    pub limit: Option<f64>,
}

impl EngineState {
    /// Whether requests can be sent to it.
    #[must_use]
    pub const fn serves(&self) -> bool {
        !self.draining && !self.unreachable
    }
}

/// Demand for a model or adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetDemand {
    /// Requests waiting for it.
    pub waiting: u32,
    /// Arrival time of the request that has waited longest.
    pub oldest_arrival: Duration,
    /// Recent arrival rate, in requests per second.
    pub request_rate: f64,
    /// Part of that rate that was refused for want of room.
    pub refused_rate: f64,
    /// Share of its streams that are late; 0 where unknown.
    pub late_share: f64,
    /// Latency objective of the waiting requests, the longest one.
    pub objective: Duration,
    /// Time until which an answer is in time for at least one of the waiting requests.
    pub in_time_until: Duration,
}

/// Loads that may be started from the weight store now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCapacity {
    /// Loads that can start without slowing down the running ones.
    pub slots: u32,
    /// Loads that the rate limit still permits.
    pub tokens: u32,
}

/// Input of the planner.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Engines of one service.
    pub engines: Vec<EngineState>,
    /// Demand per model and adapter.
    pub demand: BTreeMap<Target, TargetDemand>,
    /// Targets that streams wait for at engines of one software version.
    pub pinned: BTreeSet<PinnedTarget>,
    /// Whether replicas are ordered ahead of refusals, from the rate and the time of streams.
    pub follows_demand: bool,
    /// Time that a stream takes on average.
    pub stream_time: Duration,
}

/// A model or adapter, and the software version of the engines that may serve it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PinnedTarget {
    /// Version of the software.
    pub software: String,
    /// Model or adapter.
    pub target: Target,
}

/// Storage from which a model's weights are loaded, nearest first.
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

/// One or more orders for an engine, carried out in sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineAction {
    /// Unload models, then load one.
    LoadModel {
        /// Models to unload first.
        evict: Vec<String>,
        /// Model to load.
        model: String,
        /// Storage from which its weights are loaded.
        source: WeightSource,
    },
    /// Unload adapters, then load one.
    LoadAdapter {
        /// Adapters to unload first.
        evict: Vec<Target>,
        /// Adapter to load.
        target: Target,
    },
}

/// An action and the engine that carries it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedAction {
    /// Id of the engine.
    pub engine: String,
    /// The action.
    pub action: EngineAction,
    /// Whether requests wait for it; false for prefetching.
    pub urgent: bool,
    /// Number of replicas of the model with this one; 0 for an adapter.
    pub replicas: u32,
    /// Number of replicas that the demand requires; 0 for an adapter.
    pub required: u32,
}

/// Nearest storage from which an engine can load a model.
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

/// Time that loading a model from a storage takes.
#[must_use]
pub const fn load_time(model: &Model, source: WeightSource) -> Duration {
    match source {
        WeightSource::Memory => model.warm_load,
        WeightSource::Disk => model.disk_load,
        WeightSource::Store => model.cold_load,
    }
}

/// Actions to start now: loads that requests wait for, then prefetching.
#[must_use]
pub fn plan(
    spec: &Engine,
    fleet: &Fleet,
    mut capacity: StoreCapacity,
    now: Duration,
) -> Vec<PlannedAction> {
    let mut engines = fleet.engines.clone();
    let mut actions = pinned::plan(spec, fleet, &mut engines, now);
    let mut planner = Planner {
        spec,
        summaries: summarize(&engines, &fleet.demand),
        version_replicas: VersionReplicas::new(&engines),
        engines,
        demand: &fleet.demand,
        follows_demand: fleet.follows_demand,
        stream_time: fleet.stream_time,
        swap_delays: Vec::new(),
        now,
    };
    planner.prepare();
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
    follows_demand: bool,
    stream_time: Duration,
    version_replicas: VersionReplicas,
    /// Requests that a swap delays, by engine; only where replicas follow demand.
    swap_delays: Vec<f64>,
    now: Duration,
}

/// Replicas of models by software version; empty where all engines have the same.
#[derive(Debug, Default)]
struct VersionReplicas(BTreeMap<String, BTreeMap<String, u32>>);

impl VersionReplicas {
    fn new(engines: &[EngineState]) -> Self {
        let versions: BTreeSet<&String> = engines.iter().map(|e| &e.software).collect();
        let mut counts = Self::default();
        if versions.len() < 2 {
            return counts;
        }
        for engine in engines {
            let of_version = counts.0.entry(engine.software.clone()).or_default();
            for model in engine.models.keys() {
                *of_version.entry(model.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Replicas of a model at a version; none where all engines have the same version.
    fn at(&self, software: &str, model: &str) -> Option<u32> {
        let of_version = self.0.get(software)?;
        Some(of_version.get(model).copied().unwrap_or_default())
    }
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
        model.weights_mb + model.adapter_mb * f64::from(adapters)
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
            .map(|m| m.adapter_mb)
            .sum();
        held + loading
    }
}
