//! Permits of this instance to send requests to an endpoint that names a limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Least time for which a permit of the lease holder is valid.
const MIN_PERMIT_TTL: Duration = Duration::from_secs(1);
/// Most time for which it is.
const MAX_PERMIT_TTL: Duration = Duration::from_secs(10);
/// Permits that may be unused at a time, beyond those of the least time; at a low limit they stay
/// valid for longer, as the next request may come to any instance.
const MAX_UNUSED: f64 = 3.0;
/// Silence of the lease holder after which an instance uses its own part of a limit: several update
/// intervals.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Longest time until there is a lease holder again.
const HOLDER_RETURN: Duration = Duration::from_secs(6);
/// Time in which the lease holder answers a request for a permit.
const GRANT_TIME: Duration = Duration::from_millis(50);
/// Window over which requests are counted that ask for permits ahead of the next ones.
const WANT_WINDOW: Duration = Duration::from_secs(1);
/// Share of the requests of that window for which permits are asked ahead.
const AHEAD_SHARE: f64 = 0.3;
/// Count of requests below which none is expected soon.
const MIN_WANTED: f64 = 0.05;

/// Time for which a permit is valid, at a limit of `rate` requests a second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::servers::permit_ttl;
///
/// assert_eq!(permit_ttl(3.0), Duration::from_secs(2));
/// assert!(permit_ttl(0.5) > permit_ttl(1.0));
/// ```
#[must_use]
pub fn permit_ttl(rate: f64) -> Duration {
    let longest = MAX_PERMIT_TTL.as_secs_f64();
    let time = MIN_PERMIT_TTL.as_secs_f64() + MAX_UNUSED / rate;
    Duration::from_secs_f64(time.min(longest))
}

/// What the lease holder says about the permits of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Permits granted now.
    pub permits: u32,
    /// Time until a further permit is free.
    pub next_in: Duration,
    /// Number of live instances.
    pub instances: u32,
}

/// Permits that an instance asks the lease holder for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Requests that wait for one.
    pub waiting: u32,
    /// Requests that are expected soon.
    pub ahead: u32,
}

/// Permits to send requests to one endpoint.
///
/// The lease holder grants them out of the endpoint's limit, which is for all instances together.
/// Without a holder, each instance uses an equal part of the limit. That part begins with a random
/// fraction of a request, so that the instances' first requests are spread over time.
#[derive(Debug, Clone, PartialEq)]
pub struct Permits {
    /// When each granted permit lapses, in order.
    granted: VecDeque<Duration>,
    /// When a further permit is free, as the holder said.
    next_at: Duration,
    /// Number of live instances.
    instances: u32,
    /// Requests out of the own part of the limit, as of `own_since`.
    own: f64,
    /// From when on the own part of the limit counts.
    own_since: Duration,
    /// Requests that wait, by priority.
    waiting: BTreeMap<u8, u32>,
    /// Count of requests that could use a permit, which decays.
    wanted: f64,
    wanted_at: Duration,
}

impl Permits {
    /// No permits; `draw` is uniform between 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::{Grant, Permits};
    ///
    /// let now = Duration::from_secs(9);
    /// let mut permits = Permits::new(8, now, 0.5);
    /// assert!(!permits.take(1.0, now));
    /// let grant = Grant { permits: 1, next_in: Duration::ZERO, instances: 8 };
    /// permits.grant(grant, 1.0, now, 0.5);
    /// assert!(permits.take(1.0, now) && !permits.take(1.0, now));
    /// ```
    #[must_use]
    pub const fn new(instances: u32, now: Duration, draw: f64) -> Self {
        Self {
            granted: VecDeque::new(),
            next_at: Duration::ZERO,
            instances,
            own: draw,
            own_since: now,
            waiting: BTreeMap::new(),
            wanted: 0.0,
            wanted_at: Duration::ZERO,
        }
    }

    /// Records what the lease holder said, at a limit of `rate` a second.
    ///
    /// `draw` is uniform between 0 and 1.
    pub fn grant(&mut self, grant: Grant, rate: f64, now: Duration, draw: f64) {
        self.drop_lapsed(now);
        for _ in 0..grant.permits {
            self.granted.push_back(now + permit_ttl(rate));
        }
        self.next_at = now + grant.next_in;
        self.instances = grant.instances.max(1);
        self.own = draw;
        self.own_since = now + HOLDER_TIMEOUT;
    }

    /// Number of requests that may be sent now, at a limit of `rate` a second.
    #[must_use]
    pub fn available(&self, rate: f64, now: Duration) -> u32 {
        let valid = self.granted.iter().filter(|lapses| **lapses > now).count();
        let own = u32::from(self.own_part(rate, now) >= 1.0);
        u32::try_from(valid).unwrap_or(u32::MAX).saturating_add(own)
    }

    /// Uses a permit; false where there is none.
    pub fn take(&mut self, rate: f64, now: Duration) -> bool {
        self.drop_lapsed(now);
        if self.granted.pop_front().is_some() {
            return true;
        }
        let own = self.own_part(rate, now);
        if own < 1.0 {
            return false;
        }
        (self.own, self.own_since) = (own - 1.0, now);
        true
    }

    /// Expected time until a request can be sent, at a limit of `rate` a second.
    #[must_use]
    pub fn wait(&self, rate: f64, now: Duration) -> Duration {
        let left = if now < self.own_since {
            self.next_at.saturating_sub(now)
        } else {
            let missing = 1.0 - self.own_part(rate, now);
            let own = missing * f64::from(self.instances) / rate;
            Duration::from_secs_f64(own.clamp(0.0, HOLDER_RETURN.as_secs_f64()))
        };
        left.max(GRANT_TIME)
    }

    /// Counts a request that waits, or no longer does.
    pub fn set_waiting(&mut self, priority: u8, waits: bool) {
        let count = self.waiting.entry(priority).or_default();
        if waits {
            *count += 1;
        } else {
            *count = count.saturating_sub(1);
        }
        self.waiting.retain(|_, count| *count > 0);
    }

    /// Requests that wait with a priority before `priority`, or with that one too.
    #[must_use]
    pub fn waiting_before(&self, priority: u8, or_equal: bool) -> u32 {
        let before = |p: u8| p < priority || (or_equal && p == priority);
        let counts = self.waiting.iter().filter(|(p, _)| before(**p));
        counts.map(|(_, count)| count).sum()
    }

    /// Counts a request that could use a permit; `share` is its part where others could serve too.
    pub fn record_wanted(&mut self, share: f64, now: Duration) {
        self.wanted = self.wanted(now) + share;
        self.wanted_at = now;
    }

    /// Permits to ask the lease holder for.
    #[must_use]
    pub fn missing(&self, rate: f64, now: Duration) -> Wanted {
        let wanted = self.wanted(now);
        let expected = if wanted < MIN_WANTED {
            0
        } else {
            ceil(wanted * AHEAD_SHARE)
        };
        Wanted {
            waiting: self.waiting.values().sum(),
            ahead: expected.saturating_sub(self.available(rate, now)),
        }
    }

    fn wanted(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.wanted_at).as_secs_f64();
        self.wanted * (-age / WANT_WINDOW.as_secs_f64()).exp()
    }

    /// Requests that may be sent out of the own part of the limit, one at most; none beside a holder.
    fn own_part(&self, rate: f64, now: Duration) -> f64 {
        let Some(since) = now.checked_sub(self.own_since) else {
            return 0.0;
        };
        let part = rate / f64::from(self.instances);
        since.as_secs_f64().mul_add(part, self.own).min(1.0)
    }

    fn drop_lapsed(&mut self, now: Duration) {
        self.granted.retain(|lapses| *lapses > now);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count that is never negative"
)]
fn ceil(count: f64) -> u32 {
    count.ceil() as u32
}
