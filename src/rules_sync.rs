//! Synchronises the active rules of this instance with the platform and with peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::prelude::*;

use crate::peers::MeshHandle;
use crate::rules::{
    ActiveRules, CURRENT_KEY, RulesCell, RulesStore, UpdateOutcome, Version, VersionText,
};

const MAILBOX_MESSAGES: usize = 1024;
/// Polling intervals between two reads by an instance that does not own [`CURRENT_KEY`].
const NON_OWNER_READ_TICKS: u32 = 10;
const PEER_FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before retrying to fetch a version that neither a peer nor the platform provided.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Watch of the active rules; none before the first version is known.
pub type RulesWatch = watch::Receiver<Option<Arc<ActiveRules>>>;

/// Actor that owns the active rules and publishes them to a watch.
#[derive(Debug, Actor)]
pub struct RulesActor {
    cell: RulesCell,
    sender: watch::Sender<Option<Arc<ActiveRules>>>,
}

/// A version received from the store or from a peer.
#[derive(Debug)]
pub struct UpdateRules(pub VersionText);

impl RulesActor {
    /// Starts the actor; returns its address and the watch of the active rules.
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

/// Receives accepted versions from the platform and from peers, and announces the active one.
#[derive(Debug, Clone)]
pub struct RulesSync {
    /// Store of accepted versions.
    pub store: RulesStore,
    /// Actor that owns the active rules.
    pub actor: Address<RulesActor>,
    /// Connections to the other instances.
    pub mesh: MeshHandle,
    /// Watch of the active rules.
    pub active: RulesWatch,
    /// Polling interval of the owner.
    pub interval: Duration,
}

impl RulesSync {
    /// Polls the platform for the accepted version until the process ends.
    ///
    /// Only the owner of [`CURRENT_KEY`] reads at every interval. The owner and the instance that
    /// accepts a change announce it to the others, which read only at every tenth interval,
    /// or at every interval while they have no version.
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

    /// Announces the active version to peers until the process ends.
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

    /// Fetches newer versions announced by peers until the process ends.
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

    /// Fetches a version from a peer or else the platform; returns whether it is now active.
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
                log::info!(version = version, error:% = error; "cannot fetch rules from a peer");
                self.read_store().await;
            }
        }
        active_version(&self.active) >= version
    }

    async fn update(&self, text: VersionText) {
        if self.actor.send(UpdateRules(text)).await.is_err() {
            log::debug!("rules actor has stopped; update discarded");
        }
    }

    /// Reads the accepted version and makes it active if it is newer than the active one.
    pub async fn read_store(&self) {
        let accepted = match self.store.current().await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return,
            Err(error) => {
                return log::warn!(error:% = error; "cannot read the accepted rules version");
            }
        };
        if accepted.version <= active_version(&self.active) {
            return;
        }
        match self.store.text(accepted).await {
            Ok(text) => self.update(text).await,
            Err(error) => {
                log::warn!(error:% = error; "cannot read the text of the accepted rules version");
            }
        }
    }
}

/// Returns the active version number, or 0 before the first one is known.
#[must_use]
pub fn active_version(active: &RulesWatch) -> u64 {
    active
        .borrow()
        .as_ref()
        .map_or(0, |r| r.source.version.version)
}
