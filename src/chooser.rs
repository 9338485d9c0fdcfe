//! The choice of an endpoint for each request of an instance, and its feedback.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::clock::Clock;
use crate::fleet::Endpoint;
use crate::inflight::{Inflight, InflightGuard};
use crate::pick::{EndpointKey, Pick, Prefix};

/// Expected wait at an endpoint beyond which requests wait in this instance instead.
const SHORT_WAIT: Duration = Duration::from_millis(250);
/// Bytes of a body whose digest stands for the head of its prompt.
const HEAD_BYTES: usize = 1024;

#[derive(Debug, Default)]
struct State {
    pick: Pick,
    keys: BTreeMap<String, EndpointKey>,
    next: u32,
}

/// Chooses endpoints; clones share what was learnt.
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
    /// Requests running and queued as last heard, with the time; none where nothing was heard.
    pub load: Option<(u32, Duration)>,
}

/// A request at an endpoint; dropping it ends its count.
#[derive(Debug)]
pub struct Flight {
    chooser: Chooser,
    key: EndpointKey,
    ahead: u32,
    since: Duration,
    _running: InflightGuard,
}

impl Chooser {
    /// A chooser of an instance in this failure domain.
    #[must_use]
    pub fn new(clock: Clock, domain: String) -> Self {
        Self {
            state: Arc::default(),
            inflight: Inflight::default(),
            clock,
            domain,
        }
    }

    /// Requests running from this instance, by endpoint.
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
                state.pick.report(key, load, at);
            }
            keys.push(key);
        }
        let draws = [rand::random(), rand::random()];
        let chosen = state.pick.choose(&keys, prefix, draws, now)?;
        let at = keys.iter().position(|key| *key == chosen)?;
        candidates.get(at).map(|c| c.endpoint.clone())
    }

    /// Expected time to the first token of one more request; none where it is not known.
    #[must_use]
    pub fn expected(&self, endpoint: &Endpoint) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.key(endpoint, &self.domain);
        state.pick.expected(key, now)
    }

    /// Whether the requests at an endpoint let one more begin soon, as far as is known.
    #[must_use]
    pub fn has_room(&self, endpoint: &Endpoint) -> bool {
        self.expected(endpoint)
            .is_none_or(|wait| wait <= SHORT_WAIT)
    }

    /// Counts a request that is sent to an endpoint now.
    #[must_use]
    pub fn start(&self, endpoint: &Endpoint, prefix: Option<Prefix>) -> Flight {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.key(endpoint, &self.domain);
        let ahead = state.pick.load(key);
        state.pick.sent(key, prefix, now);
        drop(state);
        Flight {
            chooser: self.clone(),
            key,
            ahead,
            since: now,
            _running: self.inflight.start(&endpoint.listed.name),
        }
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain(&self, listed: &BTreeMap<String, Endpoint>) {
        let mut state = self.lock();
        let gone: Vec<String> = state
            .keys
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(key) = state.keys.remove(&name) {
                state.pick.leave(key);
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
        let key = EndpointKey(self.next);
        self.next = self.next.wrapping_add(1);
        self.keys.insert(endpoint.listed.name.clone(), key);
        self.pick.join(key, endpoint.listed.domain == domain);
        key
    }
}

impl Flight {
    /// Learns that the first byte of the answer came now.
    pub fn answering(&self) {
        let now = self.chooser.clock.now();
        let took = now.saturating_sub(self.since);
        self.chooser
            .lock()
            .pick
            .first_token(self.key, self.ahead, took, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.chooser.clock.now();
        self.chooser.lock().pick.ended(self.key, now);
    }
}

/// Digest of a model and the head of a request's body.
#[must_use]
pub fn prefix(model: &str, body: &[u8]) -> Prefix {
    let mut hash = blake3::Hasher::new();
    hash.update(model.as_bytes());
    hash.update(&[0]);
    hash.update(body.get(..HEAD_BYTES).unwrap_or(body));
    let mut head = [0; 8];
    head.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    Prefix(u64::from_le_bytes(head))
}
