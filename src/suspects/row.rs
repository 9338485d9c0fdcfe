//! What is known of one suspect, and what follows from it.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::commit::{CommitSettings, Record};

/// A trial of a suspect in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Digest of the request.
    pub digest: String,
    /// Server that runs it.
    pub server: String,
    /// Boot id of the server's engine.
    pub boot: String,
    /// Operation id of the trial.
    pub op: String,
}

/// Row `suspect/<digest>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Starts of engines that died while they ran it, as `server@boot`.
    pub deaths: BTreeSet<String>,
    /// Trial in progress.
    pub trial: Option<Trial>,
    /// Milliseconds since the Unix epoch at the last change.
    pub at: u64,
}

impl Record for SuspectRow {}

/// Row `trial/<server>`: the place for trials on a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TrialRow {
    /// Trial in progress.
    pub(super) trial: Option<Trial>,
    /// Milliseconds since the Unix epoch at its begin.
    pub(super) at: u64,
}

impl Record for TrialRow {}

/// What a request has to expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It runs like any other.
    Clear,
    /// It runs in a trial, by [`begin_trial`](super::Suspects::begin_trial).
    Suspect,
    /// It is refused for this long.
    Refused(Duration),
}

/// Settings of [`Suspects`](super::Suspects).
#[derive(Debug, Clone)]
pub struct SuspectSettings {
    /// Endpoint deaths after which a request is refused.
    pub max_crashes: u32,
    /// How long it is refused; after that it gets one more trial.
    pub refusal_period: Duration,
    /// Longest trial; after that its instance counts as gone.
    pub trial_timeout: Duration,
    /// Prefix of operation ids; no other process start may use it.
    pub id_prefix: String,
    /// Bounds of transactions.
    pub commit: CommitSettings,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            max_crashes: 2,
            refusal_period: Duration::from_mins(10),
            trial_timeout: Duration::from_mins(5),
            id_prefix: String::new(),
            commit: CommitSettings::default(),
        }
    }
}

impl SuspectRow {
    /// What the request has to expect at a time in milliseconds since the Unix epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::suspects::{SuspectStatus, SuspectRow, SuspectSettings};
    ///
    /// let row = SuspectRow::default();
    /// assert_eq!(row.status(&SuspectSettings::default(), 0), SuspectStatus::Clear);
    /// ```
    #[must_use]
    pub fn status(&self, settings: &SuspectSettings, now: u64) -> SuspectStatus {
        let bound = usize::try_from(settings.max_crashes).unwrap_or(usize::MAX);
        if self.deaths.is_empty() {
            return SuspectStatus::Clear;
        }
        let passed = Duration::from_millis(now.saturating_sub(self.at));
        let left = settings.refusal_period.saturating_sub(passed);
        if self.deaths.len() < bound || left.is_zero() {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Refused(left)
    }
}

/// An endpoint that a trial could run on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialCandidate {
    /// Server name.
    pub server: String,
    /// Boot id of its engine.
    pub boot: String,
    /// Requests that it runs.
    pub running: u32,
    /// Whether a trial runs there.
    pub runs_trial: bool,
}

/// The endpoint on which a crash would harm least; none while each runs a trial.
///
/// # Examples
///
/// ```
/// use brassrack::suspects::{TrialCandidate, least_loaded};
///
/// let candidate = |server: &str, running| TrialCandidate {
///     server: server.into(),
///     boot: "b".into(),
///     running,
///     runs_trial: false,
/// };
/// let candidates = [candidate("vic-1", 4), candidate("vic-2", 0)];
/// assert_eq!(least_loaded(&candidates).map(|c| c.server.as_str()), Some("vic-2"));
/// ```
#[must_use]
pub fn least_loaded(candidates: &[TrialCandidate]) -> Option<&TrialCandidate> {
    candidates
        .iter()
        .filter(|c| !c.runs_trial)
        .min_by_key(|c| c.running)
}
