//! Fetches a newer configuration from instances that have it, where the store does not bring it.
//!
//! The lease holder announces the newest version at any instance, and some instances that have it. The
//! text travels on a connection of its own, so that no message on the link to the holder waits for it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::super::link::{DemandReport, millis, send};
use super::super::shared::{ActiveConfig, Gateway};
use super::message::{Knowledge, KnownVersions};
use super::next_part;
use crate::peers::codec::{Frames, frames};

/// Time that the store has to bring a version that another instance has in force.
const STORE_HEAD_START: Duration = Duration::from_millis(600);
/// The same where its last answer failed.
const LOST_HEAD_START: Duration = Duration::from_millis(20);
/// Time after which the next instance is asked beside one that has not answered.
const ASK_STAGGER: Duration = Duration::from_millis(500);
/// Pause before the next instance is asked after one that had no usable text; doubles with each.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(960);
/// Longest time of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1800);
/// Most fetches under way.
const MAX_FETCHES: usize = 3;
/// Largest text of a configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Largest part of a text in one frame.
const PART_BYTES: usize = 256 << 10;
/// Most configurations that an instance sends at the same time.
pub(in super::super) const MAX_TRANSFERS: usize = 8;

/// Announcement of the newest configuration that is in force at any instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigNotice {
    /// Its version.
    pub version: u64,
    /// Addresses of some instances that have it.
    pub sources: Vec<SocketAddr>,
}

impl Gateway {
    /// Takes over an announcement; instances that lack its version fetch it.
    pub fn announce_config(&self, notice: ConfigNotice) {
        self.config_notice.send_if_modified(|known| {
            let is_news = *known != notice;
            *known = notice;
            is_news
        });
    }

    fn lacks_config(&self, notice: &ConfigNotice) -> bool {
        self.catalog().map_or(0, |c| c.version) < notice.version
    }
}

/// Fetches until the process ends.
pub async fn fetch_configs(gateway: Arc<Gateway>) {
    let mut notices = gateway.config_notice.subscribe();
    loop {
        let notice = notices.borrow_and_update().clone();
        if gateway.lacks_config(&notice) {
            await_store(&gateway, notice.version).await;
            fetch_newest(&gateway, &notices).await;
        } else if notices.changed().await.is_err() {
            return;
        }
    }
}

/// Waits for the store to bring a version, no longer than its head start.
async fn await_store(gateway: &Gateway, version: u64) {
    let mut active = gateway.active_config.subscribe();
    let mut lost = gateway.config_lost.subscribe();
    let in_force = async {
        let is_newer = |a: &ActiveConfig| a.catalog.version >= version;
        drop(active.wait_for(|a| a.as_ref().is_some_and(is_newer)).await);
    };
    let lost = async {
        drop(lost.wait_for(|lost| *lost).await);
        sleep(LOST_HEAD_START).await;
    };
    tokio::select! {
        () = in_force => {}
        () = lost => {}
        () = sleep(STORE_HEAD_START) => {}
    }
}

/// Asks one source after the other until the announced version is in force.
async fn fetch_newest(gateway: &Arc<Gateway>, notices: &watch::Receiver<ConfigNotice>) {
    let mut fetches = JoinSet::new();
    let mut asked = BTreeSet::new();
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        let notice = notices.borrow().clone();
        if !gateway.lacks_config(&notice) {
            return;
        }
        if fetches.len() < MAX_FETCHES
            && let Some(source) = pick(&notice, &mut asked)
        {
            let gateway = Arc::clone(gateway);
            fetches.spawn(async move { fetch(&gateway, source).await });
        }
        match timeout(ASK_STAGGER, fetches.join_next()).await {
            Ok(Some(Err(error))) => log::error!(error:% = error; "fetch of a configuration failed"),
            Ok(Some(Ok(Some(())))) | Err(_) => continue,
            Ok(Some(Ok(None)) | None) => {}
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// A source that was not asked yet, or any once all were.
fn pick(notice: &ConfigNotice, asked: &mut BTreeSet<SocketAddr>) -> Option<SocketAddr> {
    let open = |s: &&SocketAddr| !asked.contains(s);
    let sources: Vec<SocketAddr> = notice.sources.iter().filter(open).copied().collect();
    if sources.is_empty() {
        asked.clear();
    }
    let any = notice.sources.choose(&mut rand::rng());
    let picked = *sources.choose(&mut rand::rng()).or(any)?;
    asked.insert(picked);
    Some(picked)
}

/// Fetches from one instance; none if it has nothing newer that this one can read, or no time.
async fn fetch(gateway: &Gateway, source: SocketAddr) -> Option<()> {
    let begun_at = gateway.now();
    let known_version = gateway.catalog().map_or(0, |c| c.version);
    let text = timeout(FETCH_TIMEOUT, fetch_text(gateway, source, known_version)).await;
    let took_ms = millis(gateway.now().saturating_sub(begun_at));
    let Some(text) = text.ok().flatten() else {
        log::debug!(source:% = source, took_ms = took_ms; "no configuration from another instance");
        return None;
    };
    log::info!(source:% = source, bytes = text.len(), took_ms = took_ms;
        "configuration fetched from another instance");
    match std::str::from_utf8(&text) {
        Ok(text) => gateway.activate_config(text, "link"),
        Err(error) => {
            log::error!(error:% = error; "configuration of another instance is no text");
            return None;
        }
    }
    gateway.record_known(begun_at);
    let version = gateway.catalog().map_or(0, |c| c.version);
    (version > known_version).then_some(())
}

async fn fetch_text(gateway: &Gateway, source: SocketAddr, known_version: u64) -> Option<Bytes> {
    let stream = TcpStream::connect(source).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut link = frames(stream);
    let question = DemandReport {
        instance: gateway.settings.name.clone(),
        exchange: Some(Knowledge {
            known: Some(KnownVersions {
                config_version: known_version,
                config_only: true,
                ..KnownVersions::default()
            }),
            ..Knowledge::default()
        }),
        ..DemandReport::default()
    };
    send(&mut link, &question).await?;
    read_text(&mut link).await.filter(|text| !text.is_empty())
}

async fn read_text(link: &mut Frames) -> Option<Bytes> {
    let mut text = BytesMut::new();
    loop {
        let part = next_part(link).await?;
        // Earlier builds send the whole text in one frame.
        text.extend_from_slice(part.config.as_bytes());
        text.extend_from_slice(&part.config_part);
        if text.len() > MAX_CONFIG_BYTES {
            log::warn!(bytes = text.len(); "configuration of another instance has no end");
            return None;
        }
        if !part.more {
            return Some(text.freeze());
        }
    }
}

/// The answer to an instance that asks for the configuration alone, in frames; at least one.
#[must_use]
pub(super) fn newer_config_parts(gateway: &Gateway, known_version: u64) -> Vec<Knowledge> {
    let active = gateway.active_config.borrow().clone();
    let newer = active.filter(|a| a.catalog.version > known_version);
    let known = KnownVersions {
        config_version: newer.as_ref().map_or(known_version, |a| a.catalog.version),
        config_only: true,
        ..KnownVersions::default()
    };
    let text = newer.map(|a| a.text).unwrap_or_default();
    let ends = (PART_BYTES..text.len()).step_by(PART_BYTES);
    let mut parts: Vec<Knowledge> = ends
        .map(|end| Knowledge {
            known: Some(known),
            more: true,
            config_part: text.slice(end - PART_BYTES..end),
            ..Knowledge::default()
        })
        .collect();
    parts.push(Knowledge {
        known: Some(known),
        config_part: text.slice(parts.len() * PART_BYTES..),
        ..Knowledge::default()
    });
    parts
}
