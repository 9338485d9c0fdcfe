//! State of an engine as known to the lease holder, and arrival rates of requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::super::planner::EngineAction;
use super::super::protocol::{Endpoint, HeldModels, Report, Target};
use super::send::is_current;

/// Time constant of the average arrival rate for a model: as long as a few swaps take.
///
/// The times of loads are kept as long.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(8);

/// A swap in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveSwap {
    pub(super) change: EngineAction,
    pub(super) expected_end: Duration,
}

/// State of an engine as known to the lease holder.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    pub(super) domain: String,
    /// Start of the engine, in Unix milliseconds; 0 where unknown.
    pub(super) started_ms: u64,
    /// Number of orders that the engine accepted; locked while one is being sent.
    pub(super) accepted: Arc<tokio::sync::Mutex<u64>>,
    /// Last reading of `accepted`, for use while it is locked.
    pub(super) last_accepted: u64,
    pub(super) models: HeldModels,
    /// Times of recent loads, by model.
    pub(super) loaded_at: BTreeMap<String, Duration>,
    pub(super) pending_adapters: BTreeSet<Target>,
    pub(super) warm: BTreeSet<String>,
    pub(super) disk: BTreeSet<String>,
    pub(super) swap: Option<ActiveSwap>,
    pub(super) adapter_loads: u32,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) load: u32,
    pub(super) change_ended: Duration,
    /// Time of the last report request.
    pub(super) report_requested: Duration,
    /// Random delay of the next report request.
    pub(super) report_jitter: Duration,
    pub(super) leaving: bool,
    /// Whether the models that it holds are unknown until its next report.
    pub(super) state_unknown: bool,
}

impl EngineRecord {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            started_ms: endpoint.start_ms,
            accepted: Arc::default(),
            last_accepted: 0,
            models: endpoint.models.clone(),
            loaded_at: BTreeMap::new(),
            pending_adapters: BTreeSet::new(),
            warm: endpoint.memory_models.clone(),
            disk: endpoint.disk_models.clone(),
            swap: None,
            adapter_loads: 0,
            running: 0,
            queued: 0,
            load: 0,
            change_ended: Duration::ZERO,
            report_requested: Duration::ZERO,
            report_jitter: Duration::ZERO,
            leaving: false,
            state_unknown: true,
        }
    }

    /// Number of accepted orders; the last reading while an order is being sent.
    pub(super) fn accepted_count(&mut self) -> u64 {
        if let Ok(accepted) = self.accepted.try_lock() {
            self.last_accepted = *accepted;
        }
        self.last_accepted
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.swap.is_none() && self.adapter_loads == 0
    }

    pub(super) fn unloading_models(&self) -> BTreeSet<String> {
        match self.swap.as_ref().map(|s| &s.change) {
            Some(EngineAction::LoadModel { evict, .. }) => evict.iter().cloned().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Applies a report that was requested at a given time.
    pub(super) fn apply_report(&mut self, report: Report, requested: Duration) {
        if report.draining {
            self.leaving = true;
        }
        if report.start_ms != 0 && self.started_ms != 0 && report.start_ms != self.started_ms {
            return;
        }
        self.running = report.running;
        self.queued = report.queued;
        if !self.is_idle() {
            return;
        }
        let Ok(mut accepted) = self.accepted.try_lock() else {
            return;
        };
        if !is_current(&report, *accepted, self.change_ended, requested) {
            return;
        }
        *accepted = report.accepted_orders;
        self.last_accepted = report.accepted_orders;
        // The engine runs an order of another holder: nothing may be loaded until its result is
        // known.
        self.state_unknown = report.executing;
        self.models = report.models;
        self.pending_adapters = report.loading_adapters;
        self.warm = report.memory_models;
        self.disk = report.disk_models;
    }
}

/// Exponentially decaying average of arrivals per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ArrivalRate {
    pub(super) per_s: f64,
    pub(super) updated: Duration,
}

impl ArrivalRate {
    pub(super) fn at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.per_s * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, count: u32, now: Duration) {
        self.per_s = self.at(now) + f64::from(count) / RATE_WINDOW.as_secs_f64();
        self.updated = now;
    }
}
