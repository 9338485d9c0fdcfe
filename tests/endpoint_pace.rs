//! Belief about the pace of endpoints' machines, and the choice by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::link::{EngineView, TargetCount};
use brassrack::gateway::orders::late_share::LateShare;
use brassrack::gateway::pauses::{EngineSituation, PauseTable};
use brassrack::gateway::protocol::{Endpoint, EndpointState, Target};
use brassrack::gateway::servers::{
    EndpointView, Pace, SelectedEndpoint, SelectionCriteria, ServerKey, Servers,
};

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
fn single_figure_does_not_decide() {
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
}

/// Choices of a call, or of a stream where a target is given, for some random numbers.
fn choices(servers: &Servers, target: Option<&Target>, now: Duration) -> Vec<SelectedEndpoint> {
    let criteria = SelectionCriteria {
        service: "calls",
        target,
        gap_objective: target.map(|_| Duration::from_millis(300)),
        ..SelectionCriteria::default()
    };
    let drawn = (0..16).filter_map(|random| servers.select_with(&criteria, now, random));
    drawn.collect()
}

fn stream() -> Target {
    Target {
        model: "m".into(),
        adapter: None,
    }
}

fn view(id: &str, load: u32) -> EndpointView {
    EndpointView {
        id: id.into(),
        started_ms: 1,
        models: BTreeMap::from([("m".into(), BTreeSet::new())]),
        load,
        running: load,
        ..EndpointView::default()
    }
}

/// Failure: a service whose endpoints state no pace is served other than by load.
#[test]
fn choice_without_paces_is_by_load() {
    let (servers, a, b) = pair().unwrap();
    servers.upsert(endpoint("c", "others"), NOW);
    let others = SelectionCriteria {
        service: "others",
        ..SelectionCriteria::default()
    };
    let other = servers.select(&others, NOW).unwrap().key;
    servers.record_pace(other, Some(5.0), NOW);
    servers.record_call_time(a, Duration::from_secs(9), Some((6, 6, 6)), NOW);
    servers.record_call_time(b, Duration::from_millis(9), Some((0, 0, 6)), NOW);
    servers.apply_views(&[view("a", 3), view("b", 4)], NOW);
    for target in [None, Some(&stream())] {
        let chosen = choices(&servers, target, NOW);
        assert!(chosen.iter().all(|s| s.key == a && s.expected.is_none()));
    }
}

/// Failure: an endpoint that claims to be fast and is slow gets the calls.
#[test]
fn false_claim_is_seen_through() {
    let (servers, a, b) = pair().unwrap();
    for n in 0..20 {
        let now = NOW + Duration::from_millis(200 * n);
        servers.record_pace(a, Some(0.25), now);
        servers.record_pace(b, Some(1.0), now);
        servers.record_call_time(b, Duration::from_millis(40), None, now);
        servers.record_call_time(a, Duration::from_millis(160), None, now);
    }
    let now = NOW + Duration::from_secs(4);
    assert!(choices(&servers, None, now).iter().all(|s| s.key == b));
}

/// Failure: all endpoints are equally slow; the choice is by load as ever.
#[test]
fn equally_slow_endpoints_are_chosen_by_load() {
    let (servers, a, b) = pair().unwrap();
    for n in 0..20 {
        let now = NOW + Duration::from_millis(50 * n);
        servers.record_pace(a, Some(6.0), now);
        servers.record_pace(b, Some(6.0), now);
    }
    let now = NOW + Duration::from_secs(1);
    servers.apply_views(&[view("a", 2), view("b", 1)], now);
    for target in [None, Some(&stream())] {
        let chosen = choices(&servers, target, now);
        assert!(chosen.iter().all(|s| s.key == b));
        let pace = chosen.first().and_then(|s| s.expected).unwrap().pace;
        assert!((pace - 1.0).abs() < 0.01);
    }
}

/// Failure: a view is seconds old; own sends since then count on top.
#[test]
fn own_sends_count_on_an_old_view() {
    let (servers, a, b) = pair().unwrap();
    servers.record_pace(a, Some(1.0), NOW);
    servers.apply_views(&[view("a", 1), view("b", 3)], NOW);
    let now = NOW + Duration::from_secs(5);
    assert!(
        choices(&servers, Some(&stream()), now)
            .iter()
            .all(|s| s.key == a)
    );
    let sent = [a; 4].map(|key| servers.begin_request(key, Some(&stream()), None, now));
    assert!(
        choices(&servers, Some(&stream()), now)
            .iter()
            .all(|s| s.key == b)
    );
    drop(sent);
}

/// Failure: few streams make a busy engine look better than an idle one.
#[test]
fn learnt_shares_rise_with_the_streams_running() {
    let mut table = PauseTable::default();
    let during = |running| EngineSituation {
        running,
        models: 1,
        starts: 1.0,
    };
    for _ in 0..2000 {
        table.record(during(3.0), true);
        table.record(during(9.0), false);
    }
    assert!(table.share(during(3.0)) <= table.share(during(9.0)));
    assert!(table.share(during(3.0)) > 0.8);
}

/// Failure: a model served by few streams counts as late, or a late one stays so for ever.
#[test]
fn late_share_is_smoothed() {
    let mut share = LateShare::default();
    share.add(1, 1, NOW);
    assert!(share.at(NOW) < 0.25);
    share.add(200, 100, NOW);
    assert!(share.at(NOW) > 0.45);
    assert!(share.is_old(NOW + Duration::from_mins(10)));
}

/// Failure: figures of a view or of a report are lost on the way.
#[test]
fn messages_carry_the_figures() {
    let told = EndpointView {
        models_running: 3,
        pace_percent: 250,
        ..view("a", 4)
    };
    assert_eq!(EngineView::from_view(&told).to_view(), told);
    assert_eq!(
        (TargetCount::default().ended, TargetCount::default().late),
        (0, 0)
    );
    let (servers, _, _) = pair().unwrap();
    servers.apply_views(&[told], NOW);
    assert!(servers.reports_pace("calls", NOW));
    // What a holder hears in a view is not told again as a figure of the engine.
    assert_eq!(servers.report_pace_percent("a", NOW), 0);
    servers.record_report_pace("a", 1, Some(2.0), NOW);
    assert_eq!(servers.report_pace_percent("a", NOW), 200);
    assert_eq!(
        servers.report_pace_percent("a", NOW + Duration::from_secs(4)),
        0
    );
}
