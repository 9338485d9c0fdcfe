//! Routes a request: chooses its endpoint, waits for its model, or refuses it.

use std::time::Duration;

use super::admission;
use super::crash_evidence::refusal_for;
use super::detour;
use super::protocol::Target;
use super::serve::{
    NO_ENDPOINT_RETRY_DELAY, OVERLOAD_RETRY_DELAY, RoutedRequest, STOPPING_RETRY_DELAY, SendHistory,
};
use super::servers::{
    FullEndpoints, LimitedEndpoint, PermitWait, RoomWaitGuard, SelectedEndpoint, SelectionCriteria,
    TRIAL_INTERVAL,
};
use super::shared::{WaitGuard, WaitingRequest};
use super::urgency::slot_share;
use crate::verdict::{Cause, Refusal};

/// Least time before the caller's deadline for sending a call; a refusal still reaches the caller.
const MIN_TIME_LEFT: Duration = Duration::from_millis(60);
/// The same for a request to an engine: covers the prefill of a prompt as well.
const MIN_ENGINE_TIME_LEFT: Duration = Duration::from_millis(150);
/// Share of the time until a call has to be sent for which it may wait for a brittle endpoint's room.
const ROOM_WAIT_SHARE: f64 = 0.5;
/// Interval at which the choice is retried while endpoints lack room.
const ROOM_RECHECK: Duration = Duration::from_millis(50);
/// Interval at which the choice is retried without a notification of a change.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a request waits for, and the expected times.
struct Waits {
    /// Least of the times.
    held_for: Option<Duration>,
    /// Time until an endpoint ends its pause.
    paused_for: Option<Duration>,
    /// Time until a permit of an endpoint with a limit.
    permit_in: Option<Duration>,
    /// Time until a brittle endpoint has room.
    room_in: Option<Duration>,
    /// Whether an endpoint leaves its slots to more urgent requests.
    lacks_room: bool,
    limited: Vec<LimitedEndpoint>,
    full: Option<FullEndpoints>,
}

impl RoutedRequest {
    fn requirements<'a>(&'a self, history: &'a SendHistory) -> SelectionCriteria<'a> {
        SelectionCriteria {
            service: &self.service,
            target: self.head.target.as_ref(),
            software: self.software.as_deref(),
            domain: &self.gateway.settings.domain,
            prompt_prefix: self.head.prefix_id.as_deref(),
            excluded: &history.failed_endpoints,
            priority: self.priority(),
            waits_at: None,
            ticket: None,
            slot_share: self.slot_share(),
            gap_objective: self
                .route
                .gap_objective
                .filter(|_| self.route.kind.is_stream()),
        }
    }

    /// Share of an engine's slots beyond which the request leaves the rest to more urgent ones.
    fn slot_share(&self) -> Option<f64> {
        if self.account.is_none() || self.head.target.is_none() {
            return None;
        }
        let (priority, now) = (self.priority(), self.now());
        let urgency = self.gateway.urgency();
        let more_urgent = urgency.more_urgent(&self.service, priority, now);
        drop(urgency);
        let waited = now.saturating_sub(self.arrived_at);
        slot_share(more_urgent, self.route.latency_objective, waited)
    }

    /// Chooses an endpoint for the request; waits while none holds its model.
    ///
    /// # Errors
    ///
    /// A [`Refusal`], at once if no endpoint can be ready before the caller's deadline.
    pub async fn choose_endpoint(
        &self,
        history: &SendHistory,
    ) -> Result<SelectedEndpoint, Refusal> {
        let servers = &self.gateway.servers;
        let mut changes = servers.subscribe();
        let mut waiting = None;
        let mut permit_wait: Option<PermitWait> = None;
        let mut room_wait: Option<RoomWaitGuard> = None;
        let limited = servers.limited(&self.requirements(history), self.now());
        servers.record_wanted(&limited, self.now());
        servers.record_ramp_wanted(&self.requirements(history), self.now());
        let refusal = |cause| Refusal::not_run(cause).raise_verdict(history.verdict());
        loop {
            changes.borrow_and_update();
            let now = self.now();
            let min_left = match self.head.target {
                Some(_) => MIN_ENGINE_TIME_LEFT,
                None => MIN_TIME_LEFT,
            };
            let send_by = self.first_deadline.saturating_sub(min_left);
            self.check_wait(history, send_by, now)?;
            let criteria = SelectionCriteria {
                waits_at: permit_wait.as_ref().map(|wait| wait.id.as_str()),
                ticket: room_wait.as_ref().map(|wait| wait.ticket),
                ..self.requirements(history)
            };
            if let Some(selected) = servers.select(&criteria, now) {
                let selected = self.check_queue_wait(selected, history)?;
                if servers.take_permit(&selected, now) {
                    return Ok(selected);
                }
                continue;
            }
            if *self.gateway.stopping.borrow() {
                return Err(refusal(Cause::Stopping).retry_after(STOPPING_RETRY_DELAY));
            }
            if servers.ready_count(&self.service, self.software.as_deref()) == 0 {
                return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY));
            }
            let waits = self.waits(&criteria, now);
            let (held_for, permit_in, room_in) = (waits.held_for, waits.permit_in, waits.room_in);
            let (paused_for, lacks_room) = (waits.paused_for, waits.lacks_room);
            let (limited, full) = (waits.limited.first(), waits.full);
            let Some(target) = &self.head.target else {
                let Some(left) = held_for else {
                    return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY));
                };
                let max_wait = self.max_call_wait(room_in.is_some(), send_by);
                let waited = now.saturating_sub(self.arrived_at);
                let is_held = permit_in.is_some() || lacks_room || room_in.is_some();
                let is_held_long = is_held && waited + left > max_wait;
                if left > max_wait || is_held_long || now + left > send_by {
                    let retry_in = admission::retry_after(left, rand::random());
                    return Err(refusal(Cause::Overload).retry_after(retry_in));
                }
                self.join_permit_queue(&mut permit_wait, limited);
                self.join_room_queue(&mut room_wait, full);
                let left = left.min(RECHECK_INTERVAL);
                if let Ok(Err(_closed)) = tokio::time::timeout(left, changes.changed()).await {
                    return Err(refusal(Cause::Stopping));
                }
                continue;
            };
            let pinned = self.pinned_software();
            if pinned.is_some() && !servers.has_copy(&self.requirements(history)) {
                return Err(refusal(Cause::NoCapacity));
            }
            let estimated = match pinned {
                Some(_) => None,
                None => self.gateway.ready_estimate(&self.service, target),
            };
            let ready_in = estimated.into_iter().chain(held_for).min();
            let unknown_limit = admission::max_unknown_wait(&self.route);
            // When a permit comes is not sure: more urgent requests go first.
            let is_unsure = estimated.is_none() && paused_for.is_none() && pinned.is_none();
            let is_long =
                is_unsure && now > self.arrived_at + unknown_limit && history.possible_runs == 0;
            let too_late = is_long || ready_in.is_some_and(|ready_in| now + ready_in > send_by);
            if too_late {
                let retry_in = ready_in.unwrap_or(NO_ENDPOINT_RETRY_DELAY);
                return Err(refusal(Cause::DeadlineTooShort).retry_after(retry_in));
            }
            if waiting.is_none() && self.configured_target().is_some() {
                waiting = Some(self.register_wait(target, pinned));
                if limited.is_none() && !lacks_room && full.is_none() {
                    self.log_wait(target, pinned, send_by.saturating_sub(now));
                }
            }
            self.join_permit_queue(&mut permit_wait, limited);
            self.join_room_queue(&mut room_wait, full);
            let recheck = held_for.map_or(RECHECK_INTERVAL, |left| left.min(RECHECK_INTERVAL));
            let pause = send_by.saturating_sub(now).min(recheck);
            if tokio::time::timeout(pause, changes.changed())
                .await
                .is_ok_and(|c| c.is_err())
            {
                return Err(refusal(Cause::Stopping));
            }
        }
    }

    /// What the request waits for, where no endpoint can take it now.
    fn waits(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> Waits {
        let servers = &self.gateway.servers;
        let paused_for = servers.pause_left(criteria, now);
        let limited = servers.limited(criteria, now);
        let permit_in = limited.first().map(|endpoint| endpoint.wait);
        let lacks_room = servers.lacks_room(criteria, now);
        let slots_in = lacks_room.then_some(ROOM_RECHECK);
        let full = servers.full_endpoints(criteria, now);
        let room_in = full.as_ref().map(|full| full.wait);
        let held_for = [paused_for, permit_in, slots_in, room_in];
        Waits {
            held_for: held_for.into_iter().flatten().min(),
            paused_for,
            permit_in,
            room_in,
            lacks_room,
            limited,
            full,
        }
    }

    /// Longest expected wait of a call.
    fn max_call_wait(&self, waits_for_room: bool, send_by: Duration) -> Duration {
        // The end of a trial is nearer than any return of the caller.
        let least = self.max_queue_wait().max(TRIAL_INTERVAL);
        if !waits_for_room {
            return least;
        }
        let usable = send_by.saturating_sub(self.arrived_at);
        least.max(usable.mul_f64(ROOM_WAIT_SHARE))
    }

    /// Refuses a request that can no longer be sent from here, whatever endpoint is free.
    fn check_wait(
        &self,
        history: &SendHistory,
        send_by: Duration,
        now: Duration,
    ) -> Result<(), Refusal> {
        let refusal = |cause| Refusal::not_run(cause).raise_verdict(history.verdict());
        if now >= send_by {
            return Err(refusal(Cause::NoCapacity).retry_after(OVERLOAD_RETRY_DELAY));
        }
        if detour::is_due(self, history) {
            return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY));
        }
        self.check_key(history)?;
        // A part may have been blamed while the request waited or ran.
        let blamed = refusal_for(&self.gateway, &self.head, self.fingerprint);
        blamed.map_or(
            Ok(()),
            |blamed| Err(blamed.raise_verdict(history.verdict())),
        )
    }

    /// Counts the request as waiting for its model until the guard is dropped.
    fn register_wait(&self, target: &Target, software: Option<&str>) -> WaitGuard {
        let request = WaitingRequest {
            arrived_at: self.arrived_at,
            objective: self.route.latency_objective,
            software: software.map(str::to_owned),
        };
        let demand = &self.gateway.demand;
        demand.register_wait(&self.service, target, request)
    }

    fn log_wait(&self, target: &Target, software: Option<&str>, left: Duration) {
        log::info!(id = self.head.id.as_str(), service = self.service.as_str(),
            model = target.model.as_str(), adapter = target.adapter_name(),
            software = software.unwrap_or_default(), left_ms = super::link::millis(left);
            "no endpoint holds the model; waiting");
    }

    /// Software version that the stream has to go on at, where endpoints of others serve beside it.
    fn pinned_software(&self) -> Option<&str> {
        let software = self.software.as_deref()?;
        let ready = |software| self.gateway.servers.ready_count(&self.service, software);
        (ready(None) > ready(Some(software))).then_some(software)
    }

    /// Waits for a permit of the endpoint with a limit that is expected to have one first, if any.
    fn join_permit_queue(
        &self,
        permit_wait: &mut Option<PermitWait>,
        limited: Option<&LimitedEndpoint>,
    ) {
        let Some(endpoint) = limited else {
            *permit_wait = None;
            return;
        };
        if permit_wait.as_ref().is_some_and(|w| w.id == endpoint.id) {
            return;
        }
        let servers = &self.gateway.servers;
        *permit_wait = Some(servers.wait_for_permit(endpoint, self.priority()));
        self.gateway.demand.changed.notify_one();
        log::info!(id = self.head.id.as_str(), endpoint = endpoint.id.as_str(),
            wait_ms = super::link::millis(endpoint.wait);
            "waits for a permit of an endpoint with a limit");
    }

    /// Waits for the room of the brittle endpoints that could run the request, if any.
    fn join_room_queue(&self, wait: &mut Option<RoomWaitGuard>, full: Option<FullEndpoints>) {
        let ids = full.map(|full| full.ids).unwrap_or_default();
        if wait.as_ref().map_or(&[][..], |w| w.ids.as_slice()) == ids {
            return;
        }
        let servers = &self.gateway.servers;
        *wait = (!ids.is_empty()).then(|| servers.wait_for_room(ids, self.priority()));
    }

    /// Whether an endpoint other than `current` can run the request without waiting.
    #[must_use]
    pub fn has_alternative(&self, history: &SendHistory, current: &SelectedEndpoint) -> bool {
        if *self.gateway.stopping.borrow() {
            return false;
        }
        let mut excluded = history.failed_endpoints.clone();
        excluded.push(current.id.clone());
        let requirements = SelectionCriteria {
            excluded: &excluded,
            ..self.requirements(history)
        };
        let selected = self.gateway.servers.select(&requirements, self.now());
        selected.is_some_and(|p| p.expected_wait.is_zero())
    }

    /// Longest expected wait in an endpoint's queue with which the request is sent there.
    fn max_queue_wait(&self) -> Duration {
        admission::max_queue_wait(self.route.latency_objective, self.priority())
    }

    /// Refuses a request that would wait too long in the queue of the chosen endpoint.
    fn check_queue_wait(
        &self,
        selected: SelectedEndpoint,
        history: &SendHistory,
    ) -> Result<SelectedEndpoint, Refusal> {
        if history.possible_runs > 0 || selected.expected_wait <= self.max_queue_wait() {
            return Ok(selected);
        }
        log::info!(id = self.head.id.as_str(), endpoint = selected.id.as_str(),
            wait_ms = super::link::millis(selected.expected_wait); "engines are full");
        if let Some(target) = self.configured_target() {
            self.gateway.demand.record_refusal(&self.service, target);
        }
        let retry = admission::retry_after(selected.expected_wait, rand::random());
        Err(Refusal::not_run(Cause::Overload).retry_after(retry))
    }
}
