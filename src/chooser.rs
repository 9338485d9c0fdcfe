//! Chooses an endpoint for each request of an instance and records how the request went.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::balancer::{Balancer, EndpointKey, Prefix};
use crate::clock::Clock;
use crate::endpoint_registry::Endpoint;
use crate::inflight::{Inflight, InflightGuard};

/// Expected wait at an endpoint above which requests are queued in this instance instead.
const MAX_ENDPOINT_WAIT: Duration = Duration::from_millis(250);
/// Number of leading bytes of a request body that identify its prompt prefix.
const PREFIX_BYTES: usize = 1024;

#[derive(Debug, Default)]
struct State {
    balancer: Balancer,
    keys: BTreeMap<String, EndpointKey>,
    next_key: u32,
}

/// Chooses endpoints for requests; clones share their state.
#[derive(Debug, Clone)]
pub struct Chooser {
    state: Arc<Mutex<State>>,
    inflight: Inflight,
    clock: Clock,
    domain: String,
}

/// An endpoint that may take a request, with its reported load.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Last reported number of running and queued requests, and its time; `None` without a report.
    pub load: Option<(u32, Duration)>,
}

/// A request in progress at an endpoint; dropping it records its end.
#[derive(Debug)]
pub struct ActiveRequest {
    chooser: Chooser,
    key: EndpointKey,
    load_ahead: u32,
    sent_at: Duration,
    _running: InflightGuard,
}

impl Chooser {
    /// Creates a chooser for an instance in the given failure domain.
    #[must_use]
    pub fn new(clock: Clock, domain: String) -> Self {
        Self {
            state: Arc::default(),
            inflight: Inflight::default(),
            clock,
            domain,
        }
    }

    /// Requests in progress from this instance, by endpoint.
    #[must_use]
    pub const fn inflight(&self) -> &Inflight {
        &self.inflight
    }

    /// The endpoint with the least expected time to first token.
    #[must_use]
    pub fn choose(&self, candidates: &[Candidate<'_>], prefix: Option<Prefix>) -> Option<Endpoint> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut keys = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let key = state.key(candidate.endpoint, &self.domain);
            if let Some((load, at)) = candidate.load {
                state.balancer.record_load(key, load, at);
            }
            keys.push(key);
        }
        let draws = [rand::random(), rand::random()];
        let chosen = state.balancer.choose(&keys, prefix, draws, now)?;
        let index = keys.iter().position(|key| *key == chosen)?;
        candidates.get(index).map(|c| c.endpoint.clone())
    }

    /// Expected time to first token of one more request; `None` if the speed is unknown.
    #[must_use]
    pub fn expected_ttft(&self, endpoint: &Endpoint) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.key(endpoint, &self.domain);
        state.balancer.expected_ttft(key, now)
    }

    /// Whether one more request would start soon at an endpoint; `true` if its speed is unknown.
    #[must_use]
    pub fn has_capacity(&self, endpoint: &Endpoint) -> bool {
        self.expected_ttft(endpoint)
            .is_none_or(|wait| wait <= MAX_ENDPOINT_WAIT)
    }

    /// Records that a request is sent to an endpoint.
    #[must_use]
    pub fn start_request(&self, endpoint: &Endpoint, prefix: Option<Prefix>) -> ActiveRequest {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.key(endpoint, &self.domain);
        let load_ahead = state.balancer.load(key);
        state.balancer.record_sent(key, prefix, now);
        drop(state);
        ActiveRequest {
            chooser: self.clone(),
            key,
            load_ahead,
            sent_at: now,
            _running: self.inflight.start(&endpoint.listed.name),
        }
    }

    /// Removes the endpoints that are no longer listed.
    pub fn retain_listed(&self, listed: &BTreeMap<String, Endpoint>) {
        let mut state = self.lock();
        let removed: Vec<String> = state
            .keys
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in removed {
            if let Some(key) = state.keys.remove(&name) {
                state.balancer.remove_endpoint(key);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn key(&mut self, endpoint: &Endpoint, domain: &str) -> EndpointKey {
        if let Some(key) = self.keys.get(&endpoint.listed.name) {
            return *key;
        }
        let key = EndpointKey(self.next_key);
        self.next_key = self.next_key.wrapping_add(1);
        self.keys.insert(endpoint.listed.name.clone(), key);
        self.balancer
            .add_endpoint(key, endpoint.listed.domain == domain);
        key
    }
}

impl ActiveRequest {
    /// Records that the first byte of the response has arrived.
    pub fn record_first_byte(&self) {
        let now = self.chooser.clock.now();
        let took = now.saturating_sub(self.sent_at);
        self.chooser
            .lock()
            .balancer
            .record_first_token(self.key, self.load_ahead, took, now);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.chooser.clock.now();
        self.chooser.lock().balancer.record_end(self.key, now);
    }
}

/// Digest of the model and the leading bytes of a request body.
#[must_use]
pub fn prefix_digest(model: &str, body: &[u8]) -> Prefix {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(body.get(..PREFIX_BYTES).unwrap_or(body));
    let mut digest = [0; 8];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Prefix(u64::from_le_bytes(digest))
}
