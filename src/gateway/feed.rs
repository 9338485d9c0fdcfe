//! Follows the configuration and the server list in the platform's store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::edge::{Batch, FeedError};
use super::link::HolderLink;
use super::shared::Gateway;

/// Table of the configuration.
const OPERATOR: &str = "op";
/// Key of the configuration's row.
const CONFIG: &str = "config";
/// Table of the server list.
const SERVERS: &str = "servers";
/// Share of the time to leave a draining endpoint alone after which the list's changes are read
/// again; each call costs.
const SERVERS_PACE: f64 = 0.35;
/// The same while the holder of the lease tells of endpoints that leave.
const LINKED_PACE: f64 = 0.6;
/// The same at the holder of the lease, whose loads end at a row's change.
const HOLDER_PACE: Duration = Duration::from_millis(250);
/// Longest wait of one call for a change of the server list; it changes several times a second.
const SERVERS_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed call, first and longest; it doubles in between.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Time for which endpoints are kept that vanish together: more than half of a service at once is
/// rather a lapse of entries than a loss. Within the two seconds for endpoints that leave.
const MASS_GRACE: Duration = Duration::from_millis(1200);

/// Follows one table.
#[derive(Debug)]
struct Follower {
    table: &'static str,
    version: Option<u64>,
    floor: u64,
    lost: Option<Duration>,
    pause: Duration,
}

impl Follower {
    const fn new(table: &'static str) -> Self {
        Self {
            table,
            version: None,
            floor: 0,
            lost: None,
            pause: PAUSE.0,
        }
    }

    /// The next rows, and whether they are all rows; none where the call failed.
    async fn next(&mut self, gateway: &Gateway, wait: Duration) -> Option<(Batch, bool)> {
        let feed = &gateway.edges.feed;
        let (result, whole) = match self.version {
            Some(version) => (feed.changes(self.table, version, wait).await, false),
            None => (feed.all(self.table).await, true),
        };
        gateway.stats.store_call(self.table, result.is_err());
        match result {
            Ok(batch) if batch.version < self.floor => {
                log::warn!(table = self.table, version = batch.version, known = self.floor;
                    "the store answered with an older state; it is read again");
                sleep(PAUSE.0).await;
                None
            }
            Ok(batch) => {
                self.regained(gateway.now());
                self.version = Some(batch.version);
                self.floor = batch.version;
                Some((batch, whole))
            }
            Err(FeedError::HistoryGone) => {
                log::info!(table = self.table, version = self.floor;
                    "history is gone; all rows are read again");
                self.version = None;
                None
            }
            Err(FeedError::Table(error)) => {
                self.failed(&error.to_string(), gateway.now());
                sleep(self.pause).await;
                self.pause = (self.pause * 2).min(PAUSE.1);
                None
            }
        }
    }

    fn failed(&mut self, error: &str, now: Duration) {
        if self.lost.is_none() {
            self.lost = Some(now);
            log::warn!(dependency = "store", table = self.table, error = error; "dependency lost");
        }
    }

    fn regained(&mut self, now: Duration) {
        self.pause = PAUSE.0;
        if let Some(lost) = self.lost.take() {
            let away = u64::try_from(now.saturating_sub(lost).as_millis()).unwrap_or(u64::MAX);
            log::info!(dependency = "store", table = self.table, away_ms = away;
                "dependency regained");
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let mut follower = Follower::new(OPERATOR);
    loop {
        let Some((batch, _)) = follower.next(&gateway, gateway.settings.config).await else {
            continue;
        };
        for row in batch.rows {
            if let (CONFIG, Some(text)) = (row.key.as_str(), row.value) {
                gateway.adopt_config(&text, "store");
            }
        }
    }
}

/// Follows the server list until the process ends; `holding` says whether this instance gives
/// orders, `linked` whether it hears the one that does.
pub async fn follow_servers(
    gateway: Arc<Gateway>,
    holding: watch::Receiver<bool>,
    linked: watch::Receiver<HolderLink>,
) {
    let mut follower = Follower::new(SERVERS);
    let mut away_until = Duration::ZERO;
    loop {
        let was_lost = follower.lost.is_some();
        let next = follower.next(&gateway, SERVERS_WAIT).await;
        let now = gateway.now();
        gateway.servers.sweep(now);
        let Some((batch, whole)) = next else {
            continue;
        };
        if was_lost {
            away_until = now + gateway.settings.relist;
        }
        apply(&gateway, &batch, whole, away_until);
        gateway
            .listed
            .send_if_modified(|l| !std::mem::replace(l, true));
        let drain = gateway.settings.drain;
        let pace = if *holding.borrow() {
            HOLDER_PACE
        } else if linked.borrow().up {
            drain.mul_f64(LINKED_PACE)
        } else {
            drain.mul_f64(SERVERS_PACE)
        };
        sleep(pace).await;
    }
}

fn apply(gateway: &Gateway, batch: &Batch, whole: bool, away_until: Duration) {
    let now = gateway.now();
    let mut gone = BTreeSet::new();
    if whole {
        gone.extend(gateway.servers.ids());
    }
    for row in &batch.rows {
        let Some(text) = &row.value else {
            gone.insert(row.key.clone());
            continue;
        };
        match gateway.edges.wire.endpoint(&row.key, text) {
            Ok(endpoint) => {
                gone.remove(&row.key);
                gateway.servers.adopt(endpoint, now);
            }
            Err(error) => {
                log::warn!(key = row.key.as_str(), version = batch.version, error:% = error;
                    "entry of the server list cannot be read; it names no endpoint");
                gone.insert(row.key.clone());
            }
        }
    }
    let total = gateway.servers.ids().len();
    let grace = if now < away_until {
        Some(away_until)
    } else if gone.len() * 2 > total {
        Some(now + MASS_GRACE)
    } else {
        None
    };
    for id in gone {
        match grace {
            Some(at) => gateway.servers.lapse(&id, at),
            None => gateway.servers.remove(&id),
        }
    }
}
