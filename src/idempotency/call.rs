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
pub struct Token {
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
    Mine(Token),
    /// It ran before; this is its answer.
    Done(Answer),
    /// Another claim stands.
    InProgress {
        /// Process start that claimed it.
        claimant: String,
        /// Operation id of that claim, for [`orphan`](super::Ledger::orphan).
        op: String,
    },
    /// It may have run, and will not be sent again.
    Unknown,
    /// It ran, and its answer could not be kept.
    Ran,
}

/// Settings of the [`Ledger`](super::Ledger).
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    /// This process start; no other start may use the same text.
    pub instance: String,
    /// Largest body that is kept in the row, in bytes; larger ones go to the object store.
    pub inline: usize,
    /// Most changes in one transaction.
    pub batch: usize,
    /// Transactions a second that the ledgers of all instances may take together.
    pub writes: u32,
    /// Most changes that wait for a transaction.
    pub depth: usize,
    /// Most answers that wait for the table service to come back.
    pub unsaved: usize,
    /// Longest time that a write may be on its way to the table service.
    pub lifetime: Duration,
    /// Least time after which coming back helps while the table service is down.
    pub retry: Duration,
    /// Bounds of transactions.
    pub commit: CommitSettings,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            instance: String::new(),
            inline: 16 << 10,
            batch: 128,
            writes: 300,
            depth: 4096,
            unsaved: 1024,
            lifetime: Duration::from_mins(1),
            retry: Duration::from_secs(5),
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
/// assert_eq!(brassrack::idempotency::request_key("desk", "order-7"), "request/desk/order-7");
/// ```
#[must_use]
pub fn request_key(tenant: &str, key: &str) -> String {
    const LONGEST: usize = 128;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if key.len() <= LONGEST && key.chars().all(plain) {
        return format!("request/{tenant}/{key}");
    }
    format!(
        "request/{tenant}/~{}",
        blake3::hash(key.as_bytes()).to_hex()
    )
}

/// Why the outcome of a call is not in its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The table service does not answer; the outcome waits in memory.
    #[error("the outcome waits for the table service")]
    Later,
    /// Another claim has taken this one's place.
    #[error("another claim has taken this one's place")]
    Superseded,
}
