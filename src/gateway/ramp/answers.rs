//! Reports how endpoints answered requests, for their ramps.

use super::super::serve::RoutedRequest;
use super::super::servers::{RequestOutcome, SelectedEndpoint};
use super::RampAnswer;

impl RoutedRequest {
    /// Records that an endpoint began to answer, in time or late.
    pub(in super::super) fn record_ramp_begun(&self, selected: &SelectedEndpoint) {
        self.record_ramp_answer(selected, false);
    }

    /// Records that an endpoint did not answer, or with an error.
    ///
    /// One that is silent is late. Nothing is known of it before the objective has passed.
    pub(in super::super) fn record_ramp_failure(
        &self,
        selected: &SelectedEndpoint,
        outcome: RequestOutcome,
    ) {
        let waited = self.now().saturating_sub(selected.chosen_at);
        match outcome {
            RequestOutcome::Failure => self.record_ramp_answer(selected, true),
            RequestOutcome::Silence if waited > self.route.latency_objective => {
                self.record_ramp_answer(selected, false);
            }
            RequestOutcome::Silence | RequestOutcome::Success => {}
        }
    }

    fn record_ramp_answer(&self, selected: &SelectedEndpoint, failed: bool) {
        let answer = RampAnswer {
            service: &self.service,
            id: &selected.id,
            started_ms: selected.started_ms,
            failed,
            sent_at: selected.chosen_at,
            objective: self.route.latency_objective,
        };
        let servers = &self.gateway.servers;
        servers.record_ramp_answer(&answer, self.now());
        let bound = servers.ramp_bound(&selected.id, selected.started_ms);
        if failed && bound.is_some() {
            self.gateway.demand.changed.notify_one();
        }
    }
}
