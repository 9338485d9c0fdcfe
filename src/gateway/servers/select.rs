//! Selection of an endpoint for a request.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::protocol::Target;
use super::super::room::permits::RoomTicket;
use super::super::selection::{Candidate, choose};
use super::outlook::{Expected, Outlook};
use super::{DEFAULT_RUN_TIME, Server, ServerKey, Servers};

/// An endpoint selected for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedEndpoint {
    /// Key in the registry.
    pub key: ServerKey,
    /// Id of the incarnation.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Version of its software.
    pub software: String,
    /// Network address.
    pub address: SocketAddr,
    /// Expected time in the endpoint's queue.
    pub expected_wait: Duration,
    /// What the choice expected there; none where the service states no paces.
    pub expected: Option<Expected>,
    /// When it was selected.
    pub chosen_at: Duration,
    /// Whether it ramps and was selected for a permit.
    pub needs_ramp_permit: bool,
}

/// Requirements and preferences of a request for its endpoint.
#[derive(Debug, Clone, Default)]
pub struct SelectionCriteria<'a> {
    /// Service that the endpoint belongs to.
    pub service: &'a str,
    /// Model or adapter that the endpoint must hold, if any.
    pub target: Option<&'a Target>,
    /// Version of its software, if only that one will do.
    pub software: Option<&'a str>,
    /// Failure domain of this instance; an endpoint in it is preferred.
    pub domain: &'a str,
    /// Id of the prompt's shared prefix; an endpoint that has likely cached it is preferred.
    pub prompt_prefix: Option<&'a str>,
    /// Ids of endpoints that were already tried.
    pub excluded: &'a [String],
    /// Priority among requests that wait for an endpoint with a limit; 0 goes first.
    pub priority: u8,
    /// Id of the endpoint for whose permit the request waits, if any.
    pub waits_at: Option<&'a str>,
    /// Place among the requests that wait for room, if the request does.
    pub ticket: Option<RoomTicket>,
    /// Share of an endpoint's slots from which it has no room for the request; none without a bound.
    pub slot_share: Option<f64>,
    /// Longest gap between two events of a stream that is in time, if the request is a stream.
    pub gap_objective: Option<Duration>,
}

impl Servers {
    /// Selects an endpoint for a request; none if no endpoint can run it.
    #[must_use]
    pub fn select(
        &self,
        criteria: &SelectionCriteria<'_>,
        now: Duration,
    ) -> Option<SelectedEndpoint> {
        self.select_with(criteria, now, rand::random::<u16>().into())
    }

    /// The same with a random number that is passed in.
    #[must_use]
    pub fn select_with(
        &self,
        criteria: &SelectionCriteria<'_>,
        now: Duration,
        random: usize,
    ) -> Option<SelectedEndpoint> {
        let state = self.state();
        let is_open = |s: &Server| {
            let (id, started_ms) = (&s.endpoint.id, s.endpoint.start_ms);
            let waits = criteria.waits_at == Some(id);
            let limits = &state.limits;
            limits.is_open(id, started_ms, criteria.priority, waits, now)
                && state.is_room_open(s, criteria, now)
        };
        let matches =
            |s: &Server| s.matches(criteria, now) && s.pause.left(now).is_none() && is_open(s);
        let matching: Vec<(ServerKey, &Server)> =
            state.servers.iter().filter(|(_, s)| matches(s)).collect();
        let outlook = Outlook::new(&state, criteria, now);
        let matching = state.prefer_by_ramps(matching, now);
        let candidates: Vec<Candidate> = matching
            .iter()
            .enumerate()
            .map(|(at, (_, s))| s.candidate(at, criteria, &outlook, now))
            .collect();
        let (key, server) = matching.get(choose(&candidates, random)?)?;
        Some(SelectedEndpoint {
            key: *key,
            id: server.endpoint.id.clone(),
            started_ms: server.endpoint.start_ms,
            software: server.endpoint.software.clone(),
            address: server.endpoint.address,
            expected_wait: server.expected_wait(state.run_time.unwrap_or(DEFAULT_RUN_TIME)),
            expected: outlook.of(server, criteria, now),
            chosen_at: now,
            needs_ramp_permit: state.has_ramp_permit(server, now),
        })
    }

    /// Whether an endpoint that may run a request has its model, or weights of it nearby.
    #[must_use]
    pub fn has_copy(&self, criteria: &SelectionCriteria<'_>) -> bool {
        let Some(Target { model, .. }) = criteria.target else {
            return true;
        };
        let state = self.state();
        state.servers.values().any(|s| {
            let held = s.models.contains_key(model) || s.endpoint.models.contains_key(model);
            let stored = [&s.endpoint.memory_models, &s.endpoint.disk_models];
            s.endpoint.service == criteria.service
                && s.has_software(criteria.software)
                && s.accepts_requests()
                && (held || stored.into_iter().any(|models| models.contains(model)))
        })
    }

    /// Time until the first endpoint that could run a request ends its pause; none without a pause.
    #[must_use]
    pub fn pause_left(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> Option<Duration> {
        let state = self.state();
        let matching = state.servers.values().filter(|s| s.matches(criteria, now));
        matching.filter_map(|s| s.pause.left(now)).min()
    }
}
