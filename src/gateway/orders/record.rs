//! State of an engine as known to the lease holder, and arrival rates of requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::super::link::{self, EngineLoad};
use super::super::planner::{EngineAction, EngineState, LoadedModel, WeightSource};
use super::super::protocol::{Endpoint, HeldModels, Report, Target};
use super::send::{MAX_FAILED_CONNECTS, Outcome, REPORT_CATCH_UP, is_current};
use super::sequence::{OrderSequence, OrderTicket};

/// Time for which an adapter that an engine would not unload counts as in use.
const IN_USE_TIME: Duration = Duration::from_secs(2);

/// A swap in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveSwap {
    /// The change that is being carried out.
    pub change: EngineAction,
    /// When its load is expected to end.
    pub expected_end: Duration,
}

/// Time after the expected end of a load from which it is no longer expected without a report.
const CARRIED_LOAD_GRACE: Duration = Duration::from_secs(30);

/// A load that an engine carries out although the record that it was ordered on was dropped.
///
/// An engine ends a load that it has accepted, whoever holds the lease. Without this the model would
/// be ordered a second time, at another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CarriedLoad {
    started_ms: u64,
    model: String,
    source: WeightSource,
    expected_end: Duration,
    /// When the record was dropped.
    dropped_at: Duration,
    /// Number of orders that the engine had accepted by then.
    accepted: u64,
}

impl CarriedLoad {
    /// A load that an earlier holder told at a time.
    pub(super) fn told(load: &EngineLoad, heard_at: Duration, now: Duration) -> Self {
        Self {
            started_ms: load.started_ms,
            model: load.model.clone(),
            source: WeightSource::Store,
            expected_end: heard_at + Duration::from_millis(load.left_ms.into()),
            dropped_at: now,
            accepted: load.accepted_orders,
        }
    }

    /// The load as told to a successor.
    pub(super) fn tell(&self, engine: &str, now: Duration) -> EngineLoad {
        EngineLoad {
            engine: engine.to_owned(),
            started_ms: self.started_ms,
            model: self.model.clone(),
            accepted_orders: self.accepted,
            left_ms: link::millis(self.expected_end.saturating_sub(now)),
        }
    }

    pub(super) const fn is_from_store(&self) -> bool {
        matches!(self.source, WeightSource::Store)
    }

    pub(super) fn is_expected(&self, now: Duration) -> bool {
        now < self.expected_end + CARRIED_LOAD_GRACE
    }

    /// Whether a report that was requested at a given time leaves open that the load goes on.
    fn is_shown_by(&self, report: &Report, requested: Duration) -> bool {
        requested < self.dropped_at + REPORT_CATCH_UP
            || (report.executing && report.accepted_orders <= self.accepted)
    }
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeResult {
    /// Outcome of the last order.
    pub outcome: Outcome,
    /// Number of evictions that were carried out, in the order of the change.
    pub unloaded: usize,
}

/// State of an engine as known to the lease holder.
#[derive(Debug)]
pub struct EngineRecord {
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Version of its software.
    pub software: String,
    /// Start of the engine, in Unix milliseconds; 0 where unknown.
    pub started_ms: u64,
    /// Models that it holds, each with its adapters.
    pub models: HeldModels,
    /// Swap that is being carried out.
    pub swap: Option<ActiveSwap>,
    /// Load that was ordered on an earlier record and goes on.
    pub(super) carried: Option<CarriedLoad>,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Whether it asked this instance for a pause.
    pub paused: bool,
    /// Requests a second that it takes from all instances together, if it names a limit.
    pub limit: Option<f64>,
    /// Whether the models that it holds are unknown until its next report.
    pub state_unknown: bool,
    /// Report requests in a row for which no connection could be opened.
    pub failed_connects: u32,
    sequence: OrderSequence,
    /// Last reading of the number of accepted orders, for use while an order is being sent.
    last_accepted: u64,
    /// Times of recent loads, by model.
    pub(super) loaded_at: BTreeMap<String, Duration>,
    pub(super) pending_adapters: BTreeSet<Target>,
    /// Adapters that the engine would not unload, and until when they count as in use.
    in_use: BTreeMap<Target, Duration>,
    pub(super) warm: BTreeSet<String>,
    pub(super) disk: BTreeSet<String>,
    pub(super) adapter_loads: u32,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) load: u32,
    /// Distinct models among the running requests, from all instances.
    pub(super) models_running: u32,
    pub(super) change_ended: Duration,
    /// Time of the last report request.
    pub(super) report_requested: Duration,
    /// Random delay of the next report request.
    pub(super) report_jitter: Duration,
}

impl EngineRecord {
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        Self {
            service: endpoint.service.clone(),
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            software: endpoint.software.clone(),
            started_ms: endpoint.start_ms,
            models: endpoint.models.clone(),
            swap: None,
            carried: None,
            leaving: false,
            paused: false,
            limit: None,
            state_unknown: true,
            failed_connects: 0,
            sequence: OrderSequence::default(),
            last_accepted: 0,
            loaded_at: BTreeMap::new(),
            pending_adapters: BTreeSet::new(),
            in_use: BTreeMap::new(),
            warm: endpoint.memory_models.clone(),
            disk: endpoint.disk_models.clone(),
            adapter_loads: 0,
            running: 0,
            queued: 0,
            load: 0,
            models_running: 0,
            change_ended: Duration::ZERO,
            report_requested: Duration::ZERO,
            report_jitter: Duration::ZERO,
        }
    }

    /// The load of a model that goes on at the engine whoever holds the lease.
    pub(super) fn ongoing_load(&mut self, now: Duration) -> Option<CarriedLoad> {
        let accepted = self.accepted_count();
        let Some(ActiveSwap {
            change: EngineAction::LoadModel { model, source, .. },
            expected_end,
        }) = &self.swap
        else {
            return self.carried.clone();
        };
        self.sequence.is_loading().then(|| CarriedLoad {
            started_ms: self.started_ms,
            model: model.clone(),
            source: *source,
            expected_end: *expected_end,
            dropped_at: now,
            accepted,
        })
    }

    /// Takes over a load of an earlier record, unless the engine, listed with a start, has restarted.
    pub(super) fn carry(&mut self, load: CarriedLoad, started_ms: u64) {
        if load.started_ms != started_ms && load.started_ms != 0 && started_ms != 0 {
            return;
        }
        log::info!(model = load.model.as_str(), address:% = self.address, source:% = load.source;
            "load goes on under a new record of its engine");
        self.carried = Some(load);
    }

    /// Whether the engine loads a model from the weight store.
    #[must_use]
    pub fn loads_from_store(&self) -> bool {
        let swap = self.swap.as_ref().map(|s| &s.change);
        let carried = self.carried.as_ref().map(|load| load.source);
        match swap {
            Some(EngineAction::LoadModel { source, .. }) => *source == WeightSource::Store,
            _ => carried == Some(WeightSource::Store),
        }
    }

    /// Number of accepted orders; the last reading while an order is being sent.
    pub fn accepted_count(&mut self) -> u64 {
        if let Some(accepted) = self.sequence.accepted() {
            self.last_accepted = accepted;
        }
        self.last_accepted
    }

    /// Whether no change is being carried out.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.swap.is_none() && self.adapter_loads == 0
    }

    /// Whether no connection to it could be opened for some time.
    #[must_use]
    pub const fn is_unreachable(&self) -> bool {
        self.failed_connects >= MAX_FAILED_CONNECTS
    }

    /// Records that a report request found no connection.
    pub fn record_failed_connect(&mut self) {
        self.failed_connects += 1;
        if self.is_unreachable() {
            // It may have restarted by the time that it is reached again.
            self.state_unknown = true;
        }
    }

    /// Models that the swap in progress unloads.
    #[must_use]
    pub fn unloading_models(&self) -> BTreeSet<String> {
        match self.swap.as_ref().map(|s| &s.change) {
            Some(EngineAction::LoadModel { evict, .. }) => evict.iter().cloned().collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Records the start of a change and returns its permission to send orders.
    pub fn begin_change(&mut self, change: &EngineAction, expected_end: Duration) -> OrderTicket {
        match change {
            EngineAction::LoadModel { evict, .. } => {
                for old in evict {
                    self.models.remove(old);
                }
                self.swap = Some(ActiveSwap {
                    change: change.clone(),
                    expected_end,
                });
            }
            EngineAction::LoadAdapter { evict, target } => {
                self.adapter_loads += 1;
                self.pending_adapters.insert(target.clone());
                for old in evict {
                    if let Some(adapters) = self.models.get_mut(&old.model) {
                        adapters.remove(old.adapter_name());
                    }
                }
            }
        }
        let ticket = self.sequence.ticket();
        if matches!(change, EngineAction::LoadModel { .. }) {
            ticket.set_loading(false);
        }
        ticket
    }

    /// Records the end of a change; returns false if it belongs to an earlier record.
    pub fn finish_change(
        &mut self,
        change: &EngineAction,
        ticket: &OrderTicket,
        result: ChangeResult,
        now: Duration,
    ) -> bool {
        if !self.sequence.issued(ticket) {
            return false;
        }
        if result.outcome == Outcome::Unreachable {
            self.failed_connects = MAX_FAILED_CONNECTS;
        }
        self.change_ended = now;
        match change {
            EngineAction::LoadModel { model, .. } => {
                self.swap = None;
                if result.outcome == Outcome::Done {
                    self.loaded_at.insert(model.clone(), now);
                    self.warm.insert(model.clone());
                    self.disk.insert(model.clone());
                    self.models.entry(model.clone()).or_default();
                } else {
                    // Until the engine reports, none of its memory counts as free and none of its
                    // models is offered.
                    self.state_unknown = true;
                }
            }
            EngineAction::LoadAdapter { evict, target } => {
                self.adapter_loads = self.adapter_loads.saturating_sub(1);
                self.pending_adapters.remove(target);
                match result.outcome {
                    Outcome::Done => {
                        if let Some(adapters) = self.models.get_mut(&target.model) {
                            adapters.extend(target.adapter.clone());
                        }
                    }
                    Outcome::InUse => self.keep_adapters(evict.get(result.unloaded..), now),
                    _ => self.state_unknown = true,
                }
            }
        }
        true
    }

    /// Restores adapters that were not unloaded, as the engine would not unload the first of them.
    fn keep_adapters(&mut self, kept: Option<&[Target]>, now: Duration) {
        let kept = kept.unwrap_or_default();
        self.in_use.retain(|_, until| now < *until);
        for (at, adapter) in kept.iter().enumerate() {
            if let Some(adapters) = self.models.get_mut(&adapter.model) {
                adapters.extend(adapter.adapter.clone());
            }
            if at == 0 {
                self.in_use.insert(adapter.clone(), now + IN_USE_TIME);
            }
        }
    }

    /// Applies a report that was requested at a given time.
    pub fn apply_report(&mut self, report: Report, requested: Duration) {
        self.failed_connects = 0;
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
        let Some(accepted) = self.sequence.accepted() else {
            return;
        };
        if !is_current(&report, accepted, self.change_ended, requested)
            || !self.sequence.set_accepted(report.accepted_orders)
        {
            return;
        }
        self.last_accepted = report.accepted_orders;
        self.carried
            .take_if(|load| !load.is_shown_by(&report, requested));
        // The engine runs an order of another holder: nothing may be loaded until its result is
        // known.
        self.state_unknown = report.executing;
        self.models = report.models;
        self.pending_adapters = report.loading_adapters;
        self.warm = report.memory_models;
        self.disk = report.disk_models;
    }

    /// State for the planner; `running` returns the number of requests of all instances on a target.
    pub(super) fn state(
        &self,
        id: &str,
        running: impl Fn(&Target) -> u32,
        now: Duration,
    ) -> EngineState {
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters: BTreeMap<String, u32> = adapters
                .iter()
                .map(|name| {
                    let target = Target {
                        model: model.clone(),
                        adapter: Some(name.clone()),
                    };
                    let in_use = self.in_use.get(&target).is_some_and(|until| now < *until);
                    (name.clone(), running(&target).max(u32::from(in_use)))
                })
                .collect();
            let loaded_model = LoadedModel {
                running: running(&Target::base(model)) + adapters.values().sum::<u32>(),
                adapters,
                loaded_at: self.loaded_at.get(model).copied().unwrap_or_default(),
            };
            (model.clone(), loaded_model)
        });
        let carried = self.carried.as_ref().filter(|load| load.is_expected(now));
        EngineState {
            id: id.to_owned(),
            domain: self.domain.clone(),
            software: self.software.clone(),
            models: models.collect(),
            loading_adapters: self.pending_adapters.clone(),
            in_memory: self.warm.clone(),
            on_disk: self.disk.clone(),
            loading_model: match self.swap.as_ref().map(|s| &s.change) {
                Some(EngineAction::LoadModel { model, .. }) => Some(model.clone()),
                _ => carried.map(|load| load.model.clone()),
            },
            busy: !self.is_idle() || self.state_unknown || self.paused || carried.is_some(),
            draining: self.leaving,
            unreachable: self.is_unreachable(),
            limit: self.limit,
        }
    }
}
