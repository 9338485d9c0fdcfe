//! Reconciles the replicas assigned to a server with its engine's reports.
//!
//! A report lags and may be older than the newest assignment. Two conditions prove that a replica
//! is gone and cannot reappear: the report carries a higher fencing token than the row had before
//! the unload was started (engines that check tokens), or the replica has been absent from every
//! report for long enough (engines that ignore them).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::{Action, Order, Report, Residency, Resident};
use crate::rules::Fencing;
use crate::state_chart::ReplicaState;

use super::rows::{Replica, ServerRow};

/// One action that brings a server closer to its assigned state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Sends an order; the engine recognises a duplicate by its operation id.
    SendOrder(Order),
    /// [Confirms](super::Placement::confirm) a load.
    Confirm {
        /// Model or adapter.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [Activates](super::Placement::activate) a grant whose load the engine reports.
    Activate {
        /// Model or adapter.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [Fails](super::Placement::fail) a load that the engine reported as failed.
    Fail {
        /// Model or adapter.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [Releases](super::Placement::release) a replica that is proven gone.
    Release {
        /// Model or adapter.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [Abandons](super::Placement::abandon) a replica that the engine does not report.
    Abandon {
        /// Model or adapter.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [Records](super::Placement::record_orphan) a replica that is not assigned.
    RecordOrphan(Resident),
    /// [Records](super::Placement::record_loss) a restart; carries the new boot id.
    RecordRestart(String),
    /// [Ends settling](super::Placement::end_settling): orders sent before this boot are harmless.
    EndSettling(String),
}

/// Time limits that reconciliation relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileSettings {
    /// Maximum lag of a report behind the engine's state.
    pub report_lag: Duration,
    /// Maximum time from reading the row to sending an order that results from it.
    pub order_age: Duration,
    /// Maximum time from reading the row to the arrival of such an order at the engine: its age
    /// when sent, the time to connect, and the time that unacknowledged data is retransmitted.
    pub order_lifetime: Duration,
}

impl Default for ReconcileSettings {
    fn default() -> Self {
        Self {
            report_lag: Duration::from_secs(3),
            order_age: Duration::from_millis(2500),
            order_lifetime: Duration::from_secs(7),
        }
    }
}

/// What one observer has seen in a server's reports, with times by its own clock.
#[derive(Debug, Clone, Default)]
pub struct ReportHistory {
    /// Boot id in the last report.
    boot: String,
    /// Time since which an assigned replica has been absent from all reports.
    absent_since: BTreeMap<AbsenceKey, Duration>,
    /// Time since which a replica has been neither granted nor loading, by operation id.
    load_ended: BTreeMap<String, Duration>,
    /// Time since which an unassigned replica has been reported, by operation id.
    orphan_since: BTreeMap<String, Duration>,
}

/// Identifies an absence; a change of the replica's state or the engine's boot id starts a new one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AbsenceKey {
    op: String,
    state: ReplicaState,
    boot: String,
}

/// Input of one reconciliation of a server.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Assigned replicas.
    pub row: &'a ServerRow,
    /// Revision of the row: the fencing token of orders that result from it.
    pub fence: u64,
    /// The engine's report; none where the endpoint is no longer listed.
    pub report: Option<&'a Report>,
    /// How the engine treats fencing tokens.
    pub fencing: Fencing,
    /// Time by the observer's clock.
    pub now: Duration,
}

impl ReportHistory {
    /// Returns the steps that bring the engine and the assigned replicas into agreement.
    ///
    /// The row must have been read after the report was requested.
    pub fn reconcile(
        &mut self,
        observed: Observation<'_>,
        settings: ReconcileSettings,
    ) -> Vec<Step> {
        let Some(report) = observed.report else {
            return self.expire_quarantined(observed, settings);
        };
        if report.boot != observed.row.boot {
            return self.restart_steps(observed, report);
        }
        self.boot.clone_from(&report.boot);
        let mut steps: Vec<Step> = Self::settling_step(observed, report).into_iter().collect();
        let mut absent_since = BTreeMap::new();
        self.record_load_ends(observed);
        for replica in &observed.row.replicas {
            let resident = report.residents.iter().find(|r| r.op == replica.op);
            let absent_for = self.absent_for(observed, replica, resident, &mut absent_since);
            let step = match replica.state {
                ReplicaState::Absent => None,
                ReplicaState::Granted => resident.map(|_| activate_step(replica)),
                ReplicaState::Loading => {
                    loading_step(observed, report, replica, resident, absent_for, settings)
                }
                ReplicaState::Ready => ready_step(replica, absent_for, settings),
                ReplicaState::Unloading | ReplicaState::Quarantined => {
                    Some(self.release_or_unload(
                        observed, report, replica, resident, absent_for, settings,
                    ))
                }
            };
            steps.extend(step);
        }
        self.absent_since = absent_since;
        steps.extend(self.orphan_steps(observed, report, settings));
        steps
    }

    /// Requires a changed boot id in two consecutive reports, as one may be older than the row.
    fn restart_steps(&mut self, observed: Observation<'_>, report: &Report) -> Vec<Step> {
        let repeated = self.boot == report.boot;
        self.boot.clone_from(&report.boot);
        if repeated || observed.row.boot.is_empty() {
            return vec![Step::RecordRestart(report.boot.clone())];
        }
        Vec::new()
    }

    /// Ends settling after a restart; first raises the token of an engine that checks tokens.
    fn settling_step(observed: Observation<'_>, report: &Report) -> Option<Step> {
        let after = observed.row.settling?;
        let proven = match observed.fencing {
            Fencing::Checked => report.fence > after,
            // Whatever an order could still load within its lifetime has its memory reserved.
            Fencing::Ignored => true,
        };
        if proven {
            return Some(Step::EndSettling(report.boot.clone()));
        }
        (observed.fencing == Fencing::Checked)
            .then(|| Step::SendOrder(fence_order(&report.boot, observed.fence)))
    }

    /// Steps for reported replicas that are not assigned.
    ///
    /// An unload order selects the replica by model. Where the server also has an assigned replica
    /// of that model, the orphan must be reported for longer than the maximum report lag; otherwise
    /// an outdated report could cause the assigned replica to be unloaded.
    fn orphan_steps(
        &mut self,
        observed: Observation<'_>,
        report: &Report,
        settings: ReconcileSettings,
    ) -> Vec<Step> {
        let mut orphan_since = BTreeMap::new();
        let mut steps = Vec::new();
        for resident in &report.residents {
            if observed.row.replica_by_op(&resident.op).is_some() {
                continue;
            }
            let since = self
                .orphan_since
                .get(&resident.op)
                .copied()
                .unwrap_or(observed.now);
            orphan_since.insert(resident.op.clone(), since);
            let alone = observed.row.replica(&resident.model).is_none();
            if alone || observed.now.saturating_sub(since) > settings.report_lag {
                steps.push(Step::RecordOrphan(resident.clone()));
            }
        }
        self.orphan_since = orphan_since;
        steps
    }

    /// Records since when no instance sends load orders for the replicas.
    fn record_load_ends(&mut self, observed: Observation<'_>) {
        let not_loading =
            |r: &&Replica| !matches!(r.state, ReplicaState::Granted | ReplicaState::Loading);
        let of_row = observed.row.replicas.iter().filter(not_loading);
        let since = |op: &String| self.load_ended.get(op).copied().unwrap_or(observed.now);
        self.load_ended = of_row.map(|r| (r.op.clone(), since(&r.op))).collect();
    }

    /// Releases a replica that is proven gone; until then, orders its unload.
    ///
    /// An engine that restarts would execute a copy of the load order that is still in flight. An
    /// engine that checks fencing tokens refuses the copy once its token was raised; where tokens
    /// are ignored, its memory stays reserved for as long as a copy may be in flight.
    fn release_or_unload(
        &self,
        observed: Observation<'_>,
        report: &Report,
        replica: &Replica,
        resident: Option<&Resident>,
        absent_for: Option<Duration>,
        settings: ReconcileSettings,
    ) -> Step {
        let load_ended = self
            .load_ended
            .get(&replica.op)
            .copied()
            .unwrap_or(observed.now);
        let load_expired = observed.now.saturating_sub(load_ended) >= settings.order_lifetime;
        let min_absence = match replica.state {
            ReplicaState::Unloading => settings.report_lag,
            _ => settings.order_lifetime,
        };
        let proven = match (observed.fencing, absent_for) {
            (_, None) => false,
            (Fencing::Checked, Some(_)) => report.fence > replica.after,
            (Fencing::Ignored, Some(since)) => load_expired && since >= min_absence,
        };
        if proven {
            return release_step(replica);
        }
        let mut order = unload_order(replica, observed.fence);
        if resident.is_some_and(|r| r.state != Residency::Unloading) {
            // It may have been loaded after an unload whose id the engine knows and would ignore.
            order.op = format!("{}-{}", order.op, observed.now.as_secs());
        }
        Step::SendOrder(order)
    }

    /// How long a replica has been absent from reports; none while the engine reports it.
    fn absent_for(
        &self,
        observed: Observation<'_>,
        replica: &Replica,
        resident: Option<&Resident>,
        absent_since: &mut BTreeMap<AbsenceKey, Duration>,
    ) -> Option<Duration> {
        if resident.is_some() {
            return None;
        }
        let key = AbsenceKey {
            op: replica.op.clone(),
            state: replica.state,
            boot: observed.row.boot.clone(),
        };
        let since = self.absent_since.get(&key).copied().unwrap_or(observed.now);
        absent_since.insert(key, since);
        Some(observed.now.saturating_sub(since))
    }

    /// Releases quarantined replicas of a removed endpoint once no order can arrive any more.
    fn expire_quarantined(
        &mut self,
        observed: Observation<'_>,
        settings: ReconcileSettings,
    ) -> Vec<Step> {
        let mut absent_since = BTreeMap::new();
        let mut steps = Vec::new();
        for replica in &observed.row.replicas {
            let absent_for = self.absent_for(observed, replica, None, &mut absent_since);
            let expired = absent_for.is_some_and(|d| d >= settings.order_lifetime);
            if replica.state == ReplicaState::Quarantined && expired {
                steps.push(release_step(replica));
            }
        }
        self.absent_since = absent_since;
        steps
    }
}

fn loading_step(
    observed: Observation<'_>,
    report: &Report,
    replica: &Replica,
    resident: Option<&Resident>,
    absent_for: Option<Duration>,
    settings: ReconcileSettings,
) -> Option<Step> {
    let model = replica.model.clone();
    let op = replica.op.clone();
    match resident.map(|r| r.state) {
        Some(Residency::Ready) => return Some(Step::Confirm { model, op }),
        Some(Residency::Loading | Residency::Unloading) => return None,
        None => {}
    }
    if report.failed.contains(&op) {
        return Some(Step::Fail { model, op });
    }
    if absent_for.is_some_and(|d| d >= settings.order_lifetime) {
        return Some(Step::Abandon { model, op });
    }
    Some(Step::SendOrder(load_order(replica, observed.fence)))
}

fn ready_step(
    replica: &Replica,
    absent_for: Option<Duration>,
    settings: ReconcileSettings,
) -> Option<Step> {
    let lost = absent_for.is_some_and(|d| d >= settings.report_lag);
    lost.then(|| Step::Abandon {
        model: replica.model.clone(),
        op: replica.op.clone(),
    })
}

fn activate_step(replica: &Replica) -> Step {
    Step::Activate {
        model: replica.model.clone(),
        op: replica.op.clone(),
    }
}

fn release_step(replica: &Replica) -> Step {
    Step::Release {
        model: replica.model.clone(),
        op: replica.op.clone(),
    }
}

/// An order without effect that makes an engine that checks tokens refuse older orders.
fn fence_order(boot: &str, fence: u64) -> Order {
    Order {
        op: format!("fence-{boot}-{fence}"),
        fence,
        action: Action::Unload,
        model: String::new(),
        base: None,
        bytes: 0,
    }
}

/// The order that loads a replica.
#[must_use]
pub fn load_order(replica: &Replica, fence: u64) -> Order {
    Order {
        op: replica.op.clone(),
        fence,
        action: Action::Load,
        model: replica.model.clone(),
        base: replica.base.clone(),
        bytes: replica.bytes,
    }
}

/// The order that unloads a replica.
#[must_use]
pub fn unload_order(replica: &Replica, fence: u64) -> Order {
    let op = replica.unload.as_ref().unwrap_or(&replica.op);
    Order {
        op: op.clone(),
        fence,
        action: Action::Unload,
        model: replica.model.clone(),
        base: replica.base.clone(),
        bytes: replica.bytes,
    }
}
