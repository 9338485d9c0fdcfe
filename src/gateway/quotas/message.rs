//! Protocol Buffers messages about credit, between an instance and the lease holder.
//!
//! Counts are totals since the start of the instance or of the link, so that a lost or repeated
//! message does no harm.

use prost::Message;

/// What an instance has used of an account's quota, and what it asks for.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaNeed {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units used since the start of the instance.
    #[prost(uint64, tag = "2")]
    pub used: u64,
    /// Units of granted credit that expired unused since the start of the instance.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
    /// Units used by requests that then ended without a run, since the start of the instance.
    #[prost(uint64, tag = "4")]
    pub refunded: u64,
    /// Units granted on this link, as far as the instance has heard.
    #[prost(uint64, tag = "5")]
    pub seen: u64,
    /// Units that each waiting request lacks, oldest first; bounded in number.
    #[prost(uint32, repeated, tag = "6")]
    pub waiting: Vec<u32>,
    /// Units that are expected to be used soon, beyond the credit at hand.
    #[prost(uint32, tag = "7")]
    pub ahead: u32,
    /// Units of a usual request, in multiples of which credit is granted ahead.
    #[prost(uint32, tag = "8")]
    pub unit: u32,
    /// Share of the account's use that the holder last named, in millionths.
    #[prost(uint32, tag = "9")]
    pub share: u32,
    /// Units used ahead of a grant since the start of the instance; part of `used`.
    #[prost(uint64, tag = "10")]
    pub overdrawn: u64,
}

/// Part of a demand report about quotas.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaReport {
    /// Random number that names this run of the instance.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Number of instances that the instance knows; 0 where it has heard of no holder.
    #[prost(uint32, tag = "2")]
    pub instances: u32,
    /// Holder's clock in milliseconds, from the last update received; 0 before the first one.
    #[prost(uint64, tag = "3")]
    pub heard_ms: u64,
    /// Accounts whose figures changed, or all that were seen lately.
    #[prost(message, repeated, tag = "4")]
    pub needs: Vec<QuotaNeed>,
    /// Whether the report contains nothing else.
    #[prost(bool, tag = "5")]
    pub only: bool,
}

/// What the lease holder grants to an instance from an account's quota.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaGrant {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units granted on this link so far.
    #[prost(uint64, tag = "2")]
    pub granted: u64,
    /// Units left in the bucket, less those that requests of all instances wait for.
    #[prost(sint64, tag = "3")]
    pub left: i64,
    /// Share of the account's use that the instance may assume without a holder, in millionths.
    #[prost(uint32, tag = "4")]
    pub share: u32,
    /// Instances that have used the account lately.
    #[prost(uint32, tag = "5")]
    pub users: u32,
}

/// Part of a fleet update about quotas.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaUpdate {
    /// Holder's clock in milliseconds.
    #[prost(uint64, tag = "1")]
    pub clock_ms: u64,
    /// Number of live instances.
    #[prost(uint32, tag = "2")]
    pub instances: u32,
    /// The accounts that the instance reported, or whose requests got credit.
    #[prost(message, repeated, tag = "3")]
    pub grants: Vec<QuotaGrant>,
}
