//! Order of the load queue, and admission of the requests that wait on it.

use std::time::Duration;

use super::key::ModelKey;
use crate::rules::PriorityClass;

/// A load that waits for a slot of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// The model.
    pub model: ModelKey,
    /// Most urgent class that waits for it; none for a load ahead of need.
    pub class: Option<PriorityClass>,
    /// Time by which the earliest waiting request needs its first token.
    pub deadline: Duration,
    /// Time that the load takes by itself.
    pub load: Duration,
    /// When it was asked for.
    pub since: Duration,
}

/// Whether a request can be served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can wait.
    Serve,
    /// It would be late; coming back after this time helps.
    Refuse(Duration),
}

/// Sorts loads so that the first one takes the next slot.
///
/// Loads that waiting requests need go first, by class; within a class those that can still make
/// their deadline go before those that cannot, then by slack in octaves, then by length.
pub fn order(queue: &mut [Pending], now: Duration) {
    queue.sort_by_key(|p| rank(p, now));
}

fn rank(
    p: &Pending,
    now: Duration,
) -> (bool, Option<PriorityClass>, bool, u32, Duration, Duration) {
    let slack = p.deadline.checked_sub(now + p.load);
    let octave = slack.map_or(0, |s| s.as_secs().max(1).ilog2());
    (
        p.class.is_none(),
        p.class,
        slack.is_none(),
        octave,
        p.load,
        p.since,
    )
}

/// Time until a load ends that waits behind others.
///
/// `busy` gives for each slot in use the time that it still takes, `ahead` the length of each
/// load that goes first, `slots` the loads at once, `load` the length of the load itself.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::queue::estimate;
///
/// let secs = Duration::from_secs;
/// assert_eq!(estimate(&[secs(3)], &[], 2, secs(5)), secs(5));
/// assert_eq!(estimate(&[secs(3), secs(4)], &[secs(9)], 2, secs(5)), secs(9));
/// ```
#[must_use]
pub fn estimate(busy: &[Duration], ahead: &[Duration], slots: u32, load: Duration) -> Duration {
    let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
    let mut ends = busy.to_vec();
    ends.resize(
        slots.max(busy.len()).min(busy.len() + ahead.len() + 1),
        Duration::ZERO,
    );
    let mut start = Duration::ZERO;
    for length in ahead.iter().chain([&load]) {
        let Some(first) = ends.iter_mut().min() else {
            return load;
        };
        start = *first;
        *first += *length;
    }
    start + load
}

/// Decides whether a request waits for a replica that will be ready after `estimate`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::queue::{Admission, feasible};
///
/// let secs = Duration::from_secs;
/// assert_eq!(feasible(secs(10), secs(4)), Admission::Serve);
/// assert_eq!(feasible(secs(10), secs(14)), Admission::Refuse(secs(14)));
/// ```
#[must_use]
pub fn feasible(left: Duration, estimate: Duration) -> Admission {
    if estimate <= left {
        Admission::Serve
    } else {
        Admission::Refuse(estimate.max(Duration::from_secs(1)))
    }
}
