//! Opens streams at endpoints, up to their first event.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::super::headers::strip_connection_headers;
use super::super::send::{Break, CheckedReply, SendOutcome};
use super::super::serve::{RoutedRequest, SendHistory};
use super::super::servers::{RequestGuard, SelectedEndpoint};
use super::super::silence::{Awaited, Success, first_success, winner};
use super::events::next_events;
use crate::BoxFuture;
use crate::http::{Body, full};
use crate::outbound::{Reply, SendFault, Sender};
use crate::relay::{EventReader, StreamEnd};
use crate::verdict::{Cause, Refusal, Verdict};

/// Largest response without events that is buffered.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time for the first event before another endpoint is asked too, in multiples of the objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;
/// Lower bound of that time: a shorter one would ask beside an engine whose batch is merely full.
const MIN_FIRST_EVENT_PATIENCE: Duration = Duration::from_secs(1);

/// A stream that an endpoint has begun to answer.
#[derive(Debug)]
pub(super) struct EndpointStream {
    pub(super) head: Box<Parts>,
    pub(super) selected: SelectedEndpoint,
    pub(super) feed: EventReader,
    pub(super) sender: Sender,
    pub(super) running: RequestGuard,
    /// Whether an event has come.
    pub(super) begun: bool,
    /// When its endpoint was asked.
    pub(super) opened_at: Duration,
}

impl EndpointStream {
    /// Reads the next complete events within the limit.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<Bytes, StreamEnd> {
        match self.feed.next(limit).await {
            Err(StreamEnd::Cut) if self.feed.ended_cleanly() => Err(StreamEnd::Whole),
            next => next,
        }
    }

    /// How the response broke off, where its stream ended like this without being whole.
    pub(super) const fn broken(&self, end: StreamEnd) -> Break {
        match end {
            StreamEnd::Silent => Break::Silent,
            StreamEnd::Invalid => Break::Invalid,
            StreamEnd::Cut | StreamEnd::Whole | StreamEnd::CallerGone => {
                Break::Closed { begun: self.begun }
            }
        }
    }
}

/// Why there is no stream.
pub(super) enum Unopened {
    /// An endpoint answered without success; holds its response and its id.
    Answered(Response<Body>, String),
    /// No endpoint answered.
    Refused(Refusal),
}

impl From<Refusal> for Unopened {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Opens a stream and reads its first events; tries other endpoints where it breaks before those.
pub(super) async fn begin_stream(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<(EndpointStream, Bytes), Unopened> {
    let patience = first_event_patience(request);
    loop {
        let mut stream = open_stream(request, history, last_event).await?;
        history.in_flight = true;
        let first = next_events(request, history, &mut stream, patience, None, last_event).await;
        history.in_flight = false;
        let end = match first {
            Ok(events) => return Ok((stream, events)),
            Err(end) => end,
        };
        record_break(request, &stream.selected, history, stream.broken(end));
        check_retry(request, history)?;
    }
}

/// Tries endpoints until one begins to answer with a stream.
///
/// An endpoint that is silent may still do so while others are tried.
///
/// # Errors
///
/// What the caller gets where none does and no retry is left.
pub(super) fn open_stream<'a>(
    request: &'a RoutedRequest,
    history: &'a mut SendHistory,
    last_event: Option<u64>,
) -> BoxFuture<'a, Result<EndpointStream, Unopened>> {
    Box::pin(async move {
        loop {
            let selected = request.choose_endpoint(history).await?;
            if !request.take_send_permit(history) {
                return Err(request.final_refusal(history).into());
            }
            let patience = first_event_patience(request);
            let may_ask_beside = patience < request.time_left()
                && request.may_run_again(history)
                // A request in an engine's queue would lose its position.
                && selected.expected_wait.is_zero()
                && request.has_alternative(history, &selected);
            let runs_before = history.possible_runs;
            let (chosen, before) = (selected.clone(), history.begin_attempt());
            let asked_at = request.now();
            let attempt = start_stream(request, chosen, before, last_event);
            let mut attempt = Box::pin(attempt);
            let finished = if may_ask_beside {
                timeout(patience, &mut attempt).await.ok()
            } else {
                Some((&mut attempt).await)
            };
            let Some((opened, after)) = finished else {
                request.log_silence(&selected);
                history.record_silence(&selected.id);
                let beside_at = request.now();
                let silent = async { attempt.await.0 };
                let later = open_stream(request, history, last_event);
                let first = first_success(silent, later).await;
                let times = (asked_at, beside_at);
                request.record_beside(&selected, Awaited::Head, winner(&first), times);
                return match first {
                    Ok(Success::Silent(stream)) => {
                        history.settle_silence(runs_before);
                        Ok(stream)
                    }
                    Ok(Success::Later(stream)) => {
                        request.record_failure(&selected, Break::Silent);
                        Ok(stream)
                    }
                    Err((Some(answered), Unopened::Refused(_))) => Err(answered),
                    Err((_, unopened)) => Err(unopened),
                };
            };
            *history = after;
            match opened {
                Ok(stream) => return Ok(stream),
                Err(Some(answered)) => return Err(answered),
                Err(None) => check_retry(request, history)?,
            }
        }
    })
}

/// Refuses the request where no other endpoint may be tried after a failure.
fn check_retry(request: &RoutedRequest, history: &SendHistory) -> Result<(), Refusal> {
    if request.time_left().is_zero() {
        return Err(Refusal::new(history.verdict(), Cause::DeadlinePassed));
    }
    if history.possible_runs > 0 && !request.route.kind.is_repeatable() {
        return Err(Refusal::new(Verdict::MayHaveRun, Cause::EndpointFailed));
    }
    Ok(())
}

/// Asks an endpoint for the stream, up to the head of its response.
///
/// An error holds its response where the caller may get it. Also returns the record of the sends
/// with this one.
async fn start_stream(
    request: &RoutedRequest,
    selected: SelectedEndpoint,
    mut history: SendHistory,
    last_event: Option<u64>,
) -> (Result<EndpointStream, Option<Unopened>>, SendHistory) {
    let prefix_id = request.head.prefix_id.as_deref();
    let target = request.head.target.as_ref();
    let running =
        request
            .gateway
            .servers
            .begin_request(selected.key, target, prefix_id, request.now());
    let limit = request.time_left();
    let opened_at = request.now();
    let sent = request.send(&selected, &mut history, last_event, limit);
    let checked = match sent.await {
        SendOutcome::Answered(checked) => checked,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => return (Err(None), history),
    };
    let CheckedReply { reply, .. } = *checked;
    let status = reply.response.status();
    if !status.is_success() {
        if request.replaceable(status.as_u16()) && request.may_run_again(&history) {
            history.record_possible_run(&selected.id);
            return (Err(None), history);
        }
        let answered = read_plain_response(request, &selected, &mut history, reply).await;
        return (Err(answered), history);
    }
    let (response, sender) = reply.into_parts();
    let (head, body) = response.into_parts();
    let stream = EndpointStream {
        head: Box::new(head),
        selected,
        feed: EventReader::new(body),
        sender,
        running,
        begun: false,
        opened_at,
    };
    (Ok(stream), history)
}

/// Time for the head, and then for the first event, after which another endpoint is asked too.
fn first_event_patience(request: &RoutedRequest) -> Duration {
    let objectives = request.route.latency_objective * FIRST_EVENT_OBJECTIVES;
    objectives.max(MIN_FIRST_EVENT_PATIENCE)
}

/// Reads a response that is not a stream to its end; none where it breaks off.
async fn read_plain_response(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
    reply: Reply,
) -> Option<Unopened> {
    let read = reply.read(&request.gateway.outbound, MAX_BUFFERED_BYTES);
    let answer = match timeout(request.time_left(), read).await {
        Ok(Ok(answer)) => answer,
        broken => {
            let broken = match broken {
                Ok(Err(error)) if error.fault == SendFault::Body => Break::Closed { begun: false },
                Err(_late) => Break::Silent,
                Ok(_) => Break::Invalid,
            };
            record_break(request, selected, history, broken);
            return None;
        }
    };
    let mut head = answer.head;
    strip_connection_headers(&mut head.headers);
    let response = Response::from_parts(head, full(answer.body));
    history.record_possible_run(&selected.id);
    Some(Unopened::Answered(response, selected.id.clone()))
}

/// Records that the response of an endpoint broke off, as a run of the request.
pub(super) fn record_break(
    request: &RoutedRequest,
    selected: &SelectedEndpoint,
    history: &mut SendHistory,
    broken: Break,
) {
    request.record_broken_response(selected, history, broken);
    let (end, begun) = match broken {
        Break::Closed { begun } => (StreamEnd::Cut, begun),
        Break::Silent => (StreamEnd::Silent, false),
        Break::Invalid => (StreamEnd::Invalid, false),
    };
    log::info!(id = request.head.id.as_str(), endpoint = selected.id.as_str(), end:% = end,
        started_ms = selected.started_ms, begun = begun, parts = request.parts_text(),
        fingerprint = request.fingerprint, ran = history.possible_runs,
        left_ms = super::super::link::millis(request.time_left()); "stream broke off");
}
