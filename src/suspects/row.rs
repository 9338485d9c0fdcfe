//! Stored rows of suspects and trials, and the status that follows from them.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::commit::{CommitSettings, Record};

/// A running trial of a suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Digest of the request.
    pub digest: String,
    /// Server on which it runs.
    pub server: String,
    /// Boot id of the server's engine.
    pub boot: String,
    /// Operation id of the trial.
    pub op: String,
}

/// Row `suspect/<digest>`: deaths and the trial of one suspect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Engine processes that died while they ran the request, as `server@boot`.
    pub deaths: BTreeSet<String>,
    /// Running trial.
    pub trial: Option<Trial>,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub at: u64,
}

impl Record for SuspectRow {}

/// Row `trial/<server>`: admits one trial at a time on a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TrialRow {
    /// Running trial.
    pub(super) trial: Option<Trial>,
    /// Start of the trial, in milliseconds since the Unix epoch.
    pub(super) at: u64,
}

impl Record for TrialRow {}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It is not a suspect and runs normally.
    Clear,
    /// It may run only in a trial; see [`begin_trial`](super::Suspects::begin_trial).
    Suspect,
    /// It is refused for the given time.
    Refused(Duration),
}

/// Settings of [`Suspects`](super::Suspects).
#[derive(Debug, Clone)]
pub struct SuspectSettings {
    /// Number of endpoint deaths at which a request is refused.
    pub max_crashes: u32,
    /// Time for which it is refused; after that it gets one more trial.
    pub refusal_period: Duration,
    /// Time limit of a trial; past it, the instance that ran the trial is taken for dead.
    pub trial_timeout: Duration,
    /// Prefix of operation ids; it must be unique to this start of the process.
    pub id_prefix: String,
    /// Limits of transactions.
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
    /// Status of the request at `now`, in milliseconds since the Unix epoch.
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

/// An endpoint on which a trial could run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialCandidate {
    /// Server name.
    pub server: String,
    /// Boot id of its engine.
    pub boot: String,
    /// Number of requests running there.
    pub running: u32,
    /// Whether a trial is already running there.
    pub runs_trial: bool,
}

/// The endpoint with the fewest running requests, as these would fail with it in a crash.
///
/// Leaves out endpoints that run a trial already; none where each of them does.
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
