//! Room of brittle endpoints, shared by instances in simulated time, under seeded cases.
//!
//! `ROOM_SEEDS=0-399 cargo test --test room_ledger` plays more seeds than CI does.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::time::Duration;

use brassrack::gateway::room::ledger::RoomLedger;
use brassrack::gateway::room::message::{RoomGrant, RoomReport, RoomUpdate};
use brassrack::gateway::room::permits::{RoomPermits, RoomTarget, RoomTicket};

/// Seeds that are played unless `ROOM_SEEDS` names others, as `5` or `0-399`.
const SEEDS: RangeInclusive<u64> = 0..=19;
const SERVICE: &str = "s";
const INSTANCES: usize = 67;
const ENDPOINTS: usize = 4;
const SLOTS: u32 = 6;
/// Time of a run.
const RUN_MS: u64 = 40;
/// Time for which a request waits.
const PATIENCE_MS: u64 = 500;
const END_MS: u64 = 12_000;
const REPORT_MS: u64 = 200;
/// Interval at which the holder is heard.
const UPDATE_MS: u64 = 300;
/// Time from the begin from which bounds count: the first reports are in.
const BEGIN_MS: u64 = 1_000;
/// Requests beyond the slots that an endpoint gets at most under one holder.
const BEYOND: usize = 2;
/// Share of the requests that are served where there is room for all.
const SERVED_SHARE: f64 = 0.95;
/// Time without a holder after one is lost, and for which its successor counts as settling.
const NO_HOLDER_MS: u64 = 3_000;

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
}

#[derive(Debug)]
enum Event {
    Report(usize, RoomReport),
    Update(usize, RoomUpdate),
    End(usize, usize),
}

struct Instance {
    permits: RoomPermits,
    /// Requests in progress, by endpoint.
    running: [u32; ENDPOINTS],
    waiting: VecDeque<(u64, RoomTicket)>,
}

/// What happens to the instances of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// An instance is killed each half second, and starts again.
    Kills,
    /// The lease holder is lost in the middle.
    Holder,
    /// One in twenty messages is lost.
    Losses,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Most requests at an endpoint beyond its slots, under a settled holder.
    beyond: usize,
    /// The same at other times.
    alone: usize,
    sent: usize,
    served: usize,
}

struct Case {
    random: Random,
    trouble: Trouble,
    instances: Vec<Instance>,
    ledger: Option<RoomLedger>,
    events: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    /// When the last message of each link arrives.
    delivered: BTreeMap<usize, u64>,
    at_endpoints: [usize; ENDPOINTS],
    settled_at: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn id(endpoint: usize) -> String {
    format!("e{endpoint}")
}

fn ids() -> Vec<String> {
    (0..ENDPOINTS).map(id).collect()
}

fn target(id: &str, local_load: u32) -> RoomTarget<'_> {
    RoomTarget {
        service: SERVICE,
        id,
        started_ms: 5,
        slots: SLOTS,
        local_load,
    }
}

impl Instance {
    fn new(random: &mut Random, now: u64) -> Self {
        let count = u32::try_from(INSTANCES).unwrap_or(u32::MAX);
        let mut permits = RoomPermits::new(random.next(), count);
        let is_new = permits.record_answer(SERVICE, Some(4), at(now), at(now));
        assert!(is_new, "nothing was known before");
        Self {
            permits,
            running: [0; ENDPOINTS],
            waiting: VecDeque::new(),
        }
    }

    fn report(&mut self, now: u64) -> Option<RoomReport> {
        let ids = ids();
        let targets = ids.iter().zip(self.running);
        let targets = targets.map(|(id, running)| target(id, running));
        self.permits.report(targets, at(now))
    }
}

impl Case {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let mut random = Random(seed);
        let instances = (0..INSTANCES).map(|_| Instance::new(&mut random, 0));
        Self {
            instances: instances.collect(),
            random,
            trouble,
            ledger: Some(RoomLedger::default()),
            events: BTreeMap::new(),
            numbers: 0,
            delivered: BTreeMap::new(),
            at_endpoints: [0; ENDPOINTS],
            settled_at: BEGIN_MS,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        // Messages of a link keep their order.
        let link = match event {
            Event::Report(number, _) => Some(number),
            Event::Update(number, _) => Some(INSTANCES + number),
            Event::End(..) => None,
        };
        if link.is_some() && self.trouble == Trouble::Losses && self.random.below(20) == 0 {
            return;
        }
        let last = link.map(|link| self.delivered.entry(link).or_default());
        let at = last.map_or(at, |last| {
            *last = at.max(*last);
            *last
        });
        self.numbers += 1;
        self.events.insert((at, self.numbers), event);
    }

    fn play(mut self) -> Outcome {
        let lost_at = END_MS / 2;
        for now in 0..END_MS {
            while let Some((when, event)) = self.events.pop_first() {
                if when.0 > now {
                    self.events.insert(when, event);
                    break;
                }
                self.handle(event, now);
            }
            // 150 requests a second, and 90 at once each 1.5 s.
            let mut arrivals = u64::from(self.random.below(1000) < 150);
            if now % 1_500 == 0 {
                arrivals += 90;
            }
            for _ in 0..arrivals {
                self.arrive(now);
            }
            self.step(now);
            match self.trouble {
                Trouble::Kills if now % 500 == 0 => self.kill(now),
                Trouble::Holder if now == lost_at => {
                    self.ledger = None;
                    self.settled_at = lost_at + NO_HOLDER_MS + BEGIN_MS;
                }
                Trouble::Holder if now == lost_at + NO_HOLDER_MS => {
                    self.ledger = Some(RoomLedger::default());
                    for instance in &mut self.instances {
                        instance.permits.begin_link();
                    }
                }
                _ => {}
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        self.outcome.sent += 1;
        let number = usize::try_from(self.random.below(INSTANCES as u64)).unwrap_or(0);
        let instance = &mut self.instances[number];
        let ticket = instance.permits.join(&ids(), 1);
        instance.waiting.push_back((now, ticket));
        self.tell(number, now);
    }

    /// Sends a report that is due at once.
    fn tell(&mut self, number: usize, now: u64) {
        let delay = 2 + self.random.below(6);
        if let Some(report) = self.instances[number].report(now)
            && self.ledger.is_some()
        {
            self.schedule(now + delay, Event::Report(number, report));
        }
    }

    /// Sends what may be sent, gives up what waited too long, and reports at intervals.
    fn step(&mut self, now: u64) {
        for number in 0..INSTANCES {
            while let Some((arrived, ticket)) = self.instances[number].waiting.front().copied() {
                let instance = &mut self.instances[number];
                let ids = ids();
                let open = (0..ENDPOINTS).find(|e| {
                    let target = target(&ids[*e], instance.running[*e]);
                    instance.permits.is_open(&target, ticket, at(now))
                });
                if open.is_none() && now < arrived + PATIENCE_MS {
                    break;
                }
                instance.waiting.pop_front();
                instance.permits.leave(&ids, ticket);
                let Some(endpoint) = open else { continue };
                let target = target(&ids[endpoint], instance.running[endpoint]);
                assert!(instance.permits.take(&target, at(now)), "it is open");
                instance.running[endpoint] += 1;
                self.at_endpoints[endpoint] += 1;
                let beyond = self.at_endpoints[endpoint].saturating_sub(SLOTS as usize);
                let most = if now > self.settled_at {
                    &mut self.outcome.beyond
                } else {
                    &mut self.outcome.alone
                };
                *most = beyond.max(*most);
                let end = now + RUN_MS + self.random.below(10);
                self.schedule(end, Event::End(number, endpoint));
            }
            if (now + number as u64).is_multiple_of(REPORT_MS) {
                self.tell(number, now);
            }
        }
        if now.is_multiple_of(UPDATE_MS) && self.ledger.is_some() {
            for instance in &mut self.instances {
                instance.permits.hear_holder(67, at(now));
            }
        }
        if now.is_multiple_of(50)
            && let Some(ledger) = &mut self.ledger
        {
            let grants = ledger.serve(at(now));
            let number = ledger.number();
            self.send(grants, number, now);
        }
    }

    fn send(&mut self, grants: BTreeMap<u64, Vec<RoomGrant>>, number: u64, now: u64) {
        for (link, grants) in grants {
            let update = RoomUpdate { number, grants };
            let delay = 1 + self.random.below(6);
            let number = usize::try_from(link).unwrap_or(1) - 1;
            self.schedule(now + delay, Event::Update(number, update));
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Report(number, report) => {
                if let Some(ledger) = &mut self.ledger {
                    let grants = ledger.report(number as u64 + 1, &report, at(now));
                    let number = ledger.number();
                    self.send(grants, number, now);
                }
            }
            Event::Update(number, update) => {
                self.instances[number].permits.apply(&update, at(now));
            }
            Event::End(number, endpoint) => {
                self.at_endpoints[endpoint] -= 1;
                let instance = &mut self.instances[number];
                // A request of a killed process has no place in the new one.
                if instance.running[endpoint] > 0 {
                    instance.running[endpoint] -= 1;
                    self.outcome.served += 1;
                    let name = id(endpoint);
                    let of_endpoint = target(&name, instance.running[endpoint]);
                    instance
                        .permits
                        .record_outcome(&of_endpoint, false, at(now));
                    self.tell(number, now);
                }
            }
        }
    }

    fn kill(&mut self, now: u64) {
        let number = usize::try_from(self.random.below(INSTANCES as u64)).unwrap_or(0);
        self.instances[number] = Instance::new(&mut self.random, now);
        if let Some(ledger) = &mut self.ledger {
            ledger.close(number as u64 + 1, at(now));
        }
    }
}

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("ROOM_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().unwrap_or(0)..=last.parse().unwrap_or(0)
}

fn judge(trouble: Trouble, beyond: usize, share: f64) {
    for seed in seeds() {
        let outcome = Case::new(seed, trouble).play();
        assert!(outcome.beyond <= beyond, "seed {seed}: {outcome:?}");
        assert!(outcome.alone <= SLOTS as usize, "seed {seed}: {outcome:?}");
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let served = outcome.served as f64 / outcome.sent as f64;
        assert!(served >= share, "seed {seed}: {outcome:?}");
    }
}

/// Guards against LIMIT: under one holder no endpoint gets more than it has room for, and callers are
/// served where there is room.
#[test]
fn room_is_kept_and_used() {
    judge(Trouble::None, 0, SERVED_SHARE);
}

/// Guards against room that is given out twice, or lost for good, as instances are killed.
#[test]
fn kills_leave_the_room() {
    judge(Trouble::Kills, BEYOND, 0.9);
}

/// Guards against the same as messages are lost.
#[test]
fn losses_leave_the_room() {
    judge(Trouble::Losses, BEYOND, 0.9);
}

/// Guards against a flood, or idle endpoints, while a holder is lost and after the next one begins.
#[test]
fn next_holder_keeps_the_room() {
    judge(Trouble::Holder, BEYOND, 0.6);
}
