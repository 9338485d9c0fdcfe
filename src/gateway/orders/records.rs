//! Records of all engines, kept for one term of the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::{LoadsNotice, ToldLoads};
use super::super::planner::EngineState;
use super::super::protocol::{Endpoint, Target};
use super::super::servers::ListedEndpoint;
use super::rates::RATE_WINDOW;
use super::record::{CarriedLoad, EngineRecord};

/// Engines by id of their incarnation.
#[derive(Debug, Default)]
pub struct EngineRecords {
    engines: BTreeMap<String, EngineRecord>,
    /// Loads that go on at engines whose records were dropped.
    carried: BTreeMap<String, CarriedLoad>,
    /// Fencing token of the term that the records belong to.
    term: Option<u64>,
}

impl EngineRecords {
    /// Starts or continues the term of a fencing token; returns whether it is a new term.
    ///
    /// A new term begins without records: another instance may have sent orders in between. Loads
    /// that engines had accepted go on.
    pub fn enter_term(&mut self, fencing_token: u64, now: Duration) -> bool {
        let is_new = self.term != Some(fencing_token);
        if is_new {
            self.clear(now);
            self.term = Some(fencing_token);
        }
        is_new
    }

    /// Ends the term unless it is still `held`; returns whether it ended.
    ///
    /// A term whose token is temporarily invalid keeps its records: its changes are still
    /// in flight, and no other instance has sent orders.
    pub fn leave_lost_term(&mut self, held: Option<u64>, now: Duration) -> bool {
        let is_lost = self.term.is_some() && held != self.term;
        if is_lost {
            self.clear(now);
            self.term = None;
        }
        is_lost
    }

    /// Follows the server list of one service.
    ///
    /// A record that is dropped, as its engine is no longer listed or has restarted, takes the
    /// permission to send orders from its changes in flight. An unknown start time is no restart.
    pub fn sync(
        &mut self,
        service: &str,
        listed: &[ListedEndpoint],
        describe: impl Fn(&str) -> Option<Endpoint>,
        now: Duration,
    ) {
        let ids: BTreeSet<&str> = listed.iter().map(|e| e.id.as_str()).collect();
        let gone =
            |id: &String, r: &mut EngineRecord| r.service == service && !ids.contains(id.as_str());
        let gone: Vec<_> = self.engines.extract_if(.., gone).collect();
        self.keep_loads(gone, now);
        for entry in listed {
            let is_new = match self.engines.get(&entry.id) {
                None => true,
                Some(record) => {
                    let known = record.started_ms != 0 && entry.started_ms != 0;
                    known && record.started_ms != entry.started_ms
                }
            };
            if is_new && let Some(endpoint) = describe(&entry.id) {
                let mut record = EngineRecord::new(&endpoint);
                if let Some(load) = self.carried.remove(&entry.id) {
                    record.carry(load, entry.started_ms);
                }
                self.engines.insert(entry.id.clone(), record);
            }
            if let Some(record) = self.engines.get_mut(&entry.id) {
                if record.started_ms == 0 {
                    record.started_ms = entry.started_ms;
                }
                record.leaving |= !entry.ready;
                record.paused = entry.paused;
                record.limit = entry.limit;
                record.carried.take_if(|load| !load.is_expected(now));
                record.loaded_at.retain(|_, at| now < *at + RATE_WINDOW);
            }
        }
    }

    /// Record of an engine.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EngineRecord> {
        self.engines.get_mut(id)
    }

    /// All records, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &EngineRecord)> {
        self.engines.iter()
    }

    /// All records, by id, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&String, &mut EngineRecord)> {
        self.engines.iter_mut()
    }

    /// Number of engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Drops all records, and with them the permission of all changes in flight.
    fn clear(&mut self, now: Duration) {
        let dropped = std::mem::take(&mut self.engines);
        self.keep_loads(dropped, now);
    }

    /// Remembers the loads that engines carry out whose records were dropped.
    fn keep_loads(
        &mut self,
        dropped: impl IntoIterator<Item = (String, EngineRecord)>,
        now: Duration,
    ) {
        self.carried.retain(|_, load| load.is_expected(now));
        for (id, mut record) in dropped {
            let load = record.ongoing_load(now);
            self.carried.extend(load.map(|load| (id, load)));
        }
    }

    /// Takes over the loads that an earlier holder told, for records that are still to be made.
    pub fn adopt(&mut self, told: &ToldLoads, now: Duration) {
        for load in &told.notice.loads {
            let carried = CarriedLoad::told(load, told.heard_at, now);
            if carried.is_expected(now) && !self.engines.contains_key(&load.engine) {
                self.carried.entry(load.engine.clone()).or_insert(carried);
            }
        }
    }

    /// Loads from the weight store that engines carry out, for a successor of this holder.
    #[must_use]
    pub fn loads_in_progress(&mut self, now: Duration) -> LoadsNotice {
        let loads = self.engines.iter_mut().filter_map(|(id, record)| {
            let load = record.ongoing_load(now)?;
            (load.is_from_store() && load.is_expected(now)).then(|| load.tell(id, now))
        });
        LoadsNotice {
            loads: loads.collect(),
        }
    }

    /// Number of loads from the weight store in progress.
    #[must_use]
    pub fn store_loads(&self) -> u32 {
        let loads = self.engines.values().filter(|r| r.loads_from_store());
        u32::try_from(loads.count()).unwrap_or(u32::MAX)
    }

    /// States of the engines of a service for the planner.
    ///
    /// `running` returns the number of requests of all instances on a target at an engine.
    #[must_use]
    pub fn states(
        &self,
        service: &str,
        running: impl Fn(&str, &Target) -> u32,
        now: Duration,
    ) -> Vec<EngineState> {
        let of_service = self.engines.iter().filter(|(_, r)| r.service == service);
        of_service
            .map(|(id, record)| record.state(id, |target| running(id, target), now))
            .collect()
    }
}
