//! Measurement of the endpoint choice under stale reports, in model time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use brassrack::balancer::{Balancer, EndpointKey, Prefix};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::outcome::quantile;
use super::site::Demand;
use super::study::Seeds;

/// Instances that choose, each for itself.
const INSTANCES: usize = 8;
/// Endpoints; the first one is slow.
const ENDPOINTS: usize = 6;
/// How much slower the slow endpoint is.
const SLOWNESS: f64 = 2.0;
/// Time to prefill a prompt, in seconds.
const PREFILL: f64 = 0.25;
/// Share of the prefill that a cached prefix leaves.
const CACHED: f64 = 0.2;
/// Mean time to generate an answer after its first token, in seconds.
const DECODE: f64 = 3.0;
/// Running answers that double the time of a prefill.
const CROWD: f64 = 24.0;
/// Answers that an endpoint runs at once.
const BATCH: usize = 48;
/// Requests a second.
const RATE: f64 = 11.0;
/// Conversations, each with a prefix of its own.
const CONVERSATIONS: u64 = 200;
/// Prefixes that an endpoint caches.
const CACHE: usize = 50;
/// Delay of cache events.
const EVENT_DELAY: Duration = Duration::from_secs(2);
/// Share of the cache events that are lost.
const EVENT_LOSS: f64 = 0.2;
/// Time between two reports.
const REPORT_STEP: Duration = Duration::from_millis(250);
/// Time replayed, and the part at its start that is not measured.
const SPAN: Duration = Duration::from_mins(20);
const WARMUP: Duration = Duration::from_mins(2);

/// A way to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Way {
    /// Each endpoint in turn.
    RoundRobin,
    /// The least reported load.
    LeastReported,
    /// The product's choice without the prefix.
    PickWithoutPrefix,
    /// The product's choice.
    Pick,
}

/// What was measured of one way.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    /// The way.
    pub way: Way,
    /// Age of the reports.
    pub lag: Duration,
    /// Times to first token in milliseconds, sorted.
    pub waits: Vec<u32>,
    /// Requests whose prefix was cached.
    pub hits: u32,
    /// Requests at the slow endpoint.
    pub slow: u32,
}

impl Measured {
    /// One line of the table.
    #[must_use]
    pub fn line(&self) -> String {
        let count = f64::from(u32::try_from(self.waits.len().max(1)).unwrap_or(u32::MAX));
        let seconds = |permille| f64::from(quantile(&self.waits, permille)) / 1_000.0;
        format!(
            "{:<22} {:>4} {:>7.3} {:>7.3} {:>7.3} {:>6.3} {:>6.3}",
            self.way.to_string(),
            self.lag.as_secs(),
            seconds(500),
            seconds(950),
            seconds(990),
            f64::from(self.hits) / count,
            f64::from(self.slow) / count
        )
    }
}

/// Heading of the table.
#[must_use]
pub fn heading() -> String {
    format!(
        "{:<22} {:>4} {:>7} {:>7} {:>7} {:>6} {:>6}",
        "way", "lag", "p50 s", "p95 s", "p99 s", "hits", "slow"
    )
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    /// End of the last prefill in the queue.
    free: Duration,
    /// First tokens and ends of the answers that run or wait.
    answers: Vec<(Duration, Duration)>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
}

/// News that reaches an instance at its time.
#[derive(Debug, Clone, Copy)]
enum News {
    Report {
        endpoint: usize,
        load: u32,
        at: Duration,
    },
    Cached {
        endpoint: usize,
        prefix: u64,
        stored: bool,
    },
    FirstToken {
        endpoint: usize,
        instance: usize,
        ahead: u32,
        took: Duration,
    },
    Ended {
        endpoint: usize,
        instance: usize,
    },
}

struct Bench {
    way: Way,
    lag: Duration,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    picks: Vec<Balancer>,
    turns: Vec<usize>,
    reports: Vec<u32>,
    news: BTreeMap<(Duration, u64), News>,
    serial: u64,
    measured: Measured,
}

/// Measures a way over all seeds.
#[must_use]
pub fn study(way: Way, lag: Duration, seeds: Seeds) -> Measured {
    let mut runs = seeds
        .numbers(Demand::Sessions)
        .into_iter()
        .map(|seed| measure(way, lag, seed));
    let mut sum = runs.next().unwrap_or(Measured {
        way,
        lag,
        waits: Vec::new(),
        hits: 0,
        slow: 0,
    });
    for run in runs {
        sum.waits.extend(run.waits);
        sum.hits += run.hits;
        sum.slow += run.slow;
    }
    sum.waits.sort_unstable();
    sum
}

/// Measures a way with reports of an age.
#[must_use]
pub fn measure(way: Way, lag: Duration, seed: u64) -> Measured {
    let mut bench = Bench::new(way, lag, seed);
    let mut now = Duration::ZERO;
    let mut next_report = Duration::ZERO;
    while now < SPAN {
        while next_report <= now {
            bench.snapshot(next_report);
            next_report += REPORT_STEP;
        }
        bench.hear(now);
        bench.request(now);
        now += bench.exponential(1.0 / RATE);
    }
    bench.measured.waits.sort_unstable();
    bench.measured
}

impl Bench {
    fn new(way: Way, lag: Duration, seed: u64) -> Self {
        let mut pick = Balancer::default();
        for i in 0..ENDPOINTS {
            pick.add_endpoint(key(i), true);
        }
        Self {
            way,
            lag,
            rng: ChaCha8Rng::seed_from_u64(seed),
            endpoints: vec![Endpoint::default(); ENDPOINTS],
            picks: vec![pick; INSTANCES],
            turns: (0..INSTANCES).collect(),
            reports: vec![0; ENDPOINTS],
            news: BTreeMap::new(),
            serial: 0,
            measured: Measured {
                way,
                lag,
                waits: Vec::new(),
                hits: 0,
                slow: 0,
            },
        }
    }

    fn snapshot(&mut self, at: Duration) {
        for i in 0..ENDPOINTS {
            self.endpoints[i].answers.retain(|(_, end)| *end > at);
            let load = u32::try_from(self.endpoints[i].answers.len()).unwrap_or(u32::MAX);
            let endpoint = i;
            self.tell(at + self.lag, News::Report { endpoint, load, at });
        }
    }

    fn tell(&mut self, at: Duration, news: News) {
        self.serial += 1;
        self.news.insert((at, self.serial), news);
    }

    fn hear(&mut self, now: Duration) {
        while let Some(entry) = self.news.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let ((at, _), news) = entry.remove_entry();
            self.learn(at, news);
        }
    }

    fn learn(&mut self, now: Duration, news: News) {
        match news {
            News::Report { endpoint, load, at } => {
                self.reports[endpoint] = load;
                for pick in &mut self.picks {
                    pick.record_load(key(endpoint), load, at);
                }
            }
            News::Cached {
                endpoint,
                prefix,
                stored,
            } => {
                for pick in &mut self.picks {
                    pick.record_cache_event(key(endpoint), Prefix(prefix), stored, now);
                }
            }
            News::FirstToken {
                endpoint,
                instance,
                ahead,
                took,
            } => {
                self.picks[instance].record_first_token(key(endpoint), ahead, took, now);
            }
            News::Ended { endpoint, instance } => {
                self.picks[instance].record_end(key(endpoint), now);
            }
        }
    }

    fn request(&mut self, now: Duration) {
        let instance = self.rng.random_range(0..INSTANCES);
        let prefix = self
            .rng
            .random_range(0..CONVERSATIONS)
            .min(self.rng.random_range(0..CONVERSATIONS));
        let draws = [self.rng.random(), self.rng.random()];
        let decode = self.exponential(DECODE);
        let chosen = self.choose(instance, prefix, draws, now);
        let ahead = self.picks[instance].load(key(chosen));
        let seen = (self.way == Way::Pick).then_some(Prefix(prefix));
        self.picks[instance].record_sent(key(chosen), seen, now);
        let (first, hit) = self.run(chosen, prefix, decode, now);
        let took = first.saturating_sub(now);
        let endpoint = chosen;
        self.tell(
            first,
            News::FirstToken {
                endpoint,
                instance,
                ahead,
                took,
            },
        );
        self.tell(first + decode, News::Ended { endpoint, instance });
        if now >= WARMUP {
            let millis = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
            self.measured.waits.push(millis);
            self.measured.hits += u32::from(hit);
            self.measured.slow += u32::from(chosen == 0);
        }
    }

    fn choose(&mut self, instance: usize, prefix: u64, draws: [u32; 2], now: Duration) -> usize {
        match self.way {
            Way::RoundRobin => {
                self.turns[instance] += 1;
                self.turns[instance] % ENDPOINTS
            }
            Way::LeastReported => {
                let turn = draws[0] as usize;
                (0..ENDPOINTS)
                    .min_by_key(|i| (self.reports[*i], (i + turn) % ENDPOINTS))
                    .unwrap_or(0)
            }
            Way::PickWithoutPrefix | Way::Pick => {
                let among: Vec<EndpointKey> = (0..ENDPOINTS).map(key).collect();
                let seen = (self.way == Way::Pick).then_some(Prefix(prefix));
                let chosen = self.picks[instance].choose(&among, seen, draws, now);
                among.iter().position(|e| Some(*e) == chosen).unwrap_or(0)
            }
        }
    }

    /// Runs a request and gives the time of its first token, and whether its prefix was cached.
    fn run(&mut self, i: usize, prefix: u64, decode: Duration, now: Duration) -> (Duration, bool) {
        let hit = self.cache(i, prefix, now);
        let endpoint = &mut self.endpoints[i];
        endpoint.answers.retain(|(_, end)| *end > now);
        let running = endpoint.answers.iter().filter(|(f, _)| *f <= now).count();
        let running = u32::try_from(running.min(BATCH)).unwrap_or(u32::MAX);
        let share = if hit { CACHED } else { 1.0 };
        let slowness = if i == 0 { SLOWNESS } else { 1.0 };
        let time = PREFILL * share * slowness * (1.0 + f64::from(running) / CROWD);
        let first = endpoint.free.max(now) + Duration::from_secs_f64(time);
        endpoint.free = first;
        endpoint.answers.push((first, first + decode));
        (first, hit)
    }

    /// Uses a prefix in the endpoint's cache and tells whether it was there.
    fn cache(&mut self, i: usize, prefix: u64, now: Duration) -> bool {
        let cache = &mut self.endpoints[i].cache;
        let before = cache.len();
        cache.retain(|p| *p != prefix);
        let hit = cache.len() < before;
        cache.push_back(prefix);
        let dropped = if cache.len() > CACHE {
            cache.pop_front()
        } else {
            None
        };
        if !hit {
            self.publish(i, prefix, true, now);
        }
        if let Some(old) = dropped {
            self.publish(i, old, false, now);
        }
        hit
    }

    fn publish(&mut self, endpoint: usize, prefix: u64, stored: bool, now: Duration) {
        if self.way == Way::Pick && !self.rng.random_bool(EVENT_LOSS) {
            let news = News::Cached {
                endpoint,
                prefix,
                stored,
            };
            self.tell(now + EVENT_DELAY, news);
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let odds: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - odds).ln() * mean)
    }
}

fn key(i: usize) -> EndpointKey {
    EndpointKey(u32::try_from(i).unwrap_or(u32::MAX))
}
