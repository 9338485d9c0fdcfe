//! One endpoint, and what is believed of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::edge::{Endpoint, EndpointState, Models, Target};
use super::super::pick::Candidate;
use super::SelectionCriteria;

/// Time after which the lease holder's view of an endpoint no longer outranks the server list.
const VIEW_TTL: Duration = Duration::from_secs(1);
/// Time after which an endpoint's pace no longer counts, so that a slow one is tried again.
const INTERVAL_TTL: Duration = Duration::from_secs(4);

/// How a request at an endpoint ended, as far as it speaks about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It answered.
    Success,
    /// It failed, fell silent or broke off.
    Failure,
}

/// The lease holder's view of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointView {
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds; 0 where unknown.
    pub started_ms: u64,
    /// Orders that it accepted.
    pub accepted_orders: u64,
    /// Models that it holds, each with its adapters.
    pub models: Models,
    /// Models that are about to be unloaded there.
    pub unloading: BTreeSet<String>,
    /// Requests running or waiting there, from all instances.
    pub load: u32,
    /// Requests that its engine ran when it reported last.
    pub running: u32,
    /// Requests that waited in its engine then.
    pub queued: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// An endpoint and what is believed of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its description of itself.
    pub endpoint: Endpoint,
    /// Models that it is believed to hold.
    pub models: Models,
    /// Orders that it accepted, as far as known.
    pub accepted_orders: u64,
    /// Models that take no new requests here.
    pub unloading: BTreeSet<String>,
    /// Requests of this instance that run here, by model.
    pub running: BTreeMap<Target, u32>,
    /// Requests of all instances, as the lease holder last told.
    pub(super) fleet_load: u32,
    pub(super) local_load: u32,
    pub(super) engine_load: (u32, u32),
    pub(super) recent_sends: u32,
    pub(super) absent_until: BTreeMap<Target, Duration>,
    pub(super) failure_rate: f64,
    /// Time between its events, and when that was seen.
    pub(super) event_interval: Option<(Duration, Duration)>,
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Duration,
    pub(super) viewed_at: Option<Duration>,
    pub(super) expires_at: Option<Duration>,
    pub(super) seen_prefixes: BTreeMap<String, BTreeSet<String>>,
}

impl Server {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            models: endpoint.models.clone(),
            accepted_orders: 0,
            endpoint,
            unloading: BTreeSet::new(),
            running: BTreeMap::new(),
            fleet_load: 0,
            local_load: 0,
            engine_load: (0, 0),
            recent_sends: 0,
            absent_until: BTreeMap::new(),
            failure_rate: 0.0,
            event_interval: None,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            viewed_at: None,
            expires_at: None,
            seen_prefixes: BTreeMap::new(),
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether it can run a request for a model or adapter.
    #[must_use]
    pub fn can_run(&self, target: &Target, now: Duration) -> bool {
        if self.unloading.contains(&target.model) {
            return false;
        }
        if self
            .absent_until
            .get(target)
            .is_some_and(|until| *until > now)
        {
            return false;
        }
        // An entry that came while a view was fresh may be newer than that view; an endpoint that
        // lacks the model says so without running the request.
        target.held_in(&self.models)
            || (!self.is_view_fresh(now) && target.held_in(&self.endpoint.models))
    }

    /// Whether the lease holder's view is fresh.
    fn is_view_fresh(&self, now: Duration) -> bool {
        self.viewed_at.is_some_and(|at| now < at + VIEW_TTL)
    }

    pub(super) fn update(&mut self, endpoint: Endpoint, now: Duration) {
        let restarted = endpoint.born != self.endpoint.born;
        let draining = !restarted && self.endpoint.state == EndpointState::Draining;
        let view_fresh = self.is_view_fresh(now);
        if restarted {
            *self = Self::new(endpoint);
            return;
        }
        if endpoint.beat < self.endpoint.beat {
            return;
        }
        if !view_fresh {
            self.models.clone_from(&endpoint.models);
            self.unloading.clear();
        }
        self.endpoint = endpoint;
        if draining {
            self.endpoint.state = EndpointState::Draining;
        }
        self.expires_at = None;
    }

    /// Time that a request waits before it runs: the queue moves on as fast as runs end.
    pub(super) fn expected_wait(&self, run_time: Duration) -> Duration {
        let (running, queued) = self.engine_load;
        if queued == 0 {
            return Duration::ZERO;
        }
        let ahead = f64::from(queued + self.recent_sends);
        run_time.mul_f64(ahead / f64::from(running.max(1)))
    }

    pub(super) fn candidate(
        &self,
        index: usize,
        criteria: &SelectionCriteria<'_>,
        usual_interval: Duration,
        now: Duration,
    ) -> Candidate {
        let (near, prompt_prefix) = (criteria.domain, criteria.prompt_prefix);
        let measured = self
            .event_interval
            .filter(|(_, at)| now < *at + INTERVAL_TTL);
        let interval = measured
            .map_or(usual_interval, |(interval, _)| interval)
            .as_secs_f64();
        let cached = prompt_prefix
            .is_some_and(|prefix| self.seen_prefixes.values().any(|s| s.contains(prefix)));
        Candidate {
            index,
            load: self.fleet_load.max(self.local_load),
            slots: self.endpoint.slots,
            near: self.endpoint.domain == near,
            cached,
            failing: self.failure_rate,
            slowness: if usual_interval.is_zero() {
                1.0
            } else {
                interval / usual_interval.as_secs_f64()
            },
            ejected: self.ejected_until > now,
        }
    }
}
