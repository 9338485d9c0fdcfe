//! Where a request goes: the endpoint for it, the wait for its model, or the refusal.

use std::time::Duration;

use super::admission;
use super::serve::{FULL_RETRY, Job, NO_ENDPOINT_RETRY, STOPPING_RETRY, Tries};
use super::servers::{Need, Picked};
use crate::verdict::{Cause, Refusal};

/// Least time before a caller gives up in which a request is still sent: connect and prefill.
const LEAST_LEFT: Duration = Duration::from_millis(60);
/// Time between two looks for an endpoint where nothing is heard of a change.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

impl Job {
    fn need<'a>(&'a self, tries: &'a Tries) -> Need<'a> {
        Need {
            service: &self.service,
            target: self.call.target.as_ref(),
            domain: &self.gateway.settings.domain,
            shared: self.call.shared.as_deref(),
            tried: &tries.failed,
        }
    }

    /// An endpoint for the request; waits for its model where none holds it.
    ///
    /// # Errors
    ///
    /// A refusal, at once where no endpoint can be ready before the caller gives up.
    pub async fn place(&self, tries: &Tries) -> Result<Picked, Refusal> {
        let servers = &self.gateway.servers;
        let mut changes = servers.changes();
        let mut waiting = None;
        let refusal = |cause| Refusal::not_run(cause).raise_verdict(tries.verdict());
        loop {
            changes.borrow_and_update();
            let now = self.now();
            let give_up = self.first_by.saturating_sub(LEAST_LEFT);
            if now >= give_up {
                return Err(refusal(Cause::NoCapacity).retry_after(FULL_RETRY));
            }
            if let Some(picked) = servers.pick(&self.need(tries), now) {
                return self.admit(picked, tries);
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
            let unknown = admission::longest_unknown(&self.route);
            let refuse = match estimated {
                Some(ready_in) => now + ready_in > give_up,
                None => now > self.arrived + unknown && tries.ran == 0,
            };
            if refuse {
                let again = estimated.unwrap_or(NO_ENDPOINT_RETRY);
                return Err(refusal(Cause::DeadlineTooShort).retry_after(again));
            }
            if waiting.is_none() {
                let board = &self.gateway.board;
                waiting = Some(board.wait(&self.service, target, now));
                log::info!(id = self.call.id.as_str(), service = self.service.as_str(),
                    model = target.model.as_str(),
                    adapter = target.adapter_name(),
                    left_ms = super::link::millis(give_up.saturating_sub(now));
                    "no endpoint holds the model; waiting");
            }
            let pause = give_up.saturating_sub(now).min(LOOK_AGAIN);
            if tokio::time::timeout(pause, changes.changed())
                .await
                .is_ok_and(|c| c.is_err())
            {
                return Err(refusal(Cause::Stopping));
            }
        }
    }

    /// Whether another endpoint than one can take the request now.
    #[must_use]
    pub fn elsewhere(&self, tries: &Tries, than: &Picked) -> bool {
        if *self.gateway.stopping.borrow() {
            return false;
        }
        let mut others = tries.failed.clone();
        others.push(than.id.clone());
        let need = Need {
            tried: &others,
            ..self.need(tries)
        };
        let picked = self.gateway.servers.pick(&need, self.now());
        picked.is_some_and(|p| p.wait.is_zero())
    }

    /// Refuses a request that would wait too long in the queue of the best endpoint.
    fn admit(&self, picked: Picked, tries: &Tries) -> Result<Picked, Refusal> {
        if tries.ran > 0 || picked.wait <= admission::longest_wait(&self.route) {
            return Ok(picked);
        }
        log::info!(id = self.call.id.as_str(), endpoint = picked.id.as_str(),
            wait_ms = super::link::millis(picked.wait); "engines are full");
        let retry = admission::retry_after(picked.wait, rand::random());
        Err(Refusal::not_run(Cause::Overload).retry_after(retry))
    }
}
