//! How often the lease holder plans.

use std::time::Duration;

/// Least time between two plans; the time of one order's answer.
const EVERY: Duration = Duration::from_millis(10);
/// Pause after a plan, as a multiple of the time that it took: the holder serves callers as well,
/// and has to read what other instances tell faster than they tell it.
const PAUSES: u32 = 3;

/// When the last plan was made, and when the next may be.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::orders::pace::Pace;
///
/// let mut pace = Pace::default();
/// let at = Duration::from_millis;
/// pace.ran(at(100), at(140));
/// assert_eq!(pace.wait(at(200)), at(60));
/// assert!(pace.wait(at(260)).is_zero());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    next: Duration,
}

impl Pace {
    /// Time until a plan may be made; zero where it may be made now.
    #[must_use]
    pub const fn wait(&self, now: Duration) -> Duration {
        self.next.saturating_sub(now)
    }

    /// A plan was made from one moment to another.
    pub fn ran(&mut self, from: Duration, to: Duration) {
        let took = to.saturating_sub(from);
        self.next = to + (took * PAUSES).max(EVERY);
    }
}
