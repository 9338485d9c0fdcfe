//! Replay of arrivals against the policy, in model time.
//!
//! One queue of events, the weight store's limits and the servers' memory; no cluster. All
//! figures follow from the seeds alone.

mod ahead;
pub mod arrivals;
pub mod bound;
pub mod cluster;
mod loads;
pub mod outcome;
pub mod pick;
pub mod plot;
pub mod report;
pub mod run;
pub mod scheme;
pub mod site;
pub mod store;
pub mod study;
mod unit;
