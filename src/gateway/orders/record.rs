//! What the holder knows of an engine, and how often models are asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::super::edge::{Endpoint, Models, Report, Target};
use super::super::planner::EngineAction;
use super::send::shows_end;

/// Time over which the rate of requests for a model is averaged: a few swaps' time.
pub(super) const RATE_OVER: Duration = Duration::from_secs(8);

/// A swap or an adapter's load that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Job {
    pub(super) change: EngineAction,
    pub(super) until: Duration,
}

/// What the holder knows of an engine.
#[derive(Debug)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    pub(super) domain: String,
    pub(super) born: u64,
    /// Orders accepted; locked while one is under way.
    pub(super) accepted: Arc<tokio::sync::Mutex<u64>>,
    /// The same, as last seen.
    pub(super) counted: u64,
    pub(super) models: Models,
    pub(super) since: BTreeMap<String, Duration>,
    pub(super) coming: BTreeSet<Target>,
    pub(super) warm: BTreeSet<String>,
    pub(super) disk: BTreeSet<String>,
    pub(super) swap: Option<Job>,
    pub(super) adapters: u32,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) load: u32,
    pub(super) settled: Duration,
    /// When a report was asked for last, and what the next one is put off by.
    pub(super) asked: Duration,
    pub(super) jitter: Duration,
    pub(super) leaving: bool,
    /// Whether what it holds is unknown until its next report.
    pub(super) unknown: bool,
}

impl EngineRecord {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            born: endpoint.born,
            accepted: Arc::default(),
            counted: 0,
            models: endpoint.models.clone(),
            since: BTreeMap::new(),
            coming: BTreeSet::new(),
            warm: endpoint.warm.clone(),
            disk: endpoint.disk.clone(),
            swap: None,
            adapters: 0,
            running: 0,
            queued: 0,
            load: 0,
            settled: Duration::ZERO,
            asked: Duration::ZERO,
            jitter: Duration::ZERO,
            leaving: false,
            unknown: true,
        }
    }

    /// Orders accepted, as far as known while one may be under way.
    pub(super) fn count(&mut self) -> u64 {
        if let Ok(accepted) = self.accepted.try_lock() {
            self.counted = *accepted;
        }
        self.counted
    }

    pub(super) const fn idle(&self) -> bool {
        self.swap.is_none() && self.adapters == 0
    }

    pub(super) fn closing(&self) -> BTreeSet<String> {
        match self.swap.as_ref().map(|j| &j.change) {
            Some(EngineAction::LoadModel { evict, .. }) => evict.iter().cloned().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Takes over a report that was asked for at a time.
    pub(super) fn report(&mut self, report: Report, asked: Duration) {
        if report.leaving {
            self.leaving = true;
        }
        if report.born != 0 && self.born != 0 && report.born != self.born {
            return;
        }
        self.running = report.running;
        self.queued = report.queued;
        if !self.idle() {
            return;
        }
        let Ok(mut known) = self.accepted.try_lock() else {
            return;
        };
        if !shows_end(&report, *known, self.settled, asked) {
            return;
        }
        *known = report.accepted;
        self.counted = report.accepted;
        // Somebody else's order runs: nothing may be added to what is not yet known.
        self.unknown = report.busy;
        self.models = report.models;
        self.coming = report.coming;
        self.warm = report.warm;
        self.disk = report.disk;
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    pub(super) value: f64,
    pub(super) at: Duration,
}

impl Rate {
    pub(super) fn now(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / RATE_OVER.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, count: u32, now: Duration) {
        self.value = self.now(now) + f64::from(count) / RATE_OVER.as_secs_f64();
        self.at = now;
    }
}
