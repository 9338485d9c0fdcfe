//! Requests with a single, buffered response, as plain services have.

use std::time::Duration;

use hyper::Response;
use tokio::time::timeout;

use super::detour;
use super::headers::strip_connection_headers;
use super::send::{Break, CheckedReply, SendOutcome};
use super::serve::{RoutedRequest, SendHistory};
use super::servers::{RequestOutcome, SelectedEndpoint};
use super::silence::{Awaited, Success, first_success, winner};
use crate::BoxFuture;
use crate::http::{Body, full};
use crate::outbound::{Answer, SendFault};
use crate::verdict::{Cause, Refusal};

/// Largest response that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Time for a repeatable call before another endpoint is asked too, in multiples of the objective:
/// a call that takes twice its objective is more likely lost than slow.
const CALL_PATIENCE_OBJECTIVES: u32 = 2;

/// An answer, and the id of the endpoint that gave it.
type Found = (Answer, String);

/// No endpoint succeeded; holds the last error answer, if any, and the refusal without one.
type NotFound = (Option<Found>, Refusal);

/// Responds to a call.
pub async fn run(request: RoutedRequest) -> Response<Body> {
    let mut history = SendHistory::default();
    let found = tokio::select! {
        found = find_answer(&request, &mut history) => found,
        () = request.gateway.wait_before_exit() => {
            return request.refuse(&request.stopping_refusal(&history), &history);
        }
    };
    match found {
        Ok((answer, endpoint)) => respond(&request, answer, &history, &endpoint),
        Err((answer, refusal)) => {
            if detour::is_due(&request, &history)
                && let Some(response) = detour::run(&request).await
            {
                return response;
            }
            respond_without_success(&request, answer, &refusal, &history)
        }
    }
}

/// Tries endpoints until one answers or no retry is left.
///
/// An endpoint that is silent may still answer while others are tried.
fn find_answer<'a>(
    request: &'a RoutedRequest,
    history: &'a mut SendHistory,
) -> BoxFuture<'a, Result<Found, NotFound>> {
    Box::pin(async move {
        let mut failed = None;
        loop {
            let selected = match request.choose_endpoint(history).await {
                Ok(selected) => selected,
                Err(refusal) => return Err((failed, refusal)),
            };
            if !request.take_send_permit(history) {
                return Err((failed, request.final_refusal(history)));
            }
            let patience = patience(request, history);
            let asked_at = request.now();
            let attempt = attempt(request, selected.clone(), history.begin_attempt());
            tokio::pin!(attempt);
            let finished = match patience {
                Some(patience) => timeout(patience, &mut attempt).await.ok(),
                None => Some((&mut attempt).await),
            };
            let Some((answer, after)) = finished else {
                request.log_silence(&selected);
                history.record_silence(&selected.id);
                let beside_at = request.now();
                let silent = async { attempt.await.0 };
                let later = find_answer(request, history);
                let first = first_success(silent, later).await;
                let times = (asked_at, beside_at);
                request.record_beside(&selected, Awaited::Answer, winner(&first), times);
                return match first {
                    Ok(Success::Silent(found)) => Ok(found),
                    Ok(Success::Later(found)) => {
                        request.record_failure(&selected, Break::Silent);
                        Ok(found)
                    }
                    Err((silent, (later, refusal))) => Err((later.or(silent).or(failed), refusal)),
                };
            };
            *history = after;
            match answer {
                Ok(found) => return Ok(found),
                // An error status counts as a run. The caller gets this response if no other
                // endpoint returns a better one.
                Err(Some(found)) => {
                    history.record_possible_run(&selected.id);
                    failed = Some(found);
                }
                Err(None) if request.time_left().is_zero() => {
                    return Err((failed, request.final_refusal(history)));
                }
                Err(None) => {}
            }
        }
    })
}

/// Time for the answer after which another endpoint is asked too; none where none may be.
fn patience(request: &RoutedRequest, history: &SendHistory) -> Option<Duration> {
    let patience = request.route.latency_objective * CALL_PATIENCE_OBJECTIVES;
    (patience < request.time_left() && request.may_run_again(history)).then_some(patience)
}

/// Asks an endpoint; an error holds its answer where another endpoint's may replace it.
///
/// Also returns the record of the sends with this one.
async fn attempt(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    mut history: SendHistory,
) -> (Result<Found, Option<Found>>, SendHistory) {
    let servers = &request.gateway.servers;
    let _running = servers.begin_request(selected.key, None, None, request.now());
    let found = match read_answer(request, &selected, &mut history).await {
        None => Err(None),
        Some(answer) if request.replaceable(answer.head.status.as_u16()) => {
            Err(Some((answer, selected.id)))
        }
        Some(answer) => Ok((answer, selected.id)),
    };
    (found, history)
}

async fn read_answer(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
) -> Option<Answer> {
    let limit = request.time_left();
    let sent_at = request.now();
    let checked = match request.send(selected, history, None, limit).await {
        SendOutcome::Answered(checked) => checked,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => return None,
    };
    let CheckedReply { reply, head } = *checked;
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    let answer = match timeout(request.time_left(), read).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            let broken = match error.fault {
                SendFault::Body => Break::Closed { begun: false },
                _ => Break::Invalid,
            };
            return record_break(request, selected, history, broken, &error.to_string());
        }
        Err(late) => {
            return record_break(request, selected, history, Break::Silent, &late.to_string());
        }
    };
    if answer.head.status.is_success() {
        request.record_begun(selected);
        request.record_whole();
        let now = request.now();
        let took = now.saturating_sub(sent_at);
        let servers = &request.gateway.servers;
        servers.record_call_time(selected.key, took, head.load, now);
    }
    let health = if answer.head.status.is_server_error() {
        RequestOutcome::Failure
    } else {
        RequestOutcome::Success
    };
    request
        .gateway
        .servers
        .record_outcome(selected.key, health, request.now());
    Some(answer)
}

fn record_break(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
    broken: Break,
    error: &str,
) -> Option<Answer> {
    request.record_broken_response(selected, history, broken);
    log::info!(id = request.head.id.as_str(), endpoint = selected.id.as_str(),
        started_ms = selected.started_ms, parts = request.parts_text(),
        fingerprint = request.fingerprint, error = error; "answer broke off");
    None
}

/// Final response where no endpoint succeeded: the last error response, else a refusal.
fn respond_without_success(
    request: &RoutedRequest,
    failed_answer: Option<Found>,
    refusal: &Refusal,
    history: &SendHistory,
) -> Response<Body> {
    match failed_answer {
        Some((answer, endpoint)) => respond(request, answer, history, &endpoint),
        None if request.time_left() == Duration::ZERO => {
            let late = Refusal::new(history.verdict(), Cause::DeadlinePassed);
            request.refuse(&late, history)
        }
        None => request.refuse(refusal, history),
    }
}

fn respond(
    request: &RoutedRequest,
    answer: Answer,
    history: &SendHistory,
    endpoint: &str,
) -> Response<Body> {
    let Answer { mut head, body } = answer;
    strip_connection_headers(&mut head.headers);
    let took = request.now().saturating_sub(request.arrived_at);
    request
        .gateway
        .stats
        .record_first_response(&request.route.name, took);
    request.record_end("answered", history, head.status.as_u16(), endpoint);
    Response::from_parts(head, full(body))
}
