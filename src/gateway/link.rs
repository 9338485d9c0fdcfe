//! Links between an instance and the holder of the lease on orders.
//!
//! Each instance tells the holder its demand; the holder answers with its view of the engines. Any
//! instance answers a newcomer with the holder and the configuration that it knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::lease::LeaseRow;
use super::servers::View;
use super::shared::Gateway;

mod message;

use crate::peers::codec::{Frames, frames};
pub use message::{DemandReport, EngineView, FleetUpdate, ModelView, TargetCount};

/// Longest time to open a link or to hear the other side.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two reports of demand where nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time over which changes of demand are gathered into one report.
const REPORT_DELAY: Duration = Duration::from_millis(4);
/// Silence after which a link is given up: several intervals of either side.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before a link is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Frames that wait for a slow link.
const MAX_QUEUED_UPDATES: usize = 64;

/// What the holder hears.
#[derive(Debug)]
pub enum LinkEvent {
    /// An instance reported; its answers go through the channel.
    Report(u64, DemandReport, mpsc::Sender<FleetUpdate>),
    /// Its link is gone.
    Closed(u64),
}

/// The link to the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderLink {
    /// Whether it is up.
    pub up: bool,
    /// Address of the holder that was heard last.
    pub address: Option<SocketAddr>,
    /// Version of the lease's row in the newest outlook.
    pub row_version: u64,
    /// When that came.
    pub heard_at: Duration,
}

impl HolderLink {
    /// The holder's row, as far as a link tells it.
    #[must_use]
    pub fn lease_row(&self) -> Option<LeaseRow> {
        let address = self.address?;
        Some(LeaseRow {
            holder: address.to_string(),
            address,
            released: false,
        })
    }
}

/// What is known of the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderInfo {
    /// Whether this instance holds the lease.
    pub holding: bool,
    /// Address of the holder.
    pub holder: Option<SocketAddr>,
}

/// The demand at this instance.
#[must_use]
pub fn demand_report(gateway: &Gateway) -> DemandReport {
    let now = gateway.now();
    let requested = gateway
        .board
        .take()
        .into_iter()
        .map(|((service, target), asked)| {
            let oldest = asked.waiting.values().min().copied().unwrap_or(now);
            TargetCount {
                count: u32::try_from(asked.waiting.len()).unwrap_or(u32::MAX),
                arrivals: asked.arrivals,
                wait_ms: millis(now.saturating_sub(oldest)),
                ..TargetCount::new(&service, &target)
            }
        });
    let requested = requested.collect();
    let mut running = Vec::new();
    let catalog = gateway.catalog();
    for (service, _) in catalog.iter().flat_map(|c| c.engines()) {
        for (id, target, count) in gateway.servers.running(service) {
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
        aborted: gateway.suspicion().take_untold(),
        clock_echo: 0,
    }
}

fn config_version(gateway: &Gateway) -> u64 {
    let in_force = gateway.in_force.borrow();
    in_force.as_ref().map_or(0, |f| f.catalog.version)
}

/// Milliseconds, as messages carry them.
#[must_use]
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Text of the configuration in force, where an instance has an older one.
#[must_use]
pub fn newer_config(gateway: &Gateway, known: u64) -> String {
    let in_force = gateway.in_force.borrow();
    match in_force.as_ref() {
        Some(f) if f.catalog.version > known => f.text.to_string(),
        _ => String::new(),
    }
}

/// Serves links of other instances until the process ends.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    holder_info: watch::Receiver<HolderInfo>,
    events: mpsc::Sender<LinkEvent>,
) {
    let mut link_id = 0;
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        link_id += 1;
        log::debug!(from:% = from, link = link_id; "link opened");
        let task = serve_link(
            Arc::clone(&gateway),
            stream,
            holder_info.clone(),
            events.clone(),
            link_id,
        );
        tokio::spawn(task);
    }
}

async fn serve_link(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    holder_info: watch::Receiver<HolderInfo>,
    events: mpsc::Sender<LinkEvent>,
    link_id: u64,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot tune a link");
    }
    let mut link = frames(stream);
    let (outgoing, mut updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    loop {
        let update: Option<FleetUpdate> = tokio::select! {
            frame = timeout(SILENCE_TIMEOUT, link.next()) => {
                let Ok(Some(Ok(bytes))) = frame else { break };
                let Ok(report) = DemandReport::decode(bytes) else { break };
                let known = holder_info.borrow().clone();
                if known.holding {
                    let message = LinkEvent::Report(link_id, report, outgoing.clone());
                    if events.send(message).await.is_err() {
                        break;
                    }
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
    if events.send(LinkEvent::Closed(link_id)).await.is_err() {
        log::debug!("the instance is stopping");
    }
}

async fn send(link: &mut Frames, message: &impl Message) -> Option<()> {
    let bytes = Bytes::from(message.encode_to_vec());
    timeout(SILENCE_TIMEOUT, link.send(bytes)).await.ok()?.ok()
}

/// Keeps a link to the lease holder until the process ends; `linked` says whether there is one.
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
        let seeds = &gateway.settings.seeds;
        let own_address = gateway.settings.peers;
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

/// Runs one link; returns the holder that the other side names, where it is another.
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
    send(&mut link, &demand_report(gateway)).await?;
    loop {
        let next_report = last_report + REPORT_INTERVAL;
        let mut report_due = false;
        tokio::select! {
            frame = link.next() => {
                let update = FleetUpdate::decode(frame?.ok()?).ok()?;
                last_update = Instant::now();
                clock_echo = update.clock_ms;
                let holding = update.holding;
                let redirect = update.holder.parse().ok();
                let row_version = update.row_version;
                apply_update(gateway, update);
                if !holding {
                    return redirect.filter(|redirect| *redirect != address);
                }
                let next = HolderLink {
                    up: true,
                    address: Some(address),
                    row_version,
                    heard_at: gateway.now(),
                };
                if !holder_link.send_replace(next).up {
                    log::info!(dependency = "lease holder", address:% = address;
                        "dependency regained");
                }
            }
            () = gateway.board.changed.notified() => {
                sleep(REPORT_DELAY).await;
                report_due = true;
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
            let report = DemandReport {
                clock_echo,
                ..demand_report(gateway)
            };
            send(&mut link, &report).await?;
            last_report = Instant::now();
        }
    }
}

/// Takes over what another instance told.
pub fn apply_update(gateway: &Gateway, update: FleetUpdate) {
    if !update.config.is_empty() {
        gateway.adopt_config(&update.config, "link");
    }
    if !update.holding {
        return;
    }
    gateway.budgets().resize(update.live_instances);
    gateway.suspicion().adopt(&update.refused);
    for estimate in update.estimates {
        let ready_in = Duration::from_millis(estimate.wait_ms.into());
        gateway.estimate((estimate.scope.clone(), estimate.target()), ready_in);
    }
    let views: Vec<View> = update.engines.iter().map(EngineView::to_view).collect();
    if !views.is_empty() {
        gateway.servers.view(&views, gateway.now());
    }
}
