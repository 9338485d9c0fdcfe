//! Plans loads for streams that can go on only at one software version.
//!
//! Such a stream waits for seconds at most, so nothing is fetched from the weight store for it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{
    Engine, EngineState, Fleet, PlannedAction, Planner, StoreCapacity, Target, VersionReplicas,
    summarize,
};

const NO_STORE: StoreCapacity = StoreCapacity {
    slots: 0,
    tokens: 0,
};

/// Loads of pinned targets, each at an engine of its version; `engines` get the changes.
pub(super) fn plan(
    spec: &Engine,
    fleet: &Fleet,
    engines: &mut Vec<EngineState>,
    now: Duration,
) -> Vec<PlannedAction> {
    let mut actions = Vec::new();
    let versions: BTreeSet<&String> = fleet.pinned.iter().map(|p| &p.software).collect();
    for software in versions {
        let (own, others): (Vec<EngineState>, Vec<EngineState>) =
            engines.drain(..).partition(|e| e.software == *software);
        let mut planner = Planner {
            spec,
            summaries: summarize(&own, &fleet.demand),
            version_replicas: VersionReplicas::default(),
            engines: own,
            demand: &fleet.demand,
            follows_demand: false,
            stream_time: fleet.stream_time,
            swap_delays: Vec::new(),
            now,
        };
        for pinned in fleet.pinned.iter().filter(|p| p.software == *software) {
            actions.extend(planner.plan_target(&pinned.target));
        }
        engines.extend(planner.engines);
        engines.extend(others);
    }
    actions
}

impl Planner<'_> {
    /// Load of a model or adapter that no engine holds or loads, if there is one nearby.
    fn plan_target(&mut self, target: &Target) -> Option<PlannedAction> {
        if self.replicas(&target.model) == 0 {
            return self.plan_model_load(&target.model, &mut NO_STORE.clone(), true);
        }
        if target.adapter.is_none() || self.held_or_loading(target) {
            return None;
        }
        self.plan_adapter_load(target)
    }
}
