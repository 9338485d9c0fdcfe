//! What a command prints and how it ends.

use std::io::{self, Write};

use serde_json::{Value, json};

use crate::admin::{ClientError, Failure, FailureCode};
use crate::exit_codes::ExitCode;
use crate::rules::RuleError;

/// Result of a command that did its work.
#[derive(Debug)]
pub(super) struct Report {
    /// Output of `--json`.
    pub(super) json: Value,
    /// Output for people.
    pub(super) text: String,
    /// How the program ends.
    pub(super) code: ExitCode,
}

impl Report {
    pub(super) const fn new(json: Value, text: String) -> Self {
        Self {
            json,
            text,
            code: ExitCode::Success,
        }
    }

    /// Writes to standard output; a reader that has gone is no error.
    pub(super) fn print(&self, as_json: bool) -> ExitCode {
        let text = if as_json {
            format!("{}\n", self.json)
        } else {
            self.text.clone()
        };
        match io::stdout().write_all(text.as_bytes()) {
            Err(e) if e.kind() != io::ErrorKind::BrokenPipe => ExitCode::Failure,
            _ => self.code,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
pub(super) struct ToolError {
    /// How the program ends.
    pub(super) code: ExitCode,
    /// Lines for standard error, each naming the input.
    pub(super) lines: Vec<String>,
    /// The error for `--json`.
    pub(super) json: Value,
}

impl ToolError {
    /// An error of one line.
    pub(super) fn new(code: ExitCode, line: String) -> Self {
        Self {
            code,
            json: json!({ "code": code.to_string(), "detail": line }),
            lines: vec![line],
        }
    }

    /// All errors of a rules file.
    pub(super) fn invalid(file: &str, errors: &[RuleError]) -> Self {
        let line = |e: &RuleError| {
            let RuleError {
                line,
                column,
                found,
                expected,
            } = e;
            format!("{file}:{line}:{column}: found {found}; expected {expected}")
        };
        Self {
            code: ExitCode::Invalid,
            lines: errors.iter().map(line).collect(),
            json: json!({ "code": ExitCode::Invalid.to_string(), "errors": errors }),
        }
    }

    /// A call that only reads.
    pub(super) fn read(input: &str, error: &ClientError) -> Self {
        match error {
            ClientError::Failed(failure) => Self::failed(input, failure, ""),
            _ => Self::new(ExitCode::Unreachable, format!("{input}: {error}")),
        }
    }

    /// A call that changes something; the verdict says whether it may have.
    pub(super) fn change(input: &str, error: &ClientError) -> Self {
        let verdict = error.verdict();
        let code = match error {
            ClientError::Failed(failure) => {
                return Self::failed(input, failure, &format!(" ({verdict})"));
            }
            ClientError::Unreachable(..) => ExitCode::Unreachable,
            ClientError::Lost(..) => ExitCode::Unknown,
        };
        Self {
            json: json!({
                "code": code.to_string(), "verdict": verdict, "detail": error.to_string(),
            }),
            ..Self::new(code, format!("{input}: {error} ({verdict})"))
        }
    }

    fn failed(input: &str, failure: &Failure, verdict: &str) -> Self {
        if failure.code == FailureCode::Invalid && !failure.errors.is_empty() {
            return Self::invalid(input, &failure.errors);
        }
        let mut lines = vec![format!("{input}: {failure}{verdict}")];
        if let Some(diff) = failure.race.as_ref().and_then(|r| r.diff.as_ref()) {
            lines.extend(diff.to_string().lines().map(String::from));
        }
        Self {
            code: exit_code(failure.code),
            lines,
            json: serde_json::to_value(failure).unwrap_or_default(),
        }
    }

    /// Writes to standard error.
    pub(super) fn print(&self, as_json: bool) -> ExitCode {
        let mut text = String::new();
        if as_json {
            text = format!("{}\n", json!({ "error": self.json }));
        } else {
            for line in &self.lines {
                text.push_str(line);
                text.push('\n');
            }
        }
        // Nobody is left to tell where standard error is closed.
        let _written = io::stderr().write_all(text.as_bytes());
        self.code
    }
}

/// An answer of another form than this release knows.
impl From<serde_json::Error> for ToolError {
    fn from(error: serde_json::Error) -> Self {
        let line = format!("the administration API answered in another form: {error}");
        Self::new(ExitCode::Failure, line)
    }
}

const fn exit_code(code: FailureCode) -> ExitCode {
    match code {
        FailureCode::BadRequest | FailureCode::BadMethod => ExitCode::Failure,
        FailureCode::Denied => ExitCode::Denied,
        FailureCode::NotFound | FailureCode::NoSuchBase => ExitCode::NotFound,
        FailureCode::Raced => ExitCode::Raced,
        FailureCode::TooLarge | FailureCode::Invalid => ExitCode::Invalid,
        FailureCode::SlowSender | FailureCode::Unavailable => ExitCode::Unreachable,
        FailureCode::Unknown => ExitCode::Unknown,
    }
}
