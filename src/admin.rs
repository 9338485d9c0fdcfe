//! Administration API: what operators see and change while instances run.
//!
//! A listener of its own speaks HTTP with JSON bodies. What it shows comes from a [`Console`],
//! which the daemon implements; rules go through [`crate::rules::RulesStore`].

mod answer;
mod client;
mod console;
mod routes;
mod rules;
mod server;
mod types;

pub use client::{Client, ClientError};
pub use console::{Console, ConsoleError};
pub use server::serve;
pub use types::{
    Applied, Apply, DrainStatus, Failure, FailureCode, InstanceState, InstanceStatus, ModelStatus,
    ReplicaStatus, RequestRecord, RequestStep, RulesAnswer, ServerStatus, Status,
};

/// Largest body of a request or an answer, in bytes.
pub const MAX_BODY: usize = 8 << 20;
/// Longest text of a rules file, in bytes.
pub const MAX_RULES: usize = 4 << 20;
/// Longest time that an applied change is waited for.
pub const MAX_WAIT: std::time::Duration = std::time::Duration::from_mins(1);
