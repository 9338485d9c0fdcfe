//! Input of the planner: known states of engines and the demand of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::DemandReport;
use super::super::planner::{Fleet, PinnedTarget};
use super::super::protocol::Target;
use super::OrderController;

impl OrderController {
    pub(super) fn sync_records(&mut self, service: &str, now: Duration) {
        let servers = &self.gateway.servers;
        let listed = servers.list_service(service, now);
        let describe = |id: &str| servers.endpoint(id);
        self.records.sync(service, &listed, describe, now);
    }

    pub(super) fn demands(&self) -> impl Iterator<Item = &DemandReport> {
        let peers = self.peers.values().map(|p| &p.demand);
        peers.chain(std::iter::once(&self.own_demand))
    }

    /// Whether the replicas of a service follow demand: its endpoints state a pace, so that the share of
    /// late streams is known.
    pub(super) fn follows_demand(&self, service: &str, now: Duration) -> bool {
        self.gateway.servers.reports_pace(service, now)
    }

    pub(super) fn fleet(&self, service: &str, now: Duration) -> Fleet {
        let mut target_demands = self.rates.of_service(service, now);
        let mut pinned = BTreeSet::new();
        let mut running: BTreeMap<&str, BTreeMap<Target, u32>> = BTreeMap::new();
        for demand in self.demands() {
            for count in demand.requested.iter().filter(|c| c.scope == service) {
                if count.count == 0 {
                    continue;
                }
                if !count.software.is_empty() {
                    pinned.insert(PinnedTarget {
                        software: count.software.clone(),
                        target: count.target(),
                    });
                    continue;
                }
                let since = now.saturating_sub(Duration::from_millis(count.wait_ms.into()));
                let target_demand = target_demands.entry(count.target()).or_default();
                target_demand.oldest_arrival = if target_demand.waiting == 0 {
                    since
                } else {
                    target_demand.oldest_arrival.min(since)
                };
                target_demand.waiting += count.count;
                let objective = Duration::from_millis(count.objective_ms.into());
                let in_time_until = now + Duration::from_millis(count.left_ms.into());
                target_demand.objective = target_demand.objective.max(objective);
                target_demand.in_time_until = target_demand.in_time_until.max(in_time_until);
            }
            for count in &demand.running {
                let engine = running.entry(&count.scope).or_default();
                *engine.entry(count.target()).or_default() += count.count;
            }
        }
        let running_on = |engine: &str, target: &Target| {
            let count = running.get(engine).and_then(|r| r.get(target));
            count.copied().unwrap_or_default()
        };
        Fleet {
            engines: self.records.states(service, running_on, now),
            demand: target_demands,
            pinned,
            follows_demand: self.follows_demand(service, now),
            stream_time: self.gateway.servers.run_time(),
        }
    }
}
