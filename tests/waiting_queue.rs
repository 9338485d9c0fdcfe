//! Waiting queue: order, bounds, deadlines and fairness under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use brassrack::limits::{QueueSettings, QueuedRequest, WaitQueue};
use brassrack::rules::PriorityClass;
use brassrack::verdict::{Cause, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);

fn request(id: u64, tenant: &str, class: PriorityClass, deadline: u32) -> QueuedRequest {
    QueuedRequest {
        id,
        tenant: tenant.into(),
        class,
        deadline: MS * deadline,
        service_time: MS * 10,
        cost: 1,
    }
}

fn standard(id: u64, tenant: &str) -> QueuedRequest {
    request(id, tenant, PriorityClass::Standard, 60_000)
}

fn queue(capacity: usize, quantum: u32) -> WaitQueue {
    WaitQueue::new(QueueSettings {
        capacity,
        quantum,
        ..QueueSettings::default()
    })
}

fn drained(queue: &mut WaitQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.take_next(Duration::ZERO).next)
        .map(|request| request.id)
        .collect()
}

#[test]
fn class_goes_before_deadline_before_arrival() {
    let mut queue = queue(16, 1);
    let requests = [
        request(1, "vic", PriorityClass::Batch, 100),
        request(2, "vic", PriorityClass::Standard, 900),
        request(3, "vic", PriorityClass::Interactive, 950),
        request(4, "vic", PriorityClass::Standard, 500),
        request(5, "vic", PriorityClass::Standard, 500),
    ];
    for request in requests {
        assert_eq!(queue.enqueue(request, Duration::ZERO), Ok(None));
    }
    assert_eq!(drained(&mut queue), [3, 4, 5, 2, 1]);
}

#[test]
fn tenants_take_turns_by_cost() {
    let mut queue = queue(16, 4);
    for id in 1..=4 {
        let costly = QueuedRequest {
            cost: 4,
            ..standard(id, "vic")
        };
        assert_eq!(queue.enqueue(costly, Duration::ZERO), Ok(None));
    }
    for id in 11..=18 {
        assert_eq!(
            queue.enqueue(standard(id, "moste"), Duration::ZERO),
            Ok(None)
        );
    }
    let order = drained(&mut queue);
    assert_eq!(order, [1, 11, 12, 13, 14, 2, 15, 16, 17, 18, 3, 4]);
}

#[test]
fn full_queue_refuses_the_longest_line() {
    let mut queue = queue(4, 1);
    for id in 1..=4 {
        assert_eq!(queue.enqueue(standard(id, "vic"), Duration::ZERO), Ok(None));
    }
    let refusal = queue
        .enqueue(standard(5, "vic"), Duration::ZERO)
        .unwrap_err();
    let seen = (
        refusal.verdict,
        refusal.cause,
        refusal.retry_after.is_some(),
    );
    assert_eq!(seen, (Verdict::NotRun, Cause::Overload, true));
    let displaced = queue.enqueue(standard(6, "moste"), Duration::ZERO).unwrap();
    assert_eq!(displaced.map(|r| r.id), Some(4));
    assert_eq!(queue.len(), 4);
}

#[test]
fn late_requests_are_handed_back() {
    let mut queue = queue(16, 1);
    for (id, deadline) in [(1, 100), (2, 200)] {
        let request = request(id, "vic", PriorityClass::Standard, deadline);
        assert_eq!(queue.enqueue(request, Duration::ZERO), Ok(None));
    }
    assert_eq!(queue.next_expiry(), Some(MS * 90));
    let turn = queue.take_next(MS * 91);
    assert_eq!(turn.expired.iter().map(|r| r.id).collect::<Vec<_>>(), [1]);
    assert_eq!(turn.next.map(|r| r.id), Some(2));
}

#[test]
fn request_that_cannot_make_it_is_refused_at_once() {
    let mut queue = queue(64, 1);
    for id in 0..40 {
        assert_eq!(queue.enqueue(standard(id, "vic"), Duration::ZERO), Ok(None));
    }
    for i in 0..20 {
        assert!(queue.take_next(MS * 100 * i).next.is_some());
    }
    let now = MS * 2000;
    let hopeless = request(99, "vic", PriorityClass::Standard, 61_000);
    let short = request(98, "vic", PriorityClass::Batch, 2_500);
    assert_eq!(queue.enqueue(hopeless, now), Ok(None));
    let refusal = queue.enqueue(short, now).unwrap_err();
    assert_eq!(refusal.cause, Cause::DeadlineTooShort);
}

#[test]
fn removed_request_leaves_nothing_behind() {
    let mut queue = queue(16, 1);
    assert_eq!(queue.enqueue(standard(1, "vic"), Duration::ZERO), Ok(None));
    assert_eq!(queue.remove(1).map(|r| r.id), Some(1));
    assert_eq!(queue.remove(1), None);
    assert!(queue.is_empty() && queue.next_expiry().is_none());
}

/// Slots that serve, and the time that each request takes.
const SLOTS: usize = 10;
const SERVICE: Duration = Duration::from_millis(100);

/// Requests a second that the slots can serve.
const CAPACITY: f64 = 100.0;

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    sent: u32,
    served: u32,
    refused: u32,
}

#[derive(Debug, Default)]
struct Overload {
    tenants: BTreeMap<String, Outcome>,
    busy: Vec<Duration>,
    waiting: BTreeMap<u64, String>,
}

impl Overload {
    fn refuse(&mut self, request: &QueuedRequest, now: Duration) {
        assert!(now <= request.deadline, "refused after the deadline");
        self.end(request.id).refused += 1;
    }

    fn serve(&mut self, request: &QueuedRequest, now: Duration) {
        assert!(
            now + SERVICE <= request.deadline,
            "served after the deadline"
        );
        self.busy.push(now + SERVICE);
        self.end(request.id).served += 1;
    }

    fn end(&mut self, id: u64) -> &mut Outcome {
        let tenant = self.waiting.remove(&id);
        assert!(tenant.is_some(), "request {id} ended twice");
        self.tenants.entry(tenant.unwrap_or_default()).or_default()
    }

    fn send(
        &mut self,
        queue: &mut WaitQueue,
        tenant: &str,
        request: &QueuedRequest,
        now: Duration,
    ) {
        self.tenants.entry(tenant.into()).or_default().sent += 1;
        self.waiting.insert(request.id, tenant.into());
        match queue.enqueue(request.clone(), now) {
            Ok(None) => {}
            Ok(Some(displaced)) => self.refuse(&displaced, now),
            Err(refusal) => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                self.refuse(request, now);
            }
        }
    }

    fn turn(&mut self, queue: &mut WaitQueue, now: Duration) {
        self.busy.retain(|end| *end > now);
        for late in queue.take_expired(now) {
            self.refuse(&late, now);
        }
        while self.busy.len() < SLOTS {
            let Some(next) = queue.take_next(now).next else {
                break;
            };
            self.serve(&next, now);
        }
    }
}

/// Runs one minute of model time; the loads are parts of the capacity.
///
/// Without lanes, all tenants wait in one line.
fn overload(seed: u64, lanes: bool, loads: &[(&str, f64)]) -> BTreeMap<String, Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = queue(256, 8);
    let mut run = Overload::default();
    let mut id = 0;
    for ms in 0..64_000 {
        let now = MS * ms;
        for (tenant, load) in loads.iter().filter(|_| ms < 60_000) {
            if rng.random_bool(load * CAPACITY / 1000.0) {
                id += 1;
                let request = QueuedRequest {
                    id,
                    tenant: if lanes { *tenant } else { "all" }.into(),
                    class: [PriorityClass::Interactive, PriorityClass::Standard]
                        [rng.random_range(0..2)],
                    deadline: now + MS * rng.random_range(500..3_000),
                    service_time: SERVICE,
                    cost: 1,
                };
                run.send(&mut queue, tenant, &request, now);
            }
        }
        run.turn(&mut queue, now);
    }
    assert!(run.waiting.is_empty(), "requests without an end");
    run.tenants
}

#[test]
fn one_line_for_all_starves_the_small_tenants() {
    let run = overload(1, false, &[("flood", 3.0), ("vic", 0.25), ("moste", 0.2)]);
    for tenant in ["vic", "moste"] {
        let outcome = run[tenant];
        assert!(
            outcome.served * 100 < outcome.sent * 60,
            "{tenant} {outcome:?}"
        );
    }
}

#[test]
fn one_tenant_at_three_times_the_capacity_leaves_the_others_their_share() {
    for seed in 1..=5 {
        let run = overload(seed, true, &[("flood", 3.0), ("vic", 0.25), ("moste", 0.2)]);
        for tenant in ["vic", "moste"] {
            let outcome = run[tenant];
            assert!(
                outcome.served * 100 >= outcome.sent * 98,
                "{tenant} {outcome:?}"
            );
        }
        let served: u32 = run.values().map(|o| o.served).sum();
        assert!(f64::from(served) >= 0.97 * CAPACITY * 60.0, "{served}");
    }
}

#[test]
fn all_tenants_at_three_times_the_capacity_share_it_evenly() {
    for seed in 1..=5 {
        let run = overload(
            seed,
            true,
            &[("vic", 1.0), ("moste", 1.0), ("bezigrad", 1.0)],
        );
        let third = CAPACITY * 60.0 / 3.0;
        for (tenant, outcome) in &run {
            let share = f64::from(outcome.served) / third;
            assert!((0.93..=1.1).contains(&share), "{tenant} {outcome:?}");
        }
    }
}

#[test]
fn every_request_ends_once() {
    for seed in 1..=5 {
        for outcome in overload(seed, true, &[("vic", 2.0), ("moste", 1.0)]).values() {
            assert_eq!(outcome.served + outcome.refused, outcome.sent);
        }
    }
}
