//! Whether a service is out of reach, from the last connects to its endpoints.

use std::time::Duration;

use brassrack::gateway::reach::ServiceReach;

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
