//! Endpoints whose entry is removed and comes back while their requests go on.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::room::message::RoomUpdate;
use brassrack::gateway::servers::{SelectedEndpoint, SelectionCriteria, Servers};

const NOW: Duration = Duration::from_secs(50);
const SECOND: Duration = Duration::from_secs(1);

fn listed(start_ms: u64, sequence: u64) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "calls".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 2,
        state: EndpointState::Ready,
        start_ms,
        sequence,
        models: BTreeMap::new(),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn select(servers: &Servers, now: Duration) -> Option<SelectedEndpoint> {
    let criteria = SelectionCriteria {
        service: "calls",
        ..SelectionCriteria::default()
    };
    servers.select(&criteria, now)
}

/// An endpoint with a request of this instance in progress.
fn busy() -> (Servers, SelectedEndpoint) {
    let servers = Servers::default();
    servers.upsert(listed(5, 1), NOW);
    let selected = select(&servers, NOW).unwrap();
    (servers, selected)
}

/// Requests that a report says are at the endpoint.
fn reported(servers: &Servers) -> Option<u32> {
    let report = servers.room_report(NOW)?;
    report.uses.first().map(|used| used.held)
}

/// Guards against LIMIT: brittle endpoints are granted their whole room once more when their entries
/// come back, and while other instances still have them.
#[test]
fn requests_count_without_an_entry() {
    let (servers, selected) = busy();
    servers.record_brittle(selected.key, Some(1), NOW, NOW);
    let running = servers.begin_request(selected.key, None, None, NOW);
    servers.remove("e");
    assert_eq!(reported(&servers), Some(1));
    assert!(select(&servers, NOW).is_none());
    servers.upsert(listed(5, 2), NOW);
    assert_eq!(reported(&servers), Some(1));
    drop(running);
    assert_eq!(reported(&servers), None);
}

/// A request that ends while the entry is away leaves nothing behind.
#[test]
fn ended_request_does_not_count() {
    let (servers, selected) = busy();
    servers.record_brittle(selected.key, Some(1), NOW, NOW);
    let running = servers.begin_request(selected.key, None, None, NOW);
    servers.remove("e");
    drop(running);
    assert_eq!(reported(&servers), None);
    servers.upsert(listed(5, 2), NOW);
    assert_eq!(reported(&servers), None);
}

/// Requests at an incarnation that ended say nothing about the next one.
#[test]
fn other_incarnation_begins_anew() {
    let (servers, selected) = busy();
    servers.record_brittle(selected.key, Some(1), NOW, NOW);
    let _running = servers.begin_request(selected.key, None, None, NOW);
    servers.begin_pause("e", NOW + SECOND);
    servers.remove("e");
    servers.upsert(listed(6, 1), NOW);
    assert!(!servers.is_paused("e", NOW));
    let report = servers.room_report(NOW).unwrap();
    assert!(report.uses.is_empty());
}

/// Guards against BUDGET: a pause that an endpoint asked for is forgotten with its entry.
#[test]
fn pause_outlives_the_entry() {
    let (servers, _) = busy();
    servers.begin_pause("e", NOW + 15 * SECOND);
    servers.remove("e");
    servers.upsert(listed(5, 2), NOW + 3 * SECOND);
    assert!(select(&servers, NOW + 14 * SECOND).is_none());
    assert!(select(&servers, NOW + 16 * SECOND).is_some());
}

/// The same where the endpoint asks for it while its entry is away.
#[test]
fn pause_without_an_entry() {
    let (servers, selected) = busy();
    let running = servers.begin_request(selected.key, None, None, NOW);
    servers.remove("e");
    servers.begin_pause("e", NOW + 15 * SECOND);
    drop(running);
    servers.upsert(listed(5, 2), NOW + 3 * SECOND);
    assert!(select(&servers, NOW + 14 * SECOND).is_none());
}

/// Guards against LIMIT: a request that has chosen a brittle endpoint is sent without a permit, as the
/// entry is gone by then.
#[test]
fn removed_endpoint_needs_a_permit() {
    let (servers, selected) = busy();
    servers.record_brittle(selected.key, Some(1), NOW, NOW);
    servers.apply_room(&RoomUpdate::default(), NOW);
    servers.remove("e");
    assert!(!servers.take_permit(&selected, NOW));
}
