//! Protocol Buffers messages by which instances exchange what they know.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::super::link::{BlamedPart, ModelView, millis};
use super::super::protocol::{Endpoint, EndpointState};
use super::super::servers::{CopiedEndpoint, CopiedMark};
use super::super::stream_origins::OriginNotice;

/// What an instance knows, by version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct KnownVersions {
    /// Version of its configuration; 0 if it has none.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Revision of its server list; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// Whether it wants a newer list than its own.
    #[prost(bool, tag = "3")]
    pub wants_list: bool,
    /// Digest of refused requests and of endpoints that leave; 0 if it knows of none.
    #[prost(fixed64, tag = "4")]
    pub beliefs: u64,
    /// Whether it is stopping.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
    /// Whether the configuration alone is asked for. Earlier builds send all that is newer.
    #[prost(bool, tag = "6")]
    pub config_only: bool,
}

/// An endpoint of a server list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointEntry {
    /// Id of the incarnation.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it accepts no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Sequence number of its description since the start.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Models that it holds.
    #[prost(message, repeated, tag = "9")]
    pub models: Vec<ModelView>,
    /// Models whose weights are in its main memory.
    #[prost(string, repeated, tag = "10")]
    pub memory_models: Vec<String>,
    /// Models whose weights are on its disk.
    #[prost(string, repeated, tag = "11")]
    pub disk_models: Vec<String>,
    /// Time until it is removed, in milliseconds, if that is scheduled.
    #[prost(uint32, optional, tag = "12")]
    pub left_ms: Option<u32>,
    /// Version of its software.
    #[prost(string, tag = "13")]
    pub software: String,
}

impl EndpointEntry {
    /// Encodes an endpoint.
    #[must_use]
    pub fn from_copy(copy: &CopiedEndpoint) -> Self {
        let endpoint = &copy.endpoint;
        let models = endpoint.models.iter().map(|(name, adapters)| ModelView {
            name: name.clone(),
            adapters: adapters.iter().cloned().collect(),
            unloading: false,
        });
        Self {
            id: endpoint.id.clone(),
            service: endpoint.service.clone(),
            address: endpoint.address.to_string(),
            domain: endpoint.domain.clone(),
            slots: endpoint.slots,
            draining: endpoint.state == EndpointState::Draining,
            started_ms: endpoint.start_ms,
            sequence: endpoint.sequence,
            models: models.collect(),
            memory_models: endpoint.memory_models.iter().cloned().collect(),
            disk_models: endpoint.disk_models.iter().cloned().collect(),
            left_ms: copy.left.map(millis),
            software: endpoint.software.clone(),
        }
    }

    /// Decodes the endpoint; none where its address cannot be read.
    #[must_use]
    pub fn to_copy(&self) -> Option<CopiedEndpoint> {
        let Ok(address) = self.address.parse::<SocketAddr>() else {
            log::warn!(endpoint = self.id.as_str(), address = self.address.as_str();
                "cannot decode the address of an endpoint of a copied list");
            return None;
        };
        let models = self.models.iter();
        Some(CopiedEndpoint {
            endpoint: Endpoint {
                id: self.id.clone(),
                service: self.service.clone(),
                address,
                domain: self.domain.clone(),
                software: self.software.clone(),
                slots: self.slots,
                state: if self.draining {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
                start_ms: self.started_ms,
                sequence: self.sequence,
                models: models
                    .map(|m| (m.name.clone(), m.adapters.iter().cloned().collect()))
                    .collect(),
                memory_models: self.memory_models.iter().cloned().collect(),
                disk_models: self.disk_models.iter().cloned().collect(),
            },
            left: self.left_ms.map(|ms| Duration::from_millis(ms.into())),
        })
    }
}

/// An incarnation of an endpoint that leaves, and for how long that is known.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingEntry {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Time since it was found, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

impl From<CopiedMark> for LeavingEntry {
    fn from(CopiedMark { mark, age }: CopiedMark) -> Self {
        Self {
            id: mark.id,
            started_ms: mark.started_ms,
            age_ms: millis(age),
        }
    }
}

/// What one instance tells another; several of them make up what does not fit into one frame.
#[derive(Clone, PartialEq, Message)]
pub struct Knowledge {
    /// What the sender knows.
    #[prost(message, optional, tag = "1")]
    pub known: Option<KnownVersions>,
    /// Whether the sender asks for what the receiver knows beyond that.
    #[prost(bool, tag = "2")]
    pub asks: bool,
    /// Whether the next frame belongs to this one.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Text of a newer configuration; empty if there is none.
    #[prost(string, tag = "4")]
    pub config: String,
    /// Whether `endpoints` are the sender's server list.
    #[prost(bool, tag = "5")]
    pub has_list: bool,
    /// Time since the list was read from the store, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub list_age_ms: u32,
    /// Endpoints of the list.
    #[prost(message, repeated, tag = "7")]
    pub endpoints: Vec<EndpointEntry>,
    /// Endpoints that leave.
    #[prost(message, repeated, tag = "8")]
    pub leaving: Vec<LeavingEntry>,
    /// Fingerprints of requests to refuse.
    #[prost(fixed64, repeated, tag = "9")]
    pub refused: Vec<u64>,
    /// Where streams began, if services have several software versions.
    #[prost(message, optional, tag = "10")]
    pub origins: Option<OriginNotice>,
    /// Requests and parts of prompts that are blamed, also named in `refused` for earlier builds.
    #[prost(message, repeated, tag = "11")]
    pub blamed: Vec<BlamedPart>,
    /// Part of the text of a newer configuration, for a receiver that asked for that alone.
    #[prost(bytes = "bytes", tag = "12")]
    pub config_part: Bytes,
}
