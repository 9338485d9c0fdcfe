//! Budget of repeated sends that all instances share.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::{RetryBudget, RetrySettings};

/// Share of the allowance that is spent; the rest covers requests that a changed number of
/// instances counts twice.
const SPENT_SHARE: f64 = 0.8;
/// Share of the window's free repeats that may be spent at once; the rest comes in over the window.
const BURST_SHARE: f64 = 0.4;

/// What all instances together may send beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window that are free.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

impl Allowance {
    /// The share of one of `instances` instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::budget::Allowance;
    ///
    /// let share = Allowance::default().share(10);
    /// let window = Allowance::default().window.as_secs_f64();
    /// assert!(share.min_rate * window <= 50.0 / 10.0);
    /// ```
    #[must_use]
    pub fn share(&self, instances: u32) -> RetrySettings {
        let free = self.slack * SPENT_SHARE / f64::from(instances.max(1));
        RetrySettings {
            ratio: self.ratio * SPENT_SHARE,
            min_rate: free * (1.0 - BURST_SHARE) / self.window.as_secs_f64(),
            // A whole repeat has to be saved up before one can be spent.
            burst: (free * BURST_SHARE).max(1.0),
        }
    }
}

/// The repeats that this instance may send, by service.
#[derive(Debug)]
pub struct Budgets {
    allowance: Allowance,
    instances: u32,
    services: BTreeMap<String, RetryBudget>,
}

impl Budgets {
    /// Budgets of one of `instances` instances.
    #[must_use]
    pub const fn new(allowance: Allowance, instances: u32) -> Self {
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
            budget.set_settings(share);
        }
    }

    /// Counts the first send of a request to a service.
    pub fn request(&mut self, service: &str) {
        self.of(service).record_request();
    }

    /// Spends one repeat to a service, or says that there is none to spend.
    #[must_use]
    pub fn retry(&mut self, service: &str, now: Duration) -> bool {
        self.of(service).try_retry(now)
    }

    fn of(&mut self, service: &str) -> &mut RetryBudget {
        let share = self.allowance.share(self.instances);
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(share))
    }
}
