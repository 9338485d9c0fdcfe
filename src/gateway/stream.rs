//! Requests whose answer is a stream of events.
//!
//! The head goes to the caller with the first event. A stream that breaks before its end goes on
//! at another endpoint after the last whole event, where its route allows that.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;

use super::headers::strip;
use super::send::{Checked, Sent};
use super::serve::{Job, Tries};
use super::servers::{Health, Picked, Running};
use crate::http::{Body, full};
use crate::outbound::Sender;
use crate::relay::{End, Feed, Outlet};
use crate::verdict::{Cause, Refusal, Verdict};

/// Largest answer without events that is held whole, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Objectives after which a stream without a first event is asked for at another endpoint.
const FIRST_PATIENCE: u32 = 2;
/// Least such time: shorter ones would give up a batch that is only full.
const FIRST_PATIENCE_LEAST: Duration = Duration::from_secs(1);
/// Accepted pauses after which a stream is taken for broken, where it can go on elsewhere.
const GAP_PATIENCE: u32 = 4;
/// Parts of a stream over which an endpoint's pace is measured.
const PACE_PARTS: u32 = 6;
/// Time for a broken stream to go on; callers give up a stream after a pause of two seconds.
const RESUME_PATIENCE: Duration = Duration::from_millis(1800);
/// Longest pause that is accepted where the route names none.
const GAP: Duration = Duration::from_millis(500);

/// A stream that is under way at an endpoint.
struct Source {
    picked: Picked,
    feed: Feed,
    sender: Sender,
    running: Running,
}

/// What an endpoint did with a request for a stream.
enum Begun {
    /// It streams; these are the first events.
    Events(Box<Parts>, Box<Source>, Bytes),
    /// It answered with a failure of its own.
    Plain(Response<Body>, String),
    /// It gave no whole answer.
    Nothing,
}

/// Answers a request for a stream.
pub async fn run(job: Job) -> Response<Body> {
    let mut tries = Tries::default();
    let last = job.call.resume;
    let opened = tokio::select! {
        opened = open(&job, &mut tries, last) => opened,
        () = job.gateway.about_to_end() => Err(Refusal::not_run(Cause::Stopping)),
    };
    let opened = opened.map_err(|refusal| match refusal.cause {
        Cause::Stopping => job.stopped(&tries),
        _ => refusal,
    });
    match opened {
        Ok(Begun::Events(mut head, source, events)) => {
            strip(&mut head.headers);
            let took = job.now().saturating_sub(job.arrived);
            job.gateway.stats.first(&job.route.name, took);
            log::info!(id = job.call.id.as_str(), endpoint = source.picked.id.as_str(),
                sends = tries.sends, first_ms = super::link::millis(took); "stream begun");
            let (outlet, body) = Outlet::new();
            let status = head.status.as_u16();
            tokio::spawn(pump(job, tries, *source, outlet, events, last, status));
            Response::from_parts(*head, body)
        }
        Ok(Begun::Plain(response, endpoint)) => {
            job.ended("answered", &tries, response.status().as_u16(), &endpoint);
            response
        }
        Ok(Begun::Nothing) => job.refuse(&job.given_up(&tries), &tries),
        Err(refusal) => job.refuse(&refusal, &tries),
    }
}

/// Finds an endpoint that streams.
async fn open(job: &Job, tries: &mut Tries, last: Option<u64>) -> Result<Begun, Refusal> {
    loop {
        let picked = job.choose_endpoint(tries).await?;
        if !job.may_repeat(tries) {
            return Ok(Begun::Nothing);
        }
        match begin(job, picked, tries, last).await {
            Begun::Nothing if job.left().is_zero() => {
                let verdict = tries.verdict();
                return Err(Refusal::new(verdict, Cause::DeadlinePassed));
            }
            Begun::Nothing if tries.ran > 0 && !job.route.kind.repeats() => {
                return Err(Refusal::new(Verdict::MayHaveRun, Cause::EndpointFailed));
            }
            Begun::Nothing => {}
            begun => return Ok(begun),
        }
    }
}

async fn begin(job: &Job, picked: Picked, tries: &mut Tries, last: Option<u64>) -> Begun {
    let shared = job.call.shared.as_deref();
    let target = job.call.target.as_ref();
    let running = job.gateway.servers.enter(picked.key, target, shared);
    let started = job.now();
    let limit = first_limit(job, tries, &picked);
    let checked = match job.send(&picked, tries, last, limit).await {
        Sent::Answered(checked) => checked,
        Sent::Unrun | Sent::Failed => return Begun::Nothing,
    };
    let Checked { reply, .. } = *checked;
    let status = reply.response.status();
    if !status.is_success() {
        if job.replaceable(status.as_u16()) && job.may_run_again(tries) {
            tries.ran_at(&picked.id);
            return Begun::Nothing;
        }
        return plain(job, picked, tries, reply).await;
    }
    let (response, sender) = reply.into_parts();
    let (head, body) = response.into_parts();
    let mut feed = Feed::new(body);
    let rest = limit.saturating_sub(job.now().saturating_sub(started));
    tries.sending = true;
    match feed.next(rest).await {
        Ok(events) => {
            tries.sending = false;
            let source = Source {
                picked,
                feed,
                sender,
                running,
            };
            Begun::Events(Box::new(head), Box::new(source), events)
        }
        Err(end) => {
            tries.sending = false;
            failed(job, &picked, tries, end);
            Begun::Nothing
        }
    }
}

/// Time for the first event, shorter where the request can be asked for elsewhere.
///
/// A request that waits in a queue is not sent elsewhere: it would lose its place.
fn first_limit(job: &Job, tries: &Tries, picked: &Picked) -> Duration {
    let left = job.left();
    let elsewhere = || picked.wait.is_zero() && job.has_alternative(tries, picked);
    if job.may_run_again(tries) && elsewhere() {
        let patience = job.route.objective * FIRST_PATIENCE;
        return left.min(patience.max(FIRST_PATIENCE_LEAST));
    }
    left
}

async fn plain(
    job: &Job,
    picked: Picked,
    tries: &mut Tries,
    reply: crate::outbound::Reply,
) -> Begun {
    let read = reply.read(&job.gateway.outbound, ANSWER_BYTES);
    let Ok(Ok(answer)) = tokio::time::timeout(job.left(), read).await else {
        failed(job, &picked, tries, End::Cut);
        return Begun::Nothing;
    };
    let mut head = answer.head;
    strip(&mut head.headers);
    Begun::Plain(Response::from_parts(head, full(answer.body)), picked.id)
}

fn failed(job: &Job, picked: &Picked, tries: &mut Tries, end: End) {
    job.broke_off(picked, tries, end == End::Cut);
    log::info!(id = job.call.id.as_str(), endpoint = picked.id.as_str(), end:% = end,
        ran = tries.ran, left_ms = super::link::millis(job.left()); "stream broke off");
}

/// Passes a stream on to its end, over several endpoints where need be.
async fn pump(
    mut job: Job,
    mut tries: Tries,
    mut source: Source,
    mut outlet: Outlet,
    first: Bytes,
    last: Option<u64>,
    status: u16,
) {
    let started = job.now();
    let mut last = last_id(&first).or(last);
    if !outlet.pass(first).await {
        job.ended("caller-gone", &tries, status, &source.picked.id);
        return;
    }
    loop {
        let end = drain(&job, &mut tries, &mut source, &mut outlet, &mut last).await;
        match end {
            End::Whole => {
                let Source {
                    picked,
                    sender,
                    running,
                    ..
                } = source;
                drop(running);
                job.gateway.servers.ran(job.now().saturating_sub(started));
                job.gateway
                    .servers
                    .learn(picked.key, Health::Good, job.now());
                job.gateway.outbound.put(picked.address, sender);
                job.ended("answered", &tries, status, &picked.id);
                return;
            }
            End::CallerGone => {
                job.ended("caller-gone", &tries, status, &source.picked.id);
                return;
            }
            End::Cut | End::Silent => {
                failed(&job, &source.picked, &mut tries, end);
                let endpoint = source.picked.id.clone();
                drop(source);
                let next = resume(&mut job, &mut tries, &mut outlet, &mut last).await;
                let Some(next) = next else {
                    job.ended("cut", &tries, status, &endpoint);
                    outlet.cut().await;
                    return;
                };
                source = next;
            }
        }
    }
}

/// Passes one endpoint's events on.
async fn drain(
    job: &Job,
    tries: &mut Tries,
    source: &mut Source,
    outlet: &mut Outlet,
    last: &mut Option<u64>,
) -> End {
    let (mut since, mut parts) = (job.now(), 0);
    let mut before = since;
    loop {
        let left = job.left();
        if left.is_zero() {
            return End::Silent;
        }
        if parts == PACE_PARTS {
            let gap = job.now().saturating_sub(since) / PACE_PARTS;
            let now = job.now();
            job.gateway.servers.paced(source.picked.key, gap, now);
            (since, parts) = (job.now(), 0);
        }
        parts += 1;
        let limit = if job.may_run_again(tries) {
            left.min(job.route.gap.unwrap_or(GAP) * GAP_PATIENCE)
        } else {
            left
        };
        let next = tokio::select! {
            next = source.feed.next(limit) => next,
            () = outlet.closed() => return End::CallerGone,
        };
        match next {
            Ok(events) => {
                let now = job.now();
                tries.pause = tries.pause.max(now.saturating_sub(before));
                before = now;
                *last = last_id(&events).or(*last);
                if !outlet.pass(events).await {
                    return End::CallerGone;
                }
            }
            Err(End::Cut) if source.feed.finished() => return End::Whole,
            // Silence alone is no reason to give a stream up where it cannot go on elsewhere.
            Err(End::Silent)
                if !job.left().is_zero() && !job.has_alternative(tries, &source.picked) => {}
            Err(end) => return end,
        }
    }
}

/// Lets the stream go on at another endpoint; none where it cannot.
async fn resume(
    job: &mut Job,
    tries: &mut Tries,
    outlet: &mut Outlet,
    last: &mut Option<u64>,
) -> Option<Source> {
    if !job.may_run_after(tries.ran) || job.left().is_zero() {
        return None;
    }
    job.first_by = job.end.min(job.now() + RESUME_PATIENCE);
    let begun = tokio::select! {
        begun = open(job, tries, *last) => begun,
        () = outlet.closed() => return None,
    };
    let Ok(Begun::Events(_, source, events)) = begun else {
        return None;
    };
    *last = last_id(&events).or(*last);
    log::info!(id = job.call.id.as_str(), endpoint = source.picked.id.as_str(),
        after = last.unwrap_or_default(), sends = tries.sends; "stream resumed");
    outlet.pass(events).await.then_some(*source)
}

/// Id of the last event among whole events.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::stream::last_id;
///
/// assert_eq!(last_id(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n"), Some(4));
/// assert_eq!(last_id(b"data: a\n\n"), None);
/// ```
#[must_use]
pub fn last_id(events: &[u8]) -> Option<u64> {
    let line = events
        .split(|b| *b == b'\n')
        .rev()
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
