//! Keeps the row of the lease: claims it, renews it, gives it back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::lease::{Lease, LeaseRow, Step};
use super::link::{Linked, Whereabouts};
use super::shared::Gateway;
use crate::table::{Check, Commit, Read, Row, TableError, Txn, Write};

/// Key of the lease's row.
pub const LEASE_KEY: &str = "lease/orders";
/// Time between two looks at the lease.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two reads of the row where the holder cannot be reached.
const READ_EVERY: Duration = Duration::from_millis(800);
/// Silence of the holder after which the row is read, before its link is given up: two of its
/// intervals. The wait for a takeover begins with that read.
const DOUBT: Duration = Duration::from_millis(650);
/// Longest wait for the store; it answers in milliseconds.
const CALL: Duration = Duration::from_millis(1500);

/// Keeps the lease's row.
#[derive(Debug)]
pub struct LeaseRenewal {
    /// Shared state.
    pub gateway: Arc<Gateway>,
    /// The lease.
    pub lease: Arc<Mutex<Lease>>,
    /// Where the holder is.
    pub whereabouts: watch::Sender<Whereabouts>,
    /// Whether there is a link to the holder.
    pub linked: watch::Receiver<Linked>,
    /// This instance, as a holder.
    pub me: LeaseRow,
}

impl LeaseRenewal {
    /// Runs until the instance stops.
    pub async fn run(self) {
        let mut stopping = self.gateway.stopping.subscribe();
        let mut doubt = false;
        loop {
            if *stopping.borrow() {
                return self.release().await;
            }
            let now = self.gateway.now();
            let holding = self.lock().fence(now).is_some();
            let linked = self.linked.borrow().clone();
            if let Some(row) = linked.row() {
                self.lock().vouch(row, linked.version, linked.heard);
            }
            if !holding && linked.up && now < linked.heard + DOUBT {
                self.publish();
                self.pause(&mut stopping, LOOK).await;
                continue;
            }
            if (!holding || doubt) && !self.read(holding).await {
                self.publish();
                self.pause(&mut stopping, READ_EVERY).await;
                continue;
            }
            doubt = false;
            let step = self.lock().step(self.gateway.now());
            if let Step::Write(version) = step {
                doubt = !self.write(version, &self.me).await;
            }
            self.publish();
            let now = self.gateway.now();
            let holding = self.lock().fence(now).is_some();
            let time = if holding {
                LOOK
            } else {
                self.lock().pause(now, READ_EVERY)
            };
            self.pause(&mut stopping, time).await;
        }
    }

    async fn pause(&self, stopping: &mut watch::Receiver<bool>, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            _ = stopping.wait_for(|s| *s) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the row; false where the store does not answer.
    async fn read(&self, holding: bool) -> bool {
        let asked = self.gateway.now();
        let read = Read::Keys(vec![LEASE_KEY.to_owned()]);
        let rows = match timeout(CALL, self.gateway.platform.table.read(read)).await {
            Ok(Ok(rows)) => rows,
            Ok(Err(error)) => return self.unread(&error.to_string()),
            Err(late) => return self.unread(&late.to_string()),
        };
        self.gateway.stats.record_store_call("lease-read", false);
        let version = rows.first().map_or(0, |r| r.revision);
        let row = rows.first().and_then(parse);
        let mut lease = self.lock();
        let mine = row
            .as_ref()
            .is_some_and(|r| r.holder == self.me.holder && !r.released);
        if holding && mine {
            // A renewal whose answer was lost; it was asked for no later than the last look.
            lease.granted(version, asked.saturating_sub(CALL));
        } else {
            lease.observe(row, version, self.gateway.now());
        }
        true
    }

    fn unread(&self, error: &str) -> bool {
        self.gateway.stats.record_store_call("lease-read", true);
        log::debug!(error = error; "lease cannot be read");
        false
    }

    /// Writes the row; false where it is unknown whether it took effect.
    async fn write(&self, version: u64, row: &LeaseRow) -> bool {
        let Ok(value) = serde_json::to_string(row) else {
            return true;
        };
        let txn = Txn {
            checks: vec![Check {
                key: LEASE_KEY.to_owned(),
                revision: version,
            }],
            writes: vec![Write {
                key: LEASE_KEY.to_owned(),
                value: Some(value),
            }],
        };
        let asked = self.gateway.now();
        let answer = timeout(CALL, self.gateway.platform.table.commit(txn)).await;
        let failed = !matches!(answer, Ok(Ok(_)));
        self.gateway.stats.record_store_call("lease-write", failed);
        match answer {
            Ok(Ok(Commit::Done(now_at))) => {
                if !row.released {
                    self.lock().granted(now_at, asked);
                }
                true
            }
            Ok(Ok(Commit::Conflict(_))) => {
                log::info!(version = version; "lease was written by another instance");
                false
            }
            Ok(Err(TableError::Refused(error))) => {
                log::debug!(error = error.as_str(); "lease cannot be written");
                true
            }
            Ok(Err(error)) => {
                log::info!(error:% = error; "unknown whether the lease was written");
                false
            }
            Err(late) => {
                log::info!(error:% = late; "unknown whether the lease was written");
                false
            }
        }
    }

    fn publish(&self) {
        let (holding, holder) = {
            let lease = self.lock();
            let holding = lease.fence(self.gateway.now()).is_some();
            (holding, lease.holder().map(|r| r.address))
        };
        let changed = self.gateway.lease_held.send_if_modified(|h| {
            let before = std::mem::replace(h, holding);
            before != holding
        });
        if changed {
            log::info!(holding = holding; "lease on orders changed hands");
        }
        self.whereabouts.send_if_modified(|known| {
            let next = Whereabouts { holding, holder };
            let differs = *known != next;
            *known = next;
            differs
        });
    }

    /// Gives the lease back, so that a successor need not wait for its term.
    async fn release(&self) {
        let (held, version) = {
            let lease = self.lock();
            (lease.fence(self.gateway.now()).is_some(), lease.version())
        };
        self.gateway.lease_held.send_replace(false);
        if !held {
            return;
        }
        self.lock().end();
        let row = LeaseRow {
            released: true,
            ..self.me.clone()
        };
        let known = self.write(version, &row).await;
        log::info!(known = known; "lease on orders given back");
    }
}

fn parse(row: &Row) -> Option<LeaseRow> {
    match serde_json::from_str(&row.value) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!(key = row.key.as_str(), version = row.revision, error:% = error;
                "lease row cannot be read; it counts as nobody's");
            None
        }
    }
}
