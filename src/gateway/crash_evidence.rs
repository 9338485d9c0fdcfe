//! What a request tells of the endpoints that it was sent to, and whether its prompt is refused.

use super::crash_parts::{PartId, incarnation_id};
use super::protocol::RequestHead;
use super::serve::RoutedRequest;
use super::servers::SelectedEndpoint;
use super::shared::Gateway;
use crate::verdict::{Cause, Refusal};

/// Refusal of a request whose prompt holds a part under which endpoints end.
#[must_use]
pub fn refusal_for(gateway: &Gateway, head: &RequestHead, parts: &[PartId]) -> Option<Refusal> {
    let now = gateway.now();
    let (index, left) = gateway.crash_parts().refusal(parts, now)?;
    let part = head.shared_parts.get(index).map_or("", String::as_str);
    let refusal = Refusal::not_run(Cause::CrashSuspect).retry_after(left);
    Some(refusal.detail(format!("prompt part {part}")))
}

impl RoutedRequest {
    /// Whether a part of the prompt is suspected, so that the request is not sent a second time.
    pub(super) fn is_crash_suspect(&self) -> bool {
        let now = self.now();
        self.gateway.crash_parts().is_suspect(&self.parts, now)
    }

    /// Records that the answer of an endpoint has begun.
    pub(super) fn record_begun(&self, selected: &SelectedEndpoint) {
        self.record_ramp_begun(selected);
        let endpoint = incarnation_id(&selected.id, selected.started_ms);
        let now = self.now();
        let mut parts = self.gateway.crash_parts();
        parts.record_begun(endpoint, &self.parts, now);
    }

    /// Records that an endpoint closed the connection before its answer had begun.
    pub(super) fn record_not_begun(&self, selected: &SelectedEndpoint) {
        let endpoint = incarnation_id(&selected.id, selected.started_ms);
        let now = self.now();
        let mut parts = self.gateway.crash_parts();
        parts.record_break(endpoint, self.fingerprint, &self.parts, now);
    }

    /// Ids of the prompt's shared parts as a log field.
    pub(super) fn parts_text(&self) -> String {
        self.head.shared_parts.join(",")
    }
}
