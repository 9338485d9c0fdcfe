//! Reports of this instance to the lease holder.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::protocol::Target;
use super::super::quotas::message::QuotaReport;
use super::super::room::message::RoomReport;
use super::super::shared::{Gateway, ModelDemand, WaitingRequest};
use super::super::stream_origins::Scope;
use super::evidence::CrashEvidence;
use super::{
    DemandReport, TargetCount, all_leaving, limit_entries, millis, new_origins, ramps,
    recently_leaving,
};

/// Creates a report of the demand at this instance; takes the arrivals counted so far.
#[must_use]
pub fn demand_report(gateway: &Gateway) -> DemandReport {
    let now = gateway.now();
    let mut requested = Vec::new();
    for ((service, target), demand) in gateway.demand.take_demand() {
        requested.extend(target_counts(&service, &target, &demand, now));
    }
    let mut running = Vec::new();
    let catalog = gateway.catalog();
    for (service, _) in catalog.iter().flat_map(|c| c.engines()) {
        for (id, target, count) in gateway.servers.running_requests(service) {
            running.push(TargetCount {
                count,
                ..TargetCount::new(&id, &target)
            });
        }
    }
    DemandReport {
        instance: gateway.settings.name.clone(),
        config_version: config_version(gateway),
        requested,
        running,
        aborted: gateway.crash_suspects().take_unreported(),
        clock_echo: 0,
        leaving: recently_leaving(gateway),
        crashes: crash_report(gateway, false),
        limits: limit_entries(gateway),
        address: gateway.settings.peers_addr.to_string(),
        cut_off: !gateway.cut_services.borrow().is_empty(),
        reads_successors: true,
        reports_closed: true,
        fetches_config: true,
        clock_ms: u64::try_from(now.as_millis()).unwrap_or_default(),
        ..DemandReport::default()
    }
}

/// Demand for a target, and beside it that of requests which may run at one software version only.
fn target_counts(
    service: &str,
    target: &Target,
    demand: &ModelDemand,
    now: Duration,
) -> Vec<TargetCount> {
    let mut versions: BTreeMap<Option<&String>, Vec<&WaitingRequest>> =
        BTreeMap::from([(None, Vec::new())]);
    for request in demand.waiting.values() {
        let software = request.software.as_ref();
        versions.entry(software).or_default().push(request);
    }
    let counts = versions.into_iter().map(|(software, waiting)| {
        let oldest = waiting.iter().map(|w| w.arrived_at).min().unwrap_or(now);
        let objective = waiting.iter().map(|w| w.objective).max();
        let in_time_until = waiting.iter().map(|w| w.arrived_at + w.objective).max();
        let (arrivals, refused, ended, late) = match software {
            None => (demand.arrivals, demand.refused, demand.ended, demand.late),
            Some(_) => (0, 0, 0, 0),
        };
        TargetCount {
            count: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
            arrivals,
            refused,
            ended,
            late,
            wait_ms: millis(now.saturating_sub(oldest)),
            objective_ms: millis(objective.unwrap_or_default()),
            left_ms: millis(in_time_until.unwrap_or(now).saturating_sub(now)),
            software: software.cloned().unwrap_or_default(),
            ..TargetCount::new(service, target)
        }
    });
    counts.collect()
}

/// What this instance knows about parts of prompts under which endpoints end, if anything.
fn crash_report(gateway: &Gateway, all: bool) -> Option<CrashEvidence> {
    let report = gateway.crash_parts().report(all, gateway.now());
    (report != CrashEvidence::default()).then_some(report)
}

fn config_version(gateway: &Gateway) -> u64 {
    let in_force = gateway.active_config.borrow();
    in_force.as_ref().map_or(0, |f| f.catalog.version)
}

/// The first report on a link, with all that a new holder may lack, and the number of its last stream.
pub(super) fn first_report(gateway: &Gateway) -> (DemandReport, u64) {
    let (origins, last_origin) = new_origins(gateway, 0, Scope::Own);
    let mut first = DemandReport {
        origins,
        quotas: gateway.quotas.report(gateway),
        crashes: crash_report(gateway, true),
        leaving: all_leaving(gateway),
        ..demand_report(gateway)
    };
    ramps::add_ramps(gateway, &mut first, true);
    (first, last_origin)
}

/// A later report with the stream records after a number, and the number of the last one in it.
pub(super) fn later_report(gateway: &Gateway, origins_sent: u64) -> (DemandReport, u64) {
    let (origins, last_origin) = new_origins(gateway, origins_sent, Scope::Own);
    let mut report = DemandReport {
        origins,
        quotas: gateway.quotas.report(gateway),
        ..demand_report(gateway)
    };
    ramps::add_ramps(gateway, &mut report, false);
    (report, last_origin)
}

/// A report about quotas alone, sent as soon as a request waits for credit.
pub(super) fn quota_report(gateway: &Gateway) -> Option<DemandReport> {
    let quotas = gateway.quotas.report(gateway)?;
    Some(DemandReport {
        instance: gateway.settings.name.clone(),
        quotas: Some(QuotaReport {
            only: true,
            ..quotas
        }),
        ..DemandReport::default()
    })
}

/// A report about room alone, sent as soon as a request waits for room or has ended.
pub(super) fn room_report(gateway: &Gateway) -> Option<DemandReport> {
    let room = gateway.servers.room_report(gateway.now())?;
    Some(DemandReport {
        instance: gateway.settings.name.clone(),
        room: Some(RoomReport { only: true, ..room }),
        ..DemandReport::default()
    })
}
