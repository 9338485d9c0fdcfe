//! Model that compares choices of an engine for streams under stale views and uneven machines.
//!
//! Each start on an engine delays streams there now and then, more often on a busy one, on one with
//! several models and on a slow machine. CI plays 3 and 12 engines with 4 seeds.
//! `PACE_SEEDS=60 PACE_ENGINES=90 cargo test --release --test pace_model -- --nocapture` plays others
//! and prints all.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use brassrack::gateway::protocol::{Endpoint, EndpointState, Target};
use brassrack::gateway::servers::{
    EndpointView, RequestGuard, SelectedEndpoint, SelectionCriteria, Servers,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 8;
const SLOTS: u32 = 16;
/// Running streams of an engine at a load of 1.
const FULL: f64 = 12.0;
const RUN_S: f64 = 2.0;
const PLAYED_S: f64 = 20.0;
const GAP: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Today,
    LeastLoaded,
    BestOfTwo,
    New,
}

const WAYS: [Way; 4] = [Way::Today, Way::LeastLoaded, Way::BestOfTwo, Way::New];

#[derive(Debug, Clone, Copy)]
struct Case {
    engines: usize,
    view_s: f64,
    load: f64,
    uneven: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    in_time: f64,
    paused: f64,
    first: f64,
    refused: f64,
}

impl Tally {
    fn all(&self) -> f64 {
        self.in_time + self.paused + self.first + self.refused
    }

    fn share(&self) -> f64 {
        self.in_time / self.all()
    }

    fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.paused += other.paused;
        self.first += other.first;
        self.refused += other.refused;
    }
}

#[derive(Debug)]
struct Stream {
    ends: f64,
    model: usize,
    instance: usize,
    paused: bool,
    late: bool,
    selected: SelectedEndpoint,
    _guard: RequestGuard,
}

#[derive(Debug)]
struct World {
    case: Case,
    way: Way,
    /// Draws what happens, the same for each way.
    rng: StdRng,
    /// Draws the choice and its outcome.
    luck: StdRng,
    /// Models held by each engine, and the true pace of its machine.
    held: Vec<[usize; 3]>,
    paces: Vec<f64>,
    running: Vec<Vec<Stream>>,
    servers: Vec<Servers>,
    tally: Tally,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs(100) + Duration::from_secs_f64(seconds)
}

fn target(model: usize) -> Target {
    Target {
        model: format!("m{model}"),
        adapter: None,
    }
}

impl World {
    fn new(case: Case, way: Way, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let models = case.engines;
        let held: Vec<[usize; 3]> = (0..case.engines)
            .map(|e| [e, (e + 1) % models, rng.random_range(0..models.div_ceil(5))])
            .collect();
        let paces = (0..case.engines).map(|e| pace(&mut rng, case, e)).collect();
        let servers: Vec<Servers> = (0..INSTANCES).map(|_| Servers::default()).collect();
        for servers in &servers {
            for (e, models) in held.iter().enumerate() {
                servers.upsert(endpoint(e, models), at(0.0));
            }
        }
        Self {
            case,
            way,
            rng,
            luck: StdRng::seed_from_u64(!seed),
            held,
            paces,
            running: (0..case.engines).map(|_| Vec::new()).collect(),
            servers,
            tally: Tally::default(),
        }
    }

    fn play(mut self) -> Tally {
        let rate = self.case.load * FULL / RUN_S
            * f64::from(u32::try_from(self.case.engines).unwrap_or(1));
        let (mut now, mut view_at, mut change_at) = (0.0, 0.0, 5.0);
        let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        while now < PLAYED_S {
            now += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            while view_at <= now {
                self.end_streams(&mut ends, view_at);
                self.tell_views(view_at);
                view_at += self.case.view_s;
            }
            if change_at <= now {
                let e = self.rng.random_range(0..self.case.engines);
                self.paces[e] = pace(&mut self.rng, self.case, e);
                change_at += 1.0;
            }
            self.end_streams(&mut ends, now);
            if let Some((ends_at, engine)) = self.arrive(now) {
                ends.push(Reverse((millis(ends_at), engine)));
            }
        }
        self.tally
    }

    /// Views of what runs now, with a stated pace where the choice by pace is played.
    fn tell_views(&mut self, now: f64) {
        let views: Vec<EndpointView> = (0..self.case.engines)
            .map(|e| {
                let running = &self.running[e];
                let load = u32::try_from(running.len()).unwrap_or(u32::MAX);
                let models: BTreeSet<usize> = running.iter().map(|s| s.model).collect();
                let stated = self.paces[e] * self.luck.random_range(0.6..1.4) * 100.0;
                EndpointView {
                    id: format!("e{e}"),
                    started_ms: 1,
                    models: held_models(&self.held[e]),
                    load,
                    running: load.min(SLOTS),
                    queued: load.saturating_sub(SLOTS),
                    models_running: u32::try_from(models.len()).unwrap_or(u32::MAX),
                    pace_percent: match self.way {
                        #[expect(
                            clippy::cast_possible_truncation,
                            clippy::cast_sign_loss,
                            reason = "some hundred percent"
                        )]
                        Way::New => stated as u32,
                        _ => 0,
                    },
                    ..EndpointView::default()
                }
            })
            .collect();
        for servers in &self.servers {
            servers.apply_views(&views, at(now));
        }
    }

    fn end_streams(&mut self, ends: &mut BinaryHeap<Reverse<(u64, usize)>>, now: f64) {
        while let Some(Reverse((ends_ms, engine))) = ends.peek().copied() {
            if ends_ms > millis(now) {
                return;
            }
            ends.pop();
            let streams = &mut self.running[engine];
            let Some(place) = streams.iter().position(|s| millis(s.ends) == ends_ms) else {
                continue;
            };
            let stream = streams.swap_remove(place);
            let servers = &self.servers[stream.instance];
            let key = stream.selected.key;
            let interval = Duration::from_secs_f64(0.04 * self.paces[engine]);
            servers.record_interval(key, interval, at(now));
            servers.record_run_time(Duration::from_secs_f64(RUN_S * self.paces[engine]));
            if let Some(expected) = &stream.selected.expected {
                servers.record_pauses(key, expected, stream.paused);
            }
            match (stream.late, stream.paused) {
                (true, _) => self.tally.first += 1.0,
                (false, true) => self.tally.paused += 1.0,
                (false, false) => self.tally.in_time += 1.0,
            }
        }
    }

    /// Starts a stream at the engine chosen; returns its end.
    fn arrive(&mut self, now: f64) -> Option<(f64, usize)> {
        let instance = self.rng.random_range(0..INSTANCES);
        let duration = -(1.0 - self.rng.random::<f64>()).ln();
        let popular = self.case.engines.div_ceil(5);
        let among = if self.rng.random_bool(0.5) {
            popular
        } else {
            self.case.engines
        };
        let model = self.rng.random_range(0..among);
        let Some(selected) = self.choose(instance, model, now) else {
            self.tally.refused += 1.0;
            return None;
        };
        if selected.expected_wait > Duration::from_millis(600) {
            self.tally.refused += 1.0;
            return None;
        }
        let engine: usize = selected.id[1..].parse().ok()?;
        let guard =
            self.servers[instance].begin_request(selected.key, Some(&target(model)), None, at(now));
        let pace = self.paces[engine];
        let beside = self.running[engine].len();
        let models: BTreeSet<usize> = self.running[engine].iter().map(|s| s.model).collect();
        let running = f64::from(u32::try_from(beside).unwrap_or(u32::MAX));
        let several = if models.len() > 2 { 2.0 } else { 1.0 };
        let hazard = ((0.012 + 0.0012 * running) * several).min(1.0);
        let delayed = hazard.powf(pace.recip());
        for stream in &mut self.running[engine] {
            stream.paused |= self.luck.random_bool(delayed);
        }
        let is_queued = beside >= usize::try_from(SLOTS).unwrap_or(usize::MAX);
        let late = is_queued
            || self
                .luck
                .random_bool((0.01 * (1.0 + running / FULL)).powf(pace.recip()));
        let lasts = duration * RUN_S * pace;
        let ends = now + lasts;
        self.running[engine].push(Stream {
            ends,
            model,
            instance,
            paused: false,
            late,
            selected,
            _guard: guard,
        });
        Some((ends, engine))
    }

    fn choose(&mut self, instance: usize, model: usize, now: f64) -> Option<SelectedEndpoint> {
        let target = target(model);
        let random: usize = self.luck.random_range(0..1 << 16);
        let mut excluded: Vec<String> = Vec::new();
        if matches!(self.way, Way::LeastLoaded | Way::BestOfTwo) {
            let holders = (0..self.case.engines).filter(|e| self.held[*e].contains(&model));
            let mut holders: Vec<usize> = holders.collect();
            if self.way == Way::BestOfTwo {
                while holders.len() > 2 {
                    let dropped = self.luck.random_range(0..holders.len());
                    excluded.push(format!("e{}", holders.swap_remove(dropped)));
                }
            }
        }
        let criteria = SelectionCriteria {
            service: "writers",
            target: Some(&target),
            excluded: &excluded,
            gap_objective: Some(GAP),
            ..SelectionCriteria::default()
        };
        // With all bits set, each candidate is in the sample.
        let random = match self.way {
            Way::Today | Way::New => random,
            Way::LeastLoaded | Way::BestOfTwo => 0xffff,
        };
        self.servers[instance].select_with(&criteria, at(now), random)
    }
}

fn millis(seconds: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(seconds).as_micros()).unwrap_or(u64::MAX)
}

fn pace(rng: &mut StdRng, case: Case, engine: usize) -> f64 {
    match (case.uneven, engine % 3) {
        (false, _) => 1.0,
        (true, 0) => rng.random_range(1.2..2.5),
        (true, _) => rng.random_range(0.7..1.1),
    }
}

fn held_models(models: &[usize]) -> BTreeMap<String, BTreeSet<String>> {
    models
        .iter()
        .map(|m| (format!("m{m}"), BTreeSet::new()))
        .collect()
}

fn endpoint(index: usize, models: &[usize]) -> Endpoint {
    Endpoint {
        id: format!("e{index}"),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: String::new(),
        software: "v1".into(),
        slots: SLOTS,
        state: EndpointState::Ready,
        start_ms: 1,
        sequence: 1,
        models: held_models(models),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Failure: the choice by pace serves fewer streams in time than the choice by load.
#[test]
fn choice_by_pace_is_nowhere_worse() {
    let seeds = setting("PACE_SEEDS").unwrap_or(4);
    let named = setting("PACE_ENGINES").and_then(|n| usize::try_from(n).ok());
    let sizes = named.map_or_else(|| vec![3, 12], |n| vec![n]);
    let mut worse = Vec::new();
    let mut uneven = [Tally::default(); 2];
    for engines in sizes {
        for view_s in [0.2, 0.6, 2.0] {
            for load in [0.3, 0.6, 0.9, 1.2] {
                for is_uneven in [false, true] {
                    let case = Case {
                        engines,
                        view_s,
                        load,
                        uneven: is_uneven,
                    };
                    let mut tallies = [Tally::default(); 4];
                    let mut gains = Vec::new();
                    for seed in 0..seeds {
                        let played = WAYS.map(|way| World::new(case, way, seed).play());
                        gains.push(played[3].share() - played[0].share());
                        for (sum, tally) in tallies.iter_mut().zip(&played) {
                            sum.add(tally);
                        }
                    }
                    for (way, tally) in WAYS.iter().zip(&tallies) {
                        let share = |n: f64| n / tally.all();
                        println!(
                            "{case:?} {way:?}: in time {:.4}, pause {:.4}, first {:.4}, refused {:.4}",
                            tally.share(),
                            share(tally.paused),
                            share(tally.first),
                            share(tally.refused)
                        );
                    }
                    let [today, _, _, new] = tallies;
                    let count = f64::from(u32::try_from(gains.len()).unwrap_or(u32::MAX));
                    let mean = gains.iter().sum::<f64>() / count;
                    let squares: f64 = gains.iter().map(|g| (g - mean).powi(2)).sum();
                    let noise = 3.0 * (squares / (count - 1.0) / count).sqrt();
                    println!("{case:?}: gain {mean:.4}, noise {noise:.4}");
                    if mean < -noise {
                        worse.push(format!("{case:?}: {mean:.4}, noise {noise:.4}"));
                    }
                    if is_uneven {
                        uneven[0].add(&today);
                        uneven[1].add(&new);
                    }
                }
            }
        }
    }
    println!(
        "uneven machines: today {:.4}, new {:.4}",
        uneven[0].share(),
        uneven[1].share()
    );
    assert!(worse.is_empty(), "worse than today: {worse:#?}");
    assert!(uneven[1].share() > uneven[0].share());
}
