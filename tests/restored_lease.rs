//! The lease on orders when the store comes back from an older copy of its rows.

use std::time::Duration;

use brassrack::gateway::lease::{
    Echo, Echoes, Lease, LeaseAction, LeaseRow, LeaseTiming, Successors,
};
use brassrack::table::{era, revision};

const TERMS: LeaseTiming = LeaseTiming {
    term: Duration::from_secs(2),
    handover_delay: Duration::from_secs(3),
    claim_delay: Duration::ZERO,
};

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn row(holder: &str, era: u64) -> LeaseRow {
    LeaseRow {
        holder: holder.into(),
        address: ([127, 0, 0, 1], 9).into(),
        released: false,
        era,
        successors: None,
        heard: None,
        expiring: None,
    }
}

fn lease(name: &str) -> Lease {
    Lease::new(row(name, 0), TERMS)
}

/// First second at which a lease that observed a row at 10 s claims it.
fn claimed_at(lease: &Lease) -> Option<u64> {
    (10..40).find(|second| matches!(lease.next_action(at(*second)), LeaseAction::Write(_)))
}

/// Claimed after the longest time for which a holder goes on without the store, and the handover.
const LONGEST: Option<u64> = Some(27);
/// Claimed after the term and the handover.
const SOON: Option<u64> = Some(15);

/// Guards against ONE: the copy names an earlier holder, which claims its own row at once.
#[test]
fn own_row_of_a_copy() {
    let mut lease = lease("a");
    lease.observe(Some(row("a", 0)), revision(1, 4), at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

/// Guards against ONE: the copy names an instance that the holder has left out since.
#[test]
fn name_in_a_copy_proves_nothing() {
    let naming = LeaseRow {
        successors: Some(Successors::new(["a"])),
        expiring: Some(Successors::default()),
        ..row("b", 0)
    };
    let mut lease = lease("a");
    lease.observe(Some(naming.clone()), revision(1, 4), at(10));
    lease.record_read(Some(&naming), revision(1, 4), at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

/// An instance that the holder counted when the copy came back takes over after the term.
#[test]
fn counted_instance_takes_over_soon() {
    for (counted_ms, claimed) in [(8_000, LONGEST), (8_100, SOON), (11_000, SOON)] {
        let mut lease = lease("a");
        lease.observe(Some(row("b", 0)), revision(1, 4), at(10));
        lease.record_counted(Duration::from_millis(counted_ms));
        assert_eq!(claimed_at(&lease), claimed, "{counted_ms}");
    }
}

/// A row that was in force proves that its holder counts whom it names without an end, if it is of a
/// build that announces whom it leaves out.
#[test]
fn rows_in_force_prove() {
    let named = |names: &[&str]| Some(Successors::new(names.iter().copied()));
    let cases = [
        (named(&["a"]), named(&[]), SOON),
        (named(&["a"]), named(&["a"]), LONGEST),
        (named(&["c"]), named(&[]), LONGEST),
        (named(&[]), named(&[]), LONGEST),
        (named(&["a"]), None, LONGEST),
        (None, None, LONGEST),
    ];
    // A row that names nobody says the same of those whom it will name.
    let cases = cases.into_iter().flat_map(|(named, expiring, claimed)| {
        [
            (named.clone(), None, expiring.clone(), claimed),
            (None, named, expiring, claimed),
        ]
    });
    for (successors, heard, expiring, claimed) in cases {
        let row = LeaseRow {
            successors,
            heard,
            expiring,
            ..row("b", 0)
        };
        let mut lease = lease("a");
        lease.observe(Some(row.clone()), 900, at(9));
        lease.record_read(Some(&row), 900, at(9));
        lease.observe(Some(row.clone()), revision(1, 4), at(10));
        assert_eq!(claimed_at(&lease), claimed, "{row:?}");
    }
}

/// Guards against ONE: a write of the earlier era takes effect after the copy, and leaves out an
/// instance that was counted until then.
#[test]
fn late_write_ends_the_proof() {
    let mut lease = lease("a");
    lease.record_counted(at(9));
    lease.observe(Some(row("b", 0)), revision(1, 4), at(9));
    let late = LeaseRow {
        successors: Some(Successors::new(["c"])),
        ..row("b", 0)
    };
    lease.observe(Some(late), revision(1, 5), at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

/// Guards against ONE: the copy is from before the row was first written, and all claim it at once.
#[test]
fn missing_row_of_a_copy() {
    let mut lease = lease("a");
    lease.observe(None, revision(1, 0), at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

/// Guards against ONE: in the copy the lease is free, and it was taken since.
#[test]
fn released_row_of_a_copy() {
    let released = LeaseRow {
        released: true,
        ..row("b", 0)
    };
    let mut lease = lease("a");
    lease.observe(Some(released), revision(1, 4), at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

#[test]
fn holder_goes_on() {
    let mut lease = lease("a");
    lease.record_write(9, at(9));
    for copy in [None, Some(row("b", 0))] {
        let version = copy.as_ref().map_or(revision(1, 0), |_| revision(1, 4));
        let mut lease = lease.clone();
        assert!(lease.adopt_restored(copy.as_ref(), version, at(10)));
        assert_eq!(lease.next_action(at(10)), LeaseAction::Write(version));
        assert_eq!(lease.fencing_token(at(10)), Some(9));
        assert_eq!(lease.fencing_token(at(11)), None);
        lease.record_write(revision(1, 5), at(10));
        assert_eq!(lease.fencing_token(at(11)), Some(9));
    }
}

#[test]
fn holder_yields_to_a_successor() {
    let mut lease = lease("a");
    lease.record_write(9, at(9));
    assert!(!lease.adopt_restored(Some(&row("b", 1)), revision(1, 4), at(10)));
    assert!(!lease.adopt_restored(Some(&row("a", 0)), revision(1, 4), at(14)));
}

/// Guards against orders that wait for the longest time after a drill: the holder stood still beside it,
/// and sees the copy after the end of its term, before any other takes over.
#[test]
fn holder_that_stood_still_goes_on() {
    let mut lease = lease("a");
    lease.record_write(9, at(9));
    for copy in [None, Some(row("b", 0)), Some(row("a", 0))] {
        let version = copy.as_ref().map_or(revision(1, 0), |_| revision(1, 4));
        let mut lease = lease.clone();
        assert_eq!(lease.fencing_token(at(13)), None);
        assert!(lease.adopt_restored(copy.as_ref(), version, at(13)));
        assert_eq!(lease.fencing_token(at(13)), None);
        assert_eq!(lease.next_action(at(13)), LeaseAction::Write(version));
        lease.record_write(revision(1, 5), at(13));
        assert_eq!(lease.fencing_token(at(14)), Some(9));
    }
}

/// Guards against the longest wait where no holder can go on: one that claimed since would name nobody.
#[test]
fn free_lease_proves() {
    let free = LeaseRow {
        released: true,
        ..row("b", 0)
    };
    let mut lease = lease("a");
    lease.observe(Some(free.clone()), 900, at(9));
    lease.record_read(Some(&free), 900, at(9));
    lease.observe(Some(row("b", 0)), revision(1, 4), at(10));
    assert_eq!(claimed_at(&lease), SOON);
}

/// The same where this instance held the lease, and sees the copy after others may have claimed it.
#[test]
fn own_term_proves() {
    for (seen_ms, claimed) in [(10_000, SOON), (10_800, SOON), (11_000, LONGEST)] {
        let mut lease = lease("a");
        // Others claim from 9 s.
        lease.record_write(9, at(4));
        lease.record_era(1, Duration::from_millis(seen_ms));
        assert!(!lease.adopt_restored(Some(&row("a", 0)), revision(1, 4), at(10)));
        lease.observe(Some(row("a", 0)), revision(1, 4), at(10));
        assert_eq!(claimed_at(&lease), claimed, "{seen_ms}");
    }
}

/// The copy came back when its era was first seen, in whichever answer of the store.
#[test]
fn era_dates_the_copy() {
    let mut lease = lease("a");
    lease.record_counted(at(5));
    lease.record_era(1, at(6));
    lease.observe(Some(row("b", 0)), revision(1, 4), at(10));
    assert_eq!(claimed_at(&lease), SOON);
}

/// Guards against the longest wait after one drill upon another, where the row was seen unchanged in
/// between; and against ONE where it was not seen for the notice.
#[test]
fn unchanged_copy_keeps_the_proof() {
    for (seen, claimed) in [(7..=9, SOON), (9..=9, SOON), (7..=8, LONGEST)] {
        let mut lease = lease("a");
        lease.record_counted(at(6));
        lease.record_era(1, at(7));
        for second in seen.clone() {
            lease.observe(Some(row("b", 0)), revision(1, 4), at(second));
            lease.record_read(Some(&row("b", 0)), revision(1, 4), at(second));
        }
        lease.observe(Some(row("b", 0)), revision(2, 4), at(10));
        assert_eq!(claimed_at(&lease), claimed, "{seen:?}");
    }
}

/// Guards against ONE: a holder that wrote its row over a copy names others at once, and the next copy
/// has lost that.
#[test]
fn adopted_row_names_nobody() {
    let mut lease = lease("a");
    lease.record_write(9, at(4));
    lease.record_claim(at(4));
    let mut echoes = Echoes::default();
    let echo = Echo {
        heard_at: at(10),
        ..Echo::default()
    };
    echoes.record("b", echo);
    lease.record_write(10, at(9));
    assert!(echoes.name_successors(&lease, at(10)).is_some());
    assert!(lease.adopt_restored(Some(&row("a", 0)), revision(1, 4), at(10)));
    assert!(echoes.name_successors(&lease, at(10)).is_none());
    assert!(echoes.heard().is_some_and(|s| s.contains("b")));
    lease.record_write(revision(1, 5), at(10));
    lease.record_claim(at(11));
    assert!(echoes.name_successors(&lease, at(12)).is_none());
    assert!(echoes.name_successors(&lease, at(13)).is_some());
}

/// Guards against ONE: a holder that has released the lease, or seen another's row, takes it up again.
#[test]
fn ended_term_stays_ended() {
    let copy = row("a", 0);
    let mut released = lease("a");
    released.record_write(9, at(9));
    released.end_term();
    assert!(!released.adopt_restored(Some(&copy), revision(1, 4), at(10)));
    let mut followed = lease("a");
    followed.record_write(9, at(9));
    followed.observe(Some(row("b", 0)), 10, at(10));
    assert!(!followed.adopt_restored(Some(&copy), revision(1, 4), at(10)));
}

/// The fence rises, though the store gives out lower numbers again.
#[test]
fn fence_rises() {
    let mut lease = lease("a");
    lease.observe(Some(row("b", 0)), 900, at(1));
    lease.observe(Some(row("b", 0)), revision(1, 4), at(2));
    lease.record_write(revision(1, 5), at(8));
    assert!(lease.fencing_token(at(8)) > Some(900));
}

/// A linked instance waits for the holder, also where it has read the copy and the holder has not.
#[test]
fn link_outlives_the_copy() {
    let mut lease = lease("a");
    lease.observe(Some(row("b", 0)), revision(1, 4), at(1));
    lease.confirm_holder(row("b", 0), 900, at(10));
    assert_eq!(claimed_at(&lease), LONGEST);
}

/// A store of one row, with the numbers that it gives out and its copies.
#[derive(Default)]
struct Store {
    row: Option<LeaseRow>,
    number: u64,
    era: u64,
    copies: Vec<(Option<LeaseRow>, u64)>,
}

impl Store {
    fn version(&self) -> u64 {
        let number = self.row.as_ref().map_or(0, |_| self.number);
        revision(self.era, number)
    }

    /// Writes a row if its number is the expected one, whatever the era was meant to be.
    fn write(&mut self, name: &str, expected: u64) -> Option<u64> {
        let number = brassrack::table::number(expected);
        let current = self.row.as_ref().map_or(0, |_| self.number);
        if number != current {
            return None;
        }
        self.copies.push((self.row.clone(), self.number));
        self.row = Some(row(name, era(expected)));
        self.number += 1;
        Some(self.version())
    }

    fn restore(&mut self, back: usize) {
        let at = self.copies.len().saturating_sub(back);
        if let Some((row, number)) = self.copies.get(at).cloned() {
            (self.row, self.number) = (row, number);
            self.copies.truncate(at);
        }
        self.era += 1;
    }
}

/// Over any schedule of drills, outages and pauses, two instances never hold the lease at the same
/// time, a quiet time lies between them, and fences rise.
#[test]
fn one_holder() {
    arbtest::arbtest(|u| {
        let names = ["a", "b", "c"];
        let mut leases: Vec<Lease> = names.iter().map(|n| lease(n)).collect();
        let mut store = Store::default();
        let mut last: Option<(usize, Duration, u64)> = None;
        for tick in 0..300_u64 {
            let now = Duration::from_millis(tick * 200);
            if tick > 20 && u.ratio(1, 40)? {
                let back = u.int_in_range(1..=6)?;
                store.restore(back);
            }
            let which = u.choose_index(leases.len())?;
            if u.ratio(2, 3)? {
                let is_blind = u.ratio(1, 2)?;
                step(&mut leases[which], names[which], &mut store, is_blind, now);
            }
            for (holder, lease) in leases.iter().enumerate() {
                let Some(fence) = lease.fencing_token(now) else {
                    continue;
                };
                if let Some((before, until, earlier)) = last
                    && before != holder
                {
                    let quiet = now >= until + TERMS.handover_delay;
                    assert!(quiet, "{before} then {holder} at {now:?}");
                    assert!(fence > earlier, "fence {fence} after {earlier}");
                }
                last = Some((holder, now, fence));
            }
        }
        Ok(())
    });
}

/// What the renewal task does in one round: reads, and then writes.
///
/// A holder that `is_blind` does not know yet that its last write is gone.
fn step(lease: &mut Lease, name: &str, store: &mut Store, is_blind: bool, now: Duration) {
    let is_holding = lease.fencing_token(now).is_some();
    let is_stale = lease.version() != store.version();
    let goes_on = (is_holding && (is_blind || !is_stale))
        || lease.adopt_restored(store.row.as_ref(), store.version(), now);
    if !goes_on {
        lease.observe(store.row.clone(), store.version(), now);
    }
    let LeaseAction::Write(expected) = lease.next_action(now) else {
        return;
    };
    let Some(written) = store.write(name, expected) else {
        return;
    };
    if era(written) == era(expected) {
        lease.record_write(written, now);
    }
}
