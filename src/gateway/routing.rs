//! Routes a request: chooses its endpoint, waits for its model, or refuses it.

use std::time::Duration;

use super::admission;
use super::serve::{FULL_RETRY, Job, NO_ENDPOINT_RETRY, STOPPING_RETRY, Tries};
use super::servers::{Need, Picked};
use crate::verdict::{Cause, Refusal};

/// Least time before the caller's deadline for sending a request: covers connect and prefill.
const MIN_TIME_LEFT: Duration = Duration::from_millis(60);
/// Interval at which the choice is retried without a notification of a change.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Job {
    fn requirements<'a>(&'a self, tries: &'a Tries) -> Need<'a> {
        Need {
            service: &self.service,
            target: self.call.target.as_ref(),
            domain: &self.gateway.settings.domain,
            shared: self.call.shared.as_deref(),
            tried: &tries.failed,
        }
    }

    /// Chooses an endpoint for the request; waits while none holds its model.
    ///
    /// # Errors
    ///
    /// A [`Refusal`], at once if no endpoint can be ready before the caller's deadline.
    pub async fn choose_endpoint(&self, tries: &Tries) -> Result<Picked, Refusal> {
        let servers = &self.gateway.servers;
        let mut changes = servers.changes();
        let mut waiting = None;
        let refusal = |cause| Refusal::not_run(cause).at_least(tries.verdict());
        loop {
            changes.borrow_and_update();
            let now = self.now();
            let send_by = self.first_by.saturating_sub(MIN_TIME_LEFT);
            if now >= send_by {
                return Err(refusal(Cause::NoCapacity).retry_after(FULL_RETRY));
            }
            if let Some(picked) = servers.pick(&self.requirements(tries), now) {
                return self.check_queue_wait(picked, tries);
            }
            if *self.gateway.stopping.borrow() {
                return Err(refusal(Cause::Stopping).retry_after(STOPPING_RETRY));
            }
            let Some(target) = &self.call.target else {
                return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY));
            };
            if servers.ready(&self.service) == 0 {
                return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY));
            }
            let estimated = self.gateway.estimated(&self.service, target);
            let unknown_limit = admission::longest_unknown(&self.route);
            let too_late = match estimated {
                Some(ready_in) => now + ready_in > send_by,
                None => now > self.arrived + unknown_limit && tries.ran == 0,
            };
            if too_late {
                let retry_in = estimated.unwrap_or(NO_ENDPOINT_RETRY);
                return Err(refusal(Cause::DeadlineTooShort).retry_after(retry_in));
            }
            if waiting.is_none() {
                let board = &self.gateway.board;
                waiting = Some(board.wait(&self.service, target, now));
                log::info!(id = self.call.id.as_str(), service = self.service.as_str(),
                    model = target.model.as_str(),
                    adapter = target.adapter_name(),
                    left_ms = super::link::millis(send_by.saturating_sub(now));
                    "no endpoint holds the model; waiting");
            }
            let pause = send_by.saturating_sub(now).min(RECHECK_INTERVAL);
            if tokio::time::timeout(pause, changes.changed())
                .await
                .is_ok_and(|c| c.is_err())
            {
                return Err(refusal(Cause::Stopping));
            }
        }
    }

    /// Whether an endpoint other than `current` can run the request without waiting.
    #[must_use]
    pub fn has_alternative(&self, tries: &Tries, current: &Picked) -> bool {
        if *self.gateway.stopping.borrow() {
            return false;
        }
        let mut excluded = tries.failed.clone();
        excluded.push(current.id.clone());
        let requirements = Need {
            tried: &excluded,
            ..self.requirements(tries)
        };
        let picked = self.gateway.servers.pick(&requirements, self.now());
        picked.is_some_and(|p| p.wait.is_zero())
    }

    /// Refuses a request that would wait too long in the queue of the chosen endpoint.
    fn check_queue_wait(&self, picked: Picked, tries: &Tries) -> Result<Picked, Refusal> {
        if tries.ran > 0 || picked.wait <= admission::longest_wait(&self.route) {
            return Ok(picked);
        }
        log::info!(id = self.call.id.as_str(), endpoint = picked.id.as_str(),
            wait_ms = super::link::millis(picked.wait); "engines are full");
        let retry = admission::retry_after(picked.wait, rand::random());
        Err(Refusal::not_run(Cause::Overload).retry_after(retry))
    }
}
