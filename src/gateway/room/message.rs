//! Protocol Buffers messages about room at brittle endpoints, between an instance and the lease holder.
//!
//! A report replaces the one before, so that a lost or repeated message does no harm. Senders that do
//! not know these messages leave them out.

use prost::Message;

/// A service whose endpoints are brittle, or were until lately.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BrittleEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests turned away within a second that an endpoint bears; none where it is brittle no longer.
    #[prost(uint32, optional, tag = "2")]
    pub bound: Option<u32>,
    /// Time since an answer said so, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// What an instance has at a brittle endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoomUse {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests that the endpoint runs at a time.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Requests in progress and unused permits.
    #[prost(uint32, tag = "4")]
    pub held: u32,
    /// Requests that it turned away since the last report.
    #[prost(uint32, tag = "5")]
    pub rejected: u32,
    /// Requests that failed there since the last report.
    #[prost(uint32, tag = "6")]
    pub failed: u32,
    /// Requests that it answered since the last report.
    #[prost(uint32, tag = "7")]
    pub answered: u32,
}

/// Requests that wait until one of some endpoints has room.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoomWait {
    /// Ids of the endpoints.
    #[prost(string, repeated, tag = "1")]
    pub ids: Vec<String>,
    /// Number of the requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Report from an instance to the lease holder.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoomReport {
    /// Whether the rest of the message that contains this is empty.
    #[prost(bool, tag = "1")]
    pub only: bool,
    /// Number of the last update about room that was received on this link; 0 before the first one.
    #[prost(uint64, tag = "2")]
    pub heard: u64,
    /// Endpoints that the instance uses or waits for; the others have none of its requests.
    #[prost(message, repeated, tag = "3")]
    pub uses: Vec<RoomUse>,
    /// Requests that wait.
    #[prost(message, repeated, tag = "4")]
    pub waits: Vec<RoomWait>,
    /// Services whose endpoints are brittle.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<BrittleEntry>,
}

/// Permits for one endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoomGrant {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests that may be sent to it now, beyond those before.
    #[prost(uint32, tag = "3")]
    pub permits: u32,
    /// Expected time until there is room for one more, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub next_ms: u32,
}

/// Answer of the lease holder.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoomUpdate {
    /// Number of the update; rises by one at least from one to the next.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Permits of the receiver.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<RoomGrant>,
}
