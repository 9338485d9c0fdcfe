//! Changes the state of a replica that is decided.

use crate::chart::{Chart, Move, Replica as ReplicaChart, ReplicaEvent, ReplicaState};
use crate::commit::{Decision, MalformedRow, Record, Snapshot};
use crate::engine::Resident;

use super::rows::{ModelRow, Replica, ServerRow, StoreRow, model_key, server_key, store_key};
use super::{PlaceError, Vacancy};

/// Surroundings of a change.
#[derive(Debug)]
pub(super) struct Change<'a> {
    pub(super) chart: &'a Chart<ReplicaChart>,
    pub(super) region: &'a str,
    pub(super) server: &'a str,
    /// Operation id of the unload order, where the change decides one.
    pub(super) unload: &'a str,
    pub(super) now: u64,
}

/// Which replica a change is about.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target<'a> {
    pub(super) model: &'a str,
    /// Operation id of its load; none means whichever is decided.
    pub(super) op: Option<&'a str>,
}

/// Rows while they are changed.
#[derive(Debug)]
struct Draft {
    server: ServerRow,
    model: ModelRow,
    store: StoreRow,
}

pub(super) type Changed = (Decision, Result<(), PlaceError>);

impl Change<'_> {
    /// Keys that a change of one model's replica reads.
    pub(super) fn keys(&self, model: &str) -> Vec<String> {
        vec![
            server_key(self.server),
            model_key(model),
            store_key(self.region),
        ]
    }

    /// Applies an event to one replica.
    pub(super) fn one(
        &self,
        snapshot: &Snapshot,
        target: Target<'_>,
        event: ReplicaEvent,
    ) -> Result<Changed, MalformedRow> {
        let mut draft = self.draft(snapshot, target.model)?;
        let found = match target.op {
            Some(op) => draft.server.by_op(op),
            None => draft.server.replica(target.model),
        };
        let op = found.map(|r| r.op.clone()).unwrap_or_default();
        let state = found.map_or(ReplicaState::Absent, |r| r.state);
        let next = match self.chart.step(state, event) {
            Move::To(next) => next,
            Move::Ignore => return Ok((Decision::NoChange, Ok(()))),
            // A replica that is gone, or has a successor, has nothing left to release or confirm.
            Move::Refuse if found.is_none() => {
                return Ok((Decision::NoChange, Err(PlaceError::Gone)));
            }
            Move::Refuse => {
                let refused = PlaceError::NotAllowed { state, event };
                return Ok((Decision::NoChange, Err(refused)));
            }
        };
        let retires = matches!(event, ReplicaEvent::Retire);
        if retires && draft.server.carries(target.model) {
            return Ok((Decision::NoChange, Err(PlaceError::InUse)));
        }
        let revision = snapshot.revision(&server_key(self.server));
        self.advance(&mut draft, &op, next, revision);
        Ok((Decision::Commit(self.writes(&draft, target.model)?), Ok(())))
    }

    /// Counts a replica that nothing decided.
    pub(super) fn find(
        &self,
        snapshot: &Snapshot,
        resident: &Resident,
    ) -> Result<Changed, MalformedRow> {
        let mut draft = self.draft(snapshot, &resident.model)?;
        let found = draft.server.by_op(&resident.op);
        let state = found.map_or(ReplicaState::Absent, |r| r.state);
        let Move::To(next) = self.chart.step(state, ReplicaEvent::Find) else {
            return Ok((Decision::NoChange, Ok(())));
        };
        draft.server.replicas.push(Replica {
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
        draft.model.add(self.server);
        let revision = snapshot.revision(&server_key(self.server));
        self.advance(&mut draft, &resident.op, next, revision);
        Ok((
            Decision::Commit(self.writes(&draft, &resident.model)?),
            Ok(()),
        ))
    }

    /// Applies a restart or the loss of the endpoint to all replicas of the server.
    pub(super) fn vacate(
        &self,
        snapshot: &Snapshot,
        vacancy: &Vacancy,
    ) -> Result<Changed, MalformedRow> {
        let key = server_key(self.server);
        let revision = snapshot.revision(&key);
        let mut server = ServerRow::read(snapshot, &key)?;
        let before = server.clone();
        let event = match vacancy {
            Vacancy::Rebooted(boot) => {
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
            Vacancy::Gone => Some(ReplicaEvent::Vacate),
        };
        for replica in &mut server.replicas {
            let Some(event) = event else { break };
            if let Move::To(next) = self.chart.step(replica.state, event) {
                self.enter(replica, next, revision);
            }
        }
        if server == before {
            return Ok((Decision::NoChange, Ok(())));
        }
        Ok((Decision::Commit(vec![server.write(&key)?]), Ok(())))
    }

    /// Allows decisions for the server again after a restart.
    pub(super) fn settle(&self, snapshot: &Snapshot, boot: &str) -> Result<Changed, MalformedRow> {
        let key = server_key(self.server);
        let mut server = ServerRow::read(snapshot, &key)?;
        if server.boot != boot || server.settling.take().is_none() {
            return Ok((Decision::NoChange, Ok(())));
        }
        Ok((Decision::Commit(vec![server.write(&key)?]), Ok(())))
    }

    fn draft(&self, snapshot: &Snapshot, model: &str) -> Result<Draft, MalformedRow> {
        Ok(Draft {
            server: ServerRow::read(snapshot, &server_key(self.server))?,
            model: ModelRow::read(snapshot, &model_key(model))?,
            store: StoreRow::read(snapshot, &store_key(self.region))?,
        })
    }

    fn writes(&self, draft: &Draft, model: &str) -> Result<Vec<crate::table::Write>, MalformedRow> {
        Ok(vec![
            draft.server.write(&server_key(self.server))?,
            draft.model.write(&model_key(model))?,
            draft.store.write(&store_key(self.region))?,
        ])
    }

    /// Moves a replica to a state and keeps the counts in step.
    fn advance(&self, draft: &mut Draft, op: &str, next: ReplicaState, revision: u64) {
        let replicas = &mut draft.server.replicas;
        let Some(i) = replicas.iter().position(|r| r.op == op) else {
            return;
        };
        if matches!(next, ReplicaState::Absent | ReplicaState::Ready) {
            draft.store.give_back(op);
            replicas[i].slot = None;
        }
        if next != ReplicaState::Absent {
            self.enter(&mut replicas[i], next, revision);
            return;
        }
        let model = replicas.remove(i).model;
        if replicas.iter().all(|r| r.model != model) {
            draft.model.remove(self.server);
        }
    }

    fn enter(&self, replica: &mut Replica, next: ReplicaState, revision: u64) {
        if replica.state != next {
            replica.since = self.now;
        }
        replica.state = next;
        if matches!(next, ReplicaState::Unloading | ReplicaState::Quarantined) {
            let unload = self.unload;
            replica
                .unload
                .get_or_insert_with(|| format!("{unload}-{}", replica.op));
            replica.after = revision;
        }
    }
}
