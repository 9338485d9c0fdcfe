//! Changes the state of an assigned replica.

use super::rows::{ModelRow, Replica, ServerRow, StoreRow, model_key, server_key, store_key};
use super::{EngineLoss, PlacementError};
use crate::commit::{Decision, MalformedRow, Record, Snapshot};
use crate::engine::Resident;
use crate::state_chart::{ReplicaChart, ReplicaEvent, ReplicaState, StateChart, Transition};

/// Inputs that all changes to a server share.
#[derive(Debug)]
pub(super) struct ChangeContext<'a> {
    pub(super) chart: &'a StateChart<ReplicaChart>,
    pub(super) region: &'a str,
    pub(super) server: &'a str,
    /// Prefix of the operation ids of unload orders that the change starts.
    pub(super) unload_prefix: &'a str,
    pub(super) now: u64,
}

/// The replica that a change applies to.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaTarget<'a> {
    pub(super) model: &'a str,
    /// Operation id of its load; none selects the server's replica of the model.
    pub(super) op: Option<&'a str>,
}

/// The rows that a change of one replica reads and writes.
#[derive(Debug)]
struct RowSet {
    server: ServerRow,
    model: ModelRow,
    store: StoreRow,
}

pub(super) type ChangeDecision = (Decision, Result<(), PlacementError>);

impl ChangeContext<'_> {
    /// Keys of the rows that a change of a model's replica reads.
    pub(super) fn keys(&self, model: &str) -> Vec<String> {
        vec![
            server_key(self.server),
            model_key(model),
            store_key(self.region),
        ]
    }

    /// Applies an event to one replica.
    pub(super) fn apply(
        &self,
        snapshot: &Snapshot,
        target: ReplicaTarget<'_>,
        event: ReplicaEvent,
    ) -> Result<ChangeDecision, MalformedRow> {
        let mut rows = self.read_rows(snapshot, target.model)?;
        let found = match target.op {
            Some(op) => rows.server.replica_by_op(op),
            None => rows.server.replica(target.model),
        };
        let op = found.map(|r| r.op.clone()).unwrap_or_default();
        let state = found.map_or(ReplicaState::Absent, |r| r.state);
        let next = match self.chart.transition(state, event) {
            Transition::To(next) => next,
            Transition::Ignore => return Ok((Decision::NoChange, Ok(()))),
            // A replica that was released or replaced has nothing left to release or confirm.
            Transition::Refuse if found.is_none() => {
                return Ok((Decision::NoChange, Err(PlacementError::NotAssigned)));
            }
            Transition::Refuse => {
                let refused = PlacementError::NotAllowed { state, event };
                return Ok((Decision::NoChange, Err(refused)));
            }
        };
        let is_retire = matches!(event, ReplicaEvent::Retire);
        if is_retire && rows.server.has_adapters(target.model) {
            return Ok((Decision::NoChange, Err(PlacementError::InUse)));
        }
        let revision = snapshot.revision(&server_key(self.server));
        self.set_state(&mut rows, &op, next, revision);
        Ok((Decision::Commit(self.writes(&rows, target.model)?), Ok(())))
    }

    /// Records a replica that the engine holds without an assignment, and starts its unload.
    pub(super) fn record_orphan(
        &self,
        snapshot: &Snapshot,
        resident: &Resident,
    ) -> Result<ChangeDecision, MalformedRow> {
        let mut rows = self.read_rows(snapshot, &resident.model)?;
        let found = rows.server.replica_by_op(&resident.op);
        let state = found.map_or(ReplicaState::Absent, |r| r.state);
        let Transition::To(next) = self.chart.transition(state, ReplicaEvent::Find) else {
            return Ok((Decision::NoChange, Ok(())));
        };
        rows.server.replicas.push(Replica {
            model: resident.model.clone(),
            base: None,
            bytes: resident.bytes,
            state: ReplicaState::Absent,
            op: resident.op.clone(),
            unload: None,
            after: 0,
            slot: None,
            since: self.now,
        });
        rows.model.add_server(self.server);
        let revision = snapshot.revision(&server_key(self.server));
        self.set_state(&mut rows, &resident.op, next, revision);
        Ok((
            Decision::Commit(self.writes(&rows, &resident.model)?),
            Ok(()),
        ))
    }

    /// Applies an engine restart or the removal of the endpoint to all replicas of the server.
    pub(super) fn record_loss(
        &self,
        snapshot: &Snapshot,
        loss: &EngineLoss,
    ) -> Result<ChangeDecision, MalformedRow> {
        let key = server_key(self.server);
        let revision = snapshot.revision(&key);
        let mut server = ServerRow::read(snapshot, &key)?;
        let before = server.clone();
        let event = match loss {
            EngineLoss::Restarted(boot) => {
                let first = server.boot.is_empty();
                let same = server.boot == *boot;
                server.boot.clone_from(boot);
                if same {
                    return Ok((Decision::NoChange, Ok(())));
                }
                if !first {
                    server.settling = Some(revision);
                }
                (!first).then_some(ReplicaEvent::Reboot)
            }
            EngineLoss::EndpointRemoved => Some(ReplicaEvent::Vacate),
        };
        for replica in &mut server.replicas {
            let Some(event) = event else { break };
            if let Transition::To(next) = self.chart.transition(replica.state, event) {
                self.enter_state(replica, next, revision);
            }
        }
        if server == before {
            return Ok((Decision::NoChange, Ok(())));
        }
        Ok((Decision::Commit(vec![server.write(&key)?]), Ok(())))
    }

    /// Allows assignments to the server again after a restart.
    pub(super) fn end_settling(
        &self,
        snapshot: &Snapshot,
        boot: &str,
    ) -> Result<ChangeDecision, MalformedRow> {
        let key = server_key(self.server);
        let mut server = ServerRow::read(snapshot, &key)?;
        if server.boot != boot || server.settling.take().is_none() {
            return Ok((Decision::NoChange, Ok(())));
        }
        Ok((Decision::Commit(vec![server.write(&key)?]), Ok(())))
    }

    fn read_rows(&self, snapshot: &Snapshot, model: &str) -> Result<RowSet, MalformedRow> {
        Ok(RowSet {
            server: ServerRow::read(snapshot, &server_key(self.server))?,
            model: ModelRow::read(snapshot, &model_key(model))?,
            store: StoreRow::read(snapshot, &store_key(self.region))?,
        })
    }

    fn writes(&self, rows: &RowSet, model: &str) -> Result<Vec<crate::table::Write>, MalformedRow> {
        Ok(vec![
            rows.server.write(&server_key(self.server))?,
            rows.model.write(&model_key(model))?,
            rows.store.write(&store_key(self.region))?,
        ])
    }

    /// Moves a replica to a state and updates its load slot and the model's row.
    fn set_state(&self, rows: &mut RowSet, op: &str, next: ReplicaState, revision: u64) {
        let replicas = &mut rows.server.replicas;
        let Some(i) = replicas.iter().position(|r| r.op == op) else {
            return;
        };
        if matches!(next, ReplicaState::Absent | ReplicaState::Ready) {
            rows.store.release_slot(op);
            replicas[i].slot = None;
        }
        if next != ReplicaState::Absent {
            self.enter_state(&mut replicas[i], next, revision);
            return;
        }
        let model = replicas.remove(i).model;
        if replicas.iter().all(|r| r.model != model) {
            rows.model.remove_server(self.server);
        }
    }

    fn enter_state(&self, replica: &mut Replica, next: ReplicaState, revision: u64) {
        if replica.state != next {
            replica.since = self.now;
        }
        replica.state = next;
        if matches!(next, ReplicaState::Unloading | ReplicaState::Quarantined) {
            let unload = self.unload_prefix;
            replica
                .unload
                .get_or_insert_with(|| format!("{unload}-{}", replica.op));
            replica.after = revision;
        }
    }
}
