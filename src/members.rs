//! Membership of the instances: who is live, who watches whom.
//!
//! Pure: time is passed in as the [`std::time::Duration`] since the clock's origin, and changes
//! are answered to the caller, who spreads them.

mod ring;
mod roster;

pub use ring::{Neighbours, neighbours};
pub use roster::{Member, MemberState, Roster, RosterSettings};
