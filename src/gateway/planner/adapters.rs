//! Which engine fetches which adapter.

use std::time::Duration;

use super::{Change, EngineState, Holding, Planner, Step, Target};

/// Adapters that may be on their way to one engine.
const COMING_MOST: usize = 4;

impl Planner<'_> {
    /// Adapters that requests wait for and that no engine holds or fetches.
    pub(super) fn wanted_adapters(&self) -> Vec<Target> {
        let mut wanted: Vec<(Duration, Target)> = self
            .wants
            .iter()
            .filter(|(t, w)| w.waiting > 0 && t.adapter.is_some() && !self.served(t))
            .map(|(t, w)| (w.since, t.clone()))
            .collect();
        wanted.sort();
        wanted.into_iter().map(|(_, target)| target).collect()
    }

    fn served(&self, target: &Target) -> bool {
        let name = target.adapter_name();
        self.engines.iter().filter(|e| !e.leaving).any(|e| {
            let held = |h: &Holding| h.adapters.contains_key(name);
            e.coming.contains(target) || e.models.get(&target.model).is_some_and(held)
        })
    }

    pub(super) fn adapter(&mut self, target: &Target) -> Option<Step> {
        let best = (0..self.engines.len())
            .filter_map(|at| Some((self.place(target, at)?, at)))
            .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))?;
        let ((_, _, out), at) = best;
        let engine = &mut self.engines[at];
        for old in &out {
            if let Some(holding) = engine.models.get_mut(&old.model) {
                holding.adapters.remove(old.adapter_name());
            }
        }
        engine.coming.insert(target.clone());
        Some(Step {
            engine: engine.id.clone(),
            change: Change::Adapter {
                out,
                target: target.clone(),
            },
            urgent: true,
        })
    }

    /// Cost of an adapter on an engine and the adapters that have to go, if it fits.
    fn place(&self, target: &Target, at: usize) -> Option<(usize, u32, Vec<Target>)> {
        let engine = &self.engines[at];
        if engine.leaving || engine.busy || engine.coming.len() >= COMING_MOST {
            return None;
        }
        let holding = engine.models.get(&target.model)?;
        let held: usize = engine.models.values().map(|h| h.adapters.len()).sum();
        let places = usize::try_from(self.spec.adapter_slots).unwrap_or(usize::MAX);
        let size = self.spec.models.get(&target.model)?.adapter_mb;
        let mut free = self.spec.memory_mb - self.used(engine);
        let mut open = places.saturating_sub(held + engine.coming.len());
        let mut out = Vec::new();
        let mut idle = self.idle_adapters(engine);
        while open == 0 || free < size {
            let (_, old) = idle.pop()?;
            free += self.spec.models.get(&old.model)?.adapter_mb;
            open += 1;
            out.push(old);
        }
        Some((out.len(), holding.running, out))
    }

    /// Adapters that no request uses or waits for, the least asked for last.
    fn idle_adapters(&self, engine: &EngineState) -> Vec<(f64, Target)> {
        let mut idle = Vec::new();
        for (model, holding) in &engine.models {
            for (adapter, running) in &holding.adapters {
                let target = Target {
                    model: model.clone(),
                    adapter: Some(adapter.clone()),
                };
                let want = self.wants.get(&target).copied().unwrap_or_default();
                if *running == 0 && want.waiting == 0 {
                    idle.push((want.rate, target));
                }
            }
        }
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        idle
    }
}
