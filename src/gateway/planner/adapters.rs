//! Plans which engine loads which adapter.

use std::time::Duration;

use super::{EngineAction, EngineState, LoadedModel, PlannedAction, Planner, Target};

/// Most adapters that one engine loads at the same time.
const MAX_LOADING_ADAPTERS: usize = 4;

impl Planner<'_> {
    /// Adapters that requests wait for and no engine has or loads, longest wait first.
    ///
    /// An engine that names a limit does not count where another one has the model.
    pub(super) fn missing_adapters(&self) -> Vec<Target> {
        let mut missing: Vec<(Duration, Target)> = self
            .demand
            .iter()
            .filter(|(target, demand)| {
                demand.waiting > 0 && target.adapter.is_some() && !self.held_or_loading(target)
            })
            .map(|(target, demand)| (demand.oldest_arrival, target.clone()))
            .collect();
        missing.sort();
        missing.into_iter().map(|(_, target)| target).collect()
    }

    pub(super) fn held_or_loading(&self, target: &Target) -> bool {
        let name = target.adapter_name();
        let has_model = |e: &EngineState| e.serves() && e.models.contains_key(&target.model);
        let mut with_model = self.engines.iter().filter(|e| has_model(e));
        let has_free = with_model.any(|e| e.limit.is_none());
        let counts = |e: &&EngineState| e.serves() && !(has_free && e.limit.is_some());
        self.engines.iter().filter(counts).any(|e| {
            let held = |h: &LoadedModel| h.adapters.contains_key(name);
            e.loading_adapters.contains(target) || e.models.get(&target.model).is_some_and(held)
        })
    }

    pub(super) fn plan_adapter_load(&mut self, target: &Target) -> Option<PlannedAction> {
        let best = (0..self.engines.len())
            .filter_map(|at| Some((self.adapter_cost(target, at)?, at)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))?;
        let ((.., evict), at) = best;
        let engine = &mut self.engines[at];
        for evicted in &evict {
            if let Some(loaded) = engine.models.get_mut(&evicted.model) {
                loaded.adapters.remove(evicted.adapter_name());
            }
        }
        engine.loading_adapters.insert(target.clone());
        Some(PlannedAction {
            engine: engine.id.clone(),
            action: EngineAction::LoadAdapter {
                evict,
                target: target.clone(),
            },
            urgent: true,
            replicas: 0,
            required: 0,
        })
    }

    /// Cost of loading an adapter on an engine, and the adapters to evict for it.
    ///
    /// The cost is whether it names a limit, then the number of evictions, then the running requests
    /// of its base model. `None` if
    /// the engine accepts no adapter now, does not hold the model, or cannot free enough memory and
    /// adapter slots.
    fn adapter_cost(&self, target: &Target, at: usize) -> Option<(bool, usize, u32, Vec<Target>)> {
        let engine = &self.engines[at];
        if !engine.serves() || engine.busy || engine.loading_adapters.len() >= MAX_LOADING_ADAPTERS
        {
            return None;
        }
        let loaded = engine.models.get(&target.model)?;
        let held: usize = engine.models.values().map(|h| h.adapters.len()).sum();
        let adapter_slots = usize::try_from(self.spec.adapter_slots).unwrap_or(usize::MAX);
        let size = self.spec.models.get(&target.model)?.adapter_mb;
        let mut free_memory = self.spec.memory_mb - self.used_memory(engine);
        let mut free_slots = adapter_slots.saturating_sub(held + engine.loading_adapters.len());
        let mut evict = Vec::new();
        let mut evictable = self.evictable_adapters(engine);
        while free_slots == 0 || free_memory < size {
            let (_, evicted) = evictable.pop()?;
            free_memory += self.spec.models.get(&evicted.model)?.adapter_mb;
            free_slots += 1;
            evict.push(evicted);
        }
        Some((engine.limit.is_some(), evict.len(), loaded.running, evict))
    }

    /// Adapters that no request uses or waits for, by descending arrival rate.
    fn evictable_adapters(&self, engine: &EngineState) -> Vec<(f64, Target)> {
        let mut evictable = Vec::new();
        for (model, loaded) in &engine.models {
            for (adapter, running) in &loaded.adapters {
                let target = Target {
                    model: model.clone(),
                    adapter: Some(adapter.clone()),
                };
                let demand = self.demand.get(&target).copied().unwrap_or_default();
                if *running == 0 && demand.waiting == 0 {
                    evictable.push((demand.request_rate, target));
                }
            }
        }
        evictable.sort_by(|a, b| b.0.total_cmp(&a.0));
        evictable
    }
}
