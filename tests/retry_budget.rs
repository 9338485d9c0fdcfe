//! Budget of retries.

use std::time::Duration;

use brassrack::limits::{RetryBudget, RetrySettings};

/// Attempts of each request while its endpoint fails.
const ATTEMPTS: u32 = 5;

/// Attempts made in a storm in which everything fails, with or without the budget.
fn storm(settings: Option<RetrySettings>, rate: u32, seconds: u32) -> u32 {
    let mut budget = settings.map(RetryBudget::new);
    let mut attempts = 0;
    for i in 0..rate * seconds {
        let now = Duration::from_secs(1) * i / rate;
        attempts += 1;
        if let Some(budget) = &mut budget {
            budget.record_request();
        }
        for _ in 1..ATTEMPTS {
            if budget.as_mut().is_none_or(|b| b.try_retry(now)) {
                attempts += 1;
            }
        }
    }
    attempts
}

#[test]
fn storm_without_a_budget_multiplies_the_load() {
    assert_eq!(storm(None, 200, 60), 200 * 60 * ATTEMPTS);
}

#[test]
fn storm_stays_within_ratio_floor_and_burst() {
    for (ratio, floor, burst) in [(0.1, 1.0, 10.0), (0.0, 2.0, 1.0), (0.5, 0.0, 50.0)] {
        let settings = RetrySettings {
            ratio,
            min_rate: floor,
            burst,
        };
        let requests = 200.0 * 60.0;
        let bound = requests + ratio * requests + floor * 60.0 + burst;
        let attempts = f64::from(storm(Some(settings), 200, 60));
        assert!(
            attempts <= bound && attempts >= 0.98 * bound,
            "{attempts} of {bound}"
        );
    }
}

#[test]
fn idle_instance_may_still_retry() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    assert!(!budget.try_retry(Duration::ZERO));
    assert!(budget.try_retry(Duration::from_secs(1)));
    assert!(!budget.try_retry(Duration::from_secs(1)));
}

#[test]
fn savings_are_bounded() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let now = Duration::from_hours(1);
    let allowed = (0..100).filter(|_| budget.try_retry(now)).count();
    assert_eq!(allowed, 10);
}
