//! Limits that endpoints name, divided among instances in simulated time, under seeded cases.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::time::Duration;

use brassrack::gateway::orders::limit_ledger::{InstanceWant, LimitLedger};
use brassrack::gateway::servers::{EndpointLimits, Grant, LimitAnswer, LimitNotice};

/// Seeds that are played unless `LIMIT_SEEDS` names others, as `5` or `0-399`.
const SEEDS: RangeInclusive<u64> = 0..=59;
const STEP_MS: u64 = 10;
const NAMED_MS: u64 = 2_000;
const ENDED_MS: u64 = 32_000;
const END_MS: u64 = 50_000;
/// Interval of the holder's plans and of the instances' reports.
const PLAN_MS: u64 = 50;
const REPORT_MS: u64 = 200;
/// Longest interval between two updates of the holder.
const UPDATE_MS: u64 = 300;
/// Time for which a request waits for a permit.
const PATIENCE_MS: u64 = 1_000;
/// Time without a holder after one is lost.
const NO_HOLDER_MS: u64 = 6_000;
/// The users' rule: windows that end this long after the limit was first named.
const GRACE_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
/// An instance counts this long after it has passed on an answer that names the limit.
const TOLD_MS: u64 = 500;
/// Time in which the end of a limit is learnt where requests wait for it, and where others serve them.
const LEARN_WAITING_MS: u64 = 2_000;
const LEARN_MS: u64 = 15_000;
const ID: &str = "e";
const STARTED_MS: u64 = 5;

/// Seeded generator (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Uniform between 0 and 1.
    fn draw(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).unwrap_or(0)) / f64::from(u32::MAX)
    }
}

/// Load and troubles of a case.
#[derive(Debug, Clone, Copy)]
struct Load {
    instances: usize,
    /// Requests a second that the endpoint takes.
    limit: f64,
    /// Requests a second that could go to it.
    demand: f64,
    /// Whether a request without a permit waits; else another endpoint takes it.
    waits: bool,
    /// Times at which the holder is lost.
    lost_holders: u64,
    /// Whether an instance starts again each second.
    restarts: bool,
}

#[derive(Debug)]
enum Event {
    Answer {
        instance: usize,
        sent: u64,
    },
    Report {
        instance: usize,
        want: (u32, u32),
        heard: u64,
        notice: Option<LimitNotice>,
    },
    Update {
        instance: usize,
        clock: u64,
        permits: u32,
        next_in: Duration,
        notice: Option<LimitNotice>,
    },
}

#[derive(Default)]
struct Instance {
    limits: EndpointLimits,
    waiting: VecDeque<u64>,
    heard: u64,
    told: Option<u64>,
}

#[derive(Default, Debug)]
struct Outcome {
    /// Time and instance of each request to the endpoint, and since when that one had been told.
    sends: Vec<(u64, Option<u64>)>,
}

struct Case {
    load: Load,
    random: Random,
    instances: Vec<Instance>,
    /// What the holder knows; none without one.
    holder: Option<EndpointLimits>,
    ledger: LimitLedger,
    wants: BTreeMap<u64, InstanceWant>,
    next_holder: u64,
    last_update: u64,
    events: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn notice(limits: &EndpointLimits, now: u64) -> Option<LimitNotice> {
    limits.notices(at(now)).into_iter().next()
}

impl Case {
    fn new(seed: u64, load: Load) -> Self {
        Self {
            load,
            random: Random(seed),
            instances: (0..load.instances).map(|_| Instance::default()).collect(),
            holder: Some(EndpointLimits::default()),
            ledger: LimitLedger::default(),
            wants: BTreeMap::new(),
            next_holder: 0,
            last_update: 0,
            events: BTreeMap::new(),
            numbers: 0,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, after: u64, now: u64, event: Event) {
        self.numbers += 1;
        self.events.insert((now + after, self.numbers), event);
    }

    fn play(mut self) -> Outcome {
        let lost: Vec<u64> = (0..self.load.lost_holders)
            .map(|_| self.random.below(END_MS / STEP_MS) * STEP_MS)
            .collect();
        for now in (0..END_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            let arrivals = self.load.demand * at(STEP_MS).as_secs_f64();
            if self.random.draw() < arrivals {
                self.arrive(now);
            }
            while let Some((when, event)) = self.events.pop_first() {
                if when.0 > now {
                    self.events.insert(when, event);
                    break;
                }
                self.handle(event, now);
            }
            self.serve_waiting(now);
            if lost.contains(&now) {
                self.holder = None;
                self.next_holder = now + NO_HOLDER_MS;
            }
            if self.holder.is_none() && now >= self.next_holder {
                self.holder = Some(EndpointLimits::default());
                self.ledger.clear();
                self.wants.clear();
            }
            if now.is_multiple_of(PLAN_MS) {
                self.plan(now);
            }
            if now.is_multiple_of(REPORT_MS) && self.holder.is_some() {
                for instance in 0..self.instances.len() {
                    self.report(instance, now);
                }
            }
            if self.load.restarts && now.is_multiple_of(1_000) {
                let restarted = self.random.below(self.load.instances as u64);
                if let Some(instance) = self
                    .instances
                    .get_mut(usize::try_from(restarted).unwrap_or(0))
                {
                    *instance = Instance::default();
                }
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        // Half of the requests come to an eighth of the instances.
        let all = self.load.instances as u64;
        let few = if self.random.below(2) == 0 {
            all.div_ceil(8)
        } else {
            all
        };
        let number = usize::try_from(self.random.below(few)).unwrap_or(0);
        let instance = &mut self.instances[number];
        let limits = &mut instance.limits;
        limits.record_wanted(ID, STARTED_MS, 1.0, at(now));
        if limits.is_open(ID, STARTED_MS, 1, false, at(now)) {
            self.send(number, now);
        } else if self.load.waits {
            limits.set_waiting(ID, STARTED_MS, 1, true);
            instance.waiting.push_back(now);
            if self.holder.is_some() {
                self.report(number, now);
            }
        }
    }

    fn send(&mut self, number: usize, now: u64) {
        let instance = &mut self.instances[number];
        assert!(instance.limits.take(ID, STARTED_MS, at(now)), "it is open");
        self.outcome.sends.push((now, instance.told));
        let takes = 30 + self.random.below(400);
        self.schedule(
            takes,
            now,
            Event::Answer {
                instance: number,
                sent: now,
            },
        );
    }

    fn serve_waiting(&mut self, now: u64) {
        for number in 0..self.instances.len() {
            loop {
                let instance = &mut self.instances[number];
                let Some(arrived) = instance.waiting.front().copied() else {
                    break;
                };
                let limits = &mut instance.limits;
                let may_send = limits.is_open(ID, STARTED_MS, 1, true, at(now));
                if !may_send && now < arrived + PATIENCE_MS {
                    break;
                }
                instance.waiting.pop_front();
                limits.set_waiting(ID, STARTED_MS, 1, false);
                if may_send {
                    self.send(number, now);
                }
            }
        }
    }

    fn report(&mut self, number: usize, now: u64) {
        let instance = &self.instances[number];
        let missing = instance.limits.missing(ID, at(now));
        let event = Event::Report {
            instance: number,
            want: (missing.waiting, missing.ahead),
            heard: instance.heard,
            notice: notice(&instance.limits, now),
        };
        let delay = 5 + self.random.below(30);
        self.schedule(delay, now, event);
    }

    fn plan(&mut self, now: u64) {
        let Some(holder) = &self.holder else {
            return;
        };
        let known = notice(holder, now);
        let wants: Vec<InstanceWant> = self.wants.values().copied().collect();
        let grants = known
            .as_ref()
            .map(|limit| self.ledger.grant(limit, &wants, at(now)));
        let grants = grants.unwrap_or_default();
        let is_due = now >= self.last_update + UPDATE_MS;
        if is_due {
            self.last_update = now;
        }
        for instance in 0..self.instances.len() {
            let permits = grants
                .permits
                .get(&(instance as u64))
                .copied()
                .unwrap_or_default();
            if permits == 0 && !is_due {
                continue;
            }
            let event = Event::Update {
                instance,
                clock: now,
                permits,
                next_in: grants.next_in,
                notice: known.clone(),
            };
            let delay = 5 + self.random.below(30);
            self.schedule(delay, now, event);
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        let draw = self.random.draw();
        match event {
            Event::Answer { instance, sent } => {
                let names = (NAMED_MS..ENDED_MS).contains(&now);
                let answer = LimitAnswer {
                    rate: names.then_some(self.load.limit),
                    sent_at: at(sent),
                    now: at(now),
                };
                let instance = &mut self.instances[instance];
                instance.limits.record(ID, STARTED_MS, answer, draw);
                if names {
                    instance.told.get_or_insert(now);
                }
            }
            Event::Report {
                instance,
                want: (waiting, ahead),
                heard,
                notice,
            } => {
                let Some(holder) = &mut self.holder else {
                    return;
                };
                if let Some(notice) = notice {
                    holder.merge(&notice, at(now), draw);
                }
                let instance = instance as u64;
                let heard = at(heard);
                let want = InstanceWant {
                    instance,
                    waiting,
                    ahead,
                    heard,
                };
                self.wants.insert(instance, want);
            }
            Event::Update {
                instance,
                clock,
                permits,
                next_in,
                notice,
            } => {
                let instances = u32::try_from(self.load.instances).unwrap_or(u32::MAX);
                let instance = &mut self.instances[instance];
                instance.heard = clock;
                let Some(notice) = notice else {
                    return;
                };
                instance.limits.merge(&notice, at(now), draw);
                let grant = Grant {
                    permits,
                    next_in,
                    instances,
                };
                instance.limits.grant(ID, grant, at(now), draw);
            }
        }
    }
}

/// Most requests in a window that the users' rule counts, and what it allows.
fn most_in_window(outcome: &Outcome) -> usize {
    let counts = |told: Option<u64>, sent: u64| told.is_some_and(|t| sent >= t + TOLD_MS);
    let sends: Vec<u64> = outcome
        .sends
        .iter()
        .filter(|(sent, told)| *sent < ENDED_MS && counts(*told, *sent))
        .map(|(sent, _)| *sent)
        .collect();
    let ends = sends.iter().filter(|s| **s >= NAMED_MS + GRACE_MS);
    let in_window = |end: &u64| {
        sends
            .iter()
            .filter(|s| **s <= *end && **s + WINDOW_MS > *end)
            .count()
    };
    ends.map(in_window).max().unwrap_or(0)
}

fn allowed(limit: f64) -> f64 {
    limit * at(WINDOW_MS).as_secs_f64() * 1.5 + 5.0
}

fn load(seed: u64) -> Load {
    let mut random = Random(!seed);
    let instances = [2, 8, 69, 300][usize::try_from(random.below(4)).unwrap_or(0)];
    let limit = [0.0, 0.4, 1.1, 3.0, 12.0][usize::try_from(random.below(5)).unwrap_or(0)];
    Load {
        instances,
        limit,
        demand: (limit * 4.0 * random.draw()).max(2.0),
        waits: random.below(2) == 0,
        lost_holders: random.below(3),
        restarts: random.below(4) == 0,
    }
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("LIMIT_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    from.parse().unwrap()..=to.parse().unwrap()
}

/// Guards against LIMIT: instances that keep a limit each for itself, lost holders, restarts.
#[test]
fn limit_is_kept_by_all_together() {
    for seed in seeds() {
        let load = load(seed);
        let outcome = Case::new(seed, load).play();
        let most = u32::try_from(most_in_window(&outcome)).unwrap_or(u32::MAX);
        assert!(
            f64::from(most) <= allowed(load.limit),
            "seed {seed}: {most} in a window, {load:?}"
        );
    }
}

/// Guards against a limit that refuses far more than it has to.
#[test]
fn limit_is_used() {
    for seed in seeds() {
        let load = Load {
            waits: true,
            lost_holders: 0,
            restarts: false,
            ..load(seed)
        };
        if load.limit < 1.0 || load.demand < load.limit * 2.0 {
            continue;
        }
        let outcome = Case::new(seed, load).play();
        let (from, to) = (NAMED_MS + GRACE_MS, ENDED_MS);
        let sent = outcome
            .sends
            .iter()
            .filter(|(sent, _)| (from..to).contains(sent))
            .count();
        let sent = f64::from(u32::try_from(sent).unwrap_or(0));
        let taken = load.limit * at(to - from).as_secs_f64();
        println!("{load:?}: {sent} of {taken}");
        assert!(
            sent >= 0.5 * taken,
            "seed {seed}: {sent} of {taken}, {load:?}"
        );
    }
}

/// Guards against a limit that is kept long after it has ended, as nobody sends a request there.
#[test]
fn end_of_limit_is_learnt() {
    for seed in seeds() {
        let load = Load {
            lost_holders: 0,
            limit: 1.1,
            demand: 8.0,
            ..load(seed)
        };
        let learn_ms = if load.waits {
            LEARN_WAITING_MS
        } else {
            LEARN_MS
        };
        let outcome = Case::new(seed, load).play();
        let mut late = outcome.sends.iter().filter(|(sent, _)| *sent >= ENDED_MS);
        let first = late.next().map(|(sent, _)| sent - ENDED_MS);
        assert!(
            first.is_some_and(|after| after <= learn_ms),
            "seed {seed}: {first:?}, {load:?}"
        );
    }
}
