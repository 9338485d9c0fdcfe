//! Versions of the configuration as the table service keeps them.

use serde::{Deserialize, Serialize};

/// Row of the version that was accepted last.
pub const CURRENT_KEY: &str = "rules/current";

/// An accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number, from 1; each accepted change adds one.
    pub version: u64,
    /// BLAKE3 digest of the text, in hexadecimal.
    pub digest: String,
    /// Operation id of the change.
    pub op: String,
    /// Who applied it.
    pub author: String,
    /// Why, in the author's words.
    #[serde(default)]
    pub note: String,
    /// When it was applied, in UTC as RFC 3339.
    #[serde(default)]
    pub at: String,
}

/// A version with its text, whose digest was verified.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionText {
    /// The version.
    pub version: Version,
    /// Text of the rules file.
    pub text: String,
}

/// Digest of a rules file, in hexadecimal.
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

/// Key of the object that holds the text with this digest.
#[must_use]
pub fn object_key(digest: &str) -> String {
    format!("rules/{digest}")
}

/// Key of the row of a past version.
#[must_use]
pub fn history_key(version: u64) -> String {
    format!("rules/history/{version:012}")
}
