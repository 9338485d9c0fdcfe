//! Rate and concurrency limits of tenants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::limits::{Share, TenantLimits, TenantSettings};
use brassrack::rules::{PriorityClass, Tenant};
use brassrack::verdict::{Cause, Verdict};

const SECOND: Duration = Duration::from_secs(1);

fn limits(rate: u32, concurrency: u32, share: Share) -> TenantLimits {
    let tenant = Tenant {
        rate,
        concurrency,
        class: PriorityClass::Standard,
    };
    let mut limits = TenantLimits::new(TenantSettings::default());
    limits.set_share(share);
    limits.set_tenants(&BTreeMap::from([("vic".to_string(), tenant)]));
    limits
}

fn ranks(live: u32) -> impl Iterator<Item = Share> {
    (0..live).map(move |rank| Share { live, rank })
}

#[test]
fn concurrency_adds_up_over_the_instances() {
    for (limit, live, sum) in [(10, 8, 10), (8, 8, 8), (3, 8, 8), (100, 7, 100), (5, 1, 5)] {
        let running: u32 = ranks(live)
            .map(|share| {
                let mut limits = limits(10_000, limit, share);
                while limits.admit("vic", Duration::ZERO).is_ok() {}
                limits.running("vic")
            })
            .sum();
        assert_eq!(running, sum, "limit {limit} over {live}");
    }
}

#[test]
fn rate_under_three_times_the_load_stays_below_its_bound() {
    for (rate, live) in [(2, 8), (16, 8), (100, 7), (20, 350)] {
        let seconds = 60;
        let mut admitted = 0;
        for share in ranks(live) {
            let mut limits = limits(rate, 1000, share);
            let attempts = 3 * rate * seconds / live + 3 * seconds;
            for i in 0..attempts {
                let now = SECOND * seconds * i / attempts;
                if limits.admit("vic", now).is_ok() {
                    limits.release("vic", Duration::ZERO);
                    admitted += 1;
                }
            }
        }
        let least = rate * seconds * 95 / 100;
        let most = rate * seconds + rate.max(live);
        assert!(
            (least..=most).contains(&admitted),
            "{admitted}: {rate} over {live}"
        );
    }
}

#[test]
fn refusals_are_not_run_and_say_when_to_come_back() {
    let cases = [
        (1, 8, Cause::RateLimit, Some(SECOND)),
        (
            100,
            1,
            Cause::ConcurrencyLimit,
            Some(TenantSettings::default().min_retry),
        ),
    ];
    for (rate, concurrency, cause, retry) in cases {
        let mut limits = limits(rate, concurrency, Share::default());
        assert_eq!(limits.admit("vic", Duration::ZERO), Ok(()));
        let refusal = limits.admit("vic", Duration::ZERO).unwrap_err();
        let seen = (refusal.verdict, refusal.cause, refusal.retry_after);
        assert_eq!(seen, (Verdict::NotRun, cause, retry));
    }
}

#[test]
fn coming_back_at_the_time_given_is_admitted() {
    let mut limits = limits(3, 8, Share { live: 8, rank: 2 });
    assert_eq!(limits.admit("vic", Duration::ZERO), Ok(()));
    limits.release("vic", Duration::ZERO);
    let refusal = limits.admit("vic", Duration::ZERO).unwrap_err();
    let again = refusal.retry_after.unwrap() + Duration::from_micros(1);
    assert_eq!(limits.admit("vic", again), Ok(()));
}

#[test]
fn busy_tenant_is_told_the_mean_time_to_a_free_place() {
    let mut limits = limits(1000, 2, Share::default());
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        now += SECOND;
        assert_eq!(limits.admit("vic", now), Ok(()));
        limits.release("vic", SECOND * 4);
    }
    assert_eq!(limits.admit("vic", now), Ok(()));
    assert_eq!(limits.admit("vic", now), Ok(()));
    let retry = limits.admit("vic", now).unwrap_err().retry_after.unwrap();
    assert!(
        (SECOND * 19 / 10..=SECOND * 2).contains(&retry),
        "{retry:?}"
    );
}

#[test]
fn unknown_and_dropped_tenants_are_refused() {
    let mut limits = limits(10, 10, Share::default());
    assert_eq!(limits.admit("vic", Duration::ZERO), Ok(()));
    limits.set_tenants(&BTreeMap::new());
    for name in ["vic", "moste"] {
        let refusal = limits.admit(name, SECOND).unwrap_err();
        assert_eq!(refusal.cause, Cause::UnknownTenant);
    }
    assert_eq!(limits.running("vic"), 1);
    limits.release("vic", SECOND);
    assert_eq!(limits.running("vic"), 0);
}

#[test]
fn new_rules_keep_what_runs() {
    let mut limits = limits(10, 2, Share::default());
    assert_eq!(limits.admit("vic", Duration::ZERO), Ok(()));
    let tenant = Tenant {
        rate: 10,
        concurrency: 1,
        class: PriorityClass::Batch,
    };
    limits.set_tenants(&BTreeMap::from([("vic".to_string(), tenant)]));
    let refusal = limits.admit("vic", SECOND).unwrap_err();
    assert_eq!(refusal.cause, Cause::ConcurrencyLimit);
}

#[test]
fn share_counts_the_instance_itself() {
    let live = BTreeSet::from(["entry-1".to_string(), "entry-3".to_string()]);
    assert_eq!(Share::of("entry-3", &live), Share { live: 2, rank: 1 });
    assert_eq!(Share::of("entry-2", &live), Share { live: 3, rank: 1 });
}
