//! How many replicas the demand for a model requires, and which model that lacks one goes first.
//!
//! Applies where [`Fleet::follows_demand`](super::Fleet) is set.

use std::time::Duration;

use super::TargetDemand;

/// Share of an engine's slots that streams of one model fill in time, beside those of others.
///
/// It is below the 0.4 from which a replica counts as full elsewhere: with more streams running, more of
/// them have a pause that is too long.
const SLOT_SHARE: f64 = 0.3;
/// The same where many streams of the model are late.
const MIN_SLOT_SHARE: f64 = 0.12;
/// The share from which further streams are likely refused, as other models run beside it.
const FULL_SLOT_SHARE: f64 = 0.6;
/// Attempts of a caller that is refused: its returns arrive as further requests.
const ATTEMPTS_OF_REFUSED: f64 = 2.0;
/// Arrival rate from which a model is kept on two engines, as elsewhere.
const REDUNDANT_RATE_PER_S: f64 = 1.5;
/// Share of streams on crowded replicas that is late for it: 10 to 23%, against 3% on others.
const CROWDED_LATE_SHARE: f64 = 0.12;
/// Requests that a swap costs on an idle engine: a smaller gain is not worth an order.
const MIN_SWAP_PRICE: f64 = 0.2;
/// Share of the streams running on an engine that a swap there makes late.
const DISTURBED_SHARE: f64 = 0.1;
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
    let by_load = replicas_at(share, slots, streams(running, demand, stream_time));
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

/// Number of replicas below which streams of a model are refused.
#[must_use]
pub(super) fn least_replicas(
    slots: u32,
    running: u32,
    demand: &TargetDemand,
    stream_time: Duration,
) -> u32 {
    if demand.request_rate < REDUNDANT_RATE_PER_S {
        return 0;
    }
    let streams = streams(running, demand, stream_time);
    replicas_at(FULL_SLOT_SHARE, slots, streams).max(1)
}

/// Streams of a model that run at once, whether there is room for them or not.
fn streams(running: u32, demand: &TargetDemand, stream_time: Duration) -> f64 {
    let offered = caller_rate(demand) * stream_time.as_secs_f64();
    offered.max(f64::from(running + demand.waiting))
}

/// Replicas that run a number of streams in a share of their slots each.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count that is never negative"
)]
fn replicas_at(share: f64, slots: u32, streams: f64) -> u32 {
    // A single stream now and then needs no second replica.
    let burst = if streams > 1.0 { streams.sqrt() } else { 0.0 };
    ((streams + burst) / (f64::from(slots) * share).max(1.0)).ceil() as u32
}

/// Requests that a further replica saves from being late or refused while the demand lasts.
///
/// Streams beyond the required number of replicas are crowded: only a part of them is late for it.
#[must_use]
pub(super) fn replica_gain(replicas: u32, required: u32, demand: &TargetDemand) -> f64 {
    let lacking = 1.0 - f64::from(replicas) / f64::from(required.max(1));
    let crowded = caller_rate(demand) * lacking.max(0.0) * CROWDED_LATE_SHARE;
    let lost = demand.refused_rate / ATTEMPTS_OF_REFUSED + demand.request_rate * demand.late_share;
    (crowded + lost) * HELP_TIME.as_secs_f64() + f64::from(demand.waiting)
}

/// Requests that a swap makes late on an engine that runs some, beside those of evicted models.
#[must_use]
pub(super) fn swap_price(running: u32) -> f64 {
    MIN_SWAP_PRICE + f64::from(running) * DISTURBED_SHARE
}

/// Requests that are late for want of a replica that is evicted, while the demand lasts.
///
/// A last replica has to be loaded again for the next request; one of several leaves the others
/// crowded, unless it is beyond the required number.
#[must_use]
pub(super) fn eviction_price(
    replicas: u32,
    required: u32,
    demand: &TargetDemand,
    reload: Duration,
) -> f64 {
    let rate = demand.request_rate;
    let asked_again = 1.0 - (-rate * HELP_TIME.as_secs_f64()).exp();
    let price = if replicas <= 1 {
        asked_again * (1.0 + rate * reload.as_secs_f64())
    } else if replicas <= required {
        rate / f64::from(required) * CROWDED_LATE_SHARE * HELP_TIME.as_secs_f64()
    } else {
        0.0
    };
    // Among equal prices, the least asked for goes first.
    price + rate * 1e-3
}

/// Value of a load per second of its time, higher the more urgent.
///
/// Requests that have waited longer than their objective weigh more and more, so that a kind that
/// tolerates latency gets its turn after more urgent ones.
#[must_use]
pub(super) fn urgency(
    replicas: u32,
    demand: &TargetDemand,
    load_time: Duration,
    now: Duration,
) -> f64 {
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
