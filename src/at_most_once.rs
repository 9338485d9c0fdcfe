//! Calls that may run at most once: claim, send on a new connection, store the answer.
//!
//! The call runs in its own task, so that its outcome is recorded even if the caller disconnects.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

use crate::http::Body;
use crate::idempotency::{self, Call, Claim, ClaimToken, SettleError};
use crate::members::Member;
use crate::outbound::{self, Answer, Freshness, SendError};
use crate::residency_controller::unix_time;
use crate::rules::Repeat;
use crate::service_calls::ServiceCall;
use crate::verdict::{Cause, Refusal, Verdict};

/// First interval between polls of a claim in progress.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between polls of a claim in progress.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Retry delay reported to callers of an unfinished or failed call.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after its start in which an instance may not know all other instances.
const MEMBERSHIP_SETTLE_MS: u64 = 10_000;
/// Maximum number of refuted suspicions per process start; each raises its incarnation.
const MAX_REFUTATIONS: u64 = 100;

impl ServiceCall {
    /// Runs the call at most once; responds with its answer or a refusal by the deadline.
    pub(crate) async fn serve_once(mut self) -> Response<Body> {
        let deadline = self.request.deadline;
        let mut response_call = self.clone();
        let (result_sender, outcome) = oneshot::channel();
        tokio::spawn(async move { self.run_once(result_sender).await });
        let outcome = match timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_sender_dropped)) => Err(in_progress("the call ended without an outcome")),
            Err(_elapsed) => Err(in_progress("the deadline passed before the call's outcome")),
        };
        response_call.respond(outcome)
    }

    async fn run_once(&mut self, result_sender: oneshot::Sender<Result<Answer, Refusal>>) {
        let Some(key) = self.request.key.clone() else {
            let refusal = Refusal::not_run(Cause::KeyMissing)
                .detail("the call may not be repeated and needs an idempotency-key header");
            return drop(result_sender.send(Err(refusal)));
        };
        let path = self.uri.to_string();
        let call = Call {
            tenant: self.request.tenant.clone(),
            key,
            fingerprint: idempotency::fingerprint(self.method.as_str(), &path, &self.body),
            repeat: self.rule.repeat,
        };
        match self.claim(&call).await {
            Ok(Claim::Granted(token)) => self.send_once(token, result_sender).await,
            Ok(Claim::Completed(answer)) => drop(result_sender.send(Ok(stored_answer(answer)))),
            Ok(Claim::InProgress { .. }) => {
                drop(result_sender.send(Err(in_progress(
                    "a call with the same idempotency key is in progress",
                ))));
            }
            Ok(Claim::Unknown) => {
                drop(result_sender.send(Err(outcome_unknown(Verdict::MayHaveRun))));
            }
            Ok(Claim::Ran) => drop(result_sender.send(Err(outcome_unknown(Verdict::Ran)))),
            Err(refusal) => drop(result_sender.send(Err(refusal))),
        }
    }

    /// Claims the call; polls until the deadline while another claim is in progress.
    async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        let mut pause = MIN_POLL_INTERVAL;
        let mut claim = self.context.ledger.claim(call).await?;
        loop {
            let Claim::InProgress { claimant, op } = &claim else {
                return Ok(claim);
            };
            if self.has_ended(claimant) {
                return self.context.ledger.mark_orphaned(call, op).await;
            }
            if Instant::now() + pause >= self.request.deadline {
                return Ok(claim);
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_POLL_INTERVAL);
            claim = self.context.ledger.claim(call).await?;
        }
    }

    /// Whether the process that claimed a call has ended, according to the membership.
    ///
    /// A false positive is harmless: a claimant that is still alive can record its outcome.
    fn has_ended(&self, claimant: &str) -> bool {
        if claimant == self.context.start_id.to_string() {
            return false;
        }
        let Ok(start) = claimant.parse::<StartId>() else {
            return true;
        };
        // An instance that has just started does not know all other instances yet.
        let age = u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX);
        if age.saturating_sub(self.context.start_id.started_ms) < MEMBERSHIP_SETTLE_MS {
            return false;
        }
        let members = self.context.mesh.members();
        let members = members.borrow();
        members
            .get(&start.name)
            .is_none_or(|member| start.is_replaced_by(member))
    }

    /// Sends a claimed call; resends only if it certainly did not run or the service
    /// deduplicates by the key.
    async fn send_once(
        &mut self,
        token: ClaimToken,
        result_sender: oneshot::Sender<Result<Answer, Refusal>>,
    ) {
        let mut tried = BTreeSet::new();
        let mut worst_verdict = Verdict::NotRun;
        for _ in 0..self.context.limits.max_attempts {
            if Instant::now() >= self.request.deadline {
                break;
            }
            let (endpoint, link, active_request) =
                match self.connect(&mut tried, Freshness::Fresh).await {
                    Ok(connected) => connected,
                    Err(refusal) => {
                        self.settle_claim(token, worst_verdict).await;
                        return drop(result_sender.send(Err(refusal.raise_verdict(worst_verdict))));
                    }
                };
            match self.exchange(link, self.rule.timeout).await {
                Ok(answer) => {
                    active_request.record_first_byte();
                    drop(result_sender.send(Ok(answer.clone())));
                    return self.store_answer(token, &answer).await;
                }
                Err(error) => {
                    worst_verdict = worst_verdict.max(error.verdict());
                    self.record_failure(&endpoint, &error, &mut tried).await;
                    if !self.may_resend(&error) {
                        break;
                    }
                }
            }
        }
        self.settle_claim(token, worst_verdict).await;
        drop(result_sender.send(Err(send_failure(worst_verdict))));
    }

    fn may_resend(&self, error: &SendError) -> bool {
        error.verdict() == Verdict::NotRun || self.rule.repeat == Repeat::Keyed
    }

    /// Stores the answer for repeated calls.
    async fn store_answer(&self, token: ClaimToken, answer: &Answer) {
        let kind = answer
            .head
            .headers
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let stored = idempotency::Answer {
            status: answer.head.status.as_u16(),
            kind: kind.unwrap_or_default().to_owned(),
            body: answer.body.clone(),
        };
        self.log_unrecorded(self.context.ledger.store_answer(token, &stored).await);
    }

    /// Records the verdict on a call without an answer.
    async fn settle_claim(&self, token: ClaimToken, verdict: Verdict) {
        let store = &self.context.ledger;
        let settled = match verdict {
            Verdict::NotRun => store.release_claim(token).await,
            Verdict::MayHaveRun => store.mark_unknown(token).await,
            Verdict::Ran => store.mark_ran(token).await,
        };
        self.log_unrecorded(settled);
    }

    fn log_unrecorded(&self, settled: Result<(), SettleError>) {
        if let Err(error) = settled {
            log::warn!(id = self.request.id, error:% = error; "call outcome not recorded");
        }
    }
}

/// Identifies one process start of an instance by name and start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartId {
    /// Name of the instance.
    pub name: String,
    /// Start time in milliseconds since the Unix epoch; also its first incarnation.
    pub started_ms: u64,
}

impl StartId {
    /// Whether a member with the same name is a later process start.
    const fn is_replaced_by(&self, member: &Member) -> bool {
        member.incarnation > self.started_ms + MAX_REFUTATIONS
    }
}

impl std::fmt::Display for StartId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.name, self.started_ms)
    }
}

/// Error for a text that is not a [`StartId`].
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
            started_ms: at,
        })
    }
}

/// Converts a stored answer; one with a status that is no final answer's becomes a failure.
fn stored_answer(answer: idempotency::Answer) -> Answer {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(answer.status)
        .ok()
        .filter(|status| outbound::is_final(*status))
        .unwrap_or(StatusCode::BAD_GATEWAY);
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

fn send_failure(verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::NotRun => Refusal::not_run(Cause::EndpointFailed)
            .detail("no endpoint took the call")
            .retry_after(RETRY_AFTER),
        Verdict::MayHaveRun | Verdict::Ran => outcome_unknown(verdict),
    }
}
