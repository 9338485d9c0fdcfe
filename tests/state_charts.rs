//! Charts cover every state and event, and what must hold can be read off them.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;

use brassrack::state_chart::{
    ChartDefinition, ChartError, DrainChart, DrainState, LeaseChart, LeaseEvent, LeaseState,
    ReplicaChart, ReplicaEvent, ReplicaState, RequestChart, RequestEvent, RequestState, StateChart,
    Transition,
};
use strum::IntoEnumIterator;

/// Every state that some events lead to from the initial one.
fn reached<K: ChartDefinition>() -> BTreeSet<K::State> {
    let chart = StateChart::<K>::load().unwrap();
    let mut seen = BTreeSet::from([chart.initial()]);
    let mut open = vec![chart.initial()];
    while let Some(state) = open.pop() {
        for event in K::Event::iter() {
            if let Transition::To(next) = chart.transition(state, event)
                && seen.insert(next)
            {
                open.push(next);
            }
        }
    }
    seen
}

/// Removes every pair in turn from the chart's text and expects the loader to name it.
fn rejects_each_gap<K: ChartDefinition>() {
    let lines: Vec<&str> = K::TEXT.lines().collect();
    let mut gaps = 0;
    for (i, line) in lines.iter().enumerate() {
        if !line.starts_with("    ") {
            continue;
        }
        let mut text: Vec<&str> = lines.clone();
        text.remove(i);
        let event = line.trim().split(':').next().unwrap();
        match StateChart::<K>::parse(&text.join("\n")) {
            Err(ChartError::MissingTransition { event: named, .. }) => assert_eq!(named, event),
            other => panic!("{} without `{line}`: {other:?}", K::NAME),
        }
        gaps += 1;
    }
    assert_eq!(gaps, K::State::iter().count() * K::Event::iter().count());
}

#[test]
fn every_state_is_reached() {
    assert_eq!(reached::<ReplicaChart>(), ReplicaState::iter().collect());
    assert_eq!(reached::<RequestChart>(), RequestState::iter().collect());
    assert_eq!(reached::<LeaseChart>(), LeaseState::iter().collect());
    assert_eq!(reached::<DrainChart>(), DrainState::iter().collect());
}

#[test]
fn every_gap_is_an_error() {
    rejects_each_gap::<ReplicaChart>();
    rejects_each_gap::<RequestChart>();
    rejects_each_gap::<LeaseChart>();
    rejects_each_gap::<DrainChart>();
}

#[test]
fn unknown_names_are_errors() {
    let bad = ReplicaChart::TEXT.replace("confirm: ready", "confirm: warm");
    assert!(matches!(
        StateChart::<ReplicaChart>::parse(&bad),
        Err(ChartError::UnknownName { name, .. }) if name == "warm"
    ));
}

#[test]
fn memory_is_uncounted_only_on_proof() {
    let chart = StateChart::<ReplicaChart>::load().unwrap();
    for state in ReplicaState::iter().filter(|s| *s != ReplicaState::Absent) {
        for event in ReplicaEvent::iter() {
            let proof = matches!(event, ReplicaEvent::Fail | ReplicaEvent::Release);
            let gone = chart.transition(state, event) == Transition::To(ReplicaState::Absent);
            assert!(!gone || proof, "{event} in {state}");
        }
    }
}

#[test]
fn sent_requests_are_not_run_only_on_proof() {
    let chart = StateChart::<RequestChart>::load().unwrap();
    for state in [RequestState::Sent, RequestState::Streaming] {
        for event in RequestEvent::iter().filter(|e| *e != RequestEvent::Prove) {
            assert_ne!(
                chart.transition(state, event),
                Transition::To(RequestState::NotRun),
                "{event} in {state}"
            );
        }
    }
}

#[test]
fn final_requests_stay_final() {
    let chart = StateChart::<RequestChart>::load().unwrap();
    for state in [
        RequestState::Answered,
        RequestState::NotRun,
        RequestState::Ran,
    ] {
        for event in RequestEvent::iter() {
            let next = chart.transition(state, event);
            assert!(!matches!(next, Transition::To(_)), "{event} in {state}");
        }
    }
}

#[test]
fn lapsed_lease_is_held_only_by_acquiring() {
    let chart = StateChart::<LeaseChart>::load().unwrap();
    for event in LeaseEvent::iter().filter(|e| *e != LeaseEvent::Acquire) {
        assert_ne!(
            chart.transition(LeaseState::Lapsed, event),
            Transition::To(LeaseState::Held)
        );
    }
}
