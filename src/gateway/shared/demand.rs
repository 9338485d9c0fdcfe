//! Demand at this instance, by service and model.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::super::protocol::Target;

/// Demand for a model or adapter of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Waiting requests, by request number.
    pub waiting: BTreeMap<u64, WaitingRequest>,
    /// Requests that arrived since the last report to the lease holder.
    pub arrivals: u32,
    /// Requests that were refused for want of room since then.
    pub refused: u32,
    /// Streams that ended since that report, at services whose endpoints state paces.
    pub ended: u32,
    /// Those of them that were late.
    pub late: u32,
}

/// A request that waits for its model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// When it arrived.
    pub arrived_at: Duration,
    /// Objective for the time to its answer.
    pub objective: Duration,
    /// Only software version at which it may run, where others serve beside it.
    pub software: Option<String>,
}

/// Service, and model or adapter.
pub type DemandKey = (String, Target);

/// Demand at this instance.
#[derive(Debug, Default)]
pub struct DemandTracker {
    demand: Mutex<BTreeMap<DemandKey, ModelDemand>>,
    last_number: Mutex<u64>,
    /// Notified when a request starts to wait.
    pub changed: Notify,
}

impl DemandTracker {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DemandKey, ModelDemand>> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an arrived request.
    pub fn record_arrival(&self, service: &str, target: &Target) {
        let key = (service.to_owned(), target.clone());
        self.lock().entry(key).or_default().arrivals += 1;
    }

    /// Counts a request that was refused for want of room.
    pub fn record_refusal(&self, service: &str, target: &Target) {
        let key = (service.to_owned(), target.clone());
        self.lock().entry(key).or_default().refused += 1;
    }

    /// Counts a stream that ended, at a service whose endpoints state paces.
    pub fn record_stream_end(&self, service: &str, target: &Target, late: bool) {
        let key = (service.to_owned(), target.clone());
        let mut demand = self.lock();
        let of_target = demand.entry(key).or_default();
        of_target.ended += 1;
        of_target.late += u32::from(late);
    }

    /// Registers a request that waits, until the guard is dropped.
    pub fn register_wait(
        self: &Arc<Self>,
        service: &str,
        target: &Target,
        request: WaitingRequest,
    ) -> WaitGuard {
        let number = {
            let mut last_number = self
                .last_number
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *last_number += 1;
            *last_number
        };
        let key = (service.to_owned(), target.clone());
        let mut demand = self.lock();
        demand
            .entry(key.clone())
            .or_default()
            .waiting
            .insert(number, request);
        drop(demand);
        self.changed.notify_one();
        WaitGuard {
            tracker: Arc::clone(self),
            key,
            number,
        }
    }

    /// Returns the demand and resets the arrival counts.
    #[must_use]
    pub fn take_demand(&self) -> BTreeMap<DemandKey, ModelDemand> {
        let mut demand = self.lock();
        let snapshot = demand.clone();
        demand.retain(|_, a| {
            (a.arrivals, a.refused, a.ended, a.late) = (0, 0, 0, 0);
            !a.waiting.is_empty()
        });
        snapshot
    }
}

/// Counts a request as waiting for a model until it is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    tracker: Arc<DemandTracker>,
    key: DemandKey,
    number: u64,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(demand) = self.tracker.lock().get_mut(&self.key) {
            demand.waiting.remove(&self.number);
        }
    }
}
