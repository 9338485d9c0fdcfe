//! Decides which server holds which replica, by transactions over the table service.
//!
//! Each decision is one transaction over the rows of the server, the model and the region's
//! weight store. It is committed before the order that follows from it leaves, so a late,
//! repeated or orphaned order can only do what was decided and reserved.

use std::sync::Arc;

use crate::chart::{Chart, ChartError, Replica as ReplicaChart, ReplicaEvent, ReplicaState};
use crate::commit::{
    CommitSettings, Committer, Decision, MalformedRow, OperationIds, Record, Snapshot, epoch_millis,
};
use crate::engine::Resident;
use crate::table::{Read, Table};

mod change;
mod error;
mod reconcile;
mod reserve;
mod rows;

use change::{Change, Changed, Target};
pub use error::PlaceError;
pub use reconcile::{Meeting, ReconcileSettings, Step, Watch, load_order, unload_order};
use reserve::Request;
pub use rows::{
    Holder, ModelRow, Replica, ServerRow, Slot, StoreRow, model_key, server_key, store_key,
};

/// A load that is asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// Model or adapter.
    pub model: String,
    /// Base model of an adapter; it must be ready on the server.
    pub base: Option<String>,
    /// Memory of the replica, in bytes.
    pub bytes: u64,
    /// Server that is to hold it.
    pub server: String,
    /// Memory of the server, in bytes.
    pub capacity: u64,
    /// Replicas of the model that there shall be in all; where so many are decided, one of them
    /// is the answer.
    pub replicas: u32,
    /// Whether it is an adapter.
    pub adapter: bool,
    /// Most loads of models at once from the region's weight store.
    pub loads: u32,
    /// Most loads of adapters at once from the region's weight store.
    pub adapters: u32,
}

/// A replica that is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserved {
    /// Server that holds or will hold it.
    pub server: String,
    /// Operation id of its load order.
    pub op: String,
    /// Fencing number for orders that follow from the decision.
    pub fence: u64,
    /// State.
    pub state: ReplicaState,
    /// Whether another call had decided it.
    pub existing: bool,
}

/// How an engine's state was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Vacancy {
    /// The engine restarted; this is its new boot id.
    Rebooted(String),
    /// The endpoint is gone.
    Gone,
}

/// Settings of [`Placement`].
#[derive(Debug, Clone, Default)]
pub struct PlacementSettings {
    /// Region whose weight store the loads use.
    pub region: String,
    /// Prefix of operation ids; no other process start may use it.
    pub prefix: String,
    /// Bounds of transactions.
    pub commit: CommitSettings,
}

/// Decisions about replicas, for one region.
#[derive(Debug)]
pub struct Placement {
    committer: Committer,
    chart: Chart<ReplicaChart>,
    region: String,
    ids: OperationIds,
}

impl Placement {
    /// Decisions over a table service.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the replica chart is incomplete.
    pub fn new(table: Arc<dyn Table>, settings: PlacementSettings) -> Result<Self, ChartError> {
        Ok(Self {
            committer: Committer::new(table, settings.commit),
            chart: Chart::load()?,
            region: settings.region,
            ids: OperationIds::new(settings.prefix),
        })
    }

    /// Decides a load, or answers with the replica that is decided already.
    ///
    /// # Errors
    ///
    /// [`PlaceError::Unknown`] where the decision may stand; asking again finds it.
    pub async fn reserve(&self, ask: &Ask) -> Result<Reserved, PlaceError> {
        self.decide(ask, ReplicaEvent::Reserve).await
    }

    /// Decides a standing grant: memory reserved and replica counted, but nothing ordered.
    ///
    /// While the table service is down the activator may order the load without a write, by
    /// [`load_order`] with the grant's operation id and fencing number.
    ///
    /// # Errors
    ///
    /// As [`reserve`](Self::reserve).
    pub async fn grant(&self, ask: &Ask) -> Result<Reserved, PlaceError> {
        self.decide(ask, ReplicaEvent::Grant).await
    }

    /// Records that the load of a grant was ordered.
    ///
    /// # Errors
    ///
    /// [`PlaceError::Gone`] where the grant is not decided any more.
    pub async fn activate(&self, server: &str, model: &str, op: &str) -> Result<(), PlaceError> {
        self.change(server, model, Some(op), ReplicaEvent::Activate)
            .await
    }

    /// Becomes the one process start that may activate grants, in place of the one named, which
    /// must be gone; an empty name stands for none. Returns whether it is.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn become_activator(&self, instance: &str, gone: &str) -> Result<bool, PlaceError> {
        let key = store_key(&self.region);
        let mut is = false;
        let mut step = |snapshot: &Snapshot| {
            let mut store = StoreRow::read(snapshot, &key)?;
            is = store.activator == instance || store.activator == gone;
            if !is || store.activator == instance {
                return Ok(Decision::NoChange);
            }
            store.activator = instance.into();
            Ok(Decision::Commit(vec![store.write(&key)?]))
        };
        self.committer
            .transact(vec![key.clone()], &mut step)
            .await?;
        Ok(is)
    }

    /// The load is done: the replica serves and its place at the weight store is free.
    ///
    /// # Errors
    ///
    /// [`PlaceError::Gone`] where the load is not decided any more.
    pub async fn confirm(&self, server: &str, model: &str, op: &str) -> Result<(), PlaceError> {
        self.change(server, model, Some(op), ReplicaEvent::Confirm)
            .await
    }

    /// The load failed and the engine has reported its end.
    ///
    /// # Errors
    ///
    /// [`PlaceError::NotAllowed`] where the replica is not loading.
    pub async fn fail(&self, server: &str, model: &str, op: &str) -> Result<(), PlaceError> {
        self.change(server, model, Some(op), ReplicaEvent::Fail)
            .await
    }

    /// Decides to let a replica go; its memory stays counted until [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// [`PlaceError::InUse`] where adapters on the server need it.
    pub async fn retire(&self, server: &str, model: &str) -> Result<(), PlaceError> {
        self.change(server, model, None, ReplicaEvent::Retire).await
    }

    /// Gives up a replica of which the engine shows nothing; its memory stays counted.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn abandon(&self, server: &str, model: &str, op: &str) -> Result<(), PlaceError> {
        self.change(server, model, Some(op), ReplicaEvent::Abandon)
            .await
    }

    /// Stops counting a replica; only after a [`Step::Release`].
    ///
    /// # Errors
    ///
    /// [`PlaceError::NotAllowed`] where the replica is neither unloading nor quarantined.
    pub async fn release(&self, server: &str, model: &str, op: &str) -> Result<(), PlaceError> {
        match self
            .change(server, model, Some(op), ReplicaEvent::Release)
            .await
        {
            Err(PlaceError::Gone) => Ok(()),
            other => other,
        }
    }

    /// Counts a replica that nothing decided, and decides its unload.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn find(&self, server: &str, resident: &Resident) -> Result<(), PlaceError> {
        let op = self.ids.next();
        let change = self.changing(server, &op);
        let keys = change.keys(&resident.model);
        self.commit(keys, &mut |snapshot| change.find(snapshot, resident))
            .await
    }

    /// Records that an engine restarted or that the endpoint is gone.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn vacate(&self, server: &str, vacancy: &Vacancy) -> Result<(), PlaceError> {
        let op = self.ids.next();
        let change = self.changing(server, &op);
        let keys = vec![server_key(server)];
        self.commit(keys, &mut |snapshot| change.vacate(snapshot, vacancy))
            .await
    }

    /// Allows decisions for a server again after its engine's restart; only after a
    /// [`Step::Settle`].
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn settle(&self, server: &str, boot: &str) -> Result<(), PlaceError> {
        let change = self.changing(server, "");
        let keys = vec![server_key(server)];
        self.commit(keys, &mut |snapshot| change.settle(snapshot, boot))
            .await
    }

    /// All servers' rows, each with its revision, which is the fencing number.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn snapshot(&self) -> Result<Vec<Placed>, PlaceError> {
        let prefix = server_key("");
        let read = Read::Prefix(prefix.clone());
        let rows = self.committer.read(read).await?;
        rows.rows()
            .map(|row| {
                Ok(Placed {
                    server: row.key[prefix.len()..].into(),
                    fence: row.revision,
                    row: ServerRow::parse(row)?,
                })
            })
            .collect()
    }

    /// One server's row; empty at revision 0 where nothing was ever decided.
    ///
    /// # Errors
    ///
    /// Any [`PlaceError`] of the table service.
    pub async fn server(&self, server: &str) -> Result<Placed, PlaceError> {
        let key = server_key(server);
        let rows = self.committer.read(Read::Keys(vec![key.clone()])).await?;
        Ok(Placed {
            server: server.into(),
            fence: rows.revision(&key),
            row: ServerRow::read(&rows, &key)?,
        })
    }

    async fn decide(&self, ask: &Ask, event: ReplicaEvent) -> Result<Reserved, PlaceError> {
        let op = self.ids.next();
        let request = Request {
            ask,
            event,
            region: &self.region,
            op: &op,
            now: epoch_millis(),
        };
        let mut outcome = Err(PlaceError::Raced);
        let mut step = |snapshot: &Snapshot| {
            let (plan, answer) = request.decide(&self.chart, snapshot)?;
            outcome = answer;
            Ok(plan)
        };
        let revision = self.committer.transact(request.keys(), &mut step).await?;
        let mut reserved = outcome?;
        if let Some(revision) = revision {
            reserved.fence = revision;
        }
        Ok(reserved)
    }

    async fn change(
        &self,
        server: &str,
        model: &str,
        op: Option<&str>,
        event: ReplicaEvent,
    ) -> Result<(), PlaceError> {
        let unload = self.ids.next();
        let change = self.changing(server, &unload);
        let target = Target { model, op };
        let keys = change.keys(model);
        self.commit(keys, &mut |snapshot| change.one(snapshot, target, event))
            .await
    }

    fn changing<'a>(&'a self, server: &'a str, unload: &'a str) -> Change<'a> {
        Change {
            chart: &self.chart,
            region: &self.region,
            server,
            unload,
            now: epoch_millis(),
        }
    }

    async fn commit(
        &self,
        keys: Vec<String>,
        decide: &mut (dyn FnMut(&Snapshot) -> Result<Changed, MalformedRow> + Send),
    ) -> Result<(), PlaceError> {
        let mut outcome = Ok(());
        let mut step = |snapshot: &Snapshot| -> Result<Decision, MalformedRow> {
            let (plan, answer) = decide(snapshot)?;
            outcome = answer;
            Ok(plan)
        };
        self.committer.transact(keys, &mut step).await?;
        outcome
    }
}

/// A server's row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// Server name.
    pub server: String,
    /// Revision of the row: the fencing number of orders that follow from it.
    pub fence: u64,
    /// Decided replicas.
    pub row: ServerRow,
}
