//! Serving system for language models that are rarely used.
//!
//! The library holds the decisions and the actors of the daemon `brassrackd` and of the
//! command-line tool `brassrack`. Outside systems are met at traits: [`table::Table`],
//! [`engine::Engine`], [`instances::Directory`] and [`objects::Objects`].

pub mod clock;
pub mod engine;
pub mod home;
pub mod instances;
pub mod limits;
pub mod members;
pub mod objects;
pub mod peers;
pub mod rules;
pub mod table;
pub mod verdict;

/// A boxed future, as returned by the traits at the edges of the process.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
