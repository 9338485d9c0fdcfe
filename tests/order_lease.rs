//! The lease of the instance that gives orders to engines.

use std::time::Duration;

use brassrack::gateway::lease::{Lease, LeaseAction, LeaseRow, LeaseTiming, Successors};

const TERMS: LeaseTiming = LeaseTiming {
    term: Duration::from_secs(5),
    handover_delay: Duration::from_secs(3),
    claim_delay: Duration::ZERO,
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn row(holder: &str) -> LeaseRow {
    LeaseRow {
        holder: holder.into(),
        address: ([127, 0, 0, 1], 7).into(),
        released: false,
        era: 0,
        successors: None,
        heard: None,
        expiring: None,
    }
}

fn lease() -> Lease {
    Lease::new(row("me"), TERMS)
}

#[test]
fn free_row_is_claimed() {
    let mut lease = lease();
    lease.observe(None, 0, at(1));
    assert_eq!(lease.next_action(at(1)), LeaseAction::Write(0));
}

/// Pattern: instances of unequal strength start together; the holder plans for all of them.
#[test]
fn weak_instance_claims_later() {
    let terms = LeaseTiming {
        claim_delay: Duration::from_secs(1),
        ..TERMS
    };
    let mut lease = Lease::new(row("me"), terms);
    lease.observe(None, 0, at(1));
    assert_eq!(lease.next_action(at(1)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(2)), LeaseAction::Write(0));
}

#[test]
fn fence_is_the_claim() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    lease.record_write(9, at(2));
    assert_eq!(lease.fencing_token(at(3)), Some(7));
}

#[test]
fn term_ends_by_clock() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    assert_eq!(lease.fencing_token(at(6)), None);
}

/// A successor's first order comes later than the quiet time after the last one that may have left.
#[test]
fn takeover_waits() {
    let mut lease = lease();
    lease.observe(Some(row("other")), 4, at(10));
    assert_eq!(lease.next_action(at(17)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(18)), LeaseAction::Write(4));
}

#[test]
fn renewal_restarts_the_wait() {
    let mut lease = lease();
    lease.observe(Some(row("other")), 4, at(10));
    lease.observe(Some(row("other")), 5, at(17));
    assert_eq!(lease.next_action(at(20)), LeaseAction::Wait);
}

#[test]
fn released_row_waits_quiet() {
    let mut lease = lease();
    let given_back = LeaseRow {
        released: true,
        era: 0,
        ..row("other")
    };
    lease.observe(Some(given_back), 4, at(10));
    assert_eq!(lease.next_action(at(12)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(13)), LeaseAction::Write(4));
}

/// The same machine's new process is the same holder.
#[test]
fn own_row_is_taken_again() {
    let mut lease = lease();
    lease.observe(Some(row("me")), 4, at(10));
    assert_eq!(lease.next_action(at(10)), LeaseAction::Write(4));
}

#[test]
fn lost_row_ends_orders() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    lease.observe(Some(row("other")), 8, at(2));
    assert_eq!(lease.fencing_token(at(2)), None);
}

/// Over any schedule of outages and pauses, two instances never hold the fence at the same time,
/// and a quiet time lies between them.
#[test]
fn one_holder() {
    arbtest::arbtest(|u| {
        let names = ["a", "b", "c"];
        let mut leases: Vec<Lease> = names.iter().map(|n| Lease::new(row(n), TERMS)).collect();
        let mut stored: (Option<LeaseRow>, u64) = (None, 0);
        let mut last: Option<(usize, Duration)> = None;
        for tick in 0..300_u64 {
            let now = Duration::from_millis(tick * 200);
            let which = u.choose_index(leases.len())?;
            if u.ratio(2, 3)? {
                let lease = &mut leases[which];
                if lease.fencing_token(now).is_none() {
                    lease.observe(stored.0.clone(), stored.1, now);
                }
                if let LeaseAction::Write(version) = lease.next_action(now)
                    && version == stored.1
                {
                    stored = (Some(row(names[which])), stored.1 + 1);
                    lease.record_write(stored.1, now);
                }
            }
            for (holder, lease) in leases.iter().enumerate() {
                if lease.fencing_token(now).is_none() {
                    continue;
                }
                if let Some((before, until)) = last
                    && before != holder
                {
                    assert!(
                        now >= until + TERMS.handover_delay,
                        "{before} then {holder} at {now:?}"
                    );
                }
                last = Some((holder, now));
            }
        }
        Ok(())
    });
}

/// Pattern: the store is away for all; the holder goes on while every successor is heard.
#[test]
fn links_carry_the_lease() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    lease.extend(at(8));
    assert_eq!(lease.fencing_token(at(12)), Some(7));
    assert_eq!(lease.fencing_token(at(13)), None);
}

#[test]
fn extension_is_bounded() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    lease.extend(at(60));
    assert_eq!(lease.fencing_token(at(16)), None);
}

/// A successor that had a link begins its wait only when the link is gone.
#[test]
fn linked_successor_waits_anew() {
    let mut lease = lease();
    lease.observe(Some(row("other")), 4, at(10));
    lease.confirm_holder(row("other"), 4, at(17));
    lease.observe(Some(row("other")), 4, at(18));
    assert_eq!(lease.next_action(at(24)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(25)), LeaseAction::Write(4));
}

/// Guards against ONE: the holder, whose last write took effect without an answer, goes on by the echoes of
/// an instance that has read that write and counts its wait from then.
#[test]
fn holder_behind_its_row_is_waited_for() {
    let mut lease = lease();
    lease.observe(Some(row("other")), 5, at(10));
    lease.confirm_holder(row("other"), 4, at(17));
    assert_eq!(lease.next_action(at(24)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(25)), LeaseAction::Write(5));
}

/// A holder that was followed delays nobody.
#[test]
fn followed_holder_is_not_waited_for() {
    let mut lease = lease();
    let followed = LeaseRow {
        address: ([127, 0, 0, 1], 8).into(),
        ..row("before")
    };
    lease.observe(Some(row("other")), 5, at(10));
    lease.confirm_holder(followed, 4, at(17));
    assert_eq!(lease.next_action(at(18)), LeaseAction::Write(5));
}

/// Pattern: the holder freezes. The successor claims the row when the wait ends, not at the next
/// of its reads.
#[test]
fn successor_wakes_when_the_row_is_free() {
    let mut lease = lease();
    lease.observe(Some(row("other")), 4, at(1));
    let most = Duration::from_millis(800);
    assert_eq!(lease.wait_time(at(2), most), most);
    let soon = Duration::from_millis(300);
    assert_eq!(lease.wait_time(at(9).saturating_sub(soon), most), soon);
    assert_eq!(lease.wait_time(at(9), most), most);
}

/// Guards against ONE: echoes of linked instances prolonged a lease that its holder had released.
#[test]
fn released_lease_is_not_extended() {
    let mut lease = lease();
    lease.record_write(7, at(1));
    lease.end_term();
    lease.extend(at(2));
    assert_eq!(lease.fencing_token(at(2)), None);
    assert_eq!(lease.term(), None);
}

/// An instance that the row leaves out waits until the holder cannot go on any longer.
#[test]
fn unnamed_instance_waits_longest() {
    let mut lease = lease();
    let named = |names: &[&str]| LeaseRow {
        successors: Some(Successors::new(names.iter().copied())),
        ..row("other")
    };
    lease.observe(Some(named(&["third"])), 4, at(10));
    assert_eq!(lease.next_action(at(26)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(27)), LeaseAction::Write(4));
    lease.observe(Some(named(&["third", "me"])), 5, at(30));
    assert_eq!(lease.next_action(at(38)), LeaseAction::Write(5));
    lease.observe(Some(named(&[])), 6, at(40));
    assert_eq!(lease.next_action(at(48)), LeaseAction::Write(6));
}

/// What a link says of the holder does not replace the names in the row.
#[test]
fn names_outlive_a_link() {
    let mut lease = lease();
    let others = LeaseRow {
        successors: Some(Successors::new(["third"])),
        ..row("other")
    };
    lease.confirm_holder(row("other"), 4, at(10));
    lease.observe(Some(others), 4, at(12));
    assert_eq!(lease.next_action(at(18)), LeaseAction::Wait);
    assert_eq!(lease.next_action(at(27)), LeaseAction::Write(4));
}
