//! Requests and the room of the brittle endpoints in the registry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::super::room::message::{BrittleEntry, RoomReport, RoomUpdate};
use super::super::room::permits::{RoomPermits, RoomTarget, RoomTicket};
use super::{SelectedEndpoint, SelectionCriteria, Server, ServerKey, Servers, State};

/// Shortest time without requests after an endpoint has turned one away.
const MIN_HOLD: Duration = Duration::from_secs(1);

/// Time for which one of `instances` sends nothing to an endpoint that has turned its request away
/// and bears `bound` of these a second from all instances together, where no lease holder grants
/// permits.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::servers::brittle_hold;
///
/// assert_eq!(brittle_hold(20, 8), Duration::from_secs(1));
/// assert_eq!(brittle_hold(2, 8), Duration::from_secs(4));
/// ```
#[must_use]
pub fn brittle_hold(bound: u32, instances: u32) -> Duration {
    Duration::from_secs(u64::from(instances.div_ceil(bound.max(1)))).max(MIN_HOLD)
}

/// Endpoints that could run a request, but for their room.
#[derive(Debug, Clone, PartialEq)]
pub struct FullEndpoints {
    /// Their ids.
    pub ids: Vec<String>,
    /// Expected time until the request can be sent to one of them.
    pub wait: Duration,
}

/// Counts a request as waiting for room until it is dropped.
#[derive(Debug)]
pub struct RoomWaitGuard {
    servers: Servers,
    /// Ids of the endpoints.
    pub ids: Vec<String>,
    /// Place in the order of the waiting requests.
    pub ticket: RoomTicket,
}

impl Drop for RoomWaitGuard {
    fn drop(&mut self) {
        let mut state = self.servers.state();
        state.room.leave(&self.ids, self.ticket);
    }
}

impl Server {
    pub(super) fn room_target(&self) -> RoomTarget<'_> {
        RoomTarget {
            service: &self.endpoint.service,
            id: &self.endpoint.id,
            started_ms: self.endpoint.start_ms,
            slots: self.endpoint.slots,
            local_load: self.local_load,
        }
    }

    /// Whether its load leaves slots to requests that are more urgent, where this one has to.
    pub(super) fn has_room(&self, criteria: &SelectionCriteria<'_>) -> bool {
        let Some(share) = criteria.slot_share else {
            return true;
        };
        let (running, queued) = self.engine_load;
        let load = self.fleet_load.max(running + queued);
        f64::from(load) < f64::from(self.endpoint.slots) * share
    }
}

impl SelectionCriteria<'_> {
    fn room_ticket(&self) -> RoomTicket {
        let newcomer = RoomTicket::newcomer(self.priority);
        self.ticket.unwrap_or(newcomer)
    }
}

impl State {
    /// Whether a request may be sent to an endpoint, as far as its room is concerned.
    pub(super) fn is_room_open(
        &self,
        server: &Server,
        criteria: &SelectionCriteria<'_>,
        now: Duration,
    ) -> bool {
        let ticket = criteria.room_ticket();
        self.room.is_open(&server.room_target(), ticket, now)
    }

    pub(super) fn take_room(&mut self, selected: &SelectedEndpoint, now: Duration) -> bool {
        let Some(server) = self.servers.get(selected.key) else {
            return false;
        };
        if !server.is_listed {
            return false;
        }
        self.room.take(&server.room_target(), now)
    }
}

impl Servers {
    /// Records whether an answer says that the endpoint is brittle: the requests turned away within a
    /// second that it bears.
    pub fn record_brittle(
        &self,
        key: ServerKey,
        bound: Option<u32>,
        sent_at: Duration,
        now: Duration,
    ) {
        let mut state = self.state();
        let Some(server) = state.servers.get(key) else {
            return;
        };
        let service = server.endpoint.service.clone();
        if state.room.record_answer(&service, bound, sent_at, now) {
            drop(state);
            self.announce_brittle(&service, bound, "answer");
        }
    }

    /// Takes over what other instances know of brittle services.
    pub fn merge_brittle(&self, entries: &[BrittleEntry], now: Duration) {
        for entry in entries {
            let has_changed = self.state().room.merge(entry, now);
            if has_changed {
                self.announce_brittle(&entry.service, entry.bound, "link");
            }
        }
    }

    fn announce_brittle(&self, service: &str, bound: Option<u32>, source: &'static str) {
        log::info!(service = service, bound:? = bound, from = source;
            "endpoints are brittle, or no longer");
        self.notify_change();
    }

    /// Services whose endpoints are brittle, or were until lately.
    #[must_use]
    pub fn brittle_entries(&self, now: Duration) -> Vec<BrittleEntry> {
        self.state().room.notices(now)
    }

    /// Whether endpoints of any service are brittle.
    #[must_use]
    pub fn is_brittle(&self, service: &str) -> bool {
        self.state().room.is_brittle(service)
    }

    /// Records the outcome of a request at an endpoint whose room is shared.
    pub(super) fn record_room_outcome(
        state: &mut State,
        key: ServerKey,
        failed: bool,
        now: Duration,
    ) {
        if let Some(server) = state.servers.get(key) {
            state
                .room
                .record_outcome(&server.room_target(), failed, now);
        }
    }

    /// Records that an endpoint turned a request away; returns whether the lease holder grants permits.
    #[must_use]
    pub fn record_rejection(&self, key: ServerKey, sent_at: Duration, now: Duration) -> bool {
        let state = &mut *self.state();
        if let Some(server) = state.servers.get(key) {
            state.room.record_rejection(&server.room_target(), sent_at);
        }
        state.room.is_granting(now)
    }

    /// Whether an endpoint could run a request if it left fewer slots to others.
    #[must_use]
    pub fn lacks_room(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> bool {
        let state = self.state();
        let mut matching = state.servers.values();
        matching.any(|s| s.could_run(criteria, now) && !s.has_room(criteria))
    }

    /// Requests of this instance in progress at an endpoint, and what it bears if it is brittle.
    #[must_use]
    pub fn own_requests(&self, key: ServerKey) -> (u32, Option<u32>) {
        let state = self.state();
        let server = state.servers.get(key);
        server.map_or((0, None), |s| {
            (s.local_load, state.room.bound(&s.endpoint.service))
        })
    }

    /// The brittle endpoints that could run a request but for their room; none where there are none.
    #[must_use]
    pub fn full_endpoints(
        &self,
        criteria: &SelectionCriteria<'_>,
        now: Duration,
    ) -> Option<FullEndpoints> {
        let state = self.state();
        if !state.room.is_brittle(criteria.service) {
            return None;
        }
        let matching = state.servers.values().filter(|s| s.matches(criteria, now));
        let mut full: Vec<&Server> = matching.filter(|s| s.pause.left(now).is_none()).collect();
        let is_sound =
            |s: &&Server| s.ejected_until <= now && !state.room.is_avoided(&s.room_target(), now);
        if full.iter().any(is_sound) {
            full.retain(is_sound);
        }
        let ticket = criteria.room_ticket();
        let waits = full
            .iter()
            .map(|s| state.room.wait(&s.room_target(), ticket, now));
        let wait = waits.min()?;
        let mut ids: Vec<String> = full.iter().map(|s| s.endpoint.id.clone()).collect();
        ids.sort();
        Some(FullEndpoints { ids, wait })
    }

    /// Counts a request as waiting for room until the guard is dropped.
    #[must_use]
    pub fn wait_for_room(&self, ids: Vec<String>, priority: u8) -> RoomWaitGuard {
        let ticket = self.state().room.join(&ids, priority);
        self.room_changed.notify_one();
        RoomWaitGuard {
            servers: self.clone(),
            ids,
            ticket,
        }
    }

    /// Report about room to the lease holder; none where no service is brittle.
    #[must_use]
    pub fn room_report(&self, now: Duration) -> Option<RoomReport> {
        let state = &mut *self.state();
        let room = &mut state.room;
        let brittle: Vec<&Server> = state
            .servers
            .values()
            .filter(|s| room.is_brittle(&s.endpoint.service))
            .collect();
        room.report(brittle.into_iter().map(Server::room_target), now)
    }

    /// Takes over permits of the lease holder.
    pub fn apply_room(&self, update: &RoomUpdate, now: Duration) {
        if self.state().room.apply(update, now) {
            self.notify_change();
        }
    }

    /// Notified when a request starts to wait for room, or one at a brittle endpoint has ended.
    #[must_use]
    pub const fn room_changed(&self) -> &Arc<Notify> {
        &self.room_changed
    }

    /// Records that the lease holder grants permits, and the number of live instances.
    pub fn hear_room_holder(&self, instances: u32, now: Duration) {
        self.state().room.hear_holder(instances, now);
    }

    /// Begins with a holder that knows nothing of this instance.
    pub fn begin_room_link(&self) {
        self.state().room.begin_link();
    }
}

/// Permits with a random number of their own.
pub(super) fn new_permits() -> RoomPermits {
    RoomPermits::new(rand::random(), super::super::shared::DEFAULT_INSTANCES)
}
