//! Requests that reach endpoints through another instance.
//!
//! An instance without a path to the endpoints of a service passes its requests to one that has a
//! path. That one handles them as a caller's own, and its answer goes to the caller as it is.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;
use tokio::time::timeout;

use super::headers::strip_connection_headers;
use super::protocol::DetourHead;
use super::serve::{NO_ENDPOINT_RETRY_DELAY, RoutedRequest, SendHistory};
use crate::http::{Body, full};
use crate::outbound::{AnswerBody, Freshness, Reply};
use crate::relay::CallerStream;
use crate::verdict::{Cause, Refusal, Verdict};

/// Most instances to which a request is passed in turn.
const MAX_INSTANCES: usize = 3;
/// Largest answer that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Whether another instance is to handle a request, which this one has not run yet.
#[must_use]
pub fn is_due(request: &RoutedRequest, history: &SendHistory) -> bool {
    !request.head.detoured
        && history.verdict() == Verdict::NotRun
        && request.gateway.is_cut_off(&request.service)
}

/// Responds to a request through another instance.
///
/// `None` where this instance knows no other one that can be asked.
pub async fn run(request: &RoutedRequest) -> Option<Response<Body>> {
    tokio::select! {
        passed = pass(request) => passed,
        () = request.gateway.wait_before_exit() => {
            let refusal = Refusal::new(Verdict::MayHaveRun, Cause::Stopping);
            Some(request.refuse(&refusal, &SendHistory::default()))
        }
    }
}

async fn pass(request: &RoutedRequest) -> Option<Response<Body>> {
    let wire = &request.gateway.platform.wire;
    let instances = instances(request);
    let mut history = SendHistory::default();
    let mut refused = None;
    for at in instances.into_iter().take(MAX_INSTANCES) {
        if request.time_left().is_zero() {
            break;
        }
        if let Err(refusal) = request.check_key(&history) {
            return Some(request.refuse(&refusal, &history));
        }
        history.sends += 1;
        let sent = request.gateway.outbound.send(
            at,
            passed_request(request),
            Freshness::Proved,
            request.time_left(),
        );
        let reply = match sent.await {
            Ok(reply) => reply,
            Err(error) => {
                log::info!(id = request.head.id.as_str(), instance:% = at, fault:% = error.fault,
                    verdict:% = error.verdict(); "request not passed to another instance");
                if error.verdict() == Verdict::NotRun {
                    continue;
                }
                history.possible_runs += 1;
                if request.may_run_after(history.possible_runs) {
                    continue;
                }
                break;
            }
        };
        let status = reply.response.status();
        let is_own = !wire.is_signed(reply.response.headers());
        // Another version decided these. In the one that is in force here the key and the route are
        // known, and the caller may have seen that, so that it must not be told otherwise here.
        let unknown = match status {
            StatusCode::UNAUTHORIZED => {
                Some("another instance does not know the key; not run there")
            }
            StatusCode::NOT_FOUND => {
                Some("another instance does not know the route; not run there")
            }
            _ => None,
        };
        if let Some(unknown) = unknown.filter(|_| is_own) {
            log::info!(id = request.head.id.as_str(), instance:% = at, version = request.version;
                "{unknown}");
            continue;
        }
        let is_refusal = is_own && status == StatusCode::SERVICE_UNAVAILABLE;
        let response = pass_answer(request, reply, at, &mut history).await;
        match response {
            Some(response) if is_refusal => refused = Some(response),
            Some(response) => return Some(response),
            None if request.may_run_after(history.possible_runs) => {}
            None => break,
        }
    }
    if history.sends == 0 {
        return None;
    }
    // The refusal says that the request did not run, which holds for all instances only then.
    if let Some(response) = refused.filter(|_| history.possible_runs == 0) {
        return Some(response);
    }
    let refusal = match (history.verdict(), request.time_left().is_zero()) {
        (Verdict::NotRun, _) => {
            Refusal::not_run(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY)
        }
        (verdict, true) => Refusal::new(verdict, Cause::DeadlinePassed),
        (verdict, false) => Refusal::new(verdict, Cause::EndpointFailed),
    };
    Some(request.refuse(&refusal, &history))
}

/// Addresses for callers of the instances that may have a path, in random order.
///
/// Those that the lease holder names, or else those known from the start.
fn instances(request: &RoutedRequest) -> Vec<SocketAddr> {
    let settings = &request.gateway.settings;
    let mut named = request.gateway.detours.borrow().clone();
    if named.is_empty() {
        named.clone_from(&settings.seed_addrs);
    }
    let port = settings.callers_addr.port();
    let mut addresses: Vec<SocketAddr> = named
        .into_iter()
        .filter(|peers| *peers != settings.peers_addr)
        .map(|peers| SocketAddr::new(peers.ip(), port))
        .collect();
    addresses.shuffle(&mut rand::rng());
    addresses
}

fn passed_request(request: &RoutedRequest) -> Request<Full<Bytes>> {
    let mut passed = Request::new(Full::new(request.body.clone()));
    *passed.method_mut() = request.method.clone();
    *passed.uri_mut() = request.uri.clone();
    *passed.headers_mut() = request.headers.clone();
    let wire = &request.gateway.platform.wire;
    let detour = DetourHead {
        time_left: request.time_left(),
        version: request.version,
        account: request.account_header(),
        proof: request.detour_proof(),
    };
    wire.set_detour_headers(passed.headers_mut(), &detour);
    passed
}

/// Passes an answer to the caller; `None` where it broke off before its first byte was passed on.
async fn pass_answer(
    request: &RoutedRequest,
    reply: Reply,
    instance: SocketAddr,
    history: &mut SendHistory,
) -> Option<Response<Body>> {
    let status = reply.response.status();
    let took = request.now().saturating_sub(request.arrived_at);
    let record_first = || {
        let gateway = &request.gateway;
        gateway
            .stats
            .record_first_response(&request.route.name, took);
    };
    if status.is_success() && request.route.kind.is_stream() {
        let (response, sender) = reply.into_parts();
        let (mut head, body) = response.into_parts();
        strip_connection_headers(&mut head.headers);
        let (outlet, passed) = CallerStream::new();
        tokio::spawn(async move {
            let _open = sender;
            pass_stream(body, outlet).await;
        });
        record_first();
        request.record_end("detour", history, status.as_u16(), &instance.to_string());
        return Some(Response::from_parts(head, passed));
    }
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    let answer = match timeout(request.time_left(), read).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            log::info!(id = request.head.id.as_str(), instance:% = instance, error:% = error;
                "answer of another instance broke off");
            history.possible_runs += 1;
            return None;
        }
        Err(late) => {
            log::info!(id = request.head.id.as_str(), instance:% = instance, error:% = late;
                "answer of another instance is late");
            history.possible_runs += 1;
            return None;
        }
    };
    let mut head = answer.head;
    strip_connection_headers(&mut head.headers);
    record_first();
    request.record_end("detour", history, status.as_u16(), &instance.to_string());
    Some(Response::from_parts(head, full(answer.body)))
}

/// Passes the body of a stream on until it ends or the caller leaves.
///
/// The other instance bounds its time; a body that breaks off does so for the caller too.
async fn pass_stream(mut body: AnswerBody, mut outlet: CallerStream) {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = outlet.closed() => return,
        };
        match frame {
            None => return outlet.finish(),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data()
                    && !outlet.send(bytes).await
                {
                    return;
                }
            }
            Some(Err(error)) => {
                log::info!(error:% = error; "stream of another instance broke off");
                return;
            }
        }
    }
}
