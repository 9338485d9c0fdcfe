//! What the holder tells other instances, and what it heard of them.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::catalog::Catalog;
use super::super::edge::Target;
use super::super::link::{self, DemandReport, EngineView, FleetUpdate, TargetCount};
use super::super::planner::{EngineAction, TargetDemand};
use super::super::servers::View;
use super::Orders;

/// Time between two full views to an instance.
const VIEW_EVERY: Duration = Duration::from_secs(1);
/// Longest time between two outlooks to an instance, which carry the clock.
const BEAT_EVERY: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) demand: DemandReport,
    pub(super) heard: Duration,
    pub(super) answers: mpsc::Sender<FleetUpdate>,
    /// Version of the views that it was told last.
    pub(super) known: u64,
    pub(super) whole: Duration,
    pub(super) beat: Duration,
    pub(super) refused: usize,
}

impl Orders {
    /// Tells all instances, this one included, what changed.
    pub(super) fn publish(&mut self, catalog: &Catalog, estimates: &[TargetCount], now: Duration) {
        let mut loads: BTreeMap<String, u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in &demand.running {
                *loads.entry(count.scope.clone()).or_default() += count.count;
            }
        }
        for (id, record) in &mut self.records {
            record.load = loads.get(id).copied().unwrap_or_default();
        }
        let views: Vec<View> = self
            .records
            .iter_mut()
            .filter(|(_, record)| !record.unknown)
            .map(|(id, record)| View {
                id: id.clone(),
                born: record.born,
                accepted: record.count(),
                models: record.models.clone(),
                closing: record.closing(),
                load: record.load,
                running: record.running,
                queued: record.queued,
                leaving: record.leaving,
            })
            .collect();
        let version = self
            .lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .version();
        let refused = self.gateway.suspicion().refused();
        let live = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        self.gateway.servers.view(&views, now);
        self.gateway.budgets().resize(live);
        for estimate in estimates {
            let key = (estimate.scope.clone(), estimate.target());
            self.gateway
                .estimate(key, Duration::from_millis(estimate.wait_ms.into()));
        }
        self.views
            .update(views.iter().map(EngineView::from_view).collect());
        for peer in self.peers.values_mut() {
            let due = now >= peer.whole + VIEW_EVERY;
            let outlook = FleetUpdate {
                holding: true,
                row_version: version,
                clock_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
                live_instances: live,
                config: link::newer_config(&self.gateway, peer.demand.config_version),
                engines: self.views.since(if due { 0 } else { peer.known }),
                estimates: peer.asked_for(estimates),
                refused: if refused.len() == peer.refused {
                    Vec::new()
                } else {
                    refused.clone()
                },
                ..FleetUpdate::default()
            };
            let beat = now >= peer.beat + BEAT_EVERY;
            if due || beat || outlook_matters(&outlook) {
                peer.beat = now;
                peer.refused = refused.len();
                peer.demand.config_version = peer.demand.config_version.max(catalog.version);
                if due {
                    peer.whole = now;
                }
                let sent = peer.answers.try_send(outlook).is_ok();
                peer.known = if sent { self.views.version() } else { 0 };
            }
        }
    }

    /// Time until models that requests wait for can be served.
    pub(super) fn estimates(
        &self,
        catalog: &Catalog,
        wants: &BTreeMap<&str, BTreeMap<Target, TargetDemand>>,
        now: Duration,
    ) -> Vec<TargetCount> {
        let mut estimates = Vec::new();
        for (service, engine) in catalog.engines() {
            let mut queued = 0;
            for (target, want) in wants.get(service).into_iter().flatten() {
                if want.waiting == 0 || target.adapter.is_some() {
                    continue;
                }
                let loading = self.records.values().filter_map(|b| b.swap.as_ref()).find(
                    |j| matches!(&j.change, EngineAction::LoadModel { model, .. } if *model == target.model),
                );
                let copied = self.records.values().any(|b| {
                    b.disk.contains(&target.model) || b.models.contains_key(&target.model)
                });
                let cold = engine
                    .models
                    .get(&target.model)
                    .map_or(Duration::ZERO, |m| m.cold);
                let ready_in = match loading {
                    Some(job) => job.until.saturating_sub(now),
                    None if copied => continue,
                    None => {
                        queued += 1;
                        self.store.wait(queued, cold)
                    }
                };
                estimates.push(TargetCount {
                    scope: service.to_owned(),
                    model: target.model.clone(),
                    wait_ms: link::millis(ready_in),
                    ..TargetCount::default()
                });
            }
        }
        estimates
    }
}

impl Peer {
    /// The estimates of what requests at this instance wait for.
    fn asked_for(&self, estimates: &[TargetCount]) -> Vec<TargetCount> {
        let asked = |e: &&TargetCount| {
            let waiting = self.demand.requested.iter().filter(|c| c.count > 0);
            let mut same = waiting.filter(|c| c.scope == e.scope && c.model == e.model);
            same.next().is_some()
        };
        estimates.iter().filter(asked).cloned().collect()
    }
}

fn outlook_matters(outlook: &FleetUpdate) -> bool {
    !outlook.engines.is_empty() || !outlook.config.is_empty() || !outlook.refused.is_empty()
}
