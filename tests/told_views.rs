//! Which views of engines the lease holder tells an instance.

use brassrack::gateway::link::EngineView;
use brassrack::gateway::orders::views::EngineViews;

fn engine(id: &str, accepted: u64, load: u32) -> EngineView {
    EngineView {
        id: id.into(),
        accepted_orders: accepted,
        load,
        ..EngineView::default()
    }
}

fn ids(views: &[EngineView]) -> Vec<&str> {
    views.iter().map(|v| v.id.as_str()).collect()
}

#[test]
fn newcomer_is_told_all() {
    let mut views = EngineViews::default();
    views.update(vec![engine("a", 1, 0), engine("b", 1, 0)]);
    assert_eq!(ids(&views.since(0)), ["a", "b"]);
}

/// Pattern: 66 instances are told of 140 engines many times a second, and few engines change.
#[test]
fn only_what_changed_is_told_again() {
    let mut views = EngineViews::default();
    views.update(vec![engine("a", 1, 0), engine("b", 1, 0)]);
    let known = views.version();
    views.update(vec![engine("a", 2, 0), engine("b", 1, 0)]);
    assert_eq!(ids(&views.since(known)), ["a"]);
}

/// Loads that drift add up: what was told counts, not the view before.
#[test]
fn drifting_load_is_told() {
    let mut views = EngineViews::default();
    views.update(vec![engine("a", 1, 0)]);
    let known = views.version();
    views.update(vec![engine("a", 1, 4)]);
    assert!(views.since(known).is_empty());
    views.update(vec![engine("a", 1, 8)]);
    assert_eq!(ids(&views.since(known)), ["a"]);
}

/// An engine whose state was unknown for a while is told again.
#[test]
fn engine_that_was_away_is_told() {
    let mut views = EngineViews::default();
    views.update(vec![engine("a", 1, 0)]);
    let known = views.version();
    views.update(Vec::new());
    assert!(views.since(known).is_empty());
    views.update(vec![engine("a", 1, 0)]);
    assert_eq!(ids(&views.since(known)), ["a"]);
}
