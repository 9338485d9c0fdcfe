//! Polls the platform's store for changes of the configuration and the server list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::link::{HolderLink, millis};
use super::protocol::{FeedError, RowBatch};
use super::shared::Gateway;
use crate::table;

/// Table that holds the configuration.
const CONFIG_TABLE: &str = "op";
/// Key of the configuration's row.
const CONFIG_KEY: &str = "config";
/// Table that holds the server list.
const SERVERS_TABLE: &str = "servers";
/// Poll interval of the server list, as a share of the drain deadline; longer intervals save calls,
/// each of which costs.
const POLL_SHARE: f64 = 0.35;
/// The same share while the lease holder announces changes: least time between two calls for them.
const LINKED_POLL_SHARE: f64 = 0.6;
/// Poll interval without a change that the lease holder announced, as a multiple of the drain
/// deadline.
const UNCHANGED_POLL_FACTOR: u32 = 3;
/// Age of the lease holder's own list from which its silence says nothing: some of its poll
/// intervals. The holder may be the one instance that the store turns away.
const HOLDER_LIST_TTL: Duration = Duration::from_secs(1);
/// Longest wait of one call for a configuration, as a share of the time within which it must be in
/// force: a call without an answer is given up and repeated in that time.
const CONFIG_WAIT_SHARE: f64 = 0.4;
/// The same share while the lease holder also sends the configuration.
const LINKED_CONFIG_WAIT_SHARE: f64 = 4.0;
/// Age of the lease holder's own reading, as a share of the same time, from which it is taken to have
/// no configuration to send.
const HOLDER_CONFIG_TTL_SHARE: f64 = 0.85;
/// Poll interval at the lease holder, which sees the end of a load by a changed row.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of one call for a change of the server list, which changes several times a second.
const SERVERS_MAX_WAIT: Duration = Duration::from_secs(1);
/// Initial pause after a failed call; doubles with each failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Largest such pause while there is no link to the lease holder.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Most endpoints of one batch that are logged one by one; more are summed up in one line.
const MAX_ENDPOINT_LINES: usize = 8;
/// Delay of the removal when more than half of all endpoints disappear at once.
///
/// That is more likely caused by expired entries than by lost endpoints. Stays within the two
/// seconds in which a draining endpoint must stop receiving requests.
const MASS_REMOVAL_GRACE: Duration = Duration::from_millis(1200);

/// What the rows of a batch are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchKind {
    /// Rows that changed since the last batch.
    Changes,
    /// All rows.
    Snapshot,
    /// All rows of an older copy that the store came back from.
    Restored,
}

/// Reads the changes of one table.
#[derive(Debug)]
struct TableFollower {
    table: &'static str,
    version: Option<u64>,
    newest_version: u64,
    answered_at: Option<Duration>,
    lost_since: Option<Duration>,
    failures: u32,
    backoff: Duration,
}

impl TableFollower {
    const fn new(table: &'static str) -> Self {
        Self {
            table,
            version: None,
            newest_version: 0,
            answered_at: None,
            lost_since: None,
            failures: 0,
            backoff: MIN_RETRY_PAUSE,
        }
    }

    /// The next rows; none if the rows cannot be used.
    ///
    /// Calls that fail in a row are at most `max_pause` apart and ask for no wait: one that the store
    /// never answers would hide its return until the wait is over.
    async fn next_batch(
        &mut self,
        gateway: &Gateway,
        wait: Duration,
        max_pause: Duration,
    ) -> Option<(RowBatch, BatchKind)> {
        let feed = &gateway.platform.feed;
        let wait = if self.lost_since.is_some() {
            Duration::ZERO
        } else {
            wait
        };
        let sent_at = gateway.now();
        let result = match self.version {
            Some(version) => feed.changes_since(self.table, version, wait).await,
            None => feed.snapshot(self.table).await,
        };
        gateway.stats.record_store_call(self.table, result.is_err());
        match result {
            Ok(batch) if batch.version < self.newest_version => {
                log::warn!(table = self.table, version = batch.version, known = self.newest_version;
                    "store returned an older version than before; retrying");
                sleep(MIN_RETRY_PAUSE).await;
                None
            }
            Ok(batch) => {
                self.record_success(gateway);
                let is_new_era = table::era(batch.version) > table::era(self.newest_version);
                let kind = match self.version {
                    Some(_) => BatchKind::Changes,
                    None if is_new_era && self.newest_version > 0 => BatchKind::Restored,
                    None => BatchKind::Snapshot,
                };
                self.version = Some(batch.version);
                self.newest_version = batch.version;
                Some((batch, kind))
            }
            Err(FeedError::HistoryGone) => {
                log::info!(table = self.table, version = self.newest_version;
                    "change history no longer available; reading all rows");
                self.version = None;
                None
            }
            Err(FeedError::Restored) => {
                log::warn!(table = self.table, version = self.newest_version;
                    "store came back from an older copy; reading all rows");
                gateway.stats.record_restore(self.table);
                self.version = None;
                None
            }
            Err(FeedError::Table(error)) => {
                self.record_failure(&error.to_string(), sent_at, wait, gateway.now());
                sleep(self.backoff).await;
                self.backoff = (self.backoff * 2).min(max_pause);
                None
            }
        }
    }

    fn record_failure(&mut self, error: &str, sent_at: Duration, wait: Duration, now: Duration) {
        self.failures += 1;
        log::info!(table = self.table, failures = self.failures, wait_ms = millis(wait),
            took_ms = millis(now.saturating_sub(sent_at)), retry_ms = millis(self.backoff),
            error = error; "store call failed");
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            log::warn!(dependency = "store", table = self.table, error = error; "dependency lost");
        }
    }

    fn record_success(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        self.backoff = MIN_RETRY_PAUSE;
        if let Some(answered_at) = self.answered_at.replace(now) {
            let gap = now.saturating_sub(answered_at);
            gateway.stats.record_feed_gap(self.table, gap);
        }
        if let Some(lost_since) = self.lost_since.take() {
            log::info!(dependency = "store", table = self.table, failures = self.failures,
                away_ms = millis(now.saturating_sub(lost_since)); "dependency regained");
        }
        self.failures = 0;
    }
}

/// Largest pause between failing calls: no shorter than between working ones while linked.
fn max_retry_pause(gateway: &Gateway, is_linked: bool) -> Duration {
    if is_linked {
        gateway.settings.drain_deadline.mul_f64(LINKED_POLL_SHARE)
    } else {
        MAX_RETRY_PAUSE
    }
}

/// Follows the configuration until the process ends.
///
/// The lease holder sends it over the link as well, so that a linked instance need not notice a
/// dead connection to the store as soon, as long as the holder reads the configuration itself. A
/// call that relies on that ends with it.
pub async fn follow_config(gateway: Arc<Gateway>, mut holder_link: watch::Receiver<HolderLink>) {
    let mut follower = TableFollower::new(CONFIG_TABLE);
    let deadline = gateway.settings.config_deadline;
    loop {
        let covered_until = config_covered_until(&holder_link.borrow(), deadline);
        let is_covered = gateway.now() < covered_until;
        let share = if is_covered {
            LINKED_CONFIG_WAIT_SHARE
        } else {
            CONFIG_WAIT_SHARE
        };
        let max_pause = max_retry_pause(&gateway, is_covered);
        let next = tokio::select! {
            next = follower.next_batch(&gateway, deadline.mul_f64(share), max_pause) => next,
            () = holder_lost(&gateway, &mut holder_link), if is_covered => {
                log::info!(table = CONFIG_TABLE;
                    "lease holder does not send the configuration; reading it");
                continue;
            }
        };
        let Some((batch, _)) = next else {
            continue;
        };
        gateway.config_read_at.send_replace(gateway.now());
        for row in batch.rows {
            if let (CONFIG_KEY, Some(text)) = (row.key.as_str(), row.value) {
                gateway.activate_config(&text, "store");
            }
        }
    }
}

/// Until when the lease holder can be relied on to send a configuration; zero without a link.
fn config_covered_until(link: &HolderLink, deadline: Duration) -> Duration {
    if link.up {
        link.config_read_at + deadline.mul_f64(HOLDER_CONFIG_TTL_SHARE)
    } else {
        Duration::ZERO
    }
}

/// Completes once the lease holder cannot be relied on to send a configuration.
async fn holder_lost(gateway: &Gateway, holder_link: &mut watch::Receiver<HolderLink>) {
    let deadline = gateway.settings.config_deadline;
    loop {
        let covered_until = config_covered_until(&holder_link.borrow_and_update(), deadline);
        let left = covered_until.saturating_sub(gateway.now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            changed = holder_link.changed() => if changed.is_err() {
                return sleep(left).await;
            },
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
    mut holder_link: watch::Receiver<HolderLink>,
) {
    let mut follower = TableFollower::new(SERVERS_TABLE);
    let mut relist_until = Duration::ZERO;
    loop {
        let was_lost = follower.lost_since.is_some();
        let known_version = gateway.exchange_state().list_version;
        follower.newest_version = follower.newest_version.max(known_version);
        let max_pause = max_retry_pause(&gateway, holder_link.borrow().up);
        let next = follower
            .next_batch(&gateway, SERVERS_MAX_WAIT, max_pause)
            .await;
        let now = gateway.now();
        gateway.servers.remove_expired(now);
        let Some((batch, kind)) = next else {
            continue;
        };
        gateway.list_read_at.send_replace(now);
        if was_lost || kind == BatchKind::Restored {
            relist_until = now + gateway.settings.relist_grace;
        }
        let has_changed = {
            // Held so that no copy of the list comes between the rows and their version.
            let mut state = gateway.exchange_state();
            state.list_version = batch.version;
            state.list_copied = false;
            apply_batch(&gateway, &batch, kind, relist_until)
        };
        if has_changed {
            gateway.record_list_change(batch.version);
        }
        gateway
            .servers_listed
            .send_if_modified(|l| !std::mem::replace(l, true));
        if *holding.borrow() {
            sleep(HOLDER_POLL_INTERVAL).await;
        } else {
            wait_for_change(&gateway, &mut holder_link, batch.version).await;
        }
    }
}

/// Waits until the server list is due to be read: `version` was read last.
async fn wait_for_change(
    gateway: &Gateway,
    holder_link: &mut watch::Receiver<HolderLink>,
    version: u64,
) {
    let drain = gateway.settings.drain_deadline;
    let read_at = gateway.now();
    let mut list_change = gateway.list_change.subscribe();
    loop {
        let link = holder_link.borrow_and_update().clone();
        let holder_read_at = link.up.then_some(link.list_read_at);
        let has_changed = *list_change.borrow_and_update() > version;
        let removal = gateway.servers.next_removal();
        let due = poll_due(read_at, drain, holder_read_at, has_changed, removal);
        let now = gateway.now();
        if now >= due {
            return;
        }
        tokio::select! {
            () = sleep(due.saturating_sub(now)) => return,
            changed = holder_link.changed() => if changed.is_err() { return },
            changed = list_change.changed() => if changed.is_err() { return },
        }
    }
}

/// When the server list that was read at `read_at` is read again.
///
/// Without a link to the lease holder, the list is the only source of draining endpoints. With one,
/// it is read for the changes that the holder announces, and seldom otherwise, as long as the
/// holder itself reads the list: `holder_read_at` is when it last did. A scheduled `removal` of an
/// endpoint is due at its time, unless the list has it again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::feed::poll_due;
///
/// let (read_at, drain) = (Duration::from_secs(100), Duration::from_secs(2));
/// let holder_read_at = Some(read_at + drain * 2);
/// let changed = poll_due(read_at, drain, holder_read_at, true, None);
/// assert!(changed < read_at + drain);
/// assert!(poll_due(read_at, drain, holder_read_at, false, None) > changed);
/// ```
#[must_use]
pub fn poll_due(
    read_at: Duration,
    drain: Duration,
    holder_read_at: Option<Duration>,
    has_changed: bool,
    removal: Option<Duration>,
) -> Duration {
    let unlinked_due = read_at + drain.mul_f64(POLL_SHARE);
    let due = match holder_read_at {
        None => unlinked_due,
        Some(at) => {
            let linked_due = read_at + drain.mul_f64(LINKED_POLL_SHARE);
            let unchanged_due = read_at + drain * UNCHANGED_POLL_FACTOR;
            if has_changed {
                linked_due
            } else {
                unchanged_due.min(linked_due.max(at + HOLDER_LIST_TTL))
            }
        }
    };
    removal.map_or(due, |at| due.min(at.max(unlinked_due)))
}

/// Applies rows to the known endpoints; returns whether one came, left, restarted or began to drain.
fn apply_batch(
    gateway: &Gateway,
    batch: &RowBatch,
    kind: BatchKind,
    relist_until: Duration,
) -> bool {
    let now = gateway.now();
    let mut changed = Vec::new();
    let mut removed = BTreeSet::new();
    if kind != BatchKind::Changes {
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
                let has_changed = match kind {
                    BatchKind::Restored => gateway.servers.upsert_copy(endpoint, now),
                    BatchKind::Changes | BatchKind::Snapshot => {
                        gateway.servers.upsert(endpoint, now)
                    }
                };
                if has_changed {
                    changed.push(row.key.as_str());
                }
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
    log_changes(gateway, batch.version, &changed, &removed, grace);
    for id in &removed {
        match grace {
            Some(at) => gateway.servers.expire_at(id, at),
            None => gateway.servers.remove(id),
        }
    }
    !changed.is_empty() || !removed.is_empty()
}

fn log_changes(
    gateway: &Gateway,
    version: u64,
    changed: &[&str],
    removed: &BTreeSet<String>,
    grace: Option<Duration>,
) {
    let count = changed.len() + removed.len();
    if count > MAX_ENDPOINT_LINES {
        log::info!(version = version, listed = changed.len(), removed = removed.len(),
            known = gateway.servers.ids().len(), delayed = grace.is_some();
            "many endpoints changed in the server list");
        return;
    }
    for id in changed {
        let Some(endpoint) = gateway.servers.endpoint(id) else {
            continue;
        };
        log::info!(endpoint = *id, service = endpoint.service.as_str(),
            address:% = endpoint.address, state:% = endpoint.state, version = version;
            "endpoint listed");
    }
    for id in removed {
        log::info!(endpoint = id.as_str(), version = version, delayed = grace.is_some();
            "endpoint no longer listed");
    }
}
