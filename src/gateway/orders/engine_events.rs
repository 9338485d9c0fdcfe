//! Requests reports from engines; handles them and the ends of swaps and adapter loads.

use std::time::Duration;

use xtra::prelude::*;

use super::super::link;
use super::super::planner::{EngineAction, WeightSource};
use super::super::protocol::Report;
use super::OrderController;
use super::send::{OrderSender, Outcome, report_due};

/// Interval between report requests to an engine that is not loaded.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Interval for a loaded engine, whose queue length decides which requests are refused.
const LOADED_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of an engine's slots; it counts as loaded from a third of them.
const LOADED_SLOTS_DIVISOR: u32 = 3;

/// An engine's report arrived.
#[derive(Debug)]
pub(super) struct ReportReceived {
    engine: String,
    report: Report,
    /// Time of the request for the report.
    requested: Duration,
}

/// A swap or an adapter load ended.
#[derive(Debug)]
pub(super) struct ChangeEnded {
    pub(super) engine: String,
    pub(super) started_ms: u64,
    pub(super) change: EngineAction,
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
            // Jitter keeps the reports of all engines from arriving at once.
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
                    log::debug!("order controller has stopped; event dropped");
                }
            });
        }
    }

    pub(super) fn finish_change(&mut self, ended: ChangeEnded) {
        let now = self.gateway.now();
        if let EngineAction::LoadModel {
            source: WeightSource::Store,
            model,
            ..
        } = &ended.change
        {
            let catalog = self.gateway.catalog();
            let cold = catalog
                .iter()
                .flat_map(|c| c.engines())
                .find_map(|(_, e)| e.models.get(model).map(|m| m.cold_load));
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
            EngineAction::LoadModel { model, source, .. } => {
                record.swap = None;
                log::info!(engine = ended.engine.as_str(), model = model.as_str(),
                    outcome:% = ended.outcome, took_ms = took, source:% = source; "load ended");
                if ended.outcome == Outcome::Done {
                    record.loaded_at.insert(model.clone(), now);
                    record.warm.insert(model.clone());
                    record.disk.insert(model.clone());
                    record.models.entry(model).or_default();
                } else {
                    // Until the engine reports, none of its memory counts as free and none of its
                    // models is offered.
                    record.state_unknown = true;
                }
            }
            EngineAction::LoadAdapter { target, .. } => {
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
