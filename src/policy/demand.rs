//! Observed demand for one model.

use std::time::Duration;

use super::ModelProfile;
use super::daily_profile::DailyProfile;
use super::gap_histogram::GapHistogram;
use super::pooled_demand::PooledDemand;

/// Shortest idle gap after which an arrival counts as a wake-up.
const WAKE_GAP: Duration = Duration::from_mins(15);
/// Number of recorded gaps of a model above which its counts are halved.
const MAX_MODEL_GAPS: u32 = 512;
/// Weight of the pooled histogram relative to a model's own, as a number of gaps.
const POOLED_WEIGHT_GAPS: f64 = 8.0;

/// Observed demand for a model or adapter.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Properties that the rules define.
    pub profile: ModelProfile,
    gaps: GapHistogram,
    daily: DailyProfile,
    /// Time at which a request last arrived, or the last running one ended.
    last_active: Option<Duration>,
}

impl Demand {
    /// Creates demand without observations.
    #[must_use]
    pub fn new(profile: ModelProfile) -> Self {
        Self {
            profile,
            gaps: GapHistogram::default(),
            daily: DailyProfile::default(),
            last_active: None,
        }
    }

    /// Records the arrival of a request, in the pooled demand too.
    pub fn record_arrival(&mut self, now: Duration, pooled: &mut PooledDemand) {
        let gap = self.last_active.map(|at| now.saturating_sub(at));
        if let Some(gap) = gap {
            self.gaps.record(gap, MAX_MODEL_GAPS);
            pooled.record_gap(gap);
        }
        if gap.is_none_or(|g| g >= WAKE_GAP) {
            self.daily.record_wake(now);
            pooled.record_wake(now);
        }
        self.last_active = Some(now);
    }

    /// Records that the last running request ended.
    pub fn record_idle(&mut self, now: Duration) {
        self.last_active = Some(self.last_active.map_or(now, |at| at.max(now)));
    }

    /// Expected requests per second at a time, given that none arrives before it.
    #[must_use]
    pub fn rate(&self, at: Duration, pooled: &PooledDemand) -> f64 {
        let Some(last_active) = self.last_active else {
            return 0.0;
        };
        let elapsed = at.saturating_sub(last_active);
        let mut rate = self
            .gaps
            .hazard_rate(elapsed, &pooled.gaps, POOLED_WEIGHT_GAPS);
        if elapsed >= WAKE_GAP {
            rate *= pooled.hourly_factor(at);
        }
        rate.max(self.daily.rate(at))
    }
}
