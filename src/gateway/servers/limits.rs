//! Limits that endpoints name in their answers.
//!
//! An endpoint in need says how many requests a second it takes from all instances together, for as
//! long as it says so.

use std::collections::BTreeMap;
use std::time::Duration;

use super::permits::{Grant, Permits, Wanted};

/// Lowest rate of a limit, in requests a second: only an answer shows that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;
/// Age of the last answer at which a limit is dropped; endpoints recover or leave within minutes.
const LIMIT_TTL: Duration = Duration::from_mins(10);
/// Time for which the end of a limit is told to other instances: many report and update intervals.
const END_SHARE_TIME: Duration = Duration::from_secs(3);
/// Least time by which what another instance knows must be newer; covers the time on the way.
const MIN_NEWER: Duration = Duration::from_millis(50);

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

/// What an instance knows of the limit of an incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitNotice {
    /// Id of the endpoint.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Requests a second; none where the limit has ended.
    pub rate: Option<f64>,
    /// Time since an answer said so.
    pub age: Duration,
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
    permits: Permits,
}

/// Limits of endpoints, by id.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLimits {
    limits: BTreeMap<String, Limit>,
    /// Number of live instances.
    instances: u32,
}

impl Default for EndpointLimits {
    fn default() -> Self {
        Self {
            limits: BTreeMap::new(),
            instances: super::super::shared::DEFAULT_INSTANCES,
        }
    }
}

impl EndpointLimits {
    /// Records what an answer says; returns whether the limit is a new one, another one, or over.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// named: answers on different connections may overtake each other. `draw` is uniform between 0
    /// and 1.
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
    /// assert!(limits.record("e", 5, named, 0.5));
    /// assert_eq!(limits.rate("e", 5), Some(1.5));
    /// let older = LimitAnswer { rate: None, ..named };
    /// assert!(!limits.record("e", 5, older, 0.5));
    /// let later = LimitAnswer { sent_at: second * 3, now: second * 4, ..older };
    /// assert!(limits.record("e", 5, later, 0.5));
    /// assert_eq!(limits.rate("e", 5), None);
    /// ```
    pub fn record(&mut self, id: &str, started_ms: u64, answer: LimitAnswer, draw: f64) -> bool {
        let known = self.known(id, started_ms);
        if answer.rate.is_none() && known.is_none_or(|k| answer.sent_at < k.said_at) {
            return false;
        }
        self.set(id, started_ms, (answer.rate, answer.now), draw)
    }

    /// Takes over what another instance knows, where it is newer; returns whether the limit changed.
    ///
    /// `draw` is uniform between 0 and 1.
    pub fn merge(&mut self, notice: &LimitNotice, now: Duration, draw: f64) -> bool {
        let said_at = now.saturating_sub(notice.age);
        let is_newer = match self.known(&notice.id, notice.started_ms) {
            Some(known) => said_at > known.said_at + MIN_NEWER,
            None => notice.rate.is_some() && notice.age < LIMIT_TTL,
        };
        is_newer && self.set(&notice.id, notice.started_ms, (notice.rate, said_at), draw)
    }

    fn known(&self, id: &str, started_ms: u64) -> Option<&Limit> {
        let known = self.limits.get(id);
        known.filter(|k| k.started_ms == started_ms)
    }

    fn set(
        &mut self,
        id: &str,
        started_ms: u64,
        (rate, said_at): (Option<f64>, Duration),
        draw: f64,
    ) -> bool {
        let rate = rate.map(|rate| rate.max(MIN_RATE_PER_S));
        match self.limits.get_mut(id) {
            Some(known) if known.started_ms > started_ms => false,
            Some(known) if known.started_ms == started_ms => {
                known.said_at = said_at;
                std::mem::replace(&mut known.rate, rate) != rate
            }
            _ => {
                self.limits
                    .retain(|_, limit| said_at < limit.said_at + LIMIT_TTL);
                let limit = Limit {
                    started_ms,
                    rate,
                    said_at,
                    permits: Permits::new(self.instances, said_at, draw),
                };
                self.limits.insert(id.to_owned(), limit);
                true
            }
        }
    }

    /// The limit of an incarnation, in requests a second; none where it has none.
    #[must_use]
    pub fn rate(&self, id: &str, started_ms: u64) -> Option<f64> {
        self.known(id, started_ms).and_then(|limit| limit.rate)
    }

    /// What other instances have to know.
    #[must_use]
    pub fn notices(&self, now: Duration) -> Vec<LimitNotice> {
        let limits = self.limits.iter().map(|(id, limit)| LimitNotice {
            id: id.clone(),
            started_ms: limit.started_ms,
            rate: limit.rate,
            age: now.saturating_sub(limit.said_at),
        });
        limits
            .filter(|n| n.rate.is_some() || n.age < END_SHARE_TIME)
            .collect()
    }

    /// Records the lease holder's grant; `draw` is uniform between 0 and 1.
    pub fn grant(&mut self, id: &str, grant: Grant, now: Duration, draw: f64) {
        self.instances = grant.instances.max(1);
        if let Some(limit) = self.limits.get_mut(id)
            && let Some(rate) = limit.rate
        {
            limit.permits.grant(grant, rate, now, draw);
        }
    }

    /// Permits to ask the lease holder for.
    #[must_use]
    pub fn missing(&self, id: &str, now: Duration) -> Wanted {
        let limit = self.limits.get(id);
        let missing = |l: &Limit| l.rate.map(|rate| l.permits.missing(rate, now));
        limit.and_then(missing).unwrap_or_default()
    }

    /// Whether a request may be sent now; one with a more urgent priority goes first.
    ///
    /// `waits` is whether it is one of those that wait for this endpoint.
    #[must_use]
    pub fn is_open(
        &self,
        id: &str,
        started_ms: u64,
        priority: u8,
        waits: bool,
        now: Duration,
    ) -> bool {
        let Some((limit, rate)) = self
            .known(id, started_ms)
            .and_then(|l| l.rate.map(|rate| (l, rate)))
        else {
            return true;
        };
        let before = limit.permits.waiting_before(priority, !waits);
        limit.permits.available(rate, now) > before
    }

    /// Uses a permit; false where the endpoint has a limit and there is none.
    pub fn take(&mut self, id: &str, started_ms: u64, now: Duration) -> bool {
        let limit = self.limits.get_mut(id);
        let Some(limit) = limit.filter(|l| l.started_ms == started_ms) else {
            return true;
        };
        limit.rate.is_none_or(|rate| limit.permits.take(rate, now))
    }

    /// Counts a request that could use a permit; `share` is its part where others could serve too.
    pub fn record_wanted(&mut self, id: &str, started_ms: u64, share: f64, now: Duration) {
        if let Some(permits) = self.permits_mut(id, started_ms) {
            permits.record_wanted(share, now);
        }
    }

    /// Counts a request that waits for a permit, or no longer does.
    pub fn set_waiting(&mut self, id: &str, started_ms: u64, priority: u8, waits: bool) {
        if let Some(permits) = self.permits_mut(id, started_ms) {
            permits.set_waiting(priority, waits);
        }
    }

    fn permits_mut(&mut self, id: &str, started_ms: u64) -> Option<&mut Permits> {
        let limit = self.limits.get_mut(id)?;
        (limit.started_ms == started_ms).then_some(&mut limit.permits)
    }

    /// Whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Expected time until a request can be sent; none where the incarnation has no limit.
    #[must_use]
    pub fn wait(&self, id: &str, started_ms: u64, now: Duration) -> Option<Duration> {
        let limit = self.known(id, started_ms)?;
        limit.rate.map(|rate| limit.permits.wait(rate, now))
    }
}
