//! All schemes over all seeds of a deployment.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::arrivals::Workload;
use super::outcome::Outcome;
use super::run::Replay;
use super::scheme::{Keep, Order, Place, Scheme};
use super::site::{Demand, Site};

/// Weights of idle hours at which the policy is run.
const IDLE_WEIGHTS: [f64; 14] = [
    0.01, 0.02, 0.03, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.75, 0.9,
];
/// Weights of idle hours at which the policy is run on the large catalogue.
const FEW_WEIGHTS: [f64; 5] = [0.02, 0.1, 0.2, 0.3, 0.5];
/// Weights at which single parts of the policy are left out.
const PART_WEIGHTS: [f64; 2] = [0.1, 0.5];
/// Keep-alive times of the baselines, in minutes.
const FIXED_MINUTES: [u64; 3] = [1, 10, 60];
/// Idle time of 16 GiB that the clairvoyant keep-alive spends on a waiting request, in seconds.
const GAPS: [f64; 5] = [30.0, 100.0, 300.0, 1_000.0, 3_000.0];
/// Reloads that the clairvoyant keep-alive does not save, in seconds.
const RELOADS: [u64; 4] = [0, 2, 4, 7];

/// Seeds of a study.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Seeds {
    /// Those that constants may be chosen on.
    Tuning,
    /// Those that only the final table uses.
    HeldOut,
}

impl Seeds {
    /// The numbers, fewer for the large catalogue.
    #[must_use]
    pub fn numbers(self, demand: Demand) -> Vec<u64> {
        let count = match demand {
            Demand::Sessions => 4,
            Demand::Periods => 1,
        };
        let first = match self {
            Self::Tuning => 0,
            Self::HeldOut => 1_000,
        };
        (first..first + count).collect()
    }
}

/// One scheme's outcome over all seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// The scheme.
    pub scheme: Scheme,
    /// The outcome, with sorted samples.
    pub outcome: Outcome,
}

/// The schemes of a table.
#[must_use]
pub fn schemes(demand: Demand) -> Vec<Scheme> {
    let fixed = FIXED_MINUTES.map(|m| Scheme::keep(Keep::Fixed(Duration::from_mins(m))));
    let mut all = fixed.to_vec();
    all.extend(fixed.map(|s| Scheme {
        order: Order::Fifo,
        place: Place::MostFree,
        ..s
    }));
    all.push(Scheme::keep(Keep::Always));
    all.push(Scheme::keep(Keep::Never));
    all.push(Scheme::keep(Keep::JustInTime));
    if demand == Demand::Periods {
        all.extend(FEW_WEIGHTS.map(Scheme::policy));
        return all;
    }
    all.extend(IDLE_WEIGHTS.map(Scheme::policy));
    for idle in PART_WEIGHTS {
        all.extend(parts(idle));
    }
    all.extend(clairvoyant());
    all
}

/// The policy without one of its parts.
fn parts(idle: f64) -> [Scheme; 3] {
    let whole = Scheme::policy(idle);
    [
        Scheme::keep(Keep::Policy { idle, ahead: false }),
        Scheme {
            order: Order::Fifo,
            ..whole
        },
        Scheme {
            place: Place::MostFree,
            ..whole
        },
    ]
}

fn clairvoyant() -> Vec<Scheme> {
    let mut all = Vec::new();
    for gap in GAPS {
        for reload in RELOADS.map(Duration::from_secs) {
            all.push(Scheme::keep(Keep::Clairvoyant { gap, reload }));
        }
    }
    all
}

/// Replays all schemes on a number of threads; the result does not depend on that number.
#[must_use]
pub fn study(site: &Site, seeds: Seeds, threads: usize) -> Vec<Row> {
    let numbers = seeds.numbers(site.demand);
    let works: Vec<Workload> = numbers.iter().map(|n| Workload::new(site, *n)).collect();
    let schemes = schemes(site.demand);
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some(scheme) = schemes.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = replay(site, &works, *scheme);
                    rows.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(row);
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_by_key(|r| schemes.iter().position(|s| *s == r.scheme));
    rows
}

fn replay(site: &Site, works: &[Workload], scheme: Scheme) -> Row {
    let mut outcome = Outcome::default();
    for work in works {
        outcome.add(&Replay::new(site, work, scheme).run());
    }
    outcome.sort();
    Row { scheme, outcome }
}
