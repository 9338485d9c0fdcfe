//! Which requests are refused at once because engines are full, and when they may be sent again.
//!
//! A queue that is let grow makes every request late. It is kept so short that a request that is
//! taken still meets its objective; the others are refused at once, with times to retry after that
//! differ, so that they do not all return together.

use std::time::Duration;

use super::catalog::Route;

/// Share of the objective that a request may wait in an engine's queue; the rest is for its
/// prompt and for what the queue's report does not show yet.
const WAIT_SHARE: f64 = 0.7;
/// The same for the most urgent rank, which engines take before the others in their queue.
const URGENT_SHARE: f64 = 1.4;
/// Objectives for which a request waits for a model of which nobody knows when it is ready: a
/// later answer is worth little, and the caller can still retry.
const UNKNOWN_OBJECTIVES: u32 = 2;
/// Least such time: a load from an engine's disk and the order for it.
const UNKNOWN_LEAST: Duration = Duration::from_millis(1800);
/// Least time to retry after.
const RETRY_LEAST: Duration = Duration::from_millis(300);
/// Spread of the times to retry after.
const RETRY_SPREAD: Duration = Duration::from_millis(1200);

/// Longest expected wait in an engine's queue with which a request is taken.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::admission::longest_wait;
/// use brassrack::gateway::catalog::Route;
///
/// let route = Route { priority: 1, ..Route::example() };
/// assert!(longest_wait(&route) < route.latency_objective);
/// ```
#[must_use]
pub fn longest_wait(route: &Route) -> Duration {
    let share = if route.priority == 0 {
        URGENT_SHARE
    } else {
        WAIT_SHARE
    };
    route.latency_objective.mul_f64(share)
}

/// Longest wait for a model of which nobody knows when it is ready.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::admission::longest_unknown;
/// use brassrack::gateway::catalog::Route;
///
/// let route = Route::example();
/// assert_eq!(longest_unknown(&route), route.latency_objective * 2);
/// ```
#[must_use]
pub fn longest_unknown(route: &Route) -> Duration {
    (route.latency_objective * UNKNOWN_OBJECTIVES).max(UNKNOWN_LEAST)
}

/// Time after which a caller whose request would have to wait may retry, by a uniform draw from 0
/// to 1.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::admission::retry_after;
///
/// let wait = Duration::from_secs(1);
/// assert!(retry_after(wait, 0.1) < retry_after(wait, 0.9));
/// ```
#[must_use]
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    wait.max(RETRY_LEAST) + RETRY_SPREAD.mul_f64(draw)
}
