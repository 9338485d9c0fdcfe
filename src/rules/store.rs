//! Storage of rules versions in the platform's table service and object store.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::version::{CURRENT_KEY, history_key, object_key};
use super::{ApplyConflict, ApplyError, Diff, Rules, StoreError, Version, VersionText, digest};
use crate::objects::Objects;
use crate::table::{Check, Commit, Read, Row, Table, TableError, Txn, Write};

/// Row whose revision change makes an unanswered transaction fail its checks.
const GUARD_KEY: &str = "rules/guard";
/// Versions retained in the history.
const MAX_HISTORY_VERSIONS: u64 = 1000;
/// Versions returned by one history call.
const MAX_PAGE_VERSIONS: u64 = 100;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time limits of the store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Time limit for one platform call.
    pub call_timeout: Duration,
    /// Time limit for determining whether an unanswered change took effect.
    pub resolve_timeout: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            resolve_timeout: Duration::from_secs(20),
        }
    }
}

/// A proposed change of the rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Proposal {
    /// Version that the change is based on; 0 for the first rules.
    pub base: u64,
    /// Text of the rules file.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Author's note on the change.
    pub note: String,
    /// Operation id; generated if empty.
    pub op: String,
}

/// Client of the store of accepted rules versions.
#[derive(Debug, Clone)]
pub struct RulesStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    settings: StoreSettings,
}

/// Rows read from the table in one snapshot.
#[derive(Debug)]
struct Snapshot {
    current: Option<Version>,
    /// The version that follows the base.
    next: Option<Version>,
    /// Revision of the row of the current version.
    current_revision: u64,
    /// Revision of the guard row.
    guard_revision: u64,
}

impl Snapshot {
    fn current_version(&self) -> u64 {
        self.current.as_ref().map_or(0, |v| v.version)
    }

    /// Returns whether the operation created the version that follows the base.
    fn was_made_by(&self, op: &str) -> bool {
        self.next.as_ref().is_some_and(|v| v.op == op)
    }
}

impl RulesStore {
    /// Creates a store on the platform's table service and object store.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn Objects>, settings: StoreSettings) -> Self {
        Self {
            table,
            objects,
            settings,
        }
    }

    /// Reads the latest accepted version; none before the first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] where the table service does not answer.
    pub async fn current(&self) -> Result<Option<Version>, StoreError> {
        let rows = self.read(vec![CURRENT_KEY.into()]).await?;
        rows.first().map(decode).transpose()
    }

    /// Reads a version by number, with its text.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotFound`] if the version never existed or is past the retained history.
    pub async fn fetch(&self, version: u64) -> Result<VersionText, StoreError> {
        let rows = self.read(vec![history_key(version)]).await?;
        let row = rows.first().ok_or(StoreError::NotFound(version))?;
        self.text(decode(row)?).await
    }

    /// Reads the text of a version from the object store and verifies its digest.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if the object is missing or does not match the digest.
    pub async fn text(&self, version: Version) -> Result<VersionText, StoreError> {
        let key = object_key(&version.digest);
        let body = timeout(self.settings.call_timeout, self.objects.get(key))
            .await
            .map_err(|_elapsed| StoreError::Unavailable("object store did not answer".into()))?
            .map_err(|e| StoreError::Unavailable(e.to_string()))?
            .ok_or_else(|| StoreError::Corrupt(version.version, "text is missing".into()))?;
        let text = String::from_utf8(body.into())
            .map_err(|e| StoreError::Corrupt(version.version, e.to_string()))?;
        if digest(&text) != version.digest {
            let cause = "text does not match its digest".into();
            return Err(StoreError::Corrupt(version.version, cause));
        }
        Ok(VersionText { version, text })
    }

    /// Reads the latest versions, newest first; at most 100.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] where the table service does not answer.
    pub async fn history(&self, count: u64) -> Result<Vec<Version>, StoreError> {
        let Some(current) = self.current().await? else {
            return Ok(Vec::new());
        };
        let last = current.version;
        let first = last
            .saturating_sub(count.clamp(1, MAX_PAGE_VERSIONS) - 1)
            .max(1);
        let keys = (first..=last).map(history_key).collect();
        let rows = self.read(keys).await?;
        rows.iter().rev().map(decode).collect()
    }

    /// Returns the diff from one version to another; version 0 is the empty file.
    ///
    /// # Errors
    ///
    /// Those of [`RulesStore::fetch`].
    pub async fn diff(&self, from: u64, to: u64) -> Result<Diff, StoreError> {
        let old = self.text_or_empty(from).await?;
        let new = self.text_or_empty(to).await?;
        Ok(Diff::between(&old, &new))
    }

    async fn text_or_empty(&self, version: u64) -> Result<String, StoreError> {
        if version == 0 {
            return Ok(String::new());
        }
        Ok(self.fetch(version).await?.text)
    }

    /// Makes a change the current version if its base is still current.
    ///
    /// Idempotent: if the text is already current, or the operation was already accepted on this
    /// base with the same text, the existing version is returned.
    /// The change is one transaction with an operation id. If its answer is lost, the outcome is
    /// determined by reading the rows back; the transaction is never resent.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] says whether the change may have been accepted.
    pub async fn apply(&self, mut proposal: Proposal) -> Result<Version, ApplyError> {
        if proposal.op.is_empty() {
            proposal.op = operation_id();
        }
        Rules::parse(&proposal.text).map_err(ApplyError::Invalid)?;
        let digest = digest(&proposal.text);
        self.upload_text(&digest, &proposal.text).await?;
        let before = self
            .snapshot(proposal.base)
            .await
            .map_err(|e| ApplyError::Unavailable(e.to_string()))?;
        let known = before
            .next
            .as_ref()
            .filter(|v| v.op == proposal.op && v.digest == digest);
        let same = before.current.as_ref().filter(|v| v.digest == digest);
        if let Some(version) = known.or(same) {
            return Ok(version.clone());
        }
        if before.current_version() != proposal.base {
            return Err(self.conflict(proposal.base, before.current).await);
        }
        let version = Version {
            version: proposal.base + 1,
            digest,
            op: proposal.op,
            author: proposal.author,
            note: proposal.note,
            at: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
        };
        self.commit(before, version).await
    }

    async fn upload_text(&self, digest: &str, text: &str) -> Result<(), ApplyError> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        let put = self.objects.put(object_key(digest), body);
        match timeout(self.settings.call_timeout, put).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(e)) => Err(ApplyError::Unavailable(e.to_string())),
            Err(_) => Err(ApplyError::Unavailable(
                "object store did not answer".into(),
            )),
        }
    }

    async fn commit(&self, before: Snapshot, version: Version) -> Result<Version, ApplyError> {
        let txn = change_transaction(&before, &version)?;
        match self.commit_with_timeout(txn).await {
            Ok(Commit::Done(_)) => Ok(version),
            Err(TableError::Refused(cause)) => Err(ApplyError::Unavailable(cause)),
            Ok(Commit::Conflict(_)) | Err(TableError::Unknown(_)) => {
                let limit = self.settings.resolve_timeout;
                match timeout(limit, self.resolve(&before, &version)).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(ApplyError::Unknown(version.op)),
                }
            }
        }
    }

    /// Determines whether a transaction took effect, and invalidates it if it is still in flight.
    async fn resolve(&self, before: &Snapshot, version: &Version) -> Result<Version, ApplyError> {
        let base = before.current_version();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match self.snapshot(base).await {
                Err(_) => back_off(&mut backoff).await,
                Ok(now) if now.was_made_by(&version.op) => return Ok(version.clone()),
                Ok(now) if now.current_version() != base => {
                    return Err(self.conflict(base, now.current).await);
                }
                Ok(now)
                    if now.guard_revision != before.guard_revision
                        || now.current_revision != before.current_revision =>
                {
                    let cause = "the transaction did not take effect; apply the change again";
                    return Err(ApplyError::Unavailable(cause.into()));
                }
                // No effect is visible yet. Once the guard revision changes, the transaction fails
                // its checks whenever it arrives, so the next snapshot is final.
                Ok(now) => {
                    if self
                        .commit_with_timeout(guard_transaction(now.guard_revision, &version.op))
                        .await
                        .is_err()
                    {
                        back_off(&mut backoff).await;
                    }
                }
            }
        }
    }

    async fn conflict(&self, base: u64, current: Option<Version>) -> ApplyError {
        let Some(current) = current else {
            return ApplyError::NoSuchBase(base);
        };
        if current.version < base {
            return ApplyError::NoSuchBase(base);
        }
        let diff = self.diff(base, current.version).await.ok();
        ApplyError::Conflict(Box::new(ApplyConflict {
            base,
            current,
            diff,
        }))
    }

    async fn snapshot(&self, base: u64) -> Result<Snapshot, StoreError> {
        let next_key = history_key(base + 1);
        let keys = vec![CURRENT_KEY.into(), GUARD_KEY.into(), next_key.clone()];
        let rows = self.read(keys).await?;
        let row = |key: &str| rows.iter().find(|r| r.key == key);
        let revision = |key| row(key).map_or(0, |r| r.revision);
        Ok(Snapshot {
            current: row(CURRENT_KEY).map(decode).transpose()?,
            next: row(&next_key).map(decode).transpose()?,
            current_revision: revision(CURRENT_KEY),
            guard_revision: revision(GUARD_KEY),
        })
    }

    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, StoreError> {
        match timeout(
            self.settings.call_timeout,
            self.table.read(Read::Keys(keys)),
        )
        .await
        {
            Ok(rows) => rows.map_err(|e| StoreError::Unavailable(e.to_string())),
            Err(_) => Err(StoreError::Unavailable(
                "table service did not answer".into(),
            )),
        }
    }

    async fn commit_with_timeout(&self, txn: Txn) -> Result<Commit, TableError> {
        match timeout(self.settings.call_timeout, self.table.commit(txn)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(TableError::Unknown("no answer in time".into())),
        }
    }
}

/// Sleeps for the backoff and doubles it, up to [`MAX_BACKOFF`].
async fn back_off(backoff: &mut Duration) {
    sleep(*backoff).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}

/// Generates a random operation id.
///
/// # Examples
///
/// ```
/// use brassrack::rules::operation_id;
///
/// assert_ne!(operation_id(), operation_id());
/// ```
#[must_use]
pub fn operation_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Builds the transaction that makes a version current and trims the history.
fn change_transaction(before: &Snapshot, version: &Version) -> Result<Txn, ApplyError> {
    let value =
        serde_json::to_string(version).map_err(|e| ApplyError::Unavailable(e.to_string()))?;
    let check = |key: &str, revision| Check {
        key: key.into(),
        revision,
    };
    let write = |key: String, value| Write { key, value };
    let mut writes = vec![
        write(CURRENT_KEY.into(), Some(value.clone())),
        write(history_key(version.version), Some(value)),
    ];
    if let Some(old) = version.version.checked_sub(MAX_HISTORY_VERSIONS) {
        writes.push(write(history_key(old), None));
    }
    Ok(Txn {
        checks: vec![
            check(CURRENT_KEY, before.current_revision),
            check(GUARD_KEY, before.guard_revision),
        ],
        writes,
    })
}

/// Builds the transaction that changes the guard revision.
fn guard_transaction(revision: u64, op: &str) -> Txn {
    Txn {
        checks: vec![Check {
            key: GUARD_KEY.into(),
            revision,
        }],
        writes: vec![Write {
            key: GUARD_KEY.into(),
            value: Some(op.into()),
        }],
    }
}

fn decode(row: &Row) -> Result<Version, StoreError> {
    serde_json::from_str(&row.value).map_err(|e| StoreError::BadRow(row.key.clone(), e.to_string()))
}
