//! What the administration API needs of the daemon.

use std::fmt::Debug;
use std::sync::Arc;

use super::types::{DrainStatus, ModelStatus, RequestRecord, ServerStatus, Status};
use crate::BoxFuture;
use crate::rules::{ActiveRules, RulesStore, VersionText};

/// Why the daemon could not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConsoleError(pub String);

/// The daemon as the administration API sees it.
pub trait Console: Debug + Send + Sync {
    /// All listed instances with the versions that they have in force.
    ///
    /// # Errors
    ///
    /// [`ConsoleError`] where the instances are not known.
    fn status(&self) -> BoxFuture<'_, Result<Status, ConsoleError>>;

    /// All servers and service endpoints, by name.
    ///
    /// # Errors
    ///
    /// [`ConsoleError`] where they are not known.
    fn servers(&self) -> BoxFuture<'_, Result<Vec<ServerStatus>, ConsoleError>>;

    /// All models and adapters, by name.
    ///
    /// # Errors
    ///
    /// [`ConsoleError`] where they are not known.
    fn models(&self) -> BoxFuture<'_, Result<Vec<ModelStatus>, ConsoleError>>;

    /// What happened to a request, from the recent records of this instance and its peers.
    ///
    /// # Errors
    ///
    /// [`ConsoleError`] where not every instance could be asked and none has a record.
    fn request(&self, id: String) -> BoxFuture<'_, Result<Option<RequestRecord>, ConsoleError>>;

    /// Starts a graceful stop of this instance; a repeat tells the progress.
    fn drain(&self) -> BoxFuture<'_, DrainStatus>;

    /// The accepted configurations.
    fn rules(&self) -> RulesStore;

    /// The configuration that this instance has in force.
    fn in_force(&self) -> Option<Arc<ActiveRules>>;

    /// Puts an accepted version in force here and tells the other instances.
    fn announce(&self, accepted: VersionText);
}
