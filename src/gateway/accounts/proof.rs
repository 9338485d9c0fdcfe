//! Proof that a request passed on by another instance belongs to an account.
//!
//! The instance that received the caller's key sends a keyed hash of the request in place of the
//! key. Only a holder of one of the account's keys, or of its digest, can compute the hash.

use std::fmt;

use super::KeyDigest;

/// Context that keeps keys of proofs apart from other uses of a caller's key.
const PROOF_CONTEXT: &str = "brassrack 2026-12 proof of a detoured request";

/// The parts of a request that a proof covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProvedRequest<'a> {
    /// Id that the caller gave to this attempt.
    pub id: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
}

/// Name of an account, and the keyed hash by which an instance shows that it saw one of its keys.
#[derive(Clone, PartialEq, Eq)]
pub struct DetourProof {
    /// Name of the account.
    pub account: String,
    hash: blake3::Hash,
}

impl DetourProof {
    /// The proof for a request of an account, made with one of its keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{DetourProof, KeyDigest, ProvedRequest};
    ///
    /// let request = ProvedRequest { id: "r-1", method: "POST", path: "/drafts/7" };
    /// let proof = DetourProof::new("desk", &KeyDigest::of("k1"), request);
    /// assert!(proof.is_made_with(&KeyDigest::of("k1"), request));
    /// assert!(!proof.is_made_with(&KeyDigest::of("k2"), request));
    /// ```
    #[must_use]
    pub fn new(account: &str, key: &KeyDigest, request: ProvedRequest<'_>) -> Self {
        Self {
            account: account.to_owned(),
            hash: hash(key, request),
        }
    }

    /// Reads the hash of a proof; `None` where it is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{DetourProof, KeyDigest, ProvedRequest};
    ///
    /// let request = ProvedRequest { id: "r-1", method: "POST", path: "/drafts/7" };
    /// let proof = DetourProof::new("desk", &KeyDigest::of("k1"), request);
    /// assert_eq!(DetourProof::parse("desk", &proof.hash_text()), Some(proof));
    /// assert_eq!(DetourProof::parse("desk", "1"), None);
    /// ```
    #[must_use]
    pub fn parse(account: &str, hash: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(hash).ok()?;
        Some(Self {
            account: account.to_owned(),
            hash,
        })
    }

    /// The hash in hexadecimal digits.
    #[must_use]
    pub fn hash_text(&self) -> String {
        self.hash.to_hex().to_string()
    }

    /// Whether the proof was made for this request with this key; takes the same time either way.
    #[must_use]
    pub fn is_made_with(&self, key: &KeyDigest, request: ProvedRequest<'_>) -> bool {
        self.hash == hash(key, request)
    }
}

impl fmt::Debug for DetourProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DetourProof")
            .field("account", &self.account)
            .finish_non_exhaustive()
    }
}

/// Each field is preceded by its length, so that no two requests have the same input.
fn hash(key: &KeyDigest, request: ProvedRequest<'_>) -> blake3::Hash {
    let derived = blake3::derive_key(PROOF_CONTEXT, key.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&derived);
    for field in [request.id, request.method, request.path] {
        let length = u64::try_from(field.len()).unwrap_or(u64::MAX);
        hasher.update(&length.to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.finalize()
}
