//! Instances that the lease holder has to hear from while it goes on without the store.
//!
//! The lease row names them. An instance that it leaves out waits until the holder can no longer go
//! on, so that the holder need not wait for word of those that are gone, that it cannot reach, or
//! that it has never heard of.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Bytes of the digest of a name.
const DIGEST_BYTES: usize = 4;

/// Digests of the names of instances, in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Successors(String);

impl Successors {
    /// Names instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::lease::Successors;
    ///
    /// let successors = Successors::new(["front-1", "front-2"]);
    /// assert!(successors.contains("front-2"));
    /// assert!(!successors.contains("front-3"));
    /// ```
    #[must_use]
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let digests: Vec<u8> = names.into_iter().flat_map(digest).collect();
        Self(STANDARD.encode(digests))
    }

    /// Whether an instance is named; text that cannot be decoded names none.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        match STANDARD.decode(&self.0) {
            Ok(digests) => digests.chunks(DIGEST_BYTES).any(|d| d == digest(name)),
            Err(error) => {
                log::error!(error:% = error; "cannot decode the successors in the lease row");
                false
            }
        }
    }

    /// Number of instances.
    #[must_use]
    pub const fn count(&self) -> usize {
        // Four characters stand for three bytes.
        self.0.len() / 4 * 3 / DIGEST_BYTES
    }

    /// Whether no instance is named.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn digest(name: &str) -> [u8; DIGEST_BYTES] {
    let mut first = [0; DIGEST_BYTES];
    first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..DIGEST_BYTES]);
    first
}
