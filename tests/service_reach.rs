//! Whether a service is out of reach, from the last connects to its endpoints.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack::gateway::reach::{ServiceReach, choose_probes};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Outcome of the last connect to an endpoint, and the time since then.
type Outcome = Option<(bool, Duration)>;

/// Tries an endpoint; none where it was never tried.
fn tried(opened: Option<bool>, age_ms: u64) -> Outcome {
    opened.map(|opened| (opened, Duration::from_millis(age_ms)))
}

fn failed(age_ms: u64) -> Outcome {
    tried(Some(false), age_ms)
}

fn opened(age_ms: u64) -> Outcome {
    tried(Some(true), age_ms)
}

fn is_cut_off(outcomes: &[Option<(bool, Duration)>]) -> bool {
    ServiceReach::new(outcomes).is_cut_off()
}

#[test]
fn untried_endpoints_are_in_reach() {
    assert!(!is_cut_off(&[None, None, None]));
}

#[test]
fn no_endpoint_is_no_cut() {
    assert!(!is_cut_off(&[]));
}

/// Pattern: two of nine endpoints have crashed.
#[test]
fn two_of_nine_have_crashed() {
    let mut outcomes = [None; 9];
    (outcomes[0], outcomes[1]) = (failed(10), failed(20));
    assert!(!is_cut_off(&outcomes));
}

/// Pattern: the instance lost its path after connections to all endpoints had been opened.
#[test]
fn older_connections_prove_nothing() {
    assert!(is_cut_off(&[
        failed(10),
        failed(700),
        failed(900),
        opened(950)
    ]));
}

/// Pattern: the path is back; a probe is the first to show it.
#[test]
fn one_probe_ends_a_cut() {
    assert!(!is_cut_off(&[
        failed(300),
        failed(700),
        failed(900),
        opened(0)
    ]));
}

#[test]
fn small_service_is_cut_off() {
    assert!(is_cut_off(&[failed(10)]));
}

#[test]
fn old_failures_do_not_count() {
    assert!(!is_cut_off(&[failed(5000), failed(6000), failed(100)]));
}

/// One failed connect is enough to look closer.
#[test]
fn failed_connect_is_suspect() {
    assert!(ServiceReach::new(&[failed(10), None, None]).is_suspect());
}

#[test]
fn later_connection_lifts_the_suspicion() {
    assert!(!ServiceReach::new(&[failed(10), opened(5), None]).is_suspect());
}

/// Guards against a lease holder that gives up the lease as a quarter of its engines has crashed:
/// no connect has succeeded since, as the reports of the others come on open connections.
#[test]
fn quarter_of_the_engines_has_crashed() {
    let mut outcomes = [None; 140];
    outcomes[..3].fill(failed(50));
    assert!(!is_cut_off(&outcomes));
}

/// Pattern: open connections go on while every new one fails.
#[test]
fn new_connections_fail_beside_streams() {
    let reach = ServiceReach::new(&[failed(900); 140]);
    assert!(reach.heard(Some(Duration::ZERO)).is_cut_off());
}

/// Ways to judge a service: the rule in force, and three failed connects whatever the size.
#[derive(Clone, Copy)]
enum Rule {
    InForce,
    ThreeFailures,
}

/// A service, some of whose endpoints fail from the start on.
struct Fault {
    endpoints: usize,
    /// Those that cannot be connected to; they are the first ones.
    failing: usize,
    /// Time until a connect fails.
    connect_ms: u64,
    /// Whether the others send on open connections.
    streams: bool,
}

impl Fault {
    /// Time from the fault until the service counts as out of reach, within 6 s.
    ///
    /// A request is sent every 50 ms, first to the failing endpoints, which seem idle.
    fn detected(&self, rule: Rule, seed: u64) -> Option<u64> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut last: Vec<Option<(bool, u64)>> = vec![None; self.endpoints];
        let mut under_way: Vec<(u64, usize, u64)> = Vec::new();
        let mut has_failed = false;
        let mut suspected = None;
        for now in (0..6000_u64).step_by(10) {
            let mut starts = Vec::new();
            let mut chosen = Vec::new();
            if now % 50 == 0 {
                starts.push(usize::try_from(now / 50).unwrap() % self.endpoints);
            }
            let age = |at: u64| Duration::from_millis(now - at);
            let checks = suspected.map(|at| now - at);
            if checks.is_some_and(|since| since % 100 == 0) {
                let outcomes: Vec<Outcome> = last
                    .iter()
                    .map(|o| o.map(|(ok, at)| (ok, age(at))))
                    .collect();
                let reach = ServiceReach::new(&outcomes).heard(self.streams.then_some(age(now)));
                let (is_cut, probes) = match rule {
                    Rule::InForce => (
                        reach.is_cut_off(),
                        ServiceReach::required_failures(self.endpoints),
                    ),
                    Rule::ThreeFailures => (reach.stays_cut_off(), 3),
                };
                if is_cut {
                    return Some(now);
                }
                if checks.is_some_and(|since| since % 500 == 0) {
                    chosen = choose_probes(&outcomes, probes, &mut rng);
                }
            }
            for at in starts {
                if at < self.failing {
                    under_way.push((now + self.connect_ms, at, now));
                } else {
                    last[at] = Some((true, now));
                }
            }
            for at in chosen {
                let limit = match rule {
                    Rule::InForce => 750,
                    Rule::ThreeFailures => 1000,
                };
                if at < self.failing {
                    under_way.push((now + self.connect_ms.min(limit), at, now));
                } else {
                    last[at] = Some((true, now));
                }
            }
            for (_, at, began) in under_way.extract_if(.., |(end, ..)| *end <= now) {
                last[at] = Some((false, began));
                has_failed = true;
            }
            // The rule in force probes from 200 ms of a connect on, the other from its end.
            let wait = if matches!(rule, Rule::InForce) {
                200
            } else {
                1000
            };
            let is_slow = |(_, _, began): &(u64, usize, u64)| now >= began + wait;
            if has_failed || under_way.iter().any(is_slow) {
                suspected.get_or_insert(now + 10);
            }
        }
        None
    }
}

/// Guards against a crash of up to half of the endpoints that is taken for a lost path, with or
/// without streams that show the others to be in reach, and against a lost path found later than by
/// three failures in a row.
#[test]
fn crashes_are_told_from_lost_paths() {
    let mut latest = [0; 2];
    for endpoints in [3, 4, 5, 6, 9, 24, 60, 90, 140, 350, 600] {
        for (slow, connect_ms) in [0, 1000].into_iter().enumerate() {
            for seed in 0..20 {
                let fault = |failing, streams| Fault {
                    endpoints,
                    failing,
                    connect_ms,
                    streams,
                };
                for failing in [endpoints / 20, endpoints / 4, endpoints / 2] {
                    for streams in [false, true] {
                        let found = fault(failing, streams).detected(Rule::InForce, seed);
                        assert_eq!(found, None, "{failing} of {endpoints}, {connect_ms} ms");
                    }
                }
                let lost = fault(endpoints, false);
                let found = lost.detected(Rule::InForce, seed).unwrap();
                let before = lost.detected(Rule::ThreeFailures, seed).unwrap();
                assert!(
                    found <= before + 100,
                    "{endpoints}: {found} ms, {before} ms"
                );
                latest[slow] = latest[slow].max(found);
            }
        }
    }
    println!("lost path found at the latest after {latest:?} ms: refused, hanging connects");
}
