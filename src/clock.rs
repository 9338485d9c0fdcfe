//! The clock that decisions are given.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Source of time for leases, deadlines and limits.
#[derive(Debug, Clone, Copy)]
pub enum Clock {
    /// Time since boot; it also runs while the machine is suspended.
    Boot,
    /// Time of the async runtime since a start; a test can pause it.
    Runtime(Instant),
}

impl Clock {
    /// A clock that follows the runtime's time, starting now.
    #[must_use]
    pub fn runtime() -> Self {
        Self::Runtime(Instant::now())
    }

    /// Time since the clock's origin.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = brassrack::clock::Clock::Boot;
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn now(self) -> Duration {
        match self {
            Self::Boot => {
                let t = clock_gettime(ClockId::Boottime);
                Duration::new(
                    u64::try_from(t.tv_sec).unwrap_or_default(),
                    u32::try_from(t.tv_nsec).unwrap_or_default(),
                )
            }
            Self::Runtime(start) => start.elapsed(),
        }
    }
}
