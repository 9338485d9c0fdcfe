//! Parts of prompts.

use std::time::Duration;

use brassrack::gateway::crash_parts::CrashParts;
use brassrack::gateway::link::{CrashEvidence, DemandReport, FleetUpdate};
use prost::Message;

use crate::fleet::{Fleet, SETTLED, at, endpoint, is_refused, parts};

/// Guards against BUDGET: requests that share one part only crash endpoint after endpoint, while
/// sound ones share the endpoints, the first part and the other parts.
#[test]
fn part_is_blamed_everywhere() {
    let mut fleet = Fleet::default();
    for n in 0..3 {
        let now = 10_000 + n * 1000;
        let here = usize::try_from(n % 2).unwrap_or_default();
        fleet.instances[here].record_break(endpoint(n), n, &parts(&["sys", "bad"]), at(now));
        fleet.instances[1 - here].record_break(endpoint(n), 90 + n, &parts(&["sys", "a"]), at(now));
        let other = endpoint(50);
        fleet.instances[here].record_begun(other, &parts(&["sys", "a"]), at(now + 200));
        fleet.run(now + 100, now + 900);
    }
    fleet.run(13_000, 14_000);
    for instance in &mut fleet.instances {
        assert!(is_refused(instance, &["sys", "bad"], at(14_000)));
        assert!(is_refused(instance, &["sys2", "bad"], at(14_000)));
        assert!(!is_refused(instance, &["sys", "a"], at(14_000)));
        assert!(!is_refused(instance, &["sys"], at(14_000)));
    }
}

fn deaths(known: &mut CrashParts, names: &[&str], times: &[u64]) {
    for (n, time) in (0_u64..).zip(times) {
        known.record_break(endpoint(n), n, &parts(names), at(*time));
    }
}

/// Endpoints that end at the same time, as in a crash wave, are one event.
#[test]
fn crash_wave_blames_nobody() {
    let mut known = CrashParts::default();
    deaths(
        &mut known,
        &["sys", "rare"],
        &[10_000, 10_020, 10_050, 10_090],
    );
    known.judge(at(12_000));
    assert!(!is_refused(&mut known, &["sys", "rare"], at(12_000)));
}

/// A part with which an answer began after its endpoints had ended is not their cause.
#[test]
fn sound_answer_clears() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "shared"], &[10_000, 11_000]);
    known.record_begun(endpoint(9), &parts(&["sys", "shared"]), at(11_500));
    known.record_break(endpoint(7), 7, &parts(&["sys", "shared"]), at(12_000));
    known.judge(at(14_000));
    assert!(!is_refused(&mut known, &["sys", "shared"], at(14_000)));
}

/// Connections that an endpoint closes while it goes on answering are no end of it.
#[test]
fn resets_of_a_living_endpoint() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "rare"], &[10_000, 11_000, 12_000]);
    for n in 0..3 {
        known.record_begun(endpoint(n), &parts(&["sys"]), at(13_000));
    }
    known.judge(at(14_000));
    assert!(!is_refused(&mut known, &["sys", "rare"], at(14_000)));
}

/// One request that is sent again and again says nothing about its parts.
#[test]
fn one_request_blames_no_part() {
    let mut known = CrashParts::default();
    for n in 0..4 {
        known.record_break(endpoint(n), 1, &parts(&["sys", "a"]), at(10_000 + n * 1000));
    }
    known.judge(at(15_000));
    assert!(!is_refused(&mut known, &["sys", "a"], at(15_000)));
}

/// Many broken connections of one endpoint are one end.
#[test]
fn one_endpoint_counts_once() {
    let mut known = CrashParts::default();
    for n in 0..9 {
        known.record_break(endpoint(1), n, &parts(&["sys", "a"]), at(10_000 + n * 300));
    }
    known.judge(at(14_000));
    assert!(!is_refused(&mut known, &["sys", "a"], at(14_000)));
}

/// A part that was on the endpoints beside a blamed one is explained by it.
#[test]
fn blame_explains_the_others() {
    let mut known = CrashParts::default();
    deaths(
        &mut known,
        &["sys", "bad"],
        &[10_000, 11_000, 12_000, 13_000],
    );
    for n in 0..3 {
        known.record_break(
            endpoint(n),
            20 + n,
            &parts(&["sys", "rare"]),
            at(10_001 + n * 1000),
        );
    }
    known.judge(at(15_000));
    assert!(is_refused(&mut known, &["sys", "bad"], at(15_000)));
    assert!(!is_refused(&mut known, &["sys", "rare"], at(15_000)));
}

/// Two parts at once are both found, and the first part that they share is not blamed.
#[test]
fn two_parts_at_once() {
    let mut known = CrashParts::default();
    for n in 0..8 {
        let bad = ["bad1", "bad2"][usize::try_from(n % 2).unwrap_or_default()];
        known.record_break(endpoint(n), n, &parts(&["sys", bad]), at(10_000 + n * 600));
    }
    known.judge(at(17_000));
    assert!(is_refused(&mut known, &["x", "bad1"], at(17_000)));
    assert!(is_refused(&mut known, &["x", "bad2"], at(17_000)));
    assert!(!is_refused(&mut known, &["sys"], at(17_000)));
}

/// A new holder learns what is blamed, and what is not proved yet, from the instances.
#[test]
fn new_holder_learns() {
    let mut fleet = Fleet::default();
    deaths(
        &mut fleet.instances[0],
        &["sys", "bad"],
        &[10_000, 11_000, 12_000],
    );
    fleet.run(12_100, 13_500);
    fleet.instances[1].record_break(endpoint(30), 1, &parts(&["sys", "next"]), at(13_000));
    fleet.instances[1].record_break(endpoint(31), 2, &parts(&["sys", "next"]), at(13_200));
    fleet.run(13_300, 13_500);
    let now = at(40_000);
    let mut holder = CrashParts::default();
    for instance in &fleet.instances {
        let first = instance.report(true, now);
        let decoded = CrashEvidence::decode(first.encode_to_vec().as_slice());
        assert_eq!(decoded.as_ref(), Ok(&first));
        holder.merge(&first, now, now);
    }
    assert!(is_refused(&mut holder, &["sys", "bad"], now));
    holder.record_break(endpoint(32), 3, &parts(&["sys", "next"]), now);
    let later = now + SETTLED;
    holder.judge(later);
    assert!(is_refused(&mut holder, &["sys", "next"], later));
}

/// An instance without a lease holder judges by itself.
#[test]
fn alone_without_a_holder() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "bad"], &[10_000, 11_000, 12_000]);
    assert!(is_refused(&mut known, &["sys", "bad"], at(13_000)));
}

/// A request is sent once only while one of its parts is close to a verdict.
#[test]
fn suspect_is_sent_once() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "bad"], &[10_000]);
    assert!(!known.is_suspect(&parts(&["sys", "bad"]), at(10_100)));
    deaths(&mut known, &["sys", "bad"], &[10_000, 11_000]);
    assert!(known.is_suspect(&parts(&["sys", "bad"]), at(11_000)));
    assert!(!known.is_suspect(&parts(&["sys", "a"]), at(11_000)));
}

/// After the time of a blame, one more death renews it for longer.
#[test]
fn blame_ends_and_is_renewed() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "bad"], &[10_000, 11_000, 12_000]);
    known.judge(at(13_000));
    let (_, left) = known
        .refusal(&parts(&["sys", "bad"]), at(13_000))
        .unwrap_or_default();
    assert!(left >= Duration::from_mins(5));
    let over = at(13_000) + left;
    assert!(!is_refused(&mut known, &["sys", "bad"], over));
    known.record_break(endpoint(9), 9, &parts(&["sys", "bad"]), over);
    known.judge(over + SETTLED);
    let again = known.refusal(&parts(&["sys", "bad"]), over + SETTLED);
    assert!(again.is_some_and(|(_, longer)| longer > left));
}

/// A caller that sends ever new parts takes nothing from others.
#[test]
fn many_parts_are_bounded() {
    let mut known = CrashParts::default();
    deaths(&mut known, &["sys", "bad"], &[10_000, 11_000, 12_000]);
    for n in 0..100_000_u64 {
        let new = parts(&["sys", &format!("new{n}")]);
        known.record_begun(endpoint(8), &new, at(12_000));
        known.record_break(endpoint(7), n, &new, at(12_100));
    }
    known.judge(at(14_000));
    assert!(is_refused(&mut known, &["sys", "bad"], at(14_000)));
    let report = known.report(true, at(14_000)).encoded_len();
    assert!(report < 16_384, "{report} bytes");
}

/// Messages of instances without these fields are read, and an empty report adds no bytes.
#[test]
fn older_messages_are_read() {
    let old = DemandReport {
        instance: "a".into(),
        ..DemandReport::default()
    };
    let read = DemandReport::decode(old.encode_to_vec().as_slice());
    assert_eq!(read.map(|r| r.crashes), Ok(None));
    let update = FleetUpdate::decode([].as_slice());
    assert_eq!(update.map(|u| u.crashes), Ok(None));
}

/// Guards against a blame that rests on endpoints which turn out to live: they answer others again.
#[test]
fn answers_lift_the_blame_of_a_part() {
    let mut fleet = Fleet::default();
    for n in 1..=3 {
        let now = at(10_000 + n * 1000);
        fleet.instances[0].record_break(endpoint(n), n, &parts(&["sys", "a"]), now);
    }
    fleet.run(13_000, 14_400);
    assert!(is_refused(
        &mut fleet.instances[1],
        &["sys", "a"],
        at(14_400)
    ));
    fleet.instances[1].record_alive(endpoint(2), at(14_600));
    fleet.run(14_600, 15_400);
    assert!(!is_refused(
        &mut fleet.instances[1],
        &["sys", "a"],
        at(15_400)
    ));
}
