//! Hints on which endpoints have which prompt prefixes cached.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{EndpointKey, Prefix};

/// Largest number of prefixes with hints.
const MAX_PREFIXES: usize = 4_096;
/// Largest number of endpoints for one prefix.
const MAX_PREFIX_HOLDERS: usize = 3;
/// Age from which a hint is ignored.
const HINT_LIFETIME: Duration = Duration::from_mins(5);

/// Bounded map of prefixes to the endpoints that are expected to have them cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixHints {
    holders: BTreeMap<Prefix, Vec<(EndpointKey, Duration)>>,
    /// Prefixes in the order of their first hint, for the eviction of the oldest.
    insertion_order: VecDeque<Prefix>,
}

impl PrefixHints {
    /// Records that an endpoint has a prefix cached.
    pub fn add(&mut self, prefix: Prefix, endpoint: EndpointKey, at: Duration) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|(e, _)| *e != endpoint);
        holders.push((endpoint, at));
        if holders.len() > MAX_PREFIX_HOLDERS {
            holders.remove(0);
        }
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Records that an endpoint dropped a prefix from its cache.
    pub fn remove(&mut self, prefix: Prefix, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|(e, _)| *e != endpoint);
        }
    }

    /// Removes an endpoint from all hints.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|(e, _)| *e != endpoint);
        }
    }

    /// Endpoints that are expected to have a prefix cached.
    #[must_use]
    pub fn holders(&self, prefix: Prefix, now: Duration) -> Vec<EndpointKey> {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < HINT_LIFETIME)
            .map(|(e, _)| *e)
            .collect()
    }

    /// Number of prefixes with hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there are no hints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
