//! Tracks and limits loads from the weight store over all engines.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Engine, StoreCapacity};

/// Parallel loads assumed to run at full speed until the first load has been observed.
const INITIAL_PARALLEL_LOADS: u32 = 4;
/// Upper bound of the parallel loads, whatever was observed.
const MAX_PARALLEL_LOADS: u32 = 16;
/// Slowdown from which loads are taken to share the store's bandwidth; report lag adds less.
const CONTENTION_SLOWDOWN: f64 = 1.25;

/// Loads that are running and starts within the rate limit's window.
#[derive(Debug)]
pub(super) struct StoreLoads {
    window: Duration,
    recent_starts: VecDeque<Duration>,
    running: u32,
    parallel_limit: u32,
}

impl StoreLoads {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            recent_starts: VecDeque::new(),
            running: 0,
            parallel_limit: INITIAL_PARALLEL_LOADS,
        }
    }

    /// Forgets the running loads when another instance issues the orders.
    pub(super) fn clear(&mut self) {
        self.running = 0;
    }

    /// Loads that may start now.
    pub(super) fn capacity(&mut self, engine: &Engine, now: Duration) -> StoreCapacity {
        while self
            .recent_starts
            .front()
            .is_some_and(|at| now >= *at + self.window)
        {
            self.recent_starts.pop_front();
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of the configuration, small and never negative"
        )]
        let max_starts = (engine.load_rate * self.window.as_secs_f64()) as u32;
        let started = u32::try_from(self.recent_starts.len()).unwrap_or(u32::MAX);
        StoreCapacity {
            slots: self.parallel_limit.saturating_sub(self.running),
            tokens: max_starts.saturating_sub(started),
        }
    }

    /// Records the start of a load and returns its expected duration.
    pub(super) fn start(&mut self, cold: Duration, now: Duration) -> Duration {
        self.recent_starts.push_back(now);
        self.running += 1;
        cold * self.running.div_ceil(self.parallel_limit.max(1))
    }

    /// Records the end of a load and adapts the limit of parallel loads to its slowdown.
    pub(super) fn finish(&mut self, took: Duration, cold: Option<Duration>, done: bool) {
        let were_running = self.running;
        self.running = self.running.saturating_sub(1);
        let Some(cold) = cold.filter(|c| done && !c.is_zero()) else {
            return;
        };
        let slowdown = took.as_secs_f64() / cold.as_secs_f64();
        if slowdown > CONTENTION_SLOWDOWN && were_running > 1 {
            self.parallel_limit = (self.parallel_limit - 1).max(1);
        } else if were_running >= self.parallel_limit && slowdown < CONTENTION_SLOWDOWN {
            self.parallel_limit = (self.parallel_limit + 1).min(MAX_PARALLEL_LOADS);
        }
    }

    /// Time until the load at a position in the queue ends; positions start at 1.
    pub(super) fn queue_time(&self, position: u32, cold: Duration) -> Duration {
        cold * (self.running + position).div_ceil(self.parallel_limit.max(1))
    }
}
