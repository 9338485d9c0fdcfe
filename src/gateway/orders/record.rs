//! What the holder knows of an engine, and how often models are asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::super::edge::{Endpoint, Models, Report, Target};
use super::super::planner::Change;
use super::send::is_current;

/// Time over which the rate of requests for a model is averaged: a few swaps' time.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(8);

/// A swap or an adapter's load that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveSwap {
    pub(super) change: Change,
    pub(super) expected_end: Duration,
}

/// What the holder knows of an engine.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    pub(super) domain: String,
    pub(super) started_ms: u64,
    /// Orders accepted; locked while one is under way.
    pub(super) accepted: Arc<tokio::sync::Mutex<u64>>,
    /// The same, as last seen.
    pub(super) last_accepted: u64,
    pub(super) models: Models,
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
    /// When a report was asked for last, and what the next one is put off by.
    pub(super) report_requested: Duration,
    pub(super) report_jitter: Duration,
    pub(super) leaving: bool,
    /// Whether what it holds is unknown until its next report.
    pub(super) state_unknown: bool,
}

impl EngineRecord {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            started_ms: endpoint.born,
            accepted: Arc::default(),
            last_accepted: 0,
            models: endpoint.models.clone(),
            loaded_at: BTreeMap::new(),
            pending_adapters: BTreeSet::new(),
            warm: endpoint.warm.clone(),
            disk: endpoint.disk.clone(),
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

    /// Orders accepted, as far as known while one may be under way.
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
            Some(Change::Swap { out, .. }) => out.iter().cloned().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Takes over a report that was asked for at a time.
    pub(super) fn apply_report(&mut self, report: Report, requested: Duration) {
        if report.leaving {
            self.leaving = true;
        }
        if report.born != 0 && self.started_ms != 0 && report.born != self.started_ms {
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
        *accepted = report.accepted;
        self.last_accepted = report.accepted;
        // Somebody else's order runs: nothing may be added to what is not yet known.
        self.state_unknown = report.busy;
        self.models = report.models;
        self.pending_adapters = report.coming;
        self.warm = report.warm;
        self.disk = report.disk;
    }
}

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
