//! What is learnt of the demand for one model.

use std::time::Duration;

use super::ModelProfile;
use super::daily_profile::DailyProfile;
use super::gap_histogram::GapHistogram;
use super::pooled_demand::PooledDemand;

/// Idle gap after which an arrival counts as a wake.
const WAKE_GAP: Duration = Duration::from_mins(15);
/// Gaps of a model that are remembered.
const MAX_MODEL_GAPS: u32 = 512;
/// Gaps that the pool stands for beside a model's own.
const POOLED_WEIGHT_GAPS: f64 = 8.0;

/// Learnt demand for a model or adapter.
#[derive(Debug, Clone)]
pub struct Demand {
    /// What the rules say.
    pub profile: ModelProfile,
    gaps: GapHistogram,
    daily: DailyProfile,
    /// Last arrival or end of a request.
    last_active: Option<Duration>,
}

impl Demand {
    /// Demand of which nothing is known.
    #[must_use]
    pub fn new(profile: ModelProfile) -> Self {
        Self {
            profile,
            gaps: GapHistogram::default(),
            daily: DailyProfile::default(),
            last_active: None,
        }
    }

    /// Learns a request.
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

    /// Learns that the last running request ended.
    pub fn record_idle(&mut self, now: Duration) {
        self.last_active = Some(self.last_active.map_or(now, |at| at.max(now)));
    }

    /// Requests a second to be expected at a time, if none comes before.
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
