//! When answers last began, by the digest of a part or of an endpoint's incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

/// Most digests of one generation.
const MAX_GENERATION: usize = 16_384;

/// Times of sound answers in two generations; what is used again stays.
#[derive(Debug, Default)]
pub(super) struct SoundTimes {
    recent: BTreeMap<u64, Duration>,
    older: BTreeMap<u64, Duration>,
}

impl SoundTimes {
    pub(super) fn record(&mut self, id: u64, at: Duration) {
        let at = self.last(id).map_or(at, |known| known.max(at));
        if self.recent.len() >= MAX_GENERATION && !self.recent.contains_key(&id) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(id, at);
    }

    pub(super) fn last(&self, id: u64) -> Option<Duration> {
        let older = self.older.get(&id);
        self.recent.get(&id).or(older).copied()
    }
}
