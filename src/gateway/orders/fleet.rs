//! What the planner is told: engines as known, and the demand of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::edge::Target;
use super::super::link::DemandReport;
use super::super::planner::{EngineAction, EngineState, Fleet, LoadedModel, TargetDemand};
use super::Orders;
use super::record::{EngineRecord, RATE_OVER};

impl Orders {
    pub(super) fn keep_records(&mut self, service: &str, now: Duration) {
        let servers = &self.gateway.servers;
        let listed = servers.listed(service);
        let ids: BTreeSet<&str> = listed.iter().map(|e| e.id.as_str()).collect();
        self.records.retain(|id, _| ids.contains(id.as_str()));
        for entry in &listed {
            let restarted = |b: &EngineRecord| b.born != entry.born;
            if self.records.get(&entry.id).is_none_or(restarted)
                && let Some(endpoint) = servers.endpoint(&entry.id)
            {
                self.records
                    .insert(entry.id.clone(), EngineRecord::new(&endpoint));
            }
            if let Some(record) = self.records.get_mut(&entry.id) {
                record.leaving |= !entry.ready;
                record.since.retain(|_, at| now < *at + RATE_OVER);
            }
        }
    }

    pub(super) fn demands(&self) -> impl Iterator<Item = &DemandReport> {
        let peers = self.peers.values().map(|p| &p.demand);
        peers.chain(std::iter::once(&self.own))
    }

    pub(super) fn fleet(&self, service: &str, now: Duration) -> Fleet {
        let mut wants: BTreeMap<Target, TargetDemand> = BTreeMap::new();
        for ((place, target), rate) in &self.rates {
            if place == service {
                wants.entry(target.clone()).or_default().request_rate = rate.now(now);
            }
        }
        let mut running: BTreeMap<(&str, Target), u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in demand.requested.iter().filter(|c| c.scope == service) {
                if count.count == 0 {
                    continue;
                }
                let since = now.saturating_sub(Duration::from_millis(count.wait_ms.into()));
                let want = wants.entry(count.target()).or_default();
                want.oldest_arrival = if want.waiting == 0 {
                    since
                } else {
                    want.oldest_arrival.min(since)
                };
                want.waiting += count.count;
            }
            for count in &demand.running {
                *running.entry((&count.scope, count.target())).or_default() += count.count;
            }
        }
        let engines = self.records.iter().map(|(id, record)| {
            let on = |model: &str, adapter: Option<&String>| {
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
                    .map(|a| (a.clone(), on(model, Some(a))))
                    .collect();
                let holding = LoadedModel {
                    running: on(model, None) + adapters.values().sum::<u32>(),
                    adapters,
                    loaded_at: record.since.get(model).copied().unwrap_or_default(),
                };
                (model.clone(), holding)
            });
            EngineState {
                id: id.clone(),
                domain: record.domain.clone(),
                models: models.collect(),
                loading_adapters: record.coming.clone(),
                in_memory: record.warm.clone(),
                on_disk: record.disk.clone(),
                loading_model: record.swap.as_ref().and_then(|j| match &j.change {
                    EngineAction::LoadModel { model, .. } => Some(model.clone()),
                    EngineAction::LoadAdapter { .. } => None,
                }),
                busy: record.swap.is_some() || record.adapters > 0 || record.unknown,
                draining: record.leaving,
            }
        });
        Fleet {
            engines: engines.collect(),
            demand: wants,
        }
    }
}
