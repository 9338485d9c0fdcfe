//! Parts of long prompts, after the first ones.

use brassrack::gateway::crash_parts::{CrashParts, PartId, part_ids};
use brassrack::gateway::link::{CrashEvidence, EndpointDeath};
use prost::Message;

use crate::fleet::{Fleet, at, endpoint};

/// Most parts in a head of 16 KiB.
const MOST_PARTS: usize = 7900;

/// A prompt of `count` parts that all share, with another part at one place.
fn prompt(count: usize, place: usize, part: &str) -> Vec<PartId> {
    let mut names: Vec<String> = (0..count).map(|n| format!("shared{n}")).collect();
    part.clone_into(&mut names[place]);
    part_ids(&names)
}

/// Three ends of endpoints, each under another request with a part at a place, and sound requests with
/// the same other parts beside them at both instances.
fn crash_three(fleet: &mut Fleet, count: usize, place: usize) -> u64 {
    for n in 0..3 {
        let now = 10_000 + n * 1500;
        let here = usize::try_from(n % 2).unwrap_or_default();
        let bad = prompt(count, place, "bad");
        fleet.instances[here].record_break(endpoint(n), n, &bad, at(now));
        for (instance, shift) in [(here, 300), (1 - here, 700)] {
            let sound = prompt(count, place, &format!("own{n}"));
            fleet.instances[instance].record_begun(endpoint(50), &sound, at(now + shift));
        }
        fleet.run(now + 100, now + 1400);
    }
    fleet.run(14_500, 15_500);
    15_500
}

/// Guards against BUDGET: a part after the eighth place is no evidence, and crashes engines for good.
#[test]
fn part_at_any_place_is_blamed() {
    let places = [(9, 8), (60, 40), (300, 250), (300, 299), (MOST_PARTS, 5000)];
    for (count, place) in places {
        let mut fleet = Fleet::default();
        let now = at(crash_three(&mut fleet, count, place));
        for instance in &mut fleet.instances {
            let refused = instance.refusal(&prompt(count, place, "bad"), now);
            assert_eq!(
                refused.map(|(index, _)| index),
                Some(place),
                "{count} parts"
            );
            let sound = instance.refusal(&prompt(count, place, "other"), now);
            assert_eq!(sound, None, "{place} of {count} parts");
        }
    }
}

/// Guards against sound requests that are refused: only another instance sees sound answers with the
/// parts that they share with requests which crash engines.
#[test]
fn sound_answers_elsewhere_clear_later_parts() {
    let mut fleet = Fleet::default();
    let (count, place) = (300, 250);
    for n in 0..5 {
        let now = 10_000 + n * 1500;
        let bad = prompt(count, place, "bad");
        fleet.instances[0].record_break(endpoint(n), n, &bad, at(now));
        let sound = prompt(count, place, &format!("own{n}"));
        fleet.instances[1].record_begun(endpoint(50), &sound, at(now + 700));
        fleet.run(now + 100, now + 1400);
    }
    fleet.run(17_500, 19_000);
    for instance in &mut fleet.instances {
        assert!(
            instance
                .refusal(&prompt(count, place, "bad"), at(19_000))
                .is_some()
        );
        let sound = instance.refusal(&prompt(count, place, "other"), at(19_000));
        assert_eq!(sound, None);
    }
}

/// Guards against processes that exceed their memory: heads with thousands of parts in all requests of
/// many endpoints that end.
#[test]
fn evidence_of_long_prompts_is_bounded() {
    let mut known = CrashParts::default();
    known.apply_notice(
        &CrashEvidence {
            reads_later: true,
            ..CrashEvidence::default()
        },
        at(9_000),
    );
    for n in 0..64_u64 {
        let names: Vec<String> = (0..MOST_PARTS).map(|part| format!("{n}x{part}")).collect();
        known.record_break(endpoint(n / 8), n, &part_ids(&names), at(10_000 + n));
    }
    let report = known.report(true, at(11_000));
    let (deaths, bytes) = (report.deaths.len(), report.encoded_len());
    assert!(deaths > 1 && bytes < 65_536, "{bytes} bytes");
    let requests = report.deaths.iter().flat_map(|d| &d.requests);
    let later: usize = requests.map(|r| r.later_parts.len()).sum();
    assert!((1..=2048).contains(&later), "{later} parts");
}

/// A lease holder of an earlier build reads nine digests of a request: suspects take the places of
/// first parts, so that it finds a later one.
#[test]
fn earlier_holder_is_told_of_suspects() {
    let mut known = CrashParts::default();
    known.apply_notice(&CrashEvidence::default(), at(9_000));
    let bad = prompt(300, 250, "bad");
    known.record_break(endpoint(1), 7, &bad, at(10_000));
    known.record_begun(endpoint(50), &prompt(300, 250, "own"), at(10_100));
    known.judge(at(10_200));
    let parts = |now| -> Vec<PartId> {
        let report = known.report(false, now);
        let requests = |d: &EndpointDeath| d.requests.clone();
        let all = report.deaths.iter().flat_map(requests);
        all.flat_map(|r| r.parts).collect()
    };
    assert_eq!(parts(at(10_200)).len(), 9);
    assert_eq!(parts(at(10_600)), [bad[0], bad[250], 7]);
    assert_eq!(parts(at(12_900)), [bad[0], bad[250], 7]);
    assert!(parts(at(13_100)).is_empty());
}

/// Guards against BUDGET: the requests beside the one with the bad part fill the report, so that the
/// lease holder never learns of the part.
#[test]
fn part_among_many_long_prompts_is_reported() {
    let mut fleet = Fleet::default();
    for n in 0..4 {
        let now = 10_000 + n * 1500;
        for other in 0..40 {
            let names: Vec<String> = (0..300).map(|part| format!("{n}x{other}x{part}")).collect();
            let request = 1000 + n * 100 + other;
            fleet.instances[0].record_break(endpoint(n), request, &part_ids(&names), at(now));
        }
        let mut names: Vec<String> = (0..300).map(|part| format!("{n}y{part}")).collect();
        "bad".clone_into(&mut names[250]);
        fleet.instances[0].record_break(endpoint(n), n, &part_ids(&names), at(now));
        fleet.run(now + 100, now + 1400);
    }
    fleet.run(16_000, 17_500);
    let refused = fleet.instances[1].refusal(&part_ids(&["bad".to_owned()]), at(17_500));
    assert!(refused.is_some());
}

/// Guards against BUDGET: a part that recurs is cut from the evidence, as there is too much of it.
#[test]
fn recurring_part_outlives_the_bound() {
    let mut known = CrashParts::default();
    for n in 0..4 {
        let now = at(10_000 + n * 1500);
        for other in 0..60 {
            let names: Vec<String> = (0..300).map(|part| format!("{n}x{other}x{part}")).collect();
            known.record_break(endpoint(n), 1000 + n * 100 + other, &part_ids(&names), now);
        }
        let mut names: Vec<String> = (0..MOST_PARTS).map(|part| format!("{n}y{part}")).collect();
        "bad".clone_into(&mut names[5000]);
        known.record_break(endpoint(n), n, &part_ids(&names), now);
    }
    known.judge(at(16_000));
    let refused = known.refusal(&part_ids(&["bad".to_owned()]), at(16_000));
    assert!(refused.is_some());
}
