//! Servers that start or recover, in a model of instances, lease holder and links in simulated time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use brassrack::gateway::link::{DemandReport, FleetUpdate, RampEntry};
use brassrack::gateway::protocol::{Endpoint, EndpointState};
use brassrack::gateway::ramp::{
    AnswerCounts, Peers, Ramp, RampAnswer, RampEnd, RampGroup, RampHolder, RampNews, RampSettings,
    RampStep, RampTable, RampTarget, incarnation_digest,
};
use brassrack::gateway::servers::{SelectionCriteria, Servers, permit_ttl};
use prost::Message;

const SERVICE: &str = "files";
const SLOTS: u32 = 6;
const OBJECTIVE_MS: u64 = 100;
const BASE_MS: u64 = 40;
const FAST_FAILURE_MS: u64 = 4;
const TIMEOUT_MS: u64 = 600;
const PLAN_MS: u64 = 100;
const REPORT_MS: u64 = 200;
const UPDATE_MS: u64 = 300;
const FULL_MS: u64 = 1_000;
const LINK_MS: u64 = 15;
const EJECTION_MS: u64 = 1_500;
/// When the first server of a case starts or fails: ramps apply to services known for 5 s.
const EVENT_MS: u64 = 10_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Seeded generator (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn draw(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).unwrap()) / f64::from(u32::MAX)
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next() % u64::try_from(limit.max(1)).unwrap()).unwrap()
    }
}

/// What a server does from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    /// Requests take this multiple of the usual time.
    Factor(u64),
    /// It answers at once, with errors.
    FastFailures,
    /// It refuses connections.
    Down,
}

struct Server {
    target: RampTarget,
    listed: bool,
    health: Health,
    /// When each slot is free.
    slots: Vec<u64>,
    sends: Vec<u64>,
}

/// Changes of the servers, by time.
type Plan = BTreeMap<u64, Vec<Change>>;

#[derive(Debug, Clone)]
enum Change {
    /// A server starts, perhaps with the id of an earlier one.
    Start(&'static str, u64, Health),
    Remove(&'static str),
    Set(&'static str, Health),
    LoseHolder,
}

enum Event {
    Answer(usize, String, u64, u64, bool),
    Report(usize, Box<DemandReport>),
    Update(usize, Vec<RampEntry>, u64),
}

#[derive(Default)]
struct Instance {
    table: RampTable,
    heard: u64,
    failures: BTreeMap<String, (u32, u64)>,
    load: BTreeMap<String, u32>,
}

#[derive(Clone, Copy)]
struct Load {
    instances: usize,
    rate: f64,
    ramps: bool,
    report_delay: u64,
    seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            instances: 89,
            rate: 160.0,
            ramps: true,
            report_delay: LINK_MS,
            seed: 1,
        }
    }
}

struct Model {
    load: Load,
    random: Random,
    servers: BTreeMap<String, Server>,
    instances: Vec<Instance>,
    holder: Option<(usize, RampHolder)>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    told: (u64, u64),
    now: u64,
    news: Vec<(u64, RampNews)>,
    /// Times of requests that failed at a server or were late.
    bad: Vec<u64>,
    /// Bound of each server at the holder, by time.
    bounds: Vec<(u64, String, f64)>,
}

impl Model {
    fn play(load: Load, first: &[&'static str], plan: &Plan, end: u64) -> Self {
        let mut model = Self {
            load,
            random: Random(load.seed),
            servers: BTreeMap::new(),
            instances: (0..load.instances).map(|_| Instance::default()).collect(),
            holder: Some((0, RampHolder::default())),
            events: BTreeMap::new(),
            number: 0,
            told: (0, 0),
            now: 0,
            news: Vec::new(),
            bad: Vec::new(),
            bounds: Vec::new(),
        };
        for instance in model.instances.iter_mut().filter(|_| load.ramps) {
            instance.table.enable(SERVICE);
        }
        for id in first {
            model.change(&Change::Start(id, 1, Health::Factor(1)));
        }
        while model.now < end {
            for change in plan.get(&model.now).into_iter().flatten() {
                model.change(change);
            }
            model.step();
            model.now += 1;
        }
        model
    }

    fn time(&self) -> Duration {
        ms(self.now)
    }

    fn groups(&self, table: &RampTable) -> BTreeMap<String, RampGroup> {
        let mut group = RampGroup::default();
        for server in self.servers.values().filter(|s| s.listed) {
            let RampTarget { id, started_ms, .. } = &server.target;
            if table.is_ramping(id, *started_ms) {
                group.ramping += SLOTS;
            } else {
                group.slots += SLOTS;
            }
        }
        BTreeMap::from([(SERVICE.to_owned(), group)])
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Start(id, started_ms, health) => {
                let target = RampTarget {
                    id: (*id).to_owned(),
                    started_ms: *started_ms,
                    service: SERVICE.to_owned(),
                    slots: SLOTS,
                };
                let sends = self.servers.remove(*id).map_or_else(Vec::new, |s| s.sends);
                let server = Server {
                    target: target.clone(),
                    listed: true,
                    health: *health,
                    slots: vec![0; usize::try_from(SLOTS).unwrap()],
                    sends,
                };
                self.servers.insert((*id).to_owned(), server);
                for at in 0..self.instances.len() {
                    let mut group = self.groups(&self.instances[at].table)[SERVICE];
                    group.slots = group.slots.saturating_sub(SLOTS);
                    let (now, draw) = (self.time(), self.random.draw());
                    let table = &mut self.instances[at].table;
                    let news = table.record_new(&target, group, now, draw);
                    self.note(at, news);
                }
            }
            Change::Remove(id) => {
                self.servers.get_mut(*id).unwrap().listed = false;
                for instance in &mut self.instances {
                    instance.table.remove(id);
                }
            }
            Change::Set(id, health) => self.servers.get_mut(*id).unwrap().health = *health,
            Change::LoseHolder => self.holder = None,
        }
    }

    /// Keeps the news of the holder, or of the first instance without one.
    fn note(&mut self, instance: usize, news: impl IntoIterator<Item = RampNews>) {
        if instance == 0 {
            let now = self.now;
            self.news.extend(news.into_iter().map(|n| (now, n)));
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn step(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            self.handle(event);
        }
        // Requests that are due in this millisecond.
        let mut due = self.load.rate / 1_000.0;
        while due > 0.0 {
            if self.random.draw() < due {
                // The holder has no requests of its own where there are enough other instances.
                let others = self.instances.len() - 1;
                let instance = if others > 8 {
                    1 + self.random.below(others)
                } else {
                    self.random.below(others + 1)
                };
                self.send(instance, self.now, &mut Vec::new());
            }
            due -= 1.0;
        }
        if self.now.is_multiple_of(PLAN_MS) {
            self.plan();
        }
        for at in 0..self.instances.len() {
            let offset = u64::try_from(at).unwrap() * 7;
            if (self.now + offset).is_multiple_of(REPORT_MS) {
                self.report(at);
            }
        }
    }

    fn report(&mut self, at: usize) {
        let now = self.time();
        let instance = &mut self.instances[at];
        let seen = instance.table.report(false, now);
        let report = DemandReport {
            clock_echo: instance.heard,
            ramps: seen.entries,
            paces: seen.paces,
            ..DemandReport::default()
        };
        let delay = self.load.report_delay;
        self.push(self.now + delay, Event::Report(at, Box::new(report)));
    }

    /// Chooses a server as the registry does: by permits, then by the own load.
    fn choose(&mut self, instance: usize, tried: &[String]) -> Option<String> {
        let (now, time) = (self.now, self.time());
        let Instance {
            table,
            failures,
            load,
            ..
        } = &self.instances[instance];
        let listed = self.servers.values().filter(|s| s.listed);
        let all: Vec<&Server> = listed.filter(|s| !tried.contains(&s.target.id)).collect();
        let free = |s: &&&Server| {
            failures
                .get(&s.target.id)
                .is_none_or(|(_, until)| *until <= now)
        };
        let bound = |s: &&Server| table.needs_permit(&s.target.id, s.target.started_ms, time);
        let open: Vec<&Server> = all
            .iter()
            .filter(free)
            .filter(|s| !bound(s))
            .copied()
            .collect();
        let room = |s: &&&Server| load.get(&s.target.id).is_none_or(|load| *load < SLOTS);
        let ramping = |s: &&&Server| table.is_ramping(&s.target.id, s.target.started_ms);
        let permitted = open.iter().filter(ramping).filter(room);
        let permitted: Vec<&Server> = permitted.copied().collect();
        let among = match (permitted.is_empty(), open.is_empty()) {
            (false, _) => permitted,
            (true, false) => open,
            (true, true) => all,
        };
        let load = |s: &&Server| load.get(&s.target.id).copied().unwrap_or_default();
        let least = among.iter().map(load).min()?;
        let equal: Vec<&Server> = among.into_iter().filter(|s| load(s) == least).collect();
        let id = equal[self.random.below(equal.len())].target.id.clone();
        Some(id)
    }

    fn send(&mut self, instance: usize, arrived: u64, tried: &mut Vec<String>) {
        let (now, time) = (self.now, self.time());
        let ramping: Vec<String> = self.servers.keys().cloned().collect();
        let ramping: Vec<String> = {
            let table = &self.instances[instance].table;
            let started = |id: &String| self.servers[id].target.started_ms;
            let is_ramping = |id: &String| table.is_ramping(id, started(id));
            ramping.into_iter().filter(is_ramping).collect()
        };
        self.instances[instance].table.record_wanted(&ramping, time);
        let Some(id) = self.choose(instance, tried) else {
            self.bad.push(now);
            return;
        };
        let server = self.servers.get_mut(&id).unwrap();
        let started_ms = server.target.started_ms;
        self.instances[instance].table.take(&id, started_ms, time);
        *self.instances[instance].load.entry(id.clone()).or_default() += 1;
        server.sends.push(now);
        let (done, failed) = match server.health {
            Health::Down | Health::FastFailures => (now + FAST_FAILURE_MS, true),
            Health::Factor(factor) => {
                let slot = server.slots.iter_mut().min().unwrap();
                *slot = now.max(*slot) + BASE_MS * factor;
                (*slot, false)
            }
        };
        let late = failed || done - arrived > OBJECTIVE_MS;
        if late {
            self.bad.push(arrived);
        }
        if failed && tried.len() < 2 {
            tried.push(id.clone());
            self.push(
                now + FAST_FAILURE_MS,
                Event::Answer(instance, id, started_ms, now, true),
            );
            self.send(instance, arrived, tried);
        } else {
            let done = done.min(now + TIMEOUT_MS);
            self.push(done, Event::Answer(instance, id, started_ms, now, failed));
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, time, draw) = (self.now, self.time(), self.random.draw());
        match event {
            Event::Answer(at, id, started_ms, sent, failed) => {
                let groups = self.groups(&self.instances[at].table);
                let instance = &mut self.instances[at];
                *instance.load.get_mut(&id).unwrap() -= 1;
                let answer = RampAnswer {
                    service: SERVICE,
                    id: &id,
                    started_ms,
                    failed,
                    sent_at: ms(sent),
                    objective: ms(OBJECTIVE_MS),
                };
                let news = instance.table.record(&answer, &groups, time, draw);
                let entry = instance.failures.entry(id.clone()).or_default();
                entry.0 = if failed { entry.0 + 1 } else { 0 };
                if entry.0 >= 3 {
                    *entry = (0, now + EJECTION_MS);
                    let target = &self.servers[&id].target;
                    instance.table.record_ejection(target, time);
                }
                let is_ramping = instance.table.is_ramping(&id, started_ms);
                if failed && is_ramping {
                    self.report(at);
                }
                self.note(at, news);
            }
            Event::Report(at, report) => {
                if let Some((own, holder)) = &mut self.holder
                    && *own != at
                {
                    holder.record(u64::try_from(at).unwrap() + 1, &report, time);
                }
            }
            Event::Update(at, entries, clock) => {
                let count = u32::try_from(self.instances.len()).unwrap();
                let targets: Vec<RampTarget> =
                    self.servers.values().map(|s| s.target.clone()).collect();
                let find = |digest| find(&targets, digest);
                let instance = &mut self.instances[at];
                instance.heard = clock;
                let news = instance.table.apply(&entries, count, find, time, draw);
                if self.holder.is_none() {
                    self.note(at, news);
                }
            }
        }
    }

    fn plan(&mut self) {
        let Some((own, mut holder)) = self.holder.take() else {
            return;
        };
        holder.set_links(self.instances.len() - 1);
        let (time, draw) = (self.time(), self.random.draw());
        let targets: Vec<RampTarget> = self.servers.values().map(|s| s.target.clone()).collect();
        let groups = self.groups(&self.instances[own].table);
        let table = &mut self.instances[own].table;
        let find = |digest| find(&targets, digest);
        let news = holder.step(table, &groups, find, 0, (time, draw));
        for target in &targets {
            if let Some(bound) = table.bound(&target.id, target.started_ms) {
                self.bounds.push((self.now, target.id.clone(), bound));
            }
        }
        self.note(own, news);
        let full = self.now >= self.told.1 + FULL_MS;
        if full || holder.has_news() || self.now >= self.told.0 + UPDATE_MS {
            self.told = (self.now, if full { self.now } else { self.told.1 });
            for at in 0..self.instances.len() {
                let number = if at == own {
                    0
                } else {
                    u64::try_from(at).unwrap() + 1
                };
                let entries = holder.entries(number, full);
                let delay = if at == own { 1 } else { LINK_MS };
                self.push(self.now + delay, Event::Update(at, entries, self.now));
            }
            holder.record_told();
        }
        self.holder = Some((own, holder));
    }

    fn sends(&self, id: &str, from: u64, until: u64) -> usize {
        let sends = self.servers[id].sends.iter();
        sends.filter(|at| (from..until).contains(*at)).count()
    }

    /// Time after `start` until a server gets 0.8 of the mean of `peers`, over a second or over four
    /// where each gets few requests.
    fn time_to_share(&self, id: &str, peers: &[&str], start: u64) -> u64 {
        let window = if peers.len() > 10 { 4_000 } else { 1_000 };
        let is_full = |from: &u64| {
            let own = self.sends(id, *from, from + window) * 10 * peers.len();
            let others: usize = peers
                .iter()
                .map(|p| self.sends(p, *from, from + window))
                .sum();
            own >= others * 8
        };
        let found = (start..self.now - window).step_by(100).find(is_full);
        found.map_or(u64::MAX, |at| at - start)
    }

    fn bad_within(&self, from: u64, time: u64) -> usize {
        let bad = self.bad.iter();
        bad.filter(|at| (from..from + time).contains(*at)).count()
    }

    fn first_bounds(&self, id: &str) -> Vec<f64> {
        let begun = self.news.iter().filter(|(_, n)| n.begun && n.id == id);
        begun.map(|(_, n)| n.bound).collect()
    }

    fn ended(&self, id: &str) -> Option<(u64, RampEnd)> {
        let ended = self.news.iter().filter(|(_, n)| n.id == id);
        ended.filter_map(|(at, n)| Some((*at, n.end?))).next_back()
    }
}

fn find(targets: &[RampTarget], digest: u64) -> Option<RampTarget> {
    let is_it = |t: &&RampTarget| incarnation_digest(&t.id, t.started_ms) == digest;
    targets.iter().find(is_it).cloned()
}

const FOUR: [&str; 4] = ["a", "b", "c", "d"];

fn plan(changes: &[(u64, Change)]) -> Plan {
    let mut plan = Plan::new();
    for (at, change) in changes {
        plan.entry(EVENT_MS + at).or_default().push(change.clone());
    }
    plan
}

/// Failure: 89 instances that each try a new server once are a flood.
#[test]
fn many_instances_keep_to_the_bound_together() {
    let plan = plan(&[(0, Change::Start("n", 2, Health::Factor(5)))]);
    for seed in 0..6 {
        let load = Load {
            seed,
            ..Load::default()
        };
        let model = Model::play(load, &FOUR, &plan, EVENT_MS + 6_000);
        assert!(!model.bounds.is_empty());
        for from in (EVENT_MS..EVENT_MS + 5_000).step_by(50) {
            // Permits of earlier bounds are valid for their time; half a second of them accrues.
            let reach = |b: f64| u64::try_from(permit_ttl(b).as_millis()).unwrap() + 100;
            let ramping = model.bounds.iter();
            let valid = ramping.filter(|(at, _, b)| *at < from + 1_000 && *at + reach(*b) >= from);
            let Some(bound) = valid.map(|(_, _, b)| *b).reduce(f64::max) else {
                continue;
            };
            let allowed = bound * (1.1 + permit_ttl(bound).as_secs_f64()) + (bound / 2.0).max(1.0);
            let sent = u32::try_from(model.sends("n", from, from + 1_000)).unwrap();
            let is_over = model.ended("n").is_some_and(|(at, _)| at < from + 1_000);
            assert!(
                is_over || f64::from(sent) <= allowed,
                "{seed} {from} {sent} {allowed}"
            );
        }
    }
}

/// Failure: a new server that is slow at first is flooded; one at full speed is left idle.
#[test]
fn ramp_is_compared_with_none() {
    let many: Vec<&str> = (0..90).map(|n| &*format!("s{n}").leak()).collect();
    for (name, warm_up, first, rate, seeds) in [
        ("slow at first, beside 4", 5_u64, &FOUR[..], 160.0, 6_u32),
        ("full speed, beside 4", 1, &FOUR[..], 160.0, 6),
        ("slow at first, beside 90", 5, &*many, 290.0, 2),
        ("full speed, beside 90", 1, &*many, 290.0, 2),
    ] {
        let changes = [
            (0, Change::Start("n", 2, Health::Factor(warm_up))),
            (6_000, Change::Set("n", Health::Factor(1))),
        ];
        let mut sums = [(0.0, 0.0), (0.0, 0.0)];
        for seed in 0..seeds {
            for (ramps, sum) in [false, true].into_iter().zip(&mut sums) {
                let load = Load {
                    ramps,
                    rate,
                    seed: seed.into(),
                    ..Load::default()
                };
                let model = Model::play(load, first, &plan(&changes), EVENT_MS + 26_000);
                let share = model.time_to_share("n", first, EVENT_MS);
                assert!(share < 24_000, "{name}: seed {seed}, ramps {ramps}");
                sum.0 += f64::from(u32::try_from(share).unwrap()) / f64::from(seeds);
                let bad = model.bad_within(EVENT_MS, 10_000);
                sum.1 += f64::from(u32::try_from(bad).unwrap()) / f64::from(seeds);
            }
        }
        let [(share_without, bad_without), (share, bad)] = sums;
        println!(
            "{name}: {share_without:.0} ms to its share without, {share:.0} with; \
             {bad_without:.1} bad in 10 s without, {bad:.1} with"
        );
        if warm_up > 1 {
            assert!(bad < bad_without, "{name}: {bad} of {bad_without}");
        } else {
            assert!(bad <= bad_without + 1.0, "{name}: {bad} of {bad_without}");
            assert!(share < 10_000.0, "{name}: {share}");
        }
    }
}

/// Load: 50 of 600 endpoints ramp at once, under 350 instances with 3 requests a second each.
#[test]
fn messages_stay_within_the_budget() {
    let target = |n: u64| RampTarget {
        id: format!("engine-{n:04}-7f3a9c"),
        started_ms: 1_790_000_000_000 + n,
        service: SERVICE.to_owned(),
        slots: 12,
    };
    let targets: Vec<RampTarget> = (0..50).map(target).collect();
    let groups = BTreeMap::from([(
        SERVICE.to_owned(),
        RampGroup {
            slots: 6_600,
            ramping: 600,
        },
    )]);
    let (mut own, mut table) = (RampTable::default(), RampTable::default());
    for table in [&mut own, &mut table] {
        table.enable(SERVICE);
        table.record_new(&target(99), groups[SERVICE], ms(1), 0.5);
        for new in &targets {
            let news = table.record_new(new, groups[SERVICE], ms(EVENT_MS), 0.5);
            assert_eq!(news.len(), 1);
        }
    }
    let ids: Vec<String> = targets.iter().map(|t| t.id.clone()).collect();
    let (mut holder, mut random) = (RampHolder::default(), Random(1));
    holder.set_links(349);
    let (mut up, mut down, mut steps, mut slowest) = (0, 0, 0_u32, Duration::ZERO);
    let mut spent = Duration::ZERO;
    for at in (0..10_000).step_by(100) {
        let now = ms(EVENT_MS + 2_000 + at);
        if at % 300 == 0 {
            table.record_wanted(&ids, now);
            let used = &targets[random.below(50)];
            table.take(&used.id, used.started_ms, now);
        }
        if at % 200 == 0 {
            let seen = table.report(false, now);
            let report = DemandReport {
                ramps: seen.entries,
                paces: seen.paces,
                ..DemandReport::default()
            };
            up += report.encoded_len();
            for link in 1..350 {
                holder.record(link, &report, now);
            }
        }
        let begun = std::time::Instant::now();
        holder.step(&mut own, &groups, |_| None, 0, (now, random.draw()));
        let updates: Vec<Vec<RampEntry>> = (1..350)
            .map(|link| holder.entries(link, at % 1_000 == 0))
            .collect();
        spent += begun.elapsed();
        slowest = slowest.max(begun.elapsed());
        steps += 1;
        let ramps = updates[7].clone();
        down += FleetUpdate {
            ramps: ramps.clone(),
            ..FleetUpdate::default()
        }
        .encoded_len();
        table.apply(&ramps, 350, |_| None, now, random.draw());
        holder.record_told();
    }
    println!(
        "bytes a second: {} reported, {} told; a step {:?}, at most {slowest:?}",
        up / 10,
        down / 10,
        spent / steps
    );
    assert!(up / 10 + down / 10 < 4_000, "{up} {down}");
}

/// Load: a release replaces one server after the other, each slow for three seconds.
#[test]
fn release_replaces_servers_one_after_the_other() {
    let mut changes = Vec::new();
    for (at, (old, new)) in (0_u64..).zip([("a", "e"), ("b", "f"), ("c", "g"), ("d", "h")]) {
        let start = at * 12_000;
        changes.push((start, Change::Start(new, 2, Health::Factor(5))));
        changes.push((start, Change::Remove(old)));
        changes.push((start + 3_000, Change::Set(new, Health::Factor(1))));
    }
    let bad = [false, true].map(|ramps| {
        let load = Load {
            ramps,
            rate: 120.0,
            ..Load::default()
        };
        let model = Model::play(load, &FOUR, &plan(&changes), EVENT_MS + 48_000);
        if ramps {
            for id in ["e", "f", "g", "h"] {
                let ended = model.ended(id).unwrap();
                assert_eq!(ended.1, RampEnd::Equal, "{id} {ended:?}");
            }
        }
        model.bad.len()
    });
    println!("release: bad without and with: {bad:?}");
    assert!(bad[1] * 2 < bad[0], "{bad:?}");
}

/// Load: a server restarts with its id. Failure: the ramp of the new incarnation is missed.
#[test]
fn restart_with_the_same_id_ramps() {
    let plan = plan(&[(0, Change::Start("a", 2, Health::Factor(1)))]);
    let model = Model::play(Load::default(), &FOUR, &plan, EVENT_MS + 8_000);
    assert_eq!(model.first_bounds("a").len(), 1);
    assert_eq!(model.ended("a").unwrap().1, RampEnd::Equal);
}

/// Failure: a server goes down and up by turns, and each return is trusted like the first.
#[test]
fn second_failure_costs_more_trust() {
    let turns = [0, 15_000, 30_000].map(|at| (at, Change::Start("a", 2 + at, Health::Factor(1))));
    let load = Load {
        instances: 9,
        ..Load::default()
    };
    let model = Model::play(load, &FOUR, &plan(&turns), EVENT_MS + 40_000);
    let bounds = model.first_bounds("a");
    assert!(
        bounds.len() == 3 && bounds[1] < bounds[0] * 0.7,
        "{bounds:?}"
    );
    assert!(bounds[2] < bounds[1] * 0.7, "{bounds:?}");
    let quiet = [0, 200_000].map(|at| (at, Change::Start("a", 2 + at, Health::Factor(1))));
    let load = Load {
        instances: 9,
        ..Load::default()
    };
    let bounds = Model::play(load, &FOUR, &plan(&quiet), EVENT_MS + 201_000).first_bounds("a");
    assert!(
        bounds.len() == 2 && bounds[1] > bounds[0] * 0.7,
        "{bounds:?}"
    );
}

/// Load: a whole service restarts. Failure: the few requests of a ramp hold back all of it.
#[test]
fn whole_service_restarts_without_a_bound() {
    let changes: Vec<(u64, Change)> = (0..)
        .zip(FOUR)
        .map(|(at, id)| (at * 300, Change::Start(id, 2, Health::Factor(1))))
        .collect();
    let model = Model::play(Load::default(), &FOUR, &plan(&changes), EVENT_MS + 4_000);
    for instance in &model.instances {
        assert!(instance.table.is_empty());
    }
    let ended = model.ended("a").unwrap();
    assert!(ended.0 <= EVENT_MS + 1_000, "{ended:?}");
    assert_eq!(model.bad_within(EVENT_MS, 4_000), 0);
}

/// Failure: the holder is lost during a ramp; instances go on with their parts of the bound.
#[test]
fn ramp_goes_on_without_a_holder() {
    let changes = [
        (0, Change::Start("n", 2, Health::Factor(1))),
        (300, Change::LoseHolder),
    ];
    let load = Load {
        instances: 9,
        ..Load::default()
    };
    let model = Model::play(load, &FOUR, &plan(&changes), EVENT_MS + 30_000);
    let first = model.sends("n", EVENT_MS, EVENT_MS + 2_000);
    assert!(
        first <= 20,
        "{first} requests in 2 s at a bound of 5 a second, doubled once"
    );
    assert!(model.time_to_share("n", &FOUR, EVENT_MS) < 25_000);
    assert!(model.instances.iter().all(|i| i.table.is_empty()));
}

/// Failure: a server answers fast and fails.
#[test]
fn fast_failures_get_few_requests() {
    let plan = plan(&[(0, Change::Start("n", 2, Health::FastFailures))]);
    let [without, with] = [false, true].map(|ramps| {
        let load = Load {
            ramps,
            ..Load::default()
        };
        Model::play(load, &FOUR, &plan, EVENT_MS + 10_000).sends("n", EVENT_MS, EVENT_MS + 10_000)
    });
    println!("fast failures: sends in 10 s {without} without, {with} with");
    // The floor allows half a request a second; the first bound and its permits come before it.
    assert!(with <= 20 && with * 5 < without, "{with} of {without}");
}

/// Failure: an ejected server gets its full share again as soon as the ejection ends.
#[test]
fn recovery_after_an_ejection_ramps() {
    let changes = [
        (0, Change::Set("a", Health::Down)),
        (4_000, Change::Set("a", Health::Factor(1))),
    ];
    let load = Load {
        instances: 9,
        ..Load::default()
    };
    let model = Model::play(load, &FOUR, &plan(&changes), EVENT_MS + 30_000);
    let begun = model.news.iter().find(|(_, n)| n.begun).unwrap();
    assert_eq!((begun.1.id.as_str(), begun.1.from), ("a", "ejection"));
    let ended = model.ended("a").unwrap();
    assert!(
        ended.0 > EVENT_MS + 4_000 && ended.1 == RampEnd::Equal,
        "{ended:?}"
    );
}

/// Failure: reports are a second late; a fall must not be taken back or repeated by them.
#[test]
fn late_reports_do_not_count_in_another_round() {
    let changes = [
        (0, Change::Start("n", 2, Health::FastFailures)),
        (1_000, Change::Set("n", Health::Factor(1))),
    ];
    let load = Load {
        report_delay: 1_000,
        instances: 9,
        ..Load::default()
    };
    let model = Model::play(load, &FOUR, &plan(&changes), EVENT_MS + 40_000);
    let falls = model
        .news
        .iter()
        .filter(|(_, n)| !n.begun && n.end.is_none());
    let falls: Vec<u64> = falls.map(|(at, _)| *at).collect();
    assert!(
        !falls.is_empty() && falls.iter().all(|at| *at < EVENT_MS + 6_000),
        "{falls:?}"
    );
    assert_eq!(model.ended("n").unwrap().1, RampEnd::Equal);
}

/// Failure: a server that is late at any load stays at the floor for ever.
#[test]
fn steady_slowness_ends_the_ramp() {
    let settings = RampSettings::default();
    let peers = Peers {
        present: true,
        rate: 40.0,
        ..Peers::default()
    };
    let mut ramp = Ramp::new(0.0, 0, 1, &settings, ms(0));
    let slow = AnswerCounts {
        slow: 2,
        ..AnswerCounts::default()
    };
    let steps: VecDeque<RampStep> = (1..9)
        .map(|at| ramp.step(slow, &peers, &settings, ms(at * 1_000)))
        .collect();
    assert!(
        steps.contains(&RampStep::Ended(RampEnd::SteadilySlow)),
        "{steps:?}"
    );
    assert!(ramp.bound >= settings.floor);
}

fn endpoint(id: &str, start_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: String::new(),
        software: String::new(),
        slots: SLOTS,
        state: EndpointState::Ready,
        start_ms,
        sequence: 1,
        models: BTreeMap::new(),
        memory_models: std::collections::BTreeSet::new(),
        disk_models: std::collections::BTreeSet::new(),
    }
}

/// Failure: the last server of a service is kept idle, or a server ramps that reports no pace.
#[test]
fn registry_prefers_servers_without_a_ramp() {
    for paced in [true, false] {
        let servers = Servers::default();
        if paced {
            servers.enable_ramps(SERVICE);
        }
        servers.upsert(endpoint("a", 1), ms(0));
        servers.upsert(endpoint("n", 2), ms(EVENT_MS));
        assert_eq!(servers.ramp_bound("n", 2).is_some(), paced);
        // One that is listed as draining says nothing about the others.
        let state = EndpointState::Draining;
        let draining = Endpoint {
            state,
            ..endpoint("d", 3)
        };
        servers.upsert(draining, ms(EVENT_MS));
        assert_eq!(servers.ramp_bound("n", 2).is_some(), paced);
        let criteria = SelectionCriteria {
            service: SERVICE,
            ..SelectionCriteria::default()
        };
        let chosen = |at: u64| servers.select(&criteria, ms(EVENT_MS + at)).unwrap();
        let new = (0..64).filter(|_| chosen(1).id == "n").count();
        assert_eq!(new == 0, paced);
        servers.remove("a");
        let last = chosen(2);
        assert_eq!(last.id, "n");
        assert!(servers.take_permit(&last, ms(EVENT_MS + 2)));
    }
}
