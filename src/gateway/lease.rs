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
pub struct Terms {
    /// Time for which a renewal lasts; it carries orders through outages of the store this long.
    pub term: Duration,
    /// Time without orders between two holders.
    pub quiet: Duration,
    /// Time for which this instance leaves a free lease to stronger ones.
    pub handicap: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(2),
            quiet: Duration::from_secs(3),
            handicap: Duration::ZERO,
        }
    }
}

/// Renewals in a term: three may fail before the lease ends.
const RENEWALS: u32 = 4;
/// Longest answer time of the store that a renewal allows for before the term's end.
const MARGIN: Duration = Duration::from_millis(100);

/// Allowance for clocks that differ in speed over the term.
const VOUCH_LAG: Duration = Duration::from_millis(50);
/// Longest time that a holder goes on without the store; outages last up to nine seconds. It bounds
/// what an instance that started meanwhile and reaches only the store can do.
const EXTENDED_MOST: Duration = Duration::from_secs(14);

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
pub enum Step {
    /// Nothing.
    Wait,
    /// Write it, if it still has this version.
    Write(u64),
}

/// What an instance knows of the lease.
#[derive(Debug, Clone)]
pub struct Lease {
    me: LeaseRow,
    terms: Terms,
    row: Option<LeaseRow>,
    version: u64,
    seen: Option<Duration>,
    fence: Option<u64>,
    until: Duration,
    renewed: Duration,
}

impl Lease {
    /// Nothing is known yet.
    #[must_use]
    pub const fn new(me: LeaseRow, terms: Terms) -> Self {
        Self {
            me,
            terms,
            row: None,
            version: 0,
            seen: None,
            fence: None,
            until: Duration::ZERO,
            renewed: Duration::ZERO,
        }
    }

    /// Takes over the row as read, with its version; version 0 where it does not exist.
    pub fn observe(&mut self, row: Option<LeaseRow>, version: u64, now: Duration) {
        if self.seen.is_some() && version == self.version {
            return;
        }
        self.fence = None;
        self.row = row;
        self.version = version;
        self.seen = Some(now);
    }

    /// Takes over a write of this instance that was asked for at a time.
    pub fn granted(&mut self, version: u64, asked: Duration) {
        self.row = Some(self.me.clone());
        self.version = version;
        self.seen = Some(asked);
        self.fence.get_or_insert(version);
        self.until = asked + self.terms.term;
        self.renewed = asked;
    }

    /// The fencing token, while orders may be given.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<u64> {
        self.fence.filter(|_| now + MARGIN < self.until)
    }

    /// Version of the row as last seen.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Stops giving orders.
    pub const fn end(&mut self) {
        self.until = Duration::ZERO;
    }

    /// The holder as last seen, where it is another instance and has not given the lease back.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaseRow> {
        let row = self.row.as_ref()?;
        (row.holder != self.me.holder && !row.released).then_some(row)
    }

    /// Takes over what the holder told over a link: the row's version, and when that was heard.
    ///
    /// The wait for a takeover begins anew then.
    pub fn vouch(&mut self, row: LeaseRow, version: u64, heard: Duration) {
        if version < self.version || self.fence.is_some() {
            return;
        }
        self.row = Some(row);
        self.version = version;
        self.seen = self.seen.max(Some(heard));
    }

    /// Goes on without the store, where every possible successor was heard after a time.
    pub fn extend(&mut self, heard: Duration) {
        let bound = (heard + self.terms.term).saturating_sub(VOUCH_LAG);
        let most = self.renewed + EXTENDED_MOST;
        if self.fence.is_some() {
            self.until = self.until.max(bound.min(most));
        }
    }

    /// When the row was written last by this instance.
    #[must_use]
    pub const fn renewed(&self) -> Duration {
        self.renewed
    }

    /// What to do with the row now.
    #[must_use]
    pub fn step(&self, now: Duration) -> Step {
        let Some(seen) = self.seen else {
            return Step::Wait;
        };
        if self.fence.is_some() {
            let due = now >= self.renewed + self.terms.term / RENEWALS;
            return if due {
                Step::Write(self.version)
            } else {
                Step::Wait
            };
        }
        let free_at = self.free_at(seen);
        if now >= free_at {
            Step::Write(self.version)
        } else {
            Step::Wait
        }
    }

    /// When the row is free for this instance, if it was seen last at a time.
    fn free_at(&self, seen: Duration) -> Duration {
        let Terms {
            term,
            quiet,
            handicap,
        } = self.terms;
        match &self.row {
            None => seen + handicap,
            Some(row) if row.holder == self.me.holder => seen,
            Some(row) if row.released => seen + quiet + handicap,
            Some(_) => seen + term + quiet + handicap,
        }
    }

    /// Time until this instance has something to do, at most a given time.
    #[must_use]
    pub fn pause(&self, now: Duration, most: Duration) -> Duration {
        let free_in = self.seen.map(|s| self.free_at(s).saturating_sub(now));
        // A row that is free and cannot be written is not tried without a pause.
        free_in.filter(|f| !f.is_zero()).unwrap_or(most).min(most)
    }
}
