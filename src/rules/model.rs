//! Types of the checked rules.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How engines treat the fencing number of an order.
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
    /// An old number is refused.
    Checked,
    /// The number is ignored.
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
    /// Somebody waits for the answer.
    Interactive,
    /// The answer is due within minutes.
    Standard,
    /// The answer is due by the morning.
    Batch,
}

/// Whether a call to a service may be repeated.
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
    /// Repeating changes nothing.
    Safe,
    /// It may run at most once; brassrack keeps the record.
    Never,
    /// It may run at most once, and the service itself recognises the key.
    Keyed,
}

/// Engines of one service name, all alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Accelerator memory of each server, in bytes.
    pub memory: u64,
    /// How they treat fencing numbers.
    pub orders: Fencing,
    /// Accelerators of each server.
    pub accelerators: u32,
}

/// A model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Service name of the engines that serve it.
    pub engines: String,
    /// Base model, for an adapter.
    pub base: Option<String>,
    /// Memory of a replica, in bytes.
    pub size: u64,
    /// Priority class.
    pub class: PriorityClass,
    /// Latest first token.
    #[serde(rename = "token")]
    pub first_token: Duration,
    /// Most replicas.
    pub replicas: u32,
}

/// One kind of call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path; a trailing `*` matches any rest.
    pub path: String,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Longest time for an answer.
    pub timeout: Duration,
}

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Calls in the order of the file; the first that matches counts.
    pub calls: Vec<Call>,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests a second over all instances.
    pub rate: u32,
    /// Requests at once over all instances.
    pub concurrency: u32,
    /// Least urgent class that its requests are raised to.
    pub class: PriorityClass,
}

/// How the measures weigh against each other, and other bounds of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of idle accelerator hours against the cold-start tail, from 0 to 1.
    pub idle: f64,
    /// Loads at once from the weight store at full speed.
    pub loads: u32,
    /// Adapter loads in flight at once.
    pub adapters: u32,
    /// Endpoint crashes after which a suspected request is refused.
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

/// A checked configuration.
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
    /// Weights and bounds.
    pub weights: Weights,
}
