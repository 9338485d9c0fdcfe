//! Loads from the weight store, over all engines.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Engine, StoreRoom};

/// Loads at once that are assumed to run at full speed before one was seen.
const INITIAL_PARALLEL_LOADS: u32 = 4;
/// Most loads at once, whatever was seen.
const MAX_PARALLEL_LOADS: u32 = 16;
/// Slowdown from which loads count as sharing the store's speed; reports lag behind by less.
const CONTENTION_SLOWDOWN: f64 = 1.25;

/// The loads that run and the ones that began lately.
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

    /// Forgets the loads that run, where another instance gives the orders now.
    pub(super) fn clear(&mut self) {
        self.running = 0;
    }

    /// What may begin now.
    pub(super) fn capacity(&mut self, engine: &Engine, now: Duration) -> StoreRoom {
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
        let max_starts = (engine.loads * self.window.as_secs_f64()) as u32;
        let started = u32::try_from(self.recent_starts.len()).unwrap_or(u32::MAX);
        StoreRoom {
            slots: self.parallel_limit.saturating_sub(self.running),
            tokens: max_starts.saturating_sub(started),
        }
    }

    /// A load begins; returns the time that it is expected to take.
    pub(super) fn start(&mut self, cold: Duration, now: Duration) -> Duration {
        self.recent_starts.push_back(now);
        self.running += 1;
        cold * self.running.div_ceil(self.parallel_limit.max(1))
    }

    /// A load ended.
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

    /// Time until the load at a place in the queue ends.
    pub(super) fn queue_time(&self, position: u32, cold: Duration) -> Duration {
        cold * (self.running + position).div_ceil(self.parallel_limit.max(1))
    }
}
