//! Choice of the endpoint for a request.
//!
//! Decisions only: no I/O, no clock, no random numbers of its own. Two endpoints are drawn, those
//! believed to hold the request's prefix join them, and the one with the least expected time to
//! first token is chosen. Reports of load lag, so what this instance sent since then is added.
//! Cache events come late and with gaps: a hint makes an endpoint a candidate and never more.

use std::collections::BTreeMap;
use std::time::Duration;

use self::endpoint_state::EndpointState;
use self::hints::PrefixHints;

mod endpoint_state;
pub mod hints;

/// Index of an endpoint in its owner's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// Digest of the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prefix(pub u64);

/// Share of the time to first token that remains where the prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.4;
/// Time added for an endpoint in another failure domain.
const REMOTE_DOMAIN_PENALTY: Duration = Duration::from_millis(3);
/// Time to first token of an endpoint that is not yet known.
const DEFAULT_TTFT: Duration = Duration::from_millis(200);

/// What an instance knows of the endpoints that it chooses among.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::balancer::{Balancer, EndpointKey};
///
/// let (a, b) = (EndpointKey(0), EndpointKey(1));
/// let now = Duration::from_secs(1);
/// let mut balancer = Balancer::default();
/// balancer.add_endpoint(a, true);
/// balancer.add_endpoint(b, true);
/// balancer.record_load(a, 7, now);
/// assert_eq!(balancer.choose(&[a, b], None, [0, 0], now), Some(b));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    endpoints: BTreeMap<EndpointKey, EndpointState>,
    hints: PrefixHints,
}

impl Balancer {
    /// Adds an endpoint; `same_domain` tells whether it is in the instance's failure domain.
    pub fn add_endpoint(&mut self, endpoint: EndpointKey, same_domain: bool) {
        self.endpoints
            .insert(endpoint, EndpointState::new(same_domain));
    }

    /// Forgets an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
        self.hints.remove_endpoint(endpoint);
    }

    /// Learns the load, running and queued, that an endpoint reported of a time.
    pub fn record_load(&mut self, endpoint: EndpointKey, load: u32, at: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_load(load, at);
        }
    }

    /// Learns a cache event: whether an endpoint stored a prefix or dropped it.
    pub fn record_cache_event(
        &mut self,
        endpoint: EndpointKey,
        prefix: Prefix,
        stored: bool,
        at: Duration,
    ) {
        if stored {
            self.hints.add(prefix, endpoint, at);
        } else {
            self.hints.remove(prefix, endpoint);
        }
    }

    /// Learns that a request was sent.
    pub fn record_sent(&mut self, endpoint: EndpointKey, prefix: Option<Prefix>, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_sent(now);
        }
        if let Some(prefix) = prefix {
            self.hints.add(prefix, endpoint, now);
        }
    }

    /// Learns the time to first token of a request that was sent at a time with this load ahead.
    pub fn record_first_token(
        &mut self,
        endpoint: EndpointKey,
        ahead: u32,
        took: Duration,
        now: Duration,
    ) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_first_token(ahead, took, now);
        }
    }

    /// Learns that a request ended, in whatever way.
    pub fn record_end(&mut self, endpoint: EndpointKey, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_end(now);
        }
    }

    /// Requests believed to be at an endpoint.
    #[must_use]
    pub fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, EndpointState::load)
    }

    /// Expected time to first token of one more request; none where the speed is not known.
    #[must_use]
    pub fn expected_ttft(&self, endpoint: EndpointKey, now: Duration) -> Option<Duration> {
        let state = self.endpoints.get(&endpoint)?;
        let unit_secs = state.recent_unit_secs(now)?;
        Duration::try_from_secs_f64(unit_secs * f64::from(state.load() + 1)).ok()
    }

    /// Chooses one of some endpoints; `draws` are two random numbers.
    ///
    /// None is returned where there is no endpoint to choose from.
    #[must_use]
    pub fn choose(
        &self,
        endpoints: &[EndpointKey],
        prefix: Option<Prefix>,
        draws: [u32; 2],
        now: Duration,
    ) -> Option<EndpointKey> {
        let hinted = prefix.map_or_else(Vec::new, |p| self.hints.holders(p, now));
        let mut candidates = sample_two(endpoints, draws);
        candidates.extend(hinted.iter().filter(|e| endpoints.contains(e)));
        let median_secs = self.median_unit_secs(endpoints, now);
        candidates
            .into_iter()
            .map(|e| {
                (
                    self.expected_secs(e, hinted.contains(&e), median_secs, now),
                    e,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| e)
    }

    /// Expected time to first token, in seconds.
    fn expected_secs(
        &self,
        endpoint: EndpointKey,
        hinted: bool,
        median_secs: f64,
        now: Duration,
    ) -> f64 {
        let Some(state) = self.endpoints.get(&endpoint) else {
            return median_secs;
        };
        let factor = if hinted { CACHED_PREFIX_FACTOR } else { 1.0 };
        let penalty = if state.same_domain {
            Duration::ZERO
        } else {
            REMOTE_DOMAIN_PENALTY
        };
        let queue = f64::from(state.load());
        state.decayed_unit_secs(median_secs, now) * (queue + factor) + penalty.as_secs_f64()
    }

    /// Median time that a request adds, in seconds.
    fn median_unit_secs(&self, endpoints: &[EndpointKey], now: Duration) -> f64 {
        let mut samples: Vec<f64> = endpoints
            .iter()
            .filter_map(|e| self.endpoints.get(e)?.recent_unit_secs(now))
            .collect();
        samples.sort_by(f64::total_cmp);
        let middle = samples.len() / 2;
        samples
            .get(middle)
            .copied()
            .unwrap_or(DEFAULT_TTFT.as_secs_f64())
    }
}

/// Two different endpoints, or as many as there are.
fn sample_two(endpoints: &[EndpointKey], draws: [u32; 2]) -> Vec<EndpointKey> {
    let Ok(count) = u32::try_from(endpoints.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let first = draws[0] % count;
    let mut chosen = vec![endpoints[first as usize]];
    if count > 1 {
        let step = 1 + draws[1] % (count - 1);
        chosen.push(endpoints[((first + step) % count) as usize]);
    }
    chosen
}
