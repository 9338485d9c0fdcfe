//! Contract of the platform's instance list.
//!
//! Over HTTP: `GET /v1/instances` answers a JSON array of [`Listed`], with a lag.

use std::fmt::Debug;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

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

/// Decodes the list; an entry that cannot be read is left out and logged.
///
/// # Errors
///
/// [`ListError`] where the text is no JSON array.
///
/// # Examples
///
/// ```
/// use brassrack::instances::decode_list;
///
/// let text = r#"[7, {"name": "a", "service": "s", "address": "127.0.0.1:9",
///     "domain": "d", "region": "r", "standing": "live"}]"#;
/// assert_eq!(decode_list(text.as_bytes()).unwrap().len(), 1);
/// assert!(decode_list(b"{").is_err());
/// ```
pub fn decode_list(text: &[u8]) -> Result<Vec<Listed>, ListError> {
    let entries: Vec<&RawValue> =
        serde_json::from_slice(text).map_err(|e| ListError(e.to_string()))?;
    let decode = |entry: &RawValue| match serde_json::from_str(entry.get()) {
        Ok(listed) => Some(listed),
        Err(error) => {
            log::warn!(error:% = error; "cannot decode an entry of the instance list; left out");
            None
        }
    };
    Ok(entries.into_iter().filter_map(decode).collect())
}

/// The platform's instance list.
pub trait Directory: Debug + Send + Sync {
    /// All listed instances.
    ///
    /// # Errors
    ///
    /// [`ListError`] where the platform does not answer.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>, ListError>>;
}
