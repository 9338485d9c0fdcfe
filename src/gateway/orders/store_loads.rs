//! Tracks and limits loads from the weight store over all engines.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Engine, StoreCapacity};

/// Parallel loads assumed to run at full speed until the first load has been observed.
const INITIAL_PARALLEL_LOADS: u32 = 4;
/// The same where replicas follow demand: their loads are many, and stores were seen that serve one
/// or two at full speed.
const CAUTIOUS_PARALLEL_LOADS: u32 = 2;
/// Upper bound of the parallel loads, whatever was observed.
const MAX_PARALLEL_LOADS: u32 = 16;
/// Slowdown from which loads are taken to share the store's bandwidth; report lag adds less.
const CONTENTION_SLOWDOWN: f64 = 1.25;
/// Time after which a number of parallel loads that was too slow is tried again.
///
/// A try makes one round of loads late; a store that has become faster is rare.
const RETRY_TIME: Duration = Duration::from_mins(5);

/// Starts of loads within the rate limit's window, and how many loads run at full speed.
///
/// The number of running loads is passed in: the records of the engines have it, also of loads that
/// were ordered in an earlier term.
#[derive(Debug)]
pub struct StoreLoads {
    window: Duration,
    recent_starts: VecDeque<Duration>,
    /// Parallel loads that run at full speed; none until a load has been observed.
    learnt: Option<u32>,
    /// Whether replicas follow demand.
    cautious: bool,
    /// Number of parallel loads that was last found too slow, and when.
    too_many: Option<(u32, Duration)>,
}

impl StoreLoads {
    /// No loads yet, with the window of the rate limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::orders::store_loads::StoreLoads;
    ///
    /// assert_eq!(StoreLoads::new(Duration::from_secs(1)).parallel_limit(), 4);
    /// ```
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            recent_starts: VecDeque::new(),
            learnt: None,
            cautious: false,
            too_many: None,
        }
    }

    /// Sets whether replicas follow demand, so that few loads start until more were seen to be fast.
    pub const fn set_cautious(&mut self, cautious: bool) {
        self.cautious = cautious;
    }

    /// Number of loads that run at full speed, as far as known.
    #[must_use]
    pub fn parallel_limit(&self) -> u32 {
        let initial = if self.cautious {
            CAUTIOUS_PARALLEL_LOADS
        } else {
            INITIAL_PARALLEL_LOADS
        };
        self.learnt.unwrap_or(initial).max(1)
    }

    /// Loads that may start beside `running` ones now.
    pub fn capacity(&mut self, engine: &Engine, running: u32, now: Duration) -> StoreCapacity {
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
            slots: self.parallel_limit().saturating_sub(running),
            tokens: max_starts.saturating_sub(started),
        }
    }

    /// Records the start of a load beside `running` ones and returns its expected duration.
    pub fn start(&mut self, cold: Duration, running: u32, now: Duration) -> Duration {
        self.recent_starts.push_back(now);
        cold * (running + 1).div_ceil(self.parallel_limit())
    }

    /// Adapts the limit of parallel loads to the slowdown of a load that has ended, one of
    /// `were_running`.
    pub fn finish(
        &mut self,
        took: Duration,
        cold: Option<Duration>,
        were_running: u32,
        now: Duration,
    ) {
        let Some(cold) = cold.filter(|c| !c.is_zero()) else {
            return;
        };
        let limit = self.parallel_limit();
        let slowdown = took.as_secs_f64() / cold.as_secs_f64();
        // Loads that ended together shared the store with each other; one of them is evidence enough.
        let lowered = self.too_many.map(|(_, at)| at);
        let is_known = self.cautious && lowered.is_some_and(|at| now < at + took);
        let next = if slowdown > CONTENTION_SLOWDOWN && is_known {
            limit
        } else if slowdown > CONTENTION_SLOWDOWN && were_running > 1 {
            self.too_many = Some((were_running, now));
            limit - 1
        } else if were_running >= limit && slowdown < CONTENTION_SLOWDOWN {
            limit + 1
        } else {
            limit
        };
        let known = self.too_many.filter(|(_, at)| now < *at + RETRY_TIME);
        let most = match known {
            Some((count, _)) if self.cautious => count - 1,
            _ => MAX_PARALLEL_LOADS,
        };
        let next = next.min(most).clamp(1, MAX_PARALLEL_LOADS);
        if next != limit {
            log::info!(parallel = next, before = limit, slowdown = slowdown,
                running = were_running; "parallel loads from the weight store changed");
        }
        self.learnt = Some(next);
    }

    /// Time until the load at a position in the queue ends, behind `running` ones; positions start
    /// at 1.
    #[must_use]
    pub fn queue_time(&self, position: u32, running: u32, cold: Duration) -> Duration {
        cold * (running + position).div_ceil(self.parallel_limit())
    }
}
