//! Rules by which the roster of the members changes.

use std::collections::BTreeSet;
use std::time::Duration;

use brassrack::instances::{Listed, OWN_SERVICE, Standing};
use brassrack::members::MemberState::{Dead, Leaving, Live, Suspect};
use brassrack::members::{Member, MemberState, Roster, RosterSettings, neighbours};

const SECOND: Duration = Duration::from_secs(1);

fn member(name: &str, incarnation: u64, state: MemberState) -> Member {
    Member {
        name: name.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        region: "osrednja".into(),
        domain: "vic".into(),
        incarnation,
        state,
        rules: 0,
    }
}

fn roster(name: &str) -> Roster {
    Roster::new(RosterSettings::default(), member(name, 1, Live))
}

fn listed(name: &str, standing: Standing) -> Listed {
    Listed {
        name: name.into(),
        service: OWN_SERVICE.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        domain: "vic".into(),
        region: "osrednja".into(),
        standing,
    }
}

/// Ticks through a span in steps of 100 ms.
fn run(roster: &mut Roster, watched: &[&str], from: Duration, to: Duration) {
    let watched: BTreeSet<String> = watched.iter().map(ToString::to_string).collect();
    let mut now = from;
    while now <= to {
        roster.tick(&watched, now);
        now += SECOND / 10;
    }
}

fn state(roster: &Roster, name: &str) -> Option<MemberState> {
    roster.get(name).map(|member| member.state)
}

#[test]
fn updates_win_by_incarnation_then_state() {
    let cases = [
        ((2, Live), (1, Dead), (2, Live), false),
        ((2, Live), (2, Live), (2, Live), false),
        ((2, Live), (2, Suspect), (2, Suspect), true),
        ((2, Live), (2, Leaving), (2, Leaving), true),
        ((2, Live), (2, Dead), (2, Suspect), true),
        ((2, Suspect), (2, Live), (2, Suspect), false),
        ((2, Suspect), (2, Dead), (2, Suspect), false),
        ((2, Suspect), (3, Live), (3, Live), true),
        ((2, Leaving), (2, Suspect), (2, Leaving), false),
        ((2, Leaving), (2, Dead), (2, Dead), true),
        ((2, Leaving), (3, Live), (3, Live), true),
    ];
    for (known, update, result, changed) in cases {
        let mut roster = roster("a");
        let start = if known.1 == Live {
            known
        } else {
            (known.0, Live)
        };
        roster.merge(member("b", start.0, start.1), SECOND);
        roster.merge(member("b", known.0, known.1), SECOND);
        let news = roster.merge(member("b", update.0, update.1), SECOND);
        let b = roster.get("b").unwrap();
        let seen = ((b.incarnation, b.state), news);
        assert_eq!(seen, (result, changed), "{known:?} {update:?}");
    }
}

#[test]
fn unknown_members_that_are_gone_are_not_remembered() {
    for gone in [Leaving, Dead] {
        let mut roster = roster("a");
        assert!(!roster.merge(member("b", 1, gone), SECOND));
    }
}

#[test]
fn update_against_oneself_is_answered() {
    let cases = [
        ((1, Live), 1, false),
        ((0, Dead), 1, false),
        ((1, Suspect), 2, true),
        ((1, Dead), 2, true),
        ((5, Live), 6, true),
        ((5, Leaving), 6, true),
    ];
    for (update, incarnation, changed) in cases {
        let mut roster = roster("a");
        let news = roster.merge(member("a", update.0, update.1), SECOND);
        let seen = (roster.me().incarnation, news);
        assert_eq!(seen, (incarnation, changed), "{update:?}");
    }
}

#[test]
fn silence_leads_to_suspicion_and_death_in_bounded_time() {
    let mut roster = roster("a");
    roster.merge(member("b", 1, Live), Duration::ZERO);
    run(&mut roster, &["b"], Duration::ZERO, SECOND * 3);
    assert_eq!(state(&roster, "b"), Some(Live));
    run(&mut roster, &["b"], SECOND * 3, SECOND * 5);
    assert_eq!(state(&roster, "b"), Some(Suspect));
    assert!(roster.live().contains_key("b"));
    run(&mut roster, &["b"], SECOND * 5, SECOND * 7);
    assert_eq!(state(&roster, "b"), Some(Dead));
}

#[test]
fn members_that_are_not_watched_are_left_to_others() {
    let mut roster = roster("a");
    roster.merge(member("b", 1, Live), Duration::ZERO);
    run(&mut roster, &[], Duration::ZERO, SECOND * 60);
    assert_eq!(state(&roster, "b"), Some(Live));
}

#[test]
fn own_pause_is_no_silence_of_the_others() {
    let mut roster = roster("a");
    roster.merge(member("b", 1, Live), Duration::ZERO);
    run(&mut roster, &["b"], Duration::ZERO, SECOND);
    run(&mut roster, &["b"], SECOND * 120, SECOND * 121);
    assert_eq!(state(&roster, "b"), Some(Live));
}

#[test]
fn parted_sides_that_meet_again_lose_nobody() {
    let (mut a, mut b) = (roster("a"), roster("b"));
    a.merge(b.me().clone(), Duration::ZERO);
    b.merge(a.me().clone(), Duration::ZERO);
    run(&mut a, &["b"], Duration::ZERO, SECOND * 10);
    run(&mut b, &["a"], Duration::ZERO, SECOND * 10);
    assert_eq!((state(&a, "b"), state(&b, "a")), (Some(Dead), Some(Dead)));
    let now = SECOND * 11;
    let told_by_a = a.get("b").unwrap().clone();
    let told_by_b = b.get("a").unwrap().clone();
    assert!(b.merge(told_by_a, now) && a.merge(told_by_b, now));
    assert!(a.merge(b.me().clone(), now) && b.merge(a.me().clone(), now));
    assert_eq!((state(&a, "b"), state(&b, "a")), (Some(Live), Some(Live)));
}

#[test]
fn list_adds_unknown_instances_and_those_that_leave() {
    let mut roster = roster("a");
    let live = [listed("b", Standing::Live)];
    assert_eq!(roster.merge_list(&live, Duration::ZERO), ["b"]);
    assert!(roster.merge_list(&live, SECOND).is_empty());
    let leaving = [listed("b", Standing::Leaving)];
    assert_eq!(roster.merge_list(&leaving, SECOND * 2), ["b"]);
    assert!(!roster.live().contains_key("b"));
}

#[test]
fn restarted_instance_that_is_still_listed_as_leaving_is_live() {
    let mut roster = roster("a");
    let leaving = [listed("b", Standing::Leaving)];
    roster.merge_list(&[listed("b", Standing::Live)], Duration::ZERO);
    roster.merge_list(&leaving, SECOND);
    assert!(roster.merge(member("b", 2, Live), SECOND * 2));
    assert!(roster.merge_list(&leaving, SECOND * 3).is_empty());
    assert!(roster.live().contains_key("b"));
}

#[test]
fn dead_member_stays_dead_while_it_is_listed() {
    let mut roster = roster("a");
    let list = [listed("b", Standing::Live)];
    roster.merge_list(&list, Duration::ZERO);
    run(&mut roster, &["b"], Duration::ZERO, SECOND * 10);
    for minute in 1..60 {
        let now = SECOND * 60 * minute;
        assert!(roster.merge_list(&list, now).is_empty());
        roster.tick(&BTreeSet::new(), now);
    }
    assert_eq!(state(&roster, "b"), Some(Dead));
}

#[test]
fn dead_member_is_forgotten_when_it_is_listed_no_more() {
    let mut roster = roster("a");
    roster.merge(member("b", 1, Live), Duration::ZERO);
    run(&mut roster, &["b"], Duration::ZERO, SECOND * 10);
    roster.tick(&BTreeSet::new(), SECOND * 700);
    assert_eq!(state(&roster, "b"), None);
}

#[test]
fn rules_version_of_a_member_grows_within_an_incarnation() {
    let mut roster = roster("a");
    for (incarnation, rules, seen) in [(1, 4, 4), (1, 3, 4), (1, 6, 6), (2, 5, 5)] {
        let update = Member {
            rules,
            ..member("b", incarnation, Live)
        };
        roster.merge(update, SECOND);
        assert_eq!(roster.get("b").unwrap().rules, seen);
    }
}

#[test]
fn neighbours_are_mutual_and_few() {
    let live: BTreeSet<String> = (0..350).map(|i| format!("entry-{i}")).collect();
    for me in &live {
        let mine = neighbours(me, &live, 4);
        let links = mine.near.len() + mine.far.len();
        assert!(mine.near.len() == 8 && links <= 14, "{links}");
        let mutual = |peer: &String| neighbours(peer, &live, 4).contains(me);
        assert!(mine.near.iter().chain(&mine.far).take(3).all(mutual));
    }
}

#[test]
fn every_instance_is_reached_within_a_few_steps() {
    for (count, steps) in [(8, 1), (32, 3), (350, 6)] {
        let live: BTreeSet<String> = (0..count).map(|i| format!("entry-{i}")).collect();
        let mut reached = BTreeSet::from(["entry-0".to_string()]);
        for _ in 0..steps {
            let next: Vec<String> = reached
                .iter()
                .map(|name| neighbours(name, &live, 4))
                .flat_map(|n| n.near.into_iter().chain(n.far))
                .collect();
            reached.extend(next);
        }
        assert_eq!(reached.len(), count, "{steps} steps");
    }
}
