//! The end of an incarnation of an endpoint, as the connections that it closed show it.

use std::time::Duration;

use super::super::crash_suspects::Fingerprint;
use super::super::link::{BrokenRequest, millis};
use super::PartId;

/// Most closed connections kept of one incarnation.
const MAX_BREAKS: usize = 64;
/// Time after a closed connection from which an answer shows that the endpoint had not ended.
pub(super) const ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A request whose connection the endpoint closed before its answer had begun.
#[derive(Debug, Clone)]
pub(super) struct Break {
    pub(super) request: Fingerprint,
    pub(super) parts: Vec<PartId>,
    pub(super) at: Duration,
    /// When it became known here.
    pub(super) heard_at: Duration,
    /// Whether it was a request of this instance.
    pub(super) local: bool,
}

impl Break {
    pub(super) fn to_message(&self, now: Duration) -> BrokenRequest {
        BrokenRequest {
            request: self.request,
            parts: self.parts.clone(),
            age_ms: millis(now.saturating_sub(self.at)),
        }
    }
}

/// What is known of the end of an incarnation.
#[derive(Debug, Default)]
pub(super) struct Death {
    pub(super) breaks: Vec<Break>,
}

impl Death {
    /// Time of the last closed connection.
    pub(super) fn last(&self) -> Duration {
        let times = self.breaks.iter().map(|b| b.at);
        times.max().unwrap_or_default()
    }

    /// Adds a closed connection; the oldest gives way where there are too many.
    pub(super) fn add(&mut self, broken: Break) {
        let same = |b: &&mut Break| b.request == broken.request && b.parts == broken.parts;
        if let Some(known) = self.breaks.iter_mut().find(same) {
            // Reports of one event differ by the time that they took.
            if broken.at > known.at + ALIVE_MARGIN {
                *known = broken;
            }
            return;
        }
        if self.breaks.len() >= MAX_BREAKS {
            let oldest = (0..self.breaks.len()).min_by_key(|n| self.breaks[*n].at);
            if let Some(oldest) = oldest {
                self.breaks.swap_remove(oldest);
            }
        }
        self.breaks.push(broken);
    }
}
