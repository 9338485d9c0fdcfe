//! Reads the events of a stream, which may move to another endpoint while it is silent.

use std::time::Duration;

use bytes::Bytes;

use super::super::serve::{RoutedRequest, SendHistory};
use super::super::silence::{Awaited, Winner};
use super::RESUME_TIMEOUT;
use super::start::{EndpointStream, open_stream};
use crate::relay::{CallerStream, StreamEnd};

/// How a silence in a stream ended.
enum Silence {
    /// The endpoint sent its next events.
    Over(Bytes),
    /// Another endpoint goes on with the stream.
    Moved(Box<EndpointStream>),
    /// No other endpoint takes the stream; it stays where it is.
    Alone,
    /// The stream ended, or the caller left.
    Ended(StreamEnd),
}

/// Reads the next events of a stream.
///
/// Another endpoint is asked to go on with it after each silence of `patience`, where the request
/// may run again and another one is free.
///
/// # Errors
///
/// How the stream ended; [`StreamEnd::Silent`] at the deadline of the request.
pub(super) async fn next_events(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    stream: &mut EndpointStream,
    patience: Duration,
    caller: Option<&CallerStream>,
    last_event: Option<u64>,
) -> Result<Bytes, StreamEnd> {
    loop {
        let left = request.time_left();
        if left.is_zero() {
            return Err(StreamEnd::Silent);
        }
        let limit = if request.may_run_again(history) {
            left.min(patience)
        } else {
            left
        };
        let next = tokio::select! {
            next = stream.next(limit) => next,
            () = caller_gone(caller) => return Err(StreamEnd::CallerGone),
        };
        let is_silent = matches!(next, Err(StreamEnd::Silent)) && !request.time_left().is_zero();
        if !is_silent {
            return next.inspect(|_| record_begun(request, stream));
        }
        if !request.has_alternative(history, &stream.selected) {
            continue;
        }
        match wait_beside(request, history, stream, caller, last_event).await {
            Silence::Over(events) => {
                record_begun(request, stream);
                return Ok(events);
            }
            Silence::Moved(next) => *stream = *next,
            Silence::Alone => {}
            Silence::Ended(end) => return Err(end),
        }
    }
}

fn record_begun(request: &RoutedRequest, stream: &mut EndpointStream) {
    if !std::mem::replace(&mut stream.begun, true) {
        request.record_begun(&stream.selected);
    }
}

/// Asks another endpoint to go on with a silent stream, which stays open until one has begun to.
///
/// Silence is no proof that an endpoint has failed, and the other one may be full or fail.
async fn wait_beside(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    stream: &mut EndpointStream,
    caller: Option<&CallerStream>,
    last_event: Option<u64>,
) -> Silence {
    let beside_at = request.now();
    let runs_before = history.possible_runs;
    history.in_flight = false;
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
                () = caller_gone(caller) => break (Silence::Ended(StreamEnd::CallerGone), ended),
                next = stream.next(request.time_left()), if ended.is_none() => match next {
                    Ok(events) => break (Silence::Over(events), ended),
                    Err(StreamEnd::Whole) => break (Silence::Ended(StreamEnd::Whole), ended),
                    Err(end) => ended = Some(end),
                },
                opened = &mut opening => {
                    let silence = match (opened, ended) {
                        (Ok(next), _) => Silence::Moved(Box::new(next)),
                        (Err(_), Some(end)) => Silence::Ended(end),
                        (Err(_), None) => Silence::Alone,
                    };
                    break (silence, ended);
                }
            }
        }
    };
    let winner = match &silence {
        Silence::Over(_) | Silence::Ended(StreamEnd::Whole) => Winner::Silent,
        Silence::Moved(_) => Winner::Later,
        Silence::Alone | Silence::Ended(_) => Winner::Neither,
    };
    let times = (stream.opened_at, beside_at);
    request.record_beside(&stream.selected, Awaited::Event, winner, times);
    let (id, from) = (request.head.id.as_str(), stream.selected.id.as_str());
    if let Silence::Moved(next) = &silence {
        request.record_failure(
            &stream.selected,
            stream.broken(ended.unwrap_or(StreamEnd::Silent)),
        );
        log::info!(id = id, endpoint = next.selected.id.as_str(), from = from,
            software = next.selected.software.as_str(),
            after = last_event.unwrap_or_default(), sends = history.sends; "silent stream moved");
    } else {
        log::info!(id = id, endpoint = from, sends = history.sends; "silent stream kept");
        history.settle_silence(runs_before);
    }
    history.in_flight = true;
    silence
}

/// Waits until the caller has disconnected; forever where it has no response yet.
async fn caller_gone(caller: Option<&CallerStream>) {
    match caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}
