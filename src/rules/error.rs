//! Errors of a rules file.

use serde::{Deserialize, Serialize};

use super::{Diff, Version};
use crate::verdict::Verdict;

/// One error of a rules file.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, thiserror::Error,
)]
#[error("line {line}, column {column}: found {found}; expected {expected}")]
pub struct RuleError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub expected: String,
}

/// Why the accepted configurations could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform does not answer.
    #[error("configuration cannot be read: {0}")]
    Unavailable(String),
    /// There is no such version, or it is no longer kept.
    #[error("there is no version {0} of the rules")]
    NotFound(u64),
    /// The text of a version is missing or damaged.
    #[error("version {0} of the rules is damaged: {1}")]
    Corrupt(u64, String),
    /// A row of the table does not hold a version.
    #[error("row {0} does not hold a version of the rules: {1}")]
    BadRow(String, String),
}

/// A change that lost against another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConflict {
    /// Version that the change was based on.
    pub base: u64,
    /// Version that is current instead, with its author.
    pub current: Version,
    /// What changed since the base; none where the texts cannot be fetched.
    pub diff: Option<Diff>,
}

/// Why a change of the configuration was not reported as accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The text has errors.
    #[error("the rules file has {} errors", .0.len())]
    Invalid(Vec<RuleError>),
    /// Another change was accepted first.
    #[error("version {} by {} was accepted first; the change is based on {}",
        .0.current.version, .0.current.author, .0.base)]
    Conflict(Box<ApplyConflict>),
    /// The change is based on a version that does not exist.
    #[error("there is no version {0} that the change could be based on")]
    NoSuchBase(u64),
    /// The platform does not answer; nothing was changed.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The answer was lost, and the platform does not tell; the operation id is given.
    #[error("the change may have been accepted, as operation {0}")]
    Unknown(String),
}

impl ApplyError {
    /// Whether the change may have been accepted.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::rules::ApplyError;
    /// use brassrack::verdict::Verdict;
    ///
    /// assert_eq!(ApplyError::Unknown("op".into()).verdict(), Verdict::MayHaveRun);
    /// ```
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown(_) => Verdict::MayHaveRun,
            Self::Invalid(_) | Self::Conflict(_) | Self::NoSuchBase(_) | Self::Unavailable(_) => {
                Verdict::NotRun
            }
        }
    }
}
