//! Choice of the endpoint for a request.
//!
//! Decisions only: no I/O, no clock, no random numbers of its own. Two endpoints are drawn, those
//! believed to hold the request's prefix join them, and the one with the least expected time to
//! first token is chosen. Reports of load lag, so what this instance sent since then is added.
//! Cache events come late and with gaps: a hint makes an endpoint a candidate and never more.

use std::collections::BTreeMap;
use std::time::Duration;

use self::endpoint_state::Track;
use self::hints::Hints;

mod endpoint_state;
pub mod hints;

/// Index of an endpoint in its owner's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// Digest of the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prefix(pub u64);

/// Share of the time to first token that remains where the prefix is cached.
const HINTED_SHARE: f64 = 0.4;
/// Time added for an endpoint in another failure domain.
const FAR: Duration = Duration::from_millis(3);
/// Time to first token of an endpoint that is not yet known.
const UNKNOWN: Duration = Duration::from_millis(200);

/// What an instance knows of the endpoints that it chooses among.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::balancer::{EndpointKey, Pick};
///
/// let (a, b) = (EndpointKey(0), EndpointKey(1));
/// let now = Duration::from_secs(1);
/// let mut pick = Pick::default();
/// pick.join(a, true);
/// pick.join(b, true);
/// pick.report(a, 7, now);
/// assert_eq!(pick.choose(&[a, b], None, [0, 0], now), Some(b));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Pick {
    tracks: BTreeMap<EndpointKey, Track>,
    hints: Hints,
}

impl Pick {
    /// Adds an endpoint; `near` tells whether it is in the instance's failure domain.
    pub fn join(&mut self, endpoint: EndpointKey, near: bool) {
        self.tracks.insert(endpoint, Track::new(near));
    }

    /// Forgets an endpoint.
    pub fn leave(&mut self, endpoint: EndpointKey) {
        self.tracks.remove(&endpoint);
        self.hints.forget(endpoint);
    }

    /// Learns the load, running and queued, that an endpoint reported of a time.
    pub fn report(&mut self, endpoint: EndpointKey, load: u32, at: Duration) {
        if let Some(track) = self.tracks.get_mut(&endpoint) {
            track.report(load, at);
        }
    }

    /// Learns a cache event: whether an endpoint stored a prefix or dropped it.
    pub fn cached(&mut self, endpoint: EndpointKey, prefix: Prefix, stored: bool, at: Duration) {
        if stored {
            self.hints.add(prefix, endpoint, at);
        } else {
            self.hints.drop(prefix, endpoint);
        }
    }

    /// Learns that a request was sent.
    pub fn sent(&mut self, endpoint: EndpointKey, prefix: Option<Prefix>, now: Duration) {
        if let Some(track) = self.tracks.get_mut(&endpoint) {
            track.sent(now);
        }
        if let Some(prefix) = prefix {
            self.hints.add(prefix, endpoint, now);
        }
    }

    /// Learns the time to first token of a request that was sent at a time with this load ahead.
    pub fn first_token(
        &mut self,
        endpoint: EndpointKey,
        ahead: u32,
        took: Duration,
        now: Duration,
    ) {
        if let Some(track) = self.tracks.get_mut(&endpoint) {
            track.first_token(ahead, took, now);
        }
    }

    /// Learns that a request ended, in whatever way.
    pub fn ended(&mut self, endpoint: EndpointKey, now: Duration) {
        if let Some(track) = self.tracks.get_mut(&endpoint) {
            track.ended(now);
        }
    }

    /// Requests believed to be at an endpoint.
    #[must_use]
    pub fn load(&self, endpoint: EndpointKey) -> u32 {
        self.tracks.get(&endpoint).map_or(0, Track::load)
    }

    /// Expected time to first token of one more request; none where the speed is not known.
    #[must_use]
    pub fn expected(&self, endpoint: EndpointKey, now: Duration) -> Option<Duration> {
        let track = self.tracks.get(&endpoint)?;
        let unit = track.known(now)?;
        Duration::try_from_secs_f64(unit * f64::from(track.load() + 1)).ok()
    }

    /// Chooses one of some endpoints; `draws` are two random numbers.
    ///
    /// None is returned where there is no endpoint to choose from.
    #[must_use]
    pub fn choose(
        &self,
        among: &[EndpointKey],
        prefix: Option<Prefix>,
        draws: [u32; 2],
        now: Duration,
    ) -> Option<EndpointKey> {
        let hinted = prefix.map_or_else(Vec::new, |p| self.hints.holders(p, now));
        let mut candidates = drawn(among, draws);
        candidates.extend(hinted.iter().filter(|e| among.contains(e)));
        let usual = self.usual(among, now);
        candidates
            .into_iter()
            .map(|e| (self.cost(e, hinted.contains(&e), usual, now), e))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| e)
    }

    /// Expected time to first token, in seconds.
    fn cost(&self, endpoint: EndpointKey, hinted: bool, usual: f64, now: Duration) -> f64 {
        let Some(track) = self.tracks.get(&endpoint) else {
            return usual;
        };
        let share = if hinted { HINTED_SHARE } else { 1.0 };
        let far = if track.near { Duration::ZERO } else { FAR };
        let queue = f64::from(track.load());
        track.unit(usual, now) * (queue + share) + far.as_secs_f64()
    }

    /// Median time that a request adds, in seconds.
    fn usual(&self, among: &[EndpointKey], now: Duration) -> f64 {
        let mut units: Vec<f64> = among
            .iter()
            .filter_map(|e| self.tracks.get(e)?.known(now))
            .collect();
        units.sort_by(f64::total_cmp);
        let middle = units.len() / 2;
        units.get(middle).copied().unwrap_or(UNKNOWN.as_secs_f64())
    }
}

/// Two different endpoints, or as many as there are.
fn drawn(among: &[EndpointKey], draws: [u32; 2]) -> Vec<EndpointKey> {
    let Ok(count) = u32::try_from(among.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let first = draws[0] % count;
    let mut chosen = vec![among[first as usize]];
    if count > 1 {
        let step = 1 + draws[1] % (count - 1);
        chosen.push(among[((first + step) % count) as usize]);
    }
    chosen
}
