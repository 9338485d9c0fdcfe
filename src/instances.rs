//! Contract of the platform's instance list.
//!
//! Over HTTP: `GET /v1/instances` answers a JSON array of [`Listed`], with a lag.

use std::fmt::Debug;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::BoxFuture;

/// Service name under which brassrack's own instances are listed.
pub const OWN_SERVICE: &str = "brassrack";

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// Takes work.
    Live,
    /// Will be taken away; no new work.
    Leaving,
}

/// One entry of the instance list: an instance of brassrack or an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Unique name, such as `besedilnik-3`.
    pub name: String,
    /// Service that it belongs to, such as `besedilnik`, or [`OWN_SERVICE`].
    pub service: String,
    /// Address; for brassrack's own instances that of the peer listener.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// State.
    pub standing: Standing,
}

/// Why the instance list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("instance list is unreachable: {0}")]
pub struct ListError(pub String);

/// The platform's instance list.
pub trait Directory: Debug + Send + Sync {
    /// All listed instances.
    ///
    /// # Errors
    ///
    /// [`ListError`] where the platform does not answer.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>, ListError>>;
}
