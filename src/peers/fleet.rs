//! Loads of endpoints: published by the instance that polls a server, collected at the owner of
//! each model, and forwarded to the instances that subscribe to the model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::{FleetUpdate, LoadUpdate};
use crate::engine::Residency;
use crate::ownership::owner;

/// Age at which a load that was not refreshed is dropped.
const LOAD_TTL: Duration = Duration::from_secs(15);

/// Interval at which an unchanged load is sent again.
const LOAD_REFRESH: Duration = Duration::from_secs(5);

/// Shortest time between two updates of one replica, for each live instance.
///
/// It keeps the traffic of an instance bounded as the number of instances grows. A change of the
/// replica's state is sent at once.
const SPACING_PER_INSTANCE: Duration = Duration::from_millis(10);

/// Upper bound of the time between two updates of a replica whose load changes.
const MAX_LOAD_SPACING: Duration = Duration::from_secs(3);

/// Age at which a subscription that was not refreshed is dropped.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(30);

/// Wire value of the state of a replica that its server no longer holds.
const STATE_GONE: u32 = 3;

/// Load of one model on a polled server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentLoad {
    /// Model or adapter.
    pub model: String,
    /// State.
    pub state: Residency,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the engine.
    pub queued: u32,
}

/// Loads of a polled server; each one lists all replicas on the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetDelta {
    /// Server.
    pub server: String,
    /// Boot of the engine process.
    pub boot: String,
    /// All replicas on it.
    pub residents: Vec<ResidentLoad>,
}

/// Last received load of a model on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Boot of the engine process.
    pub boot: String,
    /// State.
    pub state: Residency,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the engine.
    pub queued: u32,
    /// Time at which it was received, since the clock's origin.
    pub received_at: Duration,
}

/// Loads of the subscribed models, by model and server; they may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Loads by model, then by server.
    pub models: BTreeMap<String, BTreeMap<String, Load>>,
}

#[derive(Debug, Clone)]
struct KnownLoad {
    load: LoadUpdate,
    received_at: Duration,
}

/// Model and server of a replica.
type ReplicaKey = (String, String);

/// Loads and subscriptions that one instance holds.
#[derive(Debug, Clone, Default)]
pub(super) struct FleetTable {
    me: String,
    sequence: u64,
    subscriptions: BTreeSet<String>,
    loads: BTreeMap<String, BTreeMap<String, KnownLoad>>,
    subscribers: BTreeMap<String, BTreeMap<String, Duration>>,
    published: BTreeMap<ReplicaKey, (LoadUpdate, Duration)>,
    outbox: BTreeMap<String, BTreeMap<ReplicaKey, LoadUpdate>>,
    changed: bool,
}

impl FleetTable {
    /// Creates an empty table; the initial sequence number must grow with each start.
    pub(super) fn new(me: String, sequence: u64) -> Self {
        Self {
            me,
            sequence,
            ..Self::default()
        }
    }

    /// Sets the subscribed models; returns whether they changed.
    pub(super) fn set_subscriptions(&mut self, models: BTreeSet<String>) -> bool {
        let changed = self.subscriptions != models;
        self.changed |= changed;
        self.subscriptions = models;
        changed
    }

    /// Returns the subscriptions to send, by owner of the models.
    pub(super) fn subscriptions(&self, live: &BTreeSet<String>) -> BTreeMap<String, FleetUpdate> {
        let mut by_owner: BTreeMap<String, FleetUpdate> = BTreeMap::new();
        for model in &self.subscriptions {
            let Some(peer) = owner(&model_key(model), live).filter(|peer| **peer != self.me) else {
                continue;
            };
            let update = by_owner.entry(peer.clone()).or_default();
            update.subscriptions.push(model.clone());
        }
        by_owner
    }

    /// Publishes those loads of a polled server that changed or are due for a refresh.
    pub(super) fn publish(&mut self, delta: &FleetDelta, live: &BTreeSet<String>, now: Duration) {
        self.sequence += 1;
        let mut updates: Vec<LoadUpdate> = Vec::new();
        for resident in &delta.residents {
            updates.push(self.load_update(delta, resident));
        }
        for (replica, (load, _)) in &self.published {
            let kept = delta.residents.iter().any(|r| r.model == replica.0);
            if replica.1 == delta.server && !kept {
                updates.push(LoadUpdate {
                    sequence: self.sequence,
                    state: STATE_GONE,
                    ..load.clone()
                });
            }
        }
        for update in updates {
            self.publish_load(update, live, now);
        }
    }

    /// Stores a load that is not outdated and queues it for the subscribers.
    pub(super) fn apply_load(&mut self, load: &LoadUpdate, now: Duration) {
        let servers = self.loads.entry(load.model.clone()).or_default();
        let stale = servers.get(&load.server).is_some_and(|known| {
            known.load.origin == load.origin && known.load.sequence >= load.sequence
        });
        if stale {
            return;
        }
        if load.state == STATE_GONE {
            servers.remove(&load.server);
        } else {
            let known = KnownLoad {
                load: load.clone(),
                received_at: now,
            };
            servers.insert(load.server.clone(), known);
        }
        self.changed |= self.subscriptions.contains(&load.model);
        let peers: Vec<String> = self
            .subscribers
            .get(&load.model)
            .map_or_else(Vec::new, |s| s.keys().cloned().collect());
        for peer in peers.into_iter().filter(|peer| *peer != load.origin) {
            self.enqueue(peer, load.clone());
        }
    }

    /// Records the subscriptions of a peer; queues the known loads of new subscriptions for it.
    pub(super) fn subscribe(&mut self, peer: &str, models: Vec<String>, now: Duration) {
        for model in models {
            let subscribers = self.subscribers.entry(model.clone()).or_default();
            if subscribers.insert(peer.to_string(), now).is_some() {
                continue;
            }
            let known: Vec<LoadUpdate> = self.loads.get(&model).map_or_else(Vec::new, |servers| {
                servers.values().map(|known| known.load.clone()).collect()
            });
            for load in known {
                self.enqueue(peer.to_string(), load);
            }
        }
    }

    /// Takes the queued loads, by peer; drops those for peers that are not live.
    pub(super) fn take_updates(
        &mut self,
        live: &BTreeSet<String>,
    ) -> BTreeMap<String, FleetUpdate> {
        std::mem::take(&mut self.outbox)
            .into_iter()
            .filter(|(peer, loads)| live.contains(peer) && !loads.is_empty())
            .map(|(peer, loads)| {
                let update = FleetUpdate {
                    subscriptions: Vec::new(),
                    loads: loads.into_values().collect(),
                };
                (peer, update)
            })
            .collect()
    }

    /// Queues loads again that could not be sent, unless newer ones are queued.
    pub(super) fn requeue(&mut self, peer: &str, update: FleetUpdate) {
        if update.loads.is_empty() {
            return;
        }
        let outbox = self.outbox.entry(peer.to_string()).or_default();
        for load in update.loads {
            let replica = (load.model.clone(), load.server.clone());
            outbox.entry(replica).or_insert(load);
        }
    }

    /// Drops loads and subscriptions that were not refreshed in time.
    pub(super) fn expire(&mut self, now: Duration) {
        let expired = |at: Duration, age: Duration| now.saturating_sub(at) > age;
        for servers in self.loads.values_mut() {
            let before = servers.len();
            servers.retain(|_, known| !expired(known.received_at, LOAD_TTL));
            self.changed |= servers.len() != before;
        }
        for peers in self.subscribers.values_mut() {
            peers.retain(|_, at| !expired(*at, SUBSCRIPTION_TTL));
        }
        self.loads.retain(|_, servers| !servers.is_empty());
        self.subscribers.retain(|_, peers| !peers.is_empty());
        self.published.retain(|_, (_, at)| !expired(*at, LOAD_TTL));
    }

    /// Returns the loads of the subscribed models if they changed since the last call.
    pub(super) fn changed_view(&mut self) -> Option<Fleet> {
        std::mem::take(&mut self.changed).then(|| self.view())
    }

    fn view(&self) -> Fleet {
        let wanted = self
            .loads
            .iter()
            .filter(|(model, _)| self.subscriptions.contains(*model));
        let models = wanted
            .map(|(model, servers)| {
                let loads = servers
                    .iter()
                    .filter_map(|(server, known)| Some((server.clone(), decode_load(known)?)));
                (model.clone(), loads.collect())
            })
            .collect();
        Fleet { models }
    }

    fn publish_load(&mut self, update: LoadUpdate, live: &BTreeSet<String>, now: Duration) {
        let replica = (update.model.clone(), update.server.clone());
        let instances = u32::try_from(live.len()).unwrap_or(u32::MAX);
        let spacing = SPACING_PER_INSTANCE
            .saturating_mul(instances)
            .min(MAX_LOAD_SPACING);
        let suppressed = self.published.get(&replica).is_some_and(|(sent, at)| {
            let age = now.saturating_sub(*at);
            let same_state = (&sent.boot, sent.state) == (&update.boot, update.state);
            let same = (sent.running, sent.queued) == (update.running, update.queued);
            same_state && age < if same { LOAD_REFRESH } else { spacing }
        });
        if suppressed {
            return;
        }
        if update.state == STATE_GONE {
            self.published.remove(&replica);
        } else {
            self.published.insert(replica, (update.clone(), now));
        }
        self.apply_load(&update, now);
        if let Some(peer) = owner(&model_key(&update.model), live) {
            self.enqueue(peer.clone(), update);
        }
    }

    fn enqueue(&mut self, peer: String, load: LoadUpdate) {
        if peer == self.me {
            return;
        }
        let replica = (load.model.clone(), load.server.clone());
        self.outbox.entry(peer).or_default().insert(replica, load);
    }

    fn load_update(&self, delta: &FleetDelta, resident: &ResidentLoad) -> LoadUpdate {
        LoadUpdate {
            origin: self.me.clone(),
            sequence: self.sequence,
            server: delta.server.clone(),
            boot: delta.boot.clone(),
            model: resident.model.clone(),
            state: match resident.state {
                Residency::Loading => 0,
                Residency::Ready => 1,
                Residency::Unloading => 2,
            },
            running: resident.running,
            queued: resident.queued,
        }
    }
}

fn decode_load(known: &KnownLoad) -> Option<Load> {
    let state = match known.load.state {
        0 => Residency::Loading,
        1 => Residency::Ready,
        2 => Residency::Unloading,
        _ => return None,
    };
    Some(Load {
        boot: known.load.boot.clone(),
        state,
        running: known.load.running,
        queued: known.load.queued,
        received_at: known.received_at,
    })
}

fn model_key(model: &str) -> String {
    format!("model/{model}")
}
