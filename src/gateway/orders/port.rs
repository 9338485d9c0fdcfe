//! What a change needs of its engine, the lease and the server list.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use super::super::lease::Lease;
use super::super::link;
use super::super::protocol::{Endpoint, Order, Report};
use super::super::servers::LimitAnswer;
use super::super::shared::Gateway;
use crate::BoxFuture;
use crate::outbound::Freshness;
use crate::verdict::Verdict;

/// Timeout of an order or a report request; engines answer in milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest body of an engine's answer.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Answer of an engine to one send of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// The engine is carrying the order out.
    Accepted,
    /// The engine is in the ordered state.
    Holds,
    /// The engine is carrying out another order, or has accepted another number of them.
    Conflict,
    /// The engine refused the order.
    Refused,
    /// Another engine, or none, is at the address.
    Gone,
    /// The engine did not receive the order.
    NotSent,
    /// The engine may have received the order.
    Unknown,
}

/// Why there is no report of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NoReport {
    /// No connection could be opened: the engine is gone, or the path to it.
    Unreachable,
    /// The engine gave no report that can be read.
    Unreadable,
}

/// Connection to one engine while this instance holds the lease.
pub trait EnginePort: Debug + Send + Sync {
    /// Time since an arbitrary start.
    fn now(&self) -> Duration;

    /// Fencing token while orders may be sent.
    fn fencing_token(&self) -> Option<u64>;

    /// Sends an order once.
    fn send<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, OrderAnswer>;

    /// Requests the engine's report.
    ///
    /// # Errors
    ///
    /// [`NoReport`] where the engine gave none.
    fn report(&self) -> BoxFuture<'_, Result<Report, NoReport>>;

    /// The engine's entry in the server list.
    fn listed(&self) -> Option<Endpoint>;
}

/// Engine at an address on the platform.
#[derive(Debug)]
pub(super) struct PlatformEngine {
    pub(super) gateway: Arc<Gateway>,
    pub(super) lease: Arc<Mutex<Lease>>,
    pub(super) engine: String,
    pub(super) address: SocketAddr,
}

impl EnginePort for PlatformEngine {
    fn now(&self) -> Duration {
        self.gateway.now()
    }

    fn fencing_token(&self) -> Option<u64> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.fencing_token(self.gateway.now())
    }

    fn send<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, OrderAnswer> {
        Box::pin(self.send_order(order))
    }

    fn report(&self) -> BoxFuture<'_, Result<Report, NoReport>> {
        Box::pin(self.fetch_report())
    }

    fn listed(&self) -> Option<Endpoint> {
        self.gateway.servers.endpoint(&self.engine)
    }
}

impl PlatformEngine {
    fn is_paused(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.servers.is_paused(&self.engine, now)
    }

    fn begin_pause(&self, pause: Option<Duration>) {
        let Some(pause) = pause else {
            return;
        };
        let until = self.gateway.now() + pause;
        self.gateway.servers.begin_pause(&self.engine, until);
        log::info!(endpoint = self.engine.as_str(), pause_ms = link::millis(pause);
            "endpoint asked for a pause");
    }

    fn mark_leaving(&self, started_ms: u64) {
        let now = self.gateway.now();
        let servers = &self.gateway.servers;
        servers.mark_leaving(&self.engine, started_ms, "engine", now);
    }

    /// Records the limit that an answer names; one without does not end a limit, as only answers to
    /// requests are sure to name it.
    fn record_limit(&self, started_ms: u64, rate: Option<f64>) {
        let now = self.gateway.now();
        if rate.is_some() {
            let answer = LimitAnswer {
                rate,
                sent_at: now,
                now,
            };
            let servers = &self.gateway.servers;
            servers.record_limit(&self.engine, started_ms, answer);
        }
    }

    async fn send_order(&self, order: &Order) -> OrderAnswer {
        if self.is_paused() {
            return OrderAnswer::Refused;
        }
        let request = self.gateway.platform.wire.order_request(order);
        let outbound = &self.gateway.outbound;
        // The machine may have stood still while the connection was opened.
        let is_valid = || self.fencing_token() == Some(order.fencing_token);
        let call = outbound.call_while(
            self.address,
            request,
            Freshness::Distinct,
            ANSWER_TIMEOUT,
            MAX_REPORT_BYTES,
            is_valid,
        );
        let (answer, status) = match call.await {
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), action:% = order.action,
                    expected = order.expected_orders, error:% = error; "engine did not answer the order");
                if error.verdict() == Verdict::NotRun {
                    (OrderAnswer::NotSent, 0)
                } else {
                    (OrderAnswer::Unknown, 0)
                }
            }
            Ok(answer) => {
                let mut head = answer.head;
                let response = self.gateway.platform.wire.decode_response_head(&mut head);
                let classified = classify(head.status);
                self.begin_pause(response.pause);
                if classified != OrderAnswer::Gone {
                    let started_ms = self.listed().map_or(0, |e| e.start_ms);
                    self.record_limit(started_ms, response.limit);
                    if response.leaving {
                        self.mark_leaving(started_ms);
                    }
                }
                (classified, head.status.as_u16())
            }
        };
        let outcome: &'static str = answer.into();
        self.gateway.stats.record_order(outcome);
        log::info!(engine = self.engine.as_str(), action:% = order.action,
            model = order.target.model.as_str(),
            adapter = order.target.adapter_name(),
            expected = order.expected_orders, fence = order.fencing_token, status = status,
            outcome = outcome;
            "order answered");
        answer
    }

    async fn fetch_report(&self) -> Result<Report, NoReport> {
        if self.is_paused() {
            return Err(NoReport::Unreadable);
        }
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
            Ok(mut answer) => {
                let wire = &self.gateway.platform.wire;
                self.begin_pause(wire.decode_response_head(&mut answer.head).pause);
                log::debug!(engine = self.engine.as_str(), status = answer.head.status.as_u16();
                    "engine refused the report request");
                return Err(NoReport::Unreadable);
            }
            Err(error) => {
                log::debug!(engine = self.engine.as_str(), error:% = error;
                    "engine did not answer the report request");
                return Err(match error.verdict() {
                    Verdict::NotRun => NoReport::Unreachable,
                    _ => NoReport::Unreadable,
                });
            }
        };
        let mut head = answer.head;
        let response = self.gateway.platform.wire.decode_response_head(&mut head);
        match self.gateway.platform.wire.decode_report(&answer.body) {
            Ok(report) => {
                let is_own = self.listed().is_some_and(|e| e.start_ms == report.start_ms);
                if is_own {
                    self.record_limit(report.start_ms, response.limit);
                    let (start_ms, now) = (report.start_ms, self.gateway.now());
                    let servers = &self.gateway.servers;
                    servers.record_report_pace(&self.engine, start_ms, response.pace, now);
                    if response.leaving {
                        self.mark_leaving(report.start_ms);
                    }
                }
                Ok(report)
            }
            Err(error) => {
                log::warn!(engine = self.engine.as_str(), error:% = error;
                    "cannot decode the engine report; keeping the last one");
                Err(NoReport::Unreadable)
            }
        }
    }
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
