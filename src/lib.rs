//! Serving system for language models that are rarely used.
//!
//! The library holds the decisions and the actors of the daemon `brassrackd` and of the
//! command-line tool `brassrack`. Outside systems are met at traits: [`table::Table`],
//! [`engine::Engine`], [`instances::Directory`] and [`objects::Objects`].

pub mod chart;
pub mod cli;
pub mod clock;
pub mod commit;
pub mod engine;
pub mod exit_codes;
pub mod home;
pub mod instances;
pub mod ledger;
pub mod limits;
pub mod objects;
pub mod placement;
pub mod policy;
pub mod rules;
pub mod settings;
pub mod table;
pub mod verdict;

/// A boxed future, as returned by the traits at the edges of the process.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
