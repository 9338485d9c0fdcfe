//! Errors of a rules file.

use serde::{Deserialize, Serialize};

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
