//! Records of all engines, kept for one term of the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::planner::EngineState;
use super::super::protocol::{Endpoint, Target};
use super::super::servers::ListedEndpoint;
use super::record::{EngineRecord, RATE_WINDOW};

/// Engines by id of their incarnation.
#[derive(Debug, Default)]
pub struct EngineRecords {
    engines: BTreeMap<String, EngineRecord>,
    /// Fencing token of the term that the records belong to.
    term: Option<u64>,
}

impl EngineRecords {
    /// Starts or continues the term of a fencing token; returns whether it is a new term.
    ///
    /// A new term begins without records: another instance may have sent orders in between.
    pub fn enter_term(&mut self, fencing_token: u64) -> bool {
        let is_new = self.term != Some(fencing_token);
        if is_new {
            self.clear();
            self.term = Some(fencing_token);
        }
        is_new
    }

    /// Ends the term unless it is still `held`; returns whether it ended.
    ///
    /// A term whose token is temporarily invalid keeps its records: its changes are still
    /// in flight, and no other instance has sent orders.
    pub fn leave_lost_term(&mut self, held: Option<u64>) -> bool {
        let is_lost = self.term.is_some() && held != self.term;
        if is_lost {
            self.clear();
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
        self.engines
            .retain(|id, r| r.service != service || ids.contains(id.as_str()));
        for entry in listed {
            let is_new = match self.engines.get(&entry.id) {
                None => true,
                Some(record) => {
                    let known = record.started_ms != 0 && entry.started_ms != 0;
                    known && record.started_ms != entry.started_ms
                }
            };
            if is_new && let Some(endpoint) = describe(&entry.id) {
                self.engines
                    .insert(entry.id.clone(), EngineRecord::new(&endpoint));
            }
            if let Some(record) = self.engines.get_mut(&entry.id) {
                if record.started_ms == 0 {
                    record.started_ms = entry.started_ms;
                }
                record.leaving |= !entry.ready;
                record.paused = entry.paused;
                record.limit = entry.limit;
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
    fn clear(&mut self) {
        self.engines.clear();
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
