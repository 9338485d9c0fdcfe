//! Messages about engines as the lease holder knows them.

use prost::Message;

use super::super::protocol::HeldModels;
use super::super::servers::EndpointView;

/// Model on an engine as known to the lease holder.
#[derive(Clone, PartialEq, Message)]
pub struct ModelView {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Loaded adapters of the model.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
    /// Whether the model is being unloaded.
    #[prost(bool, tag = "3")]
    pub unloading: bool,
}

/// Engine as known to the lease holder.
#[derive(Clone, PartialEq, Message)]
pub struct EngineView {
    /// Id of the engine's incarnation.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Number of orders that the engine has accepted.
    #[prost(uint64, tag = "3")]
    pub accepted_orders: u64,
    /// Models on the engine.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ModelView>,
    /// Requests running on it, from all instances.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Running requests according to the engine's last report.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Queued requests according to the engine's last report.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Whether it accepts no new requests.
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// Distinct models among the running requests, from all instances; 0 where unknown.
    #[prost(uint32, tag = "20")]
    pub models_running: u32,
    /// Stated pace of its machine in percent of the usual time; 0 where unknown.
    #[prost(uint32, tag = "21")]
    pub pace_percent: u32,
}

impl EngineView {
    /// Converts a view to its message.
    #[must_use]
    pub fn from_view(view: &EndpointView) -> Self {
        let mut models: Vec<ModelView> = view
            .models
            .iter()
            .map(|(name, adapters)| ModelView {
                name: name.clone(),
                adapters: adapters.iter().cloned().collect(),
                unloading: false,
            })
            .collect();
        models.extend(view.unloading.iter().map(|name| ModelView {
            name: name.clone(),
            adapters: Vec::new(),
            unloading: true,
        }));
        Self {
            id: view.id.clone(),
            started_ms: view.started_ms,
            accepted_orders: view.accepted_orders,
            models,
            load: view.load,
            running: view.running,
            queued: view.queued,
            draining: view.draining,
            models_running: view.models_running,
            pace_percent: view.pace_percent,
        }
    }

    /// Converts the message back to a view.
    #[must_use]
    pub fn to_view(&self) -> EndpointView {
        let serving = self.models.iter().filter(|m| !m.unloading);
        let unloading = self.models.iter().filter(|m| m.unloading);
        EndpointView {
            id: self.id.clone(),
            started_ms: self.started_ms,
            accepted_orders: self.accepted_orders,
            models: serving
                .map(|m| (m.name.clone(), m.adapters.iter().cloned().collect()))
                .collect::<HeldModels>(),
            unloading: unloading.map(|m| m.name.clone()).collect(),
            load: self.load,
            running: self.running,
            queued: self.queued,
            draining: self.draining,
            models_running: self.models_running,
            pace_percent: self.pace_percent,
        }
    }
}
