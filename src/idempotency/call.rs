//! Types of calls that may run at most once, their claims and answers.

use std::time::Duration;

use bytes::Bytes;

use crate::commit::CommitSettings;
use crate::rules::Repeat;

/// A call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Tenant of the caller.
    pub tenant: String,
    /// Idempotency key as sent by the caller.
    pub key: String,
    /// Digest of the request, by [`fingerprint`].
    pub fingerprint: String,
    /// Whether the service itself deduplicates by the key.
    pub repeat: Repeat,
}

/// Permission to send a call; held by one instance at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimToken {
    pub(super) row: String,
    pub(super) op: String,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Response body.
    pub body: Bytes,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The call may be sent, once.
    Granted(ClaimToken),
    /// The call ran before; this is its answer.
    Completed(Answer),
    /// Another claim is in progress.
    InProgress {
        /// Id of the process start that holds the claim.
        claimant: String,
        /// Operation id of that claim, for
        /// [`mark_orphaned`](super::IdempotencyStore::mark_orphaned).
        op: String,
    },
    /// The call may have run and is not sent again.
    Unknown,
    /// The call ran and its answer was not stored.
    Ran,
}

/// Settings of the [`IdempotencyStore`](super::IdempotencyStore).
#[derive(Debug, Clone)]
pub struct IdempotencySettings {
    /// Id of this process start; must be unique among all starts of all instances.
    pub start_id: String,
    /// Maximum size of a body stored in the row; larger ones go to the object store.
    pub inline_bytes: usize,
    /// Maximum number of changes in one transaction.
    pub max_batch: usize,
    /// Transactions per second that the stores of all instances may use together.
    pub write_rate: u32,
    /// Maximum number of changes queued for a transaction.
    pub max_queued: usize,
    /// Maximum number of outcomes held in memory while the table service is down.
    pub max_unsaved: usize,
    /// Maximum time for which a write may be in flight to the table service.
    pub write_lifetime: Duration,
    /// Minimum retry delay reported to callers while the table service is down.
    pub retry_after: Duration,
    /// Retries and timeouts of transactions.
    pub commit: CommitSettings,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            start_id: String::new(),
            inline_bytes: 16 << 10,
            max_batch: 128,
            write_rate: 300,
            max_queued: 4096,
            max_unsaved: 1024,
            write_lifetime: Duration::from_mins(1),
            retry_after: Duration::from_secs(5),
            commit: CommitSettings::default(),
        }
    }
}

/// Digest of a request; equal only for equal method, path and body.
///
/// # Examples
///
/// ```
/// use brassrack::idempotency::fingerprint;
///
/// assert_ne!(fingerprint("POST", "/a", b"bc"), fingerprint("POST", "/ab", b"c"));
/// ```
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().to_hex().to_string()
}

/// Row key of a call; an idempotency key that is long or not plain is replaced by its digest.
///
/// # Examples
///
/// ```
/// assert_eq!(brassrack::idempotency::row_key("desk", "order-7"), "request/desk/order-7");
/// ```
#[must_use]
pub fn row_key(tenant: &str, key: &str) -> String {
    const MAX_KEY_BYTES: usize = 128;
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if key.len() <= MAX_KEY_BYTES && key.chars().all(is_plain) {
        return format!("request/{tenant}/{key}");
    }
    format!(
        "request/{tenant}/~{}",
        blake3::hash(key.as_bytes()).to_hex()
    )
}

/// Why the outcome of a call was not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettleError {
    /// The table service did not take the outcome; it is kept in memory up to a limit.
    #[error("the outcome waits for the table service")]
    Deferred,
    /// Another claim has replaced this one.
    #[error("another claim has replaced this one")]
    Superseded,
}
