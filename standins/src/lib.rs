//! Stand-ins for the platform, the engines and the services that brassrack meets.
//!
//! Each runs as a process of its own on a loopback address and has a fault switch. No product
//! code depends on this crate.

pub mod fault;
pub mod replay;
pub mod table;
