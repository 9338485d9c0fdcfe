//! Rows of the table service that record replica assignments.

use serde::{Deserialize, Serialize};

use crate::commit::Record;
use crate::state_chart::ReplicaState;

/// Key of the row of a server.
#[must_use]
pub fn server_key(server: &str) -> String {
    format!("server/{server}")
}

/// Key of the row of a model.
#[must_use]
pub fn model_key(model: &str) -> String {
    format!("model/{model}")
}

/// Key of the row of a region's weight store.
#[must_use]
pub fn store_key(region: &str) -> String {
    format!("store/{region}")
}

/// Kind of load slot at the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Slot {
    /// Load of a model at full speed.
    Load,
    /// Load of an adapter.
    Adapter,
}

/// A replica assigned to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Model or adapter.
    pub model: String,
    /// Base model of an adapter.
    pub base: Option<String>,
    /// Memory reserved for it, in bytes.
    pub bytes: u64,
    /// State in the replica chart.
    pub state: ReplicaState,
    /// Operation id of the load order.
    pub op: String,
    /// Operation id of the unload order, once the unload was started.
    pub unload: Option<String>,
    /// Revision of the server's row before the unload was started; a report with a higher fencing
    /// token was made after an order that resulted from the unload.
    pub after: u64,
    /// Load slot that it holds at the weight store.
    pub slot: Option<Slot>,
    /// Milliseconds since the Unix epoch at its last change of state; informational only.
    pub since: u64,
}

/// Row `server/<name>`: the assignments of one server.
///
/// Its revision is the fencing token of the orders that result from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Memory in bytes.
    pub capacity: u64,
    /// Boot id of the engine as last reported; empty before the first report.
    pub boot: String,
    /// Assigned replicas; the memory of each is reserved.
    pub replicas: Vec<Replica>,
    /// Row revision before a restart was recorded; none once orders from before can do no harm.
    ///
    /// Nothing is assigned to the server while it is set.
    #[serde(default)]
    pub settling: Option<u64>,
}

impl Record for ServerRow {}

impl ServerRow {
    /// Total memory of the assigned replicas, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.replicas.iter().map(|r| r.bytes).sum()
    }

    /// The replica of a model that is ready or closest to it.
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

    /// The replica that belongs to a load order.
    #[must_use]
    pub fn replica_by_op(&self, op: &str) -> Option<&Replica> {
        self.replicas.iter().find(|r| r.op == op)
    }

    /// Whether an adapter of a base model is assigned to the server.
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
    /// Names of the servers.
    pub servers: Vec<String>,
}

impl Record for ModelRow {}

impl ModelRow {
    /// Adds a server, unless it is listed already.
    pub fn add_server(&mut self, server: &str) {
        if !self.servers.iter().any(|s| s == server) {
            self.servers.push(server.into());
        }
    }

    /// Removes a server.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.retain(|s| s != server);
    }
}

/// A load that holds a slot at the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHolder {
    /// Operation id of the load.
    pub op: String,
    /// Server that the replica is loaded on.
    pub server: String,
}

/// Row `store/<region>`: the loads in flight from a region's weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Loads of models.
    pub loads: Vec<SlotHolder>,
    /// Loads of adapters.
    pub adapters: Vec<SlotHolder>,
    /// The only process run that may activate grants, one load at a time; empty for none.
    /// One load slot is kept free for it.
    #[serde(default)]
    pub activator: String,
}

impl Record for StoreRow {}

impl StoreRow {
    /// Loads that hold slots of one kind.
    #[must_use]
    pub fn holders(&self, slot: Slot) -> &Vec<SlotHolder> {
        match slot {
            Slot::Load => &self.loads,
            Slot::Adapter => &self.adapters,
        }
    }

    /// Takes a slot for a load.
    pub fn acquire_slot(&mut self, slot: Slot, holder: SlotHolder) {
        match slot {
            Slot::Load => self.loads.push(holder),
            Slot::Adapter => self.adapters.push(holder),
        }
    }

    /// Frees the slot of a load.
    pub fn release_slot(&mut self, op: &str) {
        self.loads.retain(|h| h.op != op);
        self.adapters.retain(|h| h.op != op);
    }
}
