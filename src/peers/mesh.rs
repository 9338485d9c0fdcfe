//! The actor that owns links, members, loads and open requests.

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
use super::message::{Body, Frame, Hello, PROTOCOL, RulesVersion};
use super::traffic::Traffic;
use crate::clock::Clock;
use crate::instances::Directory;
use crate::members::{Member, Neighbours, Roster, RosterSettings, neighbours};
use crate::ownership::Owners;

/// Messages that wait for the actor at most.
const MAILBOX_MESSAGES: usize = 1024;

/// Requests of peers that wait for the daemon at most.
const MAX_QUEUED_REQUESTS: usize = 256;

/// Settings of the [`Mesh`].
#[derive(Debug, Clone, Copy)]
pub struct MeshSettings {
    /// Neighbours watched on either side of the ring.
    pub near: usize,
    /// Interval of heartbeats to near neighbours.
    pub heartbeat: Duration,
    /// Interval of heartbeats on all other links.
    pub slow_heartbeat: Duration,
    /// Intervals of silence after which a link is replaced.
    pub missed_heartbeats: u32,
    /// Interval of the upkeep.
    pub tick: Duration,
    /// Interval of reading the instance list.
    pub list_poll: Duration,
    /// Time after which an unused link to no neighbour is closed.
    pub idle_timeout: Duration,
    /// Bounds of suspicion.
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

/// What a [`Mesh`] is started with.
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

/// A request to a peer without an answer so far.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) peer: String,
    pub(super) frame: Frame,
    pub(super) reply: oneshot::Sender<Result<Body, PeerError>>,
    /// Link on which it was last sent, and when.
    pub(super) sent: Option<(LinkId, Duration)>,
    /// Whether it was ever sent.
    pub(super) was_sent: bool,
    pub(super) resend_after: Duration,
    pub(super) deadline: Duration,
}

/// Dials of one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backoff {
    pub(super) dialing: bool,
    pub(super) failures: u32,
    pub(super) retry_at: Duration,
}

/// Actor that keeps an instance connected to its peers.
#[derive(Debug)]
pub struct Mesh {
    pub(super) settings: MeshSettings,
    pub(super) clock: Clock,
    pub(super) address: WeakAddress<Self>,
    pub(super) traffic: Traffic,
    pub(super) rng: StdRng,
    pub(super) roster: Roster,
    pub(super) live: BTreeSet<String>,
    /// Digest of the roster at the last change of the live members.
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
    /// Starts the mesh on the listener; requests of peers arrive at the receiver.
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
        let weak = address.downgrade();
        let tasks = [
            tokio::spawn(accept(listener, weak.clone(), traffic.clone())),
            tokio::spawn(tick(config.settings.tick, weak.clone())),
            tokio::spawn(poll_instances(
                config.directory,
                config.settings.list_poll,
                weak.clone(),
            )),
        ];
        let me = config.me;
        let mut mesh = Self {
            settings: config.settings,
            clock: config.clock,
            address: weak,
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

    /// Greeting of this instance.
    pub(super) fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            member: Some(self.roster.me().into()),
            digest: self.roster.digest(),
        }
    }

    /// Marks members as changed on all links to neighbours but one, and follows the change.
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

    /// Takes over the newest version of the rules and passes it on.
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
