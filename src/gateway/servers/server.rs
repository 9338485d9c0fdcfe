//! State of a single endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::protocol::{Endpoint, EndpointState, HeldModels, Target};
use super::super::selection::Candidate;
use super::outlook::Outlook;
use super::{Pace, Pause, SelectionCriteria};

/// Age up to which the lease holder's view of an endpoint takes precedence over the server list.
const VIEW_TTL: Duration = Duration::from_secs(1);
/// Age up to which an endpoint's event interval counts; expiry lets a slow endpoint be tried again.
pub(super) const INTERVAL_TTL: Duration = Duration::from_secs(4);

/// Outcome of a request, as evidence of the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint answered.
    Success,
    /// The endpoint failed or closed the connection early.
    Failure,
    /// The endpoint sent nothing in time. Others are preferred then, but a sound endpoint goes on, so
    /// this ejects none.
    Silence,
}

/// The lease holder's view of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointView {
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds; 0 where unknown.
    pub started_ms: u64,
    /// Number of orders that it has accepted.
    pub accepted_orders: u64,
    /// Models that it holds, each with its adapters.
    pub models: HeldModels,
    /// Models that are about to be unloaded.
    pub unloading: BTreeSet<String>,
    /// Requests running or queued there, from all instances.
    pub load: u32,
    /// Requests running in its engine at the last report.
    pub running: u32,
    /// Requests queued in its engine at the last report.
    pub queued: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Distinct models among the running requests, from all instances; 0 where unknown.
    pub models_running: u32,
    /// Stated pace of its machine in percent; 0 where unknown.
    pub pace_percent: u32,
}

/// An endpoint and its state as known to this instance.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its own description, as listed.
    pub endpoint: Endpoint,
    /// Whether the list has it; one without an entry takes no new requests.
    pub(super) is_listed: bool,
    /// Models that it holds, as far as known.
    pub models: HeldModels,
    /// Number of orders that it has accepted, as far as known.
    pub accepted_orders: u64,
    /// Models about to be unloaded, which take no new requests here.
    pub unloading: BTreeSet<String>,
    /// Requests of this instance in progress here, by model.
    pub running: BTreeMap<Target, u32>,
    /// Requests of all instances: from the last view, adjusted by this instance's requests since.
    pub(super) fleet_load: u32,
    pub(super) local_load: u32,
    /// Requests running and queued in the engine, from the last view.
    pub(super) engine_load: (u32, u32),
    /// Requests sent by this instance since the last view.
    pub(super) recent_sends: u32,
    pub(super) absent_until: BTreeMap<Target, Duration>,
    pub(super) failure_rate: f64,
    /// Average time between its events, and when it was last updated.
    pub(super) event_interval: Option<(Duration, Duration)>,
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Duration,
    pub(super) pause: Pause,
    /// Belief about the pace of its machine.
    pub(super) pace: Pace,
    /// Pace that it stated with its last report to this instance as lease holder, and when.
    pub(super) report_pace: Option<(f64, Duration)>,
    /// Requests running and waiting there as it last stated, and when.
    pub(super) stated_load: Option<(u32, Duration)>,
    /// Distinct models among the running requests, from the last view.
    pub(super) models_running: u32,
    pub(super) viewed_at: Option<Duration>,
    pub(super) expires_at: Option<Duration>,
    pub(super) seen_prefixes: BTreeMap<String, BTreeSet<String>>,
}

impl Server {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            is_listed: true,
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
            pause: Pause::default(),
            pace: Pace::default(),
            report_pace: None,
            stated_load: None,
            models_running: 0,
            viewed_at: None,
            expires_at: None,
            seen_prefixes: BTreeMap::new(),
        }
    }

    /// Whether it can run a request, but for a pause that it asked for.
    pub(super) fn matches(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> bool {
        self.could_run(criteria, now) && self.has_room(criteria)
    }

    /// Whether it can run a request, but for a pause that it asked for and for room.
    pub(super) fn could_run(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> bool {
        self.endpoint.service == criteria.service
            && self.has_software(criteria.software)
            && self.accepts_requests()
            && !criteria.excluded.contains(&self.endpoint.id)
            && criteria.target.is_none_or(|t| self.can_run(t, now))
    }

    /// Whether it has this software version; any one will do where none is named.
    pub(super) fn has_software(&self, software: Option<&str>) -> bool {
        software.is_none_or(|s| s == self.endpoint.software)
    }

    /// Whether it accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.is_listed && self.endpoint.state == EndpointState::Ready
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
        // A list entry received while a view was fresh may be newer than that view. A wrong guess
        // costs little: an endpoint without the model refuses the request without running it.
        target.held_in(&self.models)
            || (!self.is_view_fresh(now) && target.held_in(&self.endpoint.models))
    }

    /// Whether the lease holder's view is recent enough to take precedence over the server list.
    fn is_view_fresh(&self, now: Duration) -> bool {
        self.viewed_at.is_some_and(|at| now < at + VIEW_TTL)
    }

    pub(super) fn update(&mut self, endpoint: Endpoint, now: Duration) {
        let restarted = endpoint.start_ms != self.endpoint.start_ms;
        let draining = !restarted && self.endpoint.state == EndpointState::Draining;
        let view_fresh = self.is_view_fresh(now);
        if restarted {
            *self = Self::new(endpoint);
            return;
        }
        if endpoint.sequence < self.endpoint.sequence {
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

    /// Expected time in the queue, which advances at the rate at which running requests end.
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
        outlook: &Outlook<'_>,
        now: Duration,
    ) -> Candidate {
        let (near, prompt_prefix) = (criteria.domain, criteria.prompt_prefix);
        let slowness = self.slowness(outlook.usual_interval, now);
        let expected = outlook.expected(self, criteria, slowness, now);
        let cached = prompt_prefix
            .is_some_and(|prefix| self.seen_prefixes.values().any(|s| s.contains(prefix)));
        Candidate {
            index,
            load: self.fleet_load.max(self.local_load),
            slots: self.endpoint.slots,
            same_domain: self.endpoint.domain == near,
            prefix_cached: cached,
            failure_rate: self.failure_rate,
            slowness: slowness.unwrap_or(1.0),
            ejected: self.ejected_until > now,
            expected: expected.map(|e| e.cost),
        }
    }
}
