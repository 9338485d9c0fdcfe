//! How many replicas the demand for a model requires, and which model that lacks one goes first.
//!
//! Applies where [`Fleet::follows_demand`](super::Fleet) is set.

use std::time::Duration;

use super::TargetDemand;

/// Share of an engine's slots that streams of one model fill in time, beside those of others.
///
/// Of streams on an engine with 0 to 4 of 12 running, 3% have a pause that is too long; with 4 to 8,
/// 10%. It is clearly below the 0.4 from which a replica counts as full elsewhere.
const SLOT_SHARE: f64 = 0.3;
/// The same where many streams of the model are late.
const MIN_SLOT_SHARE: f64 = 0.12;
/// Attempts of a caller that is refused: its returns arrive as further requests.
const ATTEMPTS_OF_REFUSED: f64 = 2.0;
/// Arrival rate from which a model is kept on two engines, as elsewhere.
const REDUNDANT_RATE_PER_S: f64 = 1.5;
/// Time for which a further replica has to help: the demand is known to last about as long.
const HELP_TIME: Duration = Duration::from_secs(8);

/// Requests a second, each caller counted once however often it is refused and returns.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::planner::{TargetDemand, demand::caller_rate};
///
/// let demand = TargetDemand { request_rate: 9.0, refused_rate: 6.0, ..TargetDemand::default() };
/// assert_eq!(caller_rate(&demand), 6.0);
/// ```
#[must_use]
pub fn caller_rate(demand: &TargetDemand) -> f64 {
    let returned = demand.refused_rate * (1.0 - 1.0 / ATTEMPTS_OF_REFUSED);
    (demand.request_rate - returned).max(0.0)
}

/// Number of replicas for a model with `running` streams that take `stream_time` each.
///
/// Arrivals are bursty: room is kept for one standard deviation of the streams that run at once.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::planner::{TargetDemand, demand::required_replicas};
///
/// let demand = TargetDemand { request_rate: 5.0, ..TargetDemand::default() };
/// assert_eq!(required_replicas(12, 10, &demand, Duration::from_secs(2)), 4);
/// ```
#[must_use]
pub fn required_replicas(
    slots: u32,
    running: u32,
    demand: &TargetDemand,
    stream_time: Duration,
) -> u32 {
    let share = (SLOT_SHARE - demand.late_share).clamp(MIN_SLOT_SHARE, SLOT_SHARE);
    let per_replica = (f64::from(slots) * share).max(1.0);
    let offered = caller_rate(demand) * stream_time.as_secs_f64();
    let streams = offered.max(f64::from(running + demand.waiting));
    // A single stream now and then needs no second replica.
    let burst = if streams > 1.0 { streams.sqrt() } else { 0.0 };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small count that is never negative"
    )]
    let by_load = ((streams + burst) / per_replica).ceil() as u32;
    let minimum = if demand.request_rate >= REDUNDANT_RATE_PER_S {
        2
    } else {
        u32::from(demand.waiting > 0)
    };
    // Without arrivals and waiting requests, streams that end soon are no demand.
    if demand.waiting == 0 && caller_rate(demand) * HELP_TIME.as_secs_f64() < 1.0 {
        return minimum;
    }
    minimum.max(by_load)
}

/// Requests that a further replica serves in time while the demand is known to last.
#[must_use]
pub fn replica_gain(replicas: u32, required: u32, demand: &TargetDemand) -> f64 {
    let lacking = 1.0 - f64::from(replicas) / f64::from(required.max(1));
    let more = caller_rate(demand) * lacking.max(0.0) / f64::from(required.max(1));
    let late = demand.refused_rate / ATTEMPTS_OF_REFUSED + demand.request_rate * demand.late_share;
    (more.max(late) * HELP_TIME.as_secs_f64()).max(f64::from(demand.waiting))
}

/// Value of a load per second of its time, higher the more urgent.
///
/// Requests that have waited longer than their objective weigh more and more, so that a kind that
/// tolerates latency gets its turn after more urgent ones.
#[must_use]
pub fn urgency(replicas: u32, demand: &TargetDemand, load_time: Duration, now: Duration) -> f64 {
    let without_place = if replicas == 0 {
        caller_rate(demand)
    } else {
        demand.refused_rate / ATTEMPTS_OF_REFUSED + demand.request_rate * demand.late_share
    };
    let waited = if demand.waiting > 0 {
        now.saturating_sub(demand.oldest_arrival).as_secs_f64()
    } else {
        0.0
    };
    let objective = demand.objective.as_secs_f64().max(0.1);
    let requests = f64::from(demand.waiting) + without_place;
    requests * (1.0 + waited / objective) / load_time.as_secs_f64().max(0.1)
}
