//! Follows the accepted configuration and puts it in force here.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::prelude::*;

use crate::peers::MeshHandle;
use crate::rules::{CURRENT_KEY, Holder, InForce, Offer, RulesStore, Version, VersionText};

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;
/// Intervals between two reads of an instance that is not owner of the configuration.
const SELDOM: u32 = 10;
/// Longest time for a peer to send the text.
const PEER_ANSWER: Duration = Duration::from_secs(1);
/// Pause before a version that no one gave is asked for again.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

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
        (xtra::spawn_tokio(keep, Mailbox::bounded(MAILBOX)), seen)
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

/// Learns of accepted versions from the platform and from peers.
#[derive(Debug, Clone)]
pub struct Follow {
    /// The accepted configurations.
    pub store: RulesStore,
    /// Owner of the configuration in force.
    pub keep: Address<Keep>,
    /// The other instances.
    pub mesh: MeshHandle,
    /// What is in force.
    pub seen: RulesWatch,
    /// Time between two reads.
    pub every: Duration,
}

impl Follow {
    /// Reads the accepted version from the platform until the process ends.
    ///
    /// The owner of the configuration reads often; it and the instance that accepts a change tell
    /// the others, which read seldom.
    pub async fn run(self) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round = 0_u32;
        loop {
            ticks.tick().await;
            let owner = self.mesh.owner(CURRENT_KEY).is_none();
            if owner || round.is_multiple_of(SELDOM) || in_force(&self.seen) == 0 {
                self.look().await;
            }
            round = round.wrapping_add(1);
        }
    }

    /// Tells peers what is in force, until the process ends.
    pub async fn announce(self) {
        let mut seen = self.seen.clone();
        while seen.changed().await.is_ok() {
            let source = seen
                .borrow_and_update()
                .as_ref()
                .map(|r| r.source.version.clone());
            if let Some(version) = source {
                self.mesh
                    .announce_rules(version.version, version.digest)
                    .await;
            }
        }
    }

    /// Takes newer versions from peers, until the process ends.
    pub async fn listen(self) {
        let mut told = self.mesh.rules();
        while told.changed().await.is_ok() {
            loop {
                let version = told.borrow_and_update().version;
                if version <= in_force(&self.seen) || self.fetch(version).await {
                    break;
                }
                tokio::time::sleep(FETCH_PAUSE).await;
            }
        }
    }

    /// Fetches a version from a peer, or else from the platform; true where it is in force then.
    async fn fetch(&self, version: u64) -> bool {
        match self.mesh.fetch_rules(version, PEER_ANSWER).await {
            Ok(told) => {
                let version = Version {
                    version: told.version,
                    digest: told.digest,
                    op: String::new(),
                    author: String::new(),
                    note: String::new(),
                    at: String::new(),
                };
                self.offer(VersionText {
                    version,
                    text: told.text,
                })
                .await;
            }
            Err(error) => {
                log::info!(version = version, error:% = error; "no peer gives the text");
                self.look().await;
            }
        }
        in_force(&self.seen) >= version
    }

    async fn offer(&self, text: VersionText) {
        if self.keep.send(Offered(text)).await.is_err() {
            log::debug!("the configuration's owner has stopped");
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
            Ok(text) => self.offer(text).await,
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
