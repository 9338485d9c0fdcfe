//! Messages of the peer protocol, encoded as Protocol Buffers.

use std::net::SocketAddr;

use crate::members::{Member, MemberState};

/// Version of the protocol; connections from peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number that matches a reply to its request; 0 for messages without a reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The message.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// Message of a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of each side.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Liveness check of the link.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Changes of the membership.
    #[prost(message, tag = "4")]
    Members(Members),
    /// Newest known version of the rules.
    #[prost(message, tag = "5")]
    Rules(RulesVersion),
    /// Request for a model.
    #[prost(message, tag = "6")]
    ModelRequest(ModelRequest),
    /// Answer to a [`ModelRequest`].
    #[prost(message, tag = "7")]
    ModelReply(ModelReply),
    /// Request for the text of the rules.
    #[prost(message, tag = "8")]
    RulesFetch(RulesFetch),
    /// Answer to a [`RulesFetch`].
    #[prost(message, tag = "9")]
    RulesText(RulesText),
    /// Loads of endpoints, or subscriptions to them.
    #[prost(message, tag = "10")]
    Fleet(FleetUpdate),
}

/// First message of each side of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// The sender.
    #[prost(message, optional, tag = "2")]
    pub member: Option<MemberUpdate>,
    /// Digest of the sender's view of the members.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// Liveness check of the sender and, through the echo, of both directions of the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Number of this heartbeat on its link, from 1.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Highest sequence number received from the other side.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// Digest of the sender's view of the members.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Newest version of the rules that the sender knows.
    #[prost(uint64, tag = "4")]
    pub rules: u64,
}

/// Changes of the membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    /// Members that changed.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberUpdate>,
}

/// State of one member, as known to the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberUpdate {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address of the peer listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// State: 0 live, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Version of the rules in force at the member.
    #[prost(uint64, tag = "7")]
    pub rules: u64,
}

/// Version of the rules.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RulesVersion {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// BLAKE3 digest of the text, in hex.
    #[prost(string, tag = "2")]
    pub digest: String,
}

/// Request for a model, sent to its owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ModelRequest {
    /// Id of the request; a retry carries the same one.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Model or adapter.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub deadline_ms: u64,
}

/// Answer to a [`ModelRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ModelReply {
    /// Servers on which the model is ready; empty where the request is refused.
    #[prost(string, repeated, tag = "1")]
    pub servers: Vec<String>,
    /// Cause of a refusal, as [`crate::verdict::Cause`] writes it; empty where there is none.
    #[prost(string, tag = "2")]
    pub cause: String,
    /// Delay after which a retry may succeed, in milliseconds; 0 where it is not known.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
}

/// Request for the text of the rules.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RulesFetch {
    /// Lowest version that the sender accepts.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Text of the rules.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RulesText {
    /// Version; 0 where the sender has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// BLAKE3 digest of the text, in hex.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Text.
    #[prost(string, tag = "3")]
    pub text: String,
}

/// Loads of endpoints by model, or subscriptions to them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FleetUpdate {
    /// Models to whose loads the sender subscribes.
    #[prost(string, repeated, tag = "1")]
    pub subscriptions: Vec<String>,
    /// Loads.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<LoadUpdate>,
}

/// Load of one model on one server.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadUpdate {
    /// Instance that polled the server.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// Number that grows with each report of this origin.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Server.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Boot of the engine process.
    #[prost(string, tag = "4")]
    pub boot: String,
    /// Model or adapter.
    #[prost(string, tag = "5")]
    pub model: String,
    /// State: 0 loading, 1 ready, 2 unloading, 3 gone.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Requests running.
    #[prost(uint32, tag = "7")]
    pub running: u32,
    /// Requests queued in the engine.
    #[prost(uint32, tag = "8")]
    pub queued: u32,
}

impl From<Body> for Frame {
    fn from(body: Body) -> Self {
        Self {
            call: 0,
            body: Some(body),
        }
    }
}

impl From<&Member> for MemberUpdate {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            address: member.address.to_string(),
            region: member.region.clone(),
            domain: member.domain.clone(),
            incarnation: member.incarnation,
            state: match member.state {
                MemberState::Live => 0,
                MemberState::Suspect => 1,
                MemberState::Leaving => 2,
                MemberState::Dead => 3,
            },
            rules: member.rules,
        }
    }
}

impl MemberUpdate {
    /// Returns the member, or `None` where the update is invalid.
    #[must_use]
    pub fn into_member(self) -> Option<Member> {
        let address: SocketAddr = self.address.parse().ok()?;
        let state = match self.state {
            0 => MemberState::Live,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            3 => MemberState::Dead,
            _ => return None,
        };
        if self.name.is_empty() || self.incarnation == u64::MAX {
            return None;
        }
        Some(Member {
            name: self.name,
            address,
            region: self.region,
            domain: self.domain,
            incarnation: self.incarnation,
            state,
            rules: self.rules,
        })
    }
}
