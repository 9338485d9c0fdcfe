//! What is known of each model over all engines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Fleet, Want};

/// What is known of a model over all engines, counted once for a plan.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Facts {
    /// Demand, its adapters included; none where nobody asks.
    pub(super) want: Option<Want>,
    /// Engines that hold it or are about to.
    pub(super) replicas: u32,
    /// Requests that run on them.
    pub(super) running: u32,
    /// Whether an engine keeps a copy.
    pub(super) kept: bool,
}

pub(super) fn facts(fleet: &Fleet) -> BTreeMap<String, Facts> {
    let mut facts: BTreeMap<String, Facts> = BTreeMap::new();
    for (target, want) in &fleet.wants {
        let fact = facts.entry(target.model.clone()).or_default();
        let sum = fact.want.get_or_insert(Want {
            since: Duration::MAX,
            ..Want::default()
        });
        sum.waiting += want.waiting;
        sum.rate += want.rate;
        if want.waiting > 0 {
            sum.since = sum.since.min(want.since);
        }
    }
    for engine in fleet.engines.iter().filter(|e| !e.leaving) {
        for (model, holding) in &engine.models {
            let fact = facts.entry(model.clone()).or_default();
            fact.replicas += 1;
            fact.running += holding.running;
            fact.kept = true;
        }
        if let Some(model) = &engine.loading {
            let fact = facts.entry(model.clone()).or_default();
            fact.replicas += u32::from(!engine.models.contains_key(model));
            fact.kept = true;
        }
        for model in engine.disk.iter().chain(&engine.warm) {
            facts.entry(model.clone()).or_default().kept = true;
        }
    }
    facts
}
