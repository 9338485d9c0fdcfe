//! Assigns a replica: reserves its memory and load slot in one transaction.

use super::rows::{
    ModelRow, Replica, ServerRow, Slot, SlotHolder, StoreRow, model_key, server_key, store_key,
};
use super::{LoadRequest, PlacementError, Reservation};
use crate::commit::{Decision, MalformedRow, Record, Snapshot};
use crate::state_chart::{ReplicaChart, ReplicaEvent, ReplicaState, StateChart, Transition};

/// Inputs of one assignment, with the operation id of its load order.
#[derive(Debug)]
pub(super) struct ReserveContext<'a> {
    pub(super) load: &'a LoadRequest,
    pub(super) event: ReplicaEvent,
    pub(super) region: &'a str,
    pub(super) op: &'a str,
    pub(super) now: u64,
}

/// The plan for the table, and the result to return if that plan succeeds.
pub(super) type ReserveDecision = (Decision, Result<Reservation, PlacementError>);

impl ReserveContext<'_> {
    /// Keys of the rows to read first.
    pub(super) fn keys(&self) -> Vec<String> {
        vec![
            server_key(&self.load.server),
            model_key(&self.load.model),
            store_key(self.region),
        ]
    }

    /// Computes the assignment from a snapshot of the rows.
    pub(super) fn decide(
        &self,
        chart: &StateChart<ReplicaChart>,
        snapshot: &Snapshot,
    ) -> Result<ReserveDecision, MalformedRow> {
        let load = self.load;
        let model = ModelRow::read(snapshot, &model_key(&load.model))?;
        let max_replicas = usize::try_from(load.max_replicas).unwrap_or(usize::MAX);
        let on_server = model.servers.contains(&load.server);
        if on_server || model.servers.len() >= max_replicas {
            return self.existing(snapshot, &model);
        }
        let mut server = ServerRow::read(snapshot, &server_key(&load.server))?;
        let mut store = StoreRow::read(snapshot, &store_key(self.region))?;
        if let Err(refusal) = self.check_admission(&server, &store) {
            return Ok((Decision::NoChange, Err(refusal)));
        }
        let Transition::To(state) = chart.transition(ReplicaState::Absent, self.event) else {
            return Ok((Decision::NoChange, Err(PlacementError::Contended)));
        };
        let slot = (self.event == ReplicaEvent::Reserve).then_some(self.slot());
        if let Some(slot) = slot {
            let holder = SlotHolder {
                op: self.op.into(),
                server: load.server.clone(),
            };
            store.acquire_slot(slot, holder);
        }
        server.capacity = load.capacity;
        server.replicas.push(self.replica(state, slot));
        let mut model = model;
        model.add_server(&load.server);
        let writes = vec![
            server.write(&server_key(&load.server))?,
            model.write(&model_key(&load.model))?,
            store.write(&store_key(self.region))?,
        ];
        let reservation = Reservation {
            server: load.server.clone(),
            op: self.op.into(),
            fence: 0,
            state,
            existing: false,
        };
        Ok((Decision::Commit(writes), Ok(reservation)))
    }

    /// Returns a replica that is already assigned.
    fn existing(
        &self,
        snapshot: &Snapshot,
        model: &ModelRow,
    ) -> Result<ReserveDecision, MalformedRow> {
        let unread: Vec<String> = model
            .servers
            .iter()
            .map(|s| server_key(s))
            .filter(|key| snapshot.row(key).is_none())
            .collect();
        if !unread.is_empty() {
            return Ok((Decision::ReadMore(unread), Err(PlacementError::Contended)));
        }
        let mut found: Option<Reservation> = None;
        for name in &model.servers {
            let key = server_key(name);
            let server = ServerRow::read(snapshot, &key)?;
            let Some(replica) = server.replica(&self.load.model) else {
                continue;
            };
            if !matches!(
                replica.state,
                ReplicaState::Granted | ReplicaState::Loading | ReplicaState::Ready
            ) {
                continue;
            }
            // The requested server accepts work; another one may be about to be removed.
            let preference = |state, server: &str| (state, server == self.load.server);
            let better = found
                .as_ref()
                .is_none_or(|f| preference(f.state, &f.server) < preference(replica.state, name));
            if better {
                found = Some(Reservation {
                    server: name.clone(),
                    op: replica.op.clone(),
                    fence: snapshot.revision(&key),
                    state: replica.state,
                    existing: replica.op != self.op,
                });
            }
        }
        Ok((
            Decision::NoChange,
            found.ok_or(PlacementError::ReplicaLimit),
        ))
    }

    fn check_admission(&self, server: &ServerRow, store: &StoreRow) -> Result<(), PlacementError> {
        let load = self.load;
        if server.settling.is_some() {
            return Err(PlacementError::Settling);
        }
        if let Some(base) = &load.base {
            let ready = server
                .replica(base)
                .is_some_and(|r| r.state == ReplicaState::Ready);
            if !ready {
                return Err(PlacementError::BaseNotReady);
            }
        }
        if server.used_bytes().saturating_add(load.bytes) > load.capacity {
            return Err(PlacementError::NoMemory);
        }
        let slot = self.slot();
        let limit = match slot {
            Slot::Load => load.max_loads,
            Slot::Adapter => load.max_adapters,
        };
        let activator_slots = u32::from(slot == Slot::Load && !store.activator.is_empty());
        let limit = usize::try_from(limit.saturating_sub(activator_slots)).unwrap_or(usize::MAX);
        if self.event == ReplicaEvent::Reserve && store.holders(slot).len() >= limit {
            return Err(PlacementError::SlotsBusy);
        }
        Ok(())
    }

    fn slot(&self) -> Slot {
        if self.load.is_adapter {
            Slot::Adapter
        } else {
            Slot::Load
        }
    }

    fn replica(&self, state: ReplicaState, slot: Option<Slot>) -> Replica {
        Replica {
            model: self.load.model.clone(),
            base: self.load.base.clone(),
            bytes: self.load.bytes,
            state,
            op: self.op.into(),
            unload: None,
            after: 0,
            slot,
            since: self.now,
        }
    }
}
