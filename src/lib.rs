//! Serving system for language models that are rarely used.
//!
//! The library holds the decisions and the actors of the daemon `brassrackd` and of the
//! command-line tool `brassrack`. Outside systems are met at traits: [`table::Table`],
//! [`engine::Engine`], [`instances::Directory`] and [`objects::Objects`].

pub mod admin;
pub mod admission;
pub mod answer_room;
mod assembly;
pub mod at_most_once;
pub mod balancer;
pub mod caller_listener;
pub mod chooser;
pub mod cli;
pub mod clock;
pub mod cold_start;
pub mod commit;
pub mod completions;
pub mod console;
pub mod daemon;
pub mod dispatch_queue;
pub mod endpoint_registry;
pub mod engine;
pub mod exit_codes;
pub mod gateway;
pub mod http;
pub mod idempotency;
pub mod inflight;
pub mod instances;
pub mod limits;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod objects;
pub mod outbound;
pub mod ownership;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod policy;
pub mod poll;
pub mod reconciler;
pub mod records;
pub mod relay;
pub mod request;
pub mod request_context;
pub mod residency;
pub mod residency_controller;
pub mod rules;
pub mod rules_sync;
pub mod segments;
pub mod service_calls;
pub mod settings;
pub mod state_chart;
pub mod subscriptions;
pub mod suspect_request;
pub mod suspects;
pub mod table;
pub mod tool;
pub mod verdict;

/// A boxed future, as returned by the traits at the edges of the process.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
