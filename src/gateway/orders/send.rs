//! Sends orders to one engine and resolves those without an answer.
//!
//! An order carries the number of orders that the engine must have accepted before it. A late copy
//! finds a different count and has no effect, so an unanswered order can be sent again, and at most
//! one of the orders with the same count ever takes effect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use super::super::lease::Lease;
use super::super::planner::EngineAction;
use super::super::protocol::{Action, Order, Report, Target};
use super::super::shared::Gateway;
use super::record::EngineRecord;
use crate::outbound::Freshness;

/// Timeout of an order or a report request; engines answer in milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest body of an engine's answer.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Delay before an order is sent again to an engine that is carrying out another one.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time that an engine takes to unload a model without running requests.
const UNLOAD_TIME: Duration = Duration::from_millis(60);
/// Number of times that an order is sent; an unload may have to wait for running requests.
const MAX_SENDS: u32 = 60;
/// Sends after which a report can no longer predate the last accepted order.
const LAGGING_SENDS: u32 = 8;
/// Interval between checks whether a load or an adapter's unload has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Share of a load's expected time after which checks for its end start.
const POLL_START_SHARE: f64 = 0.9;
/// Checks of the server list for each report that is requested.
const POLLS_PER_REPORT: u32 = 3;
/// Timeout of a load as a multiple of its expected time; loads are slower while many run.
const LOAD_TIMEOUT_FACTOR: u32 = 6;
/// Minimum timeout of a load, and timeout of an adapter's unload.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Age of engine reports; the platform's documentation gives some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Time after the end of an order from which a requested report reflects it.
const REPORT_CATCH_UP: Duration = Duration::from_millis(400);
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
    /// The engine refused the order.
    Refused,
    /// Another engine, or none, is at the address.
    Gone,
    /// This instance no longer holds the lease.
    NoLease,
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

/// Answer of an engine to one send of an order.
enum OrderAnswer {
    Accepted,
    /// The engine is in the ordered state.
    Holds,
    Conflict,
    Refused,
    Gone,
    Unknown,
}

/// Sends orders to one engine.
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

    /// Carries out a change whose load is expected to take `load_time`.
    pub(super) async fn execute(&self, change: &EngineAction, load_time: Duration) -> Outcome {
        match change {
            EngineAction::LoadModel { evict, model, .. } => {
                for old in evict {
                    let outcome = self.issue(Action::Unload, Target::base(old)).await;
                    if !outcome.is_success() {
                        return outcome;
                    }
                    sleep(UNLOAD_TIME).await;
                }
                let outcome = self.issue(Action::Load, Target::base(model)).await;
                if outcome != Outcome::Accepted {
                    return outcome;
                }
                self.wait_loaded(&Target::base(model), load_time).await
            }
            EngineAction::LoadAdapter { evict, target } => {
                for old in evict {
                    let outcome = self.unload_adapter(old).await;
                    if outcome != Outcome::Done {
                        return outcome;
                    }
                }
                let outcome = self.issue(Action::Load, target.clone()).await;
                if outcome != Outcome::Accepted {
                    return outcome;
                }
                self.wait_loaded(target, Duration::ZERO).await
            }
        }
    }

    /// Sends one order until the engine accepts it.
    ///
    /// Orders to one engine are sent one at a time, so that an order that it accepted in the
    /// meantime is known to be this one.
    async fn issue(&self, action: Action, target: Target) -> Outcome {
        let mut accepted = self.accepted.lock().await;
        for sends in 0..MAX_SENDS {
            let Some(fencing_token) = self.fencing_token() else {
                return Outcome::NoLease;
            };
            let order = Order {
                action,
                target: target.clone(),
                expected_orders: *accepted,
                holder: self.gateway.settings.name.clone(),
                fencing_token,
                endpoint: self.engine.clone(),
            };
            match self.send_once(&order).await {
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
                OrderAnswer::Conflict => sleep(BUSY_RETRY_DELAY).await,
                OrderAnswer::Unknown => sleep(REPORT_LAG).await,
            }
            let Some(report) = self.fetch_report().await else {
                continue;
            };
            match resolve(&order, &report, sends) {
                Resolution::Retry => {}
                Resolution::Accepted => {
                    *accepted += 1;
                    return Outcome::Accepted;
                }
                Resolution::Superseded => {
                    *accepted = report.accepted_orders;
                    return Outcome::Conflict;
                }
            }
        }
        Outcome::Busy
    }

    fn fencing_token(&self) -> Option<u64> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.fencing_token(self.gateway.now())
    }

    async fn send_once(&self, order: &Order) -> OrderAnswer {
        let request = self.gateway.platform.wire.order_request(order);
        let outbound = &self.gateway.outbound;
        let call = outbound.call(
            self.address,
            request,
            Freshness::Proved,
            ANSWER_TIMEOUT,
            MAX_REPORT_BYTES,
        );
        let (answer, status) = match call.await {
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), action:% = order.action,
                    expected = order.expected_orders, error:% = error; "engine did not answer the order");
                (OrderAnswer::Unknown, 0)
            }
            Ok(answer) => {
                let status = answer.head.status;
                (classify(status), status.as_u16())
            }
        };
        let outcome = match answer {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::Holds => "holds",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Refused => "refused",
            OrderAnswer::Gone => "gone",
            OrderAnswer::Unknown => "unknown",
        };
        self.gateway.stats.record_order(outcome);
        log::info!(engine = self.engine.as_str(), action:% = order.action,
            model = order.target.model.as_str(),
            adapter = order.target.adapter_name(),
            expected = order.expected_orders, fence = order.fencing_token, status = status,
            outcome = outcome;
            "order answered");
        answer
    }

    pub(super) async fn fetch_report(&self) -> Option<Report> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.gateway.platform.wire.report_uri();
        let outbound = &self.gateway.outbound;
        let call = outbound.call(
            self.address,
            request,
            Freshness::Proved,
            ANSWER_TIMEOUT,
            MAX_REPORT_BYTES,
        );
        let answer = match call.await {
            Ok(answer) if answer.head.status == StatusCode::OK => answer,
            Ok(answer) => {
                log::debug!(engine = self.engine.as_str(), status = answer.head.status.as_u16();
                    "engine refused the report request");
                return None;
            }
            Err(error) => {
                log::debug!(engine = self.engine.as_str(), error:% = error;
                    "engine did not answer the report request");
                return None;
            }
        };
        match self.gateway.platform.wire.decode_report(&answer.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), error:% = error;
                    "cannot decode the engine report; keeping the last one");
                None
            }
        }
    }

    /// Unloads an adapter and awaits its removal; one in use stays until its requests have ended.
    async fn unload_adapter(&self, adapter: &Target) -> Outcome {
        let outcome = self.issue(Action::Unload, adapter.clone()).await;
        if outcome != Outcome::Accepted {
            return outcome;
        }
        let accepted = *self.accepted.lock().await;
        let deadline = self.gateway.now() + MIN_LOAD_TIMEOUT;
        while self.gateway.now() < deadline {
            sleep(POLL_INTERVAL).await;
            let Some(report) = self.fetch_report().await else {
                continue;
            };
            if report.accepted_orders >= accepted && !adapter.held_in(&report.models) {
                return Outcome::Done;
            }
        }
        Outcome::Overrun
    }

    /// Waits until the engine holds a model or adapter, at most for the load's timeout.
    async fn wait_loaded(&self, target: &Target, load_time: Duration) -> Outcome {
        let accepted = *self.accepted.lock().await;
        let deadline = self.gateway.now() + (load_time * LOAD_TIMEOUT_FACTOR).max(MIN_LOAD_TIMEOUT);
        let listed = self.gateway.servers.endpoint(&self.engine);
        let revision = listed.map_or(0, |e| e.sequence);
        sleep(load_time.mul_f64(POLL_START_SHARE)).await;
        for poll in 0.. {
            if self.gateway.now() >= deadline {
                break;
            }
            if self.is_listed(target, revision) {
                return Outcome::Done;
            }
            let poll_report = load_time.is_zero() || poll % POLLS_PER_REPORT == 0;
            if poll_report && let Some(report) = self.fetch_report().await {
                let holds = report.accepted_orders >= accepted && target.held_in(&report.models);
                if holds && !report.loading_adapters.contains(target) {
                    return Outcome::Done;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Outcome::Overrun
    }

    /// Whether the server list has the target on the engine, in a row newer than `revision`.
    fn is_listed(&self, target: &Target, revision: u64) -> bool {
        let endpoint = self.gateway.servers.endpoint(&self.engine);
        endpoint.is_some_and(|e| e.sequence > revision && target.held_in(&e.models))
    }
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
        (Action::Load, false) => holds || report.executing,
        // `busy` is no evidence here: it may stem from another holder's order with this count.
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

fn classify(status: StatusCode) -> OrderAnswer {
    match status {
        StatusCode::ACCEPTED => OrderAnswer::Accepted,
        StatusCode::OK => OrderAnswer::Holds,
        StatusCode::CONFLICT => OrderAnswer::Conflict,
        StatusCode::MISDIRECTED_REQUEST => OrderAnswer::Gone,
        _ => OrderAnswer::Refused,
    }
}
