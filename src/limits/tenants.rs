//! Rate and concurrency limits of tenants, divided between the live instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::rules::Tenant;
use crate::verdict::{Cause, Refusal};

/// Weight of the newest duration in the moving average of request durations.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Settings of [`TenantLimits`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantSettings {
    /// Capacity of a tenant's token bucket, in seconds of its rate.
    pub burst_seconds: f64,
    /// Shortest retry time that a refusal gives.
    pub min_retry: Duration,
}

impl Default for TenantSettings {
    fn default() -> Self {
        Self {
            burst_seconds: 1.0,
            min_retry: Duration::from_millis(100),
        }
    }
}

/// Part of every limit that one instance enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of live instances, this one included.
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

    /// Whole units of a limit: the lowest ranks get the remainder, every instance at least one.
    fn whole_units(self, limit: u32) -> u32 {
        let live = self.live.max(1);
        (limit / live + u32::from(self.rank < limit % live)).max(1)
    }

    /// Equal part of a limit.
    fn fraction(self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.live.max(1))
    }
}

#[derive(Debug, Clone)]
struct Usage {
    limit: Tenant,
    tokens: f64,
    last_refill: Duration,
    running: u32,
    average_seconds: f64,
}

/// Rate and concurrency limits of all tenants at one instance.
///
/// Each instance enforces its share of a limit. With `n` live instances that agree on `n`, the
/// rack admits in any `t` seconds at most `rate * t + max(burst_seconds * rate, n)` requests of a
/// tenant and runs at most `max(concurrency, n)` of them at once. While the instances' views of
/// the number of live instances range from `m` to `n`, the bounds grow by the factor `n / m`.
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
/// assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
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

    /// Replaces the tenants by those of a configuration; the usage of retained ones is kept.
    ///
    /// The entry of a removed tenant stays until its last request ends; new requests of that
    /// tenant are refused as unknown.
    pub fn set_tenants(&mut self, tenants: &BTreeMap<String, Tenant>) {
        for usage in self.tenants.values_mut() {
            usage.limit.rate = 0;
            usage.limit.concurrency = 0;
        }
        for (name, limit) in tenants {
            let capacity = self.bucket_capacity(limit.rate);
            self.tenants
                .entry(name.clone())
                .and_modify(|usage| {
                    usage.limit = limit.clone();
                    usage.tokens = usage.tokens.min(capacity);
                })
                .or_insert_with(|| Usage {
                    limit: limit.clone(),
                    tokens: capacity,
                    last_refill: Duration::ZERO,
                    running: 0,
                    average_seconds: 0.0,
                });
        }
        self.tenants
            .retain(|name, usage| tenants.contains_key(name) || usage.running > 0);
    }

    /// Sets the part of the limits that this instance enforces.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        let settings = self.settings;
        for usage in self.tenants.values_mut() {
            let capacity = bucket_capacity(settings, share, usage.limit.rate);
            usage.tokens = usage.tokens.min(capacity);
        }
    }

    /// Admits one request; [`Self::release`] must follow when it ends.
    ///
    /// # Errors
    ///
    /// A refusal as not run: the tenant is unknown, or it is over its rate or its concurrency; for
    /// these two it carries a retry time.
    pub fn admit(&mut self, tenant: &str, now: Duration) -> Result<(), Refusal> {
        let (settings, share) = (self.settings, self.share);
        let usage = self
            .tenants
            .get_mut(tenant)
            .filter(|u| u.limit.concurrency > 0 && u.limit.rate > 0)
            .ok_or_else(|| Refusal::not_run(Cause::UnknownTenant))?;
        if usage.running >= share.whole_units(usage.limit.concurrency) {
            let free =
                Duration::from_secs_f64(usage.average_seconds / f64::from(usage.running.max(1)));
            return Err(Refusal::not_run(Cause::ConcurrencyLimit)
                .detail(format!(
                    "tenant {tenant} already has {} requests running",
                    usage.running
                ))
                .retry_after(free.max(settings.min_retry)));
        }
        let rate = share.fraction(usage.limit.rate);
        usage.refill(
            rate,
            bucket_capacity(settings, share, usage.limit.rate),
            now,
        );
        if usage.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - usage.tokens) / rate);
            return Err(Refusal::not_run(Cause::RateLimit)
                .detail(format!("tenant {tenant} exceeds its rate limit"))
                .retry_after(wait.max(settings.min_retry)));
        }
        usage.tokens -= 1.0;
        usage.running += 1;
        Ok(())
    }

    /// Ends an admitted request that took the duration `held`.
    pub fn release(&mut self, tenant: &str, held: Duration) {
        let Some(usage) = self.tenants.get_mut(tenant) else {
            return;
        };
        usage.running = usage.running.saturating_sub(1);
        usage.average_seconds += SMOOTHING_FACTOR * (held.as_secs_f64() - usage.average_seconds);
        if usage.running == 0 && usage.limit.concurrency == 0 {
            self.tenants.remove(tenant);
        }
    }

    /// Number of the tenant's requests that are running at this instance.
    #[must_use]
    pub fn running(&self, tenant: &str) -> u32 {
        self.tenants.get(tenant).map_or(0, |usage| usage.running)
    }

    fn bucket_capacity(&self, rate: u32) -> f64 {
        bucket_capacity(self.settings, self.share, rate)
    }
}

impl Usage {
    fn refill(&mut self, rate: f64, capacity: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
    }
}

/// Capacity of a tenant's token bucket at this instance; at least one token.
fn bucket_capacity(settings: TenantSettings, share: Share, rate: u32) -> f64 {
    (settings.burst_seconds * share.fraction(rate)).max(1.0)
}
