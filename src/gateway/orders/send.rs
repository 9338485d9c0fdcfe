//! Sends orders to one engine and settles the ones without an answer.
//!
//! An order is sent with the count of orders that the engine must have accepted. A copy that
//! arrives late finds another count and does nothing, so an order without an answer can be sent
//! again, and at most one of the orders with one count ever takes effect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use super::super::edge::{Action, Order, Report, Target};
use super::super::lease::Lease;
use super::super::planner::EngineAction;
use super::super::shared::Gateway;
use super::record::EngineRecord;
use crate::outbound::Freshness;

/// Longest wait for an order's or a report's answer; engines answer in milliseconds.
const ANSWER: Duration = Duration::from_millis(700);
/// Largest report, in bytes.
const REPORT_BYTES: usize = 1 << 20;
/// Pause before an order is sent again to an engine that carries out another one.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Time that an engine takes to unload a model that no request uses.
const UNLOAD_PAUSE: Duration = Duration::from_millis(60);
/// Times that an order is sent: an unload may wait for running requests.
const SENDS: u32 = 60;
/// Sends after which a report is no longer older than the last accepted order.
const LAGGING: u32 = 8;
/// Time between two looks at whether a load has ended.
const LOOK: Duration = Duration::from_millis(40);
/// Share of a load's expected time after which its end is looked for.
const LOOK_FROM: f64 = 0.9;
/// Looks between two reports that are asked for meanwhile.
const LOOKS_A_REPORT: u32 = 3;
/// Loads take longer while many run; after this many times the expected time one has failed.
const OVERRUN: u32 = 6;
/// Least time after which a load has failed.
const OVERRUN_LEAST: Duration = Duration::from_secs(4);
/// Age of what engines report; the pages speak of some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Time after an order's end from which a report that is asked for shows it.
const SHOWN_AFTER: Duration = Duration::from_millis(400);
/// Multiple of that time after which a smaller count of orders is believed: the engine lost some.
const LOST_COUNT: u32 = 4;

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The engine holds what it was ordered to.
    Done,
    /// The engine is carrying the order out.
    Accepted,
    /// The engine accepted other orders meanwhile.
    Conflict,
    /// The engine refused the order.
    Refused,
    /// Another engine, or none, is at the address.
    Gone,
    /// The lease ended.
    NoLease,
    /// The load did not end in time.
    Overrun,
    /// The engine was busy all the while.
    Busy,
}

impl Outcome {
    /// Whether the engine has done what it was ordered to, or is doing it.
    #[must_use]
    pub const fn taken(self) -> bool {
        matches!(self, Self::Done | Self::Accepted)
    }
}

/// How an engine answered an order.
enum Answer {
    Accepted,
    Holds,
    Conflict,
    Refused,
    Gone,
    Unknown,
}

/// Gives orders to one engine.
#[derive(Debug)]
pub(super) struct OrderSender {
    pub(super) gateway: Arc<Gateway>,
    pub(super) lease: Arc<Mutex<Lease>>,
    pub(super) engine: String,
    pub(super) address: SocketAddr,
    pub(super) accepted: Arc<tokio::sync::Mutex<u64>>,
}

impl OrderSender {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        lease: &Arc<Mutex<Lease>>,
        engine: &str,
        record: &EngineRecord,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            lease: Arc::clone(lease),
            engine: engine.to_owned(),
            address: record.address,
            accepted: Arc::clone(&record.accepted),
        }
    }

    /// Carries out a change whose load takes some time.
    pub(super) async fn carry_out(&self, change: &EngineAction, takes: Duration) -> Outcome {
        match change {
            EngineAction::LoadModel { evict, model, .. } => {
                for old in evict {
                    let outcome = self.order(Action::Unload, Target::base(old)).await;
                    if !outcome.taken() {
                        return outcome;
                    }
                    sleep(UNLOAD_PAUSE).await;
                }
                let outcome = self.order(Action::Load, Target::base(model)).await;
                if outcome != Outcome::Accepted {
                    return outcome;
                }
                self.await_load(&Target::base(model), takes).await
            }
            EngineAction::LoadAdapter { evict, target } => {
                for old in evict {
                    let outcome = self.unload_adapter(old).await;
                    if outcome != Outcome::Done {
                        return outcome;
                    }
                }
                let outcome = self.order(Action::Load, target.clone()).await;
                if outcome != Outcome::Accepted {
                    return outcome;
                }
                self.await_load(target, Duration::ZERO).await
            }
        }
    }

    /// Gives one order until the engine has accepted it.
    ///
    /// Orders to one engine go one after the other, so that what an engine accepted meanwhile is
    /// known to be this one.
    async fn order(&self, action: Action, target: Target) -> Outcome {
        let mut accepted = self.accepted.lock().await;
        for sends in 0..SENDS {
            let Some(fence) = self.fence() else {
                return Outcome::NoLease;
            };
            let order = Order {
                action,
                target: target.clone(),
                expected: *accepted,
                holder: self.gateway.settings.name.clone(),
                fence,
                endpoint: self.engine.clone(),
            };
            match self.send(&order).await {
                Answer::Accepted => {
                    *accepted += 1;
                    return Outcome::Accepted;
                }
                Answer::Holds if action == Action::Load => return Outcome::Done,
                Answer::Holds => {
                    // An adapter that no request uses goes at once, and the order counts.
                    *accepted += 1;
                    return Outcome::Done;
                }
                Answer::Refused => return Outcome::Refused,
                Answer::Gone => return Outcome::Gone,
                Answer::Conflict => sleep(BUSY_PAUSE).await,
                Answer::Unknown => sleep(REPORT_LAG).await,
            }
            let Some(report) = self.report().await else {
                continue;
            };
            match settle(&order, &report, sends) {
                Settled::Again => {}
                Settled::Accepted => {
                    *accepted += 1;
                    return Outcome::Accepted;
                }
                Settled::Other => {
                    *accepted = report.accepted;
                    return Outcome::Conflict;
                }
            }
        }
        Outcome::Busy
    }

    fn fence(&self) -> Option<u64> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.fencing_token(self.gateway.now())
    }

    async fn send(&self, order: &Order) -> Answer {
        let request = self.gateway.edges.wire.order(order);
        let outbound = &self.gateway.outbound;
        let called = outbound.call(
            self.address,
            request,
            Freshness::Proved,
            ANSWER,
            REPORT_BYTES,
        );
        let (answer, status) = match called.await {
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), action:% = order.action,
                    expected = order.expected, error:% = error; "order without an answer");
                (Answer::Unknown, 0)
            }
            Ok(answer) => {
                let status = answer.head.status;
                (read(status), status.as_u16())
            }
        };
        let outcome = match answer {
            Answer::Accepted => "accepted",
            Answer::Holds => "holds",
            Answer::Conflict => "conflict",
            Answer::Refused => "refused",
            Answer::Gone => "gone",
            Answer::Unknown => "unknown",
        };
        self.gateway.stats.ordered(outcome);
        log::info!(engine = self.engine.as_str(), action:% = order.action,
            model = order.target.model.as_str(),
            adapter = order.target.adapter_name(),
            expected = order.expected, fence = order.fence, status = status, outcome = outcome;
            "order answered");
        answer
    }

    /// Asks the engine for its report.
    pub(super) async fn report(&self) -> Option<Report> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.gateway.edges.wire.ask_report();
        let outbound = &self.gateway.outbound;
        let call = outbound.call(
            self.address,
            request,
            Freshness::Proved,
            ANSWER,
            REPORT_BYTES,
        );
        let answer = match call.await {
            Ok(answer) if answer.head.status == StatusCode::OK => answer,
            Ok(answer) => {
                log::debug!(engine = self.engine.as_str(), status = answer.head.status.as_u16();
                    "report refused");
                return None;
            }
            Err(error) => {
                log::debug!(engine = self.engine.as_str(), error:% = error; "no report");
                return None;
            }
        };
        match self.gateway.edges.wire.report(&answer.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), error:% = error;
                    "report cannot be read; the last one stays");
                None
            }
        }
    }

    /// Unloads an adapter; one that a request still uses goes only when that has ended.
    async fn unload_adapter(&self, adapter: &Target) -> Outcome {
        let outcome = self.order(Action::Unload, adapter.clone()).await;
        if outcome != Outcome::Accepted {
            return outcome;
        }
        let accepted = *self.accepted.lock().await;
        let end = self.gateway.now() + OVERRUN_LEAST;
        while self.gateway.now() < end {
            sleep(LOOK).await;
            let Some(report) = self.report().await else {
                continue;
            };
            if report.accepted >= accepted && !adapter.held_in(&report.models) {
                return Outcome::Done;
            }
        }
        Outcome::Overrun
    }

    /// Waits until the engine holds a model or adapter.
    async fn await_load(&self, target: &Target, takes: Duration) -> Outcome {
        let accepted = *self.accepted.lock().await;
        let end = self.gateway.now() + (takes * OVERRUN).max(OVERRUN_LEAST);
        let row = self.gateway.servers.endpoint(&self.engine);
        let beat = row.map_or(0, |e| e.beat);
        sleep(takes.mul_f64(LOOK_FROM)).await;
        for look in 0.. {
            if self.gateway.now() >= end {
                break;
            }
            if self.listed(target, beat) {
                return Outcome::Done;
            }
            let reports = takes.is_zero() || look % LOOKS_A_REPORT == 0;
            if reports && let Some(report) = self.report().await {
                let holds = report.accepted >= accepted && target.held_in(&report.models);
                if holds && !report.coming.contains(target) {
                    return Outcome::Done;
                }
            }
            sleep(LOOK).await;
        }
        Outcome::Overrun
    }

    /// Whether a newer row of the server list says that the engine holds a model.
    fn listed(&self, target: &Target, beat: u64) -> bool {
        let endpoint = self.gateway.servers.endpoint(&self.engine);
        endpoint.is_some_and(|e| e.beat > beat && target.held_in(&e.models))
    }
}

/// What a report says of an order that was not accepted in so many words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// Not carried out; it may be sent again.
    Again,
    /// Carried out.
    Accepted,
    /// The engine accepted another order.
    Other,
}

/// Reads from a report what became of an order that was sent some times without success.
#[must_use]
pub fn settle(order: &Order, report: &Report, sends: u32) -> Settled {
    if report.accepted == order.expected {
        return Settled::Again;
    }
    if report.accepted == order.expected + 1 && shows(order, report) {
        return Settled::Accepted;
    }
    let lagging = sends < LAGGING && report.accepted < order.expected;
    if lagging || report.busy {
        return Settled::Again;
    }
    Settled::Other
}

/// Whether an engine's state is what an order asks for.
fn shows(order: &Order, report: &Report) -> bool {
    let holds = order.target.held_in(&report.models);
    match (order.action, order.target.adapter.is_some()) {
        (Action::Load, true) => holds || report.coming.contains(&order.target),
        (Action::Load, false) => holds || report.busy,
        // A busy engine may carry out somebody else's order with this count.
        (Action::Unload, _) => !holds,
    }
}

/// Whether a report has to be asked for: at its interval, and as soon as it shows the end of the
/// last order.
#[must_use]
pub fn report_due(asked: Duration, settled: Duration, every: Duration, now: Duration) -> bool {
    let shown = settled + SHOWN_AFTER;
    now >= asked + every || (asked < shown && now >= shown)
}

/// Whether a report shows what an engine holds after the last order to it has ended.
///
/// What counts is when it was asked for: an answer may lie unread at a busy instance for long.
#[must_use]
pub fn shows_end(report: &Report, known: u64, settled: Duration, asked: Duration) -> bool {
    if asked < settled + SHOWN_AFTER {
        return false;
    }
    report.accepted >= known || asked >= settled + SHOWN_AFTER * LOST_COUNT
}

fn read(status: StatusCode) -> Answer {
    match status {
        StatusCode::ACCEPTED => Answer::Accepted,
        StatusCode::OK => Answer::Holds,
        StatusCode::CONFLICT => Answer::Conflict,
        StatusCode::MISDIRECTED_REQUEST => Answer::Gone,
        _ => Answer::Refused,
    }
}
