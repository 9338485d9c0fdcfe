//! Polls the platform's store for changes of the configuration and the server list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::link::{HolderLink, millis};
use super::protocol::RowBatch;
use super::shared::Gateway;

mod config;
mod follower;
mod removal;

pub use config::follow_config;
use follower::{BatchKind, CatchUp, TableFollower};
pub use removal::relist_end;
use removal::{RemovalBounds, mass_removal_end, removing_expired};

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
/// Poll interval at the lease holder, which sees the end of a load by a changed row.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Most endpoints of one batch that are logged one by one; more are summed up in one line.
const MAX_ENDPOINT_LINES: usize = 8;

/// Follows the server list until the process ends.
///
/// `holding` is whether this instance holds the lease, `holder_link` whether it is connected to the
/// instance that does; both set the poll interval.
pub async fn follow_servers(
    gateway: Arc<Gateway>,
    holding: watch::Receiver<bool>,
    mut holder_link: watch::Receiver<HolderLink>,
) {
    let mut follower = TableFollower::new(SERVERS_TABLE, CatchUp::Alternate);
    let mut relist_until = Duration::ZERO;
    let mut unchanged_at = Duration::ZERO;
    loop {
        let failed_call = follower.failed_call;
        let known_version = gateway.exchange_state().list_version;
        follower.newest_version = follower.newest_version.max(known_version);
        let asked_at = gateway.now();
        // Heartbeats change the list several times a second; a wait would only hide a silent store.
        let call = follower.next_batch(&gateway, Duration::ZERO);
        let Some((batch, kind)) = removing_expired(&gateway, call).await else {
            continue;
        };
        let now = gateway.now();
        if failed_call.is_some() || kind == BatchKind::Restored {
            let is_restored = kind == BatchKind::Restored;
            let reading_since = holder_link.borrow().reading_since(now);
            let reading_since = reading_since.filter(|_| !is_restored);
            relist_until = relist_end(&gateway.settings, now, failed_call, reading_since);
            log::info!(keep_ms = millis(relist_until.saturating_sub(now)),
                holder_reads = reading_since.is_some(); "server list read after an outage");
        }
        let bounds = RemovalBounds {
            relist_until,
            mass_until: mass_removal_end(&gateway.settings, now, failed_call, unchanged_at),
        };
        let has_changed = {
            // Held so that no copy of the list comes between the rows and their version.
            let mut state = gateway.exchange_state();
            state.list_version = batch.version;
            state.list_copied = false;
            apply_batch(&gateway, &batch, kind, bounds)
        };
        if has_changed {
            gateway.record_list_change(batch.version);
        }
        gateway.servers.remove_expired(now);
        // After the change, so that no update to other instances has the time without the change.
        gateway.list_read_at.send_replace(now);
        gateway.record_known(asked_at);
        unchanged_at = now;
        gateway
            .servers_listed
            .send_if_modified(|l| !std::mem::replace(l, true));
        if *holding.borrow() {
            removing_expired(&gateway, sleep(HOLDER_POLL_INTERVAL)).await;
        } else {
            let wait = wait_for_change(&gateway, &mut holder_link, batch.version);
            unchanged_at = removing_expired(&gateway, wait).await;
        }
    }
}

/// Waits until the server list is due to be read: `version` was read last.
///
/// Returns when the list was last known to have no change of endpoints, here or at the lease holder.
async fn wait_for_change(
    gateway: &Gateway,
    holder_link: &mut watch::Receiver<HolderLink>,
    version: u64,
) -> Duration {
    let drain = gateway.settings.drain_deadline;
    let read_at = gateway.now();
    let mut unchanged_at = read_at;
    let mut list_change = gateway.list_change.subscribe();
    loop {
        let link = holder_link.borrow_and_update().clone();
        let holder_read_at = link.up.then_some(link.list_read_at);
        let has_changed = *list_change.borrow_and_update() > version;
        if let (Some(at), false) = (holder_read_at, has_changed) {
            unchanged_at = unchanged_at.max(at);
        }
        let removal = gateway.servers.next_removal();
        let due = poll_due(read_at, drain, holder_read_at, has_changed, removal);
        let now = gateway.now();
        if now >= due {
            return unchanged_at;
        }
        tokio::select! {
            () = sleep(due.saturating_sub(now)) => return unchanged_at,
            changed = holder_link.changed() => if changed.is_err() { return unchanged_at },
            changed = list_change.changed() => if changed.is_err() { return unchanged_at },
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
    bounds: RemovalBounds,
) -> bool {
    let now = gateway.now();
    observe_software(gateway);
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
    let until = if now < bounds.relist_until {
        bounds.relist_until
    } else if removed.len() * 2 > total {
        bounds.mass_until
    } else {
        now
    };
    let grace = (now < until).then_some(until);
    log_changes(gateway, batch.version, &changed, &removed, grace);
    observe_software(gateway);
    for id in &removed {
        match grace {
            Some(at) => gateway.servers.expire_at(id, at),
            None => gateway.servers.remove(id),
        }
    }
    !changed.is_empty() || !removed.is_empty()
}

/// Records the software versions of all known endpoints.
pub(super) fn observe_software(gateway: &Gateway) {
    let now = gateway.now();
    let mut origins = gateway.stream_origins();
    for (service, software) in gateway.servers.software_versions() {
        origins.observe(&service, &software, now);
    }
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
            address:% = endpoint.address, state:% = endpoint.state,
            software = endpoint.software.as_str(), version = version;
            "endpoint listed");
    }
    for id in removed {
        log::info!(endpoint = id.as_str(), version = version, delayed = grace.is_some();
            "endpoint no longer listed");
    }
}
