//! Where a request goes: the endpoint for it, the wait for its model, or the refusal.

use std::time::Duration;

use super::admission;
use super::serve::{
    NO_ENDPOINT_RETRY_DELAY, OVERLOAD_RETRY_DELAY, RoutedRequest, STOPPING_RETRY_DELAY, SendHistory,
};
use super::servers::{SelectedEndpoint, SelectionCriteria};
use crate::verdict::{Cause, Refusal};

/// Least time before a caller gives up in which a request is still sent: connect and prefill.
const LEAST_LEFT: Duration = Duration::from_millis(60);
/// Time between two looks for an endpoint where nothing is heard of a change.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

impl RoutedRequest {
    fn need<'a>(&'a self, tries: &'a SendHistory) -> SelectionCriteria<'a> {
        SelectionCriteria {
            service: &self.service,
            target: self.head.target.as_ref(),
            domain: &self.gateway.settings.domain,
            prompt_prefix: self.head.prefix_id.as_deref(),
            excluded: &tries.failed_endpoints,
        }
    }

    /// An endpoint for the request; waits for its model where none holds it.
    ///
    /// # Errors
    ///
    /// A refusal, at once where no endpoint can be ready before the caller gives up.
    pub async fn place(&self, tries: &SendHistory) -> Result<SelectedEndpoint, Refusal> {
        let servers = &self.gateway.servers;
        let mut changes = servers.subscribe();
        let mut waiting = None;
        let refusal = |cause| Refusal::not_run(cause).at_least(tries.verdict());
        loop {
            changes.borrow_and_update();
            let now = self.now();
            let give_up = self.first_deadline.saturating_sub(LEAST_LEFT);
            if now >= give_up {
                return Err(refusal(Cause::NoCapacity).retry_after(OVERLOAD_RETRY_DELAY));
            }
            if let Some(picked) = servers.select(&self.need(tries), now) {
                return self.admit(picked, tries);
            }
            if *self.gateway.stopping.borrow() {
                return Err(refusal(Cause::Stopping).retry_after(STOPPING_RETRY_DELAY));
            }
            let Some(target) = &self.head.target else {
                return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY));
            };
            if servers.ready_count(&self.service) == 0 {
                return Err(refusal(Cause::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_DELAY));
            }
            let estimated = self.gateway.ready_estimate(&self.service, target);
            let unknown = admission::max_unknown_wait(&self.route);
            let refuse = match estimated {
                Some(ready_in) => now + ready_in > give_up,
                None => now > self.arrived_at + unknown && tries.possible_runs == 0,
            };
            if refuse {
                let again = estimated.unwrap_or(NO_ENDPOINT_RETRY_DELAY);
                return Err(refusal(Cause::DeadlineTooShort).retry_after(again));
            }
            if waiting.is_none() {
                let board = &self.gateway.demand;
                waiting = Some(board.register_wait(&self.service, target, now));
                log::info!(id = self.head.id.as_str(), service = self.service.as_str(),
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
    pub fn elsewhere(&self, tries: &SendHistory, than: &SelectedEndpoint) -> bool {
        if *self.gateway.stopping.borrow() {
            return false;
        }
        let mut others = tries.failed_endpoints.clone();
        others.push(than.id.clone());
        let need = SelectionCriteria {
            excluded: &others,
            ..self.need(tries)
        };
        let picked = self.gateway.servers.select(&need, self.now());
        picked.is_some_and(|p| p.expected_wait.is_zero())
    }

    /// Refuses a request that would wait too long in the queue of the best endpoint.
    fn admit(
        &self,
        picked: SelectedEndpoint,
        tries: &SendHistory,
    ) -> Result<SelectedEndpoint, Refusal> {
        if tries.possible_runs > 0 || picked.expected_wait <= admission::max_queue_wait(&self.route)
        {
            return Ok(picked);
        }
        log::info!(id = self.head.id.as_str(), endpoint = picked.id.as_str(),
            wait_ms = super::link::millis(picked.expected_wait); "engines are full");
        let retry = admission::retry_after(picked.expected_wait, rand::random());
        Err(Refusal::not_run(Cause::Overload).retry_after(retry))
    }
}
