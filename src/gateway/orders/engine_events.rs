//! What engines answer: their reports, and how swaps and loads of adapters ended.

use std::time::Duration;

use xtra::prelude::*;

use super::super::edge::Report;
use super::super::link;
use super::super::planner::{Change, Source};
use super::OrderController;
use super::send::{OrderSender, Outcome, report_due};

/// Time between two reports that are asked of an engine without a running order.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// The same for an engine that is loaded, whose queue decides who is refused.
const LOADED_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Part of an engine's slots from which it counts as loaded: a third.
const LOADED_SLOTS_DIVISOR: u32 = 3;

/// An engine reported.
#[derive(Debug)]
pub(super) struct ReportReceived {
    engine: String,
    report: Report,
    /// When it was asked for.
    requested: Duration,
}

/// A swap or an adapter's load ended.
#[derive(Debug)]
pub(super) struct ChangeEnded {
    pub(super) engine: String,
    pub(super) started_ms: u64,
    pub(super) change: Change,
    pub(super) outcome: Outcome,
    pub(super) took: Duration,
}

impl OrderController {
    pub(super) fn request_reports(&mut self, slots: u32, now: Duration) {
        let Some(controller) = self.own_address.clone() else {
            return;
        };
        for (id, record) in &mut self.records {
            let loaded = record.load * LOADED_SLOTS_DIVISOR >= slots || record.queued > 0;
            let interval = if loaded {
                LOADED_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            if !report_due(
                record.report_requested,
                record.change_ended,
                interval + record.report_jitter,
                now,
            ) {
                continue;
            }
            record.report_requested = now;
            // Spreads the reports, so that they do not come all at once.
            record.report_jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            let sender = OrderSender::new(&self.gateway, &self.lease, id, record);
            let (engine, controller) = (id.clone(), controller.clone());
            tokio::spawn(async move {
                let requested = sender.gateway.now();
                let Some(report) = sender.fetch_report().await else {
                    return;
                };
                let received = ReportReceived {
                    engine,
                    report,
                    requested,
                };
                if controller.send(received).await.is_err() {
                    log::debug!("the instance is stopping");
                }
            });
        }
    }

    pub(super) fn finish_change(&mut self, ended: ChangeEnded) {
        let now = self.gateway.now();
        if let Change::Swap {
            source: Source::Store,
            model,
            ..
        } = &ended.change
        {
            let catalog = self.gateway.catalog();
            let cold = catalog
                .iter()
                .flat_map(|c| c.engines())
                .find_map(|(_, e)| e.models.get(model).map(|m| m.cold));
            self.store_loads
                .finish(ended.took, cold, ended.outcome == Outcome::Done);
        }
        let Some(record) = self.records.get_mut(&ended.engine) else {
            return;
        };
        if record.started_ms != ended.started_ms {
            return;
        }
        record.change_ended = now;
        let took = link::millis(ended.took);
        match ended.change {
            Change::Swap { model, source, .. } => {
                record.swap = None;
                log::info!(engine = ended.engine.as_str(), model = model.as_str(),
                    outcome:% = ended.outcome, took_ms = took, source:% = source; "load ended");
                if ended.outcome == Outcome::Done {
                    record.loaded_at.insert(model.clone(), now);
                    record.warm.insert(model.clone());
                    record.disk.insert(model.clone());
                    record.models.entry(model).or_default();
                } else {
                    // Unknown until the engine reports: count nothing as free, offer nothing.
                    record.state_unknown = true;
                }
            }
            Change::Adapter { target, .. } => {
                record.adapter_loads = record.adapter_loads.saturating_sub(1);
                record.pending_adapters.remove(&target);
                if ended.outcome == Outcome::Done {
                    if let Some(adapters) = record.models.get_mut(&target.model) {
                        adapters.extend(target.adapter);
                    }
                } else {
                    record.state_unknown = true;
                    log::warn!(engine = ended.engine.as_str(), model = target.model.as_str(),
                        adapter = target.adapter.unwrap_or_default(),
                        outcome:% = ended.outcome, took_ms = took; "adapter load ended");
                }
            }
        }
    }
}

impl Handler<ReportReceived> for OrderController {
    type Return = ();

    async fn handle(&mut self, message: ReportReceived, _ctx: &mut Context<Self>) {
        if let Some(record) = self.records.get_mut(&message.engine) {
            record.apply_report(message.report, message.requested);
        }
    }
}

impl Handler<ChangeEnded> for OrderController {
    type Return = ();

    async fn handle(&mut self, message: ChangeEnded, _ctx: &mut Context<Self>) {
        self.finish_change(message);
        self.dirty = true;
        self.replan();
    }
}
