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
use super::servers::EndpointView;
use super::shared::Gateway;

mod message;

use crate::peers::codec::{Frames, frames};
pub use message::{Count, Demand, EngineView, ModelView, Outlook};

/// Longest time to open a link or to hear the other side.
const CONNECT: Duration = Duration::from_millis(600);
/// Time between two reports of demand where nothing changes.
const REPORT: Duration = Duration::from_millis(200);
/// Time over which changes of demand are gathered into one report.
const GATHER: Duration = Duration::from_millis(4);
/// Silence after which a link is given up: several intervals of either side.
const SILENT: Duration = Duration::from_millis(1200);
/// Pause before a link is tried again.
const AGAIN: Duration = Duration::from_millis(150);
/// Frames that wait for a slow link.
const QUEUED: usize = 64;

/// What the holder hears.
#[derive(Debug)]
pub enum LinkEvent {
    /// An instance reported; its answers go through the channel.
    Demand(u64, Demand, mpsc::Sender<Outlook>),
    /// Its link is gone.
    Gone(u64),
}

/// The link to the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Linked {
    /// Whether it is up.
    pub up: bool,
    /// Address of the holder that was heard last.
    pub holder: Option<SocketAddr>,
    /// Version of the lease's row in the newest outlook.
    pub version: u64,
    /// When that came.
    pub heard: Duration,
}

impl Linked {
    /// The holder's row, as far as a link tells it.
    #[must_use]
    pub fn row(&self) -> Option<LeaseRow> {
        let address = self.holder?;
        Some(LeaseRow {
            holder: address.to_string(),
            address,
            released: false,
        })
    }
}

/// What is known of the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Whereabouts {
    /// Whether this instance holds the lease.
    pub holding: bool,
    /// Address of the holder.
    pub holder: Option<SocketAddr>,
}

/// The demand at this instance.
#[must_use]
pub fn demand(gateway: &Gateway) -> Demand {
    let now = gateway.now();
    let asked = gateway
        .demand
        .take_demand()
        .into_iter()
        .map(|((service, target), asked)| {
            let first = asked.waiting.values().min().copied().unwrap_or(now);
            Count {
                count: u32::try_from(asked.waiting.len()).unwrap_or(u32::MAX),
                arrivals: asked.arrivals,
                millis: millis(now.saturating_sub(first)),
                ..Count::new(&service, &target)
            }
        });
    let asked = asked.collect();
    let mut running = Vec::new();
    let catalog = gateway.catalog();
    for (service, _) in catalog.iter().flat_map(|c| c.engines()) {
        for (id, target, count) in gateway.servers.running_requests(service) {
            running.push(Count {
                count,
                ..Count::new(&id, &target)
            });
        }
    }
    Demand {
        name: gateway.settings.name.clone(),
        version: version(gateway),
        asked,
        running,
        broke: gateway.crash_suspects().take_unreported(),
        echo: 0,
    }
}

fn version(gateway: &Gateway) -> u64 {
    let in_force = gateway.active_config.borrow();
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
    let in_force = gateway.active_config.borrow();
    match in_force.as_ref() {
        Some(f) if f.catalog.version > known => f.text.to_string(),
        _ => String::new(),
    }
}

/// Serves links of other instances until the process ends.
pub async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    whereabouts: watch::Receiver<Whereabouts>,
    heard: mpsc::Sender<LinkEvent>,
) {
    let mut number = 0;
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(AGAIN).await;
            continue;
        };
        number += 1;
        log::debug!(from:% = from, link = number; "link opened");
        let task = answer(
            Arc::clone(&gateway),
            stream,
            whereabouts.clone(),
            heard.clone(),
            number,
        );
        tokio::spawn(task);
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    whereabouts: watch::Receiver<Whereabouts>,
    heard: mpsc::Sender<LinkEvent>,
    number: u64,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot tune a link");
    }
    let mut link = frames(stream);
    let (to_peer, mut answers) = mpsc::channel(QUEUED);
    loop {
        let outlook: Option<Outlook> = tokio::select! {
            frame = timeout(SILENT, link.next()) => {
                let Ok(Some(Ok(bytes))) = frame else { break };
                let Ok(demand) = Demand::decode(bytes) else { break };
                let known = whereabouts.borrow().clone();
                if known.holding {
                    let message = LinkEvent::Demand(number, demand, to_peer.clone());
                    if heard.send(message).await.is_err() {
                        break;
                    }
                    None
                } else {
                    Some(Outlook {
                        holder: known.holder.map(|h| h.to_string()).unwrap_or_default(),
                        config: newer_config(&gateway, demand.version),
                        ..Outlook::default()
                    })
                }
            }
            outlook = answers.recv() => outlook,
        };
        if let Some(outlook) = outlook
            && send(&mut link, &outlook).await.is_none()
        {
            break;
        }
    }
    if heard.send(LinkEvent::Gone(number)).await.is_err() {
        log::debug!("the instance is stopping");
    }
}

async fn send(link: &mut Frames, message: &impl Message) -> Option<()> {
    let bytes = Bytes::from(message.encode_to_vec());
    timeout(SILENT, link.send(bytes)).await.ok()?.ok()
}

/// Keeps a link to the lease holder until the process ends; `linked` says whether there is one.
pub async fn follow(
    gateway: Arc<Gateway>,
    mut whereabouts: watch::Receiver<Whereabouts>,
    linked: watch::Sender<Linked>,
) {
    let mut seed = 0;
    let mut hint: Option<SocketAddr> = None;
    loop {
        let known = whereabouts.borrow_and_update().clone();
        if known.holding {
            linked.send_modify(|l| l.up = false);
            if whereabouts.changed().await.is_err() {
                return;
            }
            continue;
        }
        let seeds = &gateway.settings.seed_addrs;
        let me = gateway.settings.peers_addr;
        let next = hint.take().or(known.holder).or_else(|| {
            seed += 1;
            seeds.get(seed % seeds.len().max(1)).copied()
        });
        if let Some(to) = next.filter(|to| *to != me) {
            hint = session(&gateway, to, &mut whereabouts, &linked).await;
        }
        if linked.send_if_modified(|l| std::mem::replace(&mut l.up, false)) {
            log::warn!(dependency = "lease holder"; "dependency lost");
        }
        sleep(AGAIN).await;
    }
}

/// Runs one link; returns the holder that the other side names, where it is another.
async fn session(
    gateway: &Arc<Gateway>,
    to: SocketAddr,
    whereabouts: &mut watch::Receiver<Whereabouts>,
    linked: &watch::Sender<Linked>,
) -> Option<SocketAddr> {
    let stream = timeout(CONNECT, TcpStream::connect(to)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut link = frames(stream);
    let mut told = Instant::now();
    let mut heard = Instant::now();
    let mut echo = 0;
    send(&mut link, &demand(gateway)).await?;
    loop {
        let due = told + REPORT;
        let mut report = false;
        tokio::select! {
            frame = link.next() => {
                let outlook = Outlook::decode(frame?.ok()?).ok()?;
                heard = Instant::now();
                echo = outlook.clock;
                let holding = outlook.holding;
                let named = outlook.holder.parse().ok();
                let version = outlook.version;
                adopt(gateway, outlook);
                if !holding {
                    return named.filter(|named| *named != to);
                }
                let next = Linked {
                    up: true,
                    holder: Some(to),
                    version,
                    heard: gateway.now(),
                };
                if !linked.send_replace(next).up {
                    log::info!(dependency = "lease holder", address:% = to; "dependency regained");
                }
            }
            () = gateway.demand.changed.notified() => {
                sleep(GATHER).await;
                report = true;
            }
            () = tokio::time::sleep_until(due) => report = true,
            changed = whereabouts.changed() => {
                changed.ok()?;
                let known = whereabouts.borrow_and_update().clone();
                if known.holding || known.holder.is_some_and(|h| h != to) {
                    return None;
                }
            }
        }
        if heard.elapsed() > SILENT {
            return None;
        }
        if report {
            let demand = Demand {
                echo,
                ..demand(gateway)
            };
            send(&mut link, &demand).await?;
            told = Instant::now();
        }
    }
}

/// Takes over what another instance told.
pub fn adopt(gateway: &Gateway, outlook: Outlook) {
    if !outlook.config.is_empty() {
        gateway.activate_config(&outlook.config, "link");
    }
    if !outlook.holding {
        return;
    }
    gateway.budgets().resize(outlook.live);
    gateway.crash_suspects().merge_refused(&outlook.refused);
    for estimate in outlook.estimates {
        let ready_in = Duration::from_millis(estimate.millis.into());
        gateway.set_estimate((estimate.place.clone(), estimate.target()), ready_in);
    }
    let views: Vec<EndpointView> = outlook.engines.iter().map(EngineView::view).collect();
    if !views.is_empty() {
        gateway.servers.apply_views(&views, gateway.now());
    }
}
