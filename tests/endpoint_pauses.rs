//! Endpoints that ask for a pause when they turn a request away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::servers::{SelectedEndpoint, SelectionCriteria, Servers};

const NOW: Duration = Duration::from_secs(50);
const PAUSE: Duration = Duration::from_secs(2);
const CRITERIA: SelectionCriteria<'_> = SelectionCriteria {
    service: "calls",
    target: None,
    software: None,
    domain: "east",
    prompt_prefix: None,
    excluded: &[],
    priority: 0,
    waits_at: None,
    ticket: None,
    slot_share: None,
    gap_objective: None,
};

fn listed(id: &str, start_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "calls".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 8,
        state: EndpointState::Ready,
        start_ms,
        sequence: 1,
        models: BTreeMap::new(),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn servers(ids: &[&str]) -> Servers {
    let servers = Servers::default();
    for id in ids {
        servers.upsert(listed(id, 5), NOW);
    }
    servers
}

fn select(servers: &Servers, now: Duration) -> Option<SelectedEndpoint> {
    servers.select(&CRITERIA, now)
}

/// Number of requests that are let through at these times, none of which is answered.
fn sends(servers: &Servers, times: impl Iterator<Item = Duration>) -> usize {
    let mut guards = Vec::new();
    for now in times {
        if let Some(selected) = select(servers, now) {
            guards.push(servers.begin_request(selected.key, None, None, now));
        }
    }
    guards.len()
}

fn every(interval: u64, from: Duration, until: Duration) -> impl Iterator<Item = Duration> {
    let steps =
        (from.as_millis()..until.as_millis()).step_by(usize::try_from(interval).unwrap_or(1));
    steps.map(|at| Duration::from_millis(u64::try_from(at).unwrap_or_default()))
}

#[test]
fn no_request_in_a_pause() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    assert_eq!(sends(&servers, every(10, NOW, NOW + PAUSE)), 0);
    assert_eq!(servers.pause_left(&CRITERIA, NOW), Some(PAUSE));
    assert!(select(&servers, NOW + PAUSE).is_some());
}

#[test]
fn others_take_the_requests() {
    let servers = servers(&["a", "b"]);
    servers.begin_pause("a", NOW + PAUSE);
    let chosen = select(&servers, NOW).map(|s| s.id);
    assert_eq!(chosen.as_deref(), Some("b"));
}

/// Pattern: hundreds of requests wait for the end of a pause, or come at that moment.
#[test]
fn end_of_a_pause() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    let end = NOW + PAUSE;
    assert_eq!(sends(&servers, every(1, end, end + PAUSE / 10)), 1);
}

#[test]
fn answer_ends_the_trial() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    let end = NOW + PAUSE;
    let Some(selected) = select(&servers, end) else {
        panic!("not selected after its pause");
    };
    let _running = servers.begin_request(selected.key, None, None, end);
    assert!(select(&servers, end).is_none());
    servers.record_answer(selected.key, end);
    assert!(select(&servers, end).is_some());
}

/// Pattern: answers to requests that were under way when the endpoint asked for the pause.
#[test]
fn earlier_answer_proves_nothing() {
    let servers = servers(&["a"]);
    let Some(selected) = select(&servers, NOW) else {
        panic!("not selected");
    };
    servers.begin_pause("a", NOW + PAUSE);
    servers.record_answer(selected.key, NOW);
    assert!(select(&servers, NOW).is_none());
}

#[test]
fn shorter_pause_changes_nothing() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    servers.begin_pause("a", NOW + PAUSE / 2);
    assert_eq!(servers.pause_left(&CRITERIA, NOW), Some(PAUSE));
}

#[test]
fn other_incarnation() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    servers.upsert(listed("a", 6), NOW);
    assert!(select(&servers, NOW).is_some());
}

/// The lease holder sends no orders to an engine that asked it for a pause.
#[test]
fn listed_as_paused() {
    let servers = servers(&["a"]);
    servers.begin_pause("a", NOW + PAUSE);
    let paused = |now| servers.list_service("calls", now).iter().any(|e| e.paused);
    assert!(paused(NOW) && servers.is_paused("a", NOW));
    assert!(!paused(NOW + PAUSE));
}
