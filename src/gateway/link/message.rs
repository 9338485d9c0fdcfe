//! Protocol Buffers messages between an instance and the lease holder.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::super::exchange::Knowledge;
use super::super::protocol::Target;
use super::super::quotas::message::{QuotaReport, QuotaUpdate};
use super::super::room::message::{BrittleEntry, RoomReport, RoomUpdate};
use super::super::servers::{LeavingMark, LimitNotice};
use super::super::stream_origins::OriginNotice;
use super::evidence::CrashEvidence;
use super::loads::LoadsNotice;
use super::millis;
use super::ramps::{PaceEntry, RampEntry};
use super::view::EngineView;

/// Request counts and wait time of a model or adapter.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCount {
    /// Name of a service or id of an endpoint.
    #[prost(string, tag = "1")]
    pub scope: String,
    /// Base model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Adapter; empty for the base model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests that wait or run, depending on the list that contains this.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// Requests that arrived since the last report.
    #[prost(uint32, tag = "5")]
    pub arrivals: u32,
    /// Wait in milliseconds.
    ///
    /// In demand reports, how long the oldest request has waited; in estimates, the time until the
    /// model can serve requests.
    #[prost(uint32, tag = "6")]
    pub wait_ms: u32,
    /// In demand reports, the longest latency objective of the waiting requests, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub objective_ms: u32,
    /// In demand reports, how long an answer is still in time for one of them, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub left_ms: u32,
    /// In demand reports, the only software version at which the requests may run; empty for any.
    #[prost(string, tag = "9")]
    pub software: String,
    /// In demand reports, requests refused for want of room since the last report.
    #[prost(uint32, tag = "10")]
    pub refused: u32,
    /// In demand reports, streams that ended since the last report, at services that state paces.
    #[prost(uint32, tag = "20")]
    pub ended: u32,
    /// In demand reports, those of them that were late, by their first event or by a pause.
    #[prost(uint32, tag = "21")]
    pub late: u32,
}

impl TargetCount {
    /// Model or adapter as a target.
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

/// Limit of an endpoint, and the permits to send requests to it.
#[derive(Clone, PartialEq, Message)]
pub struct LimitEntry {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests a second from all instances together; 0 where the limit has ended.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Time since an answer said so, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// In demand reports, the requests that wait for a permit.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// In demand reports, the further requests that are expected soon.
    #[prost(uint32, tag = "6")]
    pub ahead: u32,
    /// In fleet updates, the permits granted to the instance.
    #[prost(uint32, tag = "7")]
    pub granted: u32,
    /// In fleet updates, the time until a further permit is free, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub next_ms: u32,
}

impl LimitEntry {
    pub(in super::super) fn new(notice: &LimitNotice) -> Self {
        Self {
            id: notice.id.clone(),
            started_ms: notice.started_ms,
            rate: notice.rate.unwrap_or_default(),
            age_ms: millis(notice.age),
            ..Self::default()
        }
    }

    pub(super) fn notice(&self) -> LimitNotice {
        LimitNotice {
            id: self.id.clone(),
            started_ms: self.started_ms,
            rate: (self.rate > 0.0).then_some(self.rate),
            age: Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// Report from an instance to the lease holder.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of the message by itself"
)]
#[derive(Clone, PartialEq, Message)]
pub struct DemandReport {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Version of its configuration; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Waiting requests and new arrivals, by service.
    #[prost(message, repeated, tag = "3")]
    pub requested: Vec<TargetCount>,
    /// Running requests, by endpoint.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<TargetCount>,
    /// Fingerprints of requests during which an endpoint aborted the response.
    #[prost(fixed64, repeated, tag = "5")]
    pub aborted: Vec<u64>,
    /// Holder's clock in milliseconds, from the last update received; 0 before the first one.
    #[prost(uint64, tag = "6")]
    pub clock_echo: u64,
    /// Endpoints that were recently found to leave.
    #[prost(message, repeated, tag = "7")]
    pub leaving: Vec<LeavingEndpoint>,
    /// Parts of prompts under which endpoints end, as far as the instance knows.
    #[prost(message, optional, tag = "8")]
    pub crashes: Option<CrashEvidence>,
    /// Limits that endpoints name, and the permits that the instance asks for.
    #[prost(message, repeated, tag = "9")]
    pub limits: Vec<LimitEntry>,
    /// Where new streams began; none while each service has a single software version.
    #[prost(message, optional, tag = "10")]
    pub origins: Option<OriginNotice>,
    /// Address at which the instance accepts links.
    #[prost(string, tag = "11")]
    pub address: String,
    /// Whether it has no path to the endpoints of some service.
    #[prost(bool, tag = "12")]
    pub cut_off: bool,
    /// Use of quotas and credit asked for; none where no account has a quota.
    #[prost(message, optional, tag = "13")]
    pub quotas: Option<QuotaReport>,
    /// What the sender knows, in place of its demand.
    #[prost(message, optional, tag = "20")]
    pub exchange: Option<Knowledge>,
    /// Servers that ramp of which something changed since the last report, or all.
    #[prost(message, repeated, tag = "30")]
    pub ramps: Vec<RampEntry>,
    /// Pace of the peers of servers that ramp; none if unchanged.
    #[prost(message, repeated, tag = "31")]
    pub paces: Vec<PaceEntry>,
    /// Use of brittle endpoints; none where no service is brittle, or the holder grants no room.
    #[prost(message, optional, tag = "50")]
    pub room: Option<RoomReport>,
    /// Whether the instance takes over late where the lease row does not name it.
    #[prost(bool, tag = "51")]
    pub reads_successors: bool,
    /// Whether `crashes` has what `aborted` has, with the endpoints.
    #[prost(bool, tag = "52")]
    pub reports_closed: bool,
    /// Whether it fetches newer configurations that the holder announces.
    #[prost(bool, tag = "60")]
    pub fetches_config: bool,
    /// Sender's clock in milliseconds.
    #[prost(uint64, tag = "70")]
    pub clock_ms: u64,
}

/// An incarnation of an endpoint that leaves.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingEndpoint {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

impl From<LeavingMark> for LeavingEndpoint {
    fn from(mark: LeavingMark) -> Self {
        let LeavingMark { id, started_ms } = mark;
        Self { id, started_ms }
    }
}

/// Update that an instance sends over a link; most fields are set only by the lease holder.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of the message by itself"
)]
#[derive(Clone, PartialEq, Message)]
pub struct FleetUpdate {
    /// Address of the lease holder; empty if unknown.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Whether the sender holds the lease.
    #[prost(bool, tag = "2")]
    pub holding: bool,
    /// Number of live instances, if the sender holds the lease.
    #[prost(uint32, tag = "3")]
    pub live_instances: u32,
    /// Text of a newer configuration, for a receiver that does not fetch it; empty if there is none.
    ///
    /// Updates to many links share one copy.
    #[prost(bytes = "bytes", tag = "4")]
    pub config: Bytes,
    /// Engines that changed, or all engines in a full update.
    #[prost(message, repeated, tag = "5")]
    pub engines: Vec<EngineView>,
    /// Estimated time until models that are not loaded can serve requests, by service.
    #[prost(message, repeated, tag = "6")]
    pub estimates: Vec<TargetCount>,
    /// Fingerprints of requests to refuse, for receivers of an earlier build; empty if unchanged.
    #[prost(fixed64, repeated, tag = "7")]
    pub refused: Vec<u64>,
    /// Whether `crashes` has the requests to refuse.
    #[prost(bool, tag = "54")]
    pub blames_requests: bool,
    /// Sender's clock in milliseconds.
    #[prost(uint64, tag = "8")]
    pub clock_ms: u64,
    /// Version of the lease row, if the sender holds the lease.
    #[prost(uint64, tag = "9")]
    pub row_version: u64,
    /// Version of the server list at its last change of endpoints, if the sender holds the lease.
    #[prost(uint64, tag = "10")]
    pub list_change: u64,
    /// Time since the sender last read the server list, in milliseconds.
    #[prost(uint32, tag = "11")]
    pub list_age_ms: u32,
    /// Time since the sender last read the configuration, in milliseconds.
    #[prost(uint32, tag = "12")]
    pub config_age_ms: u32,
    /// Endpoints that were recently found to leave, if the sender holds the lease.
    #[prost(message, repeated, tag = "13")]
    pub leaving: Vec<LeavingEndpoint>,
    /// Parts of prompts under which endpoints end; none if unchanged.
    #[prost(message, optional, tag = "14")]
    pub crashes: Option<CrashEvidence>,
    /// Limits that endpoints name, and the permits of the receiver, if the sender holds the lease.
    #[prost(message, repeated, tag = "15")]
    pub limits: Vec<LimitEntry>,
    /// Where new streams began; none while each service has a single software version.
    #[prost(message, optional, tag = "16")]
    pub origins: Option<OriginNotice>,
    /// Addresses of instances with a path to endpoints, if the receiver has none to some service.
    #[prost(string, repeated, tag = "17")]
    pub detours: Vec<String>,
    /// Credit granted, in place of everything else, in answer to a report about quotas.
    #[prost(message, optional, tag = "18")]
    pub quotas: Option<QuotaUpdate>,
    /// What the sender knows, in answer to the same of the receiver.
    #[prost(message, optional, tag = "20")]
    pub exchange: Option<Knowledge>,
    /// Loads from the weight store, if the sender holds the lease; none if unchanged.
    #[prost(message, optional, tag = "40")]
    pub loads: Option<LoadsNotice>,
    /// Servers that ramp of which something changed, or all, if the sender holds the lease.
    #[prost(message, repeated, tag = "30")]
    pub ramps: Vec<RampEntry>,
    /// Permits granted, in place of everything else, in answer to a report about room.
    #[prost(message, optional, tag = "50")]
    pub room: Option<RoomUpdate>,
    /// Whether the sender grants room of brittle endpoints.
    #[prost(bool, tag = "51")]
    pub grants_room: bool,
    /// Whether the sender knows all software versions that may have begun a stream.
    #[prost(bool, tag = "53")]
    pub origins_complete: bool,
    /// Services whose endpoints are brittle, if the sender holds the lease.
    #[prost(message, repeated, tag = "52")]
    pub brittle: Vec<BrittleEntry>,
    /// Newest version of the configuration at any instance, if the sender holds the lease.
    #[prost(uint64, tag = "60")]
    pub config_version: u64,
    /// Addresses of some instances that have it.
    #[prost(string, repeated, tag = "61")]
    pub config_sources: Vec<String>,
    /// Receiver's clock in the newest report that the lease holder has from it; 0 where unknown.
    #[prost(uint64, tag = "70")]
    pub report_ms: u64,
}

impl FleetUpdate {
    /// Times since the sender last read the server list and the configuration.
    #[must_use]
    pub fn read_ages(&self) -> (Duration, Duration) {
        let age = |age_ms: u32| Duration::from_millis(age_ms.into());
        (age(self.list_age_ms), age(self.config_age_ms))
    }

    /// Time of the receiver's newest report that the lease holder has; none where it does not say.
    #[must_use]
    pub const fn counted_at(&self) -> Option<Duration> {
        match self.report_ms {
            0 => None,
            report_ms => Some(Duration::from_millis(report_ms)),
        }
    }
}
