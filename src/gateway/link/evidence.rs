//! Messages about endpoints that end under a part of the prompts that they run.

use prost::Message;

/// A request that was on an endpoint when it ended, and whose answer had not begun there.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BrokenRequest {
    /// Digest of its path and body.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Digests of the first parts of its prompt in order, without the last one, and its own.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// Time since the endpoint closed its connection, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Digests of later parts that have no sound answer since, in order; none until some time has passed.
    #[prost(fixed64, repeated, tag = "4")]
    pub later_parts: Vec<u64>,
}

/// What an instance saw of the end of an incarnation of an endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndpointDeath {
    /// Digest of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Requests that were on it without an answer that had begun.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<BrokenRequest>,
}

/// Last time at which an answer began with a part, or at an incarnation of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SoundAnswer {
    /// Digest of the part or the incarnation.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Time since then, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// A part of prompts under which endpoints end.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BlamedPart {
    /// Digest of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since it was blamed, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Time for which requests with it are still refused, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
    /// Number of times that it was blamed in a row.
    #[prost(uint32, tag = "4")]
    pub rounds: u32,
}

/// What an instance knows about parts of prompts under which endpoints end.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashEvidence {
    /// Ends of endpoints that the sender saw itself.
    #[prost(message, repeated, tag = "1")]
    pub deaths: Vec<EndpointDeath>,
    /// Sound answers with what is watched or was blamed.
    #[prost(message, repeated, tag = "2")]
    pub sound: Vec<SoundAnswer>,
    /// Parts that are blamed.
    #[prost(message, repeated, tag = "3")]
    pub blamed: Vec<BlamedPart>,
    /// Digests of which the lease holder asks for the last sound answer.
    #[prost(fixed64, repeated, tag = "4")]
    pub watched: Vec<u64>,
    /// Whether the sender reads later parts of prompts.
    #[prost(bool, tag = "5")]
    pub reads_later: bool,
}

impl CrashEvidence {
    /// Digests that are blamed, watched or cleared, which say whether an update is needed.
    #[must_use]
    pub fn ids(&self) -> Vec<u64> {
        let blamed = self.blamed.iter().map(|blamed| blamed.part);
        let sound = self.sound.iter().map(|sound| !sound.id);
        let watched = self.watched.iter().map(|id| id.rotate_left(1));
        blamed.chain(sound).chain(watched).collect()
    }
}
