//! Histogram of a model's idle gaps, with bins at half octaves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of bins; the last is open at its end.
pub const BINS: usize = 34;

/// Counts of idle gaps in bins from one second to more than a day.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::gap_histogram::Gaps;
///
/// let mut gaps = Gaps::default();
/// gaps.record(Duration::from_secs(40), 512);
/// assert_eq!(gaps.total(), 1);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Gaps {
    low: [u16; 17],
    high: [u16; 17],
    total: u32,
}

impl Gaps {
    /// A histogram with one gap in each bin.
    #[must_use]
    pub fn uniform() -> Self {
        let mut gaps = Self::default();
        for i in 0..BINS {
            gaps.record(edge(i), u32::MAX);
        }
        gaps
    }

    /// Counts a gap; all counts are halved when their sum exceeds `limit`.
    pub fn record(&mut self, gap: Duration, limit: u32) {
        let count = self.slot(bin(gap));
        *count = count.saturating_add(1);
        self.total += 1;
        if self.total <= limit {
            return;
        }
        for count in self.low.iter_mut().chain(&mut self.high) {
            *count /= 2;
        }
        self.total = (0..BINS).map(|i| self.count(i)).sum();
    }

    /// Number of gaps counted.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Arrivals a second after an idle time, given that none came before it.
    ///
    /// The histogram `prior` counts for as many gaps as `weight` says.
    #[must_use]
    pub fn rate(&self, elapsed: Duration, prior: &Self, weight: f64) -> f64 {
        let i = bin(elapsed);
        let scale = weight / f64::from(prior.total.max(1));
        let here = f64::from(self.count(i)) + scale * f64::from(prior.count(i));
        let left = f64::from(self.since(i)) + scale * f64::from(prior.since(i));
        if left <= 0.0 {
            return 0.0;
        }
        // Survivors at the middle of the bin, which keeps the rate of the last bins finite.
        here / (left - here / 2.0) / width(i).as_secs_f64()
    }

    fn since(&self, from: usize) -> u32 {
        (from..BINS).map(|i| self.count(i)).sum()
    }

    fn count(&self, i: usize) -> u32 {
        let half = if i.is_multiple_of(2) {
            &self.low
        } else {
            &self.high
        };
        u32::from(half[i / 2])
    }

    fn slot(&mut self, i: usize) -> &mut u16 {
        let half = if i.is_multiple_of(2) {
            &mut self.low
        } else {
            &mut self.high
        };
        &mut half[i / 2]
    }
}

/// Bin of a gap.
#[must_use]
pub fn bin(gap: Duration) -> usize {
    let secs = gap.as_secs();
    if secs < 2 {
        return usize::from(secs == 1);
    }
    let octave = secs.ilog2();
    let half = secs >> (octave - 1) & 1;
    let i = 2 * octave + u32::from(half == 1);
    usize::try_from(i).map_or(BINS - 1, |i| i.min(BINS - 1))
}

/// Shortest gap of a bin.
#[must_use]
pub fn edge(i: usize) -> Duration {
    let secs = match i {
        0 | 1 => i as u64,
        _ => (2 + (i as u64 & 1)) << (i / 2 - 1),
    };
    Duration::from_secs(secs)
}

fn width(i: usize) -> Duration {
    edge(i + 1).saturating_sub(edge(i))
}
