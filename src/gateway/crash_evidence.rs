//! What a request tells of the endpoints that it was sent to, and whether its prompt is refused.

use super::crash_parts::{PartId, incarnation_id, part_id};
use super::crash_suspects::Fingerprint;
use super::protocol::RequestHead;
use super::serve::{NO_ENDPOINT_RETRY_DELAY, RoutedRequest};
use super::servers::SelectedEndpoint;
use super::shared::Gateway;
use crate::verdict::{Cause, Refusal};

/// Refusal of a request under which endpoints end, or whose prompt holds such a part.
#[must_use]
pub fn refusal_for(gateway: &Gateway, head: &RequestHead, request: Fingerprint) -> Option<Refusal> {
    let now = gateway.now();
    if let Some(left) = gateway.crash_parts().request_refusal(request, now) {
        return Some(Refusal::not_run(Cause::CrashSuspect).retry_after(left));
    }
    if gateway.crash_suspects().is_refused(request, now) {
        let refusal = Refusal::not_run(Cause::CrashSuspect);
        return Some(refusal.retry_after(NO_ENDPOINT_RETRY_DELAY));
    }
    let (index, left) = gateway
        .crash_parts()
        .prompt_refusal(&head.shared_parts, now)?;
    let part = head.shared_parts.iter().nth(index).unwrap_or_default();
    let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left);
    Some(refusal.detail(format!("prompt part {part}")))
}

impl RoutedRequest {
    /// Whether a part of the prompt is suspected, so that the request is not sent a second time.
    pub(super) fn is_crash_suspect(&self) -> bool {
        let now = self.now();
        self.gateway
            .crash_parts()
            .is_suspect_prompt(&self.head.shared_parts, now)
    }

    /// Records that the answer of an endpoint has begun.
    pub(super) fn record_begun(&self, selected: &SelectedEndpoint) {
        self.record_ramp_begun(selected);
        let endpoint = incarnation_id(&selected.id, selected.started_ms);
        let now = self.now();
        let mut parts = self.gateway.crash_parts();
        parts.record_begun_prompt(endpoint, &self.head.shared_parts, now);
    }

    /// Records that an endpoint has answered, be it with an error or a refusal.
    pub(super) fn record_alive(&self, selected: &SelectedEndpoint) {
        let endpoint = incarnation_id(&selected.id, selected.started_ms);
        self.gateway
            .crash_parts()
            .record_alive(endpoint, self.now());
    }

    /// Records that the request has a whole answer.
    pub(super) fn record_whole(&self) {
        let now = self.now();
        self.gateway
            .crash_parts()
            .record_whole(self.fingerprint, now);
    }

    /// Records that an endpoint closed the connection, before or after its answer had begun.
    pub(super) fn record_closed(&self, selected: &SelectedEndpoint, begun: bool) {
        let endpoint = incarnation_id(&selected.id, selected.started_ms);
        let now = self.now();
        self.gateway
            .crash_suspects()
            .record_unreported(self.fingerprint);
        let shared = &self.head.shared_parts;
        let parts: Vec<PartId> = if begun {
            Vec::new()
        } else {
            shared.iter().map(part_id).collect()
        };
        self.gateway
            .crash_parts()
            .record_break(endpoint, self.fingerprint, &parts, now);
    }

    /// Ids of the prompt's shared parts as a log field.
    pub(super) fn parts_text(&self) -> String {
        let parts = &self.head.shared_parts;
        parts.iter().collect::<Vec<&str>>().join(",")
    }
}
