//! Registry of the endpoints that this instance knows, with their state and selection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::SlotMap;
use tokio::sync::{Notify, watch};

use super::pauses::PauseTable;
use super::protocol::{Endpoint, EndpointState, Target};
use super::ramp::RampTable;
use super::room::permits::RoomPermits;

mod copy;
mod leaving;
mod limited;
mod limits;
mod outlook;
mod pace;
mod pause;
mod permits;
mod ramped;
mod requests;
mod room;
mod select;
mod server;
mod unlisted;

pub use copy::{CopiedEndpoint, CopiedMark};
pub use leaving::{LeavingMark, LeavingMarks};
pub use limited::{LimitedEndpoint, PermitWait};
pub use limits::{EndpointLimits, LimitAnswer, LimitNotice};
pub use outlook::Expected;
pub use pace::Pace;
pub use pause::Pause;
pub(crate) use pause::TRIAL_INTERVAL;
pub use permits::{Grant, Permits, Wanted, permit_ttl};
pub use requests::RequestGuard;
pub use room::{FullEndpoints, RoomWaitGuard, brittle_hold};
pub use select::{SelectedEndpoint, SelectionCriteria};
pub use server::{EndpointView, RequestOutcome, Server};

slotmap::new_key_type! {
    /// Key of one incarnation of an endpoint.
    pub struct ServerKey;
}

/// Assumed duration of a stream until one has been measured.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(2);
/// Weight of a new sample in the moving averages of run time and event interval; spans about
/// twenty samples.
const TIMING_WEIGHT: f64 = 0.05;
/// Most removed endpoints that are remembered.
const MAX_REMOVED: usize = 4096;

#[derive(Debug)]
struct State {
    /// Moving average of the time between two events, over all endpoints; zero until measured.
    event_interval: Duration,
    run_time: Option<Duration>,
    servers: SlotMap<ServerKey, Server>,
    keys: BTreeMap<String, ServerKey>,
    unlisted: unlisted::Unlisted,
    leaving: LeavingMarks,
    limits: EndpointLimits,
    /// Paces of the services whose endpoints have stated one.
    paces: BTreeMap<String, pace::ServicePace>,
    /// Shares of streams with a pause, learnt at services whose endpoints state paces.
    pauses: PauseTable,
    ramps: RampTable,
    /// Permits for brittle endpoints.
    room: RoomPermits,
    /// Start and sequence number of the last description of removed endpoints, by id.
    removed: BTreeMap<String, (u64, u64)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            event_interval: Duration::ZERO,
            run_time: None,
            servers: SlotMap::default(),
            keys: BTreeMap::new(),
            unlisted: unlisted::Unlisted::new(),
            leaving: LeavingMarks::default(),
            limits: EndpointLimits::default(),
            paces: BTreeMap::new(),
            pauses: PauseTable::default(),
            ramps: RampTable::default(),
            room: room::new_permits(),
            removed: BTreeMap::new(),
        }
    }
}

/// An endpoint's entry in the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it asked this instance for a pause.
    pub paused: bool,
    /// Requests a second that it takes from all instances together, if it names a limit.
    pub limit: Option<f64>,
}

/// Registry of endpoints, shared by all tasks of an instance.
#[derive(Debug, Clone)]
pub struct Servers {
    state: Arc<Mutex<State>>,
    version: Arc<watch::Sender<u64>>,
    /// Notified when a request starts to wait for room, or one at a brittle endpoint has ended.
    room_changed: Arc<Notify>,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            version: Arc::new(watch::Sender::new(0)),
            room_changed: Arc::default(),
        }
    }
}

impl Servers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_change(&self) {
        self.version.send_modify(|v| *v += 1);
    }

    /// Subscribes to changes after which another endpoint may be able to run a request.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Number of endpoints of a service, and of a software version if any is named, that accept new
    /// requests.
    #[must_use]
    pub fn ready_count(&self, service: &str, software: Option<&str>) -> usize {
        let state = self.state();
        let matches = |s: &&Server| {
            s.endpoint.service == service && s.has_software(software) && s.accepts_requests()
        };
        state.servers.values().filter(matches).count()
    }

    /// Addresses of the endpoints that accept new requests, by service.
    #[must_use]
    pub fn ready_addresses(&self) -> BTreeMap<String, Vec<SocketAddr>> {
        let state = self.state();
        let mut addresses: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for server in state.servers.values().filter(|s| s.accepts_requests()) {
            let service = server.endpoint.service.clone();
            let of_service = addresses.entry(service).or_default();
            of_service.push(server.endpoint.address);
        }
        addresses
    }

    /// Services of the known endpoints, each with a software version.
    #[must_use]
    pub fn software_versions(&self) -> BTreeSet<(String, String)> {
        let state = self.state();
        let endpoints = state.listed().map(|s| &s.endpoint);
        endpoints
            .map(|e| (e.service.clone(), e.software.clone()))
            .collect()
    }

    /// Adds an endpoint or updates its description.
    ///
    /// Returns whether it is new, has restarted, or accepts requests no longer or again.
    #[expect(
        clippy::must_use_candidate,
        reason = "only the reader of the list announces changes"
    )]
    pub fn upsert(&self, endpoint: Endpoint, now: Duration) -> bool {
        let has_changed = {
            let mut state = self.state();
            state.forget_unlisted(now);
            let known = state.keys.get(&endpoint.id).copied();
            if let Some(server) = known.and_then(|k| state.servers.get_mut(k)) {
                let before = (server.endpoint.start_ms, server.endpoint.state);
                let was_expiring = server.expires_at.is_some();
                server.update(endpoint, now);
                let after = (server.endpoint.start_ms, server.endpoint.state);
                if let Some(key) = known.filter(|_| before.0 != after.0) {
                    state.record_new(key, now);
                }
                was_expiring || before != after
            } else if let Some(key) = state.list_again(&endpoint, now) {
                let is_leaving = state.leaving.contains(&endpoint.id, endpoint.start_ms);
                if let Some(server) = state.servers.get_mut(key).filter(|_| is_leaving) {
                    server.endpoint.state = EndpointState::Draining;
                }
                true
            } else {
                let id = endpoint.id.clone();
                let mut server = Server::new(endpoint);
                if state.leaving.contains(&id, server.endpoint.start_ms) {
                    server.endpoint.state = EndpointState::Draining;
                }
                let removed = state.removed.get(&id).map(|(started_ms, _)| *started_ms);
                let is_listed_again = removed == Some(server.endpoint.start_ms);
                let key = state.servers.insert(server);
                state.keys.insert(id, key);
                if !is_listed_again {
                    state.record_new(key, now);
                }
                true
            }
        };
        self.notify_change();
        has_changed
    }

    /// Adds or updates an endpoint as an older copy of the list describes it.
    ///
    /// Returns as [`Servers::upsert`] does. A description that is no newer than the last one, of a
    /// known endpoint or a removed one, changes nothing: an endpoint that lives describes itself anew.
    #[expect(
        clippy::must_use_candidate,
        reason = "only the reader of the list announces changes"
    )]
    pub fn upsert_copy(&self, endpoint: Endpoint, now: Duration) -> bool {
        let copied = (endpoint.start_ms, endpoint.sequence);
        let known = {
            let state = self.state();
            let key = state.keys.get(&endpoint.id);
            let listed = key.and_then(|k| state.servers.get(*k));
            listed.map_or_else(
                || state.removed.get(&endpoint.id).copied(),
                |s| Some((s.endpoint.start_ms, s.endpoint.sequence)),
            )
        };
        known.is_none_or(|known| copied > known) && self.upsert(endpoint, now)
    }

    /// Removes an endpoint.
    pub fn remove(&self, id: &str) {
        let mut state = self.state();
        let Some(key) = state.keys.remove(id) else {
            return;
        };
        if let Some(endpoint) = state.unlist(key) {
            if state.removed.len() >= MAX_REMOVED {
                state.removed.pop_first();
            }
            let last = (endpoint.start_ms, endpoint.sequence);
            state.remove_ramp(&endpoint.id);
            state.removed.insert(endpoint.id, last);
        }
    }

    /// Schedules the removal of an endpoint, unless it is listed again before then.
    ///
    /// A removal that is already scheduled keeps its time.
    pub fn expire_at(&self, id: &str, at: Duration) {
        let mut state = self.state();
        let Some(key) = state.keys.get(id).copied() else {
            return;
        };
        if let Some(server) = state.servers.get_mut(key) {
            server.expires_at.get_or_insert(at);
        }
    }

    /// Records that an incarnation of an endpoint leaves; it gets no new requests from now on.
    ///
    /// `source` is where that was learnt, for the log.
    pub fn mark_leaving(&self, id: &str, started_ms: u64, source: &'static str, now: Duration) {
        let mut state = self.state();
        if !state.leaving.add(id, started_ms, now) {
            return;
        }
        log::info!(endpoint = id, started_ms = started_ms, from = source; "endpoint leaves");
        let key = state.keys.get(id).copied();
        if let Some(server) = key.and_then(|k| state.servers.get_mut(k))
            && server.endpoint.start_ms == started_ms
        {
            server.endpoint.state = EndpointState::Draining;
        }
    }

    /// Endpoints that were recently found to leave, for other instances.
    #[must_use]
    pub fn recently_leaving(&self, now: Duration) -> Vec<LeavingMark> {
        self.state().leaving.recent(now)
    }

    /// Time of the next scheduled removal.
    #[must_use]
    pub fn next_removal(&self) -> Option<Duration> {
        let state = self.state();
        state.listed().filter_map(|s| s.expires_at).min()
    }

    /// Removes the endpoints whose scheduled removal is due.
    pub fn remove_expired(&self, now: Duration) {
        let expired: Vec<String> = {
            let state = self.state();
            let due = |s: &&Server| s.expires_at.is_some_and(|at| at <= now);
            let ids = state.listed().filter(due);
            ids.map(|s| s.endpoint.id.clone()).collect()
        };
        for id in expired {
            self.remove(&id);
        }
    }

    /// Ids of all endpoints.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.state().keys.keys().cloned().collect()
    }

    /// The latest description of an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<Endpoint> {
        let state = self.state();
        let key = state.keys.get(id)?;
        state.servers.get(*key).map(|s| s.endpoint.clone())
    }

    /// The endpoints of a service.
    #[must_use]
    pub fn list_service(&self, service: &str, now: Duration) -> Vec<ListedEndpoint> {
        let state = self.state();
        let matches = |s: &&Server| s.endpoint.service == service;
        let listed = |s: &Server| ListedEndpoint {
            id: s.endpoint.id.clone(),
            started_ms: s.endpoint.start_ms,
            ready: s.accepts_requests(),
            paused: s.pause.left(now).is_some(),
            limit: state.limits.rate(&s.endpoint.id, s.endpoint.start_ms),
        };
        state.listed().filter(matches).map(listed).collect()
    }

    /// Requests of this instance in progress at a service, by endpoint and model.
    #[must_use]
    pub fn running_requests(&self, service: &str) -> Vec<(String, Target, u32)> {
        let state = self.state();
        let mut running = Vec::new();
        for server in state.servers.values() {
            if server.endpoint.service != service {
                continue;
            }
            for (target, count) in &server.running {
                running.push((server.endpoint.id.clone(), target.clone(), *count));
            }
        }
        running
    }

    /// Applies the lease holder's views of endpoints.
    ///
    /// Ignores a view of an unknown endpoint or another incarnation, and one with fewer accepted
    /// orders than already known.
    pub fn apply_views(&self, views: &[EndpointView], now: Duration) {
        {
            let mut state = self.state();
            for view in views {
                let key = state.keys.get(&view.id).copied();
                let Some(server) = key.and_then(|k| state.servers.get_mut(k)) else {
                    continue;
                };
                let older = view.accepted_orders < server.accepted_orders;
                if view.started_ms != server.endpoint.start_ms || older {
                    continue;
                }
                server.viewed_at = Some(now);
                server.accepted_orders = view.accepted_orders;
                server.models.clone_from(&view.models);
                server.unloading.clone_from(&view.unloading);
                server.fleet_load = view.load;
                server.engine_load = (view.running, view.queued);
                server.models_running = view.models_running;
                server.recent_sends = 0;
                if view.draining {
                    server.endpoint.state = EndpointState::Draining;
                }
                if let (Some(key), true) = (key, view.pace_percent > 0) {
                    state.record_pace(key, f64::from(view.pace_percent) / 100.0, now);
                }
            }
        }
        self.notify_change();
    }

    /// Records that an endpoint wants no request of this instance until a time.
    pub fn begin_pause(&self, id: &str, until: Duration) {
        let mut state = self.state();
        let key = state.known_key(id);
        if let Some(server) = key.and_then(|k| state.servers.get_mut(k)) {
            server.pause.begin(until);
        }
    }

    /// Whether an endpoint wants no request of this instance now.
    #[must_use]
    pub fn is_paused(&self, id: &str, now: Duration) -> bool {
        let state = self.state();
        let server = state.keys.get(id).and_then(|k| state.servers.get(*k));
        server.is_some_and(|s| s.pause.left(now).is_some())
    }

    /// Records that an endpoint answered a request sent at a time, and asked for no pause.
    pub fn record_answer(&self, key: ServerKey, sent_at: Duration) {
        let ends_trial = {
            let mut state = self.state();
            let server = state.servers.get_mut(key);
            server.is_some_and(|s| s.pause.record_answer(sent_at))
        };
        if ends_trial {
            self.notify_change();
        }
    }

    /// Records the time between two events of an endpoint, measured over several events.
    pub fn record_interval(&self, key: ServerKey, interval: Duration, now: Duration) {
        let mut state = self.state();
        let previous = if state.event_interval.is_zero() {
            interval
        } else {
            state.event_interval
        };
        state.event_interval = previous.mul_f64(1.0 - TIMING_WEIGHT)
            + interval.min(previous * 4).mul_f64(TIMING_WEIGHT);
        if let Some(server) = state.servers.get_mut(key) {
            let before = server.event_interval.map_or(interval, |(before, _)| before);
            server.event_interval = Some(((before + interval) / 2, now));
        }
    }

    /// Records how long a stream ran after its first event.
    pub fn record_run_time(&self, time: Duration) {
        let mut state = self.state();
        let before = state.run_time.unwrap_or(DEFAULT_RUN_TIME);
        state.run_time = Some(before.mul_f64(1.0 - TIMING_WEIGHT) + time.mul_f64(TIMING_WEIGHT));
    }

    /// Time that a stream takes on average; a default until one has been measured.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        self.state().run_time.unwrap_or(DEFAULT_RUN_TIME)
    }
}
