//! Repeated sends that all instances share, and requests that crash endpoints.

use std::time::Duration;

use brassrack::gateway::budget::{RetryAllowance, RetryBudgets};
use brassrack::gateway::crash_suspects::CrashSuspects;

const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    free_retries: 54.0,
    window: Duration::from_secs(10),
};

/// Repeats that one of `instances` instances sends in a window in which every request fails.
fn spent(instances: u32, requests: u32) -> u32 {
    let mut budgets = RetryBudgets::new(ALLOWANCE, instances);
    let mut sent = 0;
    for request in 0..requests {
        let now = ALLOWANCE.window * request / requests;
        budgets.record_request("s");
        while budgets.try_spend("s", now) {
            sent += 1;
        }
    }
    sent
}

#[test]
fn window_holds_over_all_instances() {
    for instances in [1, 7, 40] {
        for requests in [10, 100, 1000] {
            let all = f64::from(spent(instances, requests) * instances);
            let bound = f64::from(requests * instances) * ALLOWANCE.ratio + ALLOWANCE.free_retries;
            assert!(
                all <= bound,
                "{instances} instances, {requests} requests: {all}"
            );
        }
    }
}

#[test]
fn fresh_instance_has_nothing() {
    let mut budgets = RetryBudgets::new(ALLOWANCE, 7);
    assert!(!budgets.try_spend("s", Duration::ZERO));
}

/// What instances of an earlier build report ends after a time.
#[test]
fn reported_request_is_refused() {
    let mut here = CrashSuspects::default();
    here.record_break(1, Duration::ZERO);
    here.record_break(1, Duration::ZERO);
    assert!(!here.is_refused(1, Duration::ZERO));
    here.record_break(1, Duration::ZERO);
    assert!(here.is_refused(1, Duration::ZERO) && !here.is_refused(2, Duration::ZERO));
    assert_eq!(here.refused(Duration::from_secs(1)), [1]);
    assert!(!here.is_refused(1, Duration::from_mins(6)));
}

/// Guards against a verdict without an end: instances tell each other what they were told.
#[test]
fn refusal_is_taken_over() {
    let mut here = CrashSuspects::default();
    here.merge_refused(&[9], Duration::ZERO);
    assert!(here.is_refused(9, Duration::from_secs(30)));
    assert!(here.refused(Duration::from_secs(30)).is_empty());
    assert!(!here.is_refused(9, Duration::from_mins(2)));
}
