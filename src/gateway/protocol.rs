//! Edges of the process towards the platform: its protocol and its feed of changed rows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response, Uri};

use super::catalog::Catalog;
use crate::BoxFuture;
use crate::http::Body;
use crate::table::TableError;
use crate::verdict::Refusal;

/// A row that changed, or is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Key in its table.
    pub key: String,
    /// Text of the row; none where it was deleted.
    pub value: Option<String>,
}

/// Rows up to a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// The rows, oldest change first.
    pub rows: Vec<FeedRow>,
    /// Version up to which the rows are complete.
    pub version: u64,
}

/// Why rows could not be followed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The changes since the version are not kept any more; all rows have to be read.
    #[error("the table's history since the version is gone")]
    HistoryGone,
    /// The store did not answer.
    #[error(transparent)]
    Table(#[from] TableError),
}

/// The platform's tables as they change.
pub trait TableFeed: Debug + Send + Sync {
    /// All rows of a table at one moment.
    ///
    /// # Errors
    ///
    /// [`FeedError::Table`] where the store does not answer.
    fn snapshot<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<RowBatch, FeedError>>;

    /// The changes after a version; waits until there is one, at most for `wait`.
    ///
    /// # Errors
    ///
    /// [`FeedError::HistoryGone`] where the version is too old.
    fn changes_since<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RowBatch, FeedError>>;
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes what it has; no new work.
    Draining,
}

/// An endpoint as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: EndpointState,
    /// Time of its start, in Unix milliseconds; 0 where unknown.
    pub start_ms: u64,
    /// Number of this description since its start.
    pub sequence: u64,
    /// Models that it holds, each with its adapters.
    pub models: HeldModels,
    /// Models whose weights lie in its main memory.
    pub memory_models: BTreeSet<String>,
    /// Models whose weights lie on its disk.
    pub disk_models: BTreeSet<String>,
}

/// Models that an endpoint holds, each with its adapters.
pub type HeldModels = BTreeMap<String, BTreeSet<String>>;

/// A model, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Base model.
    pub model: String,
    /// Adapter, where one is asked for.
    pub adapter: Option<String>,
}

impl Target {
    /// A base model.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::protocol::Target;
    ///
    /// assert_eq!(Target::base("m").adapter_name(), "");
    /// ```
    #[must_use]
    pub fn base(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            adapter: None,
        }
    }

    /// Name of the adapter; empty for the base model.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::protocol::Target;
    ///
    /// let target = Target { adapter: Some("a1".into()), ..Target::base("m") };
    /// assert_eq!(target.adapter_name(), "a1");
    /// ```
    #[must_use]
    pub fn adapter_name(&self) -> &str {
        self.adapter.as_deref().unwrap_or_default()
    }

    /// Whether an endpoint that holds some models can run a request for this one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::collections::{BTreeMap, BTreeSet};
    /// use brassrack::gateway::protocol::Target;
    ///
    /// let models = BTreeMap::from([("m".to_owned(), BTreeSet::new())]);
    /// let base = Target::base("m");
    /// assert!(base.held_in(&models));
    /// assert!(!Target { adapter: Some("a1".into()), ..base }.held_in(&models));
    /// ```
    #[must_use]
    pub fn held_in(&self, models: &HeldModels) -> bool {
        let held = models.get(&self.model);
        held.is_some_and(|adapters| self.adapter.as_ref().is_none_or(|a| adapters.contains(a)))
    }
}

/// What a request's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Host, as named.
    pub host: String,
    /// Time that the caller will wait; none where it does not say.
    pub timeout: Option<Duration>,
    /// Model or adapter.
    pub target: Option<Target>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Id of the first part of the prompt, which requests share.
    pub prefix_id: Option<String>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What to tell an endpoint with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchHead {
    /// Time that is left.
    pub time_left: Duration,
    /// Endpoint that may run the request; any other refuses it.
    pub endpoint: String,
    /// Urgency among requests that wait at an engine, 0 to 9; 0 is first.
    pub urgency: Option<u8>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether an endpoint signed it.
    pub signed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Requests running, waiting and slots of the endpoint.
    pub load: Option<(u32, u32, u32)>,
}

/// An engine's report, some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Start of the engine, in Unix milliseconds; 0 where unknown.
    pub start_ms: u64,
    /// Orders accepted since the start.
    pub accepted_orders: u64,
    /// Whether an order is being carried out.
    pub executing: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Models held, each with its adapters.
    pub models: HeldModels,
    /// Adapters on their way.
    pub loading_adapters: BTreeSet<Target>,
    /// Models whose weights lie in main memory.
    pub memory_models: BTreeSet<String>,
    /// Models whose weights lie on disk.
    pub disk_models: BTreeSet<String>,
    /// Whether the engine is leaving.
    pub draining: bool,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload it.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// With which model or adapter.
    pub target: Target,
    /// Orders that the engine must have accepted so far.
    pub expected_orders: u64,
    /// Instance that gives the order.
    pub holder: String,
    /// Fencing token.
    pub fencing_token: u64,
    /// Endpoint that the order is meant for.
    pub endpoint: String,
}

/// Bytes of the platform that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct WireError(pub String);

/// The platform's protocol.
pub trait WireProtocol: Debug + Send + Sync {
    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`WireError`] where a field is missing or of another type.
    fn decode_catalog(&self, text: &str) -> Result<Catalog, WireError>;

    /// Decodes an endpoint's description of itself.
    ///
    /// # Errors
    ///
    /// [`WireError`] where a field is missing or of another type.
    fn decode_endpoint(&self, id: &str, text: &str) -> Result<Endpoint, WireError>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`WireError`] where a header cannot be read.
    fn decode_request_head(&self, head: &request::Parts) -> Result<RequestHead, WireError>;

    /// Headers of a request on its way to an endpoint.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchHead);

    /// Decodes the head of an answer.
    fn decode_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// An answer of our own to a request with an id.
    fn refusal_response(&self, refusal: &Refusal, id: &str) -> Response<Body>;

    /// The request for an engine's report.
    fn report_uri(&self) -> Uri;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// [`WireError`] where a field is missing or of another type.
    fn decode_report(&self, body: &[u8]) -> Result<Report, WireError>;

    /// Encodes an order.
    fn order_request(&self, order: &Order) -> Request<Full<Bytes>>;
}
