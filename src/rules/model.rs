//! Types of the validated rules.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How engines treat the fencing token of an order.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fencing {
    /// Orders with an outdated token are rejected.
    Checked,
    /// The token is ignored.
    Ignored,
}

/// Priority class of a model or tenant, most urgent first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::VariantNames,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PriorityClass {
    /// A user is waiting for the response.
    Interactive,
    /// The response is due within minutes.
    Standard,
    /// The response is due by the next morning.
    Batch,
}

/// Whether a call to a service may be retried.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: a repeated call has no further effect.
    Safe,
    /// The call may run at most once; brassrack records its execution.
    Never,
    /// The call may run at most once; the service deduplicates by idempotency key.
    Keyed,
}

/// Engines of one service name; all have the same properties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Accelerator memory of each server, in bytes.
    pub memory: u64,
    /// Treatment of fencing tokens.
    pub orders: Fencing,
    /// Accelerators of each server.
    pub accelerators: u32,
}

/// A model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Service name of the engines that serve the model.
    pub engines: String,
    /// Base model; set for adapters only.
    pub base: Option<String>,
    /// Accelerator memory of one replica, in bytes.
    pub size: u64,
    /// Priority class.
    pub class: PriorityClass,
    /// Time limit for the first token.
    #[serde(rename = "token")]
    pub first_token: Duration,
    /// Maximum number of replicas.
    pub replicas: u32,
}

/// A call that a plain service accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path; a trailing `*` matches any suffix.
    pub path: String,
    /// Whether the call may be retried.
    pub repeat: Repeat,
    /// Time limit for the response.
    pub timeout: Duration,
}

/// A service that is not an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Calls in file order; the first match applies.
    pub calls: Vec<Call>,
}

/// Limits and priority of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests per second, summed over all instances.
    pub rate: u32,
    /// Concurrent requests, summed over all instances.
    pub concurrency: u32,
    /// Least urgent class that its requests are raised to.
    pub class: PriorityClass,
}

/// Weight of idle capacity against latency, and limits of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of idle accelerator hours against tail cold-start latency, from 0 to 1.
    pub idle: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub loads: u32,
    /// Concurrent adapter loads.
    pub adapters: u32,
    /// Endpoint crashes after which a suspected request is rejected.
    pub crashes: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            idle: 0.5,
            loads: 4,
            adapters: 32,
            crashes: 2,
        }
    }
}

/// A validated configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Engines by service name.
    pub engines: BTreeMap<String, Engines>,
    /// Models and adapters by name.
    pub models: BTreeMap<String, Model>,
    /// Plain services by name.
    pub services: BTreeMap<String, ServiceRule>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Weights and limits of the deployment.
    pub weights: Weights,
}
