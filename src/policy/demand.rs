//! What is learnt of the demand for one model.

use std::time::Duration;

use super::Profile;
use super::daily_profile::Rhythm;
use super::gap_histogram::Gaps;
use super::pooled_demand::Pool;

/// Idle gap after which an arrival counts as a wake.
const WAKE_GAP: Duration = Duration::from_mins(15);
/// Gaps of a model that are remembered.
const MODEL_GAPS: u32 = 512;
/// Gaps that the pool stands for beside a model's own.
const POOL_WEIGHT: f64 = 8.0;

/// Learnt demand for a model or adapter.
#[derive(Debug, Clone)]
pub struct Demand {
    /// What the rules say.
    pub profile: Profile,
    gaps: Gaps,
    rhythm: Rhythm,
    /// Last arrival or end of a request.
    active: Option<Duration>,
}

impl Demand {
    /// Demand of which nothing is known.
    #[must_use]
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
            gaps: Gaps::default(),
            rhythm: Rhythm::default(),
            active: None,
        }
    }

    /// Learns a request.
    pub fn arrival(&mut self, now: Duration, pool: &mut Pool) {
        let gap = self.active.map(|at| now.saturating_sub(at));
        if let Some(gap) = gap {
            self.gaps.record(gap, MODEL_GAPS);
            pool.record(gap);
        }
        if gap.is_none_or(|g| g >= WAKE_GAP) {
            self.rhythm.wake(now);
            pool.wake(now);
        }
        self.active = Some(now);
    }

    /// Learns that the last running request ended.
    pub fn idle(&mut self, now: Duration) {
        self.active = Some(self.active.map_or(now, |at| at.max(now)));
    }

    /// Requests a second to be expected at a time, if none comes before.
    #[must_use]
    pub fn rate(&self, at: Duration, pool: &Pool) -> f64 {
        let Some(active) = self.active else {
            return 0.0;
        };
        let elapsed = at.saturating_sub(active);
        let mut gap = self.gaps.rate(elapsed, &pool.gaps, POOL_WEIGHT);
        if elapsed >= WAKE_GAP {
            gap *= pool.share(at);
        }
        gap.max(self.rhythm.rate(at))
    }
}
