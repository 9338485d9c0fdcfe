//! Choice of the endpoint for a request, under stale reports and lossy cache events.

use std::time::Duration;

use brassrack::balancer::{Balancer, EndpointKey, Prefix};
use brassrack_standins::replay::outcome::quantile;
use brassrack_standins::replay::pick::{Way, measure};

const A: EndpointKey = EndpointKey(0);
const B: EndpointKey = EndpointKey(1);
const PREFIX: Prefix = Prefix(7);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn pair() -> Balancer {
    let mut pick = Balancer::default();
    pick.add_endpoint(A, true);
    pick.add_endpoint(B, true);
    pick
}

fn chosen(pick: &Balancer, prefix: Option<Prefix>, now: u64) -> Option<EndpointKey> {
    pick.choose(&[A, B], prefix, [0, 0], secs(now))
}

#[test]
fn nothing_is_chosen_among_none() {
    assert_eq!(pair().choose(&[], None, [3, 4], secs(0)), None);
}

#[test]
fn draws_reach_every_endpoint() {
    let among: Vec<EndpointKey> = (0..5).map(EndpointKey).collect();
    let mut pick = Balancer::default();
    for endpoint in &among {
        pick.add_endpoint(*endpoint, true);
        pick.record_load(*endpoint, 9, secs(1));
    }
    for (endpoint, i) in among.iter().zip(0..) {
        pick.record_load(*endpoint, 0, secs(2));
        assert_eq!(pick.choose(&among, None, [i, 0], secs(2)), Some(*endpoint));
        pick.record_load(*endpoint, 9, secs(3));
    }
}

#[test]
fn own_requests_count_on_top_of_an_old_report() {
    let mut pick = pair();
    pick.record_load(A, 1, secs(1));
    pick.record_load(B, 2, secs(1));
    pick.record_sent(A, None, secs(2));
    pick.record_sent(A, None, secs(2));
    assert_eq!(chosen(&pick, None, 3), Some(B));
}

#[test]
fn a_report_replaces_what_was_sent_before_it() {
    let mut pick = pair();
    pick.record_sent(A, None, secs(1));
    pick.record_load(A, 4, secs(2));
    pick.record_sent(A, None, secs(3));
    assert_eq!(pick.load(A), 5);
}

#[test]
fn reports_out_of_order_are_ignored() {
    let mut pick = pair();
    pick.record_load(A, 4, secs(2));
    pick.record_load(A, 9, secs(1));
    assert_eq!(pick.load(A), 4);
}

#[test]
fn own_requests_are_never_forgotten() {
    let mut pick = pair();
    pick.record_sent(A, None, secs(1));
    pick.record_load(A, 0, secs(2));
    assert_eq!(pick.load(A), 1);
}

#[test]
fn a_silent_endpoint_is_avoided() {
    let mut pick = pair();
    for n in 1..4 {
        pick.record_sent(A, None, secs(n));
        pick.record_load(A, 0, secs(n));
    }
    assert_eq!(chosen(&pick, None, 9), Some(B));
}

#[test]
fn a_slow_endpoint_is_avoided_until_its_speed_is_forgotten() {
    let mut pick = pair();
    pick.record_first_token(A, 0, secs(2), secs(1));
    pick.record_first_token(B, 0, secs(1), secs(1));
    pick.record_load(B, 1, secs(1));
    let cases = [(0, Some(A)), (1, Some(B))];
    for (load, expected) in cases {
        pick.record_load(A, load, secs(2));
        assert_eq!(chosen(&pick, None, 2), expected, "load {load}");
    }
}

#[test]
fn the_nearer_of_equals_is_chosen() {
    let mut pick = Balancer::default();
    pick.add_endpoint(A, false);
    pick.add_endpoint(B, true);
    assert_eq!(chosen(&pick, None, 1), Some(B));
}

#[test]
fn hints_draw_requests_but_do_not_bind() {
    let cases = [(0, Some(B)), (9, Some(A))];
    for (load, expected) in cases {
        let mut pick = pair();
        pick.record_cache_event(B, PREFIX, true, secs(1));
        pick.record_load(B, load, secs(1));
        assert_eq!(chosen(&pick, Some(PREFIX), 1), expected, "load {load}");
    }
}

#[test]
fn hints_end_when_dropped_or_old_or_gone() {
    let mut dropped = pair();
    dropped.record_cache_event(B, PREFIX, true, secs(1));
    dropped.record_cache_event(B, PREFIX, false, secs(2));
    let mut old = pair();
    old.record_cache_event(B, PREFIX, true, secs(1));
    let mut gone = pair();
    gone.record_cache_event(B, PREFIX, true, secs(1));
    gone.remove_endpoint(B);
    gone.add_endpoint(B, true);
    let cases = [
        ("dropped", dropped, 2),
        ("old", old, 3_600),
        ("gone", gone, 2),
    ];
    for (name, pick, now) in cases {
        assert_eq!(chosen(&pick, Some(PREFIX), now), Some(A), "{name}");
    }
}

#[test]
fn the_choice_beats_both_baselines_under_stale_reports() {
    for lag in [secs(1), secs(5)] {
        let tail = |way| quantile(&measure(way, lag, 1).waits, 990);
        let pick = tail(Way::Pick);
        for way in [Way::RoundRobin, Way::LeastReported] {
            assert!(pick < tail(way), "{way} at a lag of {lag:?}");
        }
    }
}
