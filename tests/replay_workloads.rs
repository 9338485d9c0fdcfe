//! Replay of workloads in model time: limits, accounting and repeatability.

use std::time::Duration;

use brassrack::rules::PriorityClass;
use brassrack_standins::replay::arrivals::Workload;
use brassrack_standins::replay::outcome::Outcome;
use brassrack_standins::replay::run::Replay;
use brassrack_standins::replay::scheme::{Keep, Scheme};
use brassrack_standins::replay::site::{GIB, Site};
use brassrack_standins::replay::store::Store;

const SEED: u64 = 3;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A short stretch of a smaller deployment.
fn site() -> Site {
    Site {
        bases: 20,
        adapters: 20,
        servers: 4,
        span: Duration::from_hours(48),
        warmup: Duration::from_hours(24),
        ..Site::papirnica()
    }
}

fn replay(scheme: Scheme) -> Outcome {
    let site = site();
    let work = Workload::new(&site, SEED);
    let mut outcome = Replay::new(&site, &work, scheme).run();
    outcome.sort();
    outcome
}

fn fixed(minutes: u64) -> Outcome {
    replay(Scheme::keep(Keep::Fixed(Duration::from_mins(minutes))))
}

#[test]
fn a_seed_gives_one_outcome() {
    assert_eq!(replay(Scheme::policy(0.1)), replay(Scheme::policy(0.1)));
}

#[test]
fn seeds_differ() {
    let site = site();
    let [a, b] = [1, 2].map(|seed| Workload::new(&site, seed).requests);
    assert_ne!(a, b);
}

#[test]
fn every_request_is_counted_once() {
    let site = site();
    let measured = Workload::new(&site, SEED)
        .requests
        .iter()
        .filter(|r| r.at >= site.warmup && r.class != PriorityClass::Batch)
        .count();
    let schemes = [
        Scheme::policy(0.1),
        Scheme::keep(Keep::Never),
        Scheme::keep(Keep::Always),
    ];
    for scheme in schemes {
        // Those that still wait at the end are not counted.
        let counted = replay(scheme).waits.len();
        assert!(
            (measured - 10..=measured).contains(&counted),
            "{}: {counted} of {measured}",
            scheme.name()
        );
    }
}

#[test]
fn nightly_jobs_are_done_by_morning() {
    let outcome = replay(Scheme::policy(0.1));
    assert_eq!((outcome.batch > 0, outcome.late), (true, 0));
}

#[test]
fn nothing_idles_without_keep_alive() {
    assert!(replay(Scheme::keep(Keep::Never)).idle_hours() < 0.01);
}

#[test]
fn idle_hours_grow_with_the_keep_alive() {
    let idle = [1, 10, 60].map(|m| fixed(m).idle_hours());
    assert!(idle.is_sorted(), "{idle:?}");
}

#[test]
fn idle_hours_fall_and_the_tail_grows_with_the_idle_weight() {
    let [low, high] = [0.02, 0.5].map(|idle| replay(Scheme::policy(idle)));
    assert!(low.idle_hours() > high.idle_hours());
    assert!(low.wait(990) < high.wait(990));
}

#[test]
fn the_policy_idles_less_than_a_fixed_time_with_its_tail() {
    let fixed = fixed(60);
    let best = [0.05, 0.1, 0.2]
        .map(|idle| replay(Scheme::policy(idle)))
        .into_iter()
        .filter(|o| o.wait(990) <= fixed.wait(990))
        .map(|o| o.idle_hours())
        .fold(f64::INFINITY, f64::min);
    assert!(best <= 0.6 * fixed.idle_hours(), "{best}");
}

#[test]
fn loads_with_a_free_slot_take_their_own_time() {
    let outcome = replay(Scheme::policy(0.1));
    assert!(outcome.own(990) <= 1.1, "{}", outcome.own(990));
}

#[test]
fn store_times_follow_its_slow_hours() {
    let slow = secs(100)..secs(140);
    let cases = [
        ("before", 0, 10, 10),
        ("after", 140, 10, 150),
        ("within", 100, 5, 120),
        ("into", 95, 10, 120),
        ("across", 95, 20, 145),
        ("out of", 120, 10, 145),
    ];
    for (name, start, gib, end) in cases {
        let mut store = Store::new(GIB, 4, vec![slow.clone()]);
        assert_eq!(store.start(secs(start), gib * GIB), secs(end), "{name}");
    }
}

#[test]
fn store_starts_are_spaced() {
    let mut store = Store::new(GIB, 4, Vec::new());
    store.start(secs(1), GIB);
    assert_eq!(store.next(), secs(1) + Duration::from_millis(250));
}
