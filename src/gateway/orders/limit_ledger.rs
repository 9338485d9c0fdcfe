//! Divides the limits that endpoints name among the instances.
//!
//! The lease holder grants permits to send a request, out of one bucket for each endpoint. A permit
//! lapses soon, so that one that is not used does not add to later ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::servers::{LimitNotice, Wanted, permit_ttl};

/// Time for which unused permits accrue.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Least number of unused permits that accrue.
const MIN_BURST: f64 = 1.0;

/// Permits that one instance asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceWant {
    /// Number of the instance's link.
    pub instance: u64,
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// Requests that are expected soon.
    pub ahead: u32,
    /// Holder's clock in the last update that the instance had when it asked.
    pub heard: Duration,
}

/// Permits granted for one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grants {
    /// Number of permits by instance.
    pub permits: BTreeMap<u64, u32>,
    /// Time until a further permit is free.
    pub next_in: Duration,
}

#[derive(Debug, Default)]
struct Bucket {
    started_ms: u64,
    tokens: f64,
    updated: Duration,
    /// Instance that got a permit last.
    last: u64,
    /// Time and receiver of permits that may be on the way or unused.
    granted: Vec<(Duration, u64)>,
}

/// Buckets of permits, by id of the endpoint.
#[derive(Debug, Default)]
pub struct LimitLedger {
    buckets: BTreeMap<String, Bucket>,
}

impl LimitLedger {
    /// Grants permits for one endpoint: first for requests that wait, to the instances in turn.
    ///
    /// A bucket starts empty, as other permits may be valid when a holder begins.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::orders::limit_ledger::{InstanceWant, LimitLedger};
    /// use brassrack::gateway::servers::LimitNotice;
    ///
    /// let limit = LimitNotice {
    ///     id: "e".into(), started_ms: 5, rate: Some(2.0), age: Duration::ZERO,
    /// };
    /// let want = InstanceWant { instance: 1, waiting: 3, ahead: 0, heard: Duration::MAX };
    /// let (mut ledger, second) = (LimitLedger::default(), Duration::from_secs(1));
    /// assert!(ledger.grant(&limit, &[want], second).permits.is_empty());
    /// let grants = ledger.grant(&limit, &[want], second * 2);
    /// assert_eq!(grants.permits.get(&1), Some(&1));
    /// ```
    #[must_use]
    pub fn grant(&mut self, limit: &LimitNotice, wants: &[InstanceWant], now: Duration) -> Grants {
        let Some(rate) = limit.rate else {
            self.buckets.remove(&limit.id);
            return Grants::default();
        };
        let bucket = self.buckets.entry(limit.id.clone()).or_default();
        if bucket.started_ms != limit.started_ms || bucket.updated.is_zero() {
            *bucket = Bucket {
                started_ms: limit.started_ms,
                updated: now,
                ..Bucket::default()
            };
        }
        bucket.refill(rate, now);
        bucket.grant(wants, rate, now)
    }

    /// Drops the buckets of endpoints that are not among `limits`.
    pub fn keep(&mut self, limits: &[LimitNotice]) {
        self.buckets
            .retain(|id, _| limits.iter().any(|limit| limit.id == *id));
    }

    /// Drops all buckets.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}

impl Bucket {
    fn refill(&mut self, rate: f64, now: Duration) {
        let since = now.saturating_sub(self.updated).as_secs_f64();
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
        self.tokens = since.mul_add(rate, self.tokens).min(burst);
        self.updated = now;
        let ttl = permit_ttl(rate);
        self.granted.retain(|(at, _)| now < *at + ttl);
    }

    fn grant(&mut self, wants: &[InstanceWant], rate: f64, now: Duration) -> Grants {
        let missing = |want: &InstanceWant| (want.instance, self.missing(want));
        let mut missing: BTreeMap<u64, Wanted> = wants.iter().map(missing).collect();
        let mut grants = Grants::default();
        while self.tokens >= 1.0 {
            let waiting = self.next_in_turn(&missing, |wanted| wanted.waiting);
            let next = waiting.or_else(|| self.next_in_turn(&missing, |wanted| wanted.ahead));
            let Some(instance) = next else {
                break;
            };
            if let Some(wanted) = missing.get_mut(&instance) {
                if wanted.waiting > 0 {
                    wanted.waiting -= 1;
                } else {
                    wanted.ahead -= 1;
                }
            }
            self.tokens -= 1.0;
            self.last = instance;
            self.granted.push((now, instance));
            *grants.permits.entry(instance).or_default() += 1;
        }
        let waiting: u32 = missing.values().map(|wanted| wanted.waiting).sum();
        let short = f64::from(waiting) + 1.0 - self.tokens;
        grants.next_in = Duration::from_secs_f64((short / rate).max(0.0));
        grants
    }

    /// What an instance wants beyond the permits that are on the way to it.
    fn missing(&self, want: &InstanceWant) -> Wanted {
        let on_way = self.on_way(want);
        let spare = on_way.saturating_sub(want.waiting);
        Wanted {
            waiting: want.waiting.saturating_sub(on_way),
            ahead: want.ahead.saturating_sub(spare),
        }
    }

    /// Permits of an instance that it did not know of when it asked.
    fn on_way(&self, want: &InstanceWant) -> u32 {
        let granted = self.granted.iter();
        let heard_ms = want.heard.as_millis();
        let on_way = granted.filter(|(at, to)| *to == want.instance && at.as_millis() > heard_ms);
        u32::try_from(on_way.count()).unwrap_or(u32::MAX)
    }

    /// The next instance after the last one that wants any.
    fn next_in_turn(
        &self,
        missing: &BTreeMap<u64, Wanted>,
        count: impl Fn(&Wanted) -> u32,
    ) -> Option<u64> {
        let after = missing.range(self.last + 1..);
        let mut in_turn = after.chain(missing.range(..=self.last));
        let next = in_turn.find(|(_, wanted)| count(wanted) > 0);
        next.map(|(instance, _)| *instance)
    }
}
