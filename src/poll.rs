//! Reads the instance list at intervals.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::Address;

use crate::BoxFuture;
use crate::clock::Clock;
use crate::endpoint_registry::{EndpointRegistry, InstanceListRead};
use crate::instances::{Directory, ListError, Listed};

/// The instance list as it was read last, for others than the one who polls it.
#[derive(Debug, Clone)]
pub struct LastList(watch::Receiver<Option<Vec<Listed>>>);

/// A place for the list, and its reader.
#[must_use]
pub fn last_list() -> (watch::Sender<Option<Vec<Listed>>>, LastList) {
    let (tell, seen) = watch::channel(None);
    (tell, LastList(seen))
}

impl Directory for LastList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>, ListError>> {
        Box::pin(async move {
            let last = self.0.borrow().clone();
            last.ok_or_else(|| ListError("not read yet".to_owned()))
        })
    }
}

/// What the polling needs.
#[derive(Debug, Clone)]
pub struct Poll {
    /// The instance list.
    pub directory: Arc<dyn Directory>,
    /// Where the list is kept for other readers.
    pub last: watch::Sender<Option<Vec<Listed>>>,
    /// Owner of the view.
    pub fleet: Address<EndpointRegistry>,
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
                    self.last.send_replace(Some(entries.clone()));
                    if self
                        .fleet
                        .send(InstanceListRead { entries, now })
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                Err(error) => log::warn!(error:% = error; "cannot read the instance list"),
            }
        }
    }
}
