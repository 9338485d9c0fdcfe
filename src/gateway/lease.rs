//! Lease that lets a single instance send orders to engines.
//!
//! The version of the lease row at takeover is the fencing token. The holder stops at the end of
//! the term by its own clock, which keeps running while the machine is suspended. A successor waits
//! for the term and then for the handover delay, during which no orders may be sent.
//!
//! An instance with a link to the holder starts this wait only once the link is lost. During a
//! store outage the holder may therefore continue as long as it has heard from every possible
//! successor within the term. The row names these. An instance that it leaves out waits for the
//! longest time that the holder may continue, and then for the handover delay.
//!
//! A row names the era in which it was written. One from an earlier era than its version is an older
//! copy that the store came back from: the holder, or another one, may have written since, and named
//! other successors. Such a row proves nothing about who holds the lease or whom the holder hears. An
//! instance claims it after the term only if it knows by itself that any holder counted it when the copy
//! came back, or named nobody. Less than the notice before that, one of these was so: the holder
//! confirmed a report of it, a row that was in force named it, the lease was free, or this instance held
//! it. Such a proof lasts as long as the copy is seen unchanged, as nobody leaves an instance out without
//! writing for the notice. All others wait for the longest time that the holder may continue. A holder
//! whose term still runs writes its own row over the copy; for the notice it then names nobody.

use std::time::Duration;

use crate::table;

mod echoes;
mod row;
mod successors;

pub use echoes::{Echo, Echoes};
pub use row::LeaseRow;
use row::is_restored;
pub use successors::Successors;

/// Durations that govern the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Validity of a renewal; orders continue through store outages of up to this length.
    pub term: Duration,
    /// Time without orders between two consecutive holders.
    pub handover_delay: Duration,
    /// Extra time before this instance claims a free lease, which lets more powerful ones go first.
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

/// Renewal attempts per term: three may fail before the lease expires.
const RENEWALS_PER_TERM: u32 = 4;
/// Time before the end of the term at which orders stop.
///
/// It covers the longest response time of the store that a renewal allows for.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Allowance for clocks that run at different speeds over a term.
const CLOCK_DRIFT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Longest time that the holder continues without renewing the row in the store.
///
/// Outages of the store last up to nine seconds. An instance that the row does not name waits for
/// this time before it takes over.
const MAX_EXTENSION: Duration = Duration::from_secs(14);

/// Time for which the holder announces in its rows that it will leave an instance out, and for which a
/// new holder names nobody.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Time for which an instance that the holder counted is surely still counted.
const PROOF_TIME: Duration = Duration::from_millis(1900);

/// Next action on the lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing.
    Wait,
    /// Write the row if it still has this version.
    Write(u64),
}

/// Lease state as known to this instance.
#[derive(Debug, Clone)]
pub struct Lease {
    own_row: LeaseRow,
    timing: LeaseTiming,
    row: Option<LeaseRow>,
    version: u64,
    /// Newest era of the store that is known, and since when.
    era_known: Option<(u64, Duration)>,
    /// Time by which the store had come back from an older copy, if the row comes from one.
    restored_at: Option<Duration>,
    /// Last time at which any holder is known to have counted this instance among its successors, or to
    /// have named none.
    counted_at: Option<Duration>,
    observed_at: Option<Duration>,
    fencing_token: Option<u64>,
    valid_until: Duration,
    renewed_at: Duration,
    claimed_at: Duration,
    /// Whether this instance has yet to write its own row over an older copy.
    adopted: bool,
}

impl Lease {
    /// Creates the state before the row is first read.
    #[must_use]
    pub const fn new(own_row: LeaseRow, timing: LeaseTiming) -> Self {
        Self {
            own_row,
            timing,
            row: None,
            version: 0,
            era_known: None,
            restored_at: None,
            counted_at: None,
            observed_at: None,
            fencing_token: None,
            valid_until: Duration::ZERO,
            renewed_at: Duration::ZERO,
            claimed_at: Duration::ZERO,
            adopted: false,
        }
    }

    /// Records the era that the store's newest answer names.
    pub fn record_era(&mut self, era: u64, now: Duration) {
        if self.era_known.is_none_or(|(known, _)| known < era) {
            self.era_known = Some((era, now));
        }
    }

    /// Records the row as read from the store; if it does not exist, the version is number 0 of its
    /// era.
    ///
    /// A new version ends this instance's own hold and restarts the wait for a takeover.
    pub fn observe(&mut self, row: Option<LeaseRow>, version: u64, now: Duration) {
        if self.observed_at.is_some() && version == self.version {
            if self.fencing_token.is_none() && row.is_some() {
                // A link does not say whom the row names.
                self.row = row;
            }
            return;
        }
        let restored = is_restored(row.as_ref(), version);
        if self.fencing_token.take().is_some() && restored {
            self.record_counted(self.valid_until + self.timing.handover_delay);
        }
        let era = table::era(version);
        let is_same_era = self.observed_at.is_some() && era == table::era(self.version);
        let first_seen = self.restored_at.filter(|_| is_same_era);
        self.record_era(era, now);
        let known_since = self.era_known.filter(|(known, _)| *known == era);
        self.restored_at = first_seen
            .or(known_since.map(|(_, since)| since))
            .or(Some(now))
            .filter(|_| restored);
        self.row = row;
        self.version = version;
        self.observed_at = Some(now);
        if first_seen.is_some() && !self.is_successor() {
            // A write of the earlier era that took effect in this one is newer than what was known.
            self.counted_at = None;
        }
    }

    /// Records what the row that was just observed says about this instance; `requested_at` is the time of
    /// the request by which it was read.
    ///
    /// One that is in force names this instance, or says that the lease is free. An older copy says
    /// nothing by itself, as it may no longer have been in force; one that is still there shows that no
    /// holder has written since, and so keeps a proof that this instance had of it.
    pub fn record_read(&mut self, row: Option<&LeaseRow>, version: u64, requested_at: Duration) {
        let proves = if is_restored(row, version) {
            version == self.version && self.restored_at.is_some() && !self.lacks_proof()
        } else {
            row.is_some_and(|r| r.released || r.promises(&self.own_row.holder))
        };
        if proves {
            self.record_counted(requested_at);
        }
    }

    /// Records that the holder counted this instance among its successors at a time.
    pub fn record_counted(&mut self, at: Duration) {
        self.counted_at = self.counted_at.max(Some(at));
    }

    /// Whether the row comes from an older copy of the store.
    #[must_use]
    pub const fn is_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Whether the row is an older copy which does not tell if this instance takes over after the term.
    #[must_use]
    pub fn lacks_proof(&self) -> bool {
        self.restored_at.is_some_and(|restored_at| {
            self.counted_at
                .is_none_or(|counted_at| counted_at + PROOF_TIME < restored_at)
        })
    }

    /// Records the row as read from the store by the holder; returns whether its term goes on, or can be
    /// taken up again.
    ///
    /// A row of an earlier era is no successor's until the handover delay after the holder's term has
    /// passed, as each one waits for both. A write over that row fails if another takes the lease until
    /// then. `now` is the time of the response.
    pub fn adopt_restored(&mut self, row: Option<&LeaseRow>, version: u64, now: Duration) -> bool {
        let followed_from = self.valid_until + self.timing.handover_delay;
        let is_unfollowed = now + EXPIRY_MARGIN < followed_from;
        if self.fencing_token.is_none() || !is_unfollowed || !is_restored(row, version) {
            return false;
        }
        self.adopted = true;
        self.version = version;
        self.renewed_at = self.renewed_at.min(now.saturating_sub(self.timing.term));
        true
    }

    /// Records a successful write by this instance; the term starts when it was requested.
    pub fn record_write(&mut self, version: u64, requested_at: Duration) {
        self.row = Some(self.own_row.clone());
        self.restored_at = None;
        self.version = version;
        self.observed_at = Some(requested_at);
        if self.fencing_token.is_none() {
            self.fencing_token = Some(version);
            self.claimed_at = requested_at;
        }
        self.valid_until = requested_at + self.timing.term;
        self.renewed_at = requested_at;
    }

    /// Whether the next write begins a term, or takes one up again after an older copy.
    #[must_use]
    pub const fn is_claim(&self) -> bool {
        self.fencing_token.is_none() || self.adopted
    }

    /// Records when the response to such a write arrived; successors are named some time after.
    pub fn record_claim(&mut self, answered_at: Duration) {
        self.claimed_at = self.claimed_at.max(answered_at);
        self.adopted = false;
    }

    /// Fencing token, as long as this instance may send orders.
    #[must_use]
    pub fn fencing_token(&self, now: Duration) -> Option<u64> {
        self.fencing_token
            .filter(|_| now + EXPIRY_MARGIN < self.valid_until)
    }

    /// Fencing token of this instance's term, also where its validity has run out.
    ///
    /// As long as it stays the same, no other instance has held the lease.
    #[must_use]
    pub const fn term(&self) -> Option<u64> {
        self.fencing_token
    }

    /// Last known version of the row.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Ends the term for good, so that no further orders are sent.
    pub const fn end_term(&mut self) {
        self.valid_until = Duration::ZERO;
        self.fencing_token = None;
        self.adopted = false;
    }

    /// Last known holder, if it is another instance and has not released the lease.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaseRow> {
        let row = self.row.as_ref()?;
        (row.holder != self.own_row.holder && !row.released).then_some(row)
    }

    /// Records the row version that the holder sent over a link, and when it was received.
    ///
    /// This restarts the wait for a takeover from that time, also where the holder does not know yet that
    /// its newest write took effect.
    pub fn confirm_holder(&mut self, row: LeaseRow, version: u64, heard_at: Duration) {
        if self.fencing_token.is_some() {
            return;
        }
        if version >= self.version {
            self.row = Some(row);
            self.restored_at = None;
            self.version = version;
        } else if self.restored_at.is_none()
            && self.row.as_ref().map(|r| r.address) != Some(row.address)
        {
            return;
        }
        self.observed_at = self.observed_at.max(Some(heard_at));
    }

    /// Extends the term without a write to the store.
    ///
    /// `heard_at` is a time after which this instance has heard from every possible successor.
    pub fn extend(&mut self, heard_at: Duration) {
        let bound = (heard_at + self.timing.term).saturating_sub(CLOCK_DRIFT_ALLOWANCE);
        let limit = self.renewed_at + MAX_EXTENSION;
        if self.fencing_token.is_some() {
            self.valid_until = self.valid_until.max(bound.min(limit));
        }
    }

    /// Request time of the last successful write by this instance.
    #[must_use]
    pub const fn renewed_at(&self) -> Duration {
        self.renewed_at
    }

    /// Time from which the write that began this instance's term is known to have taken effect.
    #[must_use]
    pub const fn claimed_at(&self) -> Duration {
        self.claimed_at
    }

    /// Whether the row names this instance among those that take over after the term.
    #[must_use]
    pub fn is_successor(&self) -> bool {
        let named = self.row.as_ref().and_then(|r| r.successors.as_ref());
        named.is_none_or(|s| s.is_empty() || s.contains(&self.own_row.holder))
    }

    /// Returns the action to take on the row now.
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

    /// Time from which this instance may claim a row that was last observed at `observed_at`.
    fn claimable_at(&self, observed_at: Duration) -> Duration {
        let LeaseTiming {
            term,
            handover_delay,
            claim_delay,
        } = self.timing;
        let longest_wait = MAX_EXTENSION.max(term) + handover_delay + claim_delay;
        match &self.row {
            _ if self.lacks_proof() => observed_at + longest_wait,
            _ if self.restored_at.is_some() => observed_at + term + handover_delay + claim_delay,
            None => observed_at + claim_delay,
            Some(row) if row.holder == self.own_row.holder => observed_at,
            Some(row) if row.released => observed_at + handover_delay + claim_delay,
            Some(_) if self.is_successor() => observed_at + term + handover_delay + claim_delay,
            Some(_) => observed_at + longest_wait,
        }
    }

    /// Time until the row becomes claimable, at most `limit`.
    #[must_use]
    pub fn wait_time(&self, now: Duration, limit: Duration) -> Duration {
        let claimable_in = self
            .observed_at
            .map(|s| self.claimable_at(s).saturating_sub(now));
        // A row that is claimable but could not be written is not retried without a delay.
        claimable_in
            .filter(|wait| !wait.is_zero())
            .unwrap_or(limit)
            .min(limit)
    }
}
