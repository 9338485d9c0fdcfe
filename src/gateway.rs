//! The gateway: forwards requests to endpoints that the platform's store describes.
//!
//! Requests are opaque: the route decides whether a request may be repeated or resumed. Access to
//! the platform is behind the traits [`protocol::WireProtocol`], [`protocol::TableFeed`] and
//! [`crate::table::Table`].

pub mod accounts;
pub mod admission;
pub mod body_room;
pub mod budget;
pub mod catalog;
pub mod connection_buffers;
pub mod crash_evidence;
pub mod crash_parts;
pub mod crash_suspects;
pub mod daemon;
pub mod detour;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod headers;
pub mod idle_connections;
pub mod key_check;
pub mod lease;
pub mod link;
pub mod listener;
pub mod orders;
pub mod pauses;
pub mod planner;
pub mod prompt_parts;
pub mod protocol;
pub mod quotas;
pub mod ramp;
pub mod reach;
pub mod renewal;
pub mod room;
pub mod routing;
pub mod selection;
pub mod send;
pub mod serve;
pub mod servers;
pub mod shared;
pub mod silence;
pub mod stats;
pub mod stream;
pub mod stream_origins;
pub mod urgency;
mod write_timeout;
