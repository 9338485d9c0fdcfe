//! Decides a load: memory, replica and place at the weight store at once.

use crate::chart::{Chart, Move, Replica as ReplicaChart, ReplicaEvent, ReplicaState};
use crate::commit::{Decision, MalformedRow, Record, Snapshot};

use super::rows::{
    Holder, ModelRow, Replica, ServerRow, Slot, StoreRow, model_key, server_key, store_key,
};
use super::{Ask, PlaceError, Reserved};

/// A load to decide, with the operation id that it is to carry.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub(super) ask: &'a Ask,
    pub(super) event: ReplicaEvent,
    pub(super) region: &'a str,
    pub(super) op: &'a str,
    pub(super) now: u64,
}

/// Result of the decision: the plan for the table, and the answer if that plan succeeds.
pub(super) type Decided = (Decision, Result<Reserved, PlaceError>);

impl Request<'_> {
    /// Keys to read first.
    pub(super) fn keys(&self) -> Vec<String> {
        vec![
            server_key(&self.ask.server),
            model_key(&self.ask.model),
            store_key(self.region),
        ]
    }

    /// Decides over a snapshot.
    pub(super) fn decide(
        &self,
        chart: &Chart<ReplicaChart>,
        snapshot: &Snapshot,
    ) -> Result<Decided, MalformedRow> {
        let ask = self.ask;
        let model = ModelRow::read(snapshot, &model_key(&ask.model))?;
        let target = usize::try_from(ask.replicas).unwrap_or(usize::MAX);
        let on_server = model.servers.contains(&ask.server);
        if on_server || model.servers.len() >= target {
            return self.existing(snapshot, &model);
        }
        let mut server = ServerRow::read(snapshot, &server_key(&ask.server))?;
        let mut store = StoreRow::read(snapshot, &store_key(self.region))?;
        if let Err(refusal) = self.admit(&server, &store) {
            return Ok((Decision::NoChange, Err(refusal)));
        }
        let Move::To(state) = chart.step(ReplicaState::Absent, self.event) else {
            return Ok((Decision::NoChange, Err(PlaceError::Raced)));
        };
        let slot = (self.event == ReplicaEvent::Reserve).then_some(self.slot());
        if let Some(slot) = slot {
            let holder = Holder {
                op: self.op.into(),
                server: ask.server.clone(),
            };
            store.take(slot, holder);
        }
        server.capacity = ask.capacity;
        server.replicas.push(self.replica(state, slot));
        let mut model = model;
        model.add(&ask.server);
        let writes = vec![
            server.write(&server_key(&ask.server))?,
            model.write(&model_key(&ask.model))?,
            store.write(&store_key(self.region))?,
        ];
        let reserved = Reserved {
            server: ask.server.clone(),
            op: self.op.into(),
            fence: 0,
            state,
            existing: false,
        };
        Ok((Decision::Commit(writes), Ok(reserved)))
    }

    /// Answers with a replica that is decided already.
    fn existing(&self, snapshot: &Snapshot, model: &ModelRow) -> Result<Decided, MalformedRow> {
        let unread: Vec<String> = model
            .servers
            .iter()
            .map(|s| server_key(s))
            .filter(|key| snapshot.row(key).is_none())
            .collect();
        if !unread.is_empty() {
            return Ok((Decision::ReadMore(unread), Err(PlaceError::Raced)));
        }
        let mut found: Option<Reserved> = None;
        for name in &model.servers {
            let key = server_key(name);
            let server = ServerRow::read(snapshot, &key)?;
            let Some(replica) = server.replica(&self.ask.model) else {
                continue;
            };
            if !matches!(
                replica.state,
                ReplicaState::Granted | ReplicaState::Loading | ReplicaState::Ready
            ) {
                continue;
            }
            // The asked server takes work; another may be on its way out.
            let rank = |state, server: &str| (state, server == self.ask.server);
            let better = found
                .as_ref()
                .is_none_or(|f| rank(f.state, &f.server) < rank(replica.state, name));
            if better {
                found = Some(Reserved {
                    server: name.clone(),
                    op: replica.op.clone(),
                    fence: snapshot.revision(&key),
                    state: replica.state,
                    existing: replica.op != self.op,
                });
            }
        }
        Ok((Decision::NoChange, found.ok_or(PlaceError::ReplicaLimit)))
    }

    fn admit(&self, server: &ServerRow, store: &StoreRow) -> Result<(), PlaceError> {
        let ask = self.ask;
        if server.settling.is_some() {
            return Err(PlaceError::Settling);
        }
        if let Some(base) = &ask.base {
            let ready = server
                .replica(base)
                .is_some_and(|r| r.state == ReplicaState::Ready);
            if !ready {
                return Err(PlaceError::NoBase);
            }
        }
        if server.taken().saturating_add(ask.bytes) > ask.capacity {
            return Err(PlaceError::NoMemory);
        }
        let slot = self.slot();
        let limit = match slot {
            Slot::Load => ask.loads,
            Slot::Adapter => ask.adapters,
        };
        let kept = u32::from(slot == Slot::Load && !store.activator.is_empty());
        let limit = usize::try_from(limit.saturating_sub(kept)).unwrap_or(usize::MAX);
        if self.event == ReplicaEvent::Reserve && store.holders(slot).len() >= limit {
            return Err(PlaceError::SlotsBusy);
        }
        Ok(())
    }

    fn slot(&self) -> Slot {
        if self.ask.adapter {
            Slot::Adapter
        } else {
            Slot::Load
        }
    }

    fn replica(&self, state: ReplicaState, slot: Option<Slot>) -> Replica {
        Replica {
            model: self.ask.model.clone(),
            base: self.ask.base.clone(),
            bytes: self.ask.bytes,
            state,
            op: self.op.into(),
            unload: None,
            after: 0,
            slot,
            since: self.now,
        }
    }
}
