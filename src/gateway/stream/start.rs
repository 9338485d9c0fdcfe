//! Opens streams at endpoints, up to their first event.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::super::headers::strip_connection_headers;
use super::super::send::{CheckedReply, SendOutcome};
use super::super::serve::{RoutedRequest, SendHistory};
use super::super::servers::{RequestGuard, SelectedEndpoint};
use super::super::silence::{Success, first_success};
use crate::BoxFuture;
use crate::http::{Body, full};
use crate::outbound::{Reply, Sender};
use crate::relay::{EventReader, StreamEnd};
use crate::verdict::{Cause, Refusal, Verdict};

/// Largest response without events that is buffered.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time for the first event before another endpoint is asked too, in multiples of the objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;
/// Lower bound of that time: a shorter one would ask beside an engine whose batch is merely full.
const MIN_FIRST_EVENT_PATIENCE: Duration = Duration::from_secs(1);

/// An open stream from one endpoint.
pub(super) struct EndpointStream {
    pub(super) selected: SelectedEndpoint,
    pub(super) feed: EventReader,
    pub(super) sender: Sender,
    pub(super) running: RequestGuard,
}

/// Result of asking an endpoint for a stream.
pub(super) enum StreamStart {
    /// The stream is open; holds the response head, the stream and the first events.
    Streaming(Box<Parts>, Box<EndpointStream>, Bytes),
    /// The status is not a success; holds the response and the endpoint's id.
    Plain(Response<Body>, String),
}

/// Tries endpoints until one opens the stream or responds.
///
/// An endpoint that is silent may still open the stream while others are tried.
///
/// # Errors
///
/// The [`Refusal`] for the caller where none does and no retry is left.
pub(super) fn open_stream<'a>(
    request: &'a RoutedRequest,
    history: &'a mut SendHistory,
    last_event: Option<u64>,
) -> BoxFuture<'a, Result<StreamStart, Refusal>> {
    Box::pin(async move {
        loop {
            let selected = request.choose_endpoint(history).await?;
            if !request.take_send_permit(history) {
                return Err(request.final_refusal(history));
            }
            let patience = first_event_patience(request, history, &selected);
            let (key, before) = (selected.clone(), history.begin_attempt());
            let attempt = start_stream(request, key, before, last_event);
            tokio::pin!(attempt);
            let finished = match patience {
                Some(patience) => timeout(patience, &mut attempt).await.ok(),
                None => Some((&mut attempt).await),
            };
            let Some((start, after)) = finished else {
                request.log_silence(&selected);
                history.record_silence(&selected.id);
                let silent = async { attempt.await.0.ok_or(()) };
                let later = open_stream(request, history, last_event);
                return match first_success(silent, later).await {
                    Ok(Success::Silent(start)) => Ok(start),
                    Ok(Success::Later(start)) => {
                        request.record_failure(&selected, false);
                        Ok(start)
                    }
                    Err(((), refusal)) => Err(refusal),
                };
            };
            *history = after;
            match start {
                Some(start) => return Ok(start),
                None if request.time_left().is_zero() => {
                    let verdict = history.verdict();
                    return Err(Refusal::new(verdict, Cause::DeadlinePassed));
                }
                None if history.possible_runs > 0 && !request.route.kind.is_repeatable() => {
                    return Err(Refusal::new(Verdict::MayHaveRun, Cause::EndpointFailed));
                }
                None => {}
            }
        }
    })
}

/// Asks an endpoint for the stream; none where it gives no complete response.
///
/// Also returns the record of the sends with this one.
async fn start_stream(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    mut history: SendHistory,
    last_event: Option<u64>,
) -> (Option<StreamStart>, SendHistory) {
    let prefix_id = request.head.prefix_id.as_deref();
    let target = request.head.target.as_ref();
    let running =
        request
            .gateway
            .servers
            .begin_request(selected.key, target, prefix_id, request.now());
    let limit = request.time_left();
    let sent = request.send(&selected, &mut history, last_event, limit);
    let checked = match sent.await {
        SendOutcome::Answered(checked) => checked,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => return (None, history),
    };
    let CheckedReply { reply, .. } = *checked;
    let status = reply.response.status();
    if !status.is_success() {
        if request.replaceable(status.as_u16()) && request.may_run_again(&history) {
            history.record_possible_run(&selected.id);
            return (None, history);
        }
        let start = read_plain_response(request, selected, &mut history, reply).await;
        return (start, history);
    }
    let (response, sender) = reply.into_parts();
    let (head, body) = response.into_parts();
    let mut feed = EventReader::new(body);
    match feed.next(request.time_left()).await {
        Ok(events) => {
            let stream = EndpointStream {
                selected,
                feed,
                sender,
                running,
            };
            let start = StreamStart::Streaming(Box::new(head), Box::new(stream), events);
            (Some(start), history)
        }
        Err(end) => {
            record_break(request, &selected, &mut history, end);
            (None, history)
        }
    }
}

/// Time for the first event after which another endpoint is asked too; none where none is free.
///
/// A request that waits in an engine's queue is not moved: it would lose its position.
fn first_event_patience(
    request: &RoutedRequest,
    history: &SendHistory,
    selected: &SelectedEndpoint,
) -> Option<Duration> {
    let objectives = request.route.latency_objective * FIRST_EVENT_OBJECTIVES;
    let patience = objectives.max(MIN_FIRST_EVENT_PATIENCE);
    let elsewhere =
        || selected.expected_wait.is_zero() && request.has_alternative(history, selected);
    (patience < request.time_left() && request.may_run_again(history) && elsewhere())
        .then_some(patience)
}

/// Reads a response that is not a stream to its end.
async fn read_plain_response(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    history: &mut SendHistory,
    reply: Reply,
) -> Option<StreamStart> {
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    let Ok(Ok(answer)) = timeout(request.time_left(), read).await else {
        record_break(request, &selected, history, StreamEnd::Cut);
        return None;
    };
    let mut head = answer.head;
    strip_connection_headers(&mut head.headers);
    let response = Response::from_parts(head, full(answer.body));
    Some(StreamStart::Plain(response, selected.id))
}

pub(super) fn record_break(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
    end: StreamEnd,
) {
    request.record_broken_response(selected, history, end == StreamEnd::Cut);
    log::info!(id = request.head.id.as_str(), endpoint = selected.id.as_str(), end:% = end,
        ran = history.possible_runs, left_ms = super::super::link::millis(request.time_left());
        "stream broke off");
}
