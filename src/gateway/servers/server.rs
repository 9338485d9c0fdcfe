//! One endpoint, and what is believed of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::edge::{Endpoint, EndpointState, Models, Target};
use super::super::selection::Candidate;
use super::Need;

/// Time after which the lease holder's view of an endpoint no longer outranks the server list.
const VIEW_FRESH: Duration = Duration::from_secs(1);
/// Time after which an endpoint's pace no longer counts, so that a slow one is tried again.
const PACE_FRESH: Duration = Duration::from_secs(4);

/// How a request at an endpoint ended, as far as it speaks about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Good,
    /// It failed, fell silent or broke off.
    Bad,
}

/// The lease holder's view of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds; 0 where unknown.
    pub born: u64,
    /// Orders that it accepted.
    pub accepted: u64,
    /// Models that it holds, each with its adapters.
    pub models: Models,
    /// Models that are about to be unloaded there.
    pub closing: BTreeSet<String>,
    /// Requests running or waiting there, from all instances.
    pub load: u32,
    /// Requests that its engine ran when it reported last.
    pub running: u32,
    /// Requests that waited in its engine then.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An endpoint and what is believed of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its description of itself.
    pub endpoint: Endpoint,
    /// Models that it is believed to hold.
    pub models: Models,
    /// Orders that it accepted, as far as known.
    pub accepted: u64,
    /// Models that take no new requests here.
    pub closing: BTreeSet<String>,
    /// Requests of this instance that run here, by model.
    pub running: BTreeMap<Target, u32>,
    /// Requests of all instances, as the lease holder last told.
    pub(super) told: u32,
    pub(super) own: u32,
    pub(super) reported: (u32, u32),
    pub(super) sent: u32,
    pub(super) absent: BTreeMap<Target, Duration>,
    pub(super) failing: f64,
    /// Time between its events, and when that was seen.
    pub(super) gap: Option<(Duration, Duration)>,
    pub(super) strikes: u32,
    pub(super) ejected: Duration,
    pub(super) viewed: Option<Duration>,
    pub(super) lapses: Option<Duration>,
    pub(super) seen: BTreeMap<String, BTreeSet<String>>,
}

impl Server {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            models: endpoint.models.clone(),
            accepted: 0,
            endpoint,
            closing: BTreeSet::new(),
            running: BTreeMap::new(),
            told: 0,
            own: 0,
            reported: (0, 0),
            sent: 0,
            absent: BTreeMap::new(),
            failing: 0.0,
            gap: None,
            strikes: 0,
            ejected: Duration::ZERO,
            viewed: None,
            lapses: None,
            seen: BTreeMap::new(),
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether it can run a request for a model or adapter.
    #[must_use]
    pub fn holds(&self, target: &Target, now: Duration) -> bool {
        if self.closing.contains(&target.model) {
            return false;
        }
        if self.absent.get(target).is_some_and(|until| *until > now) {
            return false;
        }
        // An entry that came while a view was fresh may be newer than that view; an endpoint that
        // lacks the model says so without running the request.
        target.held_in(&self.models) || (!self.viewed(now) && target.held_in(&self.endpoint.models))
    }

    /// Whether the lease holder's view is fresh.
    fn viewed(&self, now: Duration) -> bool {
        self.viewed.is_some_and(|at| now < at + VIEW_FRESH)
    }

    pub(super) fn adopt(&mut self, endpoint: Endpoint, now: Duration) {
        let restarted = endpoint.born != self.endpoint.born;
        let leaving = !restarted && self.endpoint.state == EndpointState::Draining;
        let viewed = self.viewed(now);
        if restarted {
            *self = Self::new(endpoint);
            return;
        }
        if endpoint.beat < self.endpoint.beat {
            return;
        }
        if !viewed {
            self.models.clone_from(&endpoint.models);
            self.closing.clear();
        }
        self.endpoint = endpoint;
        if leaving {
            self.endpoint.state = EndpointState::Draining;
        }
        self.lapses = None;
    }

    /// Time that a request waits before it runs: the queue moves on as fast as runs end.
    pub(super) fn wait(&self, run_time: Duration) -> Duration {
        let (running, queued) = self.reported;
        if queued == 0 {
            return Duration::ZERO;
        }
        let ahead = f64::from(queued + self.sent);
        run_time.mul_f64(ahead / f64::from(running.max(1)))
    }

    pub(super) fn candidate(
        &self,
        index: usize,
        need: &Need<'_>,
        gap: Duration,
        now: Duration,
    ) -> Candidate {
        let (near, shared) = (need.domain, need.shared);
        let seen = self.gap.filter(|(_, at)| now < *at + PACE_FRESH);
        let own = seen.map_or(gap, |(own, _)| own).as_secs_f64();
        let cached = shared.is_some_and(|part| self.seen.values().any(|s| s.contains(part)));
        Candidate {
            index,
            load: self.told.max(self.own),
            slots: self.endpoint.slots,
            same_domain: self.endpoint.domain == near,
            prefix_cached: cached,
            failure_rate: self.failing,
            slowness: if gap.is_zero() {
                1.0
            } else {
                own / gap.as_secs_f64()
            },
            ejected: self.ejected > now,
        }
    }
}
