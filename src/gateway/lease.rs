//! The lease of the one instance that gives orders to engines.
//!
//! The row's version at takeover is the fencing token. A holder stops by its own clock, which runs
//! while the machine is suspended; a successor waits for the term and for the time that orders
//! have to stay quiet between two holders.
//!
//! An instance with a link to the holder begins that wait only when the link is gone. So while the
//! store is away a holder goes on for as long as every instance that could succeed it was heard
//! within the term.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lengths of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time for which a renewal lasts; it carries orders through outages of the store this long.
    pub term: Duration,
    /// Time without orders between two holders.
    pub handover_delay: Duration,
    /// Time for which this instance leaves a free lease to stronger ones.
    pub claim_delay: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(2),
            handover_delay: Duration::from_secs(3),
            claim_delay: Duration::ZERO,
        }
    }
}

/// Renewals in a term: three may fail before the lease ends.
const RENEWALS_PER_TERM: u32 = 4;
/// Longest answer time of the store that a renewal allows for before the term's end.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Allowance for clocks that differ in speed over the term.
const CLOCK_DRIFT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Longest time that a holder goes on without the store; outages last up to nine seconds. It bounds
/// what an instance that started meanwhile and reaches only the store can do.
const MAX_EXTENSION: Duration = Duration::from_secs(14);

/// The row of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holding instance.
    pub holder: String,
    /// Address at which it serves other instances.
    pub address: SocketAddr,
    /// Whether it gave the lease back.
    pub released: bool,
}

/// What to do with the row now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing.
    Wait,
    /// Write it, if it still has this version.
    Write(u64),
}

/// What an instance knows of the lease.
#[derive(Debug, Clone)]
pub struct Lease {
    own_row: LeaseRow,
    timing: LeaseTiming,
    row: Option<LeaseRow>,
    version: u64,
    observed_at: Option<Duration>,
    fencing_token: Option<u64>,
    valid_until: Duration,
    renewed_at: Duration,
}

impl Lease {
    /// Nothing is known yet.
    #[must_use]
    pub const fn new(own_row: LeaseRow, timing: LeaseTiming) -> Self {
        Self {
            own_row,
            timing,
            row: None,
            version: 0,
            observed_at: None,
            fencing_token: None,
            valid_until: Duration::ZERO,
            renewed_at: Duration::ZERO,
        }
    }

    /// Takes over the row as read, with its version; version 0 where it does not exist.
    pub fn observe(&mut self, row: Option<LeaseRow>, version: u64, now: Duration) {
        if self.observed_at.is_some() && version == self.version {
            return;
        }
        self.fencing_token = None;
        self.row = row;
        self.version = version;
        self.observed_at = Some(now);
    }

    /// Takes over a write of this instance that was asked for at a time.
    pub fn record_write(&mut self, version: u64, requested_at: Duration) {
        self.row = Some(self.own_row.clone());
        self.version = version;
        self.observed_at = Some(requested_at);
        self.fencing_token.get_or_insert(version);
        self.valid_until = requested_at + self.timing.term;
        self.renewed_at = requested_at;
    }

    /// The fencing token, while orders may be given.
    #[must_use]
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        self.fencing_token
            .filter(|_| now + EXPIRY_MARGIN < self.valid_until)
    }

    /// Version of the row as last seen.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Stops giving orders.
    pub const fn expire(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// The holder as last seen, where it is another instance and has not given the lease back.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaseRow> {
        let row = self.row.as_ref()?;
        (row.holder != self.own_row.holder && !row.released).then_some(row)
    }

    /// Takes over what the holder told over a link: the row's version, and when that was heard.
    ///
    /// The wait for a takeover begins anew then.
    pub fn confirm_holder(&mut self, row: LeaseRow, version: u64, heard_at: Duration) {
        if version < self.version || self.fencing_token.is_some() {
            return;
        }
        self.row = Some(row);
        self.version = version;
        self.observed_at = self.observed_at.max(Some(heard_at));
    }

    /// Goes on without the store, where every possible successor was heard after a time.
    pub fn extend(&mut self, heard_at: Duration) {
        let bound = (heard_at + self.timing.term).saturating_sub(CLOCK_DRIFT_ALLOWANCE);
        let limit = self.renewed_at + MAX_EXTENSION;
        if self.fencing_token.is_some() {
            self.valid_until = self.valid_until.max(bound.min(limit));
        }
    }

    /// When the row was written last by this instance.
    #[must_use]
    pub const fn renewed_at(&self) -> Duration {
        self.renewed_at
    }

    /// What to do with the row now.
    #[must_use]
    pub fn next_action(&self, now: Duration) -> LeaseAction {
        let Some(observed_at) = self.observed_at else {
            return LeaseAction::Wait;
        };
        if self.fencing_token.is_some() {
            let due = now >= self.renewed_at + self.timing.term / RENEWALS_PER_TERM;
            return if due {
                LeaseAction::Write(self.version)
            } else {
                LeaseAction::Wait
            };
        }
        let claimable_at = self.claimable_at(observed_at);
        if now >= claimable_at {
            LeaseAction::Write(self.version)
        } else {
            LeaseAction::Wait
        }
    }

    /// When the row is free for this instance, if it was seen last at a time.
    fn claimable_at(&self, observed_at: Duration) -> Duration {
        let LeaseTiming {
            term,
            handover_delay,
            claim_delay,
        } = self.timing;
        match &self.row {
            None => observed_at + claim_delay,
            Some(row) if row.holder == self.own_row.holder => observed_at,
            Some(row) if row.released => observed_at + handover_delay + claim_delay,
            Some(_) => observed_at + term + handover_delay + claim_delay,
        }
    }

    /// Time until this instance has something to do, at most a given time.
    #[must_use]
    pub fn wait_time(&self, now: Duration, limit: Duration) -> Duration {
        let claimable_in = self
            .observed_at
            .map(|s| self.claimable_at(s).saturating_sub(now));
        // A row that is free and cannot be written is not tried without a pause.
        claimable_in
            .filter(|wait| !wait.is_zero())
            .unwrap_or(limit)
            .min(limit)
    }
}
