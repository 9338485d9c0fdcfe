//! Interfaces to the platform: its wire protocol and its feed of changed table rows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response, Uri};

use super::accounts::{DetourProof, KeyDigest};
use super::catalog::Catalog;
use super::prompt_parts::PromptParts;
use crate::BoxFuture;
use crate::http::Body;
use crate::table::TableError;
use crate::verdict::Refusal;

/// A row of a table, or its deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Key within its table.
    pub key: String,
    /// Text of the row; `None` where it was deleted.
    pub value: Option<String>,
}

/// Rows read at, or changed up to, a version of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// The rows, oldest change first.
    pub rows: Vec<FeedRow>,
    /// Revision of the table up to which the rows are complete.
    pub version: u64,
}

/// Error of a read from a table feed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// Changes since the version are no longer retained; a new snapshot is needed.
    #[error("changes since the requested version are no longer retained")]
    HistoryGone,
    /// The service came back from an older copy; a new snapshot is needed.
    #[error("the table service came back from an older copy")]
    Restored,
    /// The call to the table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
}

/// Change feed of the platform's tables.
pub trait TableFeed: Debug + Send + Sync {
    /// All rows of a table at one version.
    ///
    /// # Errors
    ///
    /// [`FeedError::Table`] where the call to the table service fails.
    fn snapshot<'a>(&'a self, table: &'a str) -> BoxFuture<'a, Result<RowBatch, FeedError>>;

    /// Changes after a version; waits for the first one, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`FeedError::HistoryGone`] where changes since the version are no longer retained, and
    /// [`FeedError::Restored`] where the version is of an earlier era than the answer.
    fn changes_since<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RowBatch, FeedError>>;
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes running requests and accepts no new ones.
    Draining,
}

/// An endpoint, as its row in the server list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this run of the endpoint.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Version of its software.
    pub software: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Start time, in Unix milliseconds; 0 where unknown.
    pub start_ms: u64,
    /// Sequence number of this description since the start.
    pub sequence: u64,
    /// Models that it has loaded, each with its adapters.
    pub models: HeldModels,
    /// Models whose weights are in its main memory.
    pub memory_models: BTreeSet<String>,
    /// Models whose weights are on its disk.
    pub disk_models: BTreeSet<String>,
}

/// Models loaded by an endpoint, each with its loaded adapters.
pub type HeldModels = BTreeMap<String, BTreeSet<String>>;

/// A base model, or an adapter of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Base model.
    pub model: String,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<String>,
}

impl Target {
    /// Creates the target for a base model.
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

    /// Whether an endpoint that holds `models` can run a request for this target.
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

/// Fields decoded from the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id that the caller gave to this attempt.
    pub id: String,
    /// Value of the host header.
    pub host: String,
    /// Time that the caller will wait; `None` where it states none.
    pub timeout: Option<Duration>,
    /// Requested model or adapter.
    pub target: Option<Target>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the response.
    pub max_tokens: u32,
    /// Both numbers together; none where the request does not state them.
    pub stated_tokens: Option<u32>,
    /// Id of the prompt prefix, which several requests may share.
    pub prefix_id: Option<String>,
    /// Ids of the prompt's parts in order, without the last one, which is the request's own.
    pub shared_parts: PromptParts,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that this one resumes.
    pub resumes: Option<String>,
    /// Whether another instance without a path to endpoints passed it here.
    pub detoured: bool,
    /// Version of the configuration by which that one chose the route; none where it does not say.
    pub detour_version: Option<u64>,
    /// Digest of the caller's key; none without a key or with several.
    pub key: Option<KeyDigest>,
    /// What another instance sends in place of the key of a request that it passes here.
    pub proof: Option<DetourProof>,
}

/// What a request that is sent on carries as its account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AccountHeader {
    /// What the caller sent; the configuration has no accounts.
    #[default]
    Keep,
    /// Nothing, whatever the caller sent.
    Remove,
    /// The name of the request's account.
    Set(String),
}

/// Values that a request passed to another instance carries in its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetourHead {
    /// Time until the deadline.
    pub time_left: Duration,
    /// Version of the configuration by which the route was chosen.
    pub version: u64,
    /// Account of the request.
    pub account: AccountHeader,
    /// Proof that this instance has seen the account's key.
    pub proof: Option<DetourProof>,
}

/// Values that a request to an endpoint carries in its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchHead {
    /// Time until the deadline.
    pub time_left: Duration,
    /// Id of the endpoint that may run the request; any other refuses it.
    pub endpoint: String,
    /// Priority in an engine's queue, 0 to 9; 0 is served first.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Account of the request.
    pub account: AccountHeader,
}

/// Fields decoded from the head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that it responds to.
    pub id: Option<String>,
    /// Whether it carries an endpoint's signature.
    pub signed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Requests running, requests waiting and slots of the endpoint.
    pub load: Option<(u32, u32, u32)>,
    /// How long work takes on the endpoint's machine at the moment, relative to the usual time; none
    /// where it does not say.
    pub pace: Option<f64>,
    /// Whether the endpoint leaves and is to get no new requests.
    pub leaving: bool,
    /// Requests a second that the endpoint takes from all instances together, if it names a limit.
    pub limit: Option<f64>,
    /// Requests turned away within a second that the endpoint bears, if it says that it is brittle.
    pub brittle: Option<u32>,
    /// Time for which an endpoint that turned the request away wants nothing from this instance.
    pub pause: Option<Duration>,
}

/// An engine's report of its state, some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time of the engine, in Unix milliseconds; 0 where unknown.
    pub start_ms: u64,
    /// Number of orders accepted since the start.
    pub accepted_orders: u64,
    /// Whether an order is being executed.
    pub executing: bool,
    /// Number of requests running.
    pub running: u32,
    /// Number of requests waiting.
    pub queued: u32,
    /// Models loaded, each with its adapters.
    pub models: HeldModels,
    /// Adapters that are being loaded.
    pub loading_adapters: BTreeSet<Target>,
    /// Models whose weights are in main memory.
    pub memory_models: BTreeSet<String>,
    /// Models whose weights are on disk.
    pub disk_models: BTreeSet<String>,
    /// Whether the engine is draining.
    pub draining: bool,
}

/// Action that an order asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load a model or an adapter.
    Load,
    /// Unload a model or an adapter.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Action to take.
    pub action: Action,
    /// Model or adapter to act on.
    pub target: Target,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// Name of the instance that sends the order, the lease holder.
    pub holder: String,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// Id of the endpoint that the order is for.
    pub endpoint: String,
}

/// Error for data from the platform that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct WireError(pub String);

/// Encoder and decoder of the platform's protocol.
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

    /// Decodes the head of a caller's request, and removes the caller's key and any proof from it.
    ///
    /// # Errors
    ///
    /// [`WireError`] where a header cannot be read.
    fn decode_request_head(&self, head: &mut request::Parts) -> Result<RequestHead, WireError>;

    /// Sets the headers of a request to an endpoint and removes those that callers may not set.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchHead);

    /// Sets the headers of a request that is passed to another instance.
    fn set_detour_headers(&self, headers: &mut HeaderMap, detour: &DetourHead);

    /// Decodes the head of an endpoint's response, and removes what is not for callers.
    fn decode_response_head(&self, head: &mut response::Parts) -> ResponseHead;

    /// Whether a response carries an endpoint's signature.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Response of the gateway itself that refuses the request with this id.
    fn refusal_response(&self, refusal: &Refusal, id: &str) -> Response<Body>;

    /// URI of an engine's report.
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
