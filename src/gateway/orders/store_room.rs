//! Loads from the weight store, over all engines.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Engine, StoreCapacity};

/// Loads at once that are assumed to run at full speed before one was seen.
const AT_ONCE: u32 = 4;
/// Most loads at once, whatever was seen.
const AT_ONCE_MOST: u32 = 16;
/// Slowdown from which loads count as sharing the store's speed; reports lag behind by less.
const SHARED: f64 = 1.25;

/// The loads that run and the ones that began lately.
#[derive(Debug)]
pub(super) struct StoreLoads {
    window: Duration,
    begun: VecDeque<Duration>,
    running: u32,
    at_once: u32,
}

impl StoreLoads {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            begun: VecDeque::new(),
            running: 0,
            at_once: AT_ONCE,
        }
    }

    /// Forgets the loads that run, where another instance gives the orders now.
    pub(super) fn clear(&mut self) {
        self.running = 0;
    }

    /// What may begin now.
    pub(super) fn room(&mut self, engine: &Engine, now: Duration) -> StoreCapacity {
        while self
            .begun
            .front()
            .is_some_and(|at| now >= *at + self.window)
        {
            self.begun.pop_front();
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of the configuration, small and never negative"
        )]
        let most = (engine.loads * self.window.as_secs_f64()) as u32;
        let begun = u32::try_from(self.begun.len()).unwrap_or(u32::MAX);
        StoreCapacity {
            slots: self.at_once.saturating_sub(self.running),
            tokens: most.saturating_sub(begun),
        }
    }

    /// A load begins; returns the time that it is expected to take.
    pub(super) fn begin(&mut self, cold: Duration, now: Duration) -> Duration {
        self.begun.push_back(now);
        self.running += 1;
        cold * self.running.div_ceil(self.at_once.max(1))
    }

    /// A load ended.
    pub(super) fn end(&mut self, took: Duration, cold: Option<Duration>, done: bool) {
        let ran = self.running;
        self.running = self.running.saturating_sub(1);
        let Some(cold) = cold.filter(|c| done && !c.is_zero()) else {
            return;
        };
        let slowdown = took.as_secs_f64() / cold.as_secs_f64();
        if slowdown > SHARED && ran > 1 {
            self.at_once = (self.at_once - 1).max(1);
        } else if ran >= self.at_once && slowdown < SHARED {
            self.at_once = (self.at_once + 1).min(AT_ONCE_MOST);
        }
    }

    /// Time until the load at a place in the queue ends.
    pub(super) fn wait(&self, place: u32, cold: Duration) -> Duration {
        cold * (self.running + place).div_ceil(self.at_once.max(1))
    }
}
