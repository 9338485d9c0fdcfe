//! Calls that may run at most once: claim, send on a fresh connection, keep the answer.
//!
//! The call runs in a task of its own, so that its outcome is recorded whether or not the caller
//! still waits.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

use crate::calls::ServiceCall;
use crate::http::Body;
use crate::idle::epoch;
use crate::ledger::{self, Call, Claim, StoreError, Token};
use crate::members::Member;
use crate::outbound::{Answer, Freshness, SendError};
use crate::rules::Repeat;
use crate::verdict::{Cause, Refusal, Verdict};

/// First pause before a claim of another instance is looked at again.
const FIRST_LOOK: Duration = Duration::from_millis(20);
/// Longest pause before a claim of another instance is looked at again.
const LONGEST_LOOK: Duration = Duration::from_millis(500);
/// Time after which a caller should ask for an unfinished call again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Milliseconds after its start in which an instance may not know all others.
const ACQUAINTANCE_MS: u64 = 10_000;
/// Objections to suspicions that one process start may make, which raise its incarnation.
const OBJECTIONS: u64 = 100;

impl ServiceCall {
    /// Runs the call at most once; the caller gets its answer or a refusal in time.
    pub(crate) async fn serve_once(mut self) -> Response<Body> {
        let due = self.ask.due;
        let mut waiting = self.clone();
        let (tell, outcome) = oneshot::channel();
        tokio::spawn(async move { self.run_once(tell).await });
        let outcome = match timeout_at(due, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_gone)) => Err(in_progress("the call ended without an outcome")),
            Err(_elapsed) => Err(in_progress("the deadline passed before the call's outcome")),
        };
        waiting.respond(outcome)
    }

    async fn run_once(&mut self, tell: oneshot::Sender<Result<Answer, Refusal>>) {
        let Some(key) = self.ask.key.clone() else {
            let refusal = Refusal::not_run(Cause::KeyMissing)
                .detail("the call may not be repeated and needs an idempotency-key header");
            return drop(tell.send(Err(refusal)));
        };
        let path = self.uri.to_string();
        let call = Call {
            tenant: self.ask.tenant.clone(),
            key,
            fingerprint: ledger::fingerprint(self.method.as_str(), &path, &self.body),
            repeat: self.rule.repeat,
        };
        match self.claim(&call).await {
            Ok(Claim::Mine(token)) => self.send_once(token, tell).await,
            Ok(Claim::Done(answer)) => drop(tell.send(Ok(kept(answer)))),
            Ok(Claim::InProgress { .. }) => {
                drop(tell.send(Err(in_progress("the same key is being worked on"))));
            }
            Ok(Claim::Unknown) => drop(tell.send(Err(outcome_unknown(Verdict::MayHaveRun)))),
            Ok(Claim::Ran) => drop(tell.send(Err(outcome_unknown(Verdict::Ran)))),
            Err(refusal) => drop(tell.send(Err(refusal))),
        }
    }

    /// Claims the call, waiting until the deadline for another instance that has claimed it.
    async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        let mut pause = FIRST_LOOK;
        let mut claim = self.gate.ledger.claim(call).await?;
        loop {
            let Claim::InProgress { claimant, op } = &claim else {
                return Ok(claim);
            };
            if self.is_gone(claimant) {
                return self.gate.ledger.orphan(call, op).await;
            }
            if Instant::now() + pause >= self.ask.due {
                return Ok(claim);
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_LOOK);
            claim = self.gate.ledger.claim(call).await?;
        }
    }

    /// Whether the process that claimed a call has ended, as far as the membership shows.
    ///
    /// A wrong answer is harmless: a call whose claimant lives still keeps its outcome.
    fn is_gone(&self, claimant: &str) -> bool {
        if claimant == self.gate.start_id.to_string() {
            return false;
        }
        let Ok(start) = claimant.parse::<StartId>() else {
            return true;
        };
        // An instance that has just started does not know all others yet.
        let age = u64::try_from(epoch().as_millis()).unwrap_or(u64::MAX);
        if age.saturating_sub(self.gate.start_id.at) < ACQUAINTANCE_MS {
            return false;
        }
        let members = self.gate.mesh.members();
        let members = members.borrow();
        members
            .get(&start.name)
            .is_none_or(|member| start.ended(member))
    }

    /// Sends a claimed call, more than once only where it surely did not run or where the
    /// service recognises the key.
    async fn send_once(&mut self, token: Token, tell: oneshot::Sender<Result<Answer, Refusal>>) {
        let mut tried = BTreeSet::new();
        let mut worst = Verdict::NotRun;
        for _ in 0..self.gate.limits.max_attempts {
            if Instant::now() >= self.ask.due {
                break;
            }
            let (endpoint, link, flight) = match self.connect(&mut tried, Freshness::Fresh).await {
                Ok(connected) => connected,
                Err(refusal) => {
                    self.settle(token, worst).await;
                    return drop(tell.send(Err(refusal.at_least(worst))));
                }
            };
            match self.exchange(link, self.rule.timeout).await {
                Ok(answer) => {
                    flight.answering();
                    drop(tell.send(Ok(answer.clone())));
                    return self.keep(token, &answer).await;
                }
                Err(error) => {
                    worst = worst.max(error.verdict());
                    self.note(&endpoint, &error, &mut tried).await;
                    if !self.may_resend(&error) {
                        break;
                    }
                }
            }
        }
        self.settle(token, worst).await;
        drop(tell.send(Err(failed(worst))));
    }

    fn may_resend(&self, error: &SendError) -> bool {
        error.verdict() == Verdict::NotRun || self.rule.repeat == Repeat::Keyed
    }

    /// Keeps the answer for repeats.
    async fn keep(&self, token: Token, answer: &Answer) {
        let kind = answer
            .head
            .headers
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let kept = ledger::Answer {
            status: answer.head.status.as_u16(),
            kind: kind.unwrap_or_default().to_owned(),
            body: answer.body.clone(),
        };
        self.settled(self.gate.ledger.store(token, &kept).await);
    }

    /// Records what is known of a call without an answer.
    async fn settle(&self, token: Token, verdict: Verdict) {
        let ledger = &self.gate.ledger;
        let settled = match verdict {
            Verdict::NotRun => ledger.unclaim(token).await,
            Verdict::MayHaveRun => ledger.unknown(token).await,
            Verdict::Ran => ledger.ran(token).await,
        };
        self.settled(settled);
    }

    fn settled(&self, settled: Result<(), StoreError>) {
        if let Err(error) = settled {
            log::warn!(id = self.ask.id, error:% = error; "outcome is not recorded");
        }
    }
}

/// One start of an instance, by its name and the milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartId {
    /// Name of the instance.
    pub name: String,
    /// Time of the start, which is its first incarnation.
    pub at: u64,
}

impl StartId {
    /// Whether a member with the same name is a later start.
    const fn ended(&self, member: &Member) -> bool {
        member.incarnation > self.at + OBJECTIONS
    }
}

impl std::fmt::Display for StartId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.name, self.at)
    }
}

/// A text that names no start of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected NAME@MILLISECONDS")]
pub struct StartIdError;

impl std::str::FromStr for StartId {
    type Err = StartIdError;

    fn from_str(text: &str) -> Result<Self, StartIdError> {
        let (name, at) = text.rsplit_once('@').ok_or(StartIdError)?;
        let at = at.parse().map_err(|_invalid| StartIdError)?;
        Ok(Self {
            name: name.to_owned(),
            at,
        })
    }
}

/// The answer of an earlier run.
fn kept(answer: ledger::Answer) -> Answer {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(kind) = HeaderValue::from_str(&answer.kind) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    Answer {
        head: response.into_parts().0,
        body: answer.body,
    }
}

fn in_progress(detail: &str) -> Refusal {
    Refusal::new(Verdict::MayHaveRun, Cause::InProgress)
        .detail(detail)
        .retry_after(RETRY_AFTER)
}

fn outcome_unknown(verdict: Verdict) -> Refusal {
    Refusal::new(verdict, Cause::OutcomeUnknown)
        .detail("the call was sent before and its answer is not known; it is not sent again")
}

fn failed(verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::NotRun => Refusal::not_run(Cause::EndpointFailed)
            .detail("no endpoint took the call")
            .retry_after(RETRY_AFTER),
        Verdict::MayHaveRun | Verdict::Ran => outcome_unknown(verdict),
    }
}
