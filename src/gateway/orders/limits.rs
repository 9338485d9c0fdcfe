//! Grants permits out of the limits that endpoints name, to all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::link::{self, LimitEntry};
use super::super::servers::{LimitNotice, Wanted};
use super::OrderController;
use super::limit_ledger::{Grants, InstanceWant};

/// Number of this instance in the ledger; links are numbered from 1.
pub(super) const OWN_NUMBER: u64 = 0;

/// Limits that are known, and the permits granted now.
#[derive(Debug, Default)]
pub(super) struct LimitGrants {
    limits: Vec<LimitNotice>,
    /// By id of the endpoint.
    grants: BTreeMap<String, Grants>,
}

impl LimitGrants {
    /// Whether any permit is granted.
    pub(super) fn any_granted(&self) -> bool {
        self.grants.values().any(|g| !g.permits.is_empty())
    }

    /// Entries of the update to one instance.
    pub(super) fn entries(&self, instance: u64) -> Vec<LimitEntry> {
        let entries = self.limits.iter().map(|limit| {
            let grants = self.grants.get(&limit.id);
            let granted = grants.and_then(|g| g.permits.get(&instance));
            LimitEntry {
                granted: granted.copied().unwrap_or_default(),
                next_ms: link::millis(grants.map_or(Duration::ZERO, |g| g.next_in)),
                ..LimitEntry::new(limit)
            }
        });
        entries.collect()
    }
}

impl OrderController {
    /// Grants permits to the instances that ask for them.
    pub(super) fn grant_permits(&mut self, now: Duration) -> LimitGrants {
        let known = self.gateway.servers.limit_notices(now);
        let own: BTreeMap<String, Wanted> = known
            .iter()
            .map(|(limit, wanted)| (limit.id.clone(), *wanted))
            .collect();
        let limits: Vec<LimitNotice> = known.into_iter().map(|(limit, _)| limit).collect();
        self.limit_ledger.keep(&limits);
        let mut grants = BTreeMap::new();
        for limit in &limits {
            let mut wants: Vec<InstanceWant> = Vec::new();
            for (number, peer) in &self.peers {
                let entry = peer.demand.limits.iter().find(|e| e.id == limit.id);
                wants.extend(entry.map(|entry| InstanceWant {
                    instance: *number,
                    waiting: entry.waiting,
                    ahead: entry.ahead,
                    heard: Duration::from_millis(peer.demand.clock_echo),
                }));
            }
            let wanted = own.get(&limit.id).copied().unwrap_or_default();
            wants.push(InstanceWant {
                instance: OWN_NUMBER,
                waiting: wanted.waiting,
                ahead: wanted.ahead,
                heard: now,
            });
            let granted = self.limit_ledger.grant(limit, &wants, now);
            grants.insert(limit.id.clone(), granted);
        }
        LimitGrants { limits, grants }
    }
}
