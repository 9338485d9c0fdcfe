//! Stand-ins for the platform, the engines and the services that brassrack meets.
//!
//! Each runs as a process of its own on a loopback address and has a fault switch. No product
//! code depends on this crate.
//!
//! Over HTTP every stand-in also answers `PUT /fault?path=PREFIX&count=N`, which takes a
//! [`fault::Fault`] as JSON for the next `N` calls (all, without a count) under the path prefix
//! (any, without one), and `GET /ledger`, which tells what really happened.

pub mod answer;
pub mod client;
pub mod engine;
pub mod fault;
pub mod http;
mod line;
pub mod list;
pub mod load;
pub mod memory_engine;
pub mod meshes;
pub mod process;
pub mod rack;
pub mod replay;
pub mod scripted_table;
pub mod server;
pub mod service;
pub mod slopes;
pub mod store;
pub mod table;
pub mod weights;

/// Milliseconds since the machine's boot; the same in every process of the machine.
#[must_use]
pub fn now_ms() -> u64 {
    u64::try_from(brassrack::clock::Clock::Boot.now().as_millis()).unwrap_or(u64::MAX)
}
