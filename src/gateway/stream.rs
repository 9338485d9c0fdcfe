//! Requests whose response is a stream of events.
//!
//! The response head is sent to the caller together with the first event. A stream that breaks
//! before its end is resumed at another endpoint after the last complete event, where the route
//! allows that.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;

use super::headers::strip_connection_headers;
use super::serve::{RoutedRequest, SendHistory};
use super::servers::RequestOutcome;
use crate::http::Body;
use crate::relay::{CallerStream, StreamEnd};
use crate::verdict::{Cause, Refusal};

mod start;

use start::{EndpointStream, StreamStart, open_stream, record_break};

/// Time without events after which a stream that can be resumed elsewhere counts as broken, in
/// multiples of the longest accepted gap.
const STALL_TIMEOUT_GAPS: u32 = 4;
/// Reads of a stream over which an endpoint's mean time between events is taken.
const PACE_SAMPLE_READS: u32 = 6;
/// Time limit for resuming a broken stream; callers cancel a stream after a gap of two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1800);
/// Longest accepted gap between events where the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(500);

/// How a silence in a stream ended.
enum Silence {
    /// The endpoint sent its next events.
    Over(Bytes),
    /// Another endpoint sent them first, and has the stream now.
    Moved(Box<EndpointStream>, Bytes),
    /// No other endpoint takes the stream; it stays where it is.
    Alone,
    /// The stream ended, or the caller left.
    Ended(StreamEnd),
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
        Err(refusal) => request.refuse(&refusal, &history),
    }
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
            &mut request,
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
                stream = match next {
                    Ok(next) => next,
                    Err(reason) => {
                        log::info!(id = request.head.id.as_str(), endpoint = endpoint.as_str(),
                            end:% = end, reason = reason, ran = history.possible_runs;
                            "stream not resumed");
                        request.record_end("cut", &history, status, &endpoint);
                        outlet.abort().await;
                        return;
                    }
                };
            }
        }
    }
}

/// Relays events until the stream ends or breaks; a silent stream may move to another endpoint.
async fn relay_events(
    request: &mut RoutedRequest,
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
        let events = match next {
            Ok(events) => events,
            Err(StreamEnd::Cut) if stream.feed.ended_cleanly() => return StreamEnd::Whole,
            Err(StreamEnd::Silent) if !request.time_left().is_zero() => {
                if !request.has_alternative(history, &stream.selected) {
                    continue;
                }
                match wait_beside(request, history, stream, outlet, *last_event).await {
                    Silence::Over(events) => events,
                    Silence::Moved(next, events) => {
                        *stream = *next;
                        (sample_start, read_count) = (request.now(), 0);
                        events
                    }
                    Silence::Alone => continue,
                    Silence::Ended(end) => return end,
                }
            }
            Err(end) => return end,
        };
        let now = request.now();
        history.longest_gap = history.longest_gap.max(now.saturating_sub(previous));
        previous = now;
        *last_event = last_event_id(&events).or(*last_event);
        if !outlet.send(events).await {
            return StreamEnd::CallerGone;
        }
    }
}

/// Asks another endpoint to go on with a silent stream, which stays open meanwhile.
///
/// Silence is no proof that an endpoint has failed. Whichever of the two sends the next events keeps
/// the caller; the other one is dropped.
async fn wait_beside(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    stream: &mut EndpointStream,
    outlet: &CallerStream,
    last_event: Option<u64>,
) -> Silence {
    let runs_before = history.possible_runs;
    history.record_possible_run(&stream.selected.id);
    request.first_deadline = request.deadline.min(request.now() + RESUME_TIMEOUT);
    let (silence, ended) = {
        let request = &*request;
        let opening = open_stream(request, history, last_event);
        tokio::pin!(opening);
        let mut ended = None;
        loop {
            tokio::select! {
                biased;
                () = outlet.closed() => break (Silence::Ended(StreamEnd::CallerGone), ended),
                next = stream.feed.next(request.time_left()), if ended.is_none() => match next {
                    Ok(events) => break (Silence::Over(events), ended),
                    Err(StreamEnd::Cut) if stream.feed.ended_cleanly() => {
                        break (Silence::Ended(StreamEnd::Whole), ended);
                    }
                    Err(end) => ended = Some(end),
                },
                opened = &mut opening => {
                    let silence = match (opened, ended) {
                        (Ok(StreamStart::Streaming(_, next, events)), _) => {
                            Silence::Moved(next, events)
                        }
                        (_, Some(end)) => Silence::Ended(end),
                        (_, None) => Silence::Alone,
                    };
                    break (silence, ended);
                }
            }
        }
    };
    let (id, from) = (request.head.id.as_str(), stream.selected.id.as_str());
    if let Silence::Moved(next, _) = &silence {
        request.record_failure(&stream.selected, ended == Some(StreamEnd::Cut));
        log::info!(id = id, endpoint = next.selected.id.as_str(), from = from,
            after = last_event.unwrap_or_default(), sends = history.sends; "silent stream moved");
        return silence;
    }
    log::info!(id = id, endpoint = from, sends = history.sends; "silent stream kept");
    // The stream still runs here, so only the sends made beside it count as earlier runs.
    let beside = history.possible_runs - runs_before - 1 + u32::from(history.in_flight);
    history.possible_runs = runs_before + beside;
    history.in_flight = false;
    silence
}

/// Resumes the stream at another endpoint.
///
/// # Errors
///
/// The reason for the log where that is not possible.
async fn resume_stream(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    outlet: &mut CallerStream,
    last_event: &mut Option<u64>,
) -> Result<EndpointStream, &'static str> {
    if request.time_left().is_zero() {
        return Err("deadline");
    }
    if !request.may_run_after(history.possible_runs) {
        return Err("no-attempt-left");
    }
    request.first_deadline = request.deadline.min(request.now() + RESUME_TIMEOUT);
    let start = tokio::select! {
        start = open_stream(request, history, *last_event) => start,
        () = outlet.closed() => return Err("caller-gone"),
    };
    let (stream, events) = match start {
        Ok(StreamStart::Streaming(_, stream, events)) => (stream, events),
        Ok(StreamStart::Plain(..)) => return Err("answered-without-stream"),
        Err(refusal) => return Err(refusal.cause.into()),
    };
    *last_event = last_event_id(&events).or(*last_event);
    log::info!(id = request.head.id.as_str(), endpoint = stream.selected.id.as_str(),
        after = last_event.unwrap_or_default(), sends = history.sends; "stream resumed");
    if outlet.send(events).await {
        Ok(*stream)
    } else {
        Err("caller-gone")
    }
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
