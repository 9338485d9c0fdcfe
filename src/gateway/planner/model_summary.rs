//! Per-model totals over all engines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{EngineState, Target, TargetDemand};

/// Totals of a model over all engines, computed once per plan.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelSummary {
    /// Demand including that for its adapters; `None` without demand.
    pub(super) demand: Option<TargetDemand>,
    /// Engines that have it loaded or are loading it, but for those whose limit is below the demand.
    pub(super) replicas: u32,
    /// Requests running on these engines.
    pub(super) running: u32,
    /// Replicas that the demand requires.
    pub(super) required: u32,
    /// Replicas below which its streams are refused; 0 where replicas do not follow demand.
    pub(super) least: u32,
    /// Whether an engine that serves requests has loaded, loads or stores a copy.
    pub(super) has_copy: bool,
}

pub(super) fn summarize(
    engines: &[EngineState],
    demand: &BTreeMap<Target, TargetDemand>,
) -> BTreeMap<String, ModelSummary> {
    let mut summaries: BTreeMap<String, ModelSummary> = BTreeMap::new();
    for (target, demand) in demand {
        let summary = summaries.entry(target.model.clone()).or_default();
        let total = summary.demand.get_or_insert(TargetDemand {
            oldest_arrival: Duration::MAX,
            ..TargetDemand::default()
        });
        total.waiting += demand.waiting;
        total.late_share += (demand.late_share - total.late_share) * demand.request_rate
            / (total.request_rate + demand.request_rate).max(f64::MIN_POSITIVE);
        total.request_rate += demand.request_rate;
        total.refused_rate += demand.refused_rate;
        if demand.waiting > 0 {
            total.oldest_arrival = total.oldest_arrival.min(demand.oldest_arrival);
            total.objective = total.objective.max(demand.objective);
            total.in_time_until = total.in_time_until.max(demand.in_time_until);
        }
    }
    for engine in engines.iter().filter(|e| e.serves()) {
        let rate = |model: &String| {
            let demand = summaries.get(model).and_then(|s| s.demand);
            demand.unwrap_or_default().request_rate
        };
        let demanded: f64 = engine.models.keys().map(rate).sum();
        let is_short = engine.limit.is_some_and(|limit| demanded > limit);
        for (model, loaded) in &engine.models {
            let summary = summaries.entry(model.clone()).or_default();
            summary.replicas += u32::from(!is_short);
            summary.running += loaded.running;
            summary.has_copy = true;
        }
        if let Some(model) = &engine.loading_model {
            let summary = summaries.entry(model.clone()).or_default();
            summary.replicas += u32::from(!engine.models.contains_key(model));
            summary.has_copy = true;
        }
        for model in engine.on_disk.iter().chain(&engine.in_memory) {
            summaries.entry(model.clone()).or_default().has_copy = true;
        }
    }
    summaries
}
