//! Cluster membership: which instances are live and which peers monitor each other.
//!
//! The module does no I/O: time is passed in as the [`std::time::Duration`] since the clock's
//! origin, and changes are returned to the caller, which sends them to the peers.

mod ring;
mod roster;

pub use ring::{Neighbours, neighbours};
pub use roster::{Member, MemberState, Roster, RosterSettings};
