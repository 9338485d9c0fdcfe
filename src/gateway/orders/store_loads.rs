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

/// Starts of loads within the rate limit's window, and how many loads run at full speed.
///
/// The number of running loads is passed in: the records of the engines have it, also of loads that
/// were ordered in an earlier term.
#[derive(Debug)]
pub(super) struct StoreLoads {
    window: Duration,
    recent_starts: VecDeque<Duration>,
    parallel_limit: u32,
}

impl StoreLoads {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            recent_starts: VecDeque::new(),
            parallel_limit: INITIAL_PARALLEL_LOADS,
        }
    }

    /// Loads that may start beside `running` ones now.
    pub(super) fn capacity(
        &mut self,
        engine: &Engine,
        running: u32,
        now: Duration,
    ) -> StoreCapacity {
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
            slots: self.parallel_limit.saturating_sub(running),
            tokens: max_starts.saturating_sub(started),
        }
    }

    /// Records the start of a load beside `running` ones and returns its expected duration.
    pub(super) fn start(&mut self, cold: Duration, running: u32, now: Duration) -> Duration {
        self.recent_starts.push_back(now);
        cold * (running + 1).div_ceil(self.parallel_limit.max(1))
    }

    /// Adapts the limit of parallel loads to the slowdown of a load that has ended, one of
    /// `were_running`.
    pub(super) fn finish(&mut self, took: Duration, cold: Option<Duration>, were_running: u32) {
        let Some(cold) = cold.filter(|c| !c.is_zero()) else {
            return;
        };
        let slowdown = took.as_secs_f64() / cold.as_secs_f64();
        if slowdown > CONTENTION_SLOWDOWN && were_running > 1 {
            self.parallel_limit = (self.parallel_limit - 1).max(1);
        } else if were_running >= self.parallel_limit && slowdown < CONTENTION_SLOWDOWN {
            self.parallel_limit = (self.parallel_limit + 1).min(MAX_PARALLEL_LOADS);
        }
    }

    /// Time until the load at a position in the queue ends, behind `running` ones; positions start
    /// at 1.
    pub(super) fn queue_time(&self, position: u32, running: u32, cold: Duration) -> Duration {
        cold * (running + position).div_ceil(self.parallel_limit.max(1))
    }
}
