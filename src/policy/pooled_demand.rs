//! What is learnt of the demand for all models together.

use std::time::Duration;

use super::gap_histogram::GapHistogram;

/// Gaps that are remembered.
const MAX_GAPS: u32 = 30_000;
/// Wakes that are remembered.
const MAX_WAKES: u32 = 4_000;
/// Wakes in each hour that stand for a flat day before any is learnt.
const PRIOR_WAKES_PER_HOUR: f64 = 4.0;

/// Gaps and wakes of all models, which stand in where a model has few of its own.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::pooled_demand::PooledDemand;
///
/// let noon = Duration::from_hours(12);
/// let mut pooled = PooledDemand::default();
/// for _ in 0..100 {
///     pooled.record_wake(noon);
/// }
/// assert!(pooled.hourly_factor(noon) > 1.0);
/// assert!(pooled.hourly_factor(noon / 2) < 1.0);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PooledDemand {
    /// Idle gaps.
    pub gaps: GapHistogram,
    /// Wakes in each hour of the day.
    hourly_wakes: [u32; 24],
}

impl Default for PooledDemand {
    fn default() -> Self {
        Self {
            gaps: GapHistogram::uniform(),
            hourly_wakes: [0; 24],
        }
    }
}

impl PooledDemand {
    /// Counts a gap.
    pub fn record_gap(&mut self, gap: Duration) {
        self.gaps.record(gap, MAX_GAPS);
    }

    /// Counts a wake.
    pub fn record_wake(&mut self, now: Duration) {
        self.hourly_wakes[hour_of_day(now)] += 1;
        if self.hourly_wakes.iter().sum::<u32>() > MAX_WAKES {
            for count in &mut self.hourly_wakes {
                *count /= 2;
            }
        }
    }

    /// Rate of wakes at a time of day over their mean rate.
    #[must_use]
    pub fn hourly_factor(&self, at: Duration) -> f64 {
        let mean = f64::from(self.hourly_wakes.iter().sum::<u32>()) / 24.0;
        (f64::from(self.hourly_wakes[hour_of_day(at)]) + PRIOR_WAKES_PER_HOUR)
            / (mean + PRIOR_WAKES_PER_HOUR)
    }
}

fn hour_of_day(at: Duration) -> usize {
    usize::try_from(at.as_secs() / 3_600 % 24).unwrap_or(0)
}
