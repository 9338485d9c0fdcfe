//! Idempotency records of calls that may run at most once.
//!
//! A call is claimed by committing a row before its first byte is sent; its answer is stored in
//! that row afterwards. A repeated call finds the row at any instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::commit::{CommitError, Committer, OperationIds};
use crate::objects::Objects;
use crate::table::Table;
use crate::verdict::{Cause, Refusal, Verdict};

mod answers;
mod batch;
mod call;
mod expiry;
mod record;

use answers::AnswerStore;
use batch::Batcher;
pub use call::{
    Answer, Call, Claim, ClaimToken, IdempotencySettings, SettleError, fingerprint, row_key,
};
pub use expiry::{ExpiryError, delete_expired};
use record::{Change, ClaimRequest, Outcome, State, StoredAnswer};

/// State of this process that the table does not hold yet.
#[derive(Debug, Default)]
struct LocalState {
    /// Claims abandoned before anything was sent, by operation id.
    abandoned: BTreeMap<String, AbandonedClaim>,
    /// Outcomes that the table service has not accepted yet, by operation id.
    unsaved: BTreeMap<String, UnsavedOutcome>,
}

#[derive(Debug, Clone)]
struct AbandonedClaim {
    row: String,
    since: Instant,
}

#[derive(Debug, Clone)]
struct UnsavedOutcome {
    row: String,
    state: State,
}

/// Store of idempotency records for calls that may run at most once.
#[derive(Debug)]
pub struct IdempotencyStore {
    batcher: Arc<Batcher>,
    answers: AnswerStore,
    settings: IdempotencySettings,
    ids: OperationIds,
    local: Mutex<LocalState>,
}

impl IdempotencyStore {
    /// A store over the platform's table service and object store.
    #[must_use]
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        settings: IdempotencySettings,
    ) -> Self {
        let committer = Committer::new(table, settings.commit);
        Self {
            batcher: Arc::new(Batcher::new(
                committer,
                settings.max_batch,
                settings.max_queued,
            )),
            answers: AnswerStore::new(objects, &settings),
            ids: OperationIds::new(settings.start_id.clone()),
            local: Mutex::default(),
            settings,
        }
    }

    /// Limits the write rate to an equal share among this many live instances.
    pub fn set_instance_count(&self, instances: u32) {
        let interval = Duration::from_secs(1) / self.settings.write_rate.max(1);
        self.batcher.set_interval(interval * instances);
    }

    /// Claims a call before its first byte is sent.
    ///
    /// The future is cancel-safe: a claim that is committed after the drop is released by
    /// [`flush_pending`](Self::flush_pending).
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the key was used for another request, the write queue is full, the
    /// table service does not answer, or the stored answer cannot be fetched; this claim did not
    /// send the call.
    pub async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        let row = row_key(&call.tenant, &call.key);
        let op = self.ids.next();
        let request = ClaimRequest {
            fingerprint: call.fingerprint.clone(),
            op: op.clone(),
            claimant: self.settings.start_id.clone(),
            repeat: call.repeat,
            abandoned: self.abandoned_claims(&row),
        };
        let mut guard = AbandonGuard::new(self, &row, &op);
        let outcome = self.submit(row.clone(), Change::Claim(request)).await;
        let unknown = matches!(outcome, Err(SubmitError::Commit(CommitError::Unknown(_))));
        guard.armed = unknown;
        match outcome {
            Ok(Outcome::Applied) => Ok(Claim::Granted(ClaimToken {
                row: row.clone(),
                op: op.clone(),
            })),
            Ok(Outcome::InProgress { claimant, op }) => self.in_progress_claim(claimant, op).await,
            Ok(Outcome::Completed(stored)) => self.load_answer(stored).await,
            Ok(Outcome::Ran) => Ok(Claim::Ran),
            Ok(Outcome::Unknown | Outcome::Superseded) => Ok(Claim::Unknown),
            Ok(Outcome::KeyReused) => {
                let refusal = Refusal::not_run(Cause::KeyReused);
                Err(refusal.detail("the idempotency key was used for another request"))
            }
            Err(SubmitError::QueueFull) => {
                let refusal = Refusal::not_run(Cause::Overload);
                Err(refusal.retry_after(self.settings.retry_after))
            }
            Err(SubmitError::Commit(_)) => Err(self.table_down_refusal(&op)),
        }
    }

    /// Stores the answer of a call; repeats get it from now on.
    ///
    /// Every [`ClaimToken`] has to be settled by one of [`store_answer`](Self::store_answer),
    /// [`mark_unknown`](Self::mark_unknown), [`mark_ran`](Self::mark_ran) or
    /// [`release_claim`](Self::release_claim), in a task that outlives the caller's connection.
    ///
    /// While the table service is down the answer waits in memory, and
    /// [`flush_pending`](Self::flush_pending) stores it later.
    ///
    /// # Errors
    ///
    /// [`SettleError`] if the answer was not recorded; the caller may still be sent the answer.
    pub async fn store_answer(
        &self,
        token: ClaimToken,
        answer: &Answer,
    ) -> Result<(), SettleError> {
        let state = match self.answers.save(answer).await {
            Some(stored) => State::Done(stored),
            None => State::Ran,
        };
        self.settle(token, state).await
    }

    /// Records that a call was sent and its answer was lost, so it may have run.
    ///
    /// # Errors
    ///
    /// [`SettleError`] if the record could not be changed.
    pub async fn mark_unknown(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Unknown).await
    }

    /// Records that a call ran and its answer is incomplete.
    ///
    /// # Errors
    ///
    /// [`SettleError`] if the record could not be changed.
    pub async fn mark_ran(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Ran).await
    }

    /// Releases a claim; allowed only if the first byte was certainly never written.
    ///
    /// # Errors
    ///
    /// [`SettleError`] if the record could not be changed.
    pub async fn release_claim(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Free).await
    }

    /// Records that the instance which holds a claim has ended, then claims the call again.
    ///
    /// The call is sent again only if the service itself deduplicates by the key.
    ///
    /// # Errors
    ///
    /// As [`claim`](Self::claim).
    pub async fn mark_orphaned(&self, call: &Call, op: &str) -> Result<Claim, Refusal> {
        let row = row_key(&call.tenant, &call.key);
        let change = Change::Orphan { op: op.into() };
        if self.submit(row, change).await.is_err() {
            let refusal = self.table_down_refusal(op);
            return Err(Refusal {
                verdict: Verdict::MayHaveRun,
                cause: Cause::OutcomeUnknown,
                ..refusal
            });
        }
        self.claim(call).await
    }

    /// Releases abandoned claims and retries outcomes that could not be recorded before.
    ///
    /// Call it about once a second; it writes nothing if nothing is pending.
    pub async fn flush_pending(&self) {
        let (unsaved, abandoned) = {
            let local = self.local();
            (local.unsaved.clone(), local.abandoned.clone())
        };
        let retries = unsaved.into_iter().map(|(op, pending)| {
            let token = ClaimToken {
                row: pending.row,
                op,
            };
            self.settle(token, pending.state)
        });
        let _still_unsaved = futures_util::future::join_all(retries).await;
        let released = abandoned
            .into_iter()
            .map(|(op, pending)| self.release_abandoned(op, pending));
        futures_util::future::join_all(released).await;
    }

    /// Releases one abandoned claim and drops it once its write can no longer arrive.
    async fn release_abandoned(&self, op: String, pending: AbandonedClaim) {
        let change = Change::Settle {
            op: op.clone(),
            state: State::Free,
        };
        let answered = self.submit(pending.row, change).await.is_ok();
        if answered && pending.since.elapsed() >= self.settings.write_lifetime {
            self.local().abandoned.remove(&op);
        }
    }

    async fn settle(&self, token: ClaimToken, state: State) -> Result<(), SettleError> {
        let ClaimToken { row, op } = token;
        let change = Change::Settle {
            op: op.clone(),
            state: state.clone(),
        };
        match self.submit(row.clone(), change).await {
            Ok(Outcome::Superseded) => {
                self.local().unsaved.remove(&op);
                Err(SettleError::Superseded)
            }
            Ok(_) => {
                self.local().unsaved.remove(&op);
                Ok(())
            }
            Err(_) => {
                let mut local = self.local();
                if local.unsaved.len() < self.settings.max_unsaved {
                    local.unsaved.insert(op, UnsavedOutcome { row, state });
                }
                Err(SettleError::Deferred)
            }
        }
    }

    /// Resolves a claim in progress; its outcome may still be unsaved in this process.
    async fn in_progress_claim(&self, claimant: String, op: String) -> Result<Claim, Refusal> {
        let pending = self.local().unsaved.get(&op).map(|u| u.state.clone());
        match pending {
            Some(State::Done(stored)) => self.load_answer(stored).await,
            Some(State::Ran) => Ok(Claim::Ran),
            Some(State::Unknown) => Ok(Claim::Unknown),
            _ => Ok(Claim::InProgress { claimant, op }),
        }
    }

    async fn load_answer(&self, stored: StoredAnswer) -> Result<Claim, Refusal> {
        let answer = self.answers.load(stored).await.ok_or_else(|| {
            let refusal = Refusal::new(Verdict::Ran, Cause::OutcomeUnknown);
            let refusal = refusal.detail("the stored answer cannot be fetched now");
            refusal.retry_after(self.settings.retry_after)
        })?;
        Ok(Claim::Completed(answer))
    }

    async fn submit(&self, row: String, change: Change) -> Result<Outcome, SubmitError> {
        let reply = self
            .batcher
            .submit(row, change)
            .ok_or(SubmitError::QueueFull)?;
        match reply.await {
            Ok(reply) => reply.map_err(SubmitError::Commit),
            Err(ended) => Err(SubmitError::Commit(CommitError::Unknown(ended.to_string()))),
        }
    }

    fn abandon(&self, row: &str, op: &str) {
        let pending = AbandonedClaim {
            row: row.into(),
            since: Instant::now(),
        };
        self.local().abandoned.insert(op.into(), pending);
    }

    fn abandoned_claims(&self, row: &str) -> Vec<String> {
        let local = self.local();
        let of_row = local
            .abandoned
            .iter()
            .filter(|(_, pending)| pending.row == row);
        of_row.map(|(op, _)| op.clone()).collect()
    }

    /// A refusal with jitter on its retry delay, so that callers do not all retry at once.
    fn table_down_refusal(&self, op: &str) -> Refusal {
        let hash = blake3::hash(op.as_bytes());
        let jitter = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
        let retry = self.settings.retry_after.mul_f64(1.0 + jitter);
        let refusal = Refusal::not_run(Cause::TableDown).retry_after(retry);
        refusal.detail(
            "this attempt was not sent: the idempotency record cannot be read now; \
             an earlier attempt with the same key may have run",
        )
    }

    fn local(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a claim as abandoned if its future is dropped, or ends with an unknown outcome.
#[derive(Debug)]
struct AbandonGuard<'a> {
    store: &'a IdempotencyStore,
    row: &'a str,
    op: &'a str,
    armed: bool,
}

impl<'a> AbandonGuard<'a> {
    fn new(store: &'a IdempotencyStore, row: &'a str, op: &'a str) -> Self {
        Self {
            store,
            row,
            op,
            armed: true,
        }
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.store.abandon(self.row, self.op);
        }
    }
}

#[derive(Debug)]
enum SubmitError {
    QueueFull,
    Commit(CommitError),
}
