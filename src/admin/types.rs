//! Bodies of the administration API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::instances::Standing;
use crate::rules::{ApplyConflict, PriorityClass, RuleError, Version, VersionText};
use crate::verdict::{Cause, Verdict};

/// State of an instance as its peers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// It has no configuration in force yet.
    #[default]
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes running requests and takes no new ones.
    Draining,
    /// It is listed, but its heartbeats are missing.
    Silent,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name in the instance list.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// State.
    pub state: InstanceState,
    /// Version of the rules in force; 0 for none.
    pub version: u64,
    /// Requests running.
    pub running: u64,
    /// Requests waiting.
    pub waiting: u64,
    /// Age of what is known of it, in milliseconds.
    pub age_ms: u64,
}

/// All listed instances, as the answering one knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the answering instance.
    pub answered_by: String,
    /// Instances by name.
    pub instances: Vec<InstanceStatus>,
}

/// One replica on a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Model or adapter.
    pub model: String,
    /// State of the replica's state chart.
    pub state: String,
    /// Memory reserved, in bytes.
    pub bytes: u64,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the engine.
    pub queued: u32,
    /// Time since its last request, in milliseconds.
    pub idle_ms: u64,
}

/// One server or service endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name in the instance list.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// State in the instance list.
    pub standing: Standing,
    /// Accelerator memory, in bytes; 0 for a plain service.
    pub memory: u64,
    /// Memory reserved, in bytes.
    pub reserved: u64,
    /// Age of its last report, in milliseconds; none before the first one.
    pub age_ms: Option<u64>,
    /// Replicas by model.
    pub replicas: Vec<ReplicaStatus>,
}

/// One model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Name.
    pub name: String,
    /// Service name of its engines.
    pub engines: String,
    /// Base model, for an adapter.
    pub base: Option<String>,
    /// Priority class.
    pub class: PriorityClass,
    /// Memory of a replica, in bytes.
    pub size: u64,
    /// Most replicas.
    pub limit: u32,
    /// Replicas decided.
    pub decided: u32,
    /// Replicas that serve.
    pub ready: u32,
    /// Requests that wait for it at the answering instance.
    pub waiting: u64,
}

/// One step of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStep {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// State of the request's state chart.
    pub state: String,
    /// What happened, in one sentence.
    pub detail: String,
}

/// What happened to one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Instance that took it.
    pub instance: String,
    /// Tenant.
    pub tenant: String,
    /// Priority class.
    pub class: Option<PriorityClass>,
    /// Model, or method and path of a call.
    pub target: String,
    /// Endpoint that it was sent to last.
    pub endpoint: Option<String>,
    /// When it arrived, in UTC as RFC 3339.
    pub arrived: String,
    /// Status of the answer; none while it runs.
    pub status: Option<u16>,
    /// Verdict, where brassrack answered itself.
    pub verdict: Option<Verdict>,
    /// Cause, where brassrack answered itself.
    pub cause: Option<Cause>,
    /// Steps in their order.
    pub steps: Vec<RequestStep>,
}

/// Progress of a graceful stop.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Name of the instance.
    pub instance: String,
    /// Requests still running.
    pub running: u64,
    /// Requests still waiting.
    pub waiting: u64,
}

/// A version of the rules as answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesAnswer {
    /// The version and its text.
    #[serde(flatten)]
    pub source: VersionText,
    /// Whether the table service confirmed it just now; else it is the one in force here.
    pub confirmed: bool,
}

/// A change of the rules to be accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Version that the change is based on; 0 where there is none.
    pub base: u64,
    /// Text of the rules file.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// Why, in the author's words.
    #[serde(default)]
    pub note: String,
    /// Operation id of 1 to 64 letters, digits or '-'; one is made up where it is empty.
    #[serde(default)]
    pub op: String,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The version.
    pub version: Version,
    /// Instances that do not have it in force yet; none where it was not waited for.
    pub pending: Option<Vec<String>>,
}

/// Why the API answers with an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FailureCode {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or wrong.
    Denied,
    /// There is no such path, request or version.
    NotFound,
    /// The path has no such method.
    BadMethod,
    /// Another change was accepted first.
    Raced,
    /// The change is based on a version that does not exist.
    NoSuchBase,
    /// The body is too large.
    TooLarge,
    /// The body arrived too slowly.
    SlowSender,
    /// The rules file has errors.
    Invalid,
    /// The platform does not answer; nothing was changed.
    Unavailable,
    /// The answer was lost; the change may have been accepted.
    Unknown,
}

impl FailureCode {
    /// HTTP status code that belongs to the error.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Denied => 401,
            Self::NotFound => 404,
            Self::BadMethod => 405,
            Self::SlowSender => 408,
            Self::Raced | Self::NoSuchBase => 409,
            Self::TooLarge => 413,
            Self::Invalid => 422,
            Self::Unavailable => 503,
            Self::Unknown => 504,
        }
    }

    /// Whether a change may have been accepted.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::Unknown => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{detail}")]
pub struct Failure {
    /// Why.
    pub code: FailureCode,
    /// Whether a change may have been accepted.
    pub verdict: Verdict,
    /// One sentence.
    pub detail: String,
    /// Errors of the rules file.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<RuleError>,
    /// The change that was accepted first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub race: Option<Box<ApplyConflict>>,
}

impl Failure {
    /// An error with one sentence.
    #[must_use]
    pub const fn new(code: FailureCode, detail: String) -> Self {
        Self {
            code,
            verdict: code.verdict(),
            detail,
            errors: Vec::new(),
            race: None,
        }
    }
}
