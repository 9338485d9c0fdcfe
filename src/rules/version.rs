//! Rules versions as stored in the table service, and their keys.

use serde::{Deserialize, Serialize};

/// Key of the row that holds the latest accepted version.
pub const CURRENT_KEY: &str = "rules/current";

/// Metadata of an accepted version of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number, starting at 1; each accepted change increments it.
    pub version: u64,
    /// BLAKE3 digest of the text, in hexadecimal.
    pub digest: String,
    /// Operation id of the change.
    pub op: String,
    /// Author of the change.
    pub author: String,
    /// Author's note on the change.
    #[serde(default)]
    pub note: String,
    /// Time of the change, in UTC as RFC 3339.
    #[serde(default)]
    pub at: String,
}

/// A version with its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionText {
    /// Version metadata.
    pub version: Version,
    /// Text of the rules file.
    pub text: String,
}

/// Computes the BLAKE3 digest of a rules file, in hexadecimal.
///
/// # Examples
///
/// ```
/// assert_eq!(brassrack::rules::digest("").len(), 64);
/// ```
#[must_use]
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Returns the key of the object that holds the text with this digest.
#[must_use]
pub fn object_key(digest: &str) -> String {
    format!("rules/{digest}")
}

/// Returns the key of the history row of a version.
#[must_use]
pub fn history_key(version: u64) -> String {
    format!("rules/history/{version:012}")
}
