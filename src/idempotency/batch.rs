//! Group commit: writes many changes of records in one transaction.
//!
//! Changes that arrive while a transaction is in flight are queued and share the next one, so a
//! single change is not delayed and a burst costs few writes. Above this instance's share of the
//! table's write rate, changes are queued longer and batches grow.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use crate::commit::{
    CommitError, Committer, Decision, MalformedRow, Record, Snapshot, epoch_millis,
};

use super::record::{Change, Outcome, RequestRow};

/// Result of one change.
pub(super) type Reply = Result<Outcome, CommitError>;

#[derive(Debug)]
struct PendingChange {
    key: String,
    change: Change,
    reply: oneshot::Sender<Reply>,
}

impl PendingChange {
    /// Whether the change must still be committed; a claim only while its caller waits.
    fn needs_commit(&self) -> bool {
        !matches!(self.change, Change::Claim(_)) || !self.reply.is_closed()
    }
}

#[derive(Debug, Default)]
struct Queue {
    items: VecDeque<PendingChange>,
    running: bool,
    limiter: RateLimiter,
}

/// Rate limiter of transactions with a burst allowance (GCRA).
#[derive(Debug, Default)]
struct RateLimiter {
    interval: Duration,
    /// Theoretical start of the next transaction at an even rate.
    due: Option<Instant>,
}

impl RateLimiter {
    /// Intervals by which transactions may run ahead of the even rate after an idle period.
    const BURST_INTERVALS: u32 = 8;

    /// Reserves the earliest start of the next transaction.
    fn next(&mut self, now: Instant) -> Instant {
        let due = self.due.unwrap_or(now).max(now);
        self.due = Some(due + self.interval);
        due.checked_sub(self.interval * Self::BURST_INTERVALS)
            .unwrap_or(now)
            .max(now)
    }
}

/// Queue of changes that are committed in batches.
#[derive(Debug)]
pub(super) struct Batcher {
    committer: Committer,
    queue: Mutex<Queue>,
    /// Maximum number of changes in one transaction.
    max_batch: usize,
    /// Maximum number of queued changes.
    max_queued: usize,
}

impl Batcher {
    pub(super) fn new(committer: Committer, max_batch: usize, max_queued: usize) -> Self {
        Self {
            committer,
            queue: Mutex::default(),
            max_batch,
            max_queued,
        }
    }

    /// Queues a change; `None` if the queue is full.
    pub(super) fn submit(
        self: &Arc<Self>,
        key: String,
        change: Change,
    ) -> Option<oneshot::Receiver<Reply>> {
        let (reply, receiver) = oneshot::channel();
        let mut queue = self.lock();
        if queue.items.len() >= self.max_queued {
            return None;
        }
        queue.items.push_back(PendingChange { key, change, reply });
        if !queue.running {
            queue.running = true;
            tokio::spawn(Arc::clone(self).run());
        }
        Some(receiver)
    }

    /// Sets the minimum average interval between transactions.
    pub(super) fn set_interval(&self, interval: Duration) {
        self.lock().limiter.interval = interval;
    }

    async fn run(self: Arc<Self>) {
        while let Some(start) = self.next_start() {
            sleep_until(start).await;
            let batch = self.take_batch();
            self.commit_batch(batch).await;
        }
    }

    /// Start of the next transaction; `None`, which ends the run, if the queue is empty.
    fn next_start(&self) -> Option<Instant> {
        let mut queue = self.lock();
        queue.running = !queue.items.is_empty();
        let running = queue.running;
        running.then(|| queue.limiter.next(Instant::now()))
    }

    fn take_batch(&self) -> Vec<PendingChange> {
        let mut queue = self.lock();
        let n = queue.items.len().min(self.max_batch);
        queue.items.drain(..n).collect()
    }

    async fn commit_batch(&self, batch: Vec<PendingChange>) {
        let batch: Vec<PendingChange> = batch
            .into_iter()
            .filter(PendingChange::needs_commit)
            .collect();
        if batch.is_empty() {
            return;
        }
        let keys: BTreeSet<String> = batch.iter().map(|i| i.key.clone()).collect();
        let mut replies = Vec::new();
        let mut decide = |snapshot: &Snapshot| decide(&batch, snapshot, &mut replies);
        let done = self
            .committer
            .transact(keys.into_iter().collect(), &mut decide)
            .await;
        if let Err(e) = done {
            replies = batch.iter().map(|_| Err(e.clone())).collect();
        }
        for (item, reply) in batch.into_iter().zip(replies) {
            let _caller_gone = item.reply.send(reply);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the changes in order to the rows of the snapshot.
fn decide(
    batch: &[PendingChange],
    snapshot: &Snapshot,
    replies: &mut Vec<Reply>,
) -> Result<Decision, MalformedRow> {
    replies.clear();
    let now = epoch_millis();
    let mut rows: BTreeMap<&str, Result<RequestRow, MalformedRow>> = BTreeMap::new();
    let mut written = BTreeSet::new();
    for item in batch {
        let row = rows
            .entry(&item.key)
            .or_insert_with(|| RequestRow::read(snapshot, &item.key));
        // A malformed row must not fail the other changes of the batch.
        let reply = match row {
            Err(e) => Err(e.clone().into()),
            Ok(row) => {
                let (outcome, changed) = item.change.apply(row, now);
                if changed {
                    written.insert(item.key.as_str());
                }
                Ok(outcome)
            }
        };
        replies.push(reply);
    }
    if written.is_empty() {
        return Ok(Decision::NoChange);
    }
    let mut writes = Vec::new();
    for (key, row) in rows {
        if let Ok(row) = row
            && written.contains(key)
        {
            writes.push(row.write(key)?);
        }
    }
    Ok(Decision::Commit(writes))
}
