//! Order of the load queue, and admission of the requests that wait for a load.

use std::time::Duration;

use super::key::ModelKey;
use crate::rules::PriorityClass;

/// A load that waits for a slot at the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    /// The model.
    pub model: ModelKey,
    /// Most urgent class of the requests that wait for it; `None` for a preload.
    pub class: Option<PriorityClass>,
    /// Time by which the earliest waiting request needs its first token.
    pub deadline: Duration,
    /// Duration of the load without queueing.
    pub load_time: Duration,
    /// Time at which the load was requested.
    pub requested_at: Duration,
}

/// Whether a request can be served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can wait for the replica.
    Serve,
    /// It would be late; a retry after this time can succeed.
    Refuse(Duration),
}

/// Sorts loads by urgency; the first one takes the next slot.
///
/// Loads that requests wait for come before preloads and are sorted by class. Within a class, those
/// that can still meet their deadline come first, then those with less slack (in octaves), then the
/// shorter ones, then the ones requested earlier.
pub fn sort_by_urgency(queue: &mut [PendingLoad], now: Duration) {
    queue.sort_by_key(|p| urgency(p, now));
}

fn urgency(
    p: &PendingLoad,
    now: Duration,
) -> (bool, Option<PriorityClass>, bool, u32, Duration, Duration) {
    let slack = p.deadline.checked_sub(now + p.load_time);
    let octave = slack.map_or(0, |s| s.as_secs().max(1).ilog2());
    (
        p.class.is_none(),
        p.class,
        slack.is_none(),
        octave,
        p.load_time,
        p.requested_at,
    )
}

/// Time until a queued load completes.
///
/// `busy` holds the remaining time of each slot in use, `ahead` the duration of each load that is
/// queued before this one, `slots` the number of concurrent loads and `load_time` the duration of
/// this load.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::load_queue::estimate_completion;
///
/// let secs = Duration::from_secs;
/// assert_eq!(estimate_completion(&[secs(3)], &[], 2, secs(5)), secs(5));
/// assert_eq!(estimate_completion(&[secs(3), secs(4)], &[secs(9)], 2, secs(5)), secs(9));
/// ```
#[must_use]
pub fn estimate_completion(
    busy: &[Duration],
    ahead: &[Duration],
    slots: u32,
    load_time: Duration,
) -> Duration {
    let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
    let mut slot_ends = busy.to_vec();
    slot_ends.resize(
        slots.max(busy.len()).min(busy.len() + ahead.len() + 1),
        Duration::ZERO,
    );
    let mut start = Duration::ZERO;
    for duration in ahead.iter().chain([&load_time]) {
        let Some(first) = slot_ends.iter_mut().min() else {
            return load_time;
        };
        start = *first;
        *first += *duration;
    }
    start + load_time
}

/// Decides whether a request with the time `left` waits for a replica ready after `completion`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::load_queue::{Admission, admit};
///
/// let secs = Duration::from_secs;
/// assert_eq!(admit(secs(10), secs(4)), Admission::Serve);
/// assert_eq!(admit(secs(10), secs(14)), Admission::Refuse(secs(14)));
/// ```
#[must_use]
pub fn admit(left: Duration, completion: Duration) -> Admission {
    if completion <= left {
        Admission::Serve
    } else {
        Admission::Refuse(completion.max(Duration::from_secs(1)))
    }
}
