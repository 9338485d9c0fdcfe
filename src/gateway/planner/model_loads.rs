//! Which engine unloads what, and loads which model instead.

use std::time::Duration;

use super::model_summary::ModelSummary;
use super::{
    EngineAction, EngineState, LoadedModel, PlannedAction, Planner, StoreCapacity, TargetDemand,
    WeightSource, load_time, weight_source,
};

/// Share of an engine's slots that the requests of one model may fill before it gets a replica.
const SLOT_SHARE_PER_REPLICA: f64 = 0.4;
/// Requests a second from which a model is kept on two engines, so that one may fail.
const REDUNDANT_RATE_PER_S: f64 = 1.5;
/// Time for which a model that has just been loaded is kept, so that its waiting requests arrive.
const MIN_RESIDENCE: Duration = Duration::from_millis(800);

/// A way to load a model.
struct LoadOption {
    engine: usize,
    source: WeightSource,
    evict: Vec<String>,
    cost: f64,
}

impl Planner<'_> {
    /// Replicas that the demand for a model asks for.
    fn required_replicas(&self, summary: &ModelSummary, demand: &TargetDemand) -> u32 {
        let slots_per_replica = (f64::from(self.spec.slots) * SLOT_SHARE_PER_REPLICA).max(1.0);
        let by_load = (f64::from(summary.running + demand.waiting) / slots_per_replica).ceil();
        let minimum = if demand.request_rate >= REDUNDANT_RATE_PER_S {
            2
        } else {
            u32::from(demand.waiting > 0)
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count that is never negative"
        )]
        minimum.max(by_load as u32)
    }

    /// Models that need one more replica, the longest waiting first.
    pub(super) fn underreplicated_models(&self) -> Vec<String> {
        let mut underreplicated: Vec<(bool, Duration, &String)> = Vec::new();
        for (name, summary) in &self.summaries {
            let Some(demand) = &summary.demand else {
                continue;
            };
            let lacking = summary.replicas < self.required_replicas(summary, demand);
            if lacking && self.spec.models.contains_key(name) {
                underreplicated.push((summary.replicas > 0, demand.oldest_arrival, name));
            }
        }
        underreplicated.sort();
        underreplicated
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    /// Models of which no live engine keeps a copy, the most asked for first.
    pub(super) fn models_without_copy(&self) -> Vec<String> {
        let mut models: Vec<(f64, &String)> = self
            .spec
            .models
            .keys()
            .map(|m| (self.summary(m), m))
            .filter(|(summary, _)| !summary.has_copy)
            .map(|(summary, m)| (summary.demand.unwrap_or_default().request_rate, m))
            .collect();
        models.sort_by(|a, b| b.0.total_cmp(&a.0));
        models.into_iter().map(|(_, m)| m.clone()).collect()
    }

    pub(super) fn plan_model_load(
        &mut self,
        model: &str,
        capacity: &mut StoreCapacity,
        urgent: bool,
    ) -> Option<PlannedAction> {
        let store_open = capacity.slots > 0 && capacity.tokens > 0;
        let option = self.best_option(model, store_open)?;
        if option.source == WeightSource::Store {
            if urgent && self.local_copy_expected(model) {
                return None;
            }
            capacity.slots -= 1;
            capacity.tokens -= 1;
        }
        let engine = &mut self.engines[option.engine];
        for evicted in &option.evict {
            engine.models.remove(evicted);
            if let Some(summary) = self.summaries.get_mut(evicted) {
                summary.replicas = summary.replicas.saturating_sub(1);
            }
        }
        self.summaries.entry(model.to_owned()).or_default().replicas += 1;
        engine.busy = true;
        engine.loading_model = Some(model.to_owned());
        Some(PlannedAction {
            engine: engine.id.clone(),
            action: EngineAction::LoadModel {
                evict: option.evict,
                model: model.to_owned(),
                source: option.source,
            },
            urgent,
        })
    }

    /// The nearest copy, and the least loss among engines that have it equally near.
    fn best_option(&self, model: &str, store_open: bool) -> Option<LoadOption> {
        let mut best: Option<LoadOption> = None;
        for index in 0..self.engines.len() {
            let engine_source = weight_source(&self.engines[index], model);
            let farther = best.as_ref().is_some_and(|b| engine_source > b.source);
            if farther || (engine_source == WeightSource::Store && !store_open) {
                continue;
            }
            let Some(option) = self.load_option(model, index) else {
                continue;
            };
            let is_better = |b: &LoadOption| (option.source, option.cost) < (b.source, b.cost);
            if best.as_ref().is_none_or(is_better) {
                best = Some(option);
            }
        }
        best
    }

    /// Whether an engine with a copy of its own will be free sooner than the weight store delivers.
    fn local_copy_expected(&self, model: &str) -> bool {
        let copied =
            |e: &EngineState| !e.draining && weight_source(e, model) != WeightSource::Store;
        let cold = self
            .spec
            .models
            .get(model)
            .map_or(Duration::ZERO, |m| m.cold);
        let waited = self.now.saturating_sub(self.demand(model).oldest_arrival);
        waited < cold / 2 && self.engines.iter().any(copied)
    }

    /// How an engine would make room for a model, if it can now.
    fn load_option(&self, model: &str, index: usize) -> Option<LoadOption> {
        let engine = &self.engines[index];
        if engine.busy || engine.draining || engine.models.contains_key(model) {
            return None;
        }
        let size = self.spec.models.get(model)?.weights;
        let mut free_memory = self.spec.memory - self.used_memory(engine);
        let mut evictable: Vec<(f64, &str)> = engine
            .models
            .iter()
            .filter(|(name, loaded)| self.evictable(name, loaded))
            .map(|(name, _)| (self.eviction_cost(engine, name), name.as_str()))
            .collect();
        evictable.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut evict = Vec::new();
        let mut cost = 0.0;
        for (model_cost, name) in evictable {
            if free_memory >= size {
                break;
            }
            free_memory += self.model_memory(name, &engine.models[name]);
            cost += model_cost;
            evict.push(name.to_owned());
        }
        // Spreads equal choices: an engine with fewer copies on disk keeps more models near.
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let tie_break = engine.on_disk.len() as f64 * 1e-6;
        (free_memory >= size).then(|| LoadOption {
            engine: index,
            source: weight_source(engine, model),
            evict,
            cost: cost + tie_break,
        })
    }

    fn evictable(&self, name: &str, loaded: &LoadedModel) -> bool {
        loaded.running == 0
            && self.now >= loaded.loaded_at + MIN_RESIDENCE
            && (self.demand(name).waiting == 0 || self.replicas(name) > 1)
    }

    /// What unloading a model costs: requests a second that would have to wait for it again.
    fn eviction_cost(&self, engine: &EngineState, name: &str) -> f64 {
        let replicas = f64::from(self.replicas(name).max(1));
        let reload_s = self.spec.models.get(name).map_or(1.0, |m| {
            load_time(m, weight_source(engine, name)).as_secs_f64()
        });
        let rate = self.demand(name).request_rate;
        (rate + 1e-3) * reload_s / (replicas * replicas)
    }
}
