//! A client of the table in memory whose transactions fail by a script.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::table::{Commit, Read, Row, Table, TableError, Txn};
use tokio::sync::watch;

use crate::fault::Fault;
use crate::table::MemoryTable;

/// What happens to one transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitFault {
    /// It is refused without effect.
    Refuse,
    /// It takes effect, and its answer is lost.
    Lose,
    /// It takes effect, its answer is lost, and the table is down from then on.
    LoseAndFall,
    /// Its answer is lost, and it takes effect this much later.
    Late(Duration),
    /// Its client is frozen before it leaves, until [`ScriptedTable::resume`].
    FreezeBefore,
    /// It takes effect, and its client is frozen until [`ScriptedTable::resume`].
    FreezeAfter,
}

#[derive(Debug, Default)]
struct Script {
    commits: u64,
    faults: BTreeMap<u64, CommitFault>,
}

/// A client of a table; its transactions are counted from 1.
#[derive(Debug, Clone)]
pub struct ScriptedTable {
    /// The table; its fault switch applies to reads and to transactions without a scripted fault.
    pub table: MemoryTable,
    script: Arc<Mutex<Script>>,
    frozen: watch::Sender<bool>,
}

impl ScriptedTable {
    /// A client of the table with an empty script.
    #[must_use]
    pub fn new(table: &MemoryTable) -> Self {
        Self {
            table: table.client(),
            script: Arc::default(),
            frozen: watch::Sender::new(true),
        }
    }

    /// Scripts the fault of one transaction, counted from the next one as 1.
    pub fn fail(&self, nth: u64, fault: CommitFault) {
        let mut script = self.lock();
        let at = script.commits + nth;
        script.faults.insert(at, fault);
    }

    /// Transactions so far.
    #[must_use]
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    /// Lets a frozen client go on.
    pub fn resume(&self) {
        self.frozen.send_replace(false);
    }

    fn lock(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> Option<CommitFault> {
        let mut script = self.lock();
        script.commits += 1;
        let n = script.commits;
        script.faults.remove(&n)
    }

    async fn thaw(&self) {
        let mut frozen = self.frozen.subscribe();
        if frozen.wait_for(|f| !f).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn scripted(&self, fault: CommitFault, txn: Txn) -> Result<Commit, TableError> {
        let lost = || TableError::Unknown("script: answer lost".into());
        match fault {
            CommitFault::Refuse => Err(TableError::Refused("script: refused".into())),
            CommitFault::Lose => {
                self.table.commit(txn).await?;
                Err(lost())
            }
            CommitFault::LoseAndFall => {
                self.table.commit(txn).await?;
                self.table.switch.set(Fault::Down);
                Err(lost())
            }
            CommitFault::Late(delay) => {
                let table = self.table.client();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    table.commit(txn).await
                });
                Err(lost())
            }
            CommitFault::FreezeBefore => {
                self.thaw().await;
                self.table.commit(txn).await
            }
            CommitFault::FreezeAfter => {
                let answer = self.table.commit(txn).await;
                self.thaw().await;
                answer
            }
        }
    }
}

impl Table for ScriptedTable {
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>> {
        Box::pin(async move {
            match self.next() {
                Some(fault) => self.scripted(fault, txn).await,
                None => self.table.commit(txn).await,
            }
        })
    }

    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>> {
        self.table.read(read)
    }
}
