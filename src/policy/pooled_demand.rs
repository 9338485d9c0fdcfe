//! What is learnt of the demand for all models together.

use std::time::Duration;

use super::gap_histogram::Gaps;

/// Gaps that are remembered.
const GAPS: u32 = 30_000;
/// Wakes that are remembered.
const WAKES: u32 = 4_000;
/// Wakes in each hour that stand for a flat day before any is learnt.
const FLAT: f64 = 4.0;

/// Gaps and wakes of all models, which stand in where a model has few of its own.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::pooled_demand::Pool;
///
/// let noon = Duration::from_hours(12);
/// let mut pool = Pool::default();
/// for _ in 0..100 {
///     pool.wake(noon);
/// }
/// assert!(pool.share(noon) > 1.0);
/// assert!(pool.share(noon / 2) < 1.0);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Idle gaps.
    pub gaps: Gaps,
    /// Wakes in each hour of the day.
    hours: [u32; 24],
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            gaps: Gaps::uniform(),
            hours: [0; 24],
        }
    }
}

impl Pool {
    /// Counts a gap.
    pub fn record(&mut self, gap: Duration) {
        self.gaps.record(gap, GAPS);
    }

    /// Counts a wake.
    pub fn wake(&mut self, now: Duration) {
        self.hours[hour(now)] += 1;
        if self.hours.iter().sum::<u32>() > WAKES {
            for count in &mut self.hours {
                *count /= 2;
            }
        }
    }

    /// Rate of wakes at a time of day over their mean rate.
    #[must_use]
    pub fn share(&self, at: Duration) -> f64 {
        let mean = f64::from(self.hours.iter().sum::<u32>()) / 24.0;
        (f64::from(self.hours[hour(at)]) + FLAT) / (mean + FLAT)
    }
}

fn hour(at: Duration) -> usize {
    usize::try_from(at.as_secs() / 3_600 % 24).unwrap_or(0)
}
