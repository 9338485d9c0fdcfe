//! Belief about the pace of endpoints' machines, and the choice by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::servers::{Pace, SelectionCriteria, ServerKey, Servers};

const NOW: Duration = Duration::from_secs(50);

fn endpoint(id: &str, service: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 6,
        state: EndpointState::Ready,
        start_ms: 1,
        sequence: 1,
        models: BTreeMap::from([("m".into(), BTreeSet::new())]),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

/// Two endpoints of a service, and their keys.
fn pair() -> Option<(Servers, ServerKey, ServerKey)> {
    let servers = Servers::default();
    servers.upsert(endpoint("a", "calls"), NOW);
    servers.upsert(endpoint("b", "calls"), NOW);
    let key = |tried: &str| {
        let criteria = SelectionCriteria {
            service: "calls",
            excluded: &[tried.to_owned()],
            ..SelectionCriteria::default()
        };
        servers.select(&criteria, NOW).map(|s| s.key)
    };
    let (a, b) = (key("b")?, key("a")?);
    Some((servers, a, b))
}

/// Failure: a service keeps the choice by pace after its endpoints have stopped to state one, or
/// another service gets it.
#[test]
fn switch_follows_stated_paces() {
    let (servers, a, _) = pair().unwrap();
    servers.record_pace(a, None, NOW);
    assert!(!servers.reports_pace("calls", NOW));
    servers.record_pace(a, Some(1.5), NOW);
    assert!(servers.reports_pace("calls", NOW));
    assert!(!servers.reports_pace("writers", NOW));
    assert!(!servers.reports_pace("calls", NOW + Duration::from_secs(40)));
}

/// Failure: missing and absurd figures.
#[test]
fn absurd_figures_are_bounded() {
    let mut pace = Pace::default();
    for figure in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        pace.record_stated(figure, 1.0, NOW);
        pace.record_seen(figure, NOW);
    }
    assert_eq!(pace, Pace::default());
    for (figure, bound) in [(1e9, 10.0), (-3.0, 0.25), (0.0, 0.25)] {
        let mut pace = Pace::default();
        for ms in 0..5000 {
            pace.record_stated(figure, 1.0, NOW + Duration::from_millis(ms));
        }
        let relative = pace.relative(1.0, NOW + Duration::from_secs(5));
        assert!((relative - bound).abs() < 0.1, "{figure}: {relative}");
    }
}

/// Failure: one figure of a machine whose pace changes many times a second decides alone.
#[test]
fn single_figure_moves_the_belief_by_half() {
    let mut pace = Pace::default();
    pace.record_stated(9.0, 1.0, NOW);
    assert!(pace.relative(1.0, NOW) <= 5.0);
}

/// Failure: a figure that stops arriving; the machine is tried again.
#[test]
fn belief_fades() {
    let mut pace = Pace::default();
    pace.record_stated(9.0, 1.0, NOW);
    pace.record_seen(9.0, NOW);
    let later = NOW + Duration::from_mins(1);
    assert!(pace.relative(1.0, later) < 1.05);
    assert_eq!(pace.stated(later), None);
}
