//! Sends orders to one engine and resolves those without an answer.
//!
//! An order carries the number of orders that the engine must have accepted before it. A late copy
//! finds a different count and has no effect, so an unanswered order can be sent again, and at most
//! one of the orders with the same count ever takes effect.

use std::time::Duration;

use tokio::time::sleep;

use super::super::planner::EngineAction;
use super::super::protocol::{Action, Order, Report, Target};
use super::port::{EnginePort, NoReport, OrderAnswer};
use super::record::ChangeResult;
use super::sequence::OrderTicket;

/// First delay before an order is sent again to an engine that is carrying out another one.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Growth of that delay from send to send, in percent.
const BUSY_DELAY_GROWTH_PERCENT: u32 = 150;
/// Longest such delay.
const MAX_BUSY_DELAY: Duration = Duration::from_millis(250);
/// Time that an engine takes to unload a model without running requests.
const UNLOAD_TIME: Duration = Duration::from_millis(60);
/// Number of times that an order is sent; an unload may have to wait for running requests.
const MAX_SENDS: u32 = 24;
/// Sends without an answer or a report after which the engine counts as unreachable.
const MAX_SILENT_SENDS: u32 = 3;
/// Sends after which a report can no longer predate the last accepted order.
const LAGGING_SENDS: u32 = 8;
/// Interval between checks whether a load or an adapter's unload has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Share of a load's expected time after which checks for its end start.
const POLL_START_SHARE: f64 = 0.9;
/// Interval between reports before that, by which a crash of the engine is noticed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Report requests in a row without a connection after which an engine counts as unreachable.
pub const MAX_FAILED_CONNECTS: u32 = 2;
/// Checks of the server list for each report that is requested.
const POLLS_PER_REPORT: u32 = 3;
/// Timeout of a load as a multiple of its expected time; loads are slower while many run.
const LOAD_TIMEOUT_FACTOR: u32 = 6;
/// Minimum timeout of a load, and timeout of an adapter's unload.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Age of engine reports; the platform's documentation gives some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Time after the end of an order from which a requested report reflects it.
pub(super) const REPORT_CATCH_UP: Duration = Duration::from_millis(400);
/// Multiple of [`REPORT_CATCH_UP`] after which a lower order count is taken as true: the engine
/// lost some.
const LOST_COUNT_FACTOR: u32 = 4;

/// Result of an order or a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The engine is in the ordered state.
    Done,
    /// The engine is carrying the order out.
    Accepted,
    /// The engine accepted other orders in the meantime.
    Conflict,
    /// Requests use the adapter that the order unloads; no order was carried out.
    InUse,
    /// The engine refused the order.
    Refused,
    /// Another engine, or none, is at the address.
    Gone,
    /// The engine answers neither orders nor report requests.
    Unreachable,
    /// This instance no longer holds the lease.
    NoLease,
    /// The state that the change was planned on is no longer the engine's.
    Stale,
    /// The load or unload did not end within its timeout.
    Overrun,
    /// The engine accepted no send of the order.
    Busy,
}

impl Outcome {
    /// Whether the engine is in the ordered state or is carrying out the order.
    #[must_use]
    pub const fn is_success(self) -> bool {
        matches!(self, Self::Done | Self::Accepted)
    }
}

/// Sends the orders of one change to an engine.
#[derive(Debug)]
pub struct OrderSender {
    /// Connection to the engine.
    pub port: Box<dyn EnginePort>,
    /// Id of the engine's incarnation.
    pub engine: String,
    /// Name of this instance.
    pub holder: String,
    /// Permission to send orders to the engine.
    pub ticket: OrderTicket,
}

impl OrderSender {
    /// Carries out a change whose load is expected to take `load_time`.
    pub async fn execute(&self, change: &EngineAction, load_time: Duration) -> ChangeResult {
        let mut unloaded = 0;
        let target = match change {
            EngineAction::LoadModel { evict, model, .. } => {
                for old in evict {
                    let outcome = self.issue(Action::Unload, Target::base(old)).await;
                    if !outcome.is_success() {
                        return ChangeResult { outcome, unloaded };
                    }
                    unloaded += 1;
                    sleep(UNLOAD_TIME).await;
                }
                Target::base(model)
            }
            EngineAction::LoadAdapter { evict, target } => {
                for old in evict {
                    let outcome = self.unload_adapter(old).await;
                    if outcome != Outcome::Done {
                        return ChangeResult { outcome, unloaded };
                    }
                    unloaded += 1;
                }
                target.clone()
            }
        };
        let load_time = match change {
            EngineAction::LoadModel { .. } => load_time,
            EngineAction::LoadAdapter { .. } => Duration::ZERO,
        };
        let mut outcome = self.issue(Action::Load, target.clone()).await;
        if outcome == Outcome::Accepted {
            let is_model = target.adapter.is_none();
            if is_model {
                self.ticket.set_loading(true);
            }
            outcome = self.wait_loaded(&target, load_time).await;
            // A load whose record was dropped goes on at the engine.
            if is_model && outcome != Outcome::Stale {
                self.ticket.set_loading(false);
            }
        }
        ChangeResult { outcome, unloaded }
    }

    /// Sends one order until the engine accepts it.
    ///
    /// Orders to one engine are sent one at a time, so that an order that it accepted in the
    /// meantime is known to be this one.
    async fn issue(&self, action: Action, target: Target) -> Outcome {
        let Some(mut accepted) = self.ticket.lock().await else {
            return Outcome::Stale;
        };
        let mut busy_delay = BUSY_RETRY_DELAY;
        let mut silent = 0;
        for sends in 0..MAX_SENDS {
            if !self.ticket.is_valid() {
                return Outcome::Stale;
            }
            let Some(fencing_token) = self.port.fencing_token() else {
                return Outcome::NoLease;
            };
            let order = Order {
                action,
                target: target.clone(),
                expected_orders: *accepted,
                holder: self.holder.clone(),
                fencing_token,
                endpoint: self.engine.clone(),
            };
            let answer = self.port.send(&order).await;
            match answer {
                OrderAnswer::Accepted => {
                    *accepted += 1;
                    return Outcome::Accepted;
                }
                OrderAnswer::Holds if action == Action::Load => return Outcome::Done,
                OrderAnswer::Holds => {
                    // An unused adapter is unloaded at once, and the order counts as accepted.
                    *accepted += 1;
                    return Outcome::Done;
                }
                OrderAnswer::Refused => return Outcome::Refused,
                OrderAnswer::Gone => return Outcome::Gone,
                OrderAnswer::NotSent if self.port.fencing_token().is_none() => {
                    return Outcome::NoLease;
                }
                OrderAnswer::NotSent => return Outcome::Unreachable,
                OrderAnswer::Conflict => {
                    sleep(busy_delay).await;
                    busy_delay = (busy_delay * BUSY_DELAY_GROWTH_PERCENT / 100).min(MAX_BUSY_DELAY);
                }
                OrderAnswer::Unknown => sleep(REPORT_LAG).await,
            }
            let Ok(report) = self.port.report().await else {
                silent += u32::from(answer == OrderAnswer::Unknown);
                if silent >= MAX_SILENT_SENDS {
                    return Outcome::Unreachable;
                }
                continue;
            };
            silent = 0;
            if answer == OrderAnswer::Conflict && is_adapter_in_use(&order, &report) {
                return Outcome::InUse;
            }
            match resolve(&order, &report, sends) {
                Resolution::Retry => {}
                Resolution::Accepted => {
                    *accepted += 1;
                    return Outcome::Accepted;
                }
                Resolution::Superseded => {
                    *accepted = report.accepted_orders;
                    self.ticket.revoke_all();
                    return Outcome::Conflict;
                }
            }
        }
        Outcome::Busy
    }

    /// Unloads an adapter and awaits its removal; one in use stays until its requests have ended.
    async fn unload_adapter(&self, adapter: &Target) -> Outcome {
        let outcome = self.issue(Action::Unload, adapter.clone()).await;
        if outcome != Outcome::Accepted {
            return outcome;
        }
        let Some(accepted) = self.ticket.lock().await.map(|count| *count) else {
            return Outcome::Stale;
        };
        let deadline = self.port.now() + MIN_LOAD_TIMEOUT;
        let mut failed = 0;
        while self.port.now() < deadline && failed < MAX_FAILED_CONNECTS {
            sleep(POLL_INTERVAL).await;
            match self.report(&mut failed).await {
                Some(r) if r.accepted_orders >= accepted && !adapter.held_in(&r.models) => {
                    return Outcome::Done;
                }
                _ => {}
            }
        }
        if failed < MAX_FAILED_CONNECTS {
            Outcome::Overrun
        } else {
            Outcome::Unreachable
        }
    }

    /// Waits until the engine holds a model or adapter, at most for the load's timeout.
    async fn wait_loaded(&self, target: &Target, load_time: Duration) -> Outcome {
        let Some(accepted) = self.ticket.lock().await.map(|count| *count) else {
            return Outcome::Stale;
        };
        let begun = self.port.now();
        let deadline = begun + (load_time * LOAD_TIMEOUT_FACTOR).max(MIN_LOAD_TIMEOUT);
        let poll_start = begun + load_time.mul_f64(POLL_START_SHARE);
        let revision = self.port.listed().map_or(0, |e| e.sequence);
        let mut failed = 0;
        loop {
            let left = poll_start.saturating_sub(self.port.now());
            sleep(left.min(CRASH_CHECK_INTERVAL)).await;
            if left <= CRASH_CHECK_INTERVAL {
                break;
            }
            self.report(&mut failed).await;
            if failed >= MAX_FAILED_CONNECTS {
                return Outcome::Unreachable;
            }
        }
        for poll in 0.. {
            if self.port.now() >= deadline {
                break;
            }
            if !self.ticket.is_valid() {
                return Outcome::Stale;
            }
            if self.is_listed(target, revision) {
                return Outcome::Done;
            }
            let poll_report = load_time.is_zero() || poll % POLLS_PER_REPORT == 0;
            if poll_report && let Some(report) = self.report(&mut failed).await {
                let holds = report.accepted_orders >= accepted && target.held_in(&report.models);
                if holds && !report.loading_adapters.contains(target) {
                    return Outcome::Done;
                }
            }
            if failed >= MAX_FAILED_CONNECTS {
                return Outcome::Unreachable;
            }
            sleep(POLL_INTERVAL).await;
        }
        Outcome::Overrun
    }

    /// The engine's report; counts in `failed` the requests in a row without a connection.
    async fn report(&self, failed: &mut u32) -> Option<Report> {
        let answer = self.port.report().await;
        *failed = match answer {
            Err(NoReport::Unreachable) => *failed + 1,
            Err(NoReport::Unreadable) | Ok(_) => 0,
        };
        answer.ok()
    }

    /// Whether the server list has the target on the engine, in a row newer than `revision`.
    fn is_listed(&self, target: &Target, revision: u64) -> bool {
        let endpoint = self.port.listed();
        endpoint.is_some_and(|e| e.sequence > revision && target.held_in(&e.models))
    }
}

/// Whether an engine that rejected an order did so because requests use the adapter to unload.
#[must_use]
pub fn is_adapter_in_use(order: &Order, report: &Report) -> bool {
    order.action == Action::Unload
        && order.target.adapter.is_some()
        && !report.executing
        && report.accepted_orders == order.expected_orders
        && order.target.held_in(&report.models)
}

/// What a report shows about an order without a clear answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Not carried out as far as known; it may be sent again.
    Retry,
    /// The engine accepted the order.
    Accepted,
    /// The engine accepted another order instead.
    Superseded,
}

/// Finds from a report what became of an order after `sends` earlier sends without success.
#[must_use]
pub fn resolve(order: &Order, report: &Report, sends: u32) -> Resolution {
    if report.accepted_orders == order.expected_orders {
        return Resolution::Retry;
    }
    if report.accepted_orders == order.expected_orders + 1 && reflects_order(order, report) {
        return Resolution::Accepted;
    }
    let lagging = sends < LAGGING_SENDS && report.accepted_orders < order.expected_orders;
    if lagging || report.executing {
        return Resolution::Retry;
    }
    Resolution::Superseded
}

/// Whether a report shows the state that an order asks for.
fn reflects_order(order: &Order, report: &Report) -> bool {
    let holds = order.target.held_in(&report.models);
    match (order.action, order.target.adapter.is_some()) {
        (Action::Load, true) => holds || report.loading_adapters.contains(&order.target),
        // An executing engine is no evidence: it may run another holder's order with this count.
        (Action::Load, false) => holds,
        (Action::Unload, _) => !holds,
    }
}

/// Whether to request a report: at its interval, and once it can show the end of the last order.
#[must_use]
pub fn report_due(requested: Duration, ended: Duration, interval: Duration, now: Duration) -> bool {
    let visible = ended + REPORT_CATCH_UP;
    now >= requested + interval || (requested < visible && now >= visible)
}

/// Whether a report shows what an engine holds after the last order to it has ended.
///
/// The time of the request counts: a busy instance may read the answer long after its arrival.
#[must_use]
pub fn is_current(report: &Report, accepted: u64, ended: Duration, requested: Duration) -> bool {
    if requested < ended + REPORT_CATCH_UP {
        return false;
    }
    report.accepted_orders >= accepted || requested >= ended + REPORT_CATCH_UP * LOST_COUNT_FACTOR
}
