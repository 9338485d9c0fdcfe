//! What an instance believes of endpoints and which one it picks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState, Target};
use brassrack::gateway::servers::{EndpointView, RequestOutcome, SelectionCriteria, Servers};

const NOW: Duration = Duration::from_secs(50);

fn endpoint(id: &str, models: &[&str]) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 8,
        state: EndpointState::Ready,
        start_ms: 1,
        sequence: 1,
        models: models
            .iter()
            .map(|m| ((*m).to_owned(), BTreeSet::new()))
            .collect(),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn pick(servers: &Servers, model: &str, tried: &[String]) -> Option<String> {
    pick_at(servers, model, tried, NOW)
}

fn pick_at(servers: &Servers, model: &str, tried: &[String], now: Duration) -> Option<String> {
    let target = Target {
        model: model.into(),
        adapter: None,
    };
    let need = SelectionCriteria {
        service: "writers",
        target: Some(&target),
        domain: "east",
        prompt_prefix: None,
        excluded: tried,
        ..SelectionCriteria::default()
    };
    servers.select(&need, now).map(|p| p.id)
}

/// A view of the first endpoint that holds a model.
fn view_of(model: &str) -> EndpointView {
    EndpointView {
        id: "1".into(),
        started_ms: 1,
        accepted_orders: 1,
        models: BTreeMap::from([(model.into(), BTreeSet::new())]),
        ..EndpointView::default()
    }
}

fn two() -> Servers {
    let servers = Servers::default();
    servers.upsert(endpoint("1", &["m"]), NOW);
    servers.upsert(endpoint("2", &["n"]), NOW);
    servers
}

#[test]
fn holder_is_picked() {
    assert_eq!(pick(&two(), "n", &[]).as_deref(), Some("2"));
}

#[test]
fn failed_endpoint_is_left_out() {
    assert_eq!(pick(&two(), "n", &["2".into()]), None);
}

#[test]
fn draining_endpoint_gets_nothing() {
    let servers = two();
    let leaving = Endpoint {
        state: EndpointState::Draining,
        sequence: 2,
        ..endpoint("1", &["m"])
    };
    servers.upsert(leaving, NOW);
    // A later row of another writer does not bring it back.
    let back = Endpoint {
        sequence: 3,
        ..endpoint("1", &["m"])
    };
    servers.upsert(back, NOW);
    assert_eq!(pick(&servers, "m", &[]), None);
}

#[test]
fn older_row_changes_nothing() {
    let servers = two();
    let newer = Endpoint {
        sequence: 5,
        ..endpoint("1", &["m", "x"])
    };
    servers.upsert(newer, NOW);
    servers.upsert(endpoint("1", &["m"]), NOW);
    assert_eq!(pick(&servers, "x", &[]).as_deref(), Some("1"));
}

#[test]
fn restart_under_the_same_id() {
    let servers = two();
    let reborn = Endpoint {
        start_ms: 2,
        ..endpoint("1", &[])
    };
    servers.upsert(reborn, NOW);
    assert_eq!(pick(&servers, "m", &[]), None);
}

#[test]
fn view_outranks_the_list() {
    let servers = two();
    let view = EndpointView {
        accepted_orders: 3,
        unloading: BTreeSet::new(),
        ..view_of("z")
    };
    servers.apply_views(&[view], NOW);
    let row = Endpoint {
        sequence: 2,
        ..endpoint("1", &["m"])
    };
    servers.upsert(row, NOW);
    assert_eq!(pick(&servers, "z", &[]).as_deref(), Some("1"));
}

#[test]
fn closing_model_gets_nothing() {
    let servers = two();
    let view = EndpointView {
        unloading: BTreeSet::from(["m".into()]),
        ..view_of("m")
    };
    servers.apply_views(&[view], NOW);
    assert_eq!(pick(&servers, "m", &[]), None);
}

#[test]
fn lapsed_entry_comes_back() {
    let servers = two();
    servers.expire_at("1", NOW + Duration::from_secs(2));
    servers.remove_expired(NOW + Duration::from_secs(1));
    servers.upsert(endpoint("1", &["m"]), NOW);
    servers.remove_expired(NOW + Duration::from_secs(3));
    assert_eq!(pick(&servers, "m", &[]).as_deref(), Some("1"));
}

#[test]
fn lapsed_entry_is_gone() {
    let servers = two();
    servers.expire_at("1", NOW + Duration::from_secs(2));
    servers.remove_expired(NOW + Duration::from_secs(2));
    assert_eq!(servers.ids(), ["2"]);
}

/// Pattern: one of two endpoints fails most of its answers while it looks healthy.
#[test]
fn failing_endpoint_is_avoided() {
    let servers = Servers::default();
    servers.upsert(endpoint("bad", &["m"]), NOW);
    servers.upsert(endpoint("good", &["m"]), NOW);
    let need = SelectionCriteria {
        service: "writers",
        domain: "east",
        excluded: &["good".into()],
        ..SelectionCriteria::default()
    };
    let bad = servers.select(&need, NOW).unwrap();
    for _ in 0..3 {
        servers.record_outcome(bad.key, RequestOutcome::Failure, NOW);
    }
    assert_eq!(pick(&servers, "m", &[]).as_deref(), Some("good"));
}

/// Pattern: a model's only engine has a queue; the wait is known before the request is sent.
#[test]
fn queue_is_expected() {
    let servers = two();
    let view = EndpointView {
        running: 8,
        queued: 8,
        ..view_of("m")
    };
    servers.apply_views(&[view], NOW);
    let need = SelectionCriteria {
        service: "writers",
        excluded: &["2".into()],
        ..SelectionCriteria::default()
    };
    // As many wait as run: the wait is one run, two seconds before any was seen.
    assert_eq!(
        servers.select(&need, NOW).unwrap().expected_wait,
        Duration::from_secs(2)
    );
}

/// Pattern: one of two engines has turned slow while it answers everything.
#[test]
fn slow_engine_is_avoided() {
    let servers = Servers::default();
    servers.upsert(endpoint("slow", &["m"]), NOW);
    servers.upsert(endpoint("fast", &["m"]), NOW);
    let only = |tried: &[String]| {
        let need = SelectionCriteria {
            service: "writers",
            domain: "east",
            excluded: tried,
            ..SelectionCriteria::default()
        };
        servers.select(&need, NOW).unwrap().key
    };
    let (slow, fast) = (only(&["fast".into()]), only(&["slow".into()]));
    for _ in 0..20 {
        servers.record_interval(fast, Duration::from_millis(30), NOW);
    }
    for _ in 0..5 {
        servers.record_interval(slow, Duration::from_millis(240), NOW);
    }
    assert_eq!(pick(&servers, "m", &[]).as_deref(), Some("fast"));
}

/// Pattern: the holder of the lease dies while a load runs that it ordered, and the store falls
/// silent. The entry that showed the loaded model came while the holder's view was still fresh.
#[test]
fn entry_counts_when_the_view_is_old() {
    let servers = two();
    servers.apply_views(&[view_of("m")], NOW);
    let loaded = Endpoint {
        sequence: 2,
        ..endpoint("1", &["m", "x"])
    };
    servers.upsert(loaded, NOW);
    assert_eq!(pick(&servers, "x", &[]), None);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(pick_at(&servers, "x", &[], later), Some("1".into()));
    assert_eq!(pick_at(&servers, "m", &[], later), Some("1".into()));
}
