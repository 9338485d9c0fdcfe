//! Requests that are sent again as they are.

use brassrack::gateway::crash_parts::CrashParts;

use crate::fleet::{Fleet, at, endpoint, is_refused, parts};

/// A request without parts breaks at endpoint after endpoint, from 10 s on, at either instance in turn.
fn breaks(fleet: &mut Fleet, endpoints: &[u64], request: u64) {
    for (n, endpoint) in (0..).zip(endpoints) {
        let now = 10_000 + n * 1000;
        let here = usize::try_from(n % 2).unwrap_or_default();
        fleet.instances[here].record_break(*endpoint, request, &[], at(now));
        fleet.run(now + 100, now + 900);
    }
}

fn refuses(fleet: &Fleet, request: u64, now: u64) -> [bool; 2] {
    [0, 1].map(|n| {
        fleet.instances[n]
            .request_refusal(request, at(now))
            .is_some()
    })
}

/// Guards against BUDGET: one request that crashes three endpoints is stopped at all instances.
#[test]
fn crashing_request_is_refused() {
    let mut fleet = Fleet::default();
    breaks(&mut fleet, &[endpoint(1), endpoint(2)], 77);
    assert_eq!(refuses(&fleet, 77, 12_000), [false, false]);
    breaks(&mut fleet, &[endpoint(1), endpoint(2), endpoint(3)], 77);
    fleet.run(13_000, 13_400);
    assert_eq!(refuses(&fleet, 77, 13_500), [true, true]);
    assert_eq!(refuses(&fleet, 78, 13_500), [false, false]);
}

/// The instance that saw all three ends refuses the request at once.
#[test]
fn third_end_counts_at_once() {
    let mut known = CrashParts::default();
    for n in 1..=3 {
        assert_eq!(known.request_refusal(77, at(10_000 + n)), None);
        known.record_break(endpoint(n), 77, &[], at(10_000 + 300 * n));
    }
    assert!(known.request_refusal(77, at(10_901)).is_some());
}

/// Guards against Starved: three lost answers of endpoints that go on answering others were counted
/// as crashes, and the request was refused everywhere for good.
#[test]
fn lost_answers_are_no_crashes() {
    let mut fleet = Fleet::default();
    for n in 0..12 {
        let now = 10_000 + n * 1000;
        fleet.instances[0].record_break(endpoint(n % 3), 77, &[], at(now));
        fleet.instances[0].record_alive(endpoint(n % 3), at(now + 600));
        fleet.run(now + 100, now + 900);
        assert_eq!(refuses(&fleet, 77, now + 900), [false, false], "{n}");
    }
}

/// Guards against a verdict that rests on endpoints which turn out to live: they answer others again
/// after the request was refused.
#[test]
fn answers_lift_the_refusal() {
    let mut fleet = Fleet::default();
    breaks(&mut fleet, &[endpoint(1), endpoint(2), endpoint(3)], 77);
    fleet.run(13_000, 13_800);
    assert_eq!(refuses(&fleet, 77, 13_800), [true, true]);
    fleet.instances[1].record_alive(endpoint(3), at(14_000));
    fleet.run(14_000, 15_000);
    assert_eq!(refuses(&fleet, 77, 15_000), [false, false]);
}

/// A popular request that is on crashing endpoints by chance is answered elsewhere.
#[test]
fn answered_request_is_no_cause() {
    let mut fleet = Fleet::default();
    for n in 0..6 {
        let now = 10_000 + n * 1000;
        fleet.instances[0].record_break(endpoint(n), 77, &[], at(now));
        fleet.run(now + 100, now + 300);
        fleet.instances[1].record_whole(77, at(now + 400));
        fleet.run(now + 500, now + 900);
    }
    assert_eq!(refuses(&fleet, 77, 16_000), [false, false]);
}

/// The refusal of a request that crashes endpoints ends after a time, and is renewed by one more end.
#[test]
fn refusal_ends() {
    let mut fleet = Fleet::default();
    breaks(&mut fleet, &[endpoint(1), endpoint(2), endpoint(3)], 77);
    fleet.run(13_000, 13_400);
    let later = 10_000 + 15 * 60_000;
    assert_eq!(refuses(&fleet, 77, later), [false, false]);
    fleet.instances[0].record_break(endpoint(4), 77, &[], at(later));
    fleet.run(later, later + 1000);
    assert_eq!(refuses(&fleet, 77, later + 1000), [true, true]);
}

/// The part of a request that crashes endpoints again and again is not blamed with it.
#[test]
fn repeated_request_keeps_its_parts() {
    let mut fleet = Fleet::default();
    for n in 1..=4 {
        let now = at(10_000 + n * 1000);
        fleet.instances[0].record_break(endpoint(n), 77, &parts(&["sys", "a"]), now);
        fleet.run(10_000 + n * 1000, 10_800 + n * 1000);
    }
    assert_eq!(refuses(&fleet, 77, 15_000), [true, true]);
    assert!(!is_refused(
        &mut fleet.instances[1],
        &["sys", "a"],
        at(15_000)
    ));
}
