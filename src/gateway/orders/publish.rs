//! Publishes engine views and estimated waits to all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use super::super::catalog::Catalog;
use super::super::crash_suspects::Fingerprint;
use super::super::exchange::ConfigNotice;
use super::super::link::{self, CrashEvidence, DemandReport, EngineView, FleetUpdate, TargetCount};
use super::super::planner::{EngineAction, TargetDemand};
use super::super::protocol::Target;
use super::super::servers::EndpointView;
use super::super::shared::Gateway;
use super::super::stream_origins::{OriginNotice, Scope};
use super::OrderController;
use super::inbox::LinkReport;
use super::last_sent::LastSent;
use super::limits::{LimitGrants, OWN_NUMBER};

/// Interval between sends of all views to an instance.
const FULL_VIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Most addresses of instances with a path to endpoints in an update to one without.
const MAX_DETOURS: usize = 16;
/// Most addresses of instances with the newest configuration in an update.
const MAX_CONFIG_SOURCES: usize = 6;
/// Longest interval between updates to an instance; they carry the lease holder's clock.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(300);

/// A linked instance: its last demand, and what it was sent.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) demand: DemandReport,
    pub(super) heard_at: Duration,
    pub(super) updates: mpsc::Sender<FleetUpdate>,
    /// Version of the views that it was sent last; 0 where all have to be sent.
    pub(super) sent_version: u64,
    pub(super) full_sent: Duration,
    pub(super) last_sent: Duration,
    /// Whether it was sent all endpoints that are known to leave.
    leaving_sent: bool,
    /// Number of the last origin of a stream that it was sent.
    origins_sent: u64,
    refused_sent: LastSent,
    /// Digests in the evidence about prompt parts that it was sent last.
    crashes_sent: LastSent,
    /// Digests of the loads that it was sent last.
    loads_sent: LastSent,
    /// Version of the configuration that was last announced or sent to it.
    config_sent: u64,
}

impl OrderController {
    /// Publishes what changed to all instances, this one included.
    pub(super) fn publish(
        &mut self,
        catalog: &Catalog,
        estimates: &[TargetCount],
        limits: &LimitGrants,
        now: Duration,
    ) {
        self.update_loads();
        let views = self.engine_views(now);
        let version = self
            .lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .version();
        let list_change = *self.gateway.list_change.borrow();
        let list_read_at = *self.gateway.list_read_at.borrow();
        let config_read_at = *self.gateway.config_read_at.borrow();
        let leaving = link::recently_leaving(&self.gateway);
        let (refused, crashes) = self.crash_notice(now);
        let crash_ids = crashes.ids();
        let loads = self.records.loads_in_progress(now);
        let load_ids = loads.ids();
        let detours = self.detours();
        let notice = self.config_notice(catalog);
        let origins_complete = self.gateway.stream_origins().is_complete(now);
        let brittle = self.gateway.servers.brittle_entries(now);
        let own_detours = detours.iter().filter_map(|a| a.parse().ok()).collect();
        self.gateway.detours.send_replace(own_detours);
        let live = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        self.gateway.servers.apply_views(&views, now);
        self.apply_own(estimates, limits, live, now);
        self.views
            .update(views.iter().map(EngineView::from_view).collect());
        for (number, peer) in &mut self.peers {
            let (origins, last_origin) =
                link::new_origins(&self.gateway, peer.origins_sent, Scope::All);
            let full_due = now >= peer.full_sent + FULL_VIEW_INTERVAL;
            let update = FleetUpdate {
                holding: true,
                row_version: version,
                clock_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
                live_instances: live,
                list_change,
                list_age_ms: link::millis(now.saturating_sub(list_read_at)),
                config_age_ms: link::millis(now.saturating_sub(config_read_at)),
                config: peer.unsent_config(&self.gateway),
                report_ms: peer.demand.clock_ms,
                config_version: notice.version,
                config_sources: peer.config_sources(&notice),
                engines: self
                    .views
                    .since(if full_due { 0 } else { peer.sent_version }),
                leaving: if peer.leaving_sent {
                    leaving.clone()
                } else {
                    link::all_leaving(&self.gateway)
                },
                limits: limits.entries(*number),
                ramps: self.ramps.entries(*number, full_due),
                grants_room: true,
                blames_requests: true,
                origins_complete,
                brittle: brittle.clone(),
                origins,
                detours: if peer.demand.cut_off {
                    detours.clone()
                } else {
                    Vec::new()
                },
                estimates: peer.relevant_estimates(estimates),
                refused: if full_due || peer.refused_sent.is_due(&refused) {
                    refused.clone()
                } else {
                    Vec::new()
                },
                crashes: (full_due || peer.crashes_sent.is_due(&crash_ids))
                    .then(|| crashes.clone()),
                loads: peer.loads_sent.is_due(&load_ids).then(|| loads.clone()),
                ..FleetUpdate::default()
            };
            let update_due = now >= peer.last_sent + MAX_UPDATE_INTERVAL;
            let has_news = notice.version > peer.config_known() || has_updates(&update);
            if full_due || update_due || has_news {
                peer.last_sent = now;
                if full_due {
                    peer.full_sent = now;
                }
                let sent = peer.updates.try_send(update).is_ok();
                peer.leaving_sent |= sent;
                if sent {
                    peer.origins_sent = last_origin;
                    peer.config_sent = peer.sent_config(catalog.version, notice.version);
                }
                peer.sent_version = if sent { self.views.version() } else { 0 };
                peer.refused_sent.record(&refused, sent);
                peer.crashes_sent.record(&crash_ids, sent);
                peer.loads_sent.record(&load_ids, sent);
            }
        }
        self.ramps.record_told();
    }

    /// Fingerprints of refused requests for instances of earlier builds, and the evidence for others.
    fn crash_notice(&self, now: Duration) -> (Vec<Fingerprint>, CrashEvidence) {
        let mut refused = self.gateway.crash_suspects().refused(now);
        let mut parts = self.gateway.crash_parts();
        parts.judge(now);
        refused.extend(parts.blamed_ids(now));
        (refused, parts.notice(now))
    }

    /// Views of the engines whose state is known.
    fn engine_views(&mut self, now: Duration) -> Vec<EndpointView> {
        let servers = &self.gateway.servers;
        self.records
            .iter_mut()
            .filter(|(_, record)| !record.state_unknown)
            .map(|(id, record)| EndpointView {
                id: id.clone(),
                started_ms: record.started_ms,
                accepted_orders: record.accepted_count(),
                models: record.models.clone(),
                unloading: record.unloading_models(),
                load: record.load,
                running: record.running,
                queued: record.queued,
                draining: record.leaving,
                models_running: record.models_running,
                pace_percent: servers.report_pace_percent(id, now),
            })
            .collect()
    }

    /// Takes over at this instance what others are sent.
    fn apply_own(&self, estimates: &[TargetCount], limits: &LimitGrants, live: u32, now: Duration) {
        let gateway = &self.gateway;
        gateway.budgets().resize(live);
        gateway.servers.hear_room_holder(live, now);
        link::apply_grants(gateway, &limits.entries(OWN_NUMBER), live);
        link::apply_ramps(gateway, &self.ramps.entries(OWN_NUMBER, true), live);
        for estimate in estimates {
            let key = (estimate.scope.clone(), estimate.target());
            gateway.set_estimate(key, Duration::from_millis(estimate.wait_ms.into()));
        }
    }

    /// Newest configuration at any instance and some that have it; announced to this one as well.
    fn config_notice(&self, catalog: &Catalog) -> ConfigNotice {
        let newest = self.demands().map(|d| d.config_version).max();
        let version = newest.unwrap_or_default().max(catalog.version);
        let peers = self.peers.values().map(|p| &p.demand);
        let has_it = peers.filter(|d| d.config_version == version);
        let mut sources: Vec<SocketAddr> = has_it.filter_map(|d| d.address.parse().ok()).collect();
        if sources.is_empty() && catalog.version == version {
            // Texts from the holder's own machine delay its orders and the echoes of its lease.
            sources.push(self.gateway.settings.peers_addr);
        }
        sources.shuffle(&mut rand::rng());
        sources.truncate(MAX_CONFIG_SOURCES);
        let notice = ConfigNotice { version, sources };
        let is_lacking = version > catalog.version;
        self.gateway.announce_config(ConfigNotice {
            version,
            sources: if is_lacking {
                notice.sources.clone()
            } else {
                Vec::new()
            },
        });
        notice
    }

    /// Addresses of some instances with a path to endpoints, if any instance has none.
    fn detours(&self) -> Vec<String> {
        if self.demands().all(|d| !d.cut_off) {
            return Vec::new();
        }
        let open = self
            .demands()
            .filter(|d| !d.cut_off && !d.address.is_empty());
        let mut addresses: Vec<String> = open.map(|d| d.address.clone()).collect();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(MAX_DETOURS);
        addresses
    }

    /// Sums up the requests that run at each engine, from all instances.
    fn update_loads(&mut self) {
        let mut loads: BTreeMap<String, (u32, BTreeSet<String>)> = BTreeMap::new();
        for demand in self.demands() {
            for count in &demand.running {
                let (load, models) = loads.entry(count.scope.clone()).or_default();
                *load += count.count;
                models.insert(count.model.clone());
            }
        }
        for (id, record) in self.records.iter_mut() {
            let (load, models) = loads.get(id).map_or((0, 0), |(l, m)| (*l, m.len()));
            record.load = load;
            record.models_running = u32::try_from(models).unwrap_or(u32::MAX);
        }
    }

    /// Estimated times until models with waiting requests can be served.
    pub(super) fn estimates(
        &self,
        catalog: &Catalog,
        demands: &BTreeMap<&str, BTreeMap<Target, TargetDemand>>,
        now: Duration,
    ) -> Vec<TargetCount> {
        let mut estimates = Vec::new();
        let loads_running = self.records.store_loads();
        for (service, engine) in catalog.engines() {
            let mut queued = 0;
            for (target, demand) in demands.get(service).into_iter().flatten() {
                if demand.waiting == 0 || target.adapter.is_some() {
                    continue;
                }
                let active = self.records.iter().filter_map(|(_, r)| r.swap.as_ref()).find(
                    |s| matches!(&s.change, EngineAction::LoadModel { model, .. } if *model == target.model),
                );
                let has_copy = self.records.iter().any(|(_, r)| {
                    r.disk.contains(&target.model) || r.models.contains_key(&target.model)
                });
                let cold = engine
                    .models
                    .get(&target.model)
                    .map_or(Duration::ZERO, |m| m.cold_load);
                let ready_in = match active {
                    Some(swap) => swap.expected_end.saturating_sub(now),
                    None if has_copy => continue,
                    None => {
                        queued += 1;
                        self.store_loads.queue_time(queued, loads_running, cold)
                    }
                };
                estimates.push(TargetCount {
                    scope: service.to_owned(),
                    model: target.model.clone(),
                    wait_ms: link::millis(ready_in),
                    ..TargetCount::default()
                });
            }
        }
        estimates
    }
}

impl Peer {
    /// A peer that has to be sent everything.
    pub(super) fn new(report: LinkReport) -> Self {
        Self {
            demand: report.demand,
            heard_at: report.heard_at,
            updates: report.updates,
            sent_version: 0,
            full_sent: Duration::ZERO,
            last_sent: Duration::ZERO,
            leaving_sent: false,
            origins_sent: 0,
            refused_sent: LastSent::default(),
            crashes_sent: LastSent::default(),
            loads_sent: LastSent::default(),
            config_sent: 0,
        }
    }

    /// Newest version of the configuration that it has, or that was announced or sent to it.
    fn config_known(&self) -> u64 {
        self.demand.config_version.max(self.config_sent)
    }

    /// Text of the configuration for an instance that does not fetch it, once for each link.
    fn unsent_config(&self, gateway: &Gateway) -> Bytes {
        if self.demand.fetches_config {
            return Bytes::new();
        }
        link::newer_config(gateway, self.config_known())
    }

    /// Version that an update announces or brings: the newest, or the text of the holder's `own`.
    const fn sent_config(&self, own: u64, newest: u64) -> u64 {
        if self.demand.fetches_config {
            newest
        } else {
            own
        }
    }

    /// Where an instance finds a configuration that it lacks.
    fn config_sources(&self, notice: &ConfigNotice) -> Vec<String> {
        if self.demand.config_version >= notice.version {
            return Vec::new();
        }
        notice.sources.iter().map(ToString::to_string).collect()
    }

    /// Estimates for the models that requests at this instance wait for.
    fn relevant_estimates(&self, estimates: &[TargetCount]) -> Vec<TargetCount> {
        let has_waiting = |e: &&TargetCount| {
            let waiting = self.demand.requested.iter().filter(|c| c.count > 0);
            let mut same = waiting.filter(|c| c.scope == e.scope && c.model == e.model);
            same.next().is_some()
        };
        estimates.iter().filter(has_waiting).cloned().collect()
    }
}

fn has_updates(update: &FleetUpdate) -> bool {
    !update.engines.is_empty()
        || !update.config.is_empty()
        || !update.refused.is_empty()
        || update.crashes.is_some()
        || update.loads.is_some()
        || update.limits.iter().any(|l| l.granted > 0)
        || !update.ramps.is_empty()
        || update
            .origins
            .as_ref()
            .is_some_and(OriginNotice::has_streams)
}
