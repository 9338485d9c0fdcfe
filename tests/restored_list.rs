//! The server list when the store comes back from an older copy of its rows.

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
    servers.upsert(listed(5, 10), NOW);
    servers
}

fn takes_requests(servers: &Servers) -> bool {
    let criteria = SelectionCriteria {
        service: "calls",
        ..SelectionCriteria::default()
    };
    servers.select(&criteria, NOW).is_some()
}

/// Pattern: an endpoint left since the copy was taken.
#[test]
fn removed_endpoint_stays_away() {
    let servers = servers();
    servers.remove("e");
    assert!(!servers.upsert_copy(listed(5, 8), NOW));
    assert!(!takes_requests(&servers));
}

/// Pattern: its entry had lapsed, and it lives.
#[test]
fn living_endpoint_is_back() {
    let servers = servers();
    servers.remove("e");
    assert!(servers.upsert_copy(listed(5, 11), NOW));
    assert!(takes_requests(&servers));
}

/// Pattern: an endpoint began to drain, or started again, since the copy was taken.
#[test]
fn older_description_changes_nothing() {
    let servers = servers();
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..listed(5, 11)
    };
    servers.upsert(draining, NOW);
    servers.upsert_copy(listed(5, 8), NOW);
    assert!(!takes_requests(&servers));
    servers.upsert(listed(6, 1), NOW);
    servers.upsert_copy(listed(5, 8), NOW);
    assert_eq!(servers.endpoint("e").map(|e| e.start_ms), Some(6));
}

#[test]
fn unknown_endpoint_is_listed() {
    let servers = Servers::default();
    assert!(servers.upsert_copy(listed(5, 8), NOW));
    assert!(takes_requests(&servers));
}
