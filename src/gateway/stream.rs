//! Requests whose response is a stream of events.
//!
//! The response head is sent to the caller together with the first event. A stream that breaks
//! before its end is resumed at another endpoint after the last complete event, where the route
//! allows that.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;

use super::headers::strip_connection_headers;
use super::send::{CheckedReply, SendOutcome};
use super::serve::{RoutedRequest, SendHistory};
use super::servers::{RequestGuard, RequestOutcome, SelectedEndpoint};
use crate::http::{Body, full};
use crate::outbound::Sender;
use crate::relay::{CallerStream, EventReader, StreamEnd};
use crate::verdict::{Cause, Refusal, Verdict};

/// Largest response without events that is buffered.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time for the first event before another endpoint is tried, in multiples of the objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;
/// Lower bound of that time: a shorter one would abandon an engine whose batch is merely full.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without events after which a stream that can be resumed elsewhere counts as broken, in
/// multiples of the longest accepted gap.
const STALL_TIMEOUT_GAPS: u32 = 4;
/// Reads of a stream over which an endpoint's mean time between events is taken.
const PACE_SAMPLE_READS: u32 = 6;
/// Time limit for resuming a broken stream; callers cancel a stream after a gap of two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1800);
/// Longest accepted gap between events where the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(500);

/// An open stream from one endpoint.
struct EndpointStream {
    selected: SelectedEndpoint,
    feed: EventReader,
    sender: Sender,
    running: RequestGuard,
}

/// Result of asking an endpoint for a stream.
enum StreamStart {
    /// The stream is open; holds the response head, the stream and the first events.
    Streaming(Box<Parts>, Box<EndpointStream>, Bytes),
    /// The status is not a success; holds the response and the endpoint's id.
    Plain(Response<Body>, String),
    /// The endpoint returned no complete response.
    Failed,
}

/// Responds to a request for a stream.
pub async fn run(request: RoutedRequest) -> Response<Body> {
    let mut history = SendHistory::default();
    let last_event = request.head.last_event;
    let opened = tokio::select! {
        opened = open_stream(&request, &mut history, last_event) => opened,
        () = request.gateway.wait_before_exit() => Err(Refusal::not_run(Cause::Stopping)),
    };
    let opened = opened.map_err(|refusal| match refusal.cause {
        Cause::Stopping => request.stopping_refusal(&history),
        _ => refusal,
    });
    match opened {
        Ok(StreamStart::Streaming(mut head, stream, events)) => {
            strip_connection_headers(&mut head.headers);
            let took = request.now().saturating_sub(request.arrived_at);
            request
                .gateway
                .stats
                .record_first_response(&request.route.name, took);
            log::info!(id = request.head.id.as_str(), endpoint = stream.selected.id.as_str(),
                sends = history.sends, first_ms = super::link::millis(took); "stream begun");
            let (outlet, body) = CallerStream::new();
            let status = head.status.as_u16();
            tokio::spawn(relay_stream(
                request, history, *stream, outlet, events, last_event, status,
            ));
            Response::from_parts(*head, body)
        }
        Ok(StreamStart::Plain(response, endpoint)) => {
            request.record_end("answered", &history, response.status().as_u16(), &endpoint);
            response
        }
        Ok(StreamStart::Failed) => request.refuse(&request.final_refusal(&history), &history),
        Err(refusal) => request.refuse(&refusal, &history),
    }
}

/// Tries endpoints until one opens the stream or responds, or no retry is left.
async fn open_stream(
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
            request.record_begun(&selected, history);
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

fn record_break(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
    end: StreamEnd,
) {
    request.record_broken_response(selected, history, end == StreamEnd::Cut);
    log::info!(id = request.head.id.as_str(), endpoint = selected.id.as_str(), end:% = end,
        started_ms = selected.started_ms, begun = history.begun, parts = request.parts_text(),
        fingerprint = request.fingerprint, ran = history.possible_runs,
        left_ms = super::link::millis(request.time_left()); "stream broke off");
}

/// Relays a stream to the caller until it ends, resuming it at other endpoints where it breaks.
async fn relay_stream(
    mut request: RoutedRequest,
    mut history: SendHistory,
    mut stream: EndpointStream,
    mut outlet: CallerStream,
    first_events: Bytes,
    last_event: Option<u64>,
    status: u16,
) {
    let started = request.now();
    let mut last_event = last_event_id(&first_events).or(last_event);
    if !outlet.send(first_events).await {
        request.record_end("caller-gone", &history, status, &stream.selected.id);
        return;
    }
    loop {
        let end = relay_events(
            &request,
            &mut history,
            &mut stream,
            &mut outlet,
            &mut last_event,
        )
        .await;
        match end {
            StreamEnd::Whole => {
                let EndpointStream {
                    selected,
                    sender,
                    running,
                    ..
                } = stream;
                drop(running);
                request
                    .gateway
                    .servers
                    .record_run_time(request.now().saturating_sub(started));
                request.gateway.servers.record_outcome(
                    selected.key,
                    RequestOutcome::Success,
                    request.now(),
                );
                request.gateway.outbound.put(selected.address, sender);
                request.record_end("answered", &history, status, &selected.id);
                return;
            }
            StreamEnd::CallerGone => {
                request.record_end("caller-gone", &history, status, &stream.selected.id);
                return;
            }
            StreamEnd::Cut | StreamEnd::Silent => {
                record_break(&request, &stream.selected, &mut history, end);
                let endpoint = stream.selected.id.clone();
                drop(stream);
                let next =
                    resume_stream(&mut request, &mut history, &mut outlet, &mut last_event).await;
                let Some(next) = next else {
                    request.record_end("cut", &history, status, &endpoint);
                    outlet.abort().await;
                    return;
                };
                stream = next;
            }
        }
    }
}

/// Relays the events of one endpoint until its stream ends or breaks.
async fn relay_events(
    request: &RoutedRequest,
    history: &mut SendHistory,
    stream: &mut EndpointStream,
    outlet: &mut CallerStream,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let (mut sample_start, mut read_count) = (request.now(), 0);
    let mut previous = sample_start;
    loop {
        let left = request.time_left();
        if left.is_zero() {
            return StreamEnd::Silent;
        }
        if read_count == PACE_SAMPLE_READS {
            let gap = request.now().saturating_sub(sample_start) / PACE_SAMPLE_READS;
            let now = request.now();
            request
                .gateway
                .servers
                .record_interval(stream.selected.key, gap, now);
            (sample_start, read_count) = (request.now(), 0);
        }
        read_count += 1;
        let limit = if request.may_run_again(history) {
            left.min(request.route.gap_objective.unwrap_or(DEFAULT_MAX_GAP) * STALL_TIMEOUT_GAPS)
        } else {
            left
        };
        let next = tokio::select! {
            next = stream.feed.next(limit) => next,
            () = outlet.closed() => return StreamEnd::CallerGone,
        };
        match next {
            Ok(events) => {
                let now = request.now();
                history.longest_gap = history.longest_gap.max(now.saturating_sub(previous));
                previous = now;
                *last_event = last_event_id(&events).or(*last_event);
                if !outlet.send(events).await {
                    return StreamEnd::CallerGone;
                }
            }
            Err(StreamEnd::Cut) if stream.feed.ended_cleanly() => return StreamEnd::Whole,
            // A stalled stream is kept while no other endpoint could resume it.
            Err(StreamEnd::Silent)
                if !request.time_left().is_zero()
                    && !request.has_alternative(history, &stream.selected) => {}
            Err(end) => return end,
        }
    }
}

/// Resumes the stream at another endpoint; `None` where that is not possible.
async fn resume_stream(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    outlet: &mut CallerStream,
    last_event: &mut Option<u64>,
) -> Option<EndpointStream> {
    if !request.may_run_after(history.possible_runs) || request.time_left().is_zero() {
        return None;
    }
    request.first_deadline = request.deadline.min(request.now() + RESUME_TIMEOUT);
    let start = tokio::select! {
        start = open_stream(request, history, *last_event) => start,
        () = outlet.closed() => return None,
    };
    let Ok(StreamStart::Streaming(_, stream, events)) = start else {
        return None;
    };
    *last_event = last_event_id(&events).or(*last_event);
    log::info!(id = request.head.id.as_str(), endpoint = stream.selected.id.as_str(),
        after = last_event.unwrap_or_default(), sends = history.sends; "stream resumed");
    outlet.send(events).await.then_some(*stream)
}

/// Id of the last event with an id, among complete events.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::stream::last_event_id;
///
/// assert_eq!(last_event_id(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n"), Some(4));
/// assert_eq!(last_event_id(b"data: a\n\n"), None);
/// ```
#[must_use]
pub fn last_event_id(events: &[u8]) -> Option<u64> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
