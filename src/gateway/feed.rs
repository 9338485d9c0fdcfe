//! Polls the platform's store for changes of the configuration and the server list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::link::HolderLink;
use super::protocol::{FeedError, RowBatch};
use super::shared::Gateway;

/// Table that holds the configuration.
const CONFIG_TABLE: &str = "op";
/// Key of the configuration's row.
const CONFIG_KEY: &str = "config";
/// Table that holds the server list.
const SERVERS_TABLE: &str = "servers";
/// Poll interval of the server list, as a share of the drain deadline; longer intervals save calls,
/// each of which costs.
const POLL_SHARE: f64 = 0.35;
/// The same share while the lease holder also reports draining endpoints.
const LINKED_POLL_SHARE: f64 = 0.6;
/// Poll interval at the lease holder, which sees the end of a load by a changed row.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of one call for a change of the server list, which changes several times a second.
const SERVERS_MAX_WAIT: Duration = Duration::from_secs(1);
/// Initial and largest pause after a failed call; doubles with each failure.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Delay of the removal when more than half of all endpoints disappear at once.
///
/// That is more likely caused by expired entries than by lost endpoints. Stays within the two
/// seconds in which a draining endpoint must stop receiving requests.
const MASS_REMOVAL_GRACE: Duration = Duration::from_millis(1200);

/// Reads the changes of one table.
#[derive(Debug)]
struct TableFollower {
    table: &'static str,
    version: Option<u64>,
    newest_version: u64,
    lost_since: Option<Duration>,
    backoff: Duration,
}

impl TableFollower {
    const fn new(table: &'static str) -> Self {
        Self {
            table,
            version: None,
            newest_version: 0,
            lost_since: None,
            backoff: RETRY_BACKOFF.0,
        }
    }

    /// The next rows, and whether they are a full snapshot; none if the rows cannot be used.
    async fn next_batch(&mut self, gateway: &Gateway, wait: Duration) -> Option<(RowBatch, bool)> {
        let feed = &gateway.platform.feed;
        let (result, is_snapshot) = match self.version {
            Some(version) => (feed.changes_since(self.table, version, wait).await, false),
            None => (feed.snapshot(self.table).await, true),
        };
        gateway.stats.record_store_call(self.table, result.is_err());
        match result {
            Ok(batch) if batch.version < self.newest_version => {
                log::warn!(table = self.table, version = batch.version, known = self.newest_version;
                    "store returned an older version than before; retrying");
                sleep(RETRY_BACKOFF.0).await;
                None
            }
            Ok(batch) => {
                self.record_success(gateway.now());
                self.version = Some(batch.version);
                self.newest_version = batch.version;
                Some((batch, is_snapshot))
            }
            Err(FeedError::HistoryGone) => {
                log::info!(table = self.table, version = self.newest_version;
                    "change history no longer available; reading all rows");
                self.version = None;
                None
            }
            Err(FeedError::Table(error)) => {
                self.record_failure(&error.to_string(), gateway.now());
                sleep(self.backoff).await;
                self.backoff = (self.backoff * 2).min(RETRY_BACKOFF.1);
                None
            }
        }
    }

    fn record_failure(&mut self, error: &str, now: Duration) {
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            log::warn!(dependency = "store", table = self.table, error = error; "dependency lost");
        }
    }

    fn record_success(&mut self, now: Duration) {
        self.backoff = RETRY_BACKOFF.0;
        if let Some(lost_since) = self.lost_since.take() {
            let outage =
                u64::try_from(now.saturating_sub(lost_since).as_millis()).unwrap_or(u64::MAX);
            log::info!(dependency = "store", table = self.table, away_ms = outage;
                "dependency regained");
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let mut follower = TableFollower::new(CONFIG_TABLE);
    loop {
        let Some((batch, _)) = follower
            .next_batch(&gateway, gateway.settings.config_deadline)
            .await
        else {
            continue;
        };
        for row in batch.rows {
            if let (CONFIG_KEY, Some(text)) = (row.key.as_str(), row.value) {
                gateway.activate_config(&text, "store");
            }
        }
    }
}

/// Follows the server list until the process ends.
///
/// `holding` is whether this instance holds the lease, `holder_link` whether it is connected to the
/// instance that does; both set the poll interval.
pub async fn follow_servers(
    gateway: Arc<Gateway>,
    holding: watch::Receiver<bool>,
    holder_link: watch::Receiver<HolderLink>,
) {
    let mut follower = TableFollower::new(SERVERS_TABLE);
    let mut relist_until = Duration::ZERO;
    loop {
        let was_lost = follower.lost_since.is_some();
        let next = follower.next_batch(&gateway, SERVERS_MAX_WAIT).await;
        let now = gateway.now();
        gateway.servers.remove_expired(now);
        let Some((batch, is_snapshot)) = next else {
            continue;
        };
        if was_lost {
            relist_until = now + gateway.settings.relist_grace;
        }
        apply_batch(&gateway, &batch, is_snapshot, relist_until);
        gateway
            .servers_listed
            .send_if_modified(|l| !std::mem::replace(l, true));
        let drain = gateway.settings.drain_deadline;
        let interval = if *holding.borrow() {
            HOLDER_POLL_INTERVAL
        } else if holder_link.borrow().up {
            drain.mul_f64(LINKED_POLL_SHARE)
        } else {
            drain.mul_f64(POLL_SHARE)
        };
        sleep(interval).await;
    }
}

fn apply_batch(gateway: &Gateway, batch: &RowBatch, is_snapshot: bool, relist_until: Duration) {
    let now = gateway.now();
    let mut removed = BTreeSet::new();
    if is_snapshot {
        removed.extend(gateway.servers.ids());
    }
    for row in &batch.rows {
        let Some(text) = &row.value else {
            removed.insert(row.key.clone());
            continue;
        };
        match gateway.platform.wire.decode_endpoint(&row.key, text) {
            Ok(endpoint) => {
                removed.remove(&row.key);
                gateway.servers.upsert(endpoint, now);
            }
            Err(error) => {
                log::warn!(key = row.key.as_str(), version = batch.version, error:% = error;
                    "failed to decode a server list entry; treating the endpoint as removed");
                removed.insert(row.key.clone());
            }
        }
    }
    let total = gateway.servers.ids().len();
    let grace = if now < relist_until {
        Some(relist_until)
    } else if removed.len() * 2 > total {
        Some(now + MASS_REMOVAL_GRACE)
    } else {
        None
    };
    for id in removed {
        match grace {
            Some(at) => gateway.servers.expire_at(&id, at),
            None => gateway.servers.remove(&id),
        }
    }
}
