//! Errors of parsing, storing and applying rules.

use serde::{Deserialize, Serialize};

use super::{Diff, Version};
use crate::verdict::Verdict;

/// One error of a rules file.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, thiserror::Error,
)]
#[error("line {line}, column {column}: found {found}; expected {expected}")]
pub struct RuleError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Text found at this position.
    pub found: String,
    /// Description of the accepted text.
    pub expected: String,
}

/// Error of reading accepted versions from the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The platform did not answer or returned an error.
    #[error("cannot read the rules from the platform: {0}")]
    Unavailable(String),
    /// The version never existed or is past the retained history.
    #[error("there is no version {0} of the rules")]
    NotFound(u64),
    /// The text of the version is missing or does not match its digest.
    #[error("version {0} of the rules is corrupt: {1}")]
    Corrupt(u64, String),
    /// A table row cannot be decoded as a version.
    #[error("cannot decode table row {0} as a rules version: {1}")]
    BadRow(String, String),
}

/// Details of a change rejected because another one was accepted first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConflict {
    /// Base version of the rejected change.
    pub base: u64,
    /// Version that is current instead.
    pub current: Version,
    /// Diff from the base to the current version; none if a text cannot be fetched.
    pub diff: Option<Diff>,
}

/// Error of applying a change; [`ApplyError::verdict`] tells whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The rules file is invalid.
    #[error("the rules file has {} errors", .0.len())]
    Invalid(Vec<RuleError>),
    /// Another change was accepted first.
    #[error("version {} by {} was accepted first; the change is based on {}",
        .0.current.version, .0.current.author, .0.base)]
    Conflict(Box<ApplyConflict>),
    /// The base version does not exist.
    #[error("base version {0} of the change does not exist")]
    NoSuchBase(u64),
    /// The change had no effect, for example because the platform did not answer.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The answer was lost and the outcome could not be determined; holds the operation id.
    #[error("the change may have been accepted; operation id {0}")]
    Unknown(String),
}

impl ApplyError {
    /// Returns whether the change may have been accepted.
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
