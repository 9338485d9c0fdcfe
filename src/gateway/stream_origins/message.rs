//! Protocol Buffers messages about the software versions that began streams.

use prost::Message;

/// Software versions of services that have several, and streams that they began.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OriginNotice {
    /// The versions; all of a service, even those without new streams.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionNotice>,
}

/// A software version of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VersionNotice {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of the software.
    #[prost(string, tag = "2")]
    pub software: String,
    /// Time since an endpoint of this version was last known, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Digests of streams that it began.
    #[prost(fixed32, repeated, tag = "4")]
    pub streams: Vec<u32>,
}

impl OriginNotice {
    /// Whether it names any stream.
    #[must_use]
    pub fn has_streams(&self) -> bool {
        self.versions.iter().any(|v| !v.streams.is_empty())
    }
}
