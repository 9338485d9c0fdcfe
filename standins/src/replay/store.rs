//! The weight store's limits in model time.

use std::ops::Range;
use std::time::Duration;

/// How much slower the store is while it is slow.
const SLOWDOWN: u32 = 4;

/// The weight store: bytes a second, starts a second and slow times.
#[derive(Debug, Clone)]
pub struct Store {
    rate: u64,
    spacing: Duration,
    slow: Vec<Range<Duration>>,
    /// Earliest time of the next start.
    next: Duration,
}

impl Store {
    /// A store with a rate for each load and a number of starts a second.
    #[must_use]
    pub fn new(rate: u64, starts: u32, slow: Vec<Range<Duration>>) -> Self {
        Self {
            rate,
            spacing: Duration::from_secs(1) / starts.max(1),
            slow,
            next: Duration::ZERO,
        }
    }

    /// Time that a load takes by itself at full speed.
    #[must_use]
    pub fn time(&self, bytes: u64) -> Duration {
        transfer(bytes, self.rate)
    }

    /// Earliest time at which a load may start.
    #[must_use]
    pub const fn next(&self) -> Duration {
        self.next
    }

    /// Starts a load and gives the time at which it ends.
    pub fn start(&mut self, now: Duration, bytes: u64) -> Duration {
        self.next = now + self.spacing;
        let mut at = now;
        let mut left = self.time(bytes);
        for window in &self.slow {
            if window.end <= at {
                continue;
            }
            let before = window.start.saturating_sub(at);
            if left <= before {
                break;
            }
            left = left.saturating_sub(before);
            at += before;
            let room = window.end.saturating_sub(at) / SLOWDOWN;
            if left <= room {
                return at + left * SLOWDOWN;
            }
            left = left.saturating_sub(room);
            at = window.end;
        }
        at + left
    }

    /// Whether the store is slow at a time.
    #[must_use]
    pub fn is_slow(&self, at: Duration) -> bool {
        self.slow.iter().any(|w| w.contains(&at))
    }

    /// Time that a load would take if it started now.
    #[must_use]
    pub fn estimate(&self, now: Duration, bytes: u64) -> Duration {
        let factor = if self.is_slow(now) { SLOWDOWN } else { 1 };
        self.time(bytes) * factor
    }
}

/// Time to move bytes at a rate.
#[must_use]
pub fn transfer(bytes: u64, rate: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1_000) / rate.max(1))
}
