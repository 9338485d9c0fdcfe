//! How often the lease holder plans.

use std::time::Duration;

/// Least time between two plans; the time of one order's answer.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a plan, as a multiple of the time that it took: the holder serves callers as well,
/// and has to read what other instances tell faster than they tell it.
const PAUSE_FACTOR: u32 = 3;

/// When the last plan was made, and when the next may be.
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
    /// Time until a plan may be made; zero where it may be made now.
    #[must_use]
    pub const fn delay(&self, now: Duration) -> Duration {
        self.next_plan.saturating_sub(now)
    }

    /// A plan was made from one moment to another.
    pub fn record(&mut self, start: Duration, end: Duration) {
        let took = end.saturating_sub(start);
        self.next_plan = end + (took * PAUSE_FACTOR).max(MIN_PAUSE);
    }
}
