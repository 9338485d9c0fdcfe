//! Follows the accepted configuration and puts it in force here.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::prelude::*;

use crate::peers::MeshHandle;
use crate::rules::{
    ActiveRules, CURRENT_KEY, RulesCell, RulesStore, UpdateOutcome, Version, VersionText,
};

/// Messages that wait for the actor at most.
const MAILBOX_MESSAGES: usize = 1024;
/// Intervals between two reads of an instance that is not owner of the configuration.
const NON_OWNER_READ_TICKS: u32 = 10;
/// Longest time for a peer to send the text.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a version that no one gave is asked for again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The configuration in force; none before the first one is known.
pub type RulesWatch = watch::Receiver<Option<Arc<ActiveRules>>>;

/// Actor that owns the configuration in force.
#[derive(Debug, Actor)]
pub struct RulesActor {
    cell: RulesCell,
    sender: watch::Sender<Option<Arc<ActiveRules>>>,
}

/// A version that the store or a peer offers.
#[derive(Debug)]
pub struct UpdateRules(pub VersionText);

impl RulesActor {
    /// Starts the actor; the watch shows what is in force.
    #[must_use]
    pub fn start() -> (Address<Self>, RulesWatch) {
        let (sender, active) = watch::channel(None);
        let actor = Self {
            cell: RulesCell::default(),
            sender,
        };
        (
            xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_MESSAGES)),
            active,
        )
    }
}

impl Handler<UpdateRules> for RulesActor {
    type Return = ();

    async fn handle(&mut self, message: UpdateRules, _ctx: &mut Context<Self>) {
        let version = message.0.version.version;
        match self.cell.update(message.0) {
            Ok(UpdateOutcome::Applied) => {
                log::info!(version = version; "configuration in force");
                self.sender.send_replace(self.cell.get());
            }
            Ok(UpdateOutcome::Stale) => {}
            Err(error) => log::error!(version = version, error:% = error; "version refused"),
        }
    }
}

/// Learns of accepted versions from the platform and from peers.
#[derive(Debug, Clone)]
pub struct RulesSync {
    /// The accepted configurations.
    pub store: RulesStore,
    /// Owner of the configuration in force.
    pub actor: Address<RulesActor>,
    /// The other instances.
    pub mesh: MeshHandle,
    /// What is in force.
    pub active: RulesWatch,
    /// Time between two reads.
    pub interval: Duration,
}

impl RulesSync {
    /// Reads the accepted version from the platform until the process ends.
    ///
    /// The owner of the configuration reads often; it and the instance that accepts a change tell
    /// the others, which read seldom.
    pub async fn poll_store(self) {
        let mut ticks = interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick = 0_u32;
        loop {
            ticks.tick().await;
            let owner = self.mesh.owner(CURRENT_KEY).is_none();
            if owner
                || tick.is_multiple_of(NON_OWNER_READ_TICKS)
                || active_version(&self.active) == 0
            {
                self.read_store().await;
            }
            tick = tick.wrapping_add(1);
        }
    }

    /// Tells peers what is in force, until the process ends.
    pub async fn announce(self) {
        let mut active = self.active.clone();
        while active.changed().await.is_ok() {
            let source = active
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
    pub async fn receive_announcements(self) {
        let mut announced = self.mesh.rules();
        while announced.changed().await.is_ok() {
            loop {
                let version = announced.borrow_and_update().version;
                if version <= active_version(&self.active) || self.fetch(version).await {
                    break;
                }
                tokio::time::sleep(FETCH_RETRY_DELAY).await;
            }
        }
    }

    /// Fetches a version from a peer, or else from the platform; true where it is in force then.
    async fn fetch(&self, version: u64) -> bool {
        match self.mesh.fetch_rules(version, PEER_FETCH_TIMEOUT).await {
            Ok(fetched) => {
                let version = Version {
                    version: fetched.version,
                    digest: fetched.digest,
                    op: String::new(),
                    author: String::new(),
                    note: String::new(),
                    at: String::new(),
                };
                self.update(VersionText {
                    version,
                    text: fetched.text,
                })
                .await;
            }
            Err(error) => {
                log::info!(version = version, error:% = error; "no peer gives the text");
                self.read_store().await;
            }
        }
        active_version(&self.active) >= version
    }

    async fn update(&self, text: VersionText) {
        if self.actor.send(UpdateRules(text)).await.is_err() {
            log::debug!("the configuration's owner has stopped");
        }
    }

    /// Takes the accepted version if it is newer than the one in force.
    pub async fn read_store(&self) {
        let accepted = match self.store.current().await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return,
            Err(error) => return log::warn!(error:% = error; "cannot read the accepted version"),
        };
        if accepted.version <= active_version(&self.active) {
            return;
        }
        match self.store.text(accepted).await {
            Ok(text) => self.update(text).await,
            Err(error) => log::warn!(error:% = error; "cannot read the accepted text"),
        }
    }
}

/// Version in force; 0 before the first one is known.
#[must_use]
pub fn active_version(active: &RulesWatch) -> u64 {
    active
        .borrow()
        .as_ref()
        .map_or(0, |r| r.source.version.version)
}
