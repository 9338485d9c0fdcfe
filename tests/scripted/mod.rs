//! A table whose calls follow a script, and what operators apply through it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use brassrack::BoxFuture;
use brassrack::rules::{Proposal, RulesStore, StoreSettings};
use brassrack::table::{Commit, Read, Row, Table, TableError, Txn};
use brassrack_standins::fault::Fault;
use brassrack_standins::table::{MemoryObjects, MemoryTable};

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Step {
    Answer,
    Refuse,
    Lose,
    /// The answer is lost, and the transaction arrives later or never.
    Late,
}

/// A client of a table whose calls each take one turn and follow a script.
#[derive(Debug, Clone, Default)]
pub(crate) struct Scripted {
    pub table: MemoryTable,
    pub commits: Arc<Mutex<VecDeque<Step>>>,
    pub reads: Arc<Mutex<VecDeque<Step>>>,
    late: Arc<Mutex<Vec<Txn>>>,
}

impl Scripted {
    pub(crate) fn on(table: &MemoryTable, commits: &[Step]) -> Self {
        let client = Self {
            table: table.client(),
            ..Self::default()
        };
        client.commits.lock().unwrap().extend(commits);
        client
    }

    /// Lets the late transactions arrive.
    pub(crate) async fn land(&self) {
        let late = std::mem::take(&mut *self.late.lock().unwrap());
        for txn in late {
            self.table.commit(txn).await.unwrap();
        }
    }
}

fn next(script: &Mutex<VecDeque<Step>>) -> Step {
    script.lock().unwrap().pop_front().unwrap_or(Step::Answer)
}

fn lost() -> TableError {
    TableError::Unknown("lost".into())
}

impl Table for Scripted {
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>> {
        Box::pin(async move {
            tokio::task::yield_now().await;
            match next(&self.commits) {
                Step::Answer => self.table.commit(txn).await,
                Step::Refuse => Err(TableError::Refused("down".into())),
                Step::Lose => self.table.commit(txn).await.and(Err(lost())),
                Step::Late => {
                    self.late.lock().unwrap().push(txn);
                    Err(lost())
                }
            }
        })
    }

    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            tokio::task::yield_now().await;
            match next(&self.reads) {
                Step::Answer => self.table.read(read).await,
                _ => Err(lost()),
            }
        })
    }
}

/// One platform for the stores of several operators.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    pub table: MemoryTable,
    pub objects: MemoryObjects,
}

impl Platform {
    pub(crate) fn store(&self) -> RulesStore {
        self.store_over(Arc::new(self.table.clone()))
    }

    pub(crate) fn store_over(&self, table: Arc<dyn Table>) -> RulesStore {
        RulesStore::new(
            table,
            Arc::new(self.objects.clone()),
            StoreSettings::default(),
        )
    }

    /// Authors of the accepted versions, oldest first.
    pub(crate) async fn authors(&self) -> Vec<String> {
        self.table.switch.set(Fault::None);
        let history = self.store().history(100).await.unwrap();
        history.into_iter().rev().map(|v| v.author).collect()
    }
}

pub(crate) fn text(name: &str) -> String {
    format!("service {name} # Maja: orders\n")
}

pub(crate) fn proposal(base: u64, author: &str) -> Proposal {
    Proposal {
        base,
        text: text(author),
        author: author.into(),
        ..Proposal::default()
    }
}
