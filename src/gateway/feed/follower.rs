//! Reads the changes of one table of the platform's store, over its failures.

use std::time::Duration;

use tokio::time::sleep;

use super::super::link::millis;
use super::super::protocol::{FeedError, RowBatch};
use super::super::shared::Gateway;
use crate::table;

/// Least pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time from one failed call's start to the next call, unless the first takes longer.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// What the rows of a batch are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchKind {
    /// Rows that changed since the last batch.
    Changes,
    /// All rows.
    Snapshot,
    /// All rows of an older copy that the store came back from.
    Restored,
}

/// What a call asks for after failed ones: the changes of an outage may not fit into one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CatchUp {
    /// All rows, for a table with few of them.
    Rows,
    /// Changes and all rows alternately, as all rows may take several calls.
    Alternate,
}

/// Reads the changes of one table.
#[derive(Debug)]
pub(super) struct TableFollower {
    table: &'static str,
    catch_up: CatchUp,
    version: Option<u64>,
    pub(super) newest_version: u64,
    answered_at: Option<Duration>,
    lost_since: Option<Duration>,
    /// Start of the last failed call, until one succeeds.
    pub(super) failed_call: Option<Duration>,
    failures: u32,
    /// Time from the start of the next failed call to the call after it; doubles with each failure.
    retry_interval: Duration,
}

impl TableFollower {
    pub(super) const fn new(table: &'static str, catch_up: CatchUp) -> Self {
        Self {
            table,
            catch_up,
            version: None,
            newest_version: 0,
            answered_at: None,
            lost_since: None,
            failed_call: None,
            failures: 0,
            retry_interval: MIN_RETRY_PAUSE,
        }
    }

    /// The next rows; none if the rows cannot be used.
    ///
    /// Calls that fail in a row ask for no wait, and begin soon after one another however long each
    /// takes: the time from the last one's start to an answer bounds how long the store has been back.
    pub(super) async fn next_batch(
        &mut self,
        gateway: &Gateway,
        wait: Duration,
    ) -> Option<(RowBatch, BatchKind)> {
        let feed = &gateway.platform.feed;
        let wait = if self.lost_since.is_some() {
            Duration::ZERO
        } else {
            wait
        };
        let sent_at = gateway.now();
        let after = self.version.filter(|_| !self.reads_all());
        let read_all = after.is_none();
        let result = match after {
            Some(version) => feed.changes_since(self.table, version, wait).await,
            None => feed.snapshot(self.table).await,
        };
        gateway.stats.record_store_call(self.table, result.is_err());
        match result {
            Ok(batch) if batch.version < self.newest_version => {
                log::warn!(table = self.table, version = batch.version, known = self.newest_version;
                    "store returned an older version than before; retrying");
                sleep(MIN_RETRY_PAUSE).await;
                None
            }
            Ok(batch) => {
                self.record_success(gateway);
                let is_new_era = table::era(batch.version) > table::era(self.newest_version);
                let kind = if !read_all {
                    BatchKind::Changes
                } else if is_new_era && self.newest_version > 0 {
                    self.log_restore(gateway);
                    BatchKind::Restored
                } else {
                    BatchKind::Snapshot
                };
                self.version = Some(batch.version);
                self.newest_version = batch.version;
                Some((batch, kind))
            }
            Err(FeedError::HistoryGone) => {
                log::info!(table = self.table, version = self.newest_version;
                    "change history no longer available; reading all rows");
                self.version = None;
                None
            }
            Err(FeedError::Restored) => {
                self.version = None;
                None
            }
            Err(FeedError::Table(error)) => {
                let now = gateway.now();
                let due = sent_at + self.retry_interval;
                let pause = due.saturating_sub(now).max(MIN_RETRY_PAUSE);
                self.record_failure(&error.to_string(), wait, now.saturating_sub(sent_at), pause);
                self.lost_since.get_or_insert(now);
                self.failed_call = Some(sent_at);
                retry_pause(gateway, sent_at, pause).await;
                self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
                None
            }
        }
    }

    /// Whether all rows are read in place of the changes, after calls that failed.
    const fn reads_all(&self) -> bool {
        match self.catch_up {
            CatchUp::Rows => self.failures > 0,
            CatchUp::Alternate => self.failures > 0 && self.failures.is_multiple_of(2),
        }
    }

    /// Whether the last call failed.
    pub(super) const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    fn log_restore(&self, gateway: &Gateway) {
        log::warn!(table = self.table, version = self.newest_version;
            "store came back from an older copy; reading all rows");
        gateway.stats.record_restore(self.table);
    }

    fn record_failure(&mut self, error: &str, wait: Duration, took: Duration, pause: Duration) {
        self.failures += 1;
        log::info!(table = self.table, failures = self.failures, wait_ms = millis(wait),
            took_ms = millis(took), retry_ms = millis(pause), error = error; "store call failed");
        if self.lost_since.is_none() {
            log::warn!(dependency = "store", table = self.table, error = error; "dependency lost");
        }
    }

    fn record_success(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        self.retry_interval = MIN_RETRY_PAUSE;
        if let Some(answered_at) = self.answered_at.replace(now) {
            let gap = now.saturating_sub(answered_at);
            gateway.stats.record_feed_gap(self.table, gap);
        }
        if let Some(lost_since) = self.lost_since.take() {
            log::info!(dependency = "store", table = self.table, failures = self.failures,
                away_ms = millis(now.saturating_sub(lost_since)); "dependency regained");
            gateway.store_regained_at.send_replace(now);
        }
        self.failed_call = None;
        self.failures = 0;
    }
}

/// Pauses after a failed call, no longer than until another table is read again.
async fn retry_pause(gateway: &Gateway, sent_at: Duration, pause: Duration) {
    let mut regained_at = gateway.store_regained_at.subscribe();
    tokio::select! {
        () = sleep(pause) => {}
        _ = regained_at.wait_for(|at| *at > sent_at) => {}
    }
}
