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
    pub near: bool,
    /// Whether it likely keeps the shared start of the prompt.
    pub cached: bool,
    /// Share of its recent answers that failed, 0 to 1.
    pub failing: f64,
    /// Time between its events against that of its fellows; 1 where it is as fast as they are.
    pub slowness: f64,
    /// Whether it is out of use for a short time after failures in a row.
    pub ejected: bool,
}

/// Worth of staying in the failure domain, as a share of an endpoint's slots.
///
/// A crossing costs about a millisecond, as much as one more request in a batch of 64.
const NEAR_SHARE: f64 = 0.015;
/// Worth of a kept shared start, as a share of an endpoint's slots: some milliseconds of prefill,
/// as much as one more request.
const CACHED_SHARE: f64 = 0.015;
/// Cost of an endpoint that fails all requests, as a share of its slots: more than a full one.
const FAILING_SHARE: f64 = 2.0;
/// Slowness from which an endpoint is avoided; models differ by less than this.
const SLOW_FROM: f64 = 2.5;
/// Cost of each further multiple, as a share of an endpoint's slots.
const SLOW_SHARE: f64 = 0.5;
/// Cost of an ejected endpoint: used only where no other is left.
const EJECTED_SHARE: f64 = 100.0;
/// Cost of each request beyond the slots, which waits for another to end.
const WAITING_SHARE: f64 = 1.0;

/// Bits of a draw that decide on the half.
const DRAWN_BITS: usize = 16;

impl Candidate {
    fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let load = f64::from(self.load) / slots;
        let waiting = f64::from((self.load + 1).saturating_sub(self.slots)) / slots;
        let flag = |on: bool, cost: f64| if on { cost } else { 0.0 };
        load + waiting * WAITING_SHARE
            + flag(!self.near, NEAR_SHARE)
            + flag(!self.cached, CACHED_SHARE)
            + self.failing * FAILING_SHARE
            + (self.slowness - SLOW_FROM).max(0.0) * SLOW_SHARE
            + flag(self.ejected, EJECTED_SHARE)
    }
}

/// Candidates from which on only a random half is looked at, so that instances with the same
/// somewhat old view do not all choose the same endpoint.
const HERD: usize = 4;

/// The cheapest candidate; `draw` decides between equal ones, and which half is looked at.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::pick::{Candidate, choose};
///
/// let idle = Candidate {
///     index: 0, load: 0, slots: 6, near: true, cached: false, failing: 0.0,
///     slowness: 1.0, ejected: false,
/// };
/// let busy = Candidate { index: 1, load: 6, ..idle };
/// assert_eq!(choose(&[busy, idle], 0), Some(0));
/// ```
#[must_use]
pub fn choose(candidates: &[Candidate], draw: usize) -> Option<usize> {
    let drawn = |at: usize| draw >> (at % DRAWN_BITS) & 1 == 1;
    let half: Vec<Candidate> = candidates
        .iter()
        .enumerate()
        .filter(|(at, _)| candidates.len() >= HERD && drawn(*at))
        .map(|(_, c)| *c)
        .collect();
    let candidates = if half.is_empty() { candidates } else { &half };
    let best = candidates
        .iter()
        .map(Candidate::cost)
        .min_by(f64::total_cmp)?;
    let equal: Vec<&Candidate> = candidates
        .iter()
        .filter(|c| c.cost() <= best + f64::EPSILON)
        .collect();
    equal.get(draw % equal.len().max(1)).map(|c| c.index)
}
