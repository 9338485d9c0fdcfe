//! Claims, renews and releases the lease row.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::lease::{Lease, LeaseAction, LeaseRow, Successors};
use super::link::{HolderInfo, HolderLink};
use super::orders::inbox::DemandInbox;
use super::shared::Gateway;
use crate::table::{self, Check, Commit, Read, Row, TableError, Txn, Write};

/// Key of the lease row.
pub const LEASE_KEY: &str = "lease/orders";
/// Interval between two checks of the lease state.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two reads of the row while there is no link to the holder.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// Interval between two reads, and timeout of one, while this instance has a proof of an older copy, which
/// it keeps as long as it sees the copy unchanged.
const COPY_READ_INTERVAL: Duration = Duration::from_millis(300);
const COPY_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence of the holder after which the row is read, before its link times out.
///
/// It is two of the holder's update intervals. The wait for a takeover starts with that read.
const HOLDER_SILENCE_LIMIT: Duration = Duration::from_millis(650);
/// Timeout of a store call; the store normally responds within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which an instance without a path to engines leaves a free lease to others.
const MAX_CLAIM_DEFERRAL: Duration = Duration::from_secs(10);

/// Since when this instance has had no path to engines.
#[derive(Debug, Clone, Copy, Default)]
struct LostPath {
    since: Option<Duration>,
    /// Whether the lease was released since then.
    released: bool,
}

impl LostPath {
    fn update(&mut self, is_cut: bool, now: Duration) {
        if !is_cut {
            *self = Self::default();
            return;
        }
        self.since.get_or_insert(now);
    }

    fn defers_claim(&self, now: Duration) -> bool {
        self.since.is_some_and(|s| now < s + MAX_CLAIM_DEFERRAL)
    }
}

/// Task that maintains the lease row.
#[derive(Debug)]
pub struct LeaseRenewal {
    /// State shared by the tasks of this instance.
    pub gateway: Arc<Gateway>,
    /// Lease state.
    pub lease: Arc<Mutex<Lease>>,
    /// Reports of other instances, which say who has heard from this one.
    pub inbox: Arc<DemandInbox>,
    /// Publishes who holds the lease.
    pub holder_info: watch::Sender<HolderInfo>,
    /// State of the link to the holder.
    pub holder_link: watch::Receiver<HolderLink>,
    /// Row that this instance writes as the holder.
    pub own_row: LeaseRow,
}

impl LeaseRenewal {
    /// Runs until the instance stops, then releases the lease.
    pub async fn run(self) {
        let mut stopping = self.gateway.stopping.subscribe();
        let mut row_stale = false;
        let mut lost_path = LostPath::default();
        loop {
            if *stopping.borrow() {
                return self.release().await;
            }
            let now = self.gateway.now();
            let holding = self.lock().fencing_token(now).is_some();
            lost_path.update(self.gateway.is_cut_off_from_engines(), now);
            if holding && lost_path.since.is_some() && !lost_path.released && self.has_successor() {
                lost_path.released = true;
                log::warn!("no path to engines; another instance is to give the orders");
                self.release().await;
                self.sleep_or_stop(&mut stopping, READ_INTERVAL).await;
                continue;
            }
            let holder_link = self.holder_link.borrow().clone();
            if let Some(row) = holder_link.lease_row() {
                let mut lease = self.lock();
                lease.confirm_holder(row, holder_link.row_version, holder_link.heard_at);
                if let Some(at) = holder_link.counted_at {
                    lease.record_counted(at);
                }
            }
            if !holding && holder_link.up && now < holder_link.heard_at + HOLDER_SILENCE_LIMIT {
                self.publish();
                self.sleep_or_stop(&mut stopping, CHECK_INTERVAL).await;
                continue;
            }
            if (!holding || row_stale) && !self.publish_during(self.read(holding)).await {
                self.publish();
                self.sleep_or_stop(&mut stopping, self.read_pace().0).await;
                continue;
            }
            row_stale = false;
            let action = self.lock().next_action(self.gateway.now());
            if let LeaseAction::Write(version) = action
                && (holding || !lost_path.defers_claim(now))
            {
                row_stale = !self.publish_during(self.renew(version)).await;
            }
            self.publish();
            let now = self.gateway.now();
            let holding = self.lock().fencing_token(now).is_some();
            let time = if holding {
                CHECK_INTERVAL
            } else {
                let interval = self.read_pace().0;
                self.lock().wait_time(now, interval)
            };
            self.sleep_or_stop(&mut stopping, time).await;
        }
    }

    /// Interval and timeout of reads of the row.
    fn read_pace(&self) -> (Duration, Duration) {
        let lease = self.lock();
        if lease.is_restored() && !lease.lacks_proof() {
            (COPY_READ_INTERVAL, COPY_READ_TIMEOUT)
        } else {
            (READ_INTERVAL, STORE_TIMEOUT)
        }
    }

    /// Whether a linked instance has a path to engines.
    fn has_successor(&self) -> bool {
        !self.gateway.detours.borrow().is_empty()
    }

    async fn sleep_or_stop(&self, stopping: &mut watch::Receiver<bool>, time: Duration) {
        tokio::select! {
            () = self.publish_during(sleep(time)) => {}
            _ = stopping.wait_for(|s| *s) => {}
        }
    }

    /// Runs `work`, and meanwhile publishes the end of the lease and records new eras of the store.
    async fn publish_during<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return done,
                () = sleep(CHECK_INTERVAL) => self.publish(),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the row; returns false if the store does not respond.
    async fn read(&self, holding: bool) -> bool {
        let requested_at = self.gateway.now();
        let read = Read::Keys(vec![LEASE_KEY.to_owned()]);
        let time = self.read_pace().1;
        let rows = match timeout(time, self.gateway.platform.table.read(read)).await {
            Ok(Ok(rows)) => rows,
            Ok(Err(error)) => return self.read_failed(&error.to_string()),
            Err(elapsed) => return self.read_failed(&elapsed.to_string()),
        };
        self.gateway.stats.record_store_call("lease-read", false);
        let missing = table::revision(self.gateway.platform.table.era(), 0);
        let version = rows.first().map_or(missing, |r| r.revision);
        let row = rows.first().and_then(parse);
        let mut lease = self.lock();
        if lease.adopt_restored(row.as_ref(), version, self.gateway.now()) {
            log::warn!(version = version; "lease row is of an earlier era; writing it again");
            return true;
        }
        let is_own = row
            .as_ref()
            .is_some_and(|r| r.holder == self.own_row.holder && !r.released);
        if holding && is_own {
            // A renewal took effect but its response was lost. It was requested no later than at
            // the last check; its term is counted from one timeout before this read.
            lease.record_write(version, requested_at.saturating_sub(STORE_TIMEOUT));
            let successors = row.and_then(|r| r.successors);
            let now = self.gateway.now();
            if lease.is_claim() {
                lease.record_claim(now);
            }
            self.inbox.echoes().record_row(successors.as_ref(), now);
        } else {
            let before = lease.version();
            lease.observe(row.clone(), version, self.gateway.now());
            lease.record_read(row.as_ref(), version, requested_at);
            if lease.is_restored() && table::era(version) != table::era(before) {
                log::warn!(version = version, counted = !lease.lacks_proof();
                    "lease row is of an older copy of the store; waiting for its holder");
            }
        }
        true
    }

    fn read_failed(&self, error: &str) -> bool {
        self.gateway.stats.record_store_call("lease-read", true);
        log::debug!(error = error; "cannot read the lease row");
        false
    }

    /// Claims or renews the row; returns false on a conflict or if it is unknown whether it took
    /// effect.
    async fn renew(&self, version: u64) -> bool {
        let now = self.gateway.now();
        let (row, is_claim) = {
            let lease = self.lock();
            if lease.term().is_none() {
                log::info!(version = version, named = lease.is_successor();
                    "claiming the lease on orders");
            }
            let mut echoes = self.inbox.echoes();
            let row = LeaseRow {
                successors: echoes.name_successors(&lease, now),
                heard: echoes.heard(),
                expiring: Some(echoes.expiring()),
                ..self.own_row.clone()
            };
            (row, lease.is_claim())
        };
        let named = row.successors.as_ref().map_or(0, Successors::count);
        let known = self.write(version, &row).await;
        let now = self.gateway.now();
        let written = self.lock().version() != version;
        if is_claim && written {
            self.lock().record_claim(now);
        }
        let mut echoes = self.inbox.echoes();
        if !written {
            echoes.record_unknown_row();
            return known;
        }
        let left_out = echoes.record_row(row.successors.as_ref(), now);
        drop(echoes);
        if !left_out.is_empty() {
            let left_out: Vec<String> = left_out.into_iter().collect();
            log::info!(left_out = left_out.join(" "), named = named;
                "lease row leaves silent instances out");
        }
        known
    }

    /// Writes the row; returns false on a conflict or if it is unknown whether it took effect.
    async fn write(&self, version: u64, row: &LeaseRow) -> bool {
        let row = LeaseRow {
            era: table::era(version),
            ..row.clone()
        };
        let Ok(value) = serde_json::to_string(&row) else {
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
        let requested_at = self.gateway.now();
        let answer = timeout(STORE_TIMEOUT, self.gateway.platform.table.commit(txn)).await;
        let failed = !matches!(answer, Ok(Ok(_)));
        self.gateway.stats.record_store_call("lease-write", failed);
        match answer {
            Ok(Ok(Commit::Done(new_version))) => {
                if !row.released {
                    self.lock().record_write(new_version, requested_at);
                }
                let is_first = table::era(version) == 0 && table::number(version) == 0;
                if is_first {
                    // Nothing has run before the row was first written.
                    self.gateway.stream_origins().complete();
                }
                true
            }
            Ok(Ok(Commit::Conflict(_))) => {
                log::info!(version = version; "lease row was written by another instance");
                false
            }
            Ok(Err(TableError::Refused(error))) => {
                log::debug!(error = error.as_str(); "store refused the write of the lease row");
                true
            }
            Ok(Err(error)) => {
                log::info!(error:% = error; "unknown whether the lease row was written");
                false
            }
            Err(elapsed) => {
                log::info!(error:% = elapsed; "unknown whether the lease row was written");
                false
            }
        }
    }

    fn publish(&self) {
        let (holding, holder) = {
            let (mut lease, now) = (self.lock(), self.gateway.now());
            lease.record_era(self.gateway.platform.table.era(), now);
            let holding = lease.fencing_token(now).is_some();
            (holding, lease.holder().map(|r| r.address))
        };
        let changed = self.gateway.lease_held.send_if_modified(|h| {
            let before = std::mem::replace(h, holding);
            before != holding
        });
        if changed {
            log::info!(holding = holding; "lease on orders changed hands");
        }
        self.holder_info.send_if_modified(|known| {
            let next = HolderInfo { holding, holder };
            let changed = *known != next;
            *known = next;
            changed
        });
    }

    /// Releases the lease, so that a successor need not wait for the term to end.
    async fn release(&self) {
        let (held, version) = {
            let lease = self.lock();
            (
                lease.fencing_token(self.gateway.now()).is_some(),
                lease.version(),
            )
        };
        self.lock().end_term();
        self.gateway.lease_held.send_replace(false);
        if held {
            let row = LeaseRow {
                released: true,
                ..self.own_row.clone()
            };
            let known = self.write(version, &row).await;
            log::info!(known = known; "lease on orders released");
        }
        // The others look for a successor once they can read that the lease is free.
        self.publish();
    }
}

fn parse(row: &Row) -> Option<LeaseRow> {
    match serde_json::from_str(&row.value) {
        Ok(row) => Some(row),
        Err(error) => {
            log::error!(key = row.key.as_str(), version = row.revision, error:% = error;
                "cannot decode the lease row; treating it as absent");
            None
        }
    }
}
