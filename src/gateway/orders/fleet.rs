//! Input of the planner: known states of engines and the demand of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::DemandReport;
use super::super::planner::{EngineAction, EngineState, Fleet, LoadedModel, TargetDemand};
use super::super::protocol::Target;
use super::OrderController;
use super::record::{EngineRecord, RATE_WINDOW};

impl OrderController {
    pub(super) fn sync_records(&mut self, service: &str, now: Duration) {
        let servers = &self.gateway.servers;
        let listed = servers.list_service(service);
        let ids: BTreeSet<&str> = listed.iter().map(|e| e.id.as_str()).collect();
        self.records.retain(|id, _| ids.contains(id.as_str()));
        for entry in &listed {
            let restarted = |r: &EngineRecord| r.started_ms != entry.started_ms;
            if self.records.get(&entry.id).is_none_or(restarted)
                && let Some(endpoint) = servers.endpoint(&entry.id)
            {
                self.records
                    .insert(entry.id.clone(), EngineRecord::new(&endpoint));
            }
            if let Some(record) = self.records.get_mut(&entry.id) {
                record.leaving |= !entry.ready;
                record.loaded_at.retain(|_, at| now < *at + RATE_WINDOW);
            }
        }
    }

    pub(super) fn demands(&self) -> impl Iterator<Item = &DemandReport> {
        let peers = self.peers.values().map(|p| &p.demand);
        peers.chain(std::iter::once(&self.own_demand))
    }

    pub(super) fn fleet(&self, service: &str, now: Duration) -> Fleet {
        let mut target_demands: BTreeMap<Target, TargetDemand> = BTreeMap::new();
        for ((scope, target), rate) in &self.rates {
            if scope == service {
                target_demands
                    .entry(target.clone())
                    .or_default()
                    .request_rate = rate.at(now);
            }
        }
        let mut running: BTreeMap<(&str, Target), u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in demand.requested.iter().filter(|c| c.scope == service) {
                if count.count == 0 {
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
            }
            for count in &demand.running {
                *running.entry((&count.scope, count.target())).or_default() += count.count;
            }
        }
        let engines = self.records.iter().map(|(id, record)| {
            let running_on = |model: &str, adapter: Option<&String>| {
                let target = Target {
                    model: model.to_owned(),
                    adapter: adapter.cloned(),
                };
                running
                    .get(&(id.as_str(), target))
                    .copied()
                    .unwrap_or_default()
            };
            let models = record.models.iter().map(|(model, adapters)| {
                let adapters: BTreeMap<String, u32> = adapters
                    .iter()
                    .map(|a| (a.clone(), running_on(model, Some(a))))
                    .collect();
                let loaded_model = LoadedModel {
                    running: running_on(model, None) + adapters.values().sum::<u32>(),
                    adapters,
                    loaded_at: record.loaded_at.get(model).copied().unwrap_or_default(),
                };
                (model.clone(), loaded_model)
            });
            EngineState {
                id: id.clone(),
                domain: record.domain.clone(),
                models: models.collect(),
                loading_adapters: record.pending_adapters.clone(),
                in_memory: record.warm.clone(),
                on_disk: record.disk.clone(),
                loading_model: record.swap.as_ref().and_then(|s| match &s.change {
                    EngineAction::LoadModel { model, .. } => Some(model.clone()),
                    EngineAction::LoadAdapter { .. } => None,
                }),
                busy: record.swap.is_some() || record.adapter_loads > 0 || record.state_unknown,
                draining: record.leaving,
            }
        });
        Fleet {
            engines: engines.collect(),
            demand: target_demands,
        }
    }
}
