//! Messages between an instance and the holder of the lease, as Protocol Buffers.

use prost::Message;

use super::super::edge::{Models, Target};
use super::super::servers::View;

/// A model or adapter and numbers about it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCount {
    /// Service, or id of an endpoint.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Base model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Adapter; empty for the base model.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests that wait, or run.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Requests that came since the last report.
    #[prost(uint32, tag = "5")]
    pub arrivals: u32,
    /// Milliseconds that the first of them has waited, or until it can be served.
    #[prost(uint32, tag = "6")]
    pub wait_ms: u32,
}

impl TargetCount {
    /// The model or adapter.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            model: self.model.clone(),
            adapter: (!self.adapter.is_empty()).then(|| self.adapter.clone()),
        }
    }

    pub(super) fn new(scope: &str, target: &Target) -> Self {
        Self {
            scope: scope.to_owned(),
            model: target.model.clone(),
            adapter: target.adapter.clone().unwrap_or_default(),
            ..Self::default()
        }
    }
}

/// What an instance tells the holder.
#[derive(Clone, PartialEq, Message)]
pub struct DemandReport {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Version of its configuration; 0 where it has none.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Requests that wait or came, by service.
    #[prost(message, repeated, tag = "3")]
    pub requested: Vec<TargetCount>,
    /// Requests that run, by endpoint.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<TargetCount>,
    /// Fingerprints of requests at which endpoints broke off.
    #[prost(fixed64, repeated, tag = "5")]
    pub aborted: Vec<u64>,
    /// Milliseconds of the holder's clock in the newest outlook that was heard from it; 0 before.
    #[prost(uint64, tag = "6")]
    pub clock_echo: u64,
}

/// A model of an engine, as the holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct ModelView {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
    /// Whether it is about to be unloaded.
    #[prost(bool, tag = "3")]
    pub unloading: bool,
}

/// An engine, as the holder sees it.
#[derive(Clone, PartialEq, Message)]
pub struct EngineView {
    /// Id of the incarnation.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Orders that it accepted.
    #[prost(uint64, tag = "3")]
    pub accepted_orders: u64,
    /// Its models.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ModelView>,
    /// Requests that run there, from all instances.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Requests that its engine ran when it reported last.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that waited in its engine then.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub draining: bool,
}

impl EngineView {
    /// Encodes a view.
    #[must_use]
    pub fn from_view(view: &View) -> Self {
        let mut models: Vec<ModelView> = view
            .models
            .iter()
            .map(|(name, adapters)| ModelView {
                name: name.clone(),
                adapters: adapters.iter().cloned().collect(),
                unloading: false,
            })
            .collect();
        models.extend(view.closing.iter().map(|name| ModelView {
            name: name.clone(),
            adapters: Vec::new(),
            unloading: true,
        }));
        Self {
            id: view.id.clone(),
            started_ms: view.born,
            accepted_orders: view.accepted,
            models,
            load: view.load,
            running: view.running,
            queued: view.queued,
            draining: view.leaving,
        }
    }

    /// Decodes it.
    #[must_use]
    pub fn to_view(&self) -> View {
        let serving = self.models.iter().filter(|m| !m.unloading);
        let unloading = self.models.iter().filter(|m| m.unloading);
        View {
            id: self.id.clone(),
            born: self.started_ms,
            accepted: self.accepted_orders,
            models: serving
                .map(|m| (m.name.clone(), m.adapters.iter().cloned().collect()))
                .collect::<Models>(),
            closing: unloading.map(|m| m.name.clone()).collect(),
            load: self.load,
            running: self.running,
            queued: self.queued,
            leaving: self.draining,
        }
    }
}

/// What an instance answers.
#[derive(Clone, PartialEq, Message)]
pub struct FleetUpdate {
    /// Address of the lease holder, as far as known; empty where unknown.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Whether the sender holds the lease.
    #[prost(bool, tag = "2")]
    pub holding: bool,
    /// Instances that live, where the sender holds the lease.
    #[prost(uint32, tag = "3")]
    pub live_instances: u32,
    /// Text of a newer configuration; empty where there is none.
    #[prost(string, tag = "4")]
    pub config: String,
    /// Engines that changed.
    #[prost(message, repeated, tag = "5")]
    pub engines: Vec<EngineView>,
    /// Time until cold models can be served, by service.
    #[prost(message, repeated, tag = "6")]
    pub estimates: Vec<TargetCount>,
    /// Fingerprints of refused requests.
    #[prost(fixed64, repeated, tag = "7")]
    pub refused: Vec<u64>,
    /// Milliseconds of the sender's clock.
    #[prost(uint64, tag = "8")]
    pub clock_ms: u64,
    /// Version of the lease's row, where the sender holds it.
    #[prost(uint64, tag = "9")]
    pub row_version: u64,
}
