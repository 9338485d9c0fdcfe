//! Requests of this instance at endpoints: how many are in progress, and how they end.

use std::time::Duration;

use super::super::protocol::Target;
use super::{RequestOutcome, ServerKey, Servers};

/// Number of consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of an ejection: a few health intervals of an endpoint.
const EJECTION_TIME: Duration = Duration::from_millis(1500);
/// Weight of a new sample in the moving average of failures; spans about ten answers.
const FAILURE_WEIGHT: f64 = 0.12;
/// How long a model counts as absent after an endpoint refused it; a restart of the endpoint ends
/// it earlier.
const ABSENT_TIME: Duration = Duration::from_millis(400);

impl Servers {
    /// Counts a request at an endpoint until the guard is dropped.
    #[must_use]
    pub fn begin_request(
        &self,
        key: ServerKey,
        target: Option<&Target>,
        prompt_prefix: Option<&str>,
        now: Duration,
    ) -> RequestGuard {
        let mut state = self.state();
        if let Some(server) = state.servers.get_mut(key) {
            server.pause.record_send(now);
            server.local_load += 1;
            server.fleet_load += 1;
            server.recent_sends += 1;
            if let Some(target) = target {
                *server.running.entry(target.clone()).or_default() += 1;
                if let Some(prefix) = prompt_prefix {
                    let seen = server
                        .seen_prefixes
                        .entry(target.model.clone())
                        .or_default();
                    seen.insert(prefix.to_owned());
                }
            }
        }
        RequestGuard {
            servers: self.clone(),
            key,
            target: target.cloned(),
        }
    }

    fn end_request(&self, key: ServerKey, target: Option<&Target>) {
        let state = &mut *self.state();
        let Some(server) = state.servers.get_mut(key) else {
            return;
        };
        server.local_load = server.local_load.saturating_sub(1);
        server.fleet_load = server.fleet_load.saturating_sub(1);
        if state.room.is_brittle(&server.endpoint.service) {
            self.notify_change();
            self.room_changed.notify_one();
        }
        let Some(target) = target else {
            return;
        };
        if let Some(count) = server.running.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                server.running.remove(target);
            }
        }
    }

    /// Records the outcome of a request and ejects the endpoint after too many failures in a row.
    pub fn record_outcome(&self, key: ServerKey, outcome: RequestOutcome, now: Duration) {
        let mut state = self.state();
        Self::record_room_outcome(&mut state, key, outcome == RequestOutcome::Failure, now);
        let Some(server) = state.servers.get_mut(key) else {
            return;
        };
        let failed = f64::from(u8::from(outcome != RequestOutcome::Success));
        server.failure_rate += FAILURE_WEIGHT * (failed - server.failure_rate);
        match outcome {
            RequestOutcome::Success => server.consecutive_failures = 0,
            RequestOutcome::Failure => server.consecutive_failures += 1,
            RequestOutcome::Silence => {}
        }
        if server.consecutive_failures >= EJECTION_FAILURES {
            server.consecutive_failures = 0;
            server.ejected_until = now + EJECTION_TIME;
            log::warn!(endpoint = server.endpoint.id.as_str(), failing = server.failure_rate;
                "endpoint ejected for a short time");
            state.record_ejection(key, now);
        }
    }

    /// Records that an endpoint does not hold a model or adapter.
    pub fn mark_absent(&self, key: ServerKey, target: &Target, now: Duration) {
        if let Some(server) = self.state().servers.get_mut(key) {
            server.absent_until.retain(|_, until| *until > now);
            server
                .absent_until
                .insert(target.clone(), now + ABSENT_TIME);
        }
    }
}

/// Counts a request as in progress at an endpoint until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    servers: Servers,
    key: ServerKey,
    target: Option<Target>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.servers.end_request(self.key, self.target.as_ref());
    }
}
