//! Endpoints that say in an answer that they leave.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::servers::{SelectionCriteria, Servers};

const NOW: Duration = Duration::from_secs(50);

fn listed(start_ms: u64, sequence: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "calls".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 8,
        state: EndpointState::Ready,
        start_ms,
        sequence,
        models: BTreeMap::new(),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn servers() -> Servers {
    let servers = Servers::default();
    servers.upsert(listed(5, 1), NOW);
    servers
}

fn takes_requests(servers: &Servers) -> bool {
    let criteria = SelectionCriteria {
        service: "calls",
        ..SelectionCriteria::default()
    };
    servers.select(&criteria, NOW).is_some()
}

/// Pattern: the list is behind, or the endpoint never reports that it drains.
#[test]
fn list_says_ready() {
    let servers = servers();
    servers.mark_leaving("e", 5, "answer", NOW);
    assert!(!takes_requests(&servers));
    servers.upsert(listed(5, 2), NOW);
    assert!(!takes_requests(&servers));
}

/// Pattern: the entry lapses in an outage of the store and comes back.
#[test]
fn listed_again() {
    let servers = servers();
    servers.mark_leaving("e", 5, "answer", NOW);
    servers.remove("e");
    servers.upsert(listed(5, 3), NOW);
    assert!(!takes_requests(&servers));
}

#[test]
fn other_incarnation() {
    let servers = servers();
    servers.mark_leaving("e", 5, "answer", NOW);
    servers.upsert(listed(6, 1), NOW);
    assert!(takes_requests(&servers));
    servers.mark_leaving("e", 5, "link", NOW);
    assert!(takes_requests(&servers));
}

/// An instance hears of it before the list names the endpoint.
#[test]
fn heard_before_the_list() {
    let servers = Servers::default();
    servers.mark_leaving("e", 5, "link", NOW);
    servers.upsert(listed(5, 1), NOW);
    assert!(!takes_requests(&servers));
}

#[test]
fn told_for_a_while() {
    let servers = servers();
    servers.mark_leaving("e", 5, "answer", NOW);
    assert_eq!(servers.recently_leaving(NOW).len(), 1);
    assert!(servers.recently_leaving(NOW * 2).is_empty());
}
