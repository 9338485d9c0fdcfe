//! Assigns replicas to servers, by transactions over the table service.
//!
//! Each assignment is one transaction over the rows of the server, the model and the region's
//! weight store. It is committed before the resulting order is sent, so a delayed, duplicated or
//! orphaned order can only do what was assigned and reserved.

use std::sync::Arc;

use crate::commit::{
    CommitSettings, Committer, Decision, MalformedRow, OperationIds, Record, Snapshot, epoch_millis,
};
use crate::engine::Resident;
use crate::state_chart::{ChartError, ReplicaChart, ReplicaEvent, ReplicaState, StateChart};
use crate::table::{Read, Table};

mod change;
mod error;
mod reconcile;
mod reserve;
mod rows;

use change::{ChangeContext, ChangeDecision, ReplicaTarget};
pub use error::PlacementError;
pub use reconcile::{
    Observation, ReconcileSettings, ReportHistory, Step, load_order, unload_order,
};
use reserve::ReserveContext;
pub use rows::{
    ModelRow, Replica, ServerRow, Slot, SlotHolder, StoreRow, model_key, server_key, store_key,
};

/// Request to load a replica on a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadRequest {
    /// Model or adapter.
    pub model: String,
    /// Base model of an adapter; must be ready on the server.
    pub base: Option<String>,
    /// Memory of the replica, in bytes.
    pub bytes: u64,
    /// Server to load it on.
    pub server: String,
    /// Memory of the server, in bytes.
    pub capacity: u64,
    /// Maximum number of replicas of the model; once reached, an existing one is returned.
    pub max_replicas: u32,
    /// Whether the model is an adapter.
    pub is_adapter: bool,
    /// Maximum concurrent loads of models from the region's weight store.
    pub max_loads: u32,
    /// Maximum concurrent loads of adapters from the region's weight store.
    pub max_adapters: u32,
}

/// A replica that is assigned to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Server that holds the replica or is to load it.
    pub server: String,
    /// Operation id of the load order.
    pub op: String,
    /// Fencing token for orders that result from the assignment.
    pub fence: u64,
    /// State of the replica.
    pub state: ReplicaState,
    /// Whether another call had assigned it.
    pub existing: bool,
}

/// How an engine's state was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineLoss {
    /// The engine restarted; carries its new boot id.
    Restarted(String),
    /// The endpoint is no longer listed.
    EndpointRemoved,
}

/// Settings of [`Placement`].
#[derive(Debug, Clone, Default)]
pub struct PlacementSettings {
    /// Region whose weight store the loads use.
    pub region: String,
    /// Prefix of operation ids; must be unique to this run of the process.
    pub prefix: String,
    /// Limits of transactions.
    pub commit: CommitSettings,
}

/// Assigns, tracks and releases the replicas of one region.
#[derive(Debug)]
pub struct Placement {
    committer: Committer,
    chart: StateChart<ReplicaChart>,
    region: String,
    ids: OperationIds,
}

impl Placement {
    /// Creates a placement on top of a table service.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the replica chart is incomplete.
    pub fn new(table: Arc<dyn Table>, settings: PlacementSettings) -> Result<Self, ChartError> {
        Ok(Self {
            committer: Committer::new(table, settings.commit),
            chart: StateChart::load()?,
            region: settings.region,
            ids: OperationIds::new(settings.prefix),
        })
    }

    /// Assigns a replica and reserves its memory and load slot, or returns one already assigned.
    ///
    /// # Errors
    ///
    /// [`PlacementError::OutcomeUnknown`] where the assignment may have been committed; a repeated
    /// call finds it.
    pub async fn reserve(&self, request: &LoadRequest) -> Result<Reservation, PlacementError> {
        self.reserve_with(request, ReplicaEvent::Reserve).await
    }

    /// Commits a standing grant: memory is reserved, but nothing is ordered.
    ///
    /// The replica counts towards the limit.
    /// While the table service is down, the activator may order the load without a write, by
    /// [`load_order`] with the grant's operation id and fencing token.
    ///
    /// # Errors
    ///
    /// As [`reserve`](Self::reserve).
    pub async fn grant(&self, request: &LoadRequest) -> Result<Reservation, PlacementError> {
        self.reserve_with(request, ReplicaEvent::Grant).await
    }

    /// Records that the load of a granted replica was ordered.
    ///
    /// # Errors
    ///
    /// [`PlacementError::NotAssigned`] where the grant no longer exists.
    pub async fn activate(
        &self,
        server: &str,
        model: &str,
        op: &str,
    ) -> Result<(), PlacementError> {
        self.apply_event(server, model, Some(op), ReplicaEvent::Activate)
            .await
    }

    /// Makes a process run the only one that may activate grants; returns whether it succeeded.
    ///
    /// It takes over from `predecessor`, which must have ended; an empty name means that there
    /// was none.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn claim_activator(
        &self,
        instance: &str,
        predecessor: &str,
    ) -> Result<bool, PlacementError> {
        let key = store_key(&self.region);
        let mut claimed = false;
        let mut step = |snapshot: &Snapshot| {
            let mut store = StoreRow::read(snapshot, &key)?;
            claimed = store.activator == instance || store.activator == predecessor;
            if !claimed || store.activator == instance {
                return Ok(Decision::NoChange);
            }
            store.activator = instance.into();
            Ok(Decision::Commit(vec![store.write(&key)?]))
        };
        self.committer
            .transact(vec![key.clone()], &mut step)
            .await?;
        Ok(claimed)
    }

    /// Records a finished load: marks the replica ready and frees its load slot.
    ///
    /// # Errors
    ///
    /// [`PlacementError::NotAssigned`] where the load is no longer assigned.
    pub async fn confirm(&self, server: &str, model: &str, op: &str) -> Result<(), PlacementError> {
        self.apply_event(server, model, Some(op), ReplicaEvent::Confirm)
            .await
    }

    /// Records a load that the engine reported as failed.
    ///
    /// # Errors
    ///
    /// [`PlacementError::NotAllowed`] where the replica is not loading.
    pub async fn fail(&self, server: &str, model: &str, op: &str) -> Result<(), PlacementError> {
        self.apply_event(server, model, Some(op), ReplicaEvent::Fail)
            .await
    }

    /// Starts the unload of a replica.
    ///
    /// Its memory stays reserved until [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// [`PlacementError::InUse`] where adapters on the server need it.
    pub async fn retire(&self, server: &str, model: &str) -> Result<(), PlacementError> {
        self.apply_event(server, model, None, ReplicaEvent::Retire)
            .await
    }

    /// Quarantines a replica that the engine does not report; its memory stays reserved.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn abandon(&self, server: &str, model: &str, op: &str) -> Result<(), PlacementError> {
        self.apply_event(server, model, Some(op), ReplicaEvent::Abandon)
            .await
    }

    /// Frees the memory of a replica; call only after a [`Step::Release`].
    ///
    /// # Errors
    ///
    /// [`PlacementError::NotAllowed`] where the replica is neither unloading nor quarantined.
    pub async fn release(&self, server: &str, model: &str, op: &str) -> Result<(), PlacementError> {
        match self
            .apply_event(server, model, Some(op), ReplicaEvent::Release)
            .await
        {
            Err(PlacementError::NotAssigned) => Ok(()),
            other => other,
        }
    }

    /// Records a replica that the engine holds without an assignment, and starts its unload.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn record_orphan(
        &self,
        server: &str,
        resident: &Resident,
    ) -> Result<(), PlacementError> {
        let op = self.ids.next();
        let change = self.change_context(server, &op);
        let keys = change.keys(&resident.model);
        self.commit(keys, &mut |snapshot| {
            change.record_orphan(snapshot, resident)
        })
        .await
    }

    /// Records that an engine restarted or that its endpoint is no longer listed.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn record_loss(&self, server: &str, loss: &EngineLoss) -> Result<(), PlacementError> {
        let op = self.ids.next();
        let change = self.change_context(server, &op);
        let keys = vec![server_key(server)];
        self.commit(keys, &mut |snapshot| change.record_loss(snapshot, loss))
            .await
    }

    /// Allows assignments to a server again after its engine restarted.
    ///
    /// Call only after a [`Step::EndSettling`].
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn end_settling(&self, server: &str, boot: &str) -> Result<(), PlacementError> {
        let change = self.change_context(server, "");
        let keys = vec![server_key(server)];
        self.commit(keys, &mut |snapshot| change.end_settling(snapshot, boot))
            .await
    }

    /// Reads the rows of all servers, each with its revision, which is the fencing token.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn snapshot(&self) -> Result<Vec<ServerSnapshot>, PlacementError> {
        let prefix = server_key("");
        let read = Read::Prefix(prefix.clone());
        let rows = self.committer.read(read).await?;
        rows.rows()
            .map(|row| {
                Ok(ServerSnapshot {
                    server: row.key[prefix.len()..].into(),
                    fence: row.revision,
                    row: ServerRow::parse(row)?,
                })
            })
            .collect()
    }

    /// Reads the row of a server; empty at revision 0 where nothing was ever assigned to it.
    ///
    /// # Errors
    ///
    /// Any [`PlacementError`] of the table service.
    pub async fn server(&self, server: &str) -> Result<ServerSnapshot, PlacementError> {
        let key = server_key(server);
        let rows = self.committer.read(Read::Keys(vec![key.clone()])).await?;
        Ok(ServerSnapshot {
            server: server.into(),
            fence: rows.revision(&key),
            row: ServerRow::read(&rows, &key)?,
        })
    }

    async fn reserve_with(
        &self,
        request: &LoadRequest,
        event: ReplicaEvent,
    ) -> Result<Reservation, PlacementError> {
        let op = self.ids.next();
        let context = ReserveContext {
            load: request,
            event,
            region: &self.region,
            op: &op,
            now: epoch_millis(),
        };
        let mut outcome = Err(PlacementError::Contended);
        let mut step = |snapshot: &Snapshot| {
            let (plan, answer) = context.decide(&self.chart, snapshot)?;
            outcome = answer;
            Ok(plan)
        };
        let revision = self.committer.transact(context.keys(), &mut step).await?;
        let mut reservation = outcome?;
        if let Some(revision) = revision {
            reservation.fence = revision;
        }
        Ok(reservation)
    }

    async fn apply_event(
        &self,
        server: &str,
        model: &str,
        op: Option<&str>,
        event: ReplicaEvent,
    ) -> Result<(), PlacementError> {
        let unload_prefix = self.ids.next();
        let change = self.change_context(server, &unload_prefix);
        let target = ReplicaTarget { model, op };
        let keys = change.keys(model);
        self.commit(keys, &mut |snapshot| change.apply(snapshot, target, event))
            .await
    }

    fn change_context<'a>(&'a self, server: &'a str, unload_prefix: &'a str) -> ChangeContext<'a> {
        ChangeContext {
            chart: &self.chart,
            region: &self.region,
            server,
            unload_prefix,
            now: epoch_millis(),
        }
    }

    async fn commit(
        &self,
        keys: Vec<String>,
        decide: &mut (dyn FnMut(&Snapshot) -> Result<ChangeDecision, MalformedRow> + Send),
    ) -> Result<(), PlacementError> {
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

/// The row of a server at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSnapshot {
    /// Server name.
    pub server: String,
    /// Revision of the row: the fencing token of orders that result from it.
    pub fence: u64,
    /// Assigned replicas.
    pub row: ServerRow,
}
