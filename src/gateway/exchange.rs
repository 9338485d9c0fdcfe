//! Exchange of what instances know, without the store and without a lease holder.
//!
//! An instance that lacks the configuration or the server list asks the others until one has them; one
//! that knows them and has no holder tells the seeds its versions, and a seed that lacks something
//! asks for it. An instance that stops hands over what it knows to one that stays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use prost::Message as _;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::link::{DemandReport, FleetUpdate, HolderLink, send};
use super::shared::Gateway;
use crate::peers::codec::{Frames, frames};

mod fetch;
mod knowledge;
mod message;

pub(super) use fetch::MAX_TRANSFERS;
use fetch::newer_config_parts;
pub use fetch::{ConfigNotice, fetch_configs};
pub use knowledge::{ExchangeState, apply, join, keeps, known_versions, lacks, newer_than};
pub use message::{EndpointEntry, Knowledge, KnownVersions, LeavingEntry};

/// Time that the store has to answer a new instance before others are asked.
const STORE_HEAD_START: Duration = Duration::from_millis(100);
/// Time after which the next instance is asked beside one that has not answered.
const ASK_STAGGER: Duration = Duration::from_millis(60);
/// Pause between two rounds of questions to all.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an instance that serves tells its versions to one other.
const TELL_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time of one exchange, and for which a seed waits for what it asked for.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two attempts to hand over, and between two looks for something new to hand over.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(150);
/// Most frames of one message.
const MAX_FRAMES: usize = 256;

/// Exchanges until the process ends; `holder_link` is the link to the lease holder.
pub async fn run(gateway: Arc<Gateway>, holder_link: watch::Receiver<HolderLink>) {
    let mut turn = 0;
    let mut telling = JoinSet::new();
    sleep(STORE_HEAD_START).await;
    loop {
        let holder = linked_holder(&holder_link);
        let others = others(&gateway, holder);
        if gateway.is_blank() {
            ask_all(&gateway, &others).await;
            sleep(ASK_INTERVAL).await;
            continue;
        }
        while telling.try_join_next().is_some() {}
        let is_settled = holder.is_some() || gateway.holds_lease();
        if !is_settled || known_versions(&gateway).wants_list {
            turn += 1;
            if let Some(address) = others.get(turn % others.len().max(1)).copied() {
                let gateway = Arc::clone(&gateway);
                telling.spawn(async move { exchange(&gateway, address).await });
            }
        }
        sleep(TELL_INTERVAL).await;
    }
}

fn linked_holder(holder_link: &watch::Receiver<HolderLink>) -> Option<SocketAddr> {
    let link = holder_link.borrow();
    link.address.filter(|_| link.up)
}

/// Addresses of the instances that can be asked.
fn others(gateway: &Gateway, holder: Option<SocketAddr>) -> Vec<SocketAddr> {
    let settings = &gateway.settings;
    let mut others: Vec<SocketAddr> = settings.seed_addrs.clone();
    others.extend(holder.filter(|h| !settings.seed_addrs.contains(h)));
    others.retain(|address| *address != settings.peers_addr);
    others
}

/// Asks one instance after the other, without waiting long for any, until this one can serve.
async fn ask_all(gateway: &Arc<Gateway>, others: &[SocketAddr]) {
    let mut asked = JoinSet::new();
    for address in others.iter().copied() {
        let asking = Arc::clone(gateway);
        asked.spawn(async move { exchange(&asking, address).await });
        if let Ok(Some(Err(error))) = timeout(ASK_STAGGER, asked.join_next()).await {
            log::error!(error:% = error; "exchange with another instance failed");
        }
        if !gateway.is_blank() {
            return;
        }
    }
    while gateway.is_blank() && asked.join_next().await.is_some() {}
}

/// Hands over what this instance knows to one that stays, again for each newer version, until the
/// process ends; `kept` is whether one has it.
pub async fn hand_over(
    gateway: Arc<Gateway>,
    holder_link: watch::Receiver<HolderLink>,
    kept: watch::Sender<bool>,
) {
    let mut handed_over = KnownVersions::default();
    loop {
        let own = known_versions(&gateway);
        let is_newer = own.config_version > handed_over.config_version
            || own.list_version > handed_over.list_version;
        if is_newer {
            kept.send_replace(false);
            for address in others(&gateway, linked_holder(&holder_link)) {
                let peer = exchange(&gateway, address).await;
                if peer.is_some_and(|peer| keeps(&peer, &own)) {
                    log::info!(to:% = address, config = own.config_version,
                        list = own.list_version; "handed over what this instance knows");
                    handed_over = own;
                    kept.send_replace(true);
                    break;
                }
            }
        } else {
            kept.send_replace(true);
        }
        sleep(HAND_OVER_INTERVAL).await;
    }
}

/// Exchanges with one instance; returns what that one knows in the end.
async fn exchange(gateway: &Gateway, address: SocketAddr) -> Option<KnownVersions> {
    let begun_at = gateway.now();
    let result = timeout(EXCHANGE_TIMEOUT, exchange_on_link(gateway, address)).await;
    let known = result.ok().flatten();
    if known.is_none() {
        log::debug!(address:% = address; "no exchange with another instance");
    } else {
        gateway.record_known(begun_at);
    }
    known
}

async fn exchange_on_link(gateway: &Gateway, address: SocketAddr) -> Option<KnownVersions> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut link = frames(stream);
    let question = Knowledge {
        known: Some(known_versions(gateway)),
        ..Knowledge::default()
    };
    tell(gateway, &mut link, vec![question]).await?;
    let mut answer = next_answer(&mut link).await?;
    apply(gateway, &answer);
    if answer.asks {
        let other = answer.known?;
        tell(gateway, &mut link, newer_than(gateway, &other)).await?;
        answer = next_answer(&mut link).await?;
    }
    answer.known
}

async fn tell(gateway: &Gateway, link: &mut Frames, knowledge: Vec<Knowledge>) -> Option<()> {
    for frame in knowledge {
        let report = DemandReport {
            instance: gateway.settings.name.clone(),
            exchange: Some(frame),
            ..DemandReport::default()
        };
        send(link, &report).await?;
    }
    Some(())
}

async fn next_answer(link: &mut Frames) -> Option<Knowledge> {
    let mut parts = Vec::new();
    while parts.len() < MAX_FRAMES {
        let part = next_part(link).await?;
        let more = part.more;
        parts.push(part);
        if !more {
            return Some(join(parts));
        }
    }
    None
}

async fn next_part(link: &mut Frames) -> Option<Knowledge> {
    let update = FleetUpdate::decode(link.next().await?.ok()?).ok()?;
    update.exchange
}

/// Answers another instance that exchanges over a link, until it closes the link.
pub(super) async fn serve(gateway: &Gateway, mut link: Frames, first: Knowledge) -> Option<()> {
    let mut parts = Vec::new();
    let mut part = first;
    loop {
        let more = part.more;
        parts.push(part);
        if !more {
            let received = join(std::mem::take(&mut parts));
            let asks_config = received.known?.config_only;
            // Held until the text is sent.
            let transfer = asks_config.then(|| gateway.config_transfers.try_acquire());
            let frames = match &transfer {
                Some(Err(_)) => vec![Knowledge::default()],
                Some(Ok(_)) | None => answer(gateway, &received)?,
            };
            for frame in frames {
                let update = FleetUpdate {
                    exchange: Some(frame),
                    ..FleetUpdate::default()
                };
                send(&mut link, &update).await?;
            }
        }
        if parts.len() >= MAX_FRAMES {
            log::warn!(frames = parts.len(); "exchange without an end; link closed");
            return None;
        }
        let next = timeout(EXCHANGE_TIMEOUT, link.next()).await.ok()??;
        part = DemandReport::decode(next.ok()?).ok()?.exchange?;
    }
}

/// The answer to what another instance tells: what it lacks, and whether this one lacks something.
///
/// Only one instance is asked at a time. None if the message names no versions.
#[must_use]
pub fn answer(gateway: &Gateway, received: &Knowledge) -> Option<Vec<Knowledge>> {
    let other = received.known?;
    if other.config_only {
        return Some(newer_config_parts(gateway, other.config_version));
    }
    let has_content = received.has_list || !received.config.is_empty();
    apply(gateway, received);
    let own = known_versions(gateway);
    let mut answer = newer_than(gateway, &other);
    let now = gateway.now();
    let mut state = gateway.exchange_state();
    if has_content {
        state.asked_until = Duration::ZERO;
    }
    let asks = lacks(&own, &other) && now >= state.asked_until;
    if asks {
        state.asked_until = now + EXCHANGE_TIMEOUT;
    }
    for frame in &mut answer {
        frame.asks = asks;
    }
    Some(answer)
}
