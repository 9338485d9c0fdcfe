//! Contract of the platform's table service.
//!
//! Over HTTP with JSON bodies: `POST /v1/commit` takes a [`Txn`] and answers a [`Commit`];
//! `POST /v1/read` takes a [`Read`] and answers the [`Row`]s in key order. Every row carries the
//! revision of the transaction that wrote it last; revisions only grow, over the whole table.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};

use crate::BoxFuture;

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, such as `server/besedilnik-1`.
    pub key: String,
    /// Value, JSON text by convention.
    pub value: String,
    /// Revision of the transaction that wrote the row; never 0.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 means that it must not exist.
    pub revision: u64,
}

/// Bits of a revision that count within an era; the bits above are the era.
const ERA_SHIFT: u32 = 40;

/// Revision of a number that the service gave out in an era.
///
/// An era begins when the service comes back from an older copy of its rows, after which it gives out
/// the same numbers again. Revisions of a later era are greater than all earlier ones.
///
/// # Examples
///
/// ```
/// use brassrack::table::{era, number, revision};
///
/// assert!(revision(2, 1) > revision(1, 900));
/// assert_eq!((era(revision(2, 7)), number(revision(2, 7))), (2, 7));
/// assert_eq!(revision(0, 7), 7);
/// ```
#[must_use]
pub const fn revision(era: u64, number: u64) -> u64 {
    era << ERA_SHIFT | number
}

/// Era of a revision.
#[must_use]
pub const fn era(revision: u64) -> u64 {
    revision >> ERA_SHIFT
}

/// Number that the service gave out for a revision.
#[must_use]
pub const fn number(revision: u64) -> u64 {
    revision & ((1 << ERA_SHIFT) - 1)
}

/// A change that a transaction makes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; none deletes the row.
    pub value: Option<String>,
}

/// A transaction: all writes take effect if all checks hold, else none does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// All writes took effect at this revision.
    Done(u64),
    /// Nothing was written; these keys did not have the checked revision.
    Conflict(Vec<String>),
}

/// What to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Read {
    /// The rows with these keys, in one snapshot; missing rows are left out.
    Keys(Vec<String>),
    /// All rows whose key starts with this text.
    Prefix(String),
}

/// Why a call to the table service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call surely had no effect.
    #[error("table service refused the call: {0}")]
    Refused(String),
    /// The answer was lost; a write may have taken effect.
    #[error("table service did not answer: {0}")]
    Unknown(String),
}

/// The platform's transactional table service.
pub trait Table: Debug + Send + Sync {
    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// [`TableError::Unknown`] where the transaction may have taken effect.
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>>;

    /// Era of the newest answer; 0 where the service never came back from an older copy.
    fn era(&self) -> u64 {
        0
    }

    /// Reads rows, in key order.
    ///
    /// # Errors
    ///
    /// Any [`TableError`] where the service does not answer.
    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>>;
}
