//! Actor that owns the links, the members, the loads and the pending requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::task::AbortOnDropHandle;
use xtra::{Actor, Mailbox, WeakAddress};

use super::dial::accept;
use super::fleet::{Fleet, FleetTable};
use super::handle::{Inbound, MeshHandle, PeerError};
use super::link::{Link, LinkId};
use super::maintenance::{poll_instances, tick};
use super::message::{Body, Frame, Hello, PROTOCOL_VERSION, RulesVersion};
use super::traffic::Traffic;
use crate::clock::Clock;
use crate::instances::Directory;
use crate::members::{Member, Neighbours, Roster, RosterSettings, neighbours};
use crate::ownership::Owners;

/// Capacity of the actor's mailbox.
const MAILBOX_MESSAGES: usize = 1024;

/// Most requests from peers that are queued for the daemon.
const MAX_QUEUED_REQUESTS: usize = 256;

/// Settings of the [`Mesh`].
#[derive(Debug, Clone, Copy)]
pub struct MeshSettings {
    /// Number of near neighbours that are monitored on each side of the ring.
    pub near: usize,
    /// Interval of heartbeats to near neighbours.
    pub heartbeat: Duration,
    /// Interval of heartbeats on all other links.
    pub slow_heartbeat: Duration,
    /// Silent heartbeat intervals, plus half of one, after which a link is replaced.
    pub missed_heartbeats: u32,
    /// Interval of the periodic maintenance.
    pub tick: Duration,
    /// Interval at which the instance list is read.
    pub list_poll: Duration,
    /// Time after which an unused link to a peer that is no neighbour is closed.
    pub idle_timeout: Duration,
    /// Timeouts of the membership table.
    pub roster: RosterSettings,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            near: 4,
            heartbeat: Duration::from_secs(1),
            slow_heartbeat: Duration::from_secs(3),
            missed_heartbeats: 2,
            tick: Duration::from_millis(100),
            list_poll: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            roster: RosterSettings::default(),
        }
    }
}

/// Configuration of a [`Mesh`].
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// This instance; its incarnation must grow with each start, as the time of the start does.
    pub me: Member,
    /// The platform's instance list.
    pub directory: Arc<dyn Directory>,
    /// Clock.
    pub clock: Clock,
    /// Settings.
    pub settings: MeshSettings,
}

/// A request to a peer that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) peer: String,
    pub(super) frame: Frame,
    pub(super) reply: oneshot::Sender<Result<Body, PeerError>>,
    /// Link on which it was sent, and when; `None` while it waits for a link.
    pub(super) sent: Option<(LinkId, Duration)>,
    /// Whether it was sent at least once.
    pub(super) was_sent: bool,
    pub(super) resend_after: Duration,
    pub(super) deadline: Duration,
}

/// State of the dials of one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backoff {
    pub(super) dialing: bool,
    pub(super) failures: u32,
    pub(super) retry_at: Duration,
}

/// Actor that maintains the links of an instance to its peers.
#[derive(Debug)]
pub struct Mesh {
    pub(super) settings: MeshSettings,
    pub(super) clock: Clock,
    pub(super) address: WeakAddress<Self>,
    pub(super) traffic: Traffic,
    pub(super) rng: StdRng,
    pub(super) roster: Roster,
    pub(super) live: BTreeSet<String>,
    /// Digest of the membership table at the last change of the live members.
    pub(super) digest: u64,
    pub(super) neighbours: Neighbours,
    pub(super) links: BTreeMap<LinkId, Link>,
    pub(super) last_link: u64,
    pub(super) dials: BTreeMap<String, Backoff>,
    pub(super) fleet: FleetTable,
    pub(super) subscriptions_due: Duration,
    pub(super) probe_due: Duration,
    pub(super) pending: BTreeMap<u64, PendingCall>,
    pub(super) last_call: u64,
    pub(super) answer_slots: Arc<()>,
    pub(super) inbound: mpsc::Sender<Inbound>,
    pub(super) members: watch::Sender<BTreeMap<String, Member>>,
    pub(super) owners: watch::Sender<Arc<Owners>>,
    pub(super) rules: watch::Sender<RulesVersion>,
    pub(super) loads_view: watch::Sender<Arc<Fleet>>,
    _tasks: [AbortOnDropHandle<()>; 3],
}

impl Mesh {
    /// Starts the mesh on the listener; requests from peers are delivered to the receiver.
    #[must_use]
    pub fn start(
        config: MeshConfig,
        listener: TcpListener,
    ) -> (MeshHandle, mpsc::Receiver<Inbound>) {
        let (address, mailbox) = Mailbox::bounded(MAILBOX_MESSAGES);
        let (inbound, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (members, members_view) = watch::channel(BTreeMap::new());
        let (owners, owners_view) = watch::channel(Arc::new(Owners::default()));
        let (rules, rules_view) = watch::channel(RulesVersion::default());
        let (loads_view, fleet_view) = watch::channel(Arc::new(Fleet::default()));
        let traffic = Traffic::default();
        let weak_address = address.downgrade();
        let tasks = [
            tokio::spawn(accept(listener, weak_address.clone(), traffic.clone())),
            tokio::spawn(tick(config.settings.tick, weak_address.clone())),
            tokio::spawn(poll_instances(
                config.directory,
                config.settings.list_poll,
                weak_address.clone(),
            )),
        ];
        let me = config.me;
        let mut mesh = Self {
            settings: config.settings,
            clock: config.clock,
            address: weak_address,
            traffic: traffic.clone(),
            rng: StdRng::from_seed(*blake3::hash(me.name.as_bytes()).as_bytes()),
            fleet: FleetTable::new(me.name.clone(), me.incarnation),
            roster: Roster::new(config.settings.roster, me),
            live: BTreeSet::new(),
            digest: 0,
            neighbours: Neighbours::default(),
            links: BTreeMap::new(),
            last_link: 0,
            dials: BTreeMap::new(),
            subscriptions_due: Duration::ZERO,
            probe_due: Duration::ZERO,
            pending: BTreeMap::new(),
            last_call: 0,
            answer_slots: Arc::new(()),
            inbound,
            members,
            owners,
            rules,
            loads_view,
            _tasks: tasks.map(AbortOnDropHandle::new),
        };
        mesh.refresh_live();
        let handle = MeshHandle {
            me: mesh.roster.me().name.clone(),
            mesh: xtra::spawn_tokio(mesh, (address, mailbox)),
            members: members_view,
            owners: owners_view,
            rules: rules_view,
            fleet: fleet_view,
            traffic,
        };
        (handle, requests)
    }

    /// Returns the hello message of this instance.
    pub(super) fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            member: Some(self.roster.me().into()),
            digest: self.roster.digest(),
        }
    }

    /// Queues changed members for all neighbours, and updates the live members.
    ///
    /// The link `except`, on which the changes were received, is left out.
    pub(super) fn propagate(&mut self, changed: &[String], except: Option<LinkId>) {
        if changed.is_empty() {
            return;
        }
        for (id, link) in &mut self.links {
            if Some(*id) != except && self.neighbours.contains(&link.peer) {
                link.unsent_members.extend(changed.iter().cloned());
            }
        }
        self.refresh_live();
        self.flush(self.clock.now());
    }

    fn refresh_live(&mut self) {
        let live = self.roster.live();
        if *self.members.borrow() == live {
            return;
        }
        let names: BTreeSet<String> = live.keys().cloned().collect();
        if names != self.live {
            let me = self.roster.me().name.clone();
            self.neighbours = neighbours(&me, &names, self.settings.near);
            self.owners.send_replace(Arc::new(Owners::new(&names)));
            self.live = names;
            self.subscriptions_due = Duration::ZERO;
        }
        self.digest = self.roster.digest();
        self.members.send_replace(live);
    }

    /// Adopts a newer version of the rules and forwards it to the neighbours.
    pub(super) fn adopt_rules(&mut self, version: &RulesVersion, except: Option<LinkId>) {
        let newer = self.rules.send_if_modified(|known| {
            let newer = version.version > known.version;
            if newer {
                known.clone_from(version);
            }
            newer
        });
        if !newer {
            return;
        }
        for (id, link) in &self.links {
            if Some(*id) != except && self.neighbours.contains(&link.peer) {
                link.send(Body::Rules(version.clone()).into());
            }
        }
    }
}

impl Actor for Mesh {
    type Stop = ();

    async fn stopped(self) {}
}
