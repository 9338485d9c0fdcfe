//! Plans which engine loads which model, and which models it unloads to make room.

use std::time::Duration;

use super::demand;
use super::model_summary::ModelSummary;
use super::{
    EngineAction, EngineState, LoadedModel, PREFETCH_RESERVED_SLOTS, PlannedAction, Planner,
    StoreCapacity, TargetDemand, WeightSource, load_time, weight_source,
};

/// Share of an engine's request slots that one model may fill before it gets another replica.
const SLOT_SHARE_PER_REPLICA: f64 = 0.4;
/// Arrival rate from which a model is kept on two engines, so that one of them may fail.
const REDUNDANT_RATE_PER_S: f64 = 1.5;
/// Time for which a newly loaded model is not evicted, so that its waiting requests reach it.
const MIN_RESIDENCE: Duration = Duration::from_millis(800);

/// Rate of refused requests from which a further replica may take the last slot of the weight store.
const MIN_REFUSED_RATE_PER_S: f64 = 0.5;

/// Time that a swap takes beyond the load: orders, the unload, and noticing the end.
const SWAP_OVERHEAD: Duration = Duration::from_millis(250);
/// Wait after which late requests go first again, in multiples of their objective.
const OVERDUE_OBJECTIVES: u32 = 2;

/// An engine that can load a model, and the models that it has to evict first.
struct LoadOption {
    engine: usize,
    /// Whether the engine names a limit; any other one goes before it.
    limited: bool,
    source: WeightSource,
    /// Requests running on the engine, where a further replica is to relieve others; otherwise 0.
    load: u32,
    evict: Vec<String>,
    cost: f64,
}

impl Planner<'_> {
    /// Number of replicas that the demand for a model requires.
    fn required_replicas(&self, summary: &ModelSummary, demand: &TargetDemand) -> u32 {
        if self.follows_demand {
            let running = summary.running;
            return demand::required_replicas(self.spec.slots, running, demand, self.stream_time);
        }
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

    /// Whether all requests that wait for a model missed their objective while engines were busy.
    ///
    /// Models whose requests can still be in time go first then. Requests with an objective shorter
    /// than any swap are not held back, nor are those that have waited for very long.
    fn is_too_late(&self, name: &str, demand: &TargetDemand) -> bool {
        let Some(model) = self.spec.models.get(name) else {
            return false;
        };
        let swap_time = load_time(model, WeightSource::Disk) + SWAP_OVERHEAD;
        demand.waiting > 0
            && demand.objective >= swap_time
            && self.now + swap_time > demand.in_time_until
            && self.now < demand.oldest_arrival + demand.objective * OVERDUE_OBJECTIVES
    }

    /// Counts the required replicas of all models, and what a swap delays on each engine, once.
    pub(super) fn prepare(&mut self) {
        let counts = self.summaries.iter().map(|(name, summary)| {
            let demand = summary.demand.unwrap_or_default();
            let required = self.required_replicas(summary, &demand);
            let running = summary.running;
            let least = demand::least_replicas(self.spec.slots, running, &demand, self.stream_time);
            (name.clone(), required, least)
        });
        for (name, required, least) in counts.collect::<Vec<_>>() {
            let summary = self.summaries.entry(name).or_default();
            summary.required = required;
            summary.least = if self.follows_demand { least } else { 0 };
        }
        if self.follows_demand {
            let engines = self.engines.iter();
            self.swap_delays = engines.map(|engine| self.swap_delay(engine)).collect();
        }
    }

    /// Requests that a swap on an engine delays: those that arrive for its models in the meantime.
    ///
    /// It concentrates the swaps for rare models on engines without models in demand.
    fn swap_delay(&self, engine: &EngineState) -> f64 {
        let rate = |name: &String| {
            let summary = self.summary(name);
            let rate = summary.demand.map_or(0.0, |demand| demand.request_rate);
            rate / f64::from(summary.replicas.max(1))
        };
        engine.models.keys().map(rate).sum::<f64>() * SWAP_OVERHEAD.as_secs_f64()
    }

    /// Models that need another replica where replicas follow demand: those whose requests can be in
    /// time first, then by the value of the load per second of its time.
    fn most_urgent_models(&self) -> Vec<String> {
        let mut lacking: Vec<(bool, f64, &String)> = Vec::new();
        for (name, summary) in &self.summaries {
            let (Some(demand), Some(model)) = (&summary.demand, self.spec.models.get(name)) else {
                continue;
            };
            if summary.replicas >= summary.required {
                continue;
            }
            let source = if summary.has_copy {
                WeightSource::Disk
            } else {
                WeightSource::Store
            };
            let time = load_time(model, source) + SWAP_OVERHEAD;
            let urgency = demand::urgency(summary.replicas, demand, time, self.now);
            lacking.push((self.is_too_late(name, demand), urgency, name));
        }
        lacking.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        lacking.into_iter().map(|(.., name)| name.clone()).collect()
    }

    /// Models that need another replica: those without any first, then those whose requests can be
    /// in time, then by longest wait.
    pub(super) fn underreplicated_models(&self) -> Vec<String> {
        if self.follows_demand {
            return self.most_urgent_models();
        }
        let mut underreplicated: Vec<(bool, bool, Duration, &String)> = Vec::new();
        for (name, summary) in &self.summaries {
            let Some(demand) = &summary.demand else {
                continue;
            };
            let lacking = summary.replicas < summary.required;
            if lacking && self.spec.models.contains_key(name) {
                let too_late = self.is_too_late(name, demand);
                underreplicated.push((summary.replicas > 0, too_late, demand.oldest_arrival, name));
            }
        }
        underreplicated.sort();
        underreplicated
            .into_iter()
            .map(|(_, _, _, name)| name.clone())
            .collect()
    }

    /// Models without a copy on any engine that is not draining, by descending arrival rate.
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
        if !self.is_worth_its_price(model, &option) {
            return None;
        }
        if option.source == WeightSource::Store {
            if urgent && !self.may_load_from_store(model, *capacity) {
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
        let summary = self.summaries.entry(model.to_owned()).or_default();
        summary.replicas += 1;
        let (replicas, required) = (summary.replicas, summary.required);
        let engine = &mut self.engines[option.engine];
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
            replicas,
            required,
        })
    }

    /// Whether a further replica serves more requests in time than its swap makes wait.
    fn is_worth_its_price(&self, model: &str, option: &LoadOption) -> bool {
        let summary = self.summary(model);
        if !self.follows_demand || summary.replicas == 0 {
            return true;
        }
        let demand = summary.demand.unwrap_or_default();
        let gain = demand::replica_gain(summary.replicas, summary.required, &demand);
        gain > demand::swap_price(option.load) + option.cost
    }

    /// Option without a limit, then with the nearest weights, and among equally near ones the lowest eviction cost.
    fn best_option(&self, model: &str, store_open: bool) -> Option<LoadOption> {
        let mut best: Option<LoadOption> = None;
        for index in 0..self.engines.len() {
            let engine_source = weight_source(&self.engines[index], model);
            let limited = self.engines[index].limit.is_some();
            let is_after = |b: &LoadOption| (limited, engine_source) > (b.limited, b.source);
            let farther = best.as_ref().is_some_and(is_after);
            if farther || (engine_source == WeightSource::Store && !store_open) {
                continue;
            }
            let Some(option) = self.load_option(model, index) else {
                continue;
            };
            let is_better = |b: &LoadOption| {
                (option.limited, option.source, option.load, option.cost)
                    < (b.limited, b.source, b.load, b.cost)
            };
            if best.as_ref().is_none_or(is_better) {
                best = Some(option);
            }
        }
        best
    }

    /// Whether a model that needs another replica may take a slot of the weight store now.
    ///
    /// Only requests that wait for a first replica bound the wait for an engine that has a copy.
    fn may_load_from_store(&self, model: &str, capacity: StoreCapacity) -> bool {
        let refused = self.demand(model).refused_rate;
        if self.follows_demand && refused >= MIN_REFUSED_RATE_PER_S {
            return true;
        }
        if self.replicas(model) > 0 || self.demand(model).waiting == 0 {
            return capacity.slots > PREFETCH_RESERVED_SLOTS;
        }
        !self.local_copy_expected(model)
    }

    /// Whether to wait for an engine that has a copy instead of loading from the weight store.
    ///
    /// Such an engine is expected to become available sooner than the store delivers, until the
    /// requests have waited for half the time of a load from the store.
    fn local_copy_expected(&self, model: &str) -> bool {
        let copied = |e: &EngineState| e.serves() && weight_source(e, model) != WeightSource::Store;
        let cold = self
            .spec
            .models
            .get(model)
            .map_or(Duration::ZERO, |m| m.cold_load);
        let waited = self.now.saturating_sub(self.demand(model).oldest_arrival);
        waited < cold / 2 && self.engines.iter().any(copied)
    }

    /// How an engine would free enough memory for a model; `None` if it cannot at present.
    fn load_option(&self, model: &str, index: usize) -> Option<LoadOption> {
        let engine = &self.engines[index];
        if engine.busy || !engine.serves() || engine.models.contains_key(model) {
            return None;
        }
        let size = self.spec.models.get(model)?.weights_mb;
        let mut free_memory = self.spec.memory_mb - self.used_memory(engine);
        let mut evictable: Vec<(f64, &str)> = engine
            .models
            .iter()
            .filter(|(name, loaded)| self.evictable(name, loaded))
            .filter(|(name, _)| !self.is_protected(name, model))
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
        // Breaks ties in favor of engines with fewer copies on disk, which spreads the copies: more
        // models then have one nearby.
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let tie_break = engine.on_disk.len() as f64 * 1e-6;
        (free_memory >= size).then(|| LoadOption {
            engine: index,
            limited: engine.limit.is_some(),
            source: weight_source(engine, model),
            load: self.relieving_load(model, engine),
            evict,
            cost: cost + self.swap_delays.get(index).copied().unwrap_or_default() + tie_break,
        })
    }

    fn evictable(&self, name: &str, loaded: &LoadedModel) -> bool {
        loaded.running == 0
            && self.now >= loaded.loaded_at + MIN_RESIDENCE
            && (self.demand(name).waiting == 0 || self.replicas(name) > 1)
    }

    /// Whether a model is kept from eviction for another one, as its own streams would be refused.
    ///
    /// Such a model is evicted only for one that no engine has and whose requests have waited for
    /// longer than their objective.
    fn is_protected(&self, name: &str, other: &str) -> bool {
        if !self.follows_demand {
            return false;
        }
        let summary = self.summary(name);
        if summary.replicas > summary.least {
            return false;
        }
        let waiting = self.demand(other);
        let is_overdue = waiting.waiting > 0
            && self.replicas(other) == 0
            && self.now > waiting.oldest_arrival + waiting.objective;
        !is_overdue
    }

    /// Requests running on an engine, for a further replica where replicas follow demand.
    fn relieving_load(&self, model: &str, engine: &EngineState) -> u32 {
        if !self.follows_demand || self.replicas(model) == 0 {
            return 0;
        }
        engine.models.values().map(|loaded| loaded.running).sum()
    }

    /// Cost of unloading a model: the requests that would wait for it to be loaded again.
    ///
    /// The cost falls with the square of the number of replicas at the engine's software version: streams
    /// that have begun cannot go on at another one.
    fn eviction_cost(&self, engine: &EngineState, name: &str) -> f64 {
        let alike = self.version_replicas.at(&engine.software, name);
        let alike = alike.unwrap_or(u32::MAX);
        if self.follows_demand {
            let summary = self.summary(name);
            let source = weight_source(engine, name);
            let model = self.spec.models.get(name);
            let reload = model.map_or(Duration::ZERO, |model| load_time(model, source));
            let demand = summary.demand.unwrap_or_default();
            let replicas = summary.replicas.min(alike);
            return demand::eviction_price(replicas, summary.required, &demand, reload);
        }
        let replicas = f64::from(self.replicas(name).min(alike).max(1));
        let reload_s = self.spec.models.get(name).map_or(1.0, |m| {
            load_time(m, weight_source(engine, name)).as_secs_f64()
        });
        let rate = self.demand(name).request_rate;
        (rate + 1e-3) * reload_s / (replicas * replicas)
    }
}
