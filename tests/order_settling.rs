//! What became of an order without a clear answer, read from the engine's report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::orders::send::{Resolution, is_current, report_due, resolve};
use brassrack::gateway::protocol::{Action, Order, Report, Target};

fn order(action: Action, adapter: Option<&str>) -> Order {
    Order {
        action,
        target: Target {
            model: "m".into(),
            adapter: adapter.map(str::to_owned),
        },
        expected_orders: 5,
        holder: "me".into(),
        fencing_token: 1,
        endpoint: "e".into(),
    }
}

fn report(accepted: u64, adapters: &[&str]) -> Report {
    let held: BTreeSet<String> = adapters.iter().map(|a| (*a).to_owned()).collect();
    Report {
        accepted_orders: accepted,
        models: BTreeMap::from([("m".into(), held)]),
        ..Report::default()
    }
}

#[test]
fn not_carried_out() {
    let load = order(Action::Load, Some("a1"));
    assert_eq!(resolve(&load, &report(5, &[]), 0), Resolution::Retry);
}

#[test]
fn load_shows() {
    let load = order(Action::Load, Some("a1"));
    assert_eq!(resolve(&load, &report(6, &["a1"]), 0), Resolution::Accepted);
}

/// The engine accepted another order with the same count: an adapter that is still held was not
/// unloaded, and its place is not free.
#[test]
fn other_order_took_the_count() {
    let unload = order(Action::Unload, Some("a4"));
    assert_eq!(
        resolve(&unload, &report(6, &["a4", "a15"]), 0),
        Resolution::Superseded
    );
}

#[test]
fn old_report_is_waited_out() {
    let load = order(Action::Load, None);
    assert_eq!(resolve(&load, &report(4, &[]), 0), Resolution::Retry);
    assert_eq!(resolve(&load, &report(4, &[]), 20), Resolution::Superseded);
}

#[test]
fn busy_engine_is_waited_for() {
    let busy = Report {
        executing: true,
        ..report(7, &[])
    };
    assert_eq!(
        resolve(&order(Action::Unload, None), &busy, 0),
        Resolution::Retry
    );
}

/// Pattern: an order from before a takeover arrives late, takes the count of an unload, and its
/// load runs. The model to be unloaded still fills its place; a load in its stead has no room.
#[test]
fn late_load_took_the_count_of_an_unload() {
    let busy = Report {
        executing: true,
        ..report(6, &[])
    };
    let unload = order(Action::Unload, None);
    assert_eq!(resolve(&unload, &busy, 0), Resolution::Retry);
    assert_eq!(resolve(&unload, &report(6, &[]), 1), Resolution::Superseded);
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Pattern: the holder is short of processor time, and an answer lies unread for half a second. It
/// shows the engine before the last order, whenever it is read.
#[test]
fn report_asked_before_the_end_is_old() {
    assert!(!is_current(&report(5, &[]), 5, ms(1000), ms(900)));
    assert!(!is_current(&report(5, &[]), 5, ms(1000), ms(1399)));
}

#[test]
fn report_asked_after_the_end_counts() {
    assert!(is_current(&report(5, &[]), 5, ms(1000), ms(1400)));
}

/// An engine that restarted within its entry's time counts from the beginning.
#[test]
fn smaller_count_is_believed_in_the_end() {
    assert!(!is_current(&report(0, &[]), 5, ms(1000), ms(2000)));
    assert!(is_current(&report(0, &[]), 5, ms(1000), ms(2600)));
}

/// Pattern: an engine swaps models every two seconds. A report that is asked for at once after an
/// order is too old to count, and the next one at its interval often finds the engine busy again.
#[test]
fn report_is_due_when_it_shows_the_end() {
    let every = ms(900);
    assert!(!report_due(ms(800), ms(1000), every, ms(1001)));
    assert!(!report_due(ms(800), ms(1000), every, ms(1399)));
    assert!(report_due(ms(800), ms(1000), every, ms(1400)));
    assert!(!report_due(ms(1400), ms(1000), every, ms(1500)));
    assert!(report_due(ms(1400), ms(1000), every, ms(2300)));
}
