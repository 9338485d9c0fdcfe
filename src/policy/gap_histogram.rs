//! Histogram of idle gaps, with two bins per octave.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of bins; the last has no upper bound.
pub const BIN_COUNT: usize = 34;

/// Counts of idle gaps, in bins from less than one second to more than a day.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::gap_histogram::GapHistogram;
///
/// let mut gaps = GapHistogram::default();
/// gaps.record(Duration::from_secs(40), 512);
/// assert_eq!(gaps.total(), 1);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GapHistogram {
    low: [u16; 17],
    high: [u16; 17],
    total: u32,
}

impl GapHistogram {
    /// Creates a histogram with one gap in each bin.
    #[must_use]
    pub fn uniform() -> Self {
        let mut gaps = Self::default();
        for i in 0..BIN_COUNT {
            gaps.record(lower_edge(i), u32::MAX);
        }
        gaps
    }

    /// Records a gap; halves all counts when their sum exceeds `limit`.
    pub fn record(&mut self, gap: Duration, limit: u32) {
        let count = self.count_mut(bin_index(gap));
        *count = count.saturating_add(1);
        self.total += 1;
        if self.total <= limit {
            return;
        }
        for count in self.low.iter_mut().chain(&mut self.high) {
            *count /= 2;
        }
        self.total = (0..BIN_COUNT).map(|i| self.count(i)).sum();
    }

    /// Sum of all counts.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Arrivals per second after an idle time, given that none came before it.
    ///
    /// The histogram `prior` counts as much as `weight` gaps.
    #[must_use]
    pub fn hazard_rate(&self, elapsed: Duration, prior: &Self, weight: f64) -> f64 {
        let i = bin_index(elapsed);
        let scale = weight / f64::from(prior.total.max(1));
        let in_bin = f64::from(self.count(i)) + scale * f64::from(prior.count(i));
        let remaining = f64::from(self.count_from(i)) + scale * f64::from(prior.count_from(i));
        if remaining <= 0.0 {
            return 0.0;
        }
        // Counts the survivors at the middle of the bin, so that the rate of the last bin with
        // gaps stays finite.
        in_bin / (remaining - in_bin / 2.0) / bin_width(i).as_secs_f64()
    }

    fn count_from(&self, from: usize) -> u32 {
        (from..BIN_COUNT).map(|i| self.count(i)).sum()
    }

    fn count(&self, i: usize) -> u32 {
        let counts = if i.is_multiple_of(2) {
            &self.low
        } else {
            &self.high
        };
        u32::from(counts[i / 2])
    }

    fn count_mut(&mut self, i: usize) -> &mut u16 {
        let counts = if i.is_multiple_of(2) {
            &mut self.low
        } else {
            &mut self.high
        };
        &mut counts[i / 2]
    }
}

/// Index of the bin that holds a gap.
#[must_use]
pub fn bin_index(gap: Duration) -> usize {
    let secs = gap.as_secs();
    if secs < 2 {
        return usize::from(secs == 1);
    }
    let octave = secs.ilog2();
    let upper = secs >> (octave - 1) & 1;
    let i = 2 * octave + u32::from(upper == 1);
    usize::try_from(i).map_or(BIN_COUNT - 1, |i| i.min(BIN_COUNT - 1))
}

/// Shortest gap that a bin holds.
#[must_use]
pub fn lower_edge(i: usize) -> Duration {
    let secs = match i {
        0 | 1 => i as u64,
        _ => (2 + (i as u64 & 1)) << (i / 2 - 1),
    };
    Duration::from_secs(secs)
}

fn bin_width(i: usize) -> Duration {
    lower_edge(i + 1).saturating_sub(lower_edge(i))
}
