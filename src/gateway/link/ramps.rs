//! What instances and the lease holder tell each other about servers that ramp.

use prost::Message;

use super::super::shared::Gateway;

/// Ramp of a server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RampEntry {
    /// Digest of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Requests a second from all instances together; 0 where the ramp has ended.
    #[prost(float, tag = "2")]
    pub bound: f32,
    /// Number of the round.
    #[prost(uint32, tag = "3")]
    pub round: u32,
    /// Earlier falls that still count.
    #[prost(uint32, tag = "4")]
    pub falls: u32,
    /// In demand reports, requests of the round that were answered in time.
    #[prost(uint32, tag = "5")]
    pub in_time: u32,
    /// In demand reports, requests of the round that were answered late.
    #[prost(uint32, tag = "6")]
    pub slow: u32,
    /// In demand reports, requests of the round that failed.
    #[prost(uint32, tag = "7")]
    pub failed: u32,
    /// In demand reports, the requests that are expected soon.
    #[prost(uint32, tag = "8")]
    pub ahead: u32,
    /// In fleet updates, the permits granted to the instance.
    #[prost(uint32, tag = "9")]
    pub granted: u32,
    /// In demand reports, whether the instance has ejected the server and knows of no ramp.
    #[prost(bool, tag = "10")]
    pub ejected: bool,
}

/// Answers of the servers of a service that do not ramp.
#[derive(Clone, PartialEq, Message)]
pub struct PaceEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Answers a second.
    #[prost(float, tag = "2")]
    pub rate: f32,
    /// Late answers a second.
    #[prost(float, tag = "3")]
    pub slow: f32,
    /// Failed answers a second.
    #[prost(float, tag = "4")]
    pub failed: f32,
}

/// Adds to a report what this instance saw of servers that ramp, or all of it where `all` is set.
pub(super) fn add_ramps(gateway: &Gateway, report: &mut super::DemandReport, all: bool) {
    let seen = gateway.servers.ramp_report(all, gateway.now());
    (report.ramps, report.paces) = (seen.entries, seen.paces);
}

/// Takes over the lease holder's bounds, and the permits that it grants.
pub(in super::super) fn apply_ramps(gateway: &Gateway, entries: &[RampEntry], instances: u32) {
    let now = gateway.now();
    gateway.servers.apply_ramps(entries, instances, now);
}
