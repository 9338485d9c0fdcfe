//! Requests reports from engines; handles them and the ends of swaps and adapter loads.

use std::time::Duration;

use xtra::prelude::*;

use super::super::link;
use super::super::planner::{EngineAction, WeightSource};
use super::super::protocol::Report;
use super::OrderController;
use super::port::{EnginePort, NoReport};
use super::record::ChangeResult;
use super::send::{MAX_FAILED_CONNECTS, Outcome, report_due};
use super::sequence::OrderTicket;

/// Interval between report requests to an engine that is not loaded.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Interval for a loaded engine, whose queue length decides which requests are refused.
const LOADED_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after which an engine that could not be reached is asked again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Divisor of an engine's slots; it counts as loaded from a third of them.
const LOADED_SLOTS_DIVISOR: u32 = 3;

/// An engine gave its report, or none.
#[derive(Debug)]
pub(super) struct ReportReceived {
    engine: String,
    report: Result<Report, NoReport>,
    /// Time of the request for the report.
    requested: Duration,
}

/// A swap or an adapter load ended.
#[derive(Debug)]
pub(super) struct ChangeEnded {
    pub(super) engine: String,
    pub(super) change: EngineAction,
    pub(super) ticket: OrderTicket,
    pub(super) result: ChangeResult,
    pub(super) took: Duration,
}

impl OrderController {
    pub(super) fn request_reports(&mut self, slots: u32, now: Duration) {
        let Some(controller) = self.own_address.clone() else {
            return;
        };
        let mut due = Vec::new();
        for (id, record) in self.records.iter_mut() {
            let loaded = record.load * LOADED_SLOTS_DIVISOR >= slots || record.queued > 0;
            let interval = if loaded {
                LOADED_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            let retry_due =
                record.failed_connects == 1 && now >= record.report_requested + CONNECT_RETRY_DELAY;
            if !retry_due
                && !report_due(
                    record.report_requested,
                    record.change_ended,
                    interval + record.report_jitter,
                    now,
                )
            {
                continue;
            }
            record.report_requested = now;
            // Jitter keeps the reports of all engines from arriving at once.
            record.report_jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            due.push((id.clone(), record.address));
        }
        for (engine, address) in due {
            let port = self.port(&engine, address);
            let controller = controller.clone();
            tokio::spawn(async move {
                let requested = port.now();
                let report = port.report().await;
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
            && ended.result.outcome == Outcome::Done
        {
            let catalog = self.gateway.catalog();
            let cold = catalog
                .iter()
                .flat_map(|c| c.engines())
                .find_map(|(_, e)| e.models.get(model).map(|m| m.cold_load));
            let were_running = self.records.store_loads();
            self.store_loads.finish(ended.took, cold, were_running, now);
        }
        let outcome = ended.result.outcome;
        let known = self.records.get_mut(&ended.engine).is_some_and(|record| {
            record.finish_change(&ended.change, &ended.ticket, ended.result, now)
        });
        let took = link::millis(ended.took);
        match ended.change {
            EngineAction::LoadModel { model, source, .. } => {
                log::info!(engine = ended.engine.as_str(), model = model.as_str(),
                    outcome:% = outcome, took_ms = took, source:% = source, known = known;
                    "load ended");
            }
            EngineAction::LoadAdapter { target, .. } if outcome != Outcome::Done => {
                log::warn!(engine = ended.engine.as_str(), model = target.model.as_str(),
                    adapter = target.adapter.unwrap_or_default(),
                    outcome:% = outcome, took_ms = took, known = known; "adapter load ended");
            }
            EngineAction::LoadAdapter { .. } => {}
        }
    }
}

impl Handler<ReportReceived> for OrderController {
    type Return = ();

    async fn handle(&mut self, message: ReportReceived, _ctx: &mut Context<Self>) {
        let Some(record) = self.records.get_mut(&message.engine) else {
            return;
        };
        match message.report {
            Ok(report) => record.apply_report(report, message.requested),
            Err(NoReport::Unreadable) => {}
            Err(NoReport::Unreachable) => {
                record.record_failed_connect();
                if record.failed_connects == MAX_FAILED_CONNECTS {
                    log::warn!(engine = message.engine.as_str(), address:% = record.address;
                        "engine cannot be reached; its models count as absent");
                    self.dirty = true;
                }
            }
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
