//! Calls that may run at most once, their claims and answers.

use std::time::Duration;

use bytes::Bytes;

use crate::commit::CommitSettings;
use crate::rules::Repeat;

/// A call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Tenant.
    pub tenant: String,
    /// Idempotency key as the caller gave it.
    pub key: String,
    /// Digest of the request, by [`fingerprint`].
    pub fingerprint: String,
    /// Whether the service recognises the key.
    pub repeat: Repeat,
}

/// The right to send a call; held by one instance at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimToken {
    pub(super) row: String,
    pub(super) op: String,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Body.
    pub body: Bytes,
}

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The call may be sent, once.
    Granted(ClaimToken),
    /// It ran before; this is its answer.
    Completed(Answer),
    /// Another claim stands.
    InProgress {
        /// Process start that claimed it.
        claimant: String,
        /// Operation id of that claim, for [`mark_orphaned`](super::IdempotencyStore::mark_orphaned).
        op: String,
    },
    /// It may have run, and will not be sent again.
    Unknown,
    /// It ran, and its answer could not be kept.
    Ran,
}

/// Settings of the [`IdempotencyStore`](super::IdempotencyStore).
#[derive(Debug, Clone)]
pub struct IdempotencySettings {
    /// This process start; no other start may use the same text.
    pub start_id: String,
    /// Largest body that is kept in the row, in bytes; larger ones go to the object store.
    pub inline_bytes: usize,
    /// Most changes in one transaction.
    pub max_batch: usize,
    /// Transactions a second that the ledgers of all instances may take together.
    pub write_rate: u32,
    /// Most changes that wait for a transaction.
    pub max_queued: usize,
    /// Most answers that wait for the table service to come back.
    pub max_unsaved: usize,
    /// Longest time that a write may be on its way to the table service.
    pub write_lifetime: Duration,
    /// Least time after which coming back helps while the table service is down.
    pub retry_after: Duration,
    /// Bounds of transactions.
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

/// Digest of a request, equal only for equal method, path and body.
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

/// Key of a call's row; a key with unusual characters is replaced by its digest.
///
/// # Examples
///
/// ```
/// assert_eq!(brassrack::idempotency::row_key("desk", "order-7"), "request/desk/order-7");
/// ```
#[must_use]
pub fn row_key(tenant: &str, key: &str) -> String {
    const MAX_KEY_BYTES: usize = 128;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if key.len() <= MAX_KEY_BYTES && key.chars().all(plain) {
        return format!("request/{tenant}/{key}");
    }
    format!(
        "request/{tenant}/~{}",
        blake3::hash(key.as_bytes()).to_hex()
    )
}

/// Why the outcome of a call is not in its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettleError {
    /// The table service does not answer; the outcome waits in memory.
    #[error("the outcome waits for the table service")]
    Deferred,
    /// Another claim has taken this one's place.
    #[error("another claim has taken this one's place")]
    Superseded,
}
