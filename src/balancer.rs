//! Load balancing of requests over endpoints.
//!
//! This module only makes decisions: it does no I/O and reads no clock, and random numbers are
//! passed in. The candidates are two random endpoints and those expected to have the request's
//! prefix cached; the one with the least expected time to first token (TTFT) is chosen. Load
//! reports lag, so the requests that this instance has sent or seen end since a report are applied
//! to it. Cache events arrive late and some are lost, so a hint makes an endpoint a candidate but
//! never forces its choice.

use std::collections::BTreeMap;
use std::time::Duration;

use self::endpoint_state::EndpointState;
use self::hints::PrefixHints;

mod endpoint_state;
pub mod hints;

/// Key of an endpoint, assigned by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// Digest of the leading part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prefix(pub u64);

/// Fraction of a request's time to first token that remains if its prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.4;
/// Time added to the expected TTFT of an endpoint in another failure domain.
const REMOTE_DOMAIN_PENALTY: Duration = Duration::from_millis(3);
/// Time to first token per request of load, assumed while no endpoint has recent samples.
const DEFAULT_TTFT: Duration = Duration::from_millis(200);

/// Load, speed and cached prefixes of the endpoints, as known to one instance.
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
    /// Adds an endpoint; `same_domain` says whether it is in the instance's failure domain.
    pub fn add_endpoint(&mut self, endpoint: EndpointKey, same_domain: bool) {
        self.endpoints
            .insert(endpoint, EndpointState::new(same_domain));
    }

    /// Removes an endpoint and its hints.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
        self.hints.remove_endpoint(endpoint);
    }

    /// Records the number of running and queued requests that an endpoint reported for a time.
    pub fn record_load(&mut self, endpoint: EndpointKey, load: u32, at: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_load(load, at);
        }
    }

    /// Records a cache event: an endpoint stored a prefix, or dropped it.
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

    /// Records that a request was sent.
    pub fn record_sent(&mut self, endpoint: EndpointKey, prefix: Option<Prefix>, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_sent(now);
        }
        if let Some(prefix) = prefix {
            self.hints.add(prefix, endpoint, now);
        }
    }

    /// Records the time to first token of a request that found the load `ahead` at the endpoint.
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

    /// Records that a request ended, successfully or not.
    pub fn record_end(&mut self, endpoint: EndpointKey, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.record_end(now);
        }
    }

    /// Estimated number of running and queued requests at an endpoint.
    #[must_use]
    pub fn load(&self, endpoint: EndpointKey) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, EndpointState::load)
    }

    /// Expected time to first token of one more request, or `None` if the speed is unknown.
    #[must_use]
    pub fn expected_ttft(&self, endpoint: EndpointKey, now: Duration) -> Option<Duration> {
        let state = self.endpoints.get(&endpoint)?;
        let unit_secs = state.recent_unit_secs(now)?;
        Duration::try_from_secs_f64(unit_secs * f64::from(state.load() + 1)).ok()
    }

    /// Chooses one of the given endpoints; `draws` are two random numbers.
    ///
    /// Returns `None` if there is no endpoint to choose from.
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

    /// Expected time to first token at an endpoint, in seconds.
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

    /// Median time to first token per request of load, in seconds.
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

/// Selects two different endpoints, or fewer if there are fewer.
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
