//! Deletes records after their retention period.

use std::time::Duration;

use crate::commit::{MalformedRow, Record, epoch_millis};
use crate::table::{Check, Commit, Read, Table, TableError, Txn, Write};

use super::record::RequestRow;

/// Maximum number of rows deleted by one transaction.
const MAX_ROWS_PER_TXN: usize = 128;

/// Why records were not deleted; the deletion can be retried.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExpiryError {
    /// The table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedRow),
}

/// Deletes a tenant's records whose last change is older than the retention; returns how many.
///
/// A later call with the same key counts as new. If a record changes concurrently, its whole
/// batch is kept until the next run.
///
/// # Errors
///
/// [`ExpiryError`] if the table service fails or a row is malformed; batches already deleted
/// stay deleted.
pub async fn delete_expired(
    table: &dyn Table,
    tenant: &str,
    retention: Duration,
) -> Result<usize, ExpiryError> {
    let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let cutoff = epoch_millis().saturating_sub(retention);
    let rows = table
        .read(Read::Prefix(format!("request/{tenant}/")))
        .await?;
    let mut expired = Vec::new();
    for row in rows {
        if RequestRow::parse(&row)?.at < cutoff {
            expired.push(Check {
                key: row.key,
                revision: row.revision,
            });
        }
    }
    let mut deleted = 0;
    for checks in expired.chunks(MAX_ROWS_PER_TXN) {
        let writes = checks
            .iter()
            .map(|c| Write {
                key: c.key.clone(),
                value: None,
            })
            .collect();
        let checks = checks.to_vec();
        let n = checks.len();
        if let Commit::Done(_) = table.commit(Txn { checks, writes }).await? {
            deleted += n;
        }
    }
    Ok(deleted)
}
