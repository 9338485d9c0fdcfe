//! Token bucket that bounds retries to a ratio of the requests.

use std::time::Duration;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Retries earned per second, also without any request.
    pub min_rate: f64,
    /// Maximum balance, in retries.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_rate: 1.0,
            burst: 10.0,
        }
    }
}

/// Bounds the retries of one instance.
///
/// Over any span of time, the retries allowed are at most
/// `burst + ratio * requests + min_rate * seconds`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::limits::{RetryBudget, RetrySettings};
///
/// let settings = RetrySettings { ratio: 0.5, min_rate: 0.0, burst: 1.0 };
/// let mut budget = RetryBudget::new(settings);
/// budget.record_request();
/// assert!(!budget.try_retry(Duration::ZERO));
/// budget.record_request();
/// assert!(budget.try_retry(Duration::ZERO));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
    last_refill: Duration,
}

impl RetryBudget {
    /// A budget with a balance of zero.
    #[must_use]
    pub const fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            balance: 0.0,
            last_refill: Duration::ZERO,
        }
    }

    /// Replaces the settings; the balance is kept up to the new burst.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.balance = self.balance.min(settings.burst);
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self) {
        self.deposit(self.settings.ratio);
    }

    /// Spends one retry; false where the balance is too low.
    #[must_use]
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        self.deposit(self.settings.min_rate * elapsed.as_secs_f64());
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.settings.burst);
    }
}
