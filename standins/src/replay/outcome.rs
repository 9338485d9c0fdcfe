//! What a replay measured.

use std::time::Duration;

/// Counts and times of one replay, or of several added up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Waits of requests of all classes but batch, in milliseconds; refused ones wait to their due time.
    pub waits: Vec<u32>,
    /// Requests of those that waited for a load.
    pub cold: u32,
    /// Requests of those that were refused.
    pub refused: u32,
    /// Batch requests.
    pub batch: u32,
    /// Batch requests that did not start by their due time.
    pub late: u32,
    /// Seconds that accelerators held ready replicas without a running request, by memory share.
    pub idle: f64,
    /// Loads of base models.
    pub loads: u32,
    /// Loads of adapters.
    pub adapters: u32,
    /// Time of loads that found a free slot, in thousandths of bytes over store rate.
    pub own: Vec<u32>,
    /// Days measured.
    pub days: f64,
}

impl Outcome {
    /// Adds another replay.
    pub fn add(&mut self, other: &Self) {
        self.waits.extend(&other.waits);
        self.cold += other.cold;
        self.refused += other.refused;
        self.batch += other.batch;
        self.late += other.late;
        self.idle += other.idle;
        self.loads += other.loads;
        self.adapters += other.adapters;
        self.own.extend(&other.own);
        self.days += other.days;
    }

    /// Sorts the samples, as quantiles need.
    pub fn sort(&mut self) {
        self.waits.sort_unstable();
        self.own.sort_unstable();
    }

    /// Quantile of the waits, of sorted samples.
    #[must_use]
    pub fn wait(&self, permille: usize) -> Duration {
        Duration::from_millis(u64::from(quantile(&self.waits, permille)))
    }

    /// Quantile of the loads' own times over bytes over store rate, of sorted samples.
    #[must_use]
    pub fn own(&self, permille: usize) -> f64 {
        f64::from(quantile(&self.own, permille)) / 1_000.0
    }

    /// Share of the requests that waited for a load.
    #[must_use]
    pub fn cold_share(&self) -> f64 {
        let requests = u32::try_from(self.waits.len()).unwrap_or(u32::MAX);
        f64::from(self.cold) / f64::from(requests.max(1))
    }

    /// Idle accelerator hours a day.
    #[must_use]
    pub fn idle_hours(&self) -> f64 {
        self.idle / 3_600.0 / self.days
    }

    /// A number of events as a number a day.
    #[must_use]
    pub fn daily(&self, count: u32) -> f64 {
        f64::from(count) / self.days
    }
}

/// Quantile of sorted samples, by the nearest rank.
#[must_use]
pub fn quantile(sorted: &[u32], permille: usize) -> u32 {
    let rank = (sorted.len() * permille).div_ceil(1_000);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
