//! Follows the accepted configuration and puts it in force here.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::prelude::*;

use crate::rules::{Holder, InForce, Offer, RulesStore, VersionText};

/// The configuration in force; none before the first one is known.
pub type RulesWatch = watch::Receiver<Option<Arc<InForce>>>;

/// Actor that owns the configuration in force.
#[derive(Debug, Actor)]
pub struct Keep {
    holder: Holder,
    tell: watch::Sender<Option<Arc<InForce>>>,
}

/// A version that the store or a peer offers.
#[derive(Debug)]
pub struct Offered(pub VersionText);

impl Keep {
    /// Starts the actor; the watch shows what is in force.
    #[must_use]
    pub fn start() -> (Address<Self>, RulesWatch) {
        let (tell, seen) = watch::channel(None);
        let keep = Self {
            holder: Holder::default(),
            tell,
        };
        (xtra::spawn_tokio(keep, Mailbox::unbounded()), seen)
    }
}

impl Handler<Offered> for Keep {
    type Return = ();

    async fn handle(&mut self, message: Offered, _ctx: &mut Context<Self>) {
        let version = message.0.version.version;
        match self.holder.offer(message.0) {
            Ok(Offer::Taken) => {
                log::info!(version = version; "configuration in force");
                self.tell.send_replace(self.holder.get());
            }
            Ok(Offer::Stale) => {}
            Err(error) => log::error!(version = version, error:% = error; "version refused"),
        }
    }
}

/// Reads the accepted version from the platform at intervals.
#[derive(Debug, Clone)]
pub struct Follow {
    /// The accepted configurations.
    pub store: RulesStore,
    /// Owner of the configuration in force.
    pub keep: Address<Keep>,
    /// What is in force.
    pub seen: RulesWatch,
    /// Time between two reads.
    pub every: Duration,
}

impl Follow {
    /// Follows until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.look().await;
        }
    }

    /// Takes the accepted version if it is newer than the one in force.
    pub async fn look(&self) {
        let accepted = match self.store.current().await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return,
            Err(error) => return log::warn!(error:% = error; "cannot read the accepted version"),
        };
        if accepted.version <= in_force(&self.seen) {
            return;
        }
        match self.store.text(accepted).await {
            Ok(text) => {
                if self.keep.send(Offered(text)).await.is_err() {
                    log::debug!("the configuration's owner has stopped");
                }
            }
            Err(error) => log::warn!(error:% = error; "cannot read the accepted text"),
        }
    }
}

/// Version in force; 0 before the first one is known.
#[must_use]
pub fn in_force(seen: &RulesWatch) -> u64 {
    seen.borrow()
        .as_ref()
        .map_or(0, |r| r.source.version.version)
}
