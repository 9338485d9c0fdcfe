//! Reads the instance list at intervals.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use xtra::Address;

use crate::clock::Clock;
use crate::fleet::{Fleet, Listing};
use crate::instances::Directory;

/// What the polling needs.
#[derive(Debug, Clone)]
pub struct Poll {
    /// The instance list.
    pub directory: Arc<dyn Directory>,
    /// Owner of the view.
    pub fleet: Address<Fleet>,
    /// Time.
    pub clock: Clock,
    /// Time between two polls.
    pub every: Duration,
}

impl Poll {
    /// Reads the instance list until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match self.directory.list().await {
                Ok(entries) => {
                    let now = self.clock.now();
                    if self.fleet.send(Listing { entries, now }).await.is_err() {
                        return;
                    }
                }
                Err(error) => log::warn!(error:% = error; "cannot read the instance list"),
            }
        }
    }
}
