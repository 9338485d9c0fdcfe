//! Retry budget shared by all instances, limited per service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::{RetryBudget, RetrySettings};

/// Share of the allowance that is handed out; the rest covers requests that are counted twice when
/// the number of instances changes.
const USABLE_SHARE: f64 = 0.8;
/// Share of the window's free retries that may be spent at once; the rest accrues over the window.
const BURST_SHARE: f64 = 0.4;

/// Retries that all instances together may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries in each window that no request has to earn.
    pub free_retries: f64,
    /// Window over which the free retries accrue.
    pub window: Duration,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            free_retries: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

impl RetryAllowance {
    /// Retry settings for one of `instances` instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::budget::RetryAllowance;
    ///
    /// let share = RetryAllowance::default().share(10);
    /// let window = RetryAllowance::default().window.as_secs_f64();
    /// assert!(share.min_rate * window <= 50.0 / 10.0);
    /// ```
    #[must_use]
    pub fn share(&self, instances: u32) -> RetrySettings {
        let free = self.free_retries * USABLE_SHARE / f64::from(instances.max(1));
        RetrySettings {
            ratio: self.ratio * USABLE_SHARE,
            min_rate: free * (1.0 - BURST_SHARE) / self.window.as_secs_f64(),
            // Spending takes a whole retry, so a cap below one would allow none.
            burst: (free * BURST_SHARE).max(1.0),
        }
    }
}

/// Retry budgets of this instance, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    instances: u32,
    services: BTreeMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets for one of `instances` instances.
    #[must_use]
    pub const fn new(allowance: RetryAllowance, instances: u32) -> Self {
        Self {
            allowance,
            instances,
            services: BTreeMap::new(),
        }
    }

    /// Number of live instances.
    #[must_use]
    pub const fn instances(&self) -> u32 {
        self.instances
    }

    /// Adapts the budgets to the number of live instances.
    pub fn resize(&mut self, instances: u32) {
        if self.instances == instances {
            return;
        }
        self.instances = instances;
        let share = self.allowance.share(instances);
        for budget in self.services.values_mut() {
            budget.set_settings(share);
        }
    }

    /// Counts a request to a service, which earns a share of a retry.
    pub fn record_request(&mut self, service: &str) {
        self.budget(service).record_request();
    }

    /// Spends one retry to a service; false where the budget is exhausted.
    #[must_use]
    pub fn try_spend(&mut self, service: &str, now: Duration) -> bool {
        self.budget(service).try_retry(now)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let share = self.allowance.share(self.instances);
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(share))
    }
}
