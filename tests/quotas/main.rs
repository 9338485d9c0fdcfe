//! Quotas of accounts: use in any window, and what is refused below the quota.
//!
//! `QUOTA_SEEDS=0-199 cargo test --release --test quotas` plays other seeds than CI.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

mod world;

use world::{END_MS, FAULT_MS, Fault, TRAFFIC_MS, World, at};

/// Seeds that CI plays.
const SEEDS: RangeInclusive<u64> = 0..=23;
/// Fewer than one in this many requests below the quota may be refused.
const REFUSED_OF: u64 = 200;
/// An account within its limit is served at least this many times less often than all.
const STARVED_FACTOR: f64 = 4.0;
/// Requests of an account from which the share that is served counts.
const MIN_REQUESTS: u64 = 8;
/// Accounts whose demand is a multiple of their quota.
const PRESSING_ACCOUNTS: [usize; 2] = [0, 2];

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("QUOTA_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    from.parse().unwrap_or(0)..=to.parse().unwrap_or(0)
}

fn instances(seed: u64) -> usize {
    [3, 8, 72, 350][usize::try_from(seed % 4).unwrap_or(0)]
}

/// Plays the seeds with a fault, and checks the use in all windows and that no account is starved.
fn check(fault: Fault) {
    let mut worst: f64 = 0.0;
    let mut above = Vec::new();
    let mut served = (0, 0);
    let mut served_least: f64 = 1.0;
    for seed in seeds() {
        let world = World::new(seed, instances(seed), fault).play();
        let mut all = (0, 0);
        let mut within = Vec::new();
        for (account, demand) in world.demands.iter().enumerate() {
            let (used, allowed) = world.worst_window(account);
            worst = worst.max(used / allowed);
            if used > allowed {
                above.push(format!(
                    "seed {seed}, {} instances: {used} of {allowed}, {demand:?}",
                    instances(seed)
                ));
            }
            if PRESSING_ACCOUNTS.contains(&account) {
                continue;
            }
            let (requests, refused) = world.refused_below(account, TRAFFIC_MS);
            all = (all.0 + requests, all.1 + refused);
            within.push((requests, refused));
            let (requests, refused) = world.refused_below(account, FAULT_MS);
            served = (served.0 + requests, served.1 + refused);
        }
        // Of fewer requests the share is chance.
        for (requests, refused) in within.into_iter().filter(|(n, _)| *n >= MIN_REQUESTS) {
            let share = served_share(requests, refused) / served_share(all.0, all.1);
            served_least = served_least.min(share);
        }
    }
    println!(
        "{fault:?}: at most {worst:.3} of what is allowed in a window; from the fault on {} of {} \
         requests below the quota refused; an account is served {served_least:.2} as often as all",
        served.1, served.0
    );
    assert!(above.is_empty(), "{fault:?}: {above:#?}");
    if fault != Fault::LoweredLimit {
        assert!(served_least * STARVED_FACTOR >= 1.0, "{served_least}");
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn served_share(requests: u64, refused: u64) -> f64 {
    if requests == 0 {
        return 1.0;
    }
    1.0 - refused as f64 / requests as f64
}

/// Guards against credit of several instances that adds up to more than the quota.
#[test]
fn quota_is_kept() {
    check(Fault::None);
}

/// Guards against credit of a dead instance that is granted a second time.
#[test]
fn quota_is_kept_after_deaths() {
    check(Fault::Death);
}

/// Guards against credit that a frozen instance uses after it has expired.
#[test]
fn quota_is_kept_after_freezes() {
    check(Fault::Freeze);
}

/// Guards against instances without a path to the holder that use more than their part.
#[test]
fn quota_is_kept_in_partitions() {
    check(Fault::Partition);
}

/// Guards against a new holder that grants what the last one had granted.
#[test]
fn quota_is_kept_at_a_takeover() {
    check(Fault::Takeover);
}

/// Guards against a burst for each instance after a restart of all.
#[test]
fn quota_is_kept_after_a_restart_of_all() {
    check(Fault::RestartOfAll);
}

/// Guards against credit of the higher limit that is used after a lower one binds.
#[test]
fn quota_is_kept_when_lowered() {
    check(Fault::LoweredLimit);
}

/// Guards against refusals below the quota, and against quotas that cannot be used up.
#[test]
fn requests_below_the_quota_are_served() {
    let mut below = BTreeMap::<&str, (u64, u64)>::new();
    for seed in seeds() {
        let world = World::new(seed, instances(seed), Fault::None).play();
        let seconds = world.instances.len() * 40;
        println!(
            "{} instances: {} and {} bytes a second to and from the holder for each",
            world.instances.len(),
            world.bytes.0 / seconds,
            world.bytes.1 / seconds
        );
        for (account, demand) in world.demands.iter().enumerate() {
            if PRESSING_ACCOUNTS.contains(&account) {
                let costs = world.sends[account].iter().map(|(_, cost)| cost);
                let admitted = costs.sum::<f64>();
                let offered = demand.quota.rate * at(END_MS - TRAFFIC_MS).as_secs_f64();
                assert!(
                    admitted >= 0.9 * offered,
                    "seed {seed}: {admitted} of {offered}, {demand:?}"
                );
                continue;
            }
            let (requests, refused) = world.refused_below(account, TRAFFIC_MS);
            let size = if account < 2 { "large" } else { "small" };
            let sum = below.entry(size).or_default();
            sum.0 += requests;
            sum.1 += refused;
        }
    }
    println!("requests below the quota, and refused ones: {below:?}");
    for (size, (requests, refused)) in below {
        assert!(
            refused * REFUSED_OF < requests,
            "{size}: {refused} of {requests} refused"
        );
    }
}
