//! Requests with a single, buffered response, as plain services have.

use std::time::Duration;

use hyper::Response;
use tokio::time::timeout;

use super::headers::strip_connection_headers;
use super::send::{CheckedReply, SendOutcome};
use super::serve::{RoutedRequest, SendHistory};
use super::servers::{RequestOutcome, SelectedEndpoint};
use crate::http::{Body, full};
use crate::outbound::Answer;
use crate::verdict::{Cause, Refusal};

/// Largest response that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Time for a repeatable call before it is sent to another endpoint, in multiples of the objective:
/// a call that takes twice its objective is more likely lost than slow.
const CALL_TIMEOUT_OBJECTIVES: u32 = 2;

/// Responds to a call.
pub async fn run(request: RoutedRequest) -> Response<Body> {
    let mut history = SendHistory::default();
    tokio::select! {
        answer = try_endpoints(&request, &mut history) => return answer,
        () = request.gateway.wait_before_exit() => {}
    }
    request.refuse(&request.stopping_refusal(&history), &history)
}

async fn try_endpoints(request: &RoutedRequest, history: &mut SendHistory) -> Response<Body> {
    let mut failed_answer: Option<(Answer, String)> = None;
    loop {
        let selected = match request.choose_endpoint(history).await {
            Ok(selected) => selected,
            Err(refusal) => {
                return respond_without_success(request, failed_answer, &refusal, history);
            }
        };
        if !request.take_send_permit(history) {
            return respond_without_success(
                request,
                failed_answer,
                &request.final_refusal(history),
                history,
            );
        }
        let running =
            request
                .gateway
                .servers
                .begin_request(selected.key, None, None, request.now());
        let answer = attempt(request, &selected, history).await;
        drop(running);
        let Some(answer) = answer else {
            if request.time_left().is_zero() {
                return respond_without_success(
                    request,
                    failed_answer,
                    &request.final_refusal(history),
                    history,
                );
            }
            continue;
        };
        let status = answer.head.status.as_u16();
        if !request.replaceable(status) {
            return respond(request, answer, history, &selected.id);
        }
        // An error status counts as a run. The caller gets this response if no other endpoint
        // returns a better one.
        history.record_possible_run(&selected.id);
        failed_answer = Some((answer, selected.id));
    }
}

async fn attempt(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
) -> Option<Answer> {
    let left = request.time_left();
    let limit = if request.may_run_again(history) {
        left.min(request.route.latency_objective * CALL_TIMEOUT_OBJECTIVES)
    } else {
        left
    };
    let started = request.now();
    let checked = match request.send(selected, history, None, limit).await {
        SendOutcome::Answered(checked) => checked,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => return None,
    };
    let CheckedReply { reply, .. } = *checked;
    let remaining = left.saturating_sub(request.now().saturating_sub(started));
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    history.in_flight = true;
    let read = timeout(remaining, read).await;
    history.in_flight = false;
    let answer = match read {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return record_break(request, selected, history, &error.to_string()),
        Err(late) => return record_break(request, selected, history, &late.to_string()),
    };
    if answer.head.status.is_success() {
        request.record_begun(selected, history);
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
    error: &str,
) -> Option<Answer> {
    request.record_broken_response(selected, history, true);
    log::info!(id = request.head.id.as_str(), endpoint = selected.id.as_str(),
        started_ms = selected.started_ms, parts = request.parts_text(),
        fingerprint = request.fingerprint, error = error; "answer broke off");
    None
}

/// Final response where no endpoint succeeded: the last error response, else a refusal.
fn respond_without_success(
    request: &RoutedRequest,
    failed_answer: Option<(Answer, String)>,
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
