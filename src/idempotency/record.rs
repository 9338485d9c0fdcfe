//! Rows of calls that may run at most once, and their state transitions.

use serde::{Deserialize, Serialize};

use crate::commit::Record;
use crate::rules::Repeat;

/// Body of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StoredBody {
    /// In the row itself.
    Text(String),
    /// In the object store under this key.
    Object(String),
}

/// An answer as stored in a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredAnswer {
    /// HTTP status code.
    pub(super) status: u16,
    /// Content type.
    pub(super) kind: String,
    /// Response body.
    pub(super) body: StoredBody,
}

/// State of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum State {
    /// Not claimed, or a claim was released; the call did not run.
    #[default]
    Free,
    /// Claimed; the call may be running.
    Claimed,
    /// The call ran; this is its answer.
    Done(StoredAnswer),
    /// The call ran and its answer was not stored.
    Ran,
    /// The call may have run.
    Unknown,
}

/// Row `request/<tenant>/<key>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestRow {
    /// Digest of method, path and body.
    pub(super) fingerprint: String,
    /// Operation id of the claim.
    pub(super) op: String,
    /// Id of the process start that holds the claim.
    pub(super) claimant: String,
    /// Time of the last change in milliseconds since the Unix epoch; retention starts here.
    pub(super) at: u64,
    /// State of the call.
    pub(super) state: State,
}

impl Record for RequestRow {}

/// A request for a claim.
#[derive(Debug, Clone)]
pub(super) struct ClaimRequest {
    pub(super) fingerprint: String,
    pub(super) op: String,
    pub(super) claimant: String,
    pub(super) repeat: Repeat,
    /// Operation ids of claims on this row that this process abandoned before sending.
    pub(super) abandoned: Vec<String>,
}

/// A change of one record.
#[derive(Debug, Clone)]
pub(super) enum Change {
    /// Claim the call.
    Claim(ClaimRequest),
    /// Record the outcome of the claim with this operation id.
    Settle { op: String, state: State },
    /// Record that the holder of the claim with this operation id has ended.
    Orphan { op: String },
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The claim is granted, or the change is applied or needs no write.
    Applied,
    /// The call ran; this is its answer.
    Completed(StoredAnswer),
    /// The call ran and its answer was not stored.
    Ran,
    /// The call may have run.
    Unknown,
    /// Another claim is in progress.
    InProgress { claimant: String, op: String },
    /// The key was used with another request.
    KeyReused,
    /// Another claim has replaced this one, or the claim is already settled.
    Superseded,
}

impl Change {
    /// Applies the change; the flag tells whether the row changed.
    pub(super) fn apply(&self, row: &mut RequestRow, now: u64) -> (Outcome, bool) {
        match self {
            Self::Claim(request) => request.apply(row, now),
            Self::Settle { op, state } => settle(row, op, state, now),
            Self::Orphan { op } => {
                if row.op != *op || row.state != State::Claimed {
                    return (Outcome::Superseded, false);
                }
                row.state = State::Unknown;
                row.at = now;
                (Outcome::Unknown, true)
            }
        }
    }
}

impl ClaimRequest {
    fn apply(&self, row: &mut RequestRow, now: u64) -> (Outcome, bool) {
        if row.state == State::Free {
            return self.claim(row, now);
        }
        if row.fingerprint != self.fingerprint {
            return (Outcome::KeyReused, false);
        }
        match &row.state {
            State::Claimed if row.op == self.op => (Outcome::Applied, false),
            State::Claimed if self.abandoned.contains(&row.op) => self.claim(row, now),
            State::Claimed => {
                let progress = Outcome::InProgress {
                    claimant: row.claimant.clone(),
                    op: row.op.clone(),
                };
                (progress, false)
            }
            State::Unknown if self.repeat == Repeat::Keyed => self.claim(row, now),
            State::Unknown => (Outcome::Unknown, false),
            State::Ran => (Outcome::Ran, false),
            State::Done(stored) => (Outcome::Completed(stored.clone()), false),
            State::Free => self.claim(row, now),
        }
    }

    fn claim(&self, row: &mut RequestRow, now: u64) -> (Outcome, bool) {
        *row = RequestRow {
            fingerprint: self.fingerprint.clone(),
            op: self.op.clone(),
            claimant: self.claimant.clone(),
            at: now,
            state: State::Claimed,
        };
        (Outcome::Applied, true)
    }
}

/// Records the outcome of a claim; only its holder settles with its operation id.
fn settle(row: &mut RequestRow, op: &str, state: &State, now: u64) -> (Outcome, bool) {
    if row.op != op {
        return (Outcome::Superseded, false);
    }
    match row.state {
        State::Claimed | State::Unknown if row.state != *state => {
            row.state = state.clone();
            row.at = now;
            (Outcome::Applied, true)
        }
        _ => (Outcome::Applied, false),
    }
}
