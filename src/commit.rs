//! Optimistic transactions over the table service: read, decide, compare and set.
//!
//! A decision recognises its own operation id in the rows. After a lost answer the rows are
//! therefore read again and the decision is repeated: either it finds its own write, or it
//! commits against the new revisions, which makes a write still in flight fail its checks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::table::{Check, Commit, Read, Row, Table, TableError, Txn, Write};

/// Why a transaction was not committed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The table service does not answer; nothing was written.
    #[error("table service is down: {0}")]
    Unavailable(String),
    /// The table service does not answer; a write may have taken effect.
    #[error("outcome of a transaction is unknown: {0}")]
    Unknown(String),
    /// Every attempt conflicted with another writer or read more rows; nothing was written.
    #[error("too many conflicting transactions")]
    Contended,
    /// A row is malformed; this attempt wrote nothing.
    #[error(transparent)]
    Malformed(#[from] MalformedRow),
}

/// A row whose value is not the record expected under its key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row {key} is malformed: {cause}")]
pub struct MalformedRow {
    /// Key of the row.
    pub key: String,
    /// Error of the JSON parser or writer.
    pub cause: String,
}

/// Rows that were read together.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    rows: BTreeMap<String, Row>,
}

impl Snapshot {
    /// Revision of a row; 0 if it does not exist.
    #[must_use]
    pub fn revision(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |r| r.revision)
    }

    /// All rows, in key order.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// A row, if it exists.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }
}

impl From<Vec<Row>> for Snapshot {
    fn from(rows: Vec<Row>) -> Self {
        let rows = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        Self { rows }
    }
}

/// A record stored as JSON text in a row.
pub trait Record: Serialize + DeserializeOwned + Default {
    /// Reads the record under a key; the default if the row does not exist.
    ///
    /// # Errors
    ///
    /// [`MalformedRow`] if the row does not hold such a record.
    fn read(snapshot: &Snapshot, key: &str) -> Result<Self, MalformedRow> {
        snapshot
            .row(key)
            .map_or_else(|| Ok(Self::default()), Self::parse)
    }

    /// Parses the record of a row.
    ///
    /// # Errors
    ///
    /// [`MalformedRow`] if the row does not hold such a record.
    fn parse(row: &Row) -> Result<Self, MalformedRow> {
        serde_json::from_str(&row.value).map_err(|e| MalformedRow {
            key: row.key.clone(),
            cause: e.to_string(),
        })
    }

    /// The write that stores the record under a key.
    ///
    /// # Errors
    ///
    /// [`MalformedRow`] if the record cannot be written as JSON.
    fn write(&self, key: &str) -> Result<Write, MalformedRow> {
        let value = serde_json::to_string(self).map_err(|e| MalformedRow {
            key: key.into(),
            cause: e.to_string(),
        })?;
        Ok(Write {
            key: key.into(),
            value: Some(value),
        })
    }
}

/// Result of a decision over a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Commit these writes if no row of the snapshot has changed.
    Commit(Vec<Write>),
    /// There is nothing to write.
    NoChange,
    /// Read these keys as well, then decide again.
    ReadMore(Vec<String>),
}

impl Decision {
    /// A commit of these writes; [`NoChange`](Self::NoChange) if there are none.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::commit::Decision;
    ///
    /// assert_eq!(Decision::from_writes(Vec::new()), Decision::NoChange);
    /// ```
    #[must_use]
    pub fn from_writes(writes: Vec<Write>) -> Self {
        if writes.is_empty() {
            return Self::NoChange;
        }
        Self::Commit(writes)
    }
}

/// Function that decides over a snapshot; called again after a conflict or a lost answer.
pub type DecideFn<'a> = dyn FnMut(&Snapshot) -> Result<Decision, MalformedRow> + Send + 'a;

/// Retries and timeouts of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitSettings {
    /// Attempts before the transaction fails.
    pub attempts: u32,
    /// Timeout of one call to the table service.
    pub timeout: Duration,
    /// Pause before the second attempt; it grows linearly with each further attempt.
    pub backoff: Duration,
}

impl Default for CommitSettings {
    fn default() -> Self {
        Self {
            attempts: 16,
            timeout: Duration::from_secs(5),
            backoff: Duration::from_millis(2),
        }
    }
}

/// Runs transactions against the table service.
#[derive(Debug, Clone)]
pub struct Committer {
    table: Arc<dyn Table>,
    settings: CommitSettings,
}

impl Committer {
    /// A committer for a table service.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, settings: CommitSettings) -> Self {
        Self { table, settings }
    }

    /// Reads rows within the timeout.
    ///
    /// # Errors
    ///
    /// [`CommitError::Unavailable`] if the table service does not answer.
    pub async fn read(&self, read: Read) -> Result<Snapshot, CommitError> {
        match timeout(self.settings.timeout, self.table.read(read)).await {
            Ok(Ok(rows)) => Ok(rows.into()),
            Ok(Err(e)) => Err(CommitError::Unavailable(e.to_string())),
            Err(elapsed) => Err(CommitError::Unavailable(elapsed.to_string())),
        }
    }

    /// Reads rows, decides and commits; repeats after each conflict or lost answer.
    ///
    /// Returns the revision of the write, or `None` if there was nothing to write.
    ///
    /// # Errors
    ///
    /// [`CommitError::Unknown`] if a write may have taken effect; repeating the decision later
    /// with the same operation id resolves it.
    pub async fn transact(
        &self,
        keys: Vec<String>,
        decide: &mut DecideFn<'_>,
    ) -> Result<Option<u64>, CommitError> {
        let mut keys = keys;
        let mut outcome_unknown = false;
        for attempt in 0..self.settings.attempts {
            sleep(self.settings.backoff * attempt).await;
            let snapshot = match self.read(Read::Keys(keys.clone())).await {
                Err(CommitError::Unavailable(cause)) if outcome_unknown => {
                    return Err(CommitError::Unknown(cause));
                }
                other => other?,
            };
            let writes = match decide(&snapshot)? {
                Decision::NoChange => return Ok(None),
                Decision::ReadMore(more) => {
                    keys.extend(more);
                    continue;
                }
                Decision::Commit(writes) => writes,
            };
            match self.commit(&keys, &snapshot, writes).await {
                Ok(Commit::Done(revision)) => return Ok(Some(revision)),
                Ok(Commit::Conflict(_)) => {}
                Err(TableError::Refused(cause)) if !outcome_unknown => {
                    return Err(CommitError::Unavailable(cause));
                }
                Err(TableError::Refused(cause)) => return Err(CommitError::Unknown(cause)),
                Err(TableError::Unknown(_)) => outcome_unknown = true,
            }
        }
        if outcome_unknown {
            return Err(CommitError::Unknown("too many attempts".into()));
        }
        Err(CommitError::Contended)
    }

    async fn commit(
        &self,
        keys: &[String],
        snapshot: &Snapshot,
        writes: Vec<Write>,
    ) -> Result<Commit, TableError> {
        let checks = keys
            .iter()
            .map(|key| Check {
                key: key.clone(),
                revision: snapshot.revision(key),
            })
            .collect();
        let txn = Txn { checks, writes };
        timeout(self.settings.timeout, self.table.commit(txn))
            .await
            .unwrap_or_else(|elapsed| Err(TableError::Unknown(elapsed.to_string())))
    }
}

/// Generator of operation ids.
#[derive(Debug)]
pub struct OperationIds {
    prefix: String,
    next: AtomicU64,
}

impl OperationIds {
    /// Ids with a prefix that must be unique to this process start.
    ///
    /// # Examples
    ///
    /// ```
    /// let ids = brassrack::commit::OperationIds::new("vic-1-9f3c");
    /// assert_eq!(ids.next(), "vic-1-9f3c.1");
    /// ```
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            next: AtomicU64::new(1),
        }
    }

    /// The next id.
    #[must_use]
    pub fn next(&self) -> String {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}.{n}", self.prefix)
    }
}

/// Milliseconds since the Unix epoch, for timestamps in rows and for retention.
pub(crate) fn epoch_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
