//! Charts cover every state and event, and what must hold can be read off them.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;

use brassrack::chart::{
    Chart, ChartError, Drain, DrainState, Kind, Lease, LeaseEvent, LeaseState, Move, Replica,
    ReplicaEvent, ReplicaState, Request, RequestEvent, RequestState,
};
use strum::IntoEnumIterator;

/// Every state that some events lead to from the initial one.
fn reached<K: Kind>() -> BTreeSet<K::State> {
    let chart = Chart::<K>::load().unwrap();
    let mut seen = BTreeSet::from([chart.initial()]);
    let mut open = vec![chart.initial()];
    while let Some(state) = open.pop() {
        for event in K::Event::iter() {
            if let Move::To(next) = chart.step(state, event)
                && seen.insert(next)
            {
                open.push(next);
            }
        }
    }
    seen
}

/// Removes every pair in turn from the chart's text and expects the loader to name it.
fn rejects_each_gap<K: Kind>() {
    let lines: Vec<&str> = K::TEXT.lines().collect();
    let mut gaps = 0;
    for (i, line) in lines.iter().enumerate() {
        if !line.starts_with("    ") {
            continue;
        }
        let mut text: Vec<&str> = lines.clone();
        text.remove(i);
        let event = line.trim().split(':').next().unwrap();
        match Chart::<K>::parse(&text.join("\n")) {
            Err(ChartError::Missing { event: named, .. }) => assert_eq!(named, event),
            other => panic!("{} without `{line}`: {other:?}", K::NAME),
        }
        gaps += 1;
    }
    assert_eq!(gaps, K::State::iter().count() * K::Event::iter().count());
}

#[test]
fn every_state_is_reached() {
    assert_eq!(reached::<Replica>(), ReplicaState::iter().collect());
    assert_eq!(reached::<Request>(), RequestState::iter().collect());
    assert_eq!(reached::<Lease>(), LeaseState::iter().collect());
    assert_eq!(reached::<Drain>(), DrainState::iter().collect());
}

#[test]
fn every_gap_is_an_error() {
    rejects_each_gap::<Replica>();
    rejects_each_gap::<Request>();
    rejects_each_gap::<Lease>();
    rejects_each_gap::<Drain>();
}

#[test]
fn unknown_names_are_errors() {
    let bad = Replica::TEXT.replace("confirm: ready", "confirm: warm");
    assert!(matches!(
        Chart::<Replica>::parse(&bad),
        Err(ChartError::UnknownName { name, .. }) if name == "warm"
    ));
}

#[test]
fn memory_is_uncounted_only_on_proof() {
    let chart = Chart::<Replica>::load().unwrap();
    for state in ReplicaState::iter().filter(|s| *s != ReplicaState::Absent) {
        for event in ReplicaEvent::iter() {
            let proof = matches!(event, ReplicaEvent::Fail | ReplicaEvent::Release);
            let gone = chart.step(state, event) == Move::To(ReplicaState::Absent);
            assert!(!gone || proof, "{event} in {state}");
        }
    }
}

#[test]
fn sent_requests_are_not_run_only_on_proof() {
    let chart = Chart::<Request>::load().unwrap();
    for state in [RequestState::Sent, RequestState::Streaming] {
        for event in RequestEvent::iter().filter(|e| *e != RequestEvent::Prove) {
            assert_ne!(
                chart.step(state, event),
                Move::To(RequestState::NotRun),
                "{event} in {state}"
            );
        }
    }
}

#[test]
fn final_requests_stay_final() {
    let chart = Chart::<Request>::load().unwrap();
    for state in [
        RequestState::Answered,
        RequestState::NotRun,
        RequestState::Ran,
    ] {
        for event in RequestEvent::iter() {
            let next = chart.step(state, event);
            assert!(!matches!(next, Move::To(_)), "{event} in {state}");
        }
    }
}

#[test]
fn lapsed_lease_is_held_only_by_acquiring() {
    let chart = Chart::<Lease>::load().unwrap();
    for event in LeaseEvent::iter().filter(|e| *e != LeaseEvent::Acquire) {
        assert_ne!(
            chart.step(LeaseState::Lapsed, event),
            Move::To(LeaseState::Held)
        );
    }
}
