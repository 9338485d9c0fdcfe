//! Budget of repeated sends that all instances share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::{RetryBudget, RetrySettings};

/// Share of the allowance that is spent; the rest covers requests that a changed number of
/// instances counts twice.
const USABLE_SHARE: f64 = 0.8;
/// Share of the window's free repeats that may be spent at once; the rest comes in over the window.
const BURST_SHARE: f64 = 0.4;

/// What all instances together may send beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window that are free.
    pub free_retries: f64,
    /// The window.
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
    /// The share of one of `instances` instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::budget::RetryAllowance;
    ///
    /// let share = RetryAllowance::default().share(10);
    /// let window = RetryAllowance::default().window.as_secs_f64();
    /// assert!(share.floor * window <= 50.0 / 10.0);
    /// ```
    #[must_use]
    pub fn share(&self, instances: u32) -> RetrySettings {
        let free = self.free_retries * USABLE_SHARE / f64::from(instances.max(1));
        RetrySettings {
            ratio: self.ratio * USABLE_SHARE,
            floor: free * (1.0 - BURST_SHARE) / self.window.as_secs_f64(),
            // A whole repeat has to be saved up before one can be spent.
            burst: (free * BURST_SHARE).max(1.0),
        }
    }
}

/// The repeats that this instance may send, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    instances: u32,
    services: BTreeMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets of one of `instances` instances.
    #[must_use]
    pub const fn new(allowance: RetryAllowance, instances: u32) -> Self {
        Self {
            allowance,
            instances,
            services: BTreeMap::new(),
        }
    }

    /// Follows the number of instances that live.
    pub fn resize(&mut self, instances: u32) {
        if self.instances == instances {
            return;
        }
        self.instances = instances;
        let share = self.allowance.share(instances);
        for budget in self.services.values_mut() {
            budget.resize(share);
        }
    }

    /// Counts the first send of a request to a service.
    pub fn record_request(&mut self, service: &str) {
        self.budget(service).request();
    }

    /// Spends one repeat to a service, or says that there is none to spend.
    #[must_use]
    pub fn try_spend(&mut self, service: &str, now: Duration) -> bool {
        self.budget(service).retry(now)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let share = self.allowance.share(self.instances);
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(share))
    }
}
