//! A single send of a request to an endpoint, and the check of the response head.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::protocol::{DispatchHead, ResponseHead};
use super::serve::{RoutedRequest, SendHistory};
use super::servers::{LimitAnswer, RequestOutcome, SelectedEndpoint, brittle_hold};
use super::silence::{Awaited, Winner};
use crate::outbound::{Freshness, Reply, SendError, SendFault};
use crate::verdict::Verdict;

/// A response whose head has been checked; the body is still unread.
#[derive(Debug)]
pub struct CheckedReply {
    /// The response.
    pub reply: Reply,
    /// Fields decoded from the response head.
    pub head: ResponseHead,
}

/// How a response broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// The endpoint closed the connection, before or after the response had begun: its first event
    /// or its whole body came.
    Closed {
        /// Whether the response had begun.
        begun: bool,
    },
    /// The endpoint sent nothing more in time.
    Silent,
    /// The endpoint sent what is no response, or too much.
    Invalid,
}

/// Outcome of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The endpoint responded with a signed head.
    Answered(Box<CheckedReply>),
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, but there is no usable response.
    MayHaveRun,
}

impl RoutedRequest {
    /// Sends the request to an endpoint and checks the response head.
    pub async fn send(
        &self,
        selected: &SelectedEndpoint,
        history: &mut SendHistory,
        last_event: Option<u64>,
        head_timeout: Duration,
    ) -> SendOutcome {
        history.sends += 1;
        history.expected = selected.expected;
        if let Some(charged) = &self.charged {
            charged.set_spent(true);
        }
        let limit = self
            .gateway
            .servers
            .limit(&selected.id, selected.started_ms);
        if let Some(limit) = limit {
            log::info!(id = self.head.id.as_str(), endpoint = selected.id.as_str(), limit = limit,
                sends = history.sends; "sent to an endpoint that names a limit");
        }
        self.gateway
            .stats
            .record_send(&self.service, history.sends > 1, limit.is_some());
        let request = self.endpoint_request(selected, last_event);
        // An endpoint that refused the request may write that once more on a connection that is kept.
        let is_repeated = self.head.detoured || history.asked_endpoints.contains(&selected.id);
        let freshness = if is_repeated {
            Freshness::Fresh
        } else {
            Freshness::Proved
        };
        history.asked_endpoints.push(selected.id.clone());
        let sent = self
            .gateway
            .outbound
            .send(selected.address, request, freshness, head_timeout);
        history.in_flight = true;
        let sent_at = self.now();
        let result = sent.await;
        history.in_flight = false;
        let outcome = self.classify(selected, history, result, sent_at);
        match &outcome {
            SendOutcome::Answered(_) => {}
            SendOutcome::NotRun => history.not_run += 1,
            SendOutcome::MayHaveRun => history.possible_runs += 1,
        }
        outcome
    }

    /// Records that an endpoint did not complete its response, as a run of the request.
    pub fn record_broken_response(
        &self,
        selected: &SelectedEndpoint,
        history: &mut SendHistory,
        broken: Break,
    ) {
        self.record_failure(selected, broken);
        history.record_possible_run(&selected.id);
    }

    /// Records that an endpoint did not complete its response, for its health only.
    ///
    /// A closed connection also counts against the request, which may have crashed the endpoint.
    pub fn record_failure(&self, selected: &SelectedEndpoint, broken: Break) {
        let now = self.now();
        let outcome = match broken {
            Break::Closed { .. } | Break::Invalid => RequestOutcome::Failure,
            Break::Silent => RequestOutcome::Silence,
        };
        self.record_ramp_failure(selected, outcome);
        self.gateway
            .servers
            .record_outcome(selected.key, outcome, now);
        if let Break::Closed { begun } = broken {
            self.record_closed(selected, begun);
        }
    }

    /// Logs that an endpoint is silent and another one is asked beside it.
    pub fn log_silence(&self, selected: &SelectedEndpoint) {
        log::info!(id = self.head.id.as_str(), endpoint = selected.id.as_str(),
            left_ms = super::link::millis(self.time_left());
            "endpoint is silent; asking another one too");
    }

    /// Records the end of two attempts beside each other; the silent one was asked at `asked_at`, the
    /// other one from `beside_at` on.
    pub fn record_beside(
        &self,
        silent: &SelectedEndpoint,
        awaited: Awaited,
        winner: Winner,
        (asked_at, beside_at): (Duration, Duration),
    ) {
        let now = self.now();
        self.gateway.stats.record_beside(awaited, winner);
        log::info!(id = self.head.id.as_str(), endpoint = silent.id.as_str(), awaited:% = awaited,
            winner:% = winner, silent_ms = super::link::millis(now.saturating_sub(asked_at)),
            beside_ms = super::link::millis(now.saturating_sub(beside_at));
            "attempts beside each other ended");
    }

    fn endpoint_request(
        &self,
        selected: &SelectedEndpoint,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let dispatch = DispatchHead {
            time_left: self.time_left(),
            endpoint: selected.id.clone(),
            priority: self
                .route
                .kind
                .is_stream()
                .then(|| self.priority().min(8) + 1),
            last_event,
            account: self.account_header(),
        };
        let headers = request.headers_mut();
        self.gateway
            .platform
            .wire
            .set_dispatch_headers(headers, &dispatch);
        request
    }

    /// Records that an endpoint had no room for the request.
    fn record_turned_away(
        &self,
        selected: &SelectedEndpoint,
        head: &ResponseHead,
        sent_at: Duration,
    ) {
        let (servers, now) = (&self.gateway.servers, self.now());
        let stats = &self.gateway.stats;
        stats.record_turned_away(&self.service, head.brittle.is_some());
        let Some(bound) = head.brittle else {
            return;
        };
        let is_shared = servers.record_rejection(selected.key, sent_at, now);
        if !is_shared {
            let hold = brittle_hold(bound, self.gateway.budgets().instances());
            servers.begin_pause(&selected.id, now + hold);
        }
    }

    fn log_not_run(
        &self,
        selected: &SelectedEndpoint,
        history: &SendHistory,
        status: StatusCode,
        head: &ResponseHead,
    ) {
        let (own, bound) = self.gateway.servers.own_requests(selected.key);
        log::info!(id = self.head.id.as_str(), endpoint = selected.id.as_str(),
            status = status.as_u16(), load:? = head.load, own = own, bound:? = bound,
            instances = self.gateway.budgets().instances(), sends = history.sends;
            "endpoint did not run the request");
    }

    fn classify(
        &self,
        selected: &SelectedEndpoint,
        history: &mut SendHistory,
        result: Result<Reply, SendError>,
        sent_at: Duration,
    ) -> SendOutcome {
        let now = self.now();
        let servers = &self.gateway.servers;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => {
                let outcome = match error.fault {
                    SendFault::Silent => RequestOutcome::Silence,
                    _ => RequestOutcome::Failure,
                };
                servers.record_outcome(selected.key, outcome, now);
                self.record_ramp_failure(selected, outcome);
                history.failed_endpoints.push(selected.id.clone());
                history.unconnected += u32::from(error.fault == SendFault::Connect);
                if error.fault == SendFault::Closed {
                    self.record_closed(selected, false);
                }
                log::info!(id = self.head.id.as_str(), endpoint = selected.id.as_str(),
                    started_ms = selected.started_ms, fault:% = error.fault,
                    verdict:% = error.verdict(), parts = self.parts_text(),
                    fingerprint = self.fingerprint,
                    left_ms = super::link::millis(self.time_left()); "send failed");
                return match error.verdict() {
                    Verdict::NotRun => SendOutcome::NotRun,
                    _ => SendOutcome::MayHaveRun,
                };
            }
        };
        let (response, sender) = reply.into_parts();
        let (mut head, body) = response.into_parts();
        let response_head = self.gateway.platform.wire.decode_response_head(&mut head);
        let encoded = head.headers.contains_key(hyper::header::CONTENT_ENCODING);
        let reply = Reply::new(Response::from_parts(head, body), selected.address, sender);
        let status = reply.response.status();
        // Another endpoint at the address answers 421; its leaving says nothing about this one.
        let is_own = status != StatusCode::MISDIRECTED_REQUEST
            && (response_head.signed || response_head.not_run);
        if response_head.leaving && is_own {
            servers.mark_leaving(&selected.id, selected.started_ms, "answer", now);
        }
        if is_own {
            self.record_alive(selected);
            let answer = LimitAnswer {
                rate: response_head.limit,
                sent_at,
                now,
            };
            servers.record_limit(&selected.id, selected.started_ms, answer);
            servers.record_brittle(selected.key, response_head.brittle, sent_at, now);
            servers.record_pace(selected.key, response_head.pace, now);
            if response_head.pace.is_some() {
                servers.enable_ramps(&self.service);
            }
        }
        if let Some(pause) = response_head.pause {
            servers.begin_pause(&selected.id, now + pause);
            log::info!(endpoint = selected.id.as_str(),
                pause_ms = super::link::millis(pause); "endpoint asked for a pause");
        }
        if response_head.not_run && status == StatusCode::SERVICE_UNAVAILABLE {
            self.record_turned_away(selected, &response_head, sent_at);
        }
        // An endpoint without the model, or one that leaves, refuses at any load.
        let turned_away = response_head.not_run
            && is_own
            && !response_head.leaving
            && (self.head.target.is_none() || response_head.pause.is_some());
        let is_sound = response_head.signed && !encoded && !status.is_server_error();
        if turned_away || !(is_sound || response_head.not_run) {
            self.record_ramp_failure(selected, RequestOutcome::Failure);
        }
        if response_head.not_run {
            match &self.head.target {
                // The pause keeps requests away, and the endpoint can run this one after it.
                _ if response_head.pause.is_some() => {}
                Some(target) => servers.mark_absent(selected.key, target, now),
                None => history.failed_endpoints.push(selected.id.clone()),
            }
            self.log_not_run(selected, history, status, &response_head);
            return SendOutcome::NotRun;
        }
        if !response_head.signed || encoded {
            servers.record_outcome(selected.key, RequestOutcome::Failure, now);
            history.failed_endpoints.push(selected.id.clone());
            log::warn!(id = self.head.id.as_str(), endpoint = selected.id.as_str(),
                status = reply.response.status().as_u16(), encoded = encoded;
                "response is unsigned or has a content encoding; rejected");
            return SendOutcome::MayHaveRun;
        }
        if response_head.pause.is_none() {
            servers.record_answer(selected.key, sent_at);
        }
        SendOutcome::Answered(Box::new(CheckedReply {
            reply,
            head: response_head,
        }))
    }
}
