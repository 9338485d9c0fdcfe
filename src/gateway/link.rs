//! Links between each instance and the holder of the lease on orders.
//!
//! Each instance reports its demand to the holder, which responds with its view of the engines. Any
//! other instance responds with the holder and the configuration that it knows, so that a new
//! instance can join through any of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::exchange::ConfigNotice;
use super::servers::EndpointView;
use super::shared::Gateway;
use super::stream_origins::{OriginNotice, Scope};

mod accept;
mod evidence;
mod holder;
mod limits;
mod loads;
mod message;
mod ramps;
mod report;
mod view;

use crate::peers::codec::{Frames, frames};
pub use accept::serve;
pub use evidence::{BlamedPart, BrokenRequest, CrashEvidence, EndpointDeath, SoundAnswer};
pub use holder::{HolderInfo, HolderLink};
pub(super) use limits::apply_grants;
pub use limits::{apply_limits, limit_entries};
pub use loads::{EngineLoad, LoadsNotice, ToldLoads};
pub use message::{DemandReport, FleetUpdate, LeavingEndpoint, LimitEntry, TargetCount};
pub(super) use ramps::apply_ramps;
pub use ramps::{PaceEntry, RampEntry};
pub use report::demand_report;
use report::{first_report, later_report, quota_report, room_report};
pub use view::{EngineView, ModelView};

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
                let counted_at = update.counted_at();
                let (list_age, config_age) = update.read_ages();
                let delay = apply_update(gateway, update);
                if !holding {
                    return redirect.filter(|redirect| *redirect != address);
                }
                let heard_at = gateway.now();
                let sent_at = heard_at.saturating_sub(delay);
                let list_read_at = sent_at.saturating_sub(list_age);
                let list_read_since = holder_link.borrow().unbroken_since(address, list_read_at);
                let next = HolderLink {
                    up: true,
                    address: Some(address),
                    row_version,
                    heard_at,
                    counted_at,
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
    gateway.announce_config(ConfigNotice {
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
