//! Links between an instance and the holder of the lease on orders.
//!
//! Each instance tells the holder its demand; the holder answers with its view of the engines. Any
//! instance answers a newcomer with the holder and the configuration that it knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::edge::Target;
use super::lease::LeaseRow;
use super::servers::View;
use super::shared::Gateway;
use crate::peers::codec::{Frames, frames};

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

/// A model or adapter and numbers about it.
#[derive(Clone, PartialEq, Message)]
pub struct Count {
    /// Service, or id of an endpoint.
    #[prost(string, tag = "1")]
    pub place: String,
    /// Base model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Adapter; empty for the base model.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests that wait, or run.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Requests that came since the last report.
    #[prost(uint32, tag = "5")]
    pub arrivals: u32,
    /// Milliseconds that the first of them has waited, or until it can be served.
    #[prost(uint32, tag = "6")]
    pub millis: u32,
}

impl Count {
    /// The model or adapter.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            model: self.model.clone(),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.clone()),
        }
    }

    fn new(place: &str, target: &Target) -> Self {
        Self {
            place: place.to_owned(),
            model: target.model.clone(),
            adapter: target.adapter.clone().unwrap_or_default(),
            ..Self::default()
        }
    }
}

/// What an instance tells the holder.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version of its configuration; 0 where it has none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Requests that wait or came, by service.
    #[prost(message, repeated, tag = "3")]
    pub asked: Vec<Count>,
    /// Requests that run, by endpoint.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<Count>,
    /// Fingerprints of requests at which endpoints broke off.
    #[prost(fixed64, repeated, tag = "5")]
    pub broke: Vec<u64>,
    /// Milliseconds of the holder's clock in the newest outlook that was heard from it; 0 before.
    #[prost(uint64, tag = "6")]
    pub echo: u64,
}

/// A model of an engine, as the holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct ModelView {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
    /// Whether it is about to be unloaded.
    #[prost(bool, tag = "3")]
    pub closing: bool,
}

/// An engine, as the holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct EngineView {
    /// Id of the incarnation.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Orders that it accepted.
    #[prost(uint64, tag = "3")]
    pub accepted: u64,
    /// Its models.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ModelView>,
    /// Requests that run there, from all instances.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Requests that its engine ran when it reported last.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that waited in its engine then.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
}

impl EngineView {
    /// Encodes a view.
    #[must_use]
    pub fn of(view: &View) -> Self {
        let mut models: Vec<ModelView> = view
            .models
            .iter()
            .map(|(name, adapters)| ModelView {
                name: name.clone(),
                adapters: adapters.iter().cloned().collect(),
                closing: false,
            })
            .collect();
        models.extend(view.closing.iter().map(|name| ModelView {
            name: name.clone(),
            adapters: Vec::new(),
            closing: true,
        }));
        Self {
            id: view.id.clone(),
            born: view.born,
            accepted: view.accepted,
            models,
            load: view.load,
            running: view.running,
            queued: view.queued,
            leaving: view.leaving,
        }
    }

    /// Decodes it.
    #[must_use]
    pub fn view(&self) -> View {
        let open = self.models.iter().filter(|m| !m.closing);
        let closing = self.models.iter().filter(|m| m.closing);
        View {
            id: self.id.clone(),
            born: self.born,
            accepted: self.accepted,
            models: open
                .map(|m| (m.name.clone(), m.adapters.iter().cloned().collect()))
                .collect::<BTreeMap<String, BTreeSet<String>>>(),
            closing: closing.map(|m| m.name.clone()).collect(),
            load: self.load,
            running: self.running,
            queued: self.queued,
            leaving: self.leaving,
        }
    }
}

/// What an instance answers.
#[derive(Clone, PartialEq, Message)]
pub struct Outlook {
    /// Address of the lease holder, as far as known; empty where unknown.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Whether the sender holds the lease.
    #[prost(bool, tag = "2")]
    pub holding: bool,
    /// Instances that live, where the sender holds the lease.
    #[prost(uint32, tag = "3")]
    pub live: u32,
    /// Text of a newer configuration; empty where there is none.
    #[prost(string, tag = "4")]
    pub config: String,
    /// Engines that changed.
    #[prost(message, repeated, tag = "5")]
    pub engines: Vec<EngineView>,
    /// Time until cold models can be served, by service.
    #[prost(message, repeated, tag = "6")]
    pub estimates: Vec<Count>,
    /// Fingerprints of refused requests.
    #[prost(fixed64, repeated, tag = "7")]
    pub refused: Vec<u64>,
    /// Milliseconds of the sender's clock.
    #[prost(uint64, tag = "8")]
    pub clock: u64,
    /// Version of the lease's row, where the sender holds it.
    #[prost(uint64, tag = "9")]
    pub version: u64,
}

/// What the holder hears.
#[derive(Debug)]
pub enum Heard {
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
        .board
        .take()
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
    for server in gateway.catalog().iter().flat_map(|c| engines(gateway, c)) {
        for (target, count) in &server.running {
            running.push(Count {
                count: *count,
                ..Count::new(&server.endpoint.id, target)
            });
        }
    }
    Demand {
        name: gateway.settings.name.clone(),
        version: version(gateway),
        asked,
        running,
        broke: gateway.suspicion().take_untold(),
        echo: 0,
    }
}

fn engines(gateway: &Gateway, catalog: &super::catalog::Catalog) -> Vec<super::servers::Server> {
    let services = catalog.services.iter().filter(|(_, s)| s.engine.is_some());
    services
        .flat_map(|(name, _)| gateway.servers.of_service(name))
        .collect()
}

fn version(gateway: &Gateway) -> u64 {
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
    whereabouts: watch::Receiver<Whereabouts>,
    heard: mpsc::Sender<Heard>,
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
    heard: mpsc::Sender<Heard>,
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
                    let message = Heard::Demand(number, demand, to_peer.clone());
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
    if heard.send(Heard::Gone(number)).await.is_err() {
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
        let seeds = &gateway.settings.seeds;
        let me = gateway.settings.peers;
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
            () = gateway.board.changed.notified() => {
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
        gateway.adopt_config(&outlook.config, "link");
    }
    if !outlook.holding {
        return;
    }
    gateway.budgets().resize(outlook.live);
    gateway.suspicion().adopt(&outlook.refused);
    for estimate in outlook.estimates {
        let ready_in = Duration::from_millis(estimate.millis.into());
        gateway.estimate((estimate.place.clone(), estimate.target()), ready_in);
    }
    let views: Vec<View> = outlook.engines.iter().map(EngineView::view).collect();
    if !views.is_empty() {
        gateway.servers.view(&views, gateway.now());
    }
}
