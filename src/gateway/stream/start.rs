//! Opens streams at endpoints, up to their first event.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;

use super::super::headers::strip_connection_headers;
use super::super::send::{CheckedReply, SendOutcome};
use super::super::serve::{RoutedRequest, SendHistory};
use super::super::servers::{RequestGuard, SelectedEndpoint};
use crate::http::{Body, full};
use crate::outbound::Sender;
use crate::relay::{EventReader, StreamEnd};
use crate::verdict::{Cause, Refusal, Verdict};

/// Largest response without events that is buffered.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time for the first event before another endpoint is tried, in multiples of the objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;
/// Lower bound of that time: a shorter one would abandon an engine whose batch is merely full.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The endpoint returned no complete response.
    Failed,
}

/// Tries endpoints until one opens the stream or responds, or no retry is left.
pub(super) async fn open_stream(
    request: &RoutedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<StreamStart, Refusal> {
    loop {
        let selected = request.choose_endpoint(history).await?;
        if !request.take_send_permit(history) {
            return Ok(StreamStart::Failed);
        }
        match start_stream(request, selected, history, last_event).await {
            StreamStart::Failed if request.time_left().is_zero() => {
                let verdict = history.verdict();
                return Err(Refusal::new(verdict, Cause::DeadlinePassed));
            }
            StreamStart::Failed
                if history.possible_runs > 0 && !request.route.kind.is_repeatable() =>
            {
                return Err(Refusal::new(Verdict::MayHaveRun, Cause::EndpointFailed));
            }
            StreamStart::Failed => {}
            start => return Ok(start),
        }
    }
}

async fn start_stream(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> StreamStart {
    let prefix_id = request.head.prefix_id.as_deref();
    let target = request.head.target.as_ref();
    let running =
        request
            .gateway
            .servers
            .begin_request(selected.key, target, prefix_id, request.now());
    let started = request.now();
    let limit = first_event_timeout(request, history, &selected);
    let checked = match request.send(&selected, history, last_event, limit).await {
        SendOutcome::Answered(checked) => checked,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => return StreamStart::Failed,
    };
    let CheckedReply { reply, .. } = *checked;
    let status = reply.response.status();
    if !status.is_success() {
        if request.replaceable(status.as_u16()) && request.may_run_again(history) {
            history.record_possible_run(&selected.id);
            return StreamStart::Failed;
        }
        return read_plain_response(request, selected, history, reply).await;
    }
    let (response, sender) = reply.into_parts();
    let (head, body) = response.into_parts();
    let mut feed = EventReader::new(body);
    let remaining = limit.saturating_sub(request.now().saturating_sub(started));
    history.in_flight = true;
    match feed.next(remaining).await {
        Ok(events) => {
            history.in_flight = false;
            let stream = EndpointStream {
                selected,
                feed,
                sender,
                running,
            };
            StreamStart::Streaming(Box::new(head), Box::new(stream), events)
        }
        Err(end) => {
            history.in_flight = false;
            record_break(request, &selected, history, end);
            StreamStart::Failed
        }
    }
}

/// Time limit for the first event, shorter where another endpoint can take the request.
///
/// A request that waits in an engine's queue is not moved: it would lose its position.
fn first_event_timeout(
    request: &RoutedRequest,
    history: &SendHistory,
    selected: &SelectedEndpoint,
) -> Duration {
    let left = request.time_left();
    let elsewhere =
        || selected.expected_wait.is_zero() && request.has_alternative(history, selected);
    if request.may_run_again(history) && elsewhere() {
        let timeout = request.route.latency_objective * FIRST_EVENT_OBJECTIVES;
        return left.min(timeout.max(MIN_FIRST_EVENT_TIMEOUT));
    }
    left
}

/// Reads a response that is not a stream to its end.
async fn read_plain_response(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    history: &mut SendHistory,
    reply: crate::outbound::Reply,
) -> StreamStart {
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    let Ok(Ok(answer)) = tokio::time::timeout(request.time_left(), read).await else {
        record_break(request, &selected, history, StreamEnd::Cut);
        return StreamStart::Failed;
    };
    let mut head = answer.head;
    strip_connection_headers(&mut head.headers);
    StreamStart::Plain(Response::from_parts(head, full(answer.body)), selected.id)
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
