//! How often the lease holder plans.

use std::time::Duration;

use brassrack::gateway::orders::throttle::PlanThrottle;

/// Pattern: 66 instances tell their demand ten times a second each, all of it asks for a plan, and
/// a plan takes as long as several of these messages are apart. Most of the time is left for
/// reading them; otherwise they pile up, and the holder answers what was asked seconds ago.
#[test]
fn plans_leave_time_to_read() {
    let mut pace = PlanThrottle::default();
    let (plan, read) = (Duration::from_millis(30), Duration::from_micros(200));
    let mut now = Duration::from_secs(1);
    let mut planned = Duration::ZERO;
    let mut messages = 0;
    while now < Duration::from_secs(11) {
        now += read;
        messages += 1;
        if pace.delay(now).is_zero() {
            pace.record(now, now + plan);
            now += plan;
            planned += plan;
        }
    }
    assert!(messages > 6_600, "{messages} messages read in ten seconds");
    assert!(planned > Duration::from_secs(1), "planned for {planned:?}");
}

/// What comes in the pause is planned for at its end, not at the next tick: a model that has just
/// been loaded is told of some milliseconds later.
#[test]
fn pause_after_a_short_plan_is_short() {
    let at = Duration::from_millis;
    let mut pace = PlanThrottle::default();
    pace.record(at(100), at(104));
    assert_eq!(pace.delay(at(105)), at(11));
    assert!(pace.delay(at(116)).is_zero());
}
