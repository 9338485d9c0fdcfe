//! The path of requests whose endpoints and rules the platform describes.
//!
//! Requests are opaque here: a route says what may be repeated or resumed, and the edge that decodes
//! the platform's protocol stands behind [`edge::Wire`], [`edge::Feed`] and [`crate::table::Table`].

pub mod admission;
pub mod budget;
pub mod catalog;
pub mod daemon;
pub mod edge;
pub mod feed;
pub mod forward;
pub mod headers;
pub mod lease;
pub mod link;
pub mod listener;
pub mod orders;
pub mod planner;
pub mod renewal;
pub mod routing;
pub mod selection;
pub mod send;
pub mod serve;
pub mod servers;
pub mod shared;
pub mod stats;
pub mod stream;
pub mod suspicion;
