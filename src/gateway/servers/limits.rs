//! Limits that endpoints name in their answers.
//!
//! An endpoint in need says how many requests a second it takes from all instances together, for as
//! long as it says so.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Servers;

/// Lowest rate of a limit, in requests a second: only an answer shows that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;
/// Age of the last answer at which a limit is dropped; endpoints recover or leave within minutes.
const LIMIT_TTL: Duration = Duration::from_mins(10);

/// What an answer of an endpoint says about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitAnswer {
    /// Requests a second that it takes from all instances together; none where it names no limit.
    pub rate: Option<f64>,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the answer came.
    pub now: Duration,
}

/// What is known of the limit of an endpoint.
#[derive(Debug, Clone, PartialEq)]
struct Limit {
    /// Start of the incarnation, in Unix milliseconds.
    started_ms: u64,
    /// Requests a second; none where the limit has ended.
    rate: Option<f64>,
    /// When an answer last said so.
    said_at: Duration,
}

/// Limits of endpoints, by id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointLimits {
    limits: BTreeMap<String, Limit>,
}

impl EndpointLimits {
    /// Records what an answer says; returns whether the limit is a new one, another one, or over.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// named: answers on different connections may overtake each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::{EndpointLimits, LimitAnswer};
    ///
    /// let second = Duration::from_secs(1);
    /// let named = LimitAnswer { rate: Some(1.5), sent_at: second, now: second * 2 };
    /// let mut limits = EndpointLimits::default();
    /// assert!(limits.record("e", 5, named));
    /// assert_eq!(limits.rate("e", 5), Some(1.5));
    /// assert!(!limits.record("e", 5, LimitAnswer { rate: None, ..named }));
    /// assert!(limits.record("e", 5, LimitAnswer { rate: None, sent_at: second * 3, now: second * 4 }));
    /// assert_eq!(limits.rate("e", 5), None);
    /// ```
    pub fn record(&mut self, id: &str, started_ms: u64, answer: LimitAnswer) -> bool {
        let rate = answer.rate.map(|rate| rate.max(MIN_RATE_PER_S));
        let known = self.limits.get_mut(id);
        if known.as_ref().is_some_and(|k| k.started_ms > started_ms) {
            return false;
        }
        let known = known.filter(|k| k.started_ms == started_ms);
        match known {
            None if rate.is_none() => false,
            None => {
                self.limits
                    .retain(|_, limit| answer.now < limit.said_at + LIMIT_TTL);
                let limit = Limit {
                    started_ms,
                    rate,
                    said_at: answer.now,
                };
                self.limits.insert(id.to_owned(), limit);
                true
            }
            Some(known) => {
                if rate.is_none() && answer.sent_at < known.said_at {
                    return false;
                }
                known.said_at = answer.now;
                std::mem::replace(&mut known.rate, rate) != rate
            }
        }
    }

    /// The limit of an incarnation, in requests a second; none where it has none.
    #[must_use]
    pub fn rate(&self, id: &str, started_ms: u64) -> Option<f64> {
        let limit = self.limits.get(id)?;
        limit.rate.filter(|_| limit.started_ms == started_ms)
    }
}

impl Servers {
    /// Records what an answer of an incarnation says about its limit.
    pub fn record_limit(&self, id: &str, started_ms: u64, answer: LimitAnswer) {
        if !self.state().limits.record(id, started_ms, answer) {
            return;
        }
        match answer.rate {
            Some(rate) => log::info!(endpoint = id, limit = rate; "endpoint names a limit"),
            None => log::info!(endpoint = id; "endpoint names no limit any more"),
        }
    }

    /// The limit of an incarnation, in requests a second; none where it has none.
    #[must_use]
    pub fn limit(&self, id: &str, started_ms: u64) -> Option<f64> {
        self.state().limits.rate(id, started_ms)
    }
}
