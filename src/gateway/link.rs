//! Links between each instance and the holder of the lease on orders.
//!
//! Each instance reports its demand to the holder, which responds with its view of the engines. Any
//! other instance responds with the holder and the configuration that it knows, so that a new
//! instance can join through any of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::exchange::{self, ConfigNotice};
use super::lease::LeaseRow;
use super::orders::inbox::{DemandInbox, LinkReport};
use super::protocol::Target;
use super::quotas::message::QuotaReport;
use super::room::message::RoomReport;
use super::servers::EndpointView;
use super::shared::{Gateway, ModelDemand, WaitingRequest};
use super::stream_origins::{OriginNotice, Scope};

mod evidence;
mod limits;
mod loads;
mod message;
mod ramps;

use crate::peers::codec::{Frames, accepted_frames, frames};
pub use evidence::{BlamedPart, BrokenRequest, CrashEvidence, EndpointDeath, SoundAnswer};
pub(super) use limits::apply_grants;
pub use limits::{apply_limits, limit_entries};
pub use loads::{EngineLoad, LoadsNotice, ToldLoads};
pub use message::{
    DemandReport, EngineView, FleetUpdate, LeavingEndpoint, LimitEntry, ModelView, TargetCount,
};
pub(super) use ramps::apply_ramps;
pub use ramps::{PaceEntry, RampEntry};

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between two demand reports without a change.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which changes in demand are collected into one report.
const REPORT_DELAY: Duration = Duration::from_millis(4);
/// Time for which changes at brittle endpoints are collected into one report.
const ROOM_DELAY: Duration = Duration::from_millis(2);
/// Silence after which a link is closed: several report or update intervals.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before a failed connect or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest time between two reads of the server list by a holder that the store answers.
const MAX_LIST_GAP: Duration = Duration::from_millis(1500);
/// Most links that others have opened.
const MAX_LINKS: usize = 1024;
/// Most large frames that arrive on them at a time.
const MAX_LARGE_FRAMES: usize = 16;
/// Most updates queued for a slow link.
const MAX_QUEUED_UPDATES: usize = 64;

/// State of the link to the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderLink {
    /// Whether the link is up.
    pub up: bool,
    /// Address of the holder that sent the last update.
    pub address: Option<SocketAddr>,
    /// Version of the lease row in the last update.
    pub row_version: u64,
    /// When the last update was received.
    pub heard_at: Duration,
    /// When the holder last read the server list, as of the last update.
    pub list_read_at: Duration,
    /// Since when the holder has read the server list without a gap, as far as this link has shown.
    pub list_read_since: Duration,
    /// When the holder last read the configuration, as of the last update.
    pub config_read_at: Duration,
}

impl HolderLink {
    /// Start of the holder's unbroken reading of the server list, after it was last read at `read_at`.
    ///
    /// Another holder and a new link begin anew, as nothing is known of the time before.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::link::HolderLink;
    ///
    /// let address = ([127, 0, 0, 1], 9).into();
    /// let link = HolderLink {
    ///     up: true,
    ///     address: Some(address),
    ///     list_read_at: Duration::from_secs(20),
    ///     list_read_since: Duration::from_secs(10),
    ///     ..HolderLink::default()
    /// };
    /// let (soon, late) = (Duration::from_secs(21), Duration::from_secs(25));
    /// assert_eq!(link.unbroken_since(address, soon), Duration::from_secs(10));
    /// assert_eq!(link.unbroken_since(address, late), late);
    /// ```
    #[must_use]
    pub fn unbroken_since(&self, address: SocketAddr, read_at: Duration) -> Duration {
        let is_same = self.up && self.address == Some(address);
        if is_same && read_at <= self.list_read_at + MAX_LIST_GAP {
            self.list_read_since
        } else {
            read_at
        }
    }

    /// Since when the holder has read the server list without a gap until now; none if it does not.
    #[must_use]
    pub fn reading_since(&self, now: Duration) -> Option<Duration> {
        let is_reading = self.up && now <= self.list_read_at + MAX_LIST_GAP;
        is_reading.then_some(self.list_read_since)
    }

    /// Lease row of the holder as known from the link.
    ///
    /// Updates do not carry the holder's name, so its address takes the place of the name.
    #[must_use]
    pub fn lease_row(&self) -> Option<LeaseRow> {
        let address = self.address?;
        Some(LeaseRow {
            holder: address.to_string(),
            address,
            released: false,
            era: 0,
            successors: None,
        })
    }
}

/// Lease holder as known to this instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderInfo {
    /// Whether this instance holds the lease.
    pub holding: bool,
    /// Address of the holder, if it is another instance.
    pub holder: Option<SocketAddr>,
}

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

/// Takes over where streams began at other instances.
pub(super) fn apply_origins(gateway: &Gateway, origins: Option<&OriginNotice>) {
    if let Some(notice) = origins {
        gateway.stream_origins().apply(notice, gateway.now());
        gateway.origins_told.notify_waiters();
    }
}

/// Records that the holder has sent all software versions that may have begun a stream.
pub(super) fn complete_origins(gateway: &Gateway) {
    let mut origins = gateway.stream_origins();
    if !origins.is_complete(gateway.now()) {
        origins.complete();
        drop(origins);
        gateway.origins_told.notify_waiters();
    }
}

/// What this instance knows about parts of prompts under which endpoints end, if anything.
fn crash_report(gateway: &Gateway, all: bool) -> Option<CrashEvidence> {
    let report = gateway.crash_parts().report(all, gateway.now());
    (report != CrashEvidence::default()).then_some(report)
}

/// Endpoints that were recently found to leave, as a message says it.
#[must_use]
pub fn recently_leaving(gateway: &Gateway) -> Vec<LeavingEndpoint> {
    let marks = gateway.servers.recently_leaving(gateway.now());
    marks.into_iter().map(LeavingEndpoint::from).collect()
}

/// All endpoints that are known to leave, for an instance that may know of none.
#[must_use]
pub fn all_leaving(gateway: &Gateway) -> Vec<LeavingEndpoint> {
    let marks = gateway.servers.copy_marks(gateway.now());
    marks
        .into_iter()
        .map(|copied| LeavingEndpoint::from(copied.mark))
        .collect()
}

/// Takes over which endpoints another instance found to leave.
pub fn apply_leaving(gateway: &Gateway, leaving: &[LeavingEndpoint]) {
    for LeavingEndpoint { id, started_ms } in leaving {
        let now = gateway.now();
        gateway.servers.mark_leaving(id, *started_ms, "link", now);
    }
}

fn config_version(gateway: &Gateway) -> u64 {
    let in_force = gateway.active_config.borrow();
    in_force.as_ref().map_or(0, |f| f.catalog.version)
}

/// Converts a duration to milliseconds as used in messages and log fields.
#[must_use]
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Text of the configuration in force if it is newer than `known_version`, else empty.
#[must_use]
pub fn newer_config(gateway: &Gateway, known_version: u64) -> Bytes {
    let in_force = gateway.active_config.borrow();
    match in_force.as_ref() {
        Some(f) if f.catalog.version > known_version => f.text.clone(),
        _ => Bytes::new(),
    }
}

/// Accepts links from other instances until the process exits.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    holder_info: watch::Receiver<HolderInfo>,
    inbox: Arc<DemandInbox>,
) {
    let mut link_id = 0;
    let slots = Arc::new(Semaphore::new(MAX_LINKS));
    let large = Arc::new(Semaphore::new(MAX_LARGE_FRAMES));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!(from:% = from; "too many links; closing a new one");
            continue;
        };
        link_id += 1;
        log::debug!(from:% = from, link = link_id; "link opened");
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "cannot set TCP_NODELAY on a link");
        }
        let task = serve_link(
            Arc::clone(&gateway),
            accepted_frames(stream, &large),
            holder_info.clone(),
            Arc::clone(&inbox),
            link_id,
        );
        tokio::spawn(async move {
            task.await;
            drop(slot);
        });
    }
}

async fn serve_link(
    gateway: Arc<Gateway>,
    mut link: Frames,
    holder_info: watch::Receiver<HolderInfo>,
    inbox: Arc<DemandInbox>,
    link_id: u64,
) {
    let (outgoing, mut updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    loop {
        let update: Option<FleetUpdate> = tokio::select! {
            frame = timeout(SILENCE_TIMEOUT, link.next()) => {
                let Ok(Some(Ok(bytes))) = frame else { break };
                let Ok(mut report) = DemandReport::decode(bytes) else { break };
                apply_origins(&gateway, report.origins.take().as_ref());
                if let Some(told) = report.exchange {
                    if exchange::serve(&gateway, link, told).await.is_none() {
                        log::trace!(link = link_id; "exchange ended");
                    }
                    return;
                }
                let quotas = report.quotas.take();
                let room = report.room.take();
                let is_whole = quotas.as_ref().is_none_or(|q| !q.only)
                    && room.as_ref().is_none_or(|r| !r.only);
                if let Some(quotas) = quotas {
                    gateway.quotas.serve(&gateway, link_id, &report.instance, &quotas, &outgoing);
                }
                if let Some(room) = room {
                    gateway.room.serve(&gateway, link_id, &room, &outgoing);
                }
                let known = holder_info.borrow().clone();
                if !is_whole {
                    None
                } else if known.holding {
                    // The instance knew what it reports after this reading of the holder's clock.
                    gateway.record_known(Duration::from_millis(report.clock_echo));
                    inbox.report(link_id, LinkReport {
                        demand: report,
                        updates: outgoing.clone(),
                        heard_at: gateway.now(),
                    });
                    None
                } else {
                    Some(FleetUpdate {
                        holder: known.holder.map(|h| h.to_string()).unwrap_or_default(),
                        config: newer_config(&gateway, report.config_version),
                        ..FleetUpdate::default()
                    })
                }
            }
            update = updates.recv() => update,
        };
        if let Some(update) = update
            && send(&mut link, &update).await.is_none()
        {
            break;
        }
    }
    inbox.close(link_id);
    gateway.quotas.close(link_id, gateway.now());
    gateway.room.close(link_id, gateway.now());
}

pub(super) async fn send(link: &mut Frames, message: &impl Message) -> Option<()> {
    let bytes = Bytes::from(message.encode_to_vec());
    timeout(SILENCE_TIMEOUT, link.send(bytes)).await.ok()?.ok()
}

/// Maintains a link to the lease holder until the process exits; `holder_link` has its state.
pub async fn maintain_link(
    gateway: Arc<Gateway>,
    mut holder_info: watch::Receiver<HolderInfo>,
    holder_link: watch::Sender<HolderLink>,
) {
    let mut seed_index = 0;
    let mut redirect: Option<SocketAddr> = None;
    loop {
        let known = holder_info.borrow_and_update().clone();
        if known.holding {
            holder_link.send_modify(|l| l.up = false);
            if holder_info.changed().await.is_err() {
                return;
            }
            continue;
        }
        let seeds = &gateway.settings.seed_addrs;
        let own_address = gateway.settings.peers_addr;
        let next = redirect.take().or(known.holder).or_else(|| {
            seed_index += 1;
            seeds.get(seed_index % seeds.len().max(1)).copied()
        });
        if let Some(address) = next.filter(|address| *address != own_address) {
            redirect = run_link(&gateway, address, &mut holder_info, &holder_link).await;
        }
        if holder_link.send_if_modified(|l| std::mem::replace(&mut l.up, false)) {
            log::warn!(dependency = "lease holder"; "dependency lost");
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Runs one link until it ends; returns the holder named by the peer if that is another one.
async fn run_link(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
    holder_info: &mut watch::Receiver<HolderInfo>,
    holder_link: &watch::Sender<HolderLink>,
) -> Option<SocketAddr> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut link = frames(stream);
    let mut last_report = Instant::now();
    let mut last_update = Instant::now();
    let mut clock_echo = 0;
    gateway.quotas.credit().begin_link();
    gateway.servers.begin_room_link();
    // Only a holder that says so knows reports about room alone.
    let mut grants_room = false;
    let (first, mut origins_sent) = first_report(gateway);
    send(&mut link, &first).await?;
    loop {
        let next_report = last_report + REPORT_INTERVAL;
        let mut report_due = false;
        tokio::select! {
            frame = link.next() => {
                let update = FleetUpdate::decode(frame?.ok()?).ok()?;
                if let Some(quotas) = &update.quotas {
                    gateway.quotas.apply(gateway, quotas);
                    continue;
                }
                if let Some(room) = &update.room {
                    gateway.servers.apply_room(room, gateway.now());
                    continue;
                }
                last_update = Instant::now();
                grants_room = update.grants_room;
                clock_echo = update.clock_ms;
                let holding = update.holding;
                let redirect = update.holder.parse().ok();
                let row_version = update.row_version;
                let list_age = Duration::from_millis(update.list_age_ms.into());
                let config_age = Duration::from_millis(update.config_age_ms.into());
                let way = apply_update(gateway, update);
                if !holding {
                    return redirect.filter(|redirect| *redirect != address);
                }
                let heard_at = gateway.now();
                let sent_at = heard_at.saturating_sub(way);
                let list_read_at = sent_at.saturating_sub(list_age);
                let list_read_since = holder_link.borrow().unbroken_since(address, list_read_at);
                let next = HolderLink {
                    up: true,
                    address: Some(address),
                    row_version,
                    heard_at,
                    list_read_at,
                    list_read_since,
                    config_read_at: sent_at.saturating_sub(config_age),
                };
                if !holder_link.send_replace(next).up {
                    log::info!(dependency = "lease holder", address:% = address;
                        "dependency regained");
                }
            }
            () = gateway.demand.changed.notified() => {
                sleep(REPORT_DELAY).await;
                report_due = true;
            }
            () = gateway.quotas.urgent.notified() => {
                sleep(REPORT_DELAY).await;
                if let Some(urgent) = quota_report(gateway) {
                    send(&mut link, &urgent).await?;
                }
            }
            () = gateway.servers.room_changed().notified() => {
                sleep(ROOM_DELAY).await;
                if let Some(urgent) = room_report(gateway).filter(|_| grants_room) {
                    send(&mut link, &urgent).await?;
                }
            }
            () = tokio::time::sleep_until(next_report) => report_due = true,
            changed = holder_info.changed() => {
                changed.ok()?;
                let known = holder_info.borrow_and_update().clone();
                if known.holding || known.holder.is_some_and(|h| h != address) {
                    return None;
                }
            }
        }
        if last_update.elapsed() > SILENCE_TIMEOUT {
            return None;
        }
        if report_due {
            let (mut report, last_origin) = later_report(gateway, origins_sent);
            report.clock_echo = clock_echo;
            if grants_room {
                report.room = gateway.servers.room_report(gateway.now());
            }
            origins_sent = last_origin;
            send(&mut link, &report).await?;
            last_report = Instant::now();
        }
    }
}

/// The first report on a link, with all that a new holder may lack, and the number of its last stream.
fn first_report(gateway: &Gateway) -> (DemandReport, u64) {
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
fn later_report(gateway: &Gateway, origins_sent: u64) -> (DemandReport, u64) {
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
fn quota_report(gateway: &Gateway) -> Option<DemandReport> {
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
fn room_report(gateway: &Gateway) -> Option<DemandReport> {
    let room = gateway.servers.room_report(gateway.now())?;
    Some(DemandReport {
        instance: gateway.settings.name.clone(),
        room: Some(RoomReport { only: true, ..room }),
        ..DemandReport::default()
    })
}

/// Where streams began since a number of their records, and the number of the last one.
pub(super) fn new_origins(
    gateway: &Gateway,
    after: u64,
    scope: Scope,
) -> (Option<OriginNotice>, u64) {
    let origins = gateway.stream_origins();
    let notice = origins.new_notice(after, scope, gateway.now());
    (notice, origins.last_number())
}

/// Applies an update from another instance.
///
/// Returns how much longer than others it was on its way, if the sender holds the lease.
pub fn apply_update(gateway: &Gateway, update: FleetUpdate) -> Duration {
    match std::str::from_utf8(&update.config) {
        Ok("") => {}
        Ok(config) => gateway.activate_config(config, "link"),
        Err(error) => log::error!(error:% = error; "configuration of another instance is no text"),
    }
    if !update.holding {
        return Duration::ZERO;
    }
    let now = gateway.now();
    let age = gateway
        .quotas
        .credit()
        .hear(update.clock_ms, update.live_instances, now);
    if update.grants_room {
        let now = gateway.now();
        gateway.servers.hear_room_holder(update.live_instances, now);
        gateway.servers.merge_brittle(&update.brittle, now);
    }
    gateway.note_config(ConfigNotice {
        version: update.config_version,
        sources: update
            .config_sources
            .iter()
            .filter_map(|a| a.parse().ok())
            .collect(),
    });
    gateway.record_list_change(update.list_change);
    apply_leaving(gateway, &update.leaving);
    apply_origins(gateway, update.origins.as_ref());
    // The first update of a link has all records of the holder. Earlier builds say neither.
    if update.origins_complete || !update.grants_room {
        complete_origins(gateway);
    }
    if !update.detours.is_empty() {
        let detours = update.detours.iter().filter_map(|a| a.parse().ok());
        gateway.detours.send_replace(detours.collect());
    }
    apply_grants(gateway, &update.limits, update.live_instances);
    apply_ramps(gateway, &update.ramps, update.live_instances);
    gateway.budgets().resize(update.live_instances);
    if !update.blames_requests {
        let now = gateway.now();
        gateway.crash_suspects().merge_refused(&update.refused, now);
    }
    if let Some(notice) = &update.crashes {
        gateway.crash_parts().apply_notice(notice, gateway.now());
    }
    if let Some(notice) = update.loads {
        let heard_at = gateway.now();
        *gateway.told_loads() = ToldLoads { notice, heard_at };
    }
    for estimate in update.estimates {
        let ready_in = Duration::from_millis(estimate.wait_ms.into());
        gateway.set_estimate((estimate.scope.clone(), estimate.target()), ready_in);
    }
    let views: Vec<EndpointView> = update.engines.iter().map(EngineView::to_view).collect();
    if !views.is_empty() {
        gateway.servers.apply_views(&views, gateway.now());
    }
    // An instance that stood still finds old updates first.
    gateway.record_known(now.saturating_sub(age));
    age
}
