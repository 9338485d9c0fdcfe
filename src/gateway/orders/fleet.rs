//! Input of the planner: known states of engines and the demand of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::Demand;
use super::super::planner::{Change, EngineState, Fleet, Holding, Want};
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

    pub(super) fn demands(&self) -> impl Iterator<Item = &Demand> {
        let peers = self.peers.values().map(|p| &p.demand);
        peers.chain(std::iter::once(&self.own_demand))
    }

    pub(super) fn fleet(&self, service: &str, now: Duration) -> Fleet {
        let mut wants: BTreeMap<Target, Want> = BTreeMap::new();
        for ((place, target), rate) in &self.rates {
            if place == service {
                wants.entry(target.clone()).or_default().rate = rate.at(now);
            }
        }
        let mut running: BTreeMap<(&str, Target), u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in demand.asked.iter().filter(|c| c.place == service) {
                if count.count == 0 {
                    continue;
                }
                let since = now.saturating_sub(Duration::from_millis(count.millis.into()));
                let want = wants.entry(count.target()).or_default();
                want.since = if want.waiting == 0 {
                    since
                } else {
                    want.since.min(since)
                };
                want.waiting += count.count;
            }
            for count in &demand.running {
                *running.entry((&count.place, count.target())).or_default() += count.count;
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
                let holding = Holding {
                    running: running_on(model, None) + adapters.values().sum::<u32>(),
                    adapters,
                    since: record.loaded_at.get(model).copied().unwrap_or_default(),
                };
                (model.clone(), holding)
            });
            EngineState {
                id: id.clone(),
                domain: record.domain.clone(),
                models: models.collect(),
                coming: record.pending_adapters.clone(),
                warm: record.warm.clone(),
                disk: record.disk.clone(),
                loading: record.swap.as_ref().and_then(|s| match &s.change {
                    Change::Swap { model, .. } => Some(model.clone()),
                    Change::Adapter { .. } => None,
                }),
                busy: record.swap.is_some() || record.adapter_loads > 0 || record.state_unknown,
                leaving: record.leaving,
            }
        });
        Fleet {
            engines: engines.collect(),
            wants,
        }
    }
}
