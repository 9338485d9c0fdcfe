//! Demand for models and adapters over time, as all instances report it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::catalog::Catalog;
use super::super::link::TargetCount;
use super::super::planner::TargetDemand;
use super::super::protocol::Target;
use super::super::shared::DemandKey;
use super::late_share::LateShare;

/// Time constant of the average arrival rate for a model: as long as a few swaps take.
///
/// The times of loads are kept as long.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(8);
/// Rate below which an entry is dropped.
const MIN_RATE_PER_S: f64 = 1e-3;
/// Most models and adapters of which demand is kept.
const MAX_TARGETS: usize = 16_384;

/// Rates of requests and refusals, and shares of late streams, by service and target.
///
/// Only targets that the configuration has are kept: callers may name anything, and earlier builds
/// report it.
#[derive(Debug, Default)]
pub struct DemandRates {
    arrivals: BTreeMap<DemandKey, ArrivalRate>,
    /// Requests that were refused for want of room.
    refusals: BTreeMap<DemandKey, ArrivalRate>,
    late_shares: BTreeMap<DemandKey, LateShare>,
}

impl DemandRates {
    /// Adds what an instance counted since its last report.
    pub fn record(&mut self, counts: &[TargetCount], catalog: &Catalog, now: Duration) {
        for count in counts {
            let target = count.target();
            if !catalog.has_target(&count.scope, &target) {
                continue;
            }
            let key = (count.scope.clone(), target);
            if count.arrivals > 0 && has_place(&self.arrivals, &key) {
                let arrivals = self.arrivals.entry(key.clone()).or_default();
                arrivals.add(count.arrivals, now);
            }
            if count.refused > 0 && has_place(&self.refusals, &key) {
                let refusals = self.refusals.entry(key.clone()).or_default();
                refusals.add(count.refused, now);
            }
            if count.ended > 0 && has_place(&self.late_shares, &key) {
                let share = self.late_shares.entry(key).or_default();
                share.add(count.ended, count.late, now);
            }
        }
    }

    /// Drops what is too old to matter.
    pub fn forget_old(&mut self, now: Duration) {
        self.arrivals
            .retain(|_, rate| rate.at(now) > MIN_RATE_PER_S);
        self.refusals
            .retain(|_, rate| rate.at(now) > MIN_RATE_PER_S);
        self.late_shares.retain(|_, share| !share.is_old(now));
    }

    /// Demand for each target of a service.
    #[must_use]
    pub fn of_service(&self, service: &str, now: Duration) -> BTreeMap<Target, TargetDemand> {
        let mut demands: BTreeMap<Target, TargetDemand> = BTreeMap::new();
        for (target, rate) in of(&self.arrivals, service) {
            demands.entry(target.clone()).or_default().request_rate = rate.at(now);
        }
        for (target, rate) in of(&self.refusals, service) {
            demands.entry(target.clone()).or_default().refused_rate = rate.at(now);
        }
        for (target, share) in of(&self.late_shares, service) {
            if let Some(demand) = demands.get_mut(target) {
                demand.late_share = share.at(now);
            }
        }
        demands
    }
}

/// What is kept of a service.
fn of<'a, T>(
    kept: &'a BTreeMap<DemandKey, T>,
    service: &'a str,
) -> impl Iterator<Item = (&'a Target, &'a T)> {
    let of_service = kept.iter().filter(move |((scope, _), _)| scope == service);
    of_service.map(|((_, target), value)| (target, value))
}

/// Whether a target is among those kept, or there is a place for one more.
fn has_place<T>(kept: &BTreeMap<DemandKey, T>, key: &DemandKey) -> bool {
    kept.len() < MAX_TARGETS || kept.contains_key(key)
}

/// Exponentially decaying average of arrivals per second.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalRate {
    per_s: f64,
    updated: Duration,
}

impl ArrivalRate {
    fn at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.per_s * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, count: u32, now: Duration) {
        self.per_s = self.at(now) + f64::from(count) / RATE_WINDOW.as_secs_f64();
        self.updated = now;
    }
}
