//! Brings the engines and the decided replicas together.
//!
//! Any instance may reconcile any server: each step is either a transaction or an order that follows
//! from one. The owner of a server does it regularly; a cold start does it while it waits.

mod sweep;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::Address;

use crate::clock::Clock;
use crate::engine::{Engine, EngineError, Order, Report, Residency, Resident};
use crate::fleet::{Endpoint, Fleet, Lost, Reported, View};
use crate::peers::{FleetDelta, MeshHandle, ResidentLoad};
use crate::placement::{
    EngineLoss, Observation, Placement, PlacementError, ReconcileSettings, ReportHistory,
    ServerSnapshot, Step,
};
use crate::rules::Fencing;
use crate::rules_sync::RulesWatch;
use crate::state_chart::ReplicaState;

/// Longest age of a row that a server without a difference is compared with.
const ROW_AGE: Duration = Duration::from_secs(10);

/// Time before the same order is sent again.
const RESEND: Duration = Duration::from_millis(500);

/// Why a server could not be reconciled.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReconcileError {
    /// The engine gave no report.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// A decision was not taken.
    #[error(transparent)]
    Place(#[from] PlacementError),
    /// No rule names the server's service as engines.
    #[error("no rule names these engines")]
    NoRule,
}

#[derive(Debug, Clone, Default)]
struct Progress {
    watch: ReportHistory,
    row: Option<ServerSnapshot>,
    read: Duration,
    sent: BTreeMap<String, Duration>,
}

/// What was last done for each server; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ServerStates(Arc<Mutex<BTreeMap<String, Progress>>>);

/// Reconciles servers with their rows.
#[derive(Debug, Clone)]
pub struct Reconciler {
    /// Decisions.
    pub placement: Arc<Placement>,
    /// The engines.
    pub engines: Arc<dyn Engine>,
    /// Owner of the view.
    pub fleet: Address<Fleet>,
    /// The endpoints.
    pub view: watch::Receiver<Arc<View>>,
    /// The configuration in force.
    pub rules: RulesWatch,
    /// The other instances.
    pub mesh: MeshHandle,
    /// Time.
    pub clock: Clock,
    /// Bounds of the comparison.
    pub bounds: ReconcileSettings,
    /// What was last done for each server.
    pub states: ServerStates,
}

impl Reconciler {
    /// Fetches a server's report, then takes the steps that its row asks for.
    ///
    /// Returns the report.
    ///
    /// # Errors
    ///
    /// [`ReconcileError`] where the engine or the table service does not answer.
    pub async fn reconcile(&self, endpoint: &Endpoint) -> Result<Report, ReconcileError> {
        let name = &endpoint.listed.name;
        let report = self.report(endpoint).await?;
        let fencing = self
            .fencing(&endpoint.listed.service)
            .ok_or(ReconcileError::NoRule)?;
        let now = self.clock.now();
        if self.settled(name, &report, now) {
            return Ok(report);
        }
        let placed = self.placement.server(name).await?;
        let meeting = |placed: &ServerSnapshot| {
            let mut progress = self.lock();
            let progress = progress.entry(name.clone()).or_default();
            progress.read = now;
            progress.row = Some(placed.clone());
            let (row, fence) = (&placed.row, placed.fence);
            let met = Observation {
                row,
                fence,
                report: Some(&report),
                fencing,
                now,
            };
            progress.watch.reconcile(met, self.bounds)
        };
        for step in meeting(&placed) {
            self.take(endpoint, step, now).await?;
        }
        Ok(report)
    }

    /// Sends an order, unless it was sent a short time ago or its row was read too long ago.
    async fn order(
        &self,
        endpoint: &Endpoint,
        order: Order,
        read: Duration,
    ) -> Result<(), EngineError> {
        let now = self.clock.now();
        if now.saturating_sub(read) > self.bounds.order_age {
            log::info!(endpoint = endpoint.listed.name, op = order.op; "order is too old to be sent");
            return Ok(());
        }
        if let Some(progress) = self.lock().get_mut(&endpoint.listed.name) {
            progress
                .sent
                .retain(|_, at| now.saturating_sub(*at) < RESEND);
            if progress.sent.contains_key(&order.op) {
                return Ok(());
            }
            progress.sent.insert(order.op.clone(), now);
        }
        log::info!(endpoint = endpoint.listed.name, model = order.model, op = order.op; "order {}", order.action);
        self.engines.order(endpoint.listed.address, order).await
    }

    /// Reconciles the servers whose owner this instance is, at intervals, until the process ends.
    pub async fn run(self, every: Duration) {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut round = tokio::task::JoinSet::new();
            for endpoint in self.servers() {
                let owner = self.mesh.owner(&format!("server/{}", endpoint.listed.name));
                if owner.is_some() {
                    continue;
                }
                let reconciler = self.clone();
                round.spawn(async move { reconciler.reconcile_owned(&endpoint).await });
            }
            round.join_all().await;
        }
    }

    async fn reconcile_owned(&self, endpoint: &Endpoint) {
        match self.reconcile(endpoint).await {
            Ok(report) => {
                self.mesh
                    .publish(delta(&endpoint.listed.name, &report))
                    .await;
            }
            Err(error) => {
                log::warn!(endpoint = endpoint.listed.name, error:% = error; "cannot tend");
            }
        }
    }

    /// Decides to let a replica go and orders its unload; running requests end first.
    ///
    /// # Errors
    ///
    /// [`ReconcileError`] where the decision was not taken or the engine does not answer.
    pub async fn release_model(
        &self,
        endpoint: &Endpoint,
        model: &str,
    ) -> Result<(), ReconcileError> {
        self.placement.retire(&endpoint.listed.name, model).await?;
        self.forget_row(&endpoint.listed.name);
        self.reconcile(endpoint).await?;
        Ok(())
    }

    /// The decided replicas of a server as last read, with their counted memory.
    #[must_use]
    pub fn row(&self, server: &str) -> Option<ServerSnapshot> {
        self.lock().get(server).and_then(|t| t.row.clone())
    }

    /// Reads the server's row again the next time, because a decision has changed it.
    pub fn forget_row(&self, server: &str) {
        if let Some(progress) = self.lock().get_mut(server) {
            progress.row = None;
        }
    }

    /// Listed engines.
    #[must_use]
    pub fn servers(&self) -> Vec<Endpoint> {
        let rules = self.rules.borrow().clone();
        let view = self.view.borrow();
        let engines = |e: &&Endpoint| {
            rules
                .as_ref()
                .is_some_and(|r| r.rules.engines.contains_key(&e.listed.service))
        };
        view.endpoints.values().filter(engines).cloned().collect()
    }

    fn fencing(&self, service: &str) -> Option<Fencing> {
        let rules = self.rules.borrow();
        rules.as_ref()?.rules.engines.get(service).map(|e| e.orders)
    }

    async fn report(&self, endpoint: &Endpoint) -> Result<Report, EngineError> {
        let name = endpoint.listed.name.clone();
        let report = self.engines.report(endpoint.listed.address).await;
        let told = match &report {
            Ok(report) => {
                let (report, now) = (report.clone(), self.clock.now());
                self.fleet.send(Reported { name, report, now }).await
            }
            Err(_) => {
                self.fleet
                    .send(Lost {
                        name,
                        now: self.clock.now(),
                    })
                    .await
            }
        };
        if told.is_err() {
            log::debug!("the fleet has stopped");
        }
        report
    }

    /// Whether a row read a short time ago shows no difference to the report.
    fn settled(&self, name: &str, report: &Report, now: Duration) -> bool {
        let progress = self.lock();
        let Some(progress) = progress.get(name) else {
            return false;
        };
        let Some(placed) = &progress.row else {
            return false;
        };
        let fresh = now.saturating_sub(progress.read) < ROW_AGE;
        let settled = placed.row.settling.is_none();
        fresh && settled && placed.row.boot == report.boot && agrees(placed, report)
    }

    async fn take(
        &self,
        endpoint: &Endpoint,
        step: Step,
        read: Duration,
    ) -> Result<(), ReconcileError> {
        let server = endpoint.listed.name.as_str();
        self.forget_row(server);
        match step {
            Step::SendOrder(order) => self.order(endpoint, order, read).await?,
            Step::Confirm { model, op } => self.placement.confirm(server, &model, &op).await?,
            Step::Activate { model, op } => self.placement.activate(server, &model, &op).await?,
            Step::Fail { model, op } => self.placement.fail(server, &model, &op).await?,
            Step::Release { model, op } => self.placement.release(server, &model, &op).await?,
            Step::Abandon { model, op } => self.placement.abandon(server, &model, &op).await?,
            Step::RecordOrphan(resident) => self.placement.record_orphan(server, &resident).await?,
            Step::EndSettling(boot) => self.placement.end_settling(server, &boot).await?,
            Step::RecordRestart(boot) => {
                self.placement
                    .record_loss(server, &EngineLoss::Restarted(boot))
                    .await?;
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Progress>> {
        self.states.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether all decided replicas are in the report as they should be, and nothing else is.
fn agrees(placed: &ServerSnapshot, report: &Report) -> bool {
    let settled = placed
        .row
        .replicas
        .iter()
        .all(|replica| match replica.state {
            ReplicaState::Granted => report.residents.iter().all(|r| r.op != replica.op),
            ReplicaState::Ready => shows(report, &replica.op, Residency::Ready),
            ReplicaState::Loading => shows(report, &replica.op, Residency::Loading),
            ReplicaState::Unloading => shows(report, &replica.op, Residency::Unloading),
            ReplicaState::Absent | ReplicaState::Quarantined => false,
        });
    settled
        && report
            .residents
            .iter()
            .all(|r| placed.row.replica_by_op(&r.op).is_some())
}

fn shows(report: &Report, op: &str, state: Residency) -> bool {
    report
        .residents
        .iter()
        .any(|r| r.op == op && r.state == state)
}

fn delta(server: &str, report: &Report) -> FleetDelta {
    let load = |r: &Resident| ResidentLoad {
        model: r.model.clone(),
        state: r.state,
        running: r.running,
        queued: r.queued,
    };
    FleetDelta {
        server: server.to_owned(),
        boot: report.boot.clone(),
        residents: report.residents.iter().map(load).collect(),
    }
}
