//! How often the server list is read, by what the lease holder tells of it.

use std::time::Duration;

use brassrack::gateway::feed::poll_due;
use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::servers::Servers;

const READ_AT: Duration = Duration::from_secs(50);
const DRAIN: Duration = Duration::from_secs(4);

/// Wait until the next read, with or without a link to a holder that reads the list itself.
fn wait(is_linked: bool, has_changed: bool, removal: Option<Duration>) -> Duration {
    let holder_read_at = is_linked.then_some(READ_AT + DRAIN * 10);
    let due = poll_due(READ_AT, DRAIN, holder_read_at, has_changed, removal);
    due.saturating_sub(READ_AT)
}

/// Pattern: 295 instances read a list of 165 endpoints, of which the same ones serve for minutes.
/// Linked instances read it a few times a minute.
#[test]
fn unchanged_list_is_seldom_read() {
    assert!(wait(true, false, None) >= DRAIN * 3);
}

/// Pattern: endpoints are replaced one after another, and each change is told to all instances. One
/// that drains gets no request after the drain deadline, whatever is told beside it.
#[test]
fn changes_are_read_within_the_deadline() {
    let call = Duration::from_secs(1);
    assert!(wait(true, true, None) + call < DRAIN);
    assert!(wait(true, true, None) > DRAIN / 2);
}

/// Pattern: the store turns away the lease holder alone, whose links are up. An endpoint that drains
/// then is announced by nobody (large trouble-1, seed 559926344667: a request 4,017 ms after).
#[test]
fn holder_without_the_store() {
    let call = Duration::from_secs(1);
    let last_read = READ_AT + Duration::from_millis(200);
    let due = poll_due(READ_AT, DRAIN, Some(last_read), false, None);
    assert!(due + call < last_read + DRAIN);
    let long_ago = poll_due(
        READ_AT,
        DRAIN,
        Some(READ_AT.saturating_sub(DRAIN)),
        false,
        None,
    );
    assert!(long_ago + call < READ_AT + DRAIN);
    let fresh = READ_AT + DRAIN;
    let due = poll_due(READ_AT, DRAIN, Some(fresh), false, None);
    assert!(due > fresh && due + call < fresh + DRAIN);
}

#[test]
fn without_a_link_the_list_is_read_more_often() {
    assert!(wait(false, false, None) < wait(true, true, None));
    assert_eq!(wait(false, true, None), wait(false, false, None));
}

/// Pattern: the store returns from an outage, and entries that lapsed are kept for two seconds.
#[test]
fn scheduled_removal_is_on_time() {
    let removal = READ_AT + Duration::from_secs(2);
    assert_eq!(wait(true, false, Some(removal)), Duration::from_secs(2));
    assert!(wait(true, false, Some(READ_AT)) > Duration::ZERO);
}

fn endpoint(start_ms: u64, state: EndpointState, sequence: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 8,
        state,
        start_ms,
        sequence,
        models: std::collections::BTreeMap::new(),
        memory_models: std::collections::BTreeSet::new(),
        disk_models: std::collections::BTreeSet::new(),
    }
}

/// Heartbeats are no change; arrivals, drains, restarts and entries that are back are.
#[test]
fn changes_that_are_told() {
    let servers = Servers::default();
    let ready = EndpointState::Ready;
    assert!(servers.upsert(endpoint(1, ready, 1), READ_AT));
    assert!(!servers.upsert(endpoint(1, ready, 2), READ_AT));
    assert!(servers.upsert(endpoint(1, EndpointState::Draining, 3), READ_AT));
    assert!(servers.upsert(endpoint(2, ready, 1), READ_AT));
    servers.expire_at("e", READ_AT);
    assert!(servers.upsert(endpoint(2, ready, 2), READ_AT));
}
