//! Selects the endpoint for a request by cost.

/// An endpoint that can run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index that identifies the candidate to the caller of [`choose`].
    pub index: usize,
    /// Known number of requests running and queued on it.
    pub load: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is in the failure domain of this instance.
    pub same_domain: bool,
    /// Whether it probably has the shared prompt prefix in its cache.
    pub prefix_cached: bool,
    /// Share of its recent responses that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Time between its stream events relative to that of all endpoints; 1 if equally fast.
    pub slowness: f64,
    /// Whether it is temporarily ejected after consecutive failures.
    pub ejected: bool,
    /// Cost of its load where its service states paces: expected late streams, or time to the
    /// answer of a call in multiples of the usual one; none where its load alone counts.
    pub expected: Option<f64>,
}

/// Cost of leaving the failure domain, as a share of an endpoint's slots.
///
/// Crossing takes about a millisecond, as much as one more request in a batch of 64.
const CROSS_DOMAIN_COST_SHARE: f64 = 0.015;
/// Cost of a prompt prefix that is not cached, as a share of an endpoint's slots.
///
/// The prefill takes some milliseconds, as much as one more request.
const UNCACHED_COST_SHARE: f64 = 0.015;
/// Cost of an endpoint that fails all requests, as a share of its slots: above that of a full one.
const FAILING_COST_SHARE: f64 = 2.0;
/// Slowness from which an endpoint is penalized; models differ by less than this.
const SLOWNESS_THRESHOLD: f64 = 2.5;
/// Cost per unit of slowness above the threshold, as a share of an endpoint's slots.
const SLOWNESS_COST_SHARE: f64 = 0.5;
/// Cost of an ejected endpoint, as a share of its slots: used only if no other is left.
const EJECTED_COST_SHARE: f64 = 100.0;
/// Extra cost, in slots, of each request beyond the slots: it waits for another one to end.
const QUEUED_COST_SLOTS: f64 = 1.0;

/// Bits of the random number that select the candidates of the sample.
const SAMPLE_BITS: usize = 16;

impl Candidate {
    fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let load = f64::from(self.load) / slots;
        let queued = f64::from((self.load + 1).saturating_sub(self.slots)) / slots;
        let flag = |on: bool, cost: f64| if on { cost } else { 0.0 };
        self.expected.unwrap_or(load)
            + queued * QUEUED_COST_SLOTS
            + flag(!self.same_domain, CROSS_DOMAIN_COST_SHARE)
            + flag(!self.prefix_cached, UNCACHED_COST_SHARE)
            + self.failure_rate * FAILING_COST_SHARE
            + (self.slowness - SLOWNESS_THRESHOLD).max(0.0) * SLOWNESS_COST_SHARE
            + flag(self.ejected, EJECTED_COST_SHARE)
    }
}

/// Number of candidates from which only a random half is considered.
///
/// This keeps instances that share the same stale view from all choosing the same endpoint.
const MIN_SAMPLED_CANDIDATES: usize = 4;

/// Selects the cheapest candidate; `random` breaks ties and determines the sampled half.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::selection::{Candidate, choose};
///
/// let idle = Candidate {
///     index: 0, load: 0, slots: 6, same_domain: true, prefix_cached: false,
///     failure_rate: 0.0, slowness: 1.0, ejected: false, expected: None,
/// };
/// let busy = Candidate { index: 1, load: 6, ..idle };
/// assert_eq!(choose(&[busy, idle], 0), Some(0));
/// ```
#[must_use]
pub fn choose(candidates: &[Candidate], random: usize) -> Option<usize> {
    let sampled = |index: usize| random >> (index % SAMPLE_BITS) & 1 == 1;
    let sample: Vec<Candidate> = candidates
        .iter()
        .enumerate()
        .filter(|(index, _)| candidates.len() >= MIN_SAMPLED_CANDIDATES && sampled(*index))
        .map(|(_, c)| *c)
        .collect();
    let candidates = if sample.is_empty() {
        candidates
    } else {
        &sample
    };
    let best = candidates
        .iter()
        .map(Candidate::cost)
        .min_by(f64::total_cmp)?;
    let equal: Vec<&Candidate> = candidates
        .iter()
        .filter(|c| c.cost() <= best + f64::EPSILON)
        .collect();
    equal.get(random % equal.len().max(1)).map(|c| c.index)
}
