//! What engines answer: their reports, and how swaps and loads of adapters ended.

use std::time::Duration;

use xtra::prelude::*;

use super::super::edge::Report;
use super::super::link;
use super::super::planner::{Change, Source};
use super::Orders;
use super::give::{Engineer, Outcome};

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
    pub(super) change: Change,
    pub(super) outcome: Outcome,
    pub(super) took: Duration,
}

impl Orders {
    pub(super) fn ask_reports(&mut self, slots: u32, now: Duration) {
        let Some(me) = self.me.clone() else {
            return;
        };
        for (id, book) in &mut self.books {
            let loaded = book.load * LOADED_SHARE >= slots || book.queued > 0;
            let every = if loaded { REPORT_LOADED } else { REPORT_EVERY };
            if now < book.asked + every {
                continue;
            }
            // Spreads the reports, so that they do not come all at once.
            let jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            book.asked = now + jitter;
            let engineer = Engineer::new(&self.gateway, &self.lease, id, book);
            let (engine, me) = (id.clone(), me.clone());
            tokio::spawn(async move {
                let asked = engineer.gateway.now();
                let Some(report) = engineer.report().await else {
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
        if let Change::Swap {
            source: Source::Store,
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
        let Some(book) = self.books.get_mut(&settled.engine) else {
            return;
        };
        if book.born != settled.born {
            return;
        }
        book.settled = now;
        book.asked = Duration::ZERO;
        let took = link::millis(settled.took);
        match settled.change {
            Change::Swap { model, source, .. } => {
                book.swap = None;
                log::info!(engine = settled.engine.as_str(), model = model.as_str(),
                    outcome:% = settled.outcome, took_ms = took, source:% = source; "load ended");
                if settled.outcome == Outcome::Done {
                    book.since.insert(model.clone(), now);
                    book.warm.insert(model.clone());
                    book.disk.insert(model.clone());
                    book.models.entry(model).or_default();
                } else {
                    // Unknown until the engine reports: count nothing as free, offer nothing.
                    book.unknown = true;
                }
            }
            Change::Adapter { target, .. } => {
                book.adapters = book.adapters.saturating_sub(1);
                book.coming.remove(&target);
                if settled.outcome == Outcome::Done {
                    if let Some(adapters) = book.models.get_mut(&target.model) {
                        adapters.extend(target.adapter);
                    }
                } else {
                    book.unknown = true;
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
        if let Some(book) = self.books.get_mut(&message.engine) {
            book.report(message.report, message.asked);
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
