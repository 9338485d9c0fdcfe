//! Peer protocol between instances: messages, links, and the actor that owns them.
//!
//! Each instance keeps links to a few neighbours, see [`crate::members::neighbours`]. Changes of
//! the membership and of the version of the rules are forwarded over these links. Requests to a
//! single peer and endpoint loads use a direct link, which is opened on demand.

pub(crate) mod codec;
mod dial;
mod fleet;
mod handle;
mod handlers;
mod link;
mod maintenance;
mod mesh;
pub mod message;
mod receive;
mod traffic;

pub use codec::{FrameCodec, Frames, MAX_FRAME_BYTES, accepted_frames, frames};
pub use fleet::{Fleet, FleetDelta, Load, ResidentLoad};
pub use handle::{Inbound, MeshHandle, PeerError, Request};
pub use mesh::{Mesh, MeshConfig, MeshSettings};
pub use traffic::TrafficCount;
