//! Compares the decided replicas of a server with its engine's report.
//!
//! A report lags and may be older than the newest decision. Two things prove that a replica is
//! gone and cannot come back: the report carries a fencing number above the one at which its
//! unload was decided (engines that check), or it has been absent from every report for long
//! enough (engines that ignore fencing numbers).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::{Action, Order, Report, Residency, Resident};
use crate::rules::Fencing;
use crate::state_chart::ReplicaState;

use super::rows::{Replica, ServerRow};

/// One thing to do about a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this order; the engine recognises a repeat by its operation id.
    SendOrder(Order),
    /// [`confirm`](super::Placement::confirm) a load.
    Confirm {
        /// Model.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [`activate`](super::Placement::activate) a grant whose load the engine shows.
    Activate {
        /// Model.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [`fail`](super::Placement::fail) a load whose end the engine has reported.
    Fail {
        /// Model.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [`release`](super::Placement::release) a replica that is gone.
    Release {
        /// Model.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [`abandon`](super::Placement::abandon) a replica that the engine does not show.
    Abandon {
        /// Model.
        model: String,
        /// Operation id of the load.
        op: String,
    },
    /// [`record_orphan`](super::Placement::record_orphan) a replica that nothing decided.
    RecordOrphan(Resident),
    /// [`record_loss`](super::Placement::record_loss): the engine has another boot id.
    RecordRestart(String),
    /// [`end_settling`](super::Placement::end_settling): no order from before this boot id can arrive.
    EndSettling(String),
}

/// Bounds of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileSettings {
    /// Longest lag of a report behind the engine's state.
    pub report_lag: Duration,
    /// Longest time from reading the row to sending an order that follows from it.
    pub order_age: Duration,
    /// Longest time from reading the row to the arrival of such an order at the engine: its age
    /// when sent, the time to connect, and the time that unacknowledged data is sent again.
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

/// What one observer saw in a server's reports, by its own clock.
#[derive(Debug, Clone, Default)]
pub struct ReportHistory {
    /// Boot id in the last report.
    boot: String,
    /// Since when decided replicas have been absent.
    absent_since: BTreeMap<AbsenceKey, Duration>,
    /// Since when decided replicas have not been loading, by operation id.
    load_ended: BTreeMap<String, Duration>,
    /// Since when undecided replicas have been there, by operation id.
    orphan_since: BTreeMap<String, Duration>,
}

/// A replica in one state that is not where it should be.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AbsenceKey {
    op: String,
    state: ReplicaState,
    boot: String,
}

/// An engine as it was observed at one time.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Decided replicas.
    pub row: &'a ServerRow,
    /// Revision of the row.
    pub fence: u64,
    /// The engine's report; none where the endpoint is gone.
    pub report: Option<&'a Report>,
    /// How the engine treats fencing numbers.
    pub fencing: Fencing,
    /// Time by the observer's clock.
    pub now: Duration,
}

impl ReportHistory {
    /// Steps that bring the engine and the decided replicas together.
    ///
    /// The row must have been read after the report was asked for.
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

    /// A changed boot id must stand in two reports, as one may be older than the row.
    fn restart_steps(&mut self, observed: Observation<'_>, report: &Report) -> Vec<Step> {
        let repeated = self.boot == report.boot;
        self.boot.clone_from(&report.boot);
        if repeated || observed.row.boot.is_empty() {
            return vec![Step::RecordRestart(report.boot.clone())];
        }
        Vec::new()
    }

    /// After a restart: raises the fencing number of an engine that checks it.
    fn settling_step(observed: Observation<'_>, report: &Report) -> Option<Step> {
        let after = observed.row.settling?;
        let proven = match observed.fencing {
            Fencing::Checked => report.fence > after,
            // All that could arrive within an order's lifetime is still counted.
            Fencing::Ignored => true,
        };
        if proven {
            return Some(Step::EndSettling(report.boot.clone()));
        }
        (observed.fencing == Fencing::Checked)
            .then(|| Step::SendOrder(fence_order(&report.boot, observed.fence)))
    }

    /// Replicas that nothing decided.
    ///
    /// Their unload goes by model; so beside a decided replica of the same model one must be seen
    /// for longer than a report may lag, lest an old report costs a good replica.
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

    /// Since when no instance sends the load orders of the replicas.
    fn record_load_ends(&mut self, observed: Observation<'_>) {
        let loaded =
            |r: &&Replica| !matches!(r.state, ReplicaState::Granted | ReplicaState::Loading);
        let of_row = observed.row.replicas.iter().filter(loaded);
        let since = |op: &String| self.load_ended.get(op).copied().unwrap_or(observed.now);
        self.load_ended = of_row.map(|r| (r.op.clone(), since(&r.op))).collect();
    }

    /// Releases a replica whose end is proved, and orders its unload until then.
    ///
    /// A copy of its load order that is still on its way would be taken by an engine that
    /// restarts. An engine that checks refuses it once its fencing number was raised; where
    /// numbers are ignored the replica stays counted for as long as a copy may live.
    fn release_or_unload(
        &self,
        observed: Observation<'_>,
        report: &Report,
        replica: &Replica,
        resident: Option<&Resident>,
        absent_for: Option<Duration>,
        settings: ReconcileSettings,
    ) -> Step {
        let ended = self
            .load_ended
            .get(&replica.op)
            .copied()
            .unwrap_or(observed.now);
        let settled = observed.now.saturating_sub(ended) >= settings.order_lifetime;
        let min_absence = match replica.state {
            ReplicaState::Unloading => settings.report_lag,
            _ => settings.order_lifetime,
        };
        let proven = match (observed.fencing, absent_for) {
            (_, None) => false,
            (Fencing::Checked, Some(_)) => report.fence > replica.after,
            (Fencing::Ignored, Some(since)) => settled && since >= min_absence,
        };
        if proven {
            return release_step(replica);
        }
        let mut order = unload_order(replica, observed.fence);
        if resident.is_some_and(|r| r.state != Residency::Unloading) {
            // It may have come after an unload that the engine knows already and does not repeat.
            order.op = format!("{}-{}", order.op, observed.now.as_secs());
        }
        Step::SendOrder(order)
    }

    /// How long a replica has been absent; none while the engine shows it.
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

    /// Steps for an endpoint that is gone: what might still arrive there is waited out.
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

/// An order that unloads nothing; an engine that checks refuses older ones after it.
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
