//! Table service and object store in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::objects::{ObjectError, Objects};
use brassrack::table::{Commit, Read, Row, Table, TableError, Txn};
use bytes::Bytes;

use crate::fault::{Effect, Switch};

/// Counters of the calls that took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Transactions, committed or not.
    pub commits: u64,
    /// Reads.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    revision: u64,
    usage: Usage,
}

/// A transactional table in memory; clones share it, each with the same fault switch.
#[derive(Debug, Clone, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<State>>,
    /// Fault switch.
    pub switch: Switch,
}

impl MemoryTable {
    /// Another client of the same rows with a fault switch of its own.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            switch: Switch::default(),
        }
    }

    /// Calls that took effect so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// All rows, for a test's inspection; no fault applies.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn commit_now(&self, txn: Txn) -> Commit {
        let mut state = self.lock();
        state.usage.commits += 1;
        let conflicts: Vec<String> = txn
            .checks
            .iter()
            .filter(|c| state.rows.get(&c.key).map_or(0, |r| r.revision) != c.revision)
            .map(|c| c.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        state.revision += 1;
        let revision = state.revision;
        for write in txn.writes {
            match write.value {
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        value,
                        revision,
                    };
                    state.rows.insert(write.key, row);
                }
                None => {
                    state.rows.remove(&write.key);
                }
            }
        }
        Commit::Done(revision)
    }

    /// Commits after the caller has been told that the answer is lost.
    fn commit_later(&self, txn: Txn, delay: Duration) {
        let table = self.client();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            table.commit_now(txn);
        });
    }

    fn read_now(&self, read: &Read) -> Vec<Row> {
        let mut state = self.lock();
        state.usage.reads += 1;
        match read {
            Read::Keys(keys) => {
                let mut keys = keys.clone();
                keys.sort();
                keys.dedup();
                keys.iter()
                    .filter_map(|k| state.rows.get(k).cloned())
                    .collect()
            }
            Read::Prefix(prefix) => state
                .rows
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                .map(|(_, row)| row.clone())
                .collect(),
        }
    }
}

impl Table for MemoryTable {
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>> {
        Box::pin(async move {
            let effect = self.switch.next();
            if let Effect::Late(delay) = effect {
                self.commit_later(txn, delay);
                return Err(table_error(NoAnswer::Lost));
            }
            apply(effect, || self.commit_now(txn))
                .await
                .map_err(table_error)
        })
    }

    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            apply(self.switch.next(), || self.read_now(&read))
                .await
                .map_err(table_error)
        })
    }
}

/// An object store in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryObjects {
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
    /// Fault switch.
    pub switch: Switch,
}

impl MemoryObjects {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Objects for MemoryObjects {
    fn put(&self, key: String, body: Bytes) -> BoxFuture<'_, Result<(), ObjectError>> {
        Box::pin(async move {
            apply(self.switch.next(), || self.lock().insert(key, body))
                .await
                .map(|_| ())
                .map_err(|lost| ObjectError(lost.to_string()))
        })
    }

    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Bytes>, ObjectError>> {
        Box::pin(async move {
            apply(self.switch.next(), || self.lock().get(&key).cloned())
                .await
                .map_err(|lost| ObjectError(lost.to_string()))
        })
    }
}

/// Why a call to a stand-in in memory has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum NoAnswer {
    #[error("fault switch: refused")]
    Refused,
    #[error("fault switch: answer lost")]
    Lost,
}

fn table_error(cause: NoAnswer) -> TableError {
    match cause {
        NoAnswer::Refused => TableError::Refused(cause.to_string()),
        NoAnswer::Lost => TableError::Unknown(cause.to_string()),
    }
}

/// Runs one call under the effect of a fault.
async fn apply<T>(effect: Effect, call: impl FnOnce() -> T) -> Result<T, NoAnswer> {
    match effect {
        Effect::Answer | Effect::Cross => Ok(call()),
        Effect::Refuse => Err(NoAnswer::Refused),
        Effect::Delay(delay) => {
            let value = call();
            tokio::time::sleep(delay).await;
            Ok(value)
        }
        Effect::Lose | Effect::CutAfter(_) => {
            call();
            Err(NoAnswer::Lost)
        }
        Effect::Late(delay) => {
            tokio::time::sleep(delay).await;
            call();
            Err(NoAnswer::Lost)
        }
        Effect::Mute => {
            call();
            std::future::pending().await
        }
        Effect::Hang => std::future::pending().await,
    }
}
