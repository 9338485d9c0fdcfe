//! Record of calls that may run at most once.
//!
//! A call is claimed by a committed row before its first byte leaves, and its answer is kept
//! there after. A repeat finds the row at whichever instance it arrives.

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

/// What this process knows beyond the rows.
#[derive(Debug, Default)]
struct LocalState {
    /// Claims that were given up before anything was sent, with the time of that.
    abandoned: BTreeMap<String, AbandonedClaim>,
    /// Outcomes that the table service could not take yet, by operation id.
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

/// The record of calls that may run at most once.
#[derive(Debug)]
pub struct IdempotencyStore {
    batcher: Arc<Batcher>,
    answers: AnswerStore,
    settings: IdempotencySettings,
    ids: OperationIds,
    local: Mutex<LocalState>,
}

impl IdempotencyStore {
    /// A ledger over the platform's table service and object store.
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

    /// Takes an even share of the table's writes among this many live instances.
    pub fn set_instance_count(&self, instances: u32) {
        let interval = Duration::from_secs(1) / self.settings.write_rate.max(1);
        self.batcher.set_interval(interval * instances);
    }

    /// Claims a call before its first byte leaves.
    ///
    /// Dropping the future is safe: a claim that is committed later is given back by
    /// [`flush_pending`](Self::flush_pending).
    ///
    /// # Errors
    ///
    /// A [`Refusal`] where the key was used for another request, or where the table service does
    /// not answer; the call surely was not sent by this claim.
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
            Ok(Outcome::Completed(kept)) => self.load_answer(kept).await,
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

    /// Keeps the answer of a call; a repeat gets it from now on.
    ///
    /// Every [`ClaimToken`] has to be settled by one of [`store_answer`](Self::store_answer),
    /// [`mark_unknown`](Self::mark_unknown), [`mark_ran`](Self::mark_ran) or
    /// [`release_claim`](Self::release_claim), in a task that does not end with the caller's connection.
    ///
    /// While the table service is down the answer waits in memory, and
    /// [`flush_pending`](Self::flush_pending) stores it later.
    ///
    /// # Errors
    ///
    /// [`SettleError`] where the record does not hold the answer; the caller has it all the same.
    pub async fn store_answer(
        &self,
        token: ClaimToken,
        answer: &Answer,
    ) -> Result<(), SettleError> {
        let state = match self.answers.save(answer).await {
            Some(kept) => State::Done(kept),
            None => State::Ran,
        };
        self.settle(token, state).await
    }

    /// Records that a call may have run: it was sent, and its answer is lost.
    ///
    /// # Errors
    ///
    /// [`SettleError`] where the record could not be changed yet.
    pub async fn mark_unknown(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Unknown).await
    }

    /// Records that a call ran, and its answer is incomplete.
    ///
    /// # Errors
    ///
    /// [`SettleError`] where the record could not be changed yet.
    pub async fn mark_ran(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Ran).await
    }

    /// Gives a claim back; only where the first byte was surely never written.
    ///
    /// # Errors
    ///
    /// [`SettleError`] where the record could not be changed yet.
    pub async fn release_claim(&self, token: ClaimToken) -> Result<(), SettleError> {
        self.settle(token, State::Free).await
    }

    /// Records that the instance which holds a claim is gone, and says what holds for the call.
    ///
    /// It is never sent again, unless the service recognises the key.
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

    /// Gives back abandoned claims and stores answers that could not be stored before.
    ///
    /// Call it about once a second; it writes nothing where nothing is left over.
    pub async fn flush_pending(&self) {
        let (unsaved, abandoned) = {
            let local = self.local();
            (local.unsaved.clone(), local.abandoned.clone())
        };
        let later = unsaved.into_iter().map(|(op, left)| {
            let token = ClaimToken { row: left.row, op };
            self.settle(token, left.state)
        });
        let _still_unsaved = futures_util::future::join_all(later).await;
        let released = abandoned
            .into_iter()
            .map(|(op, left)| self.release_abandoned(op, left));
        futures_util::future::join_all(released).await;
    }

    /// Gives back one abandoned claim; forgets it once its write cannot arrive any more.
    async fn release_abandoned(&self, op: String, left: AbandonedClaim) {
        let change = Change::Settle {
            op: op.clone(),
            state: State::Free,
        };
        let answered = self.submit(left.row, change).await.is_ok();
        if answered && left.since.elapsed() >= self.settings.write_lifetime {
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

    /// A claim that stands; its outcome may wait in this process for the table service.
    async fn in_progress_claim(&self, claimant: String, op: String) -> Result<Claim, Refusal> {
        let left = self.local().unsaved.get(&op).map(|u| u.state.clone());
        match left {
            Some(State::Done(kept)) => self.load_answer(kept).await,
            Some(State::Ran) => Ok(Claim::Ran),
            Some(State::Unknown) => Ok(Claim::Unknown),
            _ => Ok(Claim::InProgress { claimant, op }),
        }
    }

    async fn load_answer(&self, kept: StoredAnswer) -> Result<Claim, Refusal> {
        let answer = self.answers.load(kept).await.ok_or_else(|| {
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
        let left = AbandonedClaim {
            row: row.into(),
            since: Instant::now(),
        };
        self.local().abandoned.insert(op.into(), left);
    }

    fn abandoned_claims(&self, row: &str) -> Vec<String> {
        let local = self.local();
        let of_row = local.abandoned.iter().filter(|(_, left)| left.row == row);
        of_row.map(|(op, _)| op.clone()).collect()
    }

    /// A refusal whose time to come back is spread, so that callers do not return at once.
    fn table_down_refusal(&self, op: &str) -> Refusal {
        let hash = blake3::hash(op.as_bytes());
        let spread = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
        let retry = self.settings.retry_after.mul_f64(1.0 + spread);
        let refusal = Refusal::not_run(Cause::TableDown).retry_after(retry);
        refusal.detail(
            "this attempt was not sent: the record of calls that run once cannot be read now; \
             an earlier attempt with the same key may have run",
        )
    }

    fn local(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives a claim back where its caller goes before the outcome is known.
#[derive(Debug)]
struct AbandonGuard<'a> {
    ledger: &'a IdempotencyStore,
    row: &'a str,
    op: &'a str,
    armed: bool,
}

impl<'a> AbandonGuard<'a> {
    fn new(ledger: &'a IdempotencyStore, row: &'a str, op: &'a str) -> Self {
        Self {
            ledger,
            row,
            op,
            armed: true,
        }
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.ledger.abandon(self.row, self.op);
        }
    }
}

#[derive(Debug)]
enum SubmitError {
    QueueFull,
    Commit(CommitError),
}
