//! Requests and the servers in the registry that ramp.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::super::link::RampEntry;
use super::super::ramp::{
    RampAnswer, RampGroup, RampHolder, RampNews, RampReport, RampTable, RampTarget,
    incarnation_digest,
};
use super::{SelectedEndpoint, SelectionCriteria, Server, ServerKey, Servers, State};

impl Server {
    fn ramp_target(&self) -> RampTarget {
        RampTarget {
            id: self.endpoint.id.clone(),
            started_ms: self.endpoint.start_ms,
            service: self.endpoint.service.clone(),
            slots: self.endpoint.slots,
        }
    }

    /// Whether it can run a request that it matches without a wait, as far as known.
    fn is_free(&self, now: Duration) -> bool {
        let (_, queued) = self.engine_load;
        self.ejected_until <= now && queued == 0
    }
}

impl State {
    /// Records an incarnation that is listed for the first time.
    pub(super) fn record_new(&mut self, key: ServerKey, now: Duration) {
        let listed = self.servers.get(key);
        let Some(server) = listed.filter(|s| s.accepts_requests()) else {
            return;
        };
        let target = server.ramp_target();
        let mut group = RampGroup::default();
        if self.ramps.applies(&target.service) {
            group = groups(&self.servers, &self.ramps)
                .remove(&target.service)
                .unwrap_or_default();
            group.slots = group.slots.saturating_sub(target.slots);
        }
        let news = self.ramps.record_new(&target, group, now, rand::random());
        announce(&news);
    }

    /// Drops the ramp of an endpoint that is no longer listed.
    pub(super) fn remove_ramp(&mut self, id: &str) {
        announce(self.ramps.remove(id).as_slice());
    }

    /// Records that this instance ejected an endpoint.
    pub(super) fn record_ejection(&mut self, key: ServerKey, now: Duration) {
        if let Some(server) = self.servers.get(key) {
            self.ramps.record_ejection(&server.ramp_target(), now);
        }
    }

    /// Selects those that have a permit of their ramp, else leaves out those that lack one.
    ///
    /// Permits are as many as a server is to get, so that each is used where the server has room. One
    /// without a permit remains where no other is free.
    pub(super) fn prefer_by_ramps<'a>(
        &self,
        mut matching: Vec<(ServerKey, &'a Server)>,
        now: Duration,
    ) -> Vec<(ServerKey, &'a Server)> {
        if self.ramps.is_empty() {
            return matching;
        }
        let needs_permit = |s: &Server| {
            let (id, started_ms) = (&s.endpoint.id, s.endpoint.start_ms);
            self.ramps.needs_permit(id, started_ms, now)
        };
        let has_room = |s: &Server| s.local_load.max(s.fleet_load) < s.endpoint.slots;
        let permitted = |s: &Server| s.is_free(now) && has_room(s) && self.has_ramp_permit(s, now);
        if matching.iter().any(|(_, s)| permitted(s)) {
            matching.retain(|(_, s)| permitted(s));
            return matching;
        }
        if matching
            .iter()
            .any(|(_, s)| s.is_free(now) && !needs_permit(s))
        {
            matching.retain(|(_, s)| !needs_permit(s));
        }
        matching
    }

    /// Uses the permit with which an endpoint was selected; false where it is gone.
    ///
    /// An endpoint that was selected without one is the only one that can run the request.
    pub(super) fn take_ramp_permit(&mut self, selected: &SelectedEndpoint, now: Duration) -> bool {
        let (id, started_ms) = (&selected.id, selected.started_ms);
        !selected.needs_ramp_permit || self.ramps.take(id, started_ms, now)
    }

    /// Whether a selected server ramps and has a permit.
    pub(super) fn has_ramp_permit(&self, server: &Server, now: Duration) -> bool {
        let (id, started_ms) = (&server.endpoint.id, server.endpoint.start_ms);
        self.ramps.is_ramping(id, started_ms) && !self.ramps.needs_permit(id, started_ms, now)
    }
}

impl Servers {
    /// Records that an endpoint of a service reports its pace, so that ramps apply to the service.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::servers::Servers;
    ///
    /// let servers = Servers::default();
    /// servers.enable_ramps("files");
    /// assert!(servers.ramps_apply("files") && !servers.ramps_apply("pages"));
    /// ```
    pub fn enable_ramps(&self, service: &str) {
        self.state().ramps.enable(service);
    }

    /// Whether ramps apply to a service.
    #[must_use]
    pub fn ramps_apply(&self, service: &str) -> bool {
        self.state().ramps.applies(service)
    }

    /// Number of ramps in progress of each service to which ramps apply.
    #[must_use]
    pub fn ramps_in_progress(&self) -> BTreeMap<String, u64> {
        self.state().ramps.in_progress()
    }

    /// The bound of an incarnation, in requests a second; none where it does not ramp.
    #[must_use]
    pub fn ramp_bound(&self, id: &str, started_ms: u64) -> Option<f64> {
        self.state().ramps.bound(id, started_ms)
    }

    /// Counts a request that could use a permit of a server that ramps.
    pub fn record_ramp_wanted(&self, criteria: &SelectionCriteria<'_>, now: Duration) {
        let mut state = self.state();
        if state.ramps.is_empty() {
            return;
        }
        let matching = state.servers.values().filter(|s| s.matches(criteria, now));
        let ramping = matching.map(|s| &s.endpoint);
        let ramping = ramping.filter(|e| state.ramps.is_ramping(&e.id, e.start_ms));
        let ids: Vec<String> = ramping.map(|e| e.id.clone()).collect();
        state.ramps.record_wanted(&ids, now);
    }

    /// Records an answer, or that there is none.
    pub fn record_ramp_answer(&self, answer: &RampAnswer<'_>, now: Duration) {
        let mut state = self.state();
        let State { servers, ramps, .. } = &mut *state;
        if !ramps.applies(answer.service) {
            return;
        }
        let groups = if ramps.is_ramping(answer.id, answer.started_ms) {
            groups(servers, ramps)
        } else {
            BTreeMap::new()
        };
        let news = ramps.record(answer, &groups, now, rand::random());
        announce(news.as_slice());
    }

    /// What the lease holder has to know: what changed since the last report, or all.
    #[must_use]
    pub fn ramp_report(&self, all: bool, now: Duration) -> RampReport {
        self.state().ramps.report(all, now)
    }

    /// Applies the lease holder's bounds and permits.
    pub fn apply_ramps(&self, entries: &[RampEntry], instances: u32, now: Duration) {
        let mut state = self.state();
        let State { servers, ramps, .. } = &mut *state;
        let find = |digest| find(servers, digest);
        let news = ramps.apply(entries, instances, find, now, rand::random());
        announce(&news);
    }

    /// Decides the bounds as the lease holder, whose number among the instances is `own`.
    pub fn step_ramps(&self, holder: &mut RampHolder, own: u64, now: Duration) {
        let mut state = self.state();
        let State { servers, ramps, .. } = &mut *state;
        let groups = if ramps.is_empty() && holder.is_idle() {
            BTreeMap::new()
        } else {
            groups(servers, ramps)
        };
        let find = |digest| find(servers, digest);
        let news = holder.step(ramps, &groups, find, own, (now, rand::random()));
        announce(&news);
    }
}

/// Slots of the servers that accept requests, by service.
fn groups(servers: &SlotMap<ServerKey, Server>, ramps: &RampTable) -> BTreeMap<String, RampGroup> {
    let mut groups: BTreeMap<String, RampGroup> = BTreeMap::new();
    for server in servers.values().filter(|s| s.accepts_requests()) {
        let endpoint = &server.endpoint;
        if !groups.contains_key(&endpoint.service) {
            groups.insert(endpoint.service.clone(), RampGroup::default());
        }
        let Some(group) = groups.get_mut(&endpoint.service) else {
            continue;
        };
        if ramps.is_ramping(&endpoint.id, endpoint.start_ms) {
            group.ramping += endpoint.slots;
        } else {
            group.slots += endpoint.slots;
        }
    }
    groups
}

fn find(servers: &SlotMap<ServerKey, Server>, digest: u64) -> Option<RampTarget> {
    let is_it = |s: &&Server| incarnation_digest(&s.endpoint.id, s.endpoint.start_ms) == digest;
    servers.values().find(is_it).map(Server::ramp_target)
}

fn announce(news: &[RampNews]) {
    for n in news {
        let (endpoint, service) = (n.id.as_str(), n.service.as_str());
        let (bound, falls, from) = (n.bound, n.falls, n.from);
        let (in_time, slow, failed) = (n.answers.in_time, n.answers.slow, n.answers.failed);
        if n.begun {
            log::info!(endpoint = endpoint, service = service, bound = bound, falls = falls,
                peer_rate = n.peer_rate, from = from; "ramp begun");
        } else if let Some(end) = n.end {
            log::info!(endpoint = endpoint, service = service, bound = bound, falls = falls,
                in_time = in_time, slow = slow, failed = failed, peer_rate = n.peer_rate,
                reason:% = end, from = from; "ramp ended");
        } else {
            log::warn!(endpoint = endpoint, service = service, bound = bound, falls = falls,
                in_time = in_time, slow = slow, failed = failed, peer_rate = n.peer_rate,
                from = from; "ramp bound lowered");
        }
    }
}
