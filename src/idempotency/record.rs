//! Records of calls that may not be repeated, and what may become of them.

use serde::{Deserialize, Serialize};

use crate::commit::Record;
use crate::rules::Repeat;

/// Body of an answer as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StoredBody {
    /// In the row itself.
    Text(String),
    /// In the object store under this key.
    Object(String),
}

/// An answer as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredAnswer {
    /// HTTP status code.
    pub(super) status: u16,
    /// Content type.
    pub(super) kind: String,
    /// Body.
    pub(super) body: StoredBody,
}

/// State of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum State {
    /// Claimed before, and it surely did not run.
    #[default]
    Free,
    /// Claimed; it may be running.
    Claimed,
    /// It ran, and this is the answer.
    Done(StoredAnswer),
    /// It ran, and the answer could not be kept.
    Ran,
    /// It may have run.
    Unknown,
}

/// Row `request/<tenant>/<key>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestRow {
    /// Digest of method, path and body.
    pub(super) fingerprint: String,
    /// Operation id of the claim.
    pub(super) op: String,
    /// Process start that claimed it.
    pub(super) claimant: String,
    /// Milliseconds since the Unix epoch at the last change; retention counts from here.
    pub(super) at: u64,
    /// State.
    pub(super) state: State,
}

impl Record for RequestRow {}

/// A claim to decide.
#[derive(Debug, Clone)]
pub(super) struct ClaimRequest {
    pub(super) fingerprint: String,
    pub(super) op: String,
    pub(super) claimant: String,
    pub(super) repeat: Repeat,
    /// Claims of this process that it gave up before anything was sent.
    pub(super) abandoned: Vec<String>,
}

/// A change of one record.
#[derive(Debug, Clone)]
pub(super) enum Change {
    /// Claim the call.
    Claim(ClaimRequest),
    /// Keep the outcome of the claim with this operation id.
    Settle { op: String, state: State },
    /// Note that the claimant with this operation id is gone.
    Orphan { op: String },
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The claim or the change stands.
    Applied,
    /// The outcome is known.
    Completed(StoredAnswer),
    /// It ran, and the answer is lost.
    Ran,
    /// It may have run.
    Unknown,
    /// Another claim stands.
    InProgress { claimant: String, op: String },
    /// The key was used with another request.
    KeyReused,
    /// Another claim has taken this one's place.
    Superseded,
}

impl Change {
    /// Applies the change; says whether the entry was written.
    pub(super) fn apply(&self, entry: &mut RequestRow, now: u64) -> (Outcome, bool) {
        match self {
            Self::Claim(request) => request.apply(entry, now),
            Self::Settle { op, state } => settle(entry, op, state, now),
            Self::Orphan { op } => {
                if entry.op != *op || entry.state != State::Claimed {
                    return (Outcome::Superseded, false);
                }
                entry.state = State::Unknown;
                entry.at = now;
                (Outcome::Unknown, true)
            }
        }
    }
}

impl ClaimRequest {
    fn apply(&self, entry: &mut RequestRow, now: u64) -> (Outcome, bool) {
        if entry.state == State::Free {
            return self.take(entry, now);
        }
        if entry.fingerprint != self.fingerprint {
            return (Outcome::KeyReused, false);
        }
        match &entry.state {
            State::Claimed if entry.op == self.op => (Outcome::Applied, false),
            State::Claimed if self.abandoned.contains(&entry.op) => self.take(entry, now),
            State::Claimed => {
                let progress = Outcome::InProgress {
                    claimant: entry.claimant.clone(),
                    op: entry.op.clone(),
                };
                (progress, false)
            }
            State::Unknown if self.repeat == Repeat::Keyed => self.take(entry, now),
            State::Unknown => (Outcome::Unknown, false),
            State::Ran => (Outcome::Ran, false),
            State::Done(kept) => (Outcome::Completed(kept.clone()), false),
            State::Free => self.take(entry, now),
        }
    }

    fn take(&self, entry: &mut RequestRow, now: u64) -> (Outcome, bool) {
        *entry = RequestRow {
            fingerprint: self.fingerprint.clone(),
            op: self.op.clone(),
            claimant: self.claimant.clone(),
            at: now,
            state: State::Claimed,
        };
        (Outcome::Applied, true)
    }
}

/// Settles a claim; only its own claimant knows its operation id as its own.
fn settle(entry: &mut RequestRow, op: &str, state: &State, now: u64) -> (Outcome, bool) {
    if entry.op != op {
        return (Outcome::Superseded, false);
    }
    match entry.state {
        State::Claimed | State::Unknown if entry.state != *state => {
            entry.state = state.clone();
            entry.at = now;
            (Outcome::Applied, true)
        }
        _ => (Outcome::Applied, false),
    }
}
