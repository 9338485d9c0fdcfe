//! Which endpoints are believed to hold which prompt prefixes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{EndpointKey, Prefix};

/// Prefixes that are remembered.
const MAX_PREFIXES: usize = 4_096;
/// Endpoints that are remembered for a prefix.
const MAX_PREFIX_HOLDERS: usize = 3;
/// Age at which a hint is ignored.
const HINT_LIFETIME: Duration = Duration::from_mins(5);

/// Bounded memory of prefixes and their holders.
#[derive(Debug, Clone, Default)]
pub struct PrefixHints {
    holders: BTreeMap<Prefix, Vec<(EndpointKey, Duration)>>,
    /// Prefixes in the order of their first hint.
    insertion_order: VecDeque<Prefix>,
}

impl PrefixHints {
    /// Notes that an endpoint holds a prefix.
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

    /// Notes that an endpoint dropped a prefix.
    pub fn remove(&mut self, prefix: Prefix, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|(e, _)| *e != endpoint);
        }
    }

    /// Forgets an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|(e, _)| *e != endpoint);
        }
    }

    /// Endpoints believed to hold a prefix.
    #[must_use]
    pub fn holders(&self, prefix: Prefix, now: Duration) -> Vec<EndpointKey> {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .filter(|(_, at)| now.saturating_sub(*at) < HINT_LIFETIME)
            .map(|(e, _)| *e)
            .collect()
    }

    /// Number of prefixes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no prefix is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
