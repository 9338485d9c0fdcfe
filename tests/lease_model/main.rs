//! The lease on orders under cuts, kills and freezes: at most one instance holds it at a time.
//!
//! Instances run the pure parts of the lease in simulated time. `LEASE_SEEDS=0-999` plays more seeds.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod world;

use std::time::Duration;

use crate::world::{CALM, CASE, FAULTS, FAULTS_AND_DRILLS, INSTANCES, TICK_MS, TIMING, World};

/// Time in which an instance takes over once all faults have ended: the longest extension, the
/// handover and a read.
const TAKEOVER: Duration = Duration::from_secs(18);

fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("LEASE_SEEDS").unwrap_or_else(|_| "0-299".into());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Plays all seeds with this number of kinds of faults.
fn play_all(faults: u32) {
    let mut held = 0;
    for seed in seeds() {
        let mut world = World::new(seed);
        world.faults = faults;
        world.play(seed, |world| {
            world.disturb();
            let (at, last_held) = (world.now, world.last_held);
            if at >= CALM + TAKEOVER {
                let is_held = last_held.is_some_and(|(_, last)| last + TIMING.term >= at);
                assert!(is_held, "seed {seed}: {last_held:?} at {at:?}");
            }
        });
        held += world.held_ticks;
    }
    let ticks = u64::try_from(CASE.as_millis()).unwrap() / TICK_MS * (seeds().count() as u64);
    println!("held {held} of {ticks} ticks");
}

/// Guards against ONE: the holder, cut off from the store, goes on by the echoes of some while an
/// instance that restarted, was cut off or is new takes over.
#[test]
fn one_holder_behind_cuts() {
    play_all(FAULTS);
}

/// Guards against ONE: an instance claims a row of an older copy of the store while the holder, which
/// has left it out since, goes on by the echoes of the others.
#[test]
fn one_holder_after_drills() {
    play_all(FAULTS_AND_DRILLS);
}

/// The time from a drill to the next holder where the one before was killed `lead` before the drill,
/// as seen by instances that all had links to it.
fn time_without_holder(lead: u64, age: u64) -> Duration {
    let mut world = World::new(3);
    let (killed_at, mut next_at) = (20_000, None);
    world.play(3, |world| {
        let at = u64::try_from(world.now.as_millis()).unwrap();
        if at == killed_at {
            let holder = world.last_held.unwrap().0;
            world.kill(holder, CASE);
        }
        if at == killed_at + lead {
            world.restore(Duration::from_millis(age), Duration::from_millis(300));
        }
        let held_at = world.last_held.map(|(_, at)| at);
        if next_at.is_none() && held_at > Some(Duration::from_millis(killed_at + 1000)) {
            next_at = held_at;
        }
    });
    let drill_at = Duration::from_millis(killed_at + lead);
    next_at.unwrap().saturating_sub(drill_at)
}

/// Guards against orders that wait for the longest time after each drill: a holder that ended beside it
/// is followed as soon as the store's term and the handover allow, as its successors knew it alive.
#[test]
fn holder_killed_beside_a_drill() {
    for lead in [0, 200, 500, 1000, 2000, 3000, 4500] {
        for age in [300, 2500, 4500] {
            let time = time_without_holder(lead, age);
            assert!(time < Duration::from_secs(7), "{lead} {age}: {time:?}");
        }
    }
}

/// Orders go on through outages of the store, also where an instance died some seconds before.
#[test]
fn outage_of_the_store_is_bridged() {
    for dies in [false, true] {
        let mut world = World::new(1);
        world.play(1, |world| {
            let at = world.now.as_millis();
            if dies && at == 16_000 {
                let holder = world.last_held.unwrap().0;
                world.kill((holder + 1) % INSTANCES, CASE);
            }
            if at == 20_000 {
                world.store_down_until = world.now + Duration::from_secs(9);
            }
            if (20_000..29_000).contains(&at) {
                let holder = &world.instances[world.last_held.unwrap().0];
                assert!(
                    holder.lease.fencing_token(world.now).is_some(),
                    "at {at} ms"
                );
            }
        });
    }
}

/// No instance waits for good: whoever is left gives orders some seconds after all others are gone.
#[test]
fn last_instance_takes_over() {
    for left in 0..INSTANCES {
        let mut world = World::new(2);
        world.play(2, |world| {
            if world.now.as_millis() == 20_000 {
                for n in (0..INSTANCES).filter(|n| *n != left) {
                    world.kill(n, CASE);
                }
            }
            if world.now.as_millis() == 45_000 {
                let lease = &world.instances[left].lease;
                assert!(lease.fencing_token(world.now).is_some(), "i{left}");
            }
        });
    }
}
