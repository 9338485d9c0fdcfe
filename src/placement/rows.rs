//! Rows of the table service that hold the decided replicas.

use serde::{Deserialize, Serialize};

use crate::commit::Record;
use crate::state_chart::ReplicaState;

/// Key of a server's row.
#[must_use]
pub fn server_key(server: &str) -> String {
    format!("server/{server}")
}

/// Key of a model's row.
#[must_use]
pub fn model_key(model: &str) -> String {
    format!("model/{model}")
}

/// Key of the row of a region's weight store.
#[must_use]
pub fn store_key(region: &str) -> String {
    format!("store/{region}")
}

/// Place that a load takes at the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Slot {
    /// One of the loads at full speed.
    Load,
    /// One of the adapters in flight.
    Adapter,
}

/// A replica decided for a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Model or adapter.
    pub model: String,
    /// Base model of an adapter.
    pub base: Option<String>,
    /// Memory that it takes, in bytes.
    pub bytes: u64,
    /// State.
    pub state: ReplicaState,
    /// Operation id of the load order.
    pub op: String,
    /// Operation id of the unload order, once that is decided.
    pub unload: Option<String>,
    /// Revision of the server's row before the unload was decided; a report with a higher fencing
    /// number was made after an order that followed the decision.
    pub after: u64,
    /// Place that it holds at the weight store.
    pub slot: Option<Slot>,
    /// Milliseconds since the Unix epoch at its last change of state; for people only.
    pub since: u64,
}

/// Row `server/<name>`: what is decided for one server. Its revision is the fencing number of the
/// orders that follow from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Memory in bytes.
    pub capacity: u64,
    /// Boot id of the engine as last reported; empty before the first report.
    pub boot: String,
    /// Replicas, each with its memory counted.
    pub replicas: Vec<Replica>,
    /// Set after a restart until no order from before it can arrive any more: the revision of the
    /// row before the restart was recorded. Nothing is decided for the server meanwhile.
    #[serde(default)]
    pub settling: Option<u64>,
}

impl Record for ServerRow {}

impl ServerRow {
    /// Memory that is counted, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.replicas.iter().map(|r| r.bytes).sum()
    }

    /// The replica of a model that serves now or soonest.
    #[must_use]
    pub fn replica(&self, model: &str) -> Option<&Replica> {
        let rank = |state| match state {
            ReplicaState::Ready => 4,
            ReplicaState::Loading => 3,
            ReplicaState::Granted => 2,
            ReplicaState::Unloading => 1,
            ReplicaState::Absent | ReplicaState::Quarantined => 0,
        };
        let of_model = self.replicas.iter().filter(|r| r.model == model);
        of_model.max_by_key(|r| rank(r.state))
    }

    /// The replica that a load order brought or is to bring.
    #[must_use]
    pub fn replica_by_op(&self, op: &str) -> Option<&Replica> {
        self.replicas.iter().find(|r| r.op == op)
    }

    /// Whether an adapter of a base model is counted.
    #[must_use]
    pub fn has_adapters(&self, base: &str) -> bool {
        self.replicas
            .iter()
            .any(|r| r.base.as_deref() == Some(base))
    }
}

/// Row `model/<name>`: the servers with a replica in any state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRow {
    /// Server names.
    pub servers: Vec<String>,
}

impl Record for ModelRow {}

impl ModelRow {
    /// Counts a replica on a server.
    pub fn add_server(&mut self, server: &str) {
        if !self.servers.iter().any(|s| s == server) {
            self.servers.push(server.into());
        }
    }

    /// Stops counting the replica on a server.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.retain(|s| s != server);
    }
}

/// A load that holds a place at the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHolder {
    /// Operation id of the load.
    pub op: String,
    /// Server that loads.
    pub server: String,
}

/// Row `store/<region>`: the loads in flight from a region's weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Loads of models.
    pub loads: Vec<SlotHolder>,
    /// Loads of adapters.
    pub adapters: Vec<SlotHolder>,
    /// Process start that alone may activate grants, one load at a time; empty where nobody may.
    /// One place for a load is kept free for it.
    #[serde(default)]
    pub activator: String,
}

impl Record for StoreRow {}

impl StoreRow {
    /// Holders of one kind of place.
    #[must_use]
    pub fn holders(&self, slot: Slot) -> &Vec<SlotHolder> {
        match slot {
            Slot::Load => &self.loads,
            Slot::Adapter => &self.adapters,
        }
    }

    /// Takes a place for a load.
    pub fn acquire_slot(&mut self, slot: Slot, holder: SlotHolder) {
        match slot {
            Slot::Load => self.loads.push(holder),
            Slot::Adapter => self.adapters.push(holder),
        }
    }

    /// Gives back the place of a load.
    pub fn release_slot(&mut self, op: &str) {
        self.loads.retain(|h| h.op != op);
        self.adapters.retain(|h| h.op != op);
    }
}
