//! Reports of other instances that the lease holder has not processed yet.
//!
//! A holder that is behind finds the newest report of each link, whatever arrived in the meantime,
//! and the links keep reading the echoes that prolong its lease.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};

use super::super::lease::{Echo, Echoes};
use super::super::link::{DemandReport, EndpointDeath, FleetUpdate, RampEntry, TargetCount};

/// Newest report of a link.
#[derive(Debug, Clone)]
pub struct LinkReport {
    /// The report; its arrivals and aborted requests include those of unprocessed earlier ones.
    pub demand: DemandReport,
    /// Sends updates to the instance.
    pub updates: mpsc::Sender<FleetUpdate>,
    /// When the report was received.
    pub heard_at: Duration,
}

/// What arrived on the links since it was last taken.
#[derive(Debug, Default)]
pub struct PendingReports {
    /// Newest report of each link, by the link's number.
    pub reports: BTreeMap<u64, LinkReport>,
    /// Numbers of the links that were closed.
    pub closed: Vec<u64>,
}

/// Collects what arrives on the links of other instances.
#[derive(Debug, Default)]
pub struct DemandInbox {
    pending: Mutex<PendingReports>,
    echoes: Mutex<Echoes>,
    /// Notified when requests wait at an instance.
    pub urgent: Notify,
}

impl DemandInbox {
    /// Adds a report; it replaces the unprocessed one of its link.
    pub fn report(&self, link: u64, mut report: LinkReport) {
        let echo = Echo {
            reading: Duration::from_millis(report.demand.clock_echo),
            heard_at: report.heard_at,
            reads_row: report.demand.reads_successors,
        };
        self.echoes().record(&report.demand.instance, echo);
        let is_urgent = report.demand.requested.iter().any(|c| c.count > 0)
            || report.demand.limits.iter().any(|l| l.waiting > 0);
        let mut pending = self.pending();
        if let Some(earlier) = pending.reports.remove(&link) {
            add_events(&mut report.demand, earlier.demand);
        }
        pending.reports.insert(link, report);
        drop(pending);
        if is_urgent {
            self.urgent.notify_one();
        }
    }

    /// Records that a link was closed.
    pub fn close(&self, link: u64) {
        self.pending().closed.push(link);
    }

    /// Returns what arrived since the last call.
    #[must_use]
    pub fn take(&self) -> PendingReports {
        std::mem::take(&mut self.pending())
    }

    /// Clock readings that the instances echoed.
    pub fn echoes(&self) -> MutexGuard<'_, Echoes> {
        self.echoes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, PendingReports> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the events of an earlier report that no later report carries again.
fn add_events(demand: &mut DemandReport, earlier: DemandReport) {
    let has_events = |c: &TargetCount| c.arrivals > 0 || c.refused > 0 || c.ended > 0;
    for count in earlier.requested.into_iter().filter(has_events) {
        let same = demand.requested.iter_mut().find(|c| {
            c.scope == count.scope
                && c.model == count.model
                && c.adapter == count.adapter
                && c.software == count.software
        });
        match same {
            Some(newer) => {
                newer.arrivals += count.arrivals;
                newer.refused += count.refused;
                newer.ended += count.ended;
                newer.late += count.late;
            }
            None => demand.requested.push(TargetCount {
                count: 0,
                wait_ms: 0,
                ..count
            }),
        }
    }
    demand.aborted.extend(earlier.aborted);
    // The first report of a link has all endpoints that leave, later ones only the newest.
    for endpoint in earlier.leaving {
        if !demand.leaving.contains(&endpoint) {
            demand.leaving.push(endpoint);
        }
    }
    // A report holds only the ramps of which something changed since the one before.
    for entry in earlier.ramps {
        let is_same = |e: &RampEntry| e.digest == entry.digest && e.ejected == entry.ejected;
        if !demand.ramps.iter().any(is_same) {
            demand.ramps.push(entry);
        }
    }
    if demand.paces.is_empty() {
        demand.paces = earlier.paces;
    }
    if let Some(earlier) = earlier.crashes {
        let deaths = &mut demand.crashes.get_or_insert_default().deaths;
        let is_new = |d: &EndpointDeath| deaths.iter().all(|known| known.endpoint != d.endpoint);
        let missing: Vec<EndpointDeath> = earlier.deaths.into_iter().filter(is_new).collect();
        deaths.extend(missing);
    }
}
