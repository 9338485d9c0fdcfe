//! Slots that requests which can wait leave to more urgent ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState, Target};
use brassrack::gateway::servers::{RequestGuard, SelectionCriteria, Servers};
use brassrack::gateway::urgency::{UrgencyMix, slot_share};

const NOW: Duration = Duration::from_secs(50);
const SLOTS: u32 = 12;
/// Objective of the requests that can wait.
const OBJECTIVE: Duration = Duration::from_secs(5);

fn engine() -> Servers {
    let servers = Servers::default();
    let listed = Endpoint {
        id: "e".into(),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        start_ms: 5,
        sequence: 1,
        models: BTreeMap::from([("m".into(), BTreeSet::new())]),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    };
    servers.upsert(listed, NOW);
    servers
}

/// Sends up to `count` requests, each with this bound, and returns those that have a slot.
fn burst(servers: &Servers, count: u32, share: Option<f64>) -> Vec<RequestGuard> {
    let target = Target::base("m");
    let criteria = SelectionCriteria {
        service: "writers",
        target: Some(&target),
        slot_share: share,
        ..SelectionCriteria::default()
    };
    let sent = (0..count).filter_map(|_| {
        let selected = servers.select(&criteria, NOW)?;
        Some(servers.begin_request(selected.key, Some(&target), None, NOW))
    });
    sent.collect()
}

/// Two urgent requests for each one that can wait.
fn mixed() -> UrgencyMix {
    let mut mix = UrgencyMix::default();
    for at in 0..30 {
        let priority = if at % 3 == 0 { 2 } else { 0 };
        mix.record("writers", priority, NOW);
    }
    mix
}

/// Guards against a burst of requests that can wait for seconds, which filled all slots and queues, so
/// that urgent ones were refused.
#[test]
fn burst_leaves_slots() {
    let servers = engine();
    let share = slot_share(
        mixed().more_urgent("writers", 2, NOW),
        OBJECTIVE,
        Duration::ZERO,
    );
    let patient = burst(&servers, 40, share);
    assert_eq!(patient.len(), 8, "a third of the slots is left");
    let urgent_share = slot_share(
        mixed().more_urgent("writers", 0, NOW),
        OBJECTIVE,
        Duration::ZERO,
    );
    assert_eq!(urgent_share, None);
    assert_eq!(burst(&servers, 4, urgent_share).len(), 4);
}

/// Guards against requests that can wait being starved by a steady rate of urgent ones.
#[test]
fn bound_ends_with_the_wait() {
    let more_urgent = mixed().more_urgent("writers", 2, NOW);
    let shares = [0, 1000, 2000, 2400]
        .map(|ms| slot_share(more_urgent, OBJECTIVE, Duration::from_millis(ms)).unwrap_or(1.0));
    assert!(shares.is_sorted(), "{shares:?}");
    let late = slot_share(more_urgent, OBJECTIVE, OBJECTIVE / 2);
    assert_eq!(late, None, "half of the objective is left for the queue");
}

/// Guards against idle slots where no more urgent requests come any more.
#[test]
fn bound_ends_with_urgent_demand() {
    let mut mix = mixed();
    let later = NOW + Duration::from_mins(1);
    mix.record("writers", 2, later);
    let share = slot_share(
        mix.more_urgent("writers", 2, later),
        OBJECTIVE,
        Duration::ZERO,
    );
    assert!(share.is_none_or(|s| s > 0.99), "{share:?}");
    assert_eq!(burst(&engine(), SLOTS, share).len(), 12);
}
