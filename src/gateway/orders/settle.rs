//! What engines answer: their reports, and how swaps and loads of adapters ended.

use std::time::Duration;

use xtra::prelude::*;

use super::super::edge::Report;
use super::super::link;
use super::super::planner::{EngineAction, WeightSource};
use super::Orders;
use super::send::{OrderSender, Outcome, report_due};

/// Time between two reports that are asked of an engine without a running order.
const REPORT_EVERY: Duration = Duration::from_millis(900);
/// The same for an engine that is loaded, whose queue decides who is refused.
const REPORT_LOADED: Duration = Duration::from_millis(250);
/// Part of an engine's slots from which it counts as loaded: a third.
const LOADED_SHARE: u32 = 3;

/// An engine reported.
#[derive(Debug)]
pub(super) struct Reported {
    engine: String,
    report: Report,
    /// When it was asked for.
    asked: Duration,
}

/// A swap or an adapter's load ended.
#[derive(Debug)]
pub(super) struct Settled {
    pub(super) engine: String,
    pub(super) born: u64,
    pub(super) change: EngineAction,
    pub(super) outcome: Outcome,
    pub(super) took: Duration,
}

impl Orders {
    pub(super) fn ask_reports(&mut self, slots: u32, now: Duration) {
        let Some(me) = self.me.clone() else {
            return;
        };
        for (id, record) in &mut self.records {
            let loaded = record.load * LOADED_SHARE >= slots || record.queued > 0;
            let every = if loaded { REPORT_LOADED } else { REPORT_EVERY };
            if !report_due(record.asked, record.settled, every + record.jitter, now) {
                continue;
            }
            record.asked = now;
            // Spreads the reports, so that they do not come all at once.
            record.jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            let sender = OrderSender::new(&self.gateway, &self.lease, id, record);
            let (engine, me) = (id.clone(), me.clone());
            tokio::spawn(async move {
                let asked = sender.gateway.now();
                let Some(report) = sender.report().await else {
                    return;
                };
                let reported = Reported {
                    engine,
                    report,
                    asked,
                };
                if me.send(reported).await.is_err() {
                    log::debug!("the instance is stopping");
                }
            });
        }
    }

    pub(super) fn settle(&mut self, settled: Settled) {
        let now = self.gateway.now();
        if let EngineAction::LoadModel {
            source: WeightSource::Store,
            model,
            ..
        } = &settled.change
        {
            let catalog = self.gateway.catalog();
            let cold = catalog
                .iter()
                .flat_map(|c| c.engines())
                .find_map(|(_, e)| e.models.get(model).map(|m| m.cold));
            self.store
                .end(settled.took, cold, settled.outcome == Outcome::Done);
        }
        let Some(record) = self.records.get_mut(&settled.engine) else {
            return;
        };
        if record.born != settled.born {
            return;
        }
        record.settled = now;
        let took = link::millis(settled.took);
        match settled.change {
            EngineAction::LoadModel { model, source, .. } => {
                record.swap = None;
                log::info!(engine = settled.engine.as_str(), model = model.as_str(),
                    outcome:% = settled.outcome, took_ms = took, source:% = source; "load ended");
                if settled.outcome == Outcome::Done {
                    record.since.insert(model.clone(), now);
                    record.warm.insert(model.clone());
                    record.disk.insert(model.clone());
                    record.models.entry(model).or_default();
                } else {
                    // Unknown until the engine reports: count nothing as free, offer nothing.
                    record.unknown = true;
                }
            }
            EngineAction::LoadAdapter { target, .. } => {
                record.adapters = record.adapters.saturating_sub(1);
                record.coming.remove(&target);
                if settled.outcome == Outcome::Done {
                    if let Some(adapters) = record.models.get_mut(&target.model) {
                        adapters.extend(target.adapter);
                    }
                } else {
                    record.unknown = true;
                    log::warn!(engine = settled.engine.as_str(), model = target.model.as_str(),
                        adapter = target.adapter.unwrap_or_default(),
                        outcome:% = settled.outcome, took_ms = took; "adapter load ended");
                }
            }
        }
    }
}

impl Handler<Reported> for Orders {
    type Return = ();

    async fn handle(&mut self, message: Reported, _ctx: &mut Context<Self>) {
        if let Some(record) = self.records.get_mut(&message.engine) {
            record.report(message.report, message.asked);
        }
    }
}

impl Handler<Settled> for Orders {
    type Return = ();

    async fn handle(&mut self, message: Settled, _ctx: &mut Context<Self>) {
        self.settle(message);
        self.dirty = true;
        self.run();
    }
}
