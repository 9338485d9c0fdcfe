//! Compares the decided replicas of a server with its engine's report.
//!
//! A report lags and may be older than the newest decision. Two things prove that a replica is
//! gone and cannot come back: the report carries a fencing number above the one at which its
//! unload was decided (engines that check), or it has been absent from every report for long
//! enough (engines that ignore fencing numbers).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::chart::ReplicaState;
use crate::engine::{Action, Order, Report, Residency, Resident};
use crate::rules::Fencing;

use super::rows::{Replica, ServerRow};

/// One thing to do about a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send this order; the engine recognises a repeat by its operation id.
    Send(Order),
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
    /// [`find`](super::Placement::find) a replica that nothing decided.
    Find(Resident),
    /// [`vacate`](super::Placement::vacate): the engine has another boot id.
    Reboot(String),
    /// [`settle`](super::Placement::settle): no order from before this boot id can arrive.
    Settle(String),
}

/// Bounds of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileSettings {
    /// Longest lag of a report behind the engine's state.
    pub lag: Duration,
    /// Longest time from reading the row to sending an order that follows from it.
    pub age: Duration,
    /// Longest time from reading the row to the arrival of such an order at the engine: its age
    /// when sent, the time to connect, and the time that unacknowledged data is sent again.
    pub lifetime: Duration,
}

impl Default for ReconcileSettings {
    fn default() -> Self {
        Self {
            lag: Duration::from_secs(3),
            age: Duration::from_millis(2500),
            lifetime: Duration::from_secs(7),
        }
    }
}

/// What one observer saw in a server's reports, by its own clock.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Boot id in the last report.
    boot: String,
    /// Since when decided replicas have been absent.
    absent: BTreeMap<Sighting, Duration>,
    /// Since when decided replicas have not been loading, by operation id.
    loaded: BTreeMap<String, Duration>,
    /// Since when undecided replicas have been there, by operation id.
    strange: BTreeMap<String, Duration>,
}

/// A replica in one state that is not where it should be.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Sighting {
    op: String,
    state: ReplicaState,
    boot: String,
}

/// An engine as it was met at one time.
#[derive(Debug, Clone, Copy)]
pub struct Meeting<'a> {
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

impl Watch {
    /// Steps that bring the engine and the decided replicas together.
    ///
    /// The row must have been read after the report was asked for.
    pub fn reconcile(&mut self, met: Meeting<'_>, settings: ReconcileSettings) -> Vec<Step> {
        let Some(report) = met.report else {
            return self.expire(met, settings);
        };
        if report.boot != met.row.boot {
            return self.reboot(met, report);
        }
        self.boot.clone_from(&report.boot);
        let mut steps: Vec<Step> = Self::settling(met, report).into_iter().collect();
        let mut absent = BTreeMap::new();
        self.note_loaded(met);
        for replica in &met.row.replicas {
            let resident = report.residents.iter().find(|r| r.op == replica.op);
            let gone = self.absence(met, replica, resident, &mut absent);
            let step = match replica.state {
                ReplicaState::Absent => None,
                ReplicaState::Granted => resident.map(|_| activate(replica)),
                ReplicaState::Loading => loading(met, report, replica, resident, gone, settings),
                ReplicaState::Ready => ready(replica, gone, settings),
                ReplicaState::Unloading | ReplicaState::Quarantined => {
                    Some(self.leaving(met, report, replica, resident, gone, settings))
                }
            };
            steps.extend(step);
        }
        self.absent = absent;
        steps.extend(self.strangers(met, report, settings));
        steps
    }

    /// A changed boot id must stand in two reports, as one may be older than the row.
    fn reboot(&mut self, met: Meeting<'_>, report: &Report) -> Vec<Step> {
        let again = self.boot == report.boot;
        self.boot.clone_from(&report.boot);
        if again || met.row.boot.is_empty() {
            return vec![Step::Reboot(report.boot.clone())];
        }
        Vec::new()
    }

    /// After a restart: raises the fencing number of an engine that checks it.
    fn settling(met: Meeting<'_>, report: &Report) -> Option<Step> {
        let after = met.row.settling?;
        let proved = match met.fencing {
            Fencing::Checked => report.fence > after,
            // All that could arrive within an order's lifetime is still counted.
            Fencing::Ignored => true,
        };
        if proved {
            return Some(Step::Settle(report.boot.clone()));
        }
        (met.fencing == Fencing::Checked).then(|| Step::Send(fence_order(&report.boot, met.fence)))
    }

    /// Replicas that nothing decided.
    ///
    /// Their unload goes by model; so beside a decided replica of the same model one must be seen
    /// for longer than a report may lag, lest an old report costs a good replica.
    fn strangers(
        &mut self,
        met: Meeting<'_>,
        report: &Report,
        settings: ReconcileSettings,
    ) -> Vec<Step> {
        let mut strange = BTreeMap::new();
        let mut steps = Vec::new();
        for resident in &report.residents {
            if met.row.by_op(&resident.op).is_some() {
                continue;
            }
            let since = self.strange.get(&resident.op).copied().unwrap_or(met.now);
            strange.insert(resident.op.clone(), since);
            let alone = met.row.replica(&resident.model).is_none();
            if alone || met.now.saturating_sub(since) > settings.lag {
                steps.push(Step::Find(resident.clone()));
            }
        }
        self.strange = strange;
        steps
    }

    /// Since when no instance sends the load orders of the replicas.
    fn note_loaded(&mut self, met: Meeting<'_>) {
        let loaded =
            |r: &&Replica| !matches!(r.state, ReplicaState::Granted | ReplicaState::Loading);
        let of_row = met.row.replicas.iter().filter(loaded);
        let since = |op: &String| self.loaded.get(op).copied().unwrap_or(met.now);
        self.loaded = of_row.map(|r| (r.op.clone(), since(&r.op))).collect();
    }

    /// Releases a replica whose end is proved, and orders its unload until then.
    ///
    /// A copy of its load order that is still on its way would be taken by an engine that
    /// restarts. An engine that checks refuses it once its fencing number was raised; where
    /// numbers are ignored the replica stays counted for as long as a copy may live.
    fn leaving(
        &self,
        met: Meeting<'_>,
        report: &Report,
        replica: &Replica,
        resident: Option<&Resident>,
        gone: Option<Duration>,
        settings: ReconcileSettings,
    ) -> Step {
        let loaded = self.loaded.get(&replica.op).copied().unwrap_or(met.now);
        let settled = met.now.saturating_sub(loaded) >= settings.lifetime;
        let wait = match replica.state {
            ReplicaState::Unloading => settings.lag,
            _ => settings.lifetime,
        };
        let proved = match (met.fencing, gone) {
            (_, None) => false,
            (Fencing::Checked, Some(_)) => report.fence > replica.after,
            (Fencing::Ignored, Some(since)) => settled && since >= wait,
        };
        if proved {
            return release(replica);
        }
        let mut order = unload_order(replica, met.fence);
        if resident.is_some_and(|r| r.state != Residency::Unloading) {
            // It may have come after an unload that the engine knows already and does not repeat.
            order.op = format!("{}-{}", order.op, met.now.as_secs());
        }
        Step::Send(order)
    }

    /// How long a replica has been absent; none while the engine shows it.
    fn absence(
        &self,
        met: Meeting<'_>,
        replica: &Replica,
        resident: Option<&Resident>,
        absent: &mut BTreeMap<Sighting, Duration>,
    ) -> Option<Duration> {
        if resident.is_some() {
            return None;
        }
        let sighting = Sighting {
            op: replica.op.clone(),
            state: replica.state,
            boot: met.row.boot.clone(),
        };
        let since = self.absent.get(&sighting).copied().unwrap_or(met.now);
        absent.insert(sighting, since);
        Some(met.now.saturating_sub(since))
    }

    /// Steps for an endpoint that is gone: what might still arrive there is waited out.
    fn expire(&mut self, met: Meeting<'_>, settings: ReconcileSettings) -> Vec<Step> {
        let mut absent = BTreeMap::new();
        let mut steps = Vec::new();
        for replica in &met.row.replicas {
            let gone = self.absence(met, replica, None, &mut absent);
            let expired = gone.is_some_and(|d| d >= settings.lifetime);
            if replica.state == ReplicaState::Quarantined && expired {
                steps.push(release(replica));
            }
        }
        self.absent = absent;
        steps
    }
}

fn loading(
    met: Meeting<'_>,
    report: &Report,
    replica: &Replica,
    resident: Option<&Resident>,
    gone: Option<Duration>,
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
    if gone.is_some_and(|d| d >= settings.lifetime) {
        return Some(Step::Abandon { model, op });
    }
    Some(Step::Send(load_order(replica, met.fence)))
}

fn ready(replica: &Replica, gone: Option<Duration>, settings: ReconcileSettings) -> Option<Step> {
    let lost = gone.is_some_and(|d| d >= settings.lag);
    lost.then(|| Step::Abandon {
        model: replica.model.clone(),
        op: replica.op.clone(),
    })
}

fn activate(replica: &Replica) -> Step {
    Step::Activate {
        model: replica.model.clone(),
        op: replica.op.clone(),
    }
}

fn release(replica: &Replica) -> Step {
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
