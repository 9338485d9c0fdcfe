//! Detection of requests that crash endpoints.
//!
//! When an endpoint dies, every request that was running on it becomes a suspect. A suspect that
//! is retried runs in a trial: in one at a time over all instances, and on an endpoint that runs
//! no other trial. If it completes it is cleared; if that endpoint dies too, another death is
//! counted, and once the limit is reached the request is refused. A request that was only batched
//! with the one that caused the crash is thus still served.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::commit::{
    CommitError, Committer, Decision, MalformedRow, OperationIds, Record, Snapshot, epoch_millis,
};
use crate::table::{Read, Table, Write};
use crate::verdict::{Cause, Refusal};

mod row;

use row::TrialRow;
pub use row::{SuspectRow, SuspectSettings, SuspectStatus, Trial, TrialCandidate, least_loaded};

/// Prefix of the keys of suspect rows.
const PREFIX: &str = "suspect/";

/// Maximum number of suspects whose death counts one transaction updates.
const MAX_BATCH: usize = 64;

/// Digest that identifies a suspect request, from its model and body.
///
/// # Examples
///
/// ```
/// use brassrack::suspects::request_digest;
///
/// assert_ne!(request_digest("draft", b"{}"), request_digest("menu", b"{}"));
/// ```
#[must_use]
pub fn request_digest(model: &str, body: &[u8]) -> String {
    crate::idempotency::fingerprint("", model, body)
}

/// Why a trial could not begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TrialError {
    /// Another trial is running on the server; retry later or on another server.
    #[error("another trial is running on the server")]
    Busy,
    /// The request is refused: it is tied to too many crashes, the same request is running in
    /// another trial, or the table service is down.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// Local copy of the suspect rows, and deaths that are not stored yet.
#[derive(Debug, Default)]
struct LocalView {
    rows: BTreeMap<String, SuspectRow>,
    /// Deaths that could not be written to the table service yet, by digest.
    pending_deaths: BTreeMap<String, BTreeSet<String>>,
}

/// Suspect requests, shared by all instances through the table service.
#[derive(Debug)]
pub struct Suspects {
    committer: Committer,
    settings: SuspectSettings,
    ids: OperationIds,
    view: Mutex<LocalView>,
}

impl Suspects {
    /// Suspects that are stored in the given table service.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, settings: SuspectSettings) -> Self {
        Self {
            committer: Committer::new(table, settings.commit),
            ids: OperationIds::new(settings.id_prefix.clone()),
            settings,
            view: Mutex::default(),
        }
    }

    /// Stores the pending deaths, then reads all suspects.
    ///
    /// Call it about once a second: it costs one read, and no write where no death is pending.
    ///
    /// # Errors
    ///
    /// [`CommitError`] where the table service does not answer; the local rows are not replaced.
    pub async fn refresh(&self) -> Result<(), CommitError> {
        let pending_deaths = self.view().pending_deaths.clone();
        for (digest, deaths) in pending_deaths {
            for death in deaths {
                self.store_death(vec![digest.clone()], &death).await?;
                self.mark_stored(&digest, &death);
            }
        }
        let rows = self.committer.read(Read::Prefix(PREFIX.into())).await?;
        let mut current = BTreeMap::new();
        for row in rows.rows() {
            current.insert(row.key[PREFIX.len()..].into(), SuspectRow::parse(row)?);
        }
        self.view().rows = current;
        Ok(())
    }

    /// Status of a request by the local copy and the pending deaths.
    #[must_use]
    pub fn status(&self, digest: &str) -> SuspectStatus {
        let view = self.view();
        let mut row = view.rows.get(digest).cloned().unwrap_or_default();
        if let Some(deaths) = view.pending_deaths.get(digest) {
            row.deaths.extend(deaths.iter().cloned());
            row.at = row.at.max(epoch_millis());
        }
        row.status(&self.settings, epoch_millis())
    }

    /// Servers on which a trial is running, by the local copy.
    #[must_use]
    pub fn trials(&self) -> BTreeSet<String> {
        let view = self.view();
        let trials = view.rows.values().filter_map(|r| r.trial.as_ref());
        trials.map(|t| t.server.clone()).collect()
    }

    /// Begins the trial of a suspect; call it before the request is sent to the server.
    ///
    /// The transaction also writes the server's trial row, so that no two suspects, of any
    /// instances, run on the server at once.
    ///
    /// # Errors
    ///
    /// [`TrialError`]; the caller must not send the request then.
    pub async fn begin_trial(
        &self,
        digest: &str,
        server: &str,
        boot: &str,
    ) -> Result<Trial, TrialError> {
        let trial = Trial {
            digest: digest.into(),
            server: server.into(),
            boot: boot.into(),
            op: self.ids.next(),
        };
        let mut outcome = Ok(());
        let (key, trial_key) = (suspect_row_key(digest), trial_row_key(server));
        let mut decide = |snapshot: &Snapshot| {
            let mut row = SuspectRow::read(snapshot, &key)?;
            let held = TrialRow::read(snapshot, &trial_key)?;
            outcome = self.check_trial(&row, &held, &trial);
            if outcome.is_err() || row.trial.as_ref() == Some(&trial) {
                return Ok(Decision::NoChange);
            }
            row.trial = Some(trial.clone());
            row.at = epoch_millis();
            let held = TrialRow {
                trial: Some(trial.clone()),
                at: row.at,
            };
            Ok(Decision::Commit(vec![
                row.write(&key)?,
                held.write(&trial_key)?,
            ]))
        };
        let keys = vec![key.clone(), trial_key.clone()];
        if self.committer.transact(keys, &mut decide).await.is_err() {
            let refusal = Refusal::not_run(Cause::TableDown)
                .detail("cannot begin the trial of a suspect request");
            return Err(refusal.retry_after(self.settings.commit.timeout).into());
        }
        outcome?;
        self.update_cached(digest, |row| row.trial = Some(trial.clone()));
        Ok(trial)
    }

    /// Ends a trial that the endpoint survived; a suspect that completed is cleared.
    ///
    /// # Errors
    ///
    /// [`CommitError`] where the table service does not answer; the trial then times out.
    pub async fn finish_trial(&self, trial: &Trial, completed: bool) -> Result<(), CommitError> {
        let (key, trial_key) = (suspect_row_key(&trial.digest), trial_row_key(&trial.server));
        let mut decide = |snapshot: &Snapshot| {
            let mut row = SuspectRow::read(snapshot, &key)?;
            let mut writes = Vec::new();
            if row.trial.as_ref() == Some(trial) {
                row.trial = None;
                let mut write = row.write(&key)?;
                if completed {
                    write.value = None;
                }
                writes.push(write);
            }
            if TrialRow::read(snapshot, &trial_key)?.trial.as_ref() == Some(trial) {
                writes.push(Write {
                    key: trial_key.clone(),
                    value: None,
                });
            }
            Ok(Decision::from_writes(writes))
        };
        let keys = vec![key.clone(), trial_key.clone()];
        self.committer.transact(keys, &mut decide).await?;
        if completed {
            self.view().rows.remove(&trial.digest);
        } else {
            self.update_cached(&trial.digest, |row| row.trial = None);
        }
        Ok(())
    }

    /// Records the death of an endpoint for the requests that ran on it; each counts it once.
    ///
    /// Suspects that other instances had in a trial there are counted too, in case those instances
    /// died with it. While the table service is down, the deaths are kept locally and
    /// [`Self::refresh`] stores them.
    pub async fn record_crash(&self, server: &str, boot: &str, digests: &[String]) {
        let death = format!("{server}@{boot}");
        let mut all: BTreeSet<String> = digests.iter().cloned().collect();
        let on_server = |t: &Trial| t.server == server && t.boot == boot;
        {
            let mut view = self.view();
            let trials = view.rows.iter();
            let trials = trials.filter(|(_, r)| r.trial.as_ref().is_some_and(on_server));
            all.extend(trials.map(|(digest, _)| digest.clone()));
            for digest in &all {
                let deaths = view.pending_deaths.entry(digest.clone()).or_default();
                deaths.insert(death.clone());
            }
        }
        let all: Vec<String> = all.into_iter().collect();
        for digests in all.chunks(MAX_BATCH) {
            if self.store_death(digests.to_vec(), &death).await.is_err() {
                continue;
            }
            for digest in digests {
                self.mark_stored(digest, &death);
            }
        }
    }

    async fn store_death(&self, digests: Vec<String>, death: &str) -> Result<(), CommitError> {
        let server = death.rsplit_once('@').map_or(death, |(server, _)| server);
        let trial_key = trial_row_key(server);
        let mut keys: Vec<String> = digests.iter().map(|d| suspect_row_key(d)).collect();
        keys.push(trial_key.clone());
        let mut decide = |snapshot: &Snapshot| {
            let mut writes = Vec::new();
            for digest in &digests {
                writes.extend(death_write(snapshot, &suspect_row_key(digest), death)?);
            }
            let held = TrialRow::read(snapshot, &trial_key)?.trial;
            if held.is_some_and(|t| digests.contains(&t.digest)) {
                writes.push(Write {
                    key: trial_key.clone(),
                    value: None,
                });
            }
            Ok(Decision::from_writes(writes))
        };
        self.committer.transact(keys, &mut decide).await?;
        Ok(())
    }

    fn check_trial(
        &self,
        row: &SuspectRow,
        held: &TrialRow,
        trial: &Trial,
    ) -> Result<(), TrialError> {
        let now = epoch_millis();
        if let SuspectStatus::Refused(left) = row.status(&self.settings, now) {
            return Err(suspect_refusal(left).into());
        }
        let left = |at: u64| {
            let passed = Duration::from_millis(now.saturating_sub(at));
            self.settings.trial_timeout.saturating_sub(passed)
        };
        let other = |held: &Option<Trial>| held.as_ref().is_some_and(|t| t != trial);
        if other(&row.trial) && !left(row.at).is_zero() {
            let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left(row.at));
            let detail = "the same request is running in a trial after an endpoint crash";
            return Err(refusal.detail(detail).into());
        }
        if other(&held.trial) && !left(held.at).is_zero() {
            return Err(TrialError::Busy);
        }
        Ok(())
    }

    /// Moves a stored death from the pending ones to the local rows.
    fn mark_stored(&self, digest: &str, death: &str) {
        let mut view = self.view();
        if let Some(deaths) = view.pending_deaths.get_mut(digest) {
            deaths.remove(death);
        }
        view.pending_deaths.retain(|_, deaths| !deaths.is_empty());
        drop(view);
        self.update_cached(digest, |row| {
            row.deaths.insert(death.into());
            row.trial = None;
        });
    }

    fn update_cached(&self, digest: &str, change: impl FnOnce(&mut SuspectRow)) {
        let mut view = self.view();
        let row = view.rows.entry(digest.into()).or_default();
        change(row);
        row.at = epoch_millis();
    }

    fn view(&self) -> MutexGuard<'_, LocalView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Refusal of a request that is tied to too many crashes; `left` becomes its retry time.
#[must_use]
pub fn suspect_refusal(left: Duration) -> Refusal {
    let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left);
    refusal.detail("this request was running on endpoints that crashed")
}

/// Write that adds a death to a suspect's row; none where the row has it already.
fn death_write(snapshot: &Snapshot, key: &str, death: &str) -> Result<Option<Write>, MalformedRow> {
    let mut row = SuspectRow::read(snapshot, key)?;
    if !row.deaths.insert(death.into()) {
        return Ok(None);
    }
    let died = |t: &Trial| format!("{}@{}", t.server, t.boot) == death;
    row.trial = row.trial.filter(|t| !died(t));
    row.at = epoch_millis();
    row.write(key).map(Some)
}

/// Key of a server's trial row.
///
/// It leaves out the boot id, since instances may know different boot ids of the server's engine.
fn trial_row_key(server: &str) -> String {
    format!("trial/{server}")
}

fn suspect_row_key(digest: &str) -> String {
    format!("{PREFIX}{digest}")
}
