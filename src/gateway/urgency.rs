//! Slots that less urgent requests leave to more urgent ones.
//!
//! Load: a burst of requests that can wait for seconds, beside a steady rate of others that cannot.
//! Unbounded, the former fill the slots and queues of all engines with their model, and the latter are
//! refused. Instead, a less urgent request waits at the instance while an engine has only as many slots
//! left as more urgent requests are likely to need. The bound is lifted as its wait grows, so that it is
//! not starved.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant over which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);
/// Slots left free, in multiples of the share of more urgent arrivals.
const RESERVE_SHARE: f64 = 0.5;
/// Share of its objective for which a request leaves slots to others.
const YIELD_SHARE: f64 = 0.5;
/// Shortest objective with which a request leaves slots to others: it spans several views of the engines.
const MIN_OBJECTIVE: Duration = Duration::from_secs(2);

/// Recent arrivals at an instance, by service and priority.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UrgencyMix {
    /// Count that decays, and when it was last updated.
    arrivals: BTreeMap<String, BTreeMap<u8, (f64, Duration)>>,
}

impl UrgencyMix {
    /// Counts a request to a service.
    pub fn record(&mut self, service: &str, priority: u8, now: Duration) {
        if !self.arrivals.contains_key(service) {
            self.arrivals.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(counts) = self.arrivals.get_mut(service) {
            let (count, at) = counts.entry(priority).or_insert((0.0, now));
            *count = decayed(*count, now.saturating_sub(*at)) + 1.0;
            *at = now;
        }
    }

    /// Share of the recent requests to a service that are more urgent than `priority`, from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::urgency::UrgencyMix;
    ///
    /// let (mut mix, now) = (UrgencyMix::default(), Duration::from_secs(9));
    /// for priority in [0, 0, 0, 2] {
    ///     mix.record("writers", priority, now);
    /// }
    /// assert_eq!(mix.more_urgent("writers", 2, now), 0.75);
    /// assert_eq!(mix.more_urgent("writers", 0, now), 0.0);
    /// ```
    #[must_use]
    pub fn more_urgent(&self, service: &str, priority: u8, now: Duration) -> f64 {
        let Some(counts) = self.arrivals.get(service) else {
            return 0.0;
        };
        let sum = |to: Option<u8>| -> f64 {
            let counted = counts.iter().filter(|(p, _)| to.is_none_or(|to| **p < to));
            counted
                .map(|(_, (count, at))| decayed(*count, now.saturating_sub(*at)))
                .sum()
        };
        let total = sum(None);
        if total > 0.0 {
            sum(Some(priority)) / total
        } else {
            0.0
        }
    }
}

fn decayed(count: f64, age: Duration) -> f64 {
    count * (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
}

/// Share of an engine's slots up to which a request may be sent there; none without a bound.
///
/// `more_urgent` is the share of more urgent requests, and `waited` the time since the arrival.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::urgency::slot_share;
///
/// let objective = Duration::from_secs(4);
/// assert_eq!(slot_share(0.5, objective, Duration::ZERO), Some(0.75));
/// assert_eq!(slot_share(0.5, objective, Duration::from_secs(2)), None);
/// assert_eq!(slot_share(0.0, objective, Duration::ZERO), None);
/// ```
#[must_use]
pub fn slot_share(more_urgent: f64, objective: Duration, waited: Duration) -> Option<f64> {
    let yields_for = objective.mul_f64(YIELD_SHARE);
    if more_urgent <= 0.0 || objective < MIN_OBJECTIVE || waited >= yields_for {
        return None;
    }
    let left = 1.0 - waited.as_secs_f64() / yields_for.as_secs_f64();
    Some(1.0 - RESERVE_SHARE * more_urgent * left)
}
