//! Choice of an endpoint among those that can run a request.

/// An endpoint that can run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Place among the candidates, to tell them apart.
    pub index: usize,
    /// Requests running and waiting there, as far as known.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the failure domain of this instance.
    pub same_domain: bool,
    /// Whether it likely keeps the shared start of the prompt.
    pub prefix_cached: bool,
    /// Share of its recent answers that failed, 0 to 1.
    pub failure_rate: f64,
    /// Time between its events against that of its fellows; 1 where it is as fast as they are.
    pub slowness: f64,
    /// Whether it is out of use for a short time after failures in a row.
    pub ejected: bool,
}

/// Worth of staying in the failure domain, as a share of an endpoint's slots.
///
/// A crossing costs about a millisecond, as much as one more request in a batch of 64.
const CROSS_DOMAIN_COST_SHARE: f64 = 0.015;
/// Worth of a kept shared start, as a share of an endpoint's slots: some milliseconds of prefill,
/// as much as one more request.
const UNCACHED_COST_SHARE: f64 = 0.015;
/// Cost of an endpoint that fails all requests, as a share of its slots: more than a full one.
const FAILING_COST_SHARE: f64 = 2.0;
/// Slowness from which an endpoint is avoided; models differ by less than this.
const SLOWNESS_THRESHOLD: f64 = 2.5;
/// Cost of each further multiple, as a share of an endpoint's slots.
const SLOWNESS_COST_SHARE: f64 = 0.5;
/// Cost of an ejected endpoint: used only where no other is left.
const EJECTED_COST_SHARE: f64 = 100.0;
/// Cost of each request beyond the slots, which waits for another to end.
const QUEUED_COST_SLOTS: f64 = 1.0;

/// Bits of a draw that decide on the half.
const SAMPLE_BITS: usize = 16;

impl Candidate {
    fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let load = f64::from(self.load) / slots;
        let queued = f64::from((self.load + 1).saturating_sub(self.slots)) / slots;
        let flag = |on: bool, cost: f64| if on { cost } else { 0.0 };
        load + queued * QUEUED_COST_SLOTS
            + flag(!self.same_domain, CROSS_DOMAIN_COST_SHARE)
            + flag(!self.prefix_cached, UNCACHED_COST_SHARE)
            + self.failure_rate * FAILING_COST_SHARE
            + (self.slowness - SLOWNESS_THRESHOLD).max(0.0) * SLOWNESS_COST_SHARE
            + flag(self.ejected, EJECTED_COST_SHARE)
    }
}

/// Candidates from which on only a random half is looked at, so that instances with the same
/// somewhat old view do not all choose the same endpoint.
const MIN_SAMPLED_CANDIDATES: usize = 4;

/// The cheapest candidate; `random` decides between equal ones, and which half is looked at.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::selection::{Candidate, choose};
///
/// let idle = Candidate {
///     index: 0, load: 0, slots: 6, same_domain: true, prefix_cached: false,
///     failure_rate: 0.0, slowness: 1.0, ejected: false,
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
