//! What this instance believes of the endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::SlotMap;
use tokio::sync::watch;

use super::edge::{Endpoint, EndpointState, Target};
use super::selection::{Candidate, choose};

mod server;

pub use server::{Health, Server, View};

slotmap::new_key_type! {
    /// Key of an endpoint's incarnation.
    pub struct ServerKey;
}

/// Failures in a row after which an endpoint is ejected.
const STRIKES: u32 = 3;
/// Time for which an endpoint is ejected: a few health intervals of its own.
const EJECTED: Duration = Duration::from_millis(1500);
/// Weight of the newest answer in the share of failed ones; about ten answers count.
const NEWEST: f64 = 0.12;
/// Time that a stream is assumed to run before one was seen.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest stream in the time that streams run; about twenty count.
const RUN_NEWEST: f64 = 0.05;
/// Time for which a refused model counts as absent, unless the endpoint tells otherwise.
const ABSENT: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct State {
    /// Usual time between two events.
    gap: Duration,
    run_time: Option<Duration>,
    arena: SlotMap<ServerKey, Server>,
    ids: BTreeMap<String, ServerKey>,
}

/// An endpoint that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Picked {
    /// Its key.
    pub key: ServerKey,
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Time that a request is expected to wait there before it runs.
    pub wait: Duration,
}

/// An endpoint's entry in the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub born: u64,
    /// Whether it takes new work.
    pub ready: bool,
}

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Model or adapter.
    pub target: Option<&'a Target>,
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Shared start of the prompt.
    pub shared: Option<&'a str>,
    /// Endpoints that were tried before.
    pub tried: &'a [String],
}

/// The endpoints, shared by all tasks of an instance.
#[derive(Debug, Clone)]
pub struct Servers {
    state: Arc<Mutex<State>>,
    version: Arc<watch::Sender<u64>>,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            version: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Servers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bump(&self) {
        self.version.send_modify(|v| *v += 1);
    }

    /// Changes whenever another endpoint may be able to run a request.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Number of endpoints of a service that take work.
    #[must_use]
    pub fn ready(&self, service: &str) -> usize {
        let state = self.state();
        let fits = |s: &&Server| s.endpoint.service == service && s.takes_work();
        state.arena.values().filter(fits).count()
    }

    /// Takes over an endpoint's description.
    pub fn adopt(&self, endpoint: Endpoint, now: Duration) {
        {
            let mut state = self.state();
            let known = state.ids.get(&endpoint.id).copied();
            if let Some(server) = known.and_then(|k| state.arena.get_mut(k)) {
                server.adopt(endpoint, now);
            } else {
                let id = endpoint.id.clone();
                log::info!(endpoint = id.as_str(), service = endpoint.service.as_str(),
                    address:% = endpoint.address; "endpoint listed");
                let key = state.arena.insert(Server::new(endpoint));
                state.ids.insert(id, key);
            }
        }
        self.bump();
    }

    /// Forgets an endpoint.
    pub fn remove(&self, id: &str) {
        let mut state = self.state();
        if let Some(key) = state.ids.remove(id) {
            state.arena.remove(key);
            log::info!(endpoint = id; "endpoint no longer listed");
        }
    }

    /// Forgets an endpoint at a later time, unless it is listed again before.
    pub fn lapse(&self, id: &str, at: Duration) {
        let mut state = self.state();
        let Some(key) = state.ids.get(id).copied() else {
            return;
        };
        if let Some(server) = state.arena.get_mut(key) {
            server.lapses.get_or_insert(at);
        }
    }

    /// Forgets endpoints whose entries have lapsed for too long.
    pub fn sweep(&self, now: Duration) {
        let lapsed: Vec<String> = {
            let state = self.state();
            let due = |s: &&Server| s.lapses.is_some_and(|at| at <= now);
            let ids = state.arena.values().filter(due);
            ids.map(|s| s.endpoint.id.clone()).collect()
        };
        for id in lapsed {
            self.remove(&id);
        }
    }

    /// Ids of all endpoints.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.state().ids.keys().cloned().collect()
    }

    /// An endpoint's newest description of itself.
    #[must_use]
    pub fn endpoint(&self, id: &str) -> Option<Endpoint> {
        let state = self.state();
        let key = state.ids.get(id)?;
        state.arena.get(*key).map(|s| s.endpoint.clone())
    }

    /// The endpoints of a service.
    #[must_use]
    pub fn listed(&self, service: &str) -> Vec<Listed> {
        let state = self.state();
        let fits = |s: &&Server| s.endpoint.service == service;
        let listed = |s: &Server| Listed {
            id: s.endpoint.id.clone(),
            born: s.endpoint.born,
            ready: s.takes_work(),
        };
        state.arena.values().filter(fits).map(listed).collect()
    }

    /// Requests of this instance that run at the endpoints of a service, by endpoint and model.
    #[must_use]
    pub fn running(&self, service: &str) -> Vec<(String, Target, u32)> {
        let state = self.state();
        let mut running = Vec::new();
        for server in state.arena.values() {
            if server.endpoint.service != service {
                continue;
            }
            for (target, count) in &server.running {
                running.push((server.endpoint.id.clone(), target.clone(), *count));
            }
        }
        running
    }

    /// Takes over the lease holder's view.
    pub fn view(&self, views: &[View], now: Duration) {
        {
            let mut state = self.state();
            for view in views {
                let key = state.ids.get(&view.id).copied();
                let Some(server) = key.and_then(|k| state.arena.get_mut(k)) else {
                    continue;
                };
                let older = view.accepted < server.accepted;
                if view.born != server.endpoint.born || older {
                    continue;
                }
                server.viewed = Some(now);
                server.accepted = view.accepted;
                server.models.clone_from(&view.models);
                server.closing.clone_from(&view.closing);
                server.told = view.load;
                server.reported = (view.running, view.queued);
                server.sent = 0;
                if view.leaving {
                    server.endpoint.state = EndpointState::Draining;
                }
            }
        }
        self.bump();
    }

    /// Chooses an endpoint.
    #[must_use]
    pub fn pick(&self, need: &Need<'_>, now: Duration) -> Option<Picked> {
        let state = self.state();
        let fits = |s: &Server| {
            s.endpoint.service == need.service
                && s.takes_work()
                && !need.tried.contains(&s.endpoint.id)
                && need.target.is_none_or(|t| s.holds(t, now))
        };
        let fitting: Vec<(ServerKey, &Server)> =
            state.arena.iter().filter(|(_, s)| fits(s)).collect();
        let candidates: Vec<Candidate> = fitting
            .iter()
            .enumerate()
            .map(|(at, (_, s))| s.candidate(at, need, state.gap, now))
            .collect();
        let (key, server) = fitting.get(choose(&candidates, rand::random::<u16>().into())?)?;
        Some(Picked {
            key: *key,
            id: server.endpoint.id.clone(),
            address: server.endpoint.address,
            wait: server.wait(state.run_time.unwrap_or(RUN_TIME)),
        })
    }

    /// Learns the time between two events of an endpoint, from some of them in a row.
    pub fn paced(&self, key: ServerKey, gap: Duration, now: Duration) {
        let mut state = self.state();
        let usual = if state.gap.is_zero() { gap } else { state.gap };
        state.gap = usual.mul_f64(1.0 - RUN_NEWEST) + gap.min(usual * 4).mul_f64(RUN_NEWEST);
        if let Some(server) = state.arena.get_mut(key) {
            let before = server.gap.map_or(gap, |(before, _)| before);
            server.gap = Some(((before + gap) / 2, now));
        }
    }

    /// Learns how long a stream ran after its first event.
    pub fn ran(&self, time: Duration) {
        let mut state = self.state();
        let before = state.run_time.unwrap_or(RUN_TIME);
        state.run_time = Some(before.mul_f64(1.0 - RUN_NEWEST) + time.mul_f64(RUN_NEWEST));
    }

    /// Counts a request at an endpoint until the guard is dropped.
    #[must_use]
    pub fn enter(&self, key: ServerKey, target: Option<&Target>, shared: Option<&str>) -> Running {
        let mut state = self.state();
        if let Some(server) = state.arena.get_mut(key) {
            server.own += 1;
            server.told += 1;
            server.sent += 1;
            if let Some(target) = target {
                *server.running.entry(target.clone()).or_default() += 1;
                if let Some(part) = shared {
                    let seen = server.seen.entry(target.model.clone()).or_default();
                    seen.insert(part.to_owned());
                }
            }
        }
        Running {
            servers: self.clone(),
            key,
            target: target.cloned(),
        }
    }

    fn leave(&self, key: ServerKey, target: Option<&Target>) {
        let mut state = self.state();
        let Some(server) = state.arena.get_mut(key) else {
            return;
        };
        server.own = server.own.saturating_sub(1);
        server.told = server.told.saturating_sub(1);
        let Some(target) = target else {
            return;
        };
        if let Some(count) = server.running.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                server.running.remove(target);
            }
        }
    }

    /// Learns from how a request ended.
    pub fn learn(&self, key: ServerKey, health: Health, now: Duration) {
        let mut state = self.state();
        let Some(server) = state.arena.get_mut(key) else {
            return;
        };
        let failed = f64::from(u8::from(health == Health::Bad));
        server.failing += NEWEST * (failed - server.failing);
        match health {
            Health::Good => server.strikes = 0,
            Health::Bad => server.strikes += 1,
        }
        if server.strikes >= STRIKES {
            server.strikes = 0;
            server.ejected = now + EJECTED;
            log::warn!(endpoint = server.endpoint.id.as_str(), failing = server.failing;
                "endpoint ejected for a short time");
        }
    }

    /// Learns that an endpoint does not hold a model or adapter.
    pub fn lacks(&self, key: ServerKey, target: &Target, now: Duration) {
        if let Some(server) = self.state().arena.get_mut(key) {
            server.absent.retain(|_, until| *until > now);
            server.absent.insert(target.clone(), now + ABSENT);
        }
    }
}

/// A request that runs at an endpoint.
#[derive(Debug)]
pub struct Running {
    servers: Servers,
    key: ServerKey,
    target: Option<Target>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.servers.leave(self.key, self.target.as_ref());
    }
}
