//! Limits how often the lease holder plans.

use std::time::Duration;

/// Minimum pause after a plan: the time that an engine takes to answer an order.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a plan as a multiple of its duration: the lease holder also serves callers, and has
/// to read the messages of other instances faster than they arrive.
const PAUSE_FACTOR: u32 = 3;

/// Enforces a pause after each plan in proportion to its duration.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::orders::throttle::PlanThrottle;
///
/// let mut throttle = PlanThrottle::default();
/// let at = Duration::from_millis;
/// throttle.record(at(100), at(140));
/// assert_eq!(throttle.delay(at(200)), at(60));
/// assert!(throttle.delay(at(260)).is_zero());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct PlanThrottle {
    next_plan: Duration,
}

impl PlanThrottle {
    /// Time until the next plan may start; zero if it may start now.
    #[must_use]
    pub const fn delay(&self, now: Duration) -> Duration {
        self.next_plan.saturating_sub(now)
    }

    /// Records a plan that ran from `start` to `end`.
    pub fn record(&mut self, start: Duration, end: Duration) {
        let took = end.saturating_sub(start);
        self.next_plan = end + (took * PAUSE_FACTOR).max(MIN_PAUSE);
    }
}
