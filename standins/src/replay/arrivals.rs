//! Seeded arrivals and failures of a deployment.

use std::ops::Range;
use std::time::Duration;

use brassrack::rules::PriorityClass;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::site::{Demand, Site};

/// One day.
pub const DAY: Duration = Duration::from_hours(24);
/// Shortest and longest load of an adapter by itself, in milliseconds.
const ADAPTER_MS: Range<u64> = 4..21;
/// Smallest and largest adapter, in mebibytes.
const ADAPTER_MIB: Range<u64> = 50..200;
/// Hour at which nightly jobs are due.
const MORNING: Duration = Duration::from_hours(6);

/// A model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// Index of the base model, for an adapter.
    pub base: Option<usize>,
    /// Memory and checkpoint, in bytes.
    pub bytes: u64,
    /// Time that an adapter's load takes by itself.
    pub load: Duration,
    /// Priority class.
    pub class: PriorityClass,
}

/// A request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When it arrives.
    pub at: Duration,
    /// Index of the model or adapter.
    pub model: usize,
    /// Class.
    pub class: PriorityClass,
    /// Time by which the first token is due.
    pub due: Duration,
    /// Time that it runs.
    pub length: Duration,
}

/// A server that leaves and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// When it leaves.
    pub at: Duration,
    /// When it is back, with empty memory.
    pub back: Duration,
    /// Index of the server.
    pub server: usize,
    /// Whether its disk is lost, too.
    pub reclaimed: bool,
}

/// All that happens to a deployment, whatever the policy does.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Base models, then adapters.
    pub models: Vec<Spec>,
    /// Requests in the order of arrival.
    pub requests: Vec<Request>,
    /// Outages in the order of their start.
    pub outages: Vec<Outage>,
    /// Times at which the weight store is slow.
    pub slow: Vec<Range<Duration>>,
}

impl Workload {
    /// The workload of a site that belongs to a seed.
    #[must_use]
    pub fn new(site: &Site, seed: u64) -> Self {
        let mut source = Source {
            site,
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: Vec::new(),
        };
        let models = source.models();
        match site.demand {
            Demand::Sessions => source.sessions(&models),
            Demand::Periods => source.periods(&models),
        }
        let outages = source.outages();
        let slow = source.slow();
        let mut requests = source.requests;
        requests.retain(|r| r.at < site.span);
        requests.sort_by_key(|r| (r.at, r.model));
        Self {
            models,
            requests,
            outages,
            slow,
        }
    }
}

struct Source<'a> {
    site: &'a Site,
    rng: ChaCha8Rng,
    requests: Vec<Request>,
}

impl Source<'_> {
    fn models(&mut self) -> Vec<Spec> {
        let bases = self.site.bases;
        let mut models: Vec<Spec> = (0..bases).map(|_| self.base()).collect();
        for _ in 0..self.site.adapters {
            let adapter = self.adapter(bases);
            models.push(adapter);
        }
        models
    }

    fn base(&mut self) -> Spec {
        let (low, high) = self.site.sizes;
        let (low, high) = (low >> 20, high >> 20);
        let octaves = (high / low).ilog2();
        let octave = self.rng.random_range(0..octaves.max(1));
        let small = low << octave;
        let bytes = self.rng.random_range(small..(2 * small).min(high)) << 20;
        Spec {
            base: None,
            bytes,
            load: Duration::ZERO,
            class: self.class(),
        }
    }

    fn adapter(&mut self, bases: usize) -> Spec {
        // The smaller of two draws gives some bases many adapters and others few.
        let base = self
            .rng
            .random_range(0..bases)
            .min(self.rng.random_range(0..bases));
        Spec {
            base: Some(base),
            bytes: self.rng.random_range(ADAPTER_MIB) << 20,
            load: Duration::from_millis(self.rng.random_range(ADAPTER_MS)),
            class: self.class(),
        }
    }

    fn class(&mut self) -> PriorityClass {
        if self.rng.random_bool(0.6) {
            PriorityClass::Interactive
        } else {
            PriorityClass::Standard
        }
    }

    fn sessions(&mut self, models: &[Spec]) {
        let days = self.site.span.as_secs() / DAY.as_secs();
        for (model, spec) in models.iter().enumerate() {
            match (spec.base, self.rng.random_range(0..10)) {
                (None, 0..4) => self.regular(model, spec.class, days),
                (None, 4..8) => self.sporadic(model, spec.class, days, 2.0..8.0),
                (None, _) => self.sporadic(model, spec.class, days, 0.1..0.8),
                (Some(_), _) => self.sporadic(model, spec.class, days, 0.2..2.0),
            }
            if spec.base.is_none() && self.rng.random_bool(0.25) {
                self.nightly(model, days);
            }
        }
    }

    /// Wakes at habitual times, not on all days.
    fn regular(&mut self, model: usize, class: PriorityClass, days: u64) {
        let hour = *self.site.habits.choose(&mut self.rng).unwrap_or(&12);
        let minute = self.rng.random_range(0..60);
        for day in 0..days {
            if !self.rng.random_bool(0.85) {
                continue;
            }
            let usual = DAY.as_secs() * day + hour * 3_600 + minute * 60;
            let late = self.rng.random_range(0..900) + self.rng.random_range(0..900);
            self.session(model, class, Duration::from_secs(usual + late));
        }
        self.sporadic(model, class, days, 0.1..0.5);
    }

    /// Wakes at random times, more often in the busy hours.
    fn sporadic(&mut self, model: usize, class: PriorityClass, days: u64, daily: Range<f64>) {
        let daily = self.rng.random_range(daily);
        let total = f64::from(self.site.hours.iter().sum::<u32>());
        for hour in 0..days * 24 {
            let share = f64::from(self.site.hours[(hour % 24) as usize]) / total;
            let odds = (daily * share).min(1.0);
            if self.rng.random_bool(odds) {
                let second = self.rng.random_range(0..3_600);
                self.session(model, class, Duration::from_secs(hour * 3_600 + second));
            }
        }
    }

    /// A job at the same time each night, due in the morning.
    fn nightly(&mut self, model: usize, days: u64) {
        let start = self.rng.random_range(3_600..4 * 3_600);
        for day in 0..days {
            let midnight = DAY * u32::try_from(day).unwrap_or(u32::MAX);
            let mut at = midnight + Duration::from_secs(start + self.rng.random_range(0..300));
            for _ in 0..self.rng.random_range(10..40) {
                let length = self.length();
                self.requests.push(Request {
                    at,
                    model,
                    class: PriorityClass::Batch,
                    due: midnight + MORNING,
                    length,
                });
                at += self.exponential(20.0);
            }
        }
    }

    /// A first burst at many instances, then requests with mostly short gaps.
    fn session(&mut self, model: usize, class: PriorityClass, start: Duration) {
        for _ in 0..self.rng.random_range(2..9) {
            let late = Duration::from_millis(self.rng.random_range(0..2_000));
            self.request(model, class, start + late);
        }
        let mut at = start + Duration::from_secs(2);
        while self.rng.random_bool(0.95) {
            let mean = if self.rng.random_bool(0.1) {
                270.0
            } else {
                45.0
            };
            at += self.exponential(mean);
            self.request(model, class, at);
        }
    }

    fn periods(&mut self, models: &[Spec]) {
        let active = 1.3 * 3_600.0;
        let idle = 13.0 * 3_600.0;
        for (model, spec) in models.iter().enumerate() {
            let mut at = self.exponential(idle);
            while at < self.site.span {
                let end = at + self.exponential(active);
                for _ in 0..self.rng.random_range(2..9) {
                    let late = Duration::from_millis(self.rng.random_range(0..2_000));
                    self.request(model, spec.class, at + late);
                }
                while at < end {
                    at += self.exponential(60.0);
                    self.request(model, spec.class, at);
                }
                at += self.exponential(idle);
            }
        }
    }

    fn request(&mut self, model: usize, class: PriorityClass, at: Duration) {
        let token = match class {
            PriorityClass::Interactive => 30,
            PriorityClass::Standard | PriorityClass::Batch => 120,
        };
        let length = self.length();
        self.requests.push(Request {
            at,
            model,
            class,
            due: at + Duration::from_secs(token),
            length,
        });
    }

    fn length(&mut self) -> Duration {
        self.exponential(8.0)
            .clamp(Duration::from_secs(1), Duration::from_mins(1))
    }

    /// The nightly upgrade of each server in turn, and servers reclaimed at any time.
    fn outages(&mut self) -> Vec<Outage> {
        let mut outages = Vec::new();
        let days =
            u32::try_from(self.site.span.as_secs().div_ceil(DAY.as_secs())).unwrap_or(u32::MAX);
        let step = Duration::from_mins(90) / u32::try_from(self.site.servers).unwrap_or(1);
        for day in 0..days {
            for (server, turn) in (0..self.site.servers).zip(0u32..) {
                let at = DAY * day + Duration::from_hours(2) + step * turn;
                outages.push(Outage {
                    at,
                    back: at + Duration::from_mins(6),
                    server,
                    reclaimed: false,
                });
            }
        }
        let mean = DAY.as_secs_f64() / self.site.reclaims;
        let mut at = self.exponential(mean);
        while at < self.site.span {
            outages.push(Outage {
                at,
                back: at + Duration::from_mins(20),
                server: self.rng.random_range(0..self.site.servers),
                reclaimed: true,
            });
            at += self.exponential(mean);
        }
        outages.sort_by_key(|o| o.at);
        outages
    }

    /// An hour every other day.
    fn slow(&mut self) -> Vec<Range<Duration>> {
        let mut windows = Vec::new();
        let mut at = self.exponential(DAY.as_secs_f64());
        while at < self.site.span {
            windows.push(at..at + Duration::from_hours(1));
            at += Duration::from_hours(1) + self.exponential(2.0 * DAY.as_secs_f64());
        }
        windows
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let odds: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - odds).ln() * mean)
    }
}
