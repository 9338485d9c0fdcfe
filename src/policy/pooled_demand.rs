//! Observed demand for all models together.

use std::time::Duration;

use super::gap_histogram::GapHistogram;

/// Number of recorded gaps above which the counts are halved.
const MAX_GAPS: u32 = 30_000;
/// Number of recorded wake-ups above which the counts are halved.
const MAX_WAKES: u32 = 4_000;
/// Wake-ups added to each hour, so that the day is uniform before any is recorded.
const PRIOR_WAKES_PER_HOUR: f64 = 4.0;

/// Gaps and wake-ups of all models, the prior for a model that has few of its own.
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
    /// Number of wake-ups in each hour of the day.
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
    /// Records a gap.
    pub fn record_gap(&mut self, gap: Duration) {
        self.gaps.record(gap, MAX_GAPS);
    }

    /// Records a wake-up.
    pub fn record_wake(&mut self, now: Duration) {
        self.hourly_wakes[hour_of_day(now)] += 1;
        if self.hourly_wakes.iter().sum::<u32>() > MAX_WAKES {
            for count in &mut self.hourly_wakes {
                *count /= 2;
            }
        }
    }

    /// Wake-up rate at a time of day, relative to the mean rate.
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
