//! Reconciles the engines with the replicas recorded in the table service.
//!
//! Any instance may reconcile any server, since each step is either a transaction or an order that
//! follows from one. The owner of a server does so periodically; a cold start does so while it
//! waits for its load.

mod sweep;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::Address;

use crate::clock::Clock;
use crate::endpoint_registry::{
    Endpoint, EndpointRegistry, EndpointUnreachable, RegistryView, ReportReceived,
};
use crate::engine::{Engine, EngineError, Order, Report, Residency, Resident};
use crate::peers::{FleetDelta, MeshHandle, ResidentLoad};
use crate::placement::{
    EngineLoss, Observation, Placement, PlacementError, ReconcileSettings, ReportHistory,
    ServerSnapshot, Step,
};
use crate::rules::Fencing;
use crate::rules_sync::RulesWatch;
use crate::state_chart::ReplicaState;

/// Longest time for which a cached row is used while a server's report agrees with it.
const MAX_ROW_AGE: Duration = Duration::from_secs(10);

/// Shortest time before the same order is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Why a server could not be reconciled.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReconcileError {
    /// The engine gave no report.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The placement decision failed.
    #[error(transparent)]
    Place(#[from] PlacementError),
    /// No engines rule names the server's service.
    #[error("no engines rule names the server's service")]
    NoRule,
}

#[derive(Debug, Clone, Default)]
struct ServerState {
    watch: ReportHistory,
    row: Option<ServerSnapshot>,
    read_at: Duration,
    sent_orders: BTreeMap<String, Duration>,
}

/// Reconciliation state of each server; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ServerStates(Arc<Mutex<BTreeMap<String, ServerState>>>);

/// Reconciles servers with their rows in the table service.
#[derive(Debug, Clone)]
pub struct Reconciler {
    /// Placement decisions, as transactions on the rows.
    pub placement: Arc<Placement>,
    /// Client of the engines.
    pub engines: Arc<dyn Engine>,
    /// Actor that maintains the view.
    pub fleet: Address<EndpointRegistry>,
    /// View of the endpoints.
    pub view: watch::Receiver<Arc<RegistryView>>,
    /// Rules in force.
    pub rules: RulesWatch,
    /// Handle of the mesh of instances.
    pub mesh: MeshHandle,
    /// Clock for the ages of rows and orders.
    pub clock: Clock,
    /// Time limits of the reconciliation.
    pub settings: ReconcileSettings,
    /// Reconciliation state of each server.
    pub states: ServerStates,
}

impl Reconciler {
    /// Fetches a server's report and applies the steps that bring it in line with its row.
    ///
    /// Returns the report.
    ///
    /// # Errors
    ///
    /// Returns a [`ReconcileError`] if no rule names the engines, or if the engine or the table
    /// service does not answer.
    pub async fn reconcile(&self, endpoint: &Endpoint) -> Result<Report, ReconcileError> {
        let name = &endpoint.listed.name;
        let report = self.fetch_report(endpoint).await?;
        let fencing = self
            .fencing(&endpoint.listed.service)
            .ok_or(ReconcileError::NoRule)?;
        let now = self.clock.now();
        if self.is_settled(name, &report, now) {
            return Ok(report);
        }
        let snapshot = self.placement.server(name).await?;
        let plan_steps = |snapshot: &ServerSnapshot| {
            let mut state = self.lock();
            let state = state.entry(name.clone()).or_default();
            state.read_at = now;
            state.row = Some(snapshot.clone());
            let (row, fence) = (&snapshot.row, snapshot.fence);
            let observation = Observation {
                row,
                fence,
                report: Some(&report),
                fencing,
                now,
            };
            state.watch.reconcile(observation, self.settings)
        };
        for step in plan_steps(&snapshot) {
            self.apply_step(endpoint, step, now).await?;
        }
        Ok(report)
    }

    /// Sends an order, unless the same one was sent recently or its row was read too long ago.
    async fn send_order(
        &self,
        endpoint: &Endpoint,
        order: Order,
        read_at: Duration,
    ) -> Result<(), EngineError> {
        let now = self.clock.now();
        if now.saturating_sub(read_at) > self.settings.order_age {
            log::info!(
                endpoint = endpoint.listed.name, op = order.op;
                "order not sent: its row was read too long ago"
            );
            return Ok(());
        }
        if let Some(state) = self.lock().get_mut(&endpoint.listed.name) {
            state
                .sent_orders
                .retain(|_, at| now.saturating_sub(*at) < RESEND_INTERVAL);
            if state.sent_orders.contains_key(&order.op) {
                return Ok(());
            }
            state.sent_orders.insert(order.op.clone(), now);
        }
        log::info!(
            endpoint = endpoint.listed.name, model = order.model, op = order.op;
            "order {}", order.action
        );
        self.engines.order(endpoint.listed.address, order).await
    }

    /// Periodically reconciles the servers that this instance owns, until the process ends.
    pub async fn run(self, every: Duration) {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut tasks = tokio::task::JoinSet::new();
            for endpoint in self.servers() {
                let owner = self.mesh.owner(&format!("server/{}", endpoint.listed.name));
                if owner.is_some() {
                    continue;
                }
                let reconciler = self.clone();
                tasks.spawn(async move { reconciler.reconcile_owned(&endpoint).await });
            }
            tasks.join_all().await;
        }
    }

    async fn reconcile_owned(&self, endpoint: &Endpoint) {
        match self.reconcile(endpoint).await {
            Ok(report) => {
                self.mesh
                    .publish(fleet_delta(&endpoint.listed.name, &report))
                    .await;
            }
            Err(error) => {
                log::warn!(
                    endpoint = endpoint.listed.name, error:% = error;
                    "cannot reconcile server"
                );
            }
        }
    }

    /// Retires a replica and orders its unload; running requests finish first.
    ///
    /// # Errors
    ///
    /// Returns a [`ReconcileError`] if the decision fails or the engine does not answer.
    pub async fn release_model(
        &self,
        endpoint: &Endpoint,
        model: &str,
    ) -> Result<(), ReconcileError> {
        self.placement.retire(&endpoint.listed.name, model).await?;
        self.invalidate_row(&endpoint.listed.name);
        self.reconcile(endpoint).await?;
        Ok(())
    }

    /// Row of a server as last read, with its replicas and their counted memory.
    ///
    /// Returns `None` if the row was never read or has been invalidated since.
    #[must_use]
    pub fn cached_row(&self, server: &str) -> Option<ServerSnapshot> {
        self.lock().get(server).and_then(|s| s.row.clone())
    }

    /// Drops the cached row of a server after a decision has changed it, so that it is read again.
    pub fn invalidate_row(&self, server: &str) {
        if let Some(state) = self.lock().get_mut(server) {
            state.row = None;
        }
    }

    /// Listed endpoints that are engines according to the rules.
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

    async fn fetch_report(&self, endpoint: &Endpoint) -> Result<Report, EngineError> {
        let name = endpoint.listed.name.clone();
        let report = self.engines.report(endpoint.listed.address).await;
        let notified = match &report {
            Ok(report) => {
                let (report, now) = (report.clone(), self.clock.now());
                self.fleet.send(ReportReceived { name, report, now }).await
            }
            Err(_) => {
                self.fleet
                    .send(EndpointUnreachable {
                        name,
                        now: self.clock.now(),
                    })
                    .await
            }
        };
        if notified.is_err() {
            log::debug!("endpoint registry has stopped; engine report not recorded");
        }
        report
    }

    /// Whether a recently read row agrees with the report, so that no step is needed.
    fn is_settled(&self, name: &str, report: &Report, now: Duration) -> bool {
        let state = self.lock();
        let Some(state) = state.get(name) else {
            return false;
        };
        let Some(snapshot) = &state.row else {
            return false;
        };
        let fresh = now.saturating_sub(state.read_at) < MAX_ROW_AGE;
        let settled = snapshot.row.settling.is_none();
        fresh && settled && snapshot.row.boot == report.boot && matches_report(snapshot, report)
    }

    async fn apply_step(
        &self,
        endpoint: &Endpoint,
        step: Step,
        read_at: Duration,
    ) -> Result<(), ReconcileError> {
        let server = endpoint.listed.name.as_str();
        self.invalidate_row(server);
        match step {
            Step::SendOrder(order) => self.send_order(endpoint, order, read_at).await?,
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, ServerState>> {
        self.states.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the report shows each replica of the row as its state requires, and no other replica.
fn matches_report(snapshot: &ServerSnapshot, report: &Report) -> bool {
    let replicas_match = snapshot
        .row
        .replicas
        .iter()
        .all(|replica| match replica.state {
            ReplicaState::Granted => report.residents.iter().all(|r| r.op != replica.op),
            ReplicaState::Ready => reports_state(report, &replica.op, Residency::Ready),
            ReplicaState::Loading => reports_state(report, &replica.op, Residency::Loading),
            ReplicaState::Unloading => reports_state(report, &replica.op, Residency::Unloading),
            ReplicaState::Absent | ReplicaState::Quarantined => false,
        });
    replicas_match
        && report
            .residents
            .iter()
            .all(|r| snapshot.row.replica_by_op(&r.op).is_some())
}

fn reports_state(report: &Report, op: &str, state: Residency) -> bool {
    report
        .residents
        .iter()
        .any(|r| r.op == op && r.state == state)
}

fn fleet_delta(server: &str, report: &Report) -> FleetDelta {
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
