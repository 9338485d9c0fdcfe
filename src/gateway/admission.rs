//! Admission control: limits on the expected wait of a request, and retry-after times for refusals.
//!
//! An unbounded queue makes every request late. Queues are kept short enough for an admitted
//! request to meet its objective; all others are refused at once, with jittered retry-after times
//! so that their retries do not arrive together.

use std::time::Duration;

use super::catalog::Route;

/// Share of the objective that a request may wait in an engine's queue; the rest covers its prefill
/// and queue growth that the engine's report does not show yet.
const QUEUE_WAIT_SHARE: f64 = 0.7;
/// The same share for the most urgent rank, which engines run ahead of the rest of their queue.
const URGENT_QUEUE_WAIT_SHARE: f64 = 1.4;
/// Wait for a model without an estimated ready time, in multiples of the objective: a later
/// response is worth little, and the caller can still retry.
const UNKNOWN_WAIT_OBJECTIVES: u32 = 2;
/// Lower bound of that wait: the time to order a load from an engine's disk and to complete it.
const MIN_UNKNOWN_WAIT: Duration = Duration::from_millis(1800);
/// Shortest retry-after time, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Upper bound of the random time added to a retry-after time.
const RETRY_JITTER: Duration = Duration::from_millis(1200);

/// Longest expected wait in an engine's queue with which a request of this priority is admitted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::admission::max_queue_wait;
///
/// let objective = Duration::from_secs(1);
/// assert!(max_queue_wait(objective, 1) < objective);
/// assert!(max_queue_wait(objective, 0) > objective);
/// ```
#[must_use]
pub fn max_queue_wait(objective: Duration, priority: u8) -> Duration {
    let share = if priority == 0 {
        URGENT_QUEUE_WAIT_SHARE
    } else {
        QUEUE_WAIT_SHARE
    };
    objective.mul_f64(share)
}

/// Longest wait for a model without an estimated ready time.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::admission::max_unknown_wait;
/// use brassrack::gateway::catalog::Route;
///
/// let route = Route::example();
/// assert_eq!(max_unknown_wait(&route), route.latency_objective * 2);
/// ```
#[must_use]
pub fn max_unknown_wait(route: &Route) -> Duration {
    (route.latency_objective * UNKNOWN_WAIT_OBJECTIVES).max(MIN_UNKNOWN_WAIT)
}

/// Retry-after time for a request refused because of its expected `wait`.
///
/// `draw` is uniform between 0 and 1 and sets the jitter.
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
    wait.max(MIN_RETRY_DELAY) + RETRY_JITTER.mul_f64(draw)
}
