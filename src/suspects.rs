//! Requests that are tied to crashes of endpoints.
//!
//! When an endpoint dies, every request that ran on it is a suspect. A suspect that is sent again
//! runs in a trial: one at a time over all instances, on an endpoint that serves no other
//! suspect. If it completes it is cleared; if that endpoint dies too it is counted again, and
//! after the bound it is refused. So a request that was only batched with the cause is served.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::commit::{
    CommitError, Committer, Decision, MalformedRow, OperationIds, Record, Snapshot, epoch_millis,
};
use crate::table::{Read, Table, Write};
use crate::verdict::{Cause, Refusal};

mod row;

use row::PlaceRow;
pub use row::{Host, Standing, SuspectRow, SuspectSettings, Trial, quietest};

/// Start of the keys of the suspects' rows.
const PREFIX: &str = "suspect/";

/// Most suspects that one transaction counts.
const BATCH: usize = 64;

/// Digest of a request as a suspect.
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

/// Why a trial does not begin.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// Another trial runs on the server; one may begin later or elsewhere.
    #[error("another trial runs on the server")]
    Busy,
    /// The request is refused: beyond the bound, while another trial of the same request runs,
    /// or while the table service is down.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// What an instance knows of the suspects.
#[derive(Debug, Default)]
struct View {
    rows: BTreeMap<String, SuspectRow>,
    /// Deaths that the table service could not take yet, by digest.
    unsaved: BTreeMap<String, BTreeSet<String>>,
}

/// The suspects, over all instances.
#[derive(Debug)]
pub struct Suspects {
    committer: Committer,
    settings: SuspectSettings,
    ids: OperationIds,
    view: Mutex<View>,
}

impl Suspects {
    /// Suspects over a table service.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, settings: SuspectSettings) -> Self {
        Self {
            committer: Committer::new(table, settings.commit),
            ids: OperationIds::new(settings.prefix.clone()),
            settings,
            view: Mutex::default(),
        }
    }

    /// Reads all suspects and stores the deaths that could not be stored before.
    ///
    /// Call it about once a second: one read, and no write where nothing is left over.
    ///
    /// # Errors
    ///
    /// [`CommitError`] where the table service does not answer; the view stays as it was.
    pub async fn refresh(&self) -> Result<(), CommitError> {
        let unsaved = self.view().unsaved.clone();
        for (digest, deaths) in unsaved {
            for death in deaths {
                self.count(vec![digest.clone()], &death).await?;
                self.saved(&digest, &death);
            }
        }
        let rows = self.committer.read(Read::Prefix(PREFIX.into())).await?;
        let mut fresh = BTreeMap::new();
        for row in rows.rows() {
            fresh.insert(row.key[PREFIX.len()..].into(), SuspectRow::parse(row)?);
        }
        self.view().rows = fresh;
        Ok(())
    }

    /// What a request has to expect, by what this instance knows.
    #[must_use]
    pub fn standing(&self, digest: &str) -> Standing {
        let view = self.view();
        let mut row = view.rows.get(digest).cloned().unwrap_or_default();
        if let Some(deaths) = view.unsaved.get(digest) {
            row.deaths.extend(deaths.iter().cloned());
            row.at = row.at.max(epoch_millis());
        }
        row.standing(&self.settings, epoch_millis())
    }

    /// Servers on which a trial runs, by what this instance knows.
    #[must_use]
    pub fn trials(&self) -> BTreeSet<String> {
        let view = self.view();
        let trials = view.rows.values().filter_map(|r| r.trial.as_ref());
        trials.map(|t| t.server.clone()).collect()
    }

    /// Begins the trial of a suspect, before it is sent to the server.
    ///
    /// The same transaction takes the server's place for trials, so that no two suspects of any
    /// instance run there at once.
    ///
    /// # Errors
    ///
    /// [`BeginError`]; the request was not sent by this trial.
    pub async fn begin(&self, digest: &str, server: &str, boot: &str) -> Result<Trial, BeginError> {
        let trial = Trial {
            digest: digest.into(),
            server: server.into(),
            boot: boot.into(),
            op: self.ids.next(),
        };
        let mut outcome = Ok(());
        let (key, place) = (row_key(digest), place_key(server));
        let mut decide = |snapshot: &Snapshot| {
            let mut row = SuspectRow::read(snapshot, &key)?;
            let held = PlaceRow::read(snapshot, &place)?;
            outcome = self.admit(&row, &held, &trial);
            if outcome.is_err() || row.trial.as_ref() == Some(&trial) {
                return Ok(Decision::NoChange);
            }
            row.trial = Some(trial.clone());
            row.at = epoch_millis();
            let held = PlaceRow {
                trial: Some(trial.clone()),
                at: row.at,
            };
            Ok(Decision::Commit(vec![
                row.write(&key)?,
                held.write(&place)?,
            ]))
        };
        let keys = vec![key.clone(), place.clone()];
        if self.committer.transact(keys, &mut decide).await.is_err() {
            let refusal = Refusal::not_run(Cause::TableDown)
                .detail("the trial of a suspected request cannot begin");
            return Err(refusal.retry_after(self.settings.commit.timeout).into());
        }
        outcome?;
        self.note(digest, |row| row.trial = Some(trial.clone()));
        Ok(trial)
    }

    /// The trial ended and the endpoint lives; a suspect that completed is cleared.
    ///
    /// # Errors
    ///
    /// [`CommitError`] where the table service does not answer; the trial ends by itself later.
    pub async fn finish(&self, trial: &Trial, completed: bool) -> Result<(), CommitError> {
        let (key, place) = (row_key(&trial.digest), place_key(&trial.server));
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
            if PlaceRow::read(snapshot, &place)?.trial.as_ref() == Some(trial) {
                writes.push(Write {
                    key: place.clone(),
                    value: None,
                });
            }
            Ok(Decision::from_writes(writes))
        };
        let keys = vec![key.clone(), place.clone()];
        self.committer.transact(keys, &mut decide).await?;
        if completed {
            self.view().rows.remove(&trial.digest);
        } else {
            self.note(&trial.digest, |row| row.trial = None);
        }
        Ok(())
    }

    /// An endpoint died while these requests ran on it; each is counted once for that death.
    ///
    /// Trials of other instances on it are counted too, in case those died with it. While the
    /// table service is down the count is kept here.
    pub async fn crashed(&self, server: &str, boot: &str, digests: &[String]) {
        let death = format!("{server}@{boot}");
        let mut all: BTreeSet<String> = digests.iter().cloned().collect();
        let on_it = |t: &Trial| t.server == server && t.boot == boot;
        {
            let mut view = self.view();
            let trials = view.rows.iter();
            let trials = trials.filter(|(_, r)| r.trial.as_ref().is_some_and(on_it));
            all.extend(trials.map(|(digest, _)| digest.clone()));
            for digest in &all {
                let deaths = view.unsaved.entry(digest.clone()).or_default();
                deaths.insert(death.clone());
            }
        }
        let all: Vec<String> = all.into_iter().collect();
        for digests in all.chunks(BATCH) {
            if self.count(digests.to_vec(), &death).await.is_err() {
                continue;
            }
            for digest in digests {
                self.saved(digest, &death);
            }
        }
    }

    async fn count(&self, digests: Vec<String>, death: &str) -> Result<(), CommitError> {
        let server = death.rsplit_once('@').map_or(death, |(server, _)| server);
        let place = place_key(server);
        let mut keys: Vec<String> = digests.iter().map(|d| row_key(d)).collect();
        keys.push(place.clone());
        let mut decide = |snapshot: &Snapshot| {
            let mut writes = Vec::new();
            for digest in &digests {
                writes.extend(counted(snapshot, &row_key(digest), death)?);
            }
            let held = PlaceRow::read(snapshot, &place)?.trial;
            if held.is_some_and(|t| digests.contains(&t.digest)) {
                writes.push(Write {
                    key: place.clone(),
                    value: None,
                });
            }
            Ok(Decision::from_writes(writes))
        };
        self.committer.transact(keys, &mut decide).await?;
        Ok(())
    }

    fn admit(&self, row: &SuspectRow, held: &PlaceRow, trial: &Trial) -> Result<(), BeginError> {
        let now = epoch_millis();
        if let Standing::Refused(left) = row.standing(&self.settings, now) {
            return Err(refusal(left).into());
        }
        let left = |at: u64| {
            let passed = Duration::from_millis(now.saturating_sub(at));
            self.settings.trial.saturating_sub(passed)
        };
        let other = |held: &Option<Trial>| held.as_ref().is_some_and(|t| t != trial);
        if other(&row.trial) && !left(row.at).is_zero() {
            let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left(row.at));
            let detail = "the same request runs in a trial after a crash";
            return Err(refusal.detail(detail).into());
        }
        if other(&held.trial) && !left(held.at).is_zero() {
            return Err(BeginError::Busy);
        }
        Ok(())
    }

    /// Keeps a death in the view once it is stored.
    fn saved(&self, digest: &str, death: &str) {
        let mut view = self.view();
        if let Some(deaths) = view.unsaved.get_mut(digest) {
            deaths.remove(death);
        }
        view.unsaved.retain(|_, deaths| !deaths.is_empty());
        drop(view);
        self.note(digest, |row| {
            row.deaths.insert(death.into());
            row.trial = None;
        });
    }

    fn note(&self, digest: &str, change: impl FnOnce(&mut SuspectRow)) {
        let mut view = self.view();
        let row = view.rows.entry(digest.into()).or_default();
        change(row);
        row.at = epoch_millis();
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The final answer to a request that is tied to too many crashes.
#[must_use]
pub fn refusal(left: Duration) -> Refusal {
    let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left);
    refusal.detail("requests like this one crashed endpoints before")
}

/// The write that counts a death for one request; none where it is counted already.
fn counted(snapshot: &Snapshot, key: &str, death: &str) -> Result<Option<Write>, MalformedRow> {
    let mut row = SuspectRow::read(snapshot, key)?;
    if !row.deaths.insert(death.into()) {
        return Ok(None);
    }
    let died = |t: &Trial| format!("{}@{}", t.server, t.boot) == death;
    row.trial = row.trial.filter(|t| !died(t));
    row.at = epoch_millis();
    row.write(key).map(Some)
}

/// Key of a server's place for trials; instances may know different boot ids of its engine.
fn place_key(server: &str) -> String {
    format!("trial/{server}")
}

fn row_key(digest: &str) -> String {
    format!("{PREFIX}{digest}")
}
