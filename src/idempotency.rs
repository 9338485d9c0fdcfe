//! Record of calls that may run at most once.
//!
//! A call is claimed by a committed row before its first byte leaves, and its answer is kept
//! there after. A repeat finds the row at whichever instance it arrives.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::commit::{CommitError, Committer, Ids};
use crate::objects::Objects;
use crate::table::Table;
use crate::verdict::{Cause, Refusal, Verdict};

mod answers;
mod batch;
mod call;
mod expiry;
mod record;

use answers::Answers;
use batch::Batcher;
pub use call::{Answer, Call, Claim, LedgerSettings, StoreError, Token, fingerprint, request_key};
pub use expiry::{ExpiryError, expire};
use record::{Bid, Change, Kept, Outcome, State};

/// What this process knows beyond the rows.
#[derive(Debug, Default)]
struct Local {
    /// Claims that were given up before anything was sent, with the time of that.
    abandoned: BTreeMap<String, Abandoned>,
    /// Outcomes that the table service could not take yet, by operation id.
    unsaved: BTreeMap<String, Unsaved>,
}

#[derive(Debug, Clone)]
struct Abandoned {
    row: String,
    since: Instant,
}

#[derive(Debug, Clone)]
struct Unsaved {
    row: String,
    state: State,
}

/// The record of calls that may run at most once.
#[derive(Debug)]
pub struct Ledger {
    batcher: Arc<Batcher>,
    answers: Answers,
    settings: LedgerSettings,
    ids: Ids,
    local: Mutex<Local>,
}

impl Ledger {
    /// A ledger over the platform's table service and object store.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>, settings: LedgerSettings) -> Self {
        let committer = Committer::new(table, settings.commit);
        Self {
            batcher: Arc::new(Batcher::new(committer, settings.batch, settings.depth)),
            answers: Answers::new(objects, &settings),
            ids: Ids::new(settings.instance.clone()),
            local: Mutex::default(),
            settings,
        }
    }

    /// Takes an even share of the table's writes among this many live instances.
    pub fn share(&self, instances: u32) {
        let interval = Duration::from_secs(1) / self.settings.writes.max(1);
        self.batcher.pace(interval * instances);
    }

    /// Claims a call before its first byte leaves.
    ///
    /// Dropping the future is safe: a claim that is committed later is given back by
    /// [`tidy`](Self::tidy).
    ///
    /// # Errors
    ///
    /// A [`Refusal`] where the key was used for another request, or where the table service does
    /// not answer; the call surely was not sent by this claim.
    pub async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        let row = request_key(&call.tenant, &call.key);
        let op = self.ids.next();
        let bid = Bid {
            fingerprint: call.fingerprint.clone(),
            op: op.clone(),
            claimant: self.settings.instance.clone(),
            repeat: call.repeat,
            abandoned: self.abandoned(&row),
        };
        let mut guard = Guard::new(self, &row, &op);
        let outcome = self.submit(row.clone(), Change::Claim(bid)).await;
        let unknown = matches!(outcome, Err(Failure::Commit(CommitError::Unknown(_))));
        guard.armed = unknown;
        match outcome {
            Ok(Outcome::Mine) => Ok(Claim::Mine(Token {
                row: row.clone(),
                op: op.clone(),
            })),
            Ok(Outcome::InProgress { claimant, op }) => self.progress(claimant, op).await,
            Ok(Outcome::Done(kept)) => self.answer(kept).await,
            Ok(Outcome::Ran) => Ok(Claim::Ran),
            Ok(Outcome::Unknown | Outcome::Superseded) => Ok(Claim::Unknown),
            Ok(Outcome::KeyReused) => {
                let refusal = Refusal::not_run(Cause::KeyReused);
                Err(refusal.detail("the idempotency key was used for another request"))
            }
            Err(Failure::Full) => {
                let refusal = Refusal::not_run(Cause::Overload);
                Err(refusal.retry_after(self.settings.retry))
            }
            Err(Failure::Commit(_)) => Err(self.table_down(&op)),
        }
    }

    /// Keeps the answer of a call; a repeat gets it from now on.
    ///
    /// Every [`Token`] has to be settled by one of [`store`](Self::store),
    /// [`unknown`](Self::unknown), [`ran`](Self::ran) or [`unclaim`](Self::unclaim), in a task
    /// that does not end with the caller's connection.
    ///
    /// While the table service is down the answer waits in memory, and [`tidy`](Self::tidy)
    /// stores it later.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the record does not hold the answer; the caller has it all the same.
    pub async fn store(&self, token: Token, answer: &Answer) -> Result<(), StoreError> {
        let state = match self.answers.keep(answer).await {
            Some(kept) => State::Done(kept),
            None => State::Ran,
        };
        self.settle(token, state).await
    }

    /// Records that a call may have run: it was sent, and its answer is lost.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the record could not be changed yet.
    pub async fn unknown(&self, token: Token) -> Result<(), StoreError> {
        self.settle(token, State::Unknown).await
    }

    /// Records that a call ran, and its answer is incomplete.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the record could not be changed yet.
    pub async fn ran(&self, token: Token) -> Result<(), StoreError> {
        self.settle(token, State::Ran).await
    }

    /// Gives a claim back; only where the first byte was surely never written.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the record could not be changed yet.
    pub async fn unclaim(&self, token: Token) -> Result<(), StoreError> {
        self.settle(token, State::Free).await
    }

    /// Records that the instance which holds a claim is gone, and says what holds for the call.
    ///
    /// It is never sent again, unless the service recognises the key.
    ///
    /// # Errors
    ///
    /// As [`claim`](Self::claim).
    pub async fn orphan(&self, call: &Call, op: &str) -> Result<Claim, Refusal> {
        let row = request_key(&call.tenant, &call.key);
        let change = Change::Orphan { op: op.into() };
        if self.submit(row, change).await.is_err() {
            let refusal = self.table_down(op);
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
    pub async fn tidy(&self) {
        let (unsaved, abandoned) = {
            let local = self.local();
            (local.unsaved.clone(), local.abandoned.clone())
        };
        let later = unsaved.into_iter().map(|(op, left)| {
            let token = Token { row: left.row, op };
            self.settle(token, left.state)
        });
        let _still_unsaved = futures_util::future::join_all(later).await;
        let released = abandoned
            .into_iter()
            .map(|(op, left)| self.release(op, left));
        futures_util::future::join_all(released).await;
    }

    /// Gives back one abandoned claim; forgets it once its write cannot arrive any more.
    async fn release(&self, op: String, left: Abandoned) {
        let change = Change::Settle {
            op: op.clone(),
            state: State::Free,
        };
        let answered = self.submit(left.row, change).await.is_ok();
        if answered && left.since.elapsed() >= self.settings.lifetime {
            self.local().abandoned.remove(&op);
        }
    }

    async fn settle(&self, token: Token, state: State) -> Result<(), StoreError> {
        let Token { row, op } = token;
        let change = Change::Settle {
            op: op.clone(),
            state: state.clone(),
        };
        match self.submit(row.clone(), change).await {
            Ok(Outcome::Superseded) => {
                self.local().unsaved.remove(&op);
                Err(StoreError::Superseded)
            }
            Ok(_) => {
                self.local().unsaved.remove(&op);
                Ok(())
            }
            Err(_) => {
                let mut local = self.local();
                if local.unsaved.len() < self.settings.unsaved {
                    local.unsaved.insert(op, Unsaved { row, state });
                }
                Err(StoreError::Later)
            }
        }
    }

    /// A claim that stands; its outcome may wait in this process for the table service.
    async fn progress(&self, claimant: String, op: String) -> Result<Claim, Refusal> {
        let left = self.local().unsaved.get(&op).map(|u| u.state.clone());
        match left {
            Some(State::Done(kept)) => self.answer(kept).await,
            Some(State::Ran) => Ok(Claim::Ran),
            Some(State::Unknown) => Ok(Claim::Unknown),
            _ => Ok(Claim::InProgress { claimant, op }),
        }
    }

    async fn answer(&self, kept: Kept) -> Result<Claim, Refusal> {
        let answer = self.answers.fetch(kept).await.ok_or_else(|| {
            let refusal = Refusal::new(Verdict::Ran, Cause::OutcomeUnknown);
            let refusal = refusal.detail("the stored answer cannot be fetched now");
            refusal.retry_after(self.settings.retry)
        })?;
        Ok(Claim::Done(answer))
    }

    async fn submit(&self, row: String, change: Change) -> Result<Outcome, Failure> {
        let reply = self.batcher.submit(row, change).ok_or(Failure::Full)?;
        match reply.await {
            Ok(reply) => reply.map_err(Failure::Commit),
            Err(ended) => Err(Failure::Commit(CommitError::Unknown(ended.to_string()))),
        }
    }

    fn abandon(&self, row: &str, op: &str) {
        let left = Abandoned {
            row: row.into(),
            since: Instant::now(),
        };
        self.local().abandoned.insert(op.into(), left);
    }

    fn abandoned(&self, row: &str) -> Vec<String> {
        let local = self.local();
        let of_row = local.abandoned.iter().filter(|(_, left)| left.row == row);
        of_row.map(|(op, _)| op.clone()).collect()
    }

    /// A refusal whose time to come back is spread, so that callers do not return at once.
    fn table_down(&self, op: &str) -> Refusal {
        let hash = blake3::hash(op.as_bytes());
        let spread = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
        let retry = self.settings.retry.mul_f64(1.0 + spread);
        let refusal = Refusal::not_run(Cause::TableDown).retry_after(retry);
        refusal.detail(
            "this attempt was not sent: the record of calls that run once cannot be read now; \
             an earlier attempt with the same key may have run",
        )
    }

    fn local(&self) -> MutexGuard<'_, Local> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives a claim back where its caller goes before the outcome is known.
#[derive(Debug)]
struct Guard<'a> {
    ledger: &'a Ledger,
    row: &'a str,
    op: &'a str,
    armed: bool,
}

impl<'a> Guard<'a> {
    fn new(ledger: &'a Ledger, row: &'a str, op: &'a str) -> Self {
        Self {
            ledger,
            row,
            op,
            armed: true,
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.ledger.abandon(self.row, self.op);
        }
    }
}

#[derive(Debug)]
enum Failure {
    Full,
    Commit(CommitError),
}
