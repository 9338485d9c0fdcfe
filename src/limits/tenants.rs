//! Rate and concurrency limits of tenants, shared out over the live instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::rules::Tenant;
use crate::verdict::{Cause, Refusal};

/// Weight of the newest duration in the moving average.
const SMOOTHING: f64 = 0.2;

/// Settings of [`TenantLimits`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantSettings {
    /// Seconds of its rate that a tenant may save up.
    pub burst: f64,
    /// Shortest time to come back that a refusal gives.
    pub pause: Duration,
}

impl Default for TenantSettings {
    fn default() -> Self {
        Self {
            burst: 1.0,
            pause: Duration::from_millis(100),
        }
    }
}

/// Part of every limit that belongs to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Live instances, this one included.
    pub live: u32,
    /// Rank of this instance among the live ones in the order of their names, from 0.
    pub rank: u32,
}

impl Default for Share {
    fn default() -> Self {
        Self { live: 1, rank: 0 }
    }
}

impl Share {
    /// The share of an instance among the live ones; it counts itself as live.
    #[must_use]
    pub fn of(name: &str, live: &BTreeSet<String>) -> Self {
        let others = live.iter().filter(|n| *n != name).count();
        let below = live.iter().filter(|n| n.as_str() < name).count();
        Self {
            live: u32::try_from(others + 1).unwrap_or(u32::MAX),
            rank: u32::try_from(below).unwrap_or(u32::MAX),
        }
    }

    /// Whole units of a limit; the remainder goes to the lowest ranks, and nobody gets none.
    fn whole(self, limit: u32) -> u32 {
        let live = self.live.max(1);
        (limit / live + u32::from(self.rank < limit % live)).max(1)
    }

    /// Fraction of a limit.
    fn fraction(self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.live.max(1))
    }
}

#[derive(Debug, Clone)]
struct Usage {
    limit: Tenant,
    tokens: f64,
    last: Duration,
    running: u32,
    held: f64,
}

/// Rate and concurrency limits of all tenants at one instance.
///
/// Each instance enforces its share of a limit. With `n` live instances that agree on `n`, the
/// rack admits in any `t` seconds at most `rate * t + max(burst * rate, n)` requests of a tenant,
/// and runs at most `max(concurrency, n)` of them at once. While views of the live set differ
/// between `n` and `m < n`, the bounds grow by the factor `n / m`.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
/// use brassrack::limits::TenantLimits;
/// use brassrack::rules::{PriorityClass, Tenant};
/// use brassrack::verdict::Cause;
///
/// let tenant = Tenant { rate: 1, concurrency: 8, class: PriorityClass::Standard };
/// let mut limits = TenantLimits::default();
/// limits.set_tenants(&BTreeMap::from([("vic".to_string(), tenant)]));
/// assert!(limits.admit("vic", Duration::ZERO).is_ok());
/// let refusal = limits.admit("vic", Duration::ZERO).unwrap_err();
/// assert_eq!(refusal.cause, Cause::RateLimit);
/// assert_eq!(refusal.retry, Some(Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TenantLimits {
    settings: TenantSettings,
    share: Share,
    tenants: BTreeMap<String, Usage>,
}

impl TenantLimits {
    /// Limits without tenants.
    #[must_use]
    pub fn new(settings: TenantSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes over the tenants of a configuration; the usage of those that stay is kept.
    ///
    /// A tenant that the configuration drops keeps its place until its last request ends, and
    /// is refused as unknown.
    pub fn set_tenants(&mut self, tenants: &BTreeMap<String, Tenant>) {
        for usage in self.tenants.values_mut() {
            usage.limit.rate = 0;
            usage.limit.concurrency = 0;
        }
        for (name, limit) in tenants {
            let depth = self.depth(limit.rate);
            self.tenants
                .entry(name.clone())
                .and_modify(|usage| {
                    usage.limit = limit.clone();
                    usage.tokens = usage.tokens.min(depth);
                })
                .or_insert_with(|| Usage {
                    limit: limit.clone(),
                    tokens: depth,
                    last: Duration::ZERO,
                    running: 0,
                    held: 0.0,
                });
        }
        self.tenants
            .retain(|name, usage| tenants.contains_key(name) || usage.running > 0);
    }

    /// Sets the part of the limits that belongs to this instance.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        let settings = self.settings;
        for usage in self.tenants.values_mut() {
            let depth = depth(settings, share, usage.limit.rate);
            usage.tokens = usage.tokens.min(depth);
        }
    }

    /// Admits one request; [`Self::finish`] must follow when it ends.
    ///
    /// # Errors
    ///
    /// A refusal as not run, with the time to come back: the tenant is unknown, over its rate or
    /// over its concurrency.
    pub fn admit(&mut self, tenant: &str, now: Duration) -> Result<(), Refusal> {
        let (settings, share) = (self.settings, self.share);
        let usage = self
            .tenants
            .get_mut(tenant)
            .filter(|u| u.limit.concurrency > 0 && u.limit.rate > 0)
            .ok_or_else(|| Refusal::not_run(Cause::UnknownTenant))?;
        if usage.running >= share.whole(usage.limit.concurrency) {
            let free = Duration::from_secs_f64(usage.held / f64::from(usage.running.max(1)));
            return Err(Refusal::not_run(Cause::ConcurrencyLimit)
                .detail(format!("tenant {tenant} runs {} requests", usage.running))
                .retry_after(free.max(settings.pause)));
        }
        let rate = share.fraction(usage.limit.rate);
        usage.refill(rate, depth(settings, share, usage.limit.rate), now);
        if usage.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - usage.tokens) / rate);
            return Err(Refusal::not_run(Cause::RateLimit)
                .detail(format!("tenant {tenant} is over its rate"))
                .retry_after(wait.max(settings.pause)));
        }
        usage.tokens -= 1.0;
        usage.running += 1;
        Ok(())
    }

    /// Ends a request that was admitted, after the time that it was held.
    pub fn finish(&mut self, tenant: &str, held: Duration) {
        let Some(usage) = self.tenants.get_mut(tenant) else {
            return;
        };
        usage.running = usage.running.saturating_sub(1);
        usage.held += SMOOTHING * (held.as_secs_f64() - usage.held);
        if usage.running == 0 && usage.limit.concurrency == 0 {
            self.tenants.remove(tenant);
        }
    }

    /// Requests of the tenant that run at this instance.
    #[must_use]
    pub fn running(&self, tenant: &str) -> u32 {
        self.tenants.get(tenant).map_or(0, |usage| usage.running)
    }

    fn depth(&self, rate: u32) -> f64 {
        depth(self.settings, self.share, rate)
    }
}

impl Usage {
    fn refill(&mut self, rate: f64, depth: f64, now: Duration) {
        let passed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(depth);
    }
}

/// Most tokens that a tenant may save up at this instance; never less than one.
fn depth(settings: TenantSettings, share: Share, rate: u32) -> f64 {
    (settings.burst * share.fraction(rate)).max(1.0)
}
