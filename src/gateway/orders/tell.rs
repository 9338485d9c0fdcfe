//! What the holder tells other instances, and what it heard of them.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::catalog::Catalog;
use super::super::link::{self, Count, Demand, EngineView, Outlook};
use super::super::planner::Change;
use super::super::servers::View;
use super::{Orders, engines};

/// Time between two full views to an instance.
const VIEW_EVERY: Duration = Duration::from_secs(1);
/// Longest time between two outlooks to an instance, which carry the clock.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Change of an engine's load from which it is told at once.
const LOAD_STEP: u32 = 6;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) demand: Demand,
    pub(super) heard: Duration,
    pub(super) answers: mpsc::Sender<Outlook>,
    pub(super) told: BTreeMap<String, EngineView>,
    pub(super) whole: Duration,
    pub(super) beat: Duration,
    pub(super) refused: usize,
}

impl Orders {
    /// Tells all instances, this one included, what changed.
    pub(super) fn tell(&mut self, catalog: &Catalog, now: Duration) {
        let mut loads: BTreeMap<String, u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in &demand.running {
                *loads.entry(count.place.clone()).or_default() += count.count;
            }
        }
        for (id, book) in &mut self.books {
            book.load = loads.get(id).copied().unwrap_or_default();
        }
        let views: Vec<View> = self
            .books
            .iter_mut()
            .filter(|(_, book)| !book.unknown)
            .map(|(id, book)| View {
                id: id.clone(),
                born: book.born,
                accepted: book.count(),
                models: book.models.clone(),
                closing: book.closing(),
                load: book.load,
                running: book.running,
                queued: book.queued,
                leaving: book.leaving,
            })
            .collect();
        let version = self
            .lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .version();
        let estimates = self.estimates(catalog, now);
        let refused = self.gateway.suspicion().refused();
        let live = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        self.gateway.servers.view(&views, now);
        self.gateway.budgets().resize(live);
        for estimate in &estimates {
            let key = (estimate.place.clone(), estimate.target());
            self.gateway
                .estimate(key, Duration::from_millis(estimate.millis.into()));
        }
        let encoded: Vec<EngineView> = views.iter().map(EngineView::of).collect();
        for peer in self.peers.values_mut() {
            let outlook = Outlook {
                holding: true,
                version,
                clock: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
                live,
                config: link::newer_config(&self.gateway, peer.demand.version),
                engines: peer.changed(&encoded, now),
                estimates: estimates.clone(),
                refused: if refused.len() == peer.refused {
                    Vec::new()
                } else {
                    refused.clone()
                },
                ..Outlook::default()
            };
            let due = now >= peer.whole + VIEW_EVERY;
            let beat = now >= peer.beat + BEAT_EVERY;
            if due || beat || outlook_matters(&outlook) {
                peer.beat = now;
                peer.refused = refused.len();
                peer.demand.version = peer.demand.version.max(catalog.version);
                if due {
                    peer.whole = now;
                }
                if peer.answers.try_send(outlook).is_err() {
                    peer.told.clear();
                }
            }
        }
    }

    /// Time until models that requests wait for can be served.
    pub(super) fn estimates(&self, catalog: &Catalog, now: Duration) -> Vec<Count> {
        let mut estimates = Vec::new();
        for (service, engine) in engines(catalog) {
            let fleet = self.fleet(service, now);
            let mut queued = 0;
            for (target, want) in &fleet.wants {
                if want.waiting == 0 || target.adapter.is_some() {
                    continue;
                }
                let loading = self.books.values().filter_map(|b| b.swap.as_ref()).find(
                    |j| matches!(&j.change, Change::Swap { model, .. } if *model == target.model),
                );
                let copied = self.books.values().any(|b| {
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
                estimates.push(Count {
                    place: service.to_owned(),
                    model: target.model.clone(),
                    millis: link::millis(ready_in),
                    ..Count::default()
                });
            }
        }
        estimates
    }
}

impl Peer {
    /// Engines whose view has changed since this instance was told.
    fn changed(&mut self, views: &[EngineView], now: Duration) -> Vec<EngineView> {
        let whole = now >= self.whole + VIEW_EVERY;
        let mut changed = Vec::new();
        for view in views {
            let same = self.told.get(&view.id).is_some_and(|told| {
                let near = told.load.abs_diff(view.load) < LOAD_STEP;
                let queue = told.queued.abs_diff(view.queued) < LOAD_STEP;
                near && queue
                    && told.leaving == view.leaving
                    && told.models == view.models
                    && told.accepted == view.accepted
            });
            if whole || !same {
                self.told.insert(view.id.clone(), view.clone());
                changed.push(view.clone());
            }
        }
        changed
    }
}

fn outlook_matters(outlook: &Outlook) -> bool {
    !outlook.engines.is_empty() || !outlook.config.is_empty() || !outlook.refused.is_empty()
}
