//! Follows the configuration.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::super::link::HolderLink;
use super::super::shared::Gateway;
use super::follower::{CatchUp, TableFollower};

/// Table that holds the configuration.
const CONFIG_TABLE: &str = "op";
/// Key of the configuration's row.
const CONFIG_KEY: &str = "config";
/// Longest wait of one call for a configuration, as a share of the time within which it must be in
/// force: a call without an answer is given up and repeated in that time.
const CONFIG_WAIT_SHARE: f64 = 0.4;
/// The same share while the lease holder also sends the configuration.
const LINKED_CONFIG_WAIT_SHARE: f64 = 4.0;
/// Age of the lease holder's own reading, as a share of the same time, from which it is taken to have
/// no configuration to send.
const HOLDER_CONFIG_TTL_SHARE: f64 = 0.85;

/// Follows the configuration until the process ends.
///
/// The lease holder sends it over the link as well, so that a linked instance need not notice a
/// dead connection to the store as soon, as long as the holder reads the configuration itself. A
/// call that relies on that ends with it.
pub async fn follow_config(gateway: Arc<Gateway>, mut holder_link: watch::Receiver<HolderLink>) {
    let mut follower = TableFollower::new(CONFIG_TABLE, CatchUp::Rows);
    let deadline = gateway.settings.config_deadline;
    loop {
        let covered_until = config_covered_until(&holder_link.borrow(), deadline);
        let is_covered = gateway.now() < covered_until;
        let share = if is_covered {
            LINKED_CONFIG_WAIT_SHARE
        } else {
            CONFIG_WAIT_SHARE
        };
        let next = tokio::select! {
            next = follower.next_batch(&gateway, deadline.mul_f64(share)) => next,
            () = holder_lost(&gateway, &mut holder_link), if is_covered => {
                log::info!(table = CONFIG_TABLE;
                    "lease holder does not send the configuration; reading it");
                continue;
            }
        };
        gateway.config_lost.send_if_modified(|lost| {
            std::mem::replace(lost, follower.is_lost()) != follower.is_lost()
        });
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
