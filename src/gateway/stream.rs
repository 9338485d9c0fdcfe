//! Requests whose response is a stream of events.
//!
//! The response head is sent to the caller together with the first event. A stream that breaks
//! before its end is resumed at another endpoint after the last complete event, where the route
//! allows that; a silent one may move there.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;

use super::detour;
use super::headers::strip_connection_headers;
use super::serve::{RoutedRequest, SendHistory};
use super::servers::{RequestOutcome, SelectedEndpoint};
use super::stats::Lateness;
use crate::http::Body;
use crate::relay::{CallerStream, StreamEnd};
use crate::verdict::{Cause, Refusal};

mod events;
mod origin;
mod start;

use events::next_events;
use start::{EndpointStream, Unopened, begin_stream, open_stream, record_break};

/// Time without events after which another endpoint is asked to go on, in multiples of the longest
/// accepted gap.
const STALL_GAPS: u32 = 4;
/// Reads of a stream over which an endpoint's mean time between events is taken.
const PACE_SAMPLE_READS: u32 = 6;
/// Time limit for resuming a broken stream; callers cancel a stream after a gap of two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1800);
/// Longest accepted gap between events where the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(500);

/// Responds to a request for a stream.
pub async fn run(mut request: RoutedRequest) -> Response<Body> {
    let mut history = SendHistory::default();
    let last_event = request.head.last_event;
    if let Err(refusal) = request.require_origin().await {
        return request.refuse(&refusal, &history);
    }
    let gateway = std::sync::Arc::clone(&request.gateway);
    let begun = tokio::select! {
        begun = begin_stream(&mut request, &mut history, last_event) => begun,
        () = gateway.wait_before_exit() => {
            Err(Unopened::Refused(Refusal::not_run(Cause::Stopping)))
        }
    };
    match begun {
        Ok((stream, events)) => {
            request.record_origin(&stream.selected.software);
            let mut head = (*stream.head).clone();
            strip_connection_headers(&mut head.headers);
            let took = request.now().saturating_sub(request.arrived_at);
            history.first_late = took > request.route.latency_objective;
            request
                .gateway
                .stats
                .record_first_response(&request.route.name, took);
            log::info!(id = request.head.id.as_str(), endpoint = stream.selected.id.as_str(),
                software = stream.selected.software.as_str(), sends = history.sends,
                after = last_event.unwrap_or_default(),
                resumes = request.head.resumes.as_deref().unwrap_or_default(),
                first_ms = super::link::millis(took); "stream begun");
            let (outlet, body) = CallerStream::new();
            let status = head.status.as_u16();
            tokio::spawn(relay_stream(
                request, history, stream, outlet, events, last_event, status,
            ));
            Response::from_parts(head, body)
        }
        Err(Unopened::Answered(response, endpoint)) => {
            request.record_end("answered", &history, response.status().as_u16(), &endpoint);
            response
        }
        Err(Unopened::Refused(refusal)) if refusal.cause == Cause::Stopping => {
            request.refuse(&request.stopping_refusal(&history), &history)
        }
        Err(Unopened::Refused(refusal)) => {
            if detour::is_due(&request, &history)
                && let Some(response) = detour::run(&request).await
            {
                return response;
            }
            request.refuse(&refusal, &history)
        }
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
                request.record_whole();
                record_stream_end(&request, &history, &selected);
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
                outlet.finish();
                return;
            }
            StreamEnd::CallerGone => {
                request.record_end("caller-gone", &history, status, &stream.selected.id);
                return;
            }
            StreamEnd::Cut | StreamEnd::Invalid | StreamEnd::Silent => {
                record_break(&request, &stream.selected, &mut history, stream.broken(end));
                let endpoint = stream.selected.id.clone();
                drop(stream);
                let next = resume_stream(&mut request, &mut history, &outlet, last_event).await;
                stream = match next {
                    Ok(next) => next,
                    Err(reason) => {
                        log::info!(id = request.head.id.as_str(), endpoint = endpoint.as_str(),
                            end:% = end, reason = reason, ran = history.possible_runs;
                            "stream not resumed");
                        request.record_end("cut", &history, status, &endpoint);
                        return;
                    }
                };
            }
        }
    }
}

/// Records whether a stream was in time, where its service states paces.
fn record_stream_end(request: &RoutedRequest, history: &SendHistory, selected: &SelectedEndpoint) {
    let gateway = &request.gateway;
    let Some(gap_objective) = request.route.gap_objective else {
        return;
    };
    if !gateway
        .servers
        .reports_pace(&request.service, request.now())
    {
        return;
    }
    let paused = history.longest_gap > gap_objective;
    // A gap around a break or a move says nothing about what runs on the engine.
    if let Some(expected) = selected.expected.filter(|_| history.sends == 1) {
        gateway
            .servers
            .record_pauses(selected.key, &expected, paused);
    }
    let lateness = match (history.first_late, paused) {
        (true, _) => Lateness::FirstEvent,
        (false, true) => Lateness::Pause,
        (false, false) => Lateness::InTime,
    };
    gateway.stats.record_lateness(&request.service, lateness);
    if let Some(target) = request.configured_target() {
        let late = lateness != Lateness::InTime;
        gateway
            .demand
            .record_stream_end(&request.service, target, late);
    }
}

/// Relays events until the stream ends or breaks.
async fn relay_events(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    stream: &mut EndpointStream,
    outlet: &mut CallerStream,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let patience = request.route.gap_objective.unwrap_or(DEFAULT_MAX_GAP) * STALL_GAPS;
    let (mut sample_start, mut read_count) = (request.now(), 0);
    let mut previous = sample_start;
    loop {
        let key = stream.selected.key;
        if read_count == PACE_SAMPLE_READS {
            let now = request.now();
            let gap = now.saturating_sub(sample_start) / PACE_SAMPLE_READS;
            request.gateway.servers.record_interval(key, gap, now);
            (sample_start, read_count) = (now, 0);
        }
        read_count += 1;
        let caller = Some(&*outlet);
        let next = next_events(request, history, stream, patience, caller, *last_event).await;
        let events = match next {
            Ok(events) => events,
            Err(end) => return end,
        };
        let now = request.now();
        if stream.selected.key != key {
            (sample_start, read_count) = (now, 0);
        }
        history.longest_gap = history.longest_gap.max(now.saturating_sub(previous));
        previous = now;
        *last_event = last_event_id(&events).or(*last_event);
        if !outlet.send(events).await {
            return StreamEnd::CallerGone;
        }
    }
}

/// Resumes the stream at another endpoint.
///
/// # Errors
///
/// The reason for the log where that is not possible.
async fn resume_stream(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    outlet: &CallerStream,
    last_event: Option<u64>,
) -> Result<EndpointStream, &'static str> {
    if request.time_left().is_zero() {
        return Err("deadline");
    }
    if !request.may_run_after(history.possible_runs) {
        return Err("no-attempt-left");
    }
    request.first_deadline = request.deadline.min(request.now() + RESUME_TIMEOUT);
    let opened = tokio::select! {
        opened = open_stream(request, history, last_event) => opened,
        () = outlet.closed() => return Err("caller-gone"),
    };
    let stream = opened.map_err(|unopened| match unopened {
        Unopened::Answered(..) => "answered-without-stream",
        Unopened::Refused(refusal) => refusal.cause.into(),
    })?;
    log::info!(id = request.head.id.as_str(), endpoint = stream.selected.id.as_str(),
        software = stream.selected.software.as_str(),
        after = last_event.unwrap_or_default(), sends = history.sends; "stream resumed");
    Ok(stream)
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
