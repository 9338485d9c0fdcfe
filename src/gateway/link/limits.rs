//! What instances and the lease holder tell each other about limits that endpoints name.

use std::time::Duration;

use super::super::servers::Grant;
use super::super::shared::Gateway;
use super::message::LimitEntry;

/// What this instance knows about limits, and the permits that it asks for.
#[must_use]
pub fn limit_entries(gateway: &Gateway) -> Vec<LimitEntry> {
    let known = gateway.servers.limit_notices(gateway.now());
    let entries = known.into_iter().map(|(notice, wanted)| LimitEntry {
        waiting: wanted.waiting,
        ahead: wanted.ahead,
        ..LimitEntry::new(&notice)
    });
    entries.collect()
}

/// Takes over what another instance knows about limits.
pub fn apply_limits(gateway: &Gateway, entries: &[LimitEntry]) {
    for entry in entries {
        let servers = &gateway.servers;
        servers.merge_limit(&entry.notice(), gateway.now());
    }
}

/// Takes over what the lease holder knows about limits, and the permits that it grants.
pub(in super::super) fn apply_grants(gateway: &Gateway, entries: &[LimitEntry], instances: u32) {
    apply_limits(gateway, entries);
    for entry in entries.iter().filter(|entry| entry.rate > 0.0) {
        let grant = Grant {
            permits: entry.granted,
            next_in: Duration::from_millis(entry.next_ms.into()),
            instances,
        };
        let servers = &gateway.servers;
        servers.grant_permits(&entry.id, grant, gateway.now());
    }
}
