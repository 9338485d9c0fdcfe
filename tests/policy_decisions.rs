//! Decisions of the policy: keep-alive, loading ahead, placement, eviction, order, admission.

use std::time::Duration;

use brassrack::policy::demand::Demand;
use brassrack::policy::key::{DomainKey, ModelKey, ServerKey};
use brassrack::policy::load_queue::{
    Admission, PendingLoad, admit, estimate_completion, sort_by_urgency,
};
use brassrack::policy::server_selection::{Candidate, EvictionCandidate, Locality, choose_server};
use brassrack::policy::{AbsentModel, ModelProfile, Policy};
use brassrack::rules::{PriorityClass, Weights};

const GIB: u64 = 1 << 30;
const RELOAD: Duration = Duration::from_secs(10);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn policy(idle: f64) -> Policy {
    Policy::new(Weights {
        idle,
        ..Weights::default()
    })
}

fn profile(class: PriorityClass) -> ModelProfile {
    ModelProfile {
        base: None,
        bytes: 16 * GIB,
        class,
    }
}

/// A policy that saw one model asked for every `gap` seconds, and the time of the last request.
fn periodic(idle: f64, gap: u64, times: u64) -> (Policy, ModelKey, Duration) {
    let mut policy = policy(idle);
    let model = policy.insert(profile(PriorityClass::Interactive));
    for n in 0..times {
        policy.record_arrival(model, PriorityClass::Interactive, secs(n * gap));
    }
    (policy, model, secs((times - 1) * gap))
}

/// A policy that saw one model asked for daily at noon, and the time of the next noon.
fn daily(idle: f64) -> (Policy, ModelKey, Duration) {
    let day = Duration::from_hours(24);
    let noon = day / 2;
    let mut policy = policy(idle);
    let model = policy.insert(profile(PriorityClass::Interactive));
    for n in 0..8 {
        policy.record_arrival(model, PriorityClass::Interactive, noon + day * n);
    }
    (policy, model, noon + day * 8)
}

#[test]
fn keep_alive_covers_the_usual_gap() {
    let (policy, model, last) = periodic(0.5, 60, 50);
    assert!(policy.keep_alive(model, last, RELOAD) >= secs(60));
}

#[test]
fn keep_alive_grows_as_idle_hours_weigh_less() {
    let keeps = [1.0, 0.9, 0.5, 0.1, 0.0].map(|idle| {
        let (policy, model, last) = periodic(idle, 700, 50);
        policy.keep_alive(model, last, RELOAD)
    });
    assert!(keeps.is_sorted(), "{keeps:?}");
}

#[test]
fn nothing_is_kept_where_only_idle_hours_count() {
    let (policy, model, last) = periodic(1.0, 60, 50);
    assert_eq!(policy.keep_alive(model, last, RELOAD), Duration::ZERO);
}

#[test]
fn keep_alive_grows_with_the_reload() {
    let (policy, model, last) = periodic(0.5, 700, 50);
    let keeps = [1, 4, 16, 64].map(|s| policy.keep_alive(model, last, secs(s)));
    assert!(keeps.is_sorted(), "{keeps:?}");
}

#[test]
fn batch_requests_hold_no_memory() {
    let mut policy = policy(0.5);
    let model = policy.insert(profile(PriorityClass::Batch));
    policy.record_arrival(model, PriorityClass::Batch, secs(0));
    assert_eq!(policy.keep_alive(model, secs(1), RELOAD), Duration::ZERO);
}

#[test]
fn adapter_requests_keep_the_base() {
    let mut policy = policy(0.5);
    let base = policy.insert(profile(PriorityClass::Interactive));
    let adapter = policy.insert(ModelProfile {
        base: Some(base),
        ..profile(PriorityClass::Interactive)
    });
    for n in 0..50 {
        policy.record_arrival(adapter, PriorityClass::Interactive, secs(60 * n));
    }
    assert!(policy.keep_alive(base, secs(49 * 60), RELOAD) >= secs(60));
}

#[test]
fn daily_wakes_are_loaded_ahead() {
    let (policy, model, noon) = daily(0.1);
    let absent = [AbsentModel {
        model,
        load_time: RELOAD,
    }];
    let cases = [(60, true), (6 * 3_600, false)];
    for (before, expected) in cases {
        let now = noon.saturating_sub(secs(before));
        assert_eq!(
            !policy.choose_preloads(now, &absent).is_empty(),
            expected,
            "{now:?}"
        );
    }
}

#[test]
fn unknown_models_are_not_loaded_ahead() {
    let (mut policy, model, noon) = daily(0.1);
    policy.remove(model);
    let absent = [AbsentModel {
        model,
        load_time: RELOAD,
    }];
    assert_eq!(policy.choose_preloads(noon, &absent), []);
}

fn candidate(server: u32) -> Candidate {
    Candidate {
        server: ServerKey(server),
        domain: DomainKey(0),
        free_bytes: 40 * GIB,
        idle_bytes: 0,
        locality: Locality::Remote,
        cached_bytes: 0,
        ready_in: secs(8),
    }
}

#[test]
fn placement_follows_time_memory_and_domains() {
    let usual = candidate(0);
    let other = candidate(1);
    let cases = [
        ("none", vec![], None),
        (
            "no room",
            vec![Candidate {
                free_bytes: GIB,
                ..usual
            }],
            None,
        ),
        (
            "disk first",
            vec![
                usual,
                Candidate {
                    locality: Locality::Disk,
                    ready_in: secs(4),
                    ..other
                },
            ],
            Some(1),
        ),
        (
            "idle memory counts",
            vec![Candidate {
                free_bytes: 0,
                idle_bytes: 16 * GIB,
                ..usual
            }],
            Some(0),
        ),
        (
            "free memory before eviction",
            vec![
                Candidate {
                    free_bytes: 0,
                    idle_bytes: 16 * GIB,
                    ..usual
                },
                other,
            ],
            Some(1),
        ),
        (
            "fullest that fits",
            vec![
                usual,
                Candidate {
                    free_bytes: 17 * GIB,
                    ..other
                },
            ],
            Some(1),
        ),
        (
            "fewest checkpoints displaced",
            vec![
                Candidate {
                    cached_bytes: 30 * GIB,
                    ..usual
                },
                other,
            ],
            Some(1),
        ),
        ("first of equals", vec![other, usual], Some(0)),
    ];
    for (name, candidates, expected) in cases {
        let chosen = choose_server(&candidates, 16 * GIB, &[]);
        assert_eq!(chosen, expected.map(ServerKey), "{name}");
    }
}

#[test]
fn replicas_spread_over_failure_domains() {
    let near = candidate(0);
    let far = Candidate {
        domain: DomainKey(1),
        ready_in: secs(12),
        ..candidate(1)
    };
    let chosen = choose_server(&[near, far], GIB, &[DomainKey(0)]);
    assert_eq!(chosen, Some(ServerKey(1)));
}

#[test]
fn eviction_frees_enough_and_spares_running_replicas() {
    let mut policy = policy(0.5);
    let models: Vec<ModelKey> = (0..3)
        .map(|_| policy.insert(profile(PriorityClass::Interactive)))
        .collect();
    // The first model is asked for often, the others once.
    for n in 0..50 {
        policy.record_arrival(models[0], PriorityClass::Interactive, secs(60 * n));
    }
    policy.record_arrival(models[1], PriorityClass::Interactive, secs(0));
    policy.record_arrival(models[2], PriorityClass::Interactive, secs(0));
    let resident = |i: usize, bytes, running| EvictionCandidate {
        model: models[i],
        bytes: bytes * GIB,
        requests: running,
        load_time: RELOAD,
    };
    let now = secs(49 * 60 + 1);
    let cases = [
        (vec![resident(0, 16, 0), resident(1, 16, 0)], Some(vec![1])),
        (vec![resident(0, 16, 0), resident(1, 16, 1)], Some(vec![0])),
        (vec![resident(0, 16, 1), resident(1, 16, 1)], None),
        (vec![resident(1, 2, 0), resident(2, 16, 0)], Some(vec![2])),
    ];
    for (residents, expected) in cases {
        let expected = expected.map(|v: Vec<usize>| v.iter().map(|i| models[*i]).collect());
        assert_eq!(
            policy.choose_evictions(&residents, 16 * GIB, now),
            expected,
            "{residents:?}"
        );
    }
}

#[test]
fn load_queue_goes_by_class_then_feasibility_then_slack() {
    let mut policy = policy(0.5);
    let mut pending = |class, deadline, load| PendingLoad {
        model: policy.insert(profile(PriorityClass::Interactive)),
        class,
        deadline: secs(deadline),
        load_time: secs(load),
        requested_at: secs(0),
    };
    let expected = [
        pending(Some(PriorityClass::Interactive), 20, 8),
        pending(Some(PriorityClass::Interactive), 200, 2),
        pending(Some(PriorityClass::Interactive), 205, 7),
        pending(Some(PriorityClass::Interactive), 5, 9),
        pending(Some(PriorityClass::Standard), 10, 1),
        pending(Some(PriorityClass::Batch), 30, 1),
        pending(None, 3, 1),
    ];
    let mut queue = expected;
    queue.reverse();
    sort_by_urgency(&mut queue, secs(0));
    assert_eq!(queue, expected);
}

#[test]
fn estimates_follow_the_slots() {
    let cases = [
        (vec![], vec![], 4, 5),
        (vec![9, 9, 9], vec![], 4, 5),
        (vec![9, 8, 7, 6], vec![], 4, 11),
        (vec![9, 8, 7, 6], vec![10], 4, 12),
        (vec![9], vec![3], 1, 17),
    ];
    for (busy, ahead, slots, expected) in cases {
        let busy: Vec<Duration> = busy.into_iter().map(secs).collect();
        let ahead: Vec<Duration> = ahead.into_iter().map(secs).collect();
        assert_eq!(
            estimate_completion(&busy, &ahead, slots, secs(5)),
            secs(expected),
            "{busy:?} {ahead:?}"
        );
    }
}

#[test]
fn learnt_demand_of_a_model_stays_small() {
    // The odds of the quarter hours lie outside the struct, two bytes each.
    let bytes = size_of::<Demand>() + 2 * 96;
    assert!(bytes <= 512, "{bytes} bytes");
}

#[test]
fn late_requests_are_refused_with_a_time_to_come_back() {
    let cases = [
        (10, 10, Admission::Serve),
        (10, 11, Admission::Refuse(secs(11))),
        (0, 0, Admission::Serve),
    ];
    for (left, estimate, expected) in cases {
        assert_eq!(admit(secs(left), secs(estimate)), expected);
    }
}
