//! The end of an incarnation of an endpoint, as the connections that it closed show it.

use std::time::Duration;

use super::super::crash_suspects::Fingerprint;
use super::super::link::{BrokenRequest, millis};
use super::later::distinct;
use super::{FIRST_PARTS, PartId};

/// Most closed connections kept of one incarnation.
const MAX_BREAKS: usize = 64;
/// Time after a closed connection from which an answer shows that the endpoint had not ended.
pub(super) const ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A request whose connection the endpoint closed before its answer had begun.
#[derive(Debug, Clone)]
pub(super) struct Break {
    pub(super) request: Fingerprint,
    /// The first parts, and the request's fingerprint after them.
    pub(super) parts: Vec<PartId>,
    /// The other parts in order, less those that were found to be sound.
    pub(super) later: Vec<PartId>,
    /// When the later parts became known here.
    pub(super) later_heard: Duration,
    pub(super) at: Duration,
    /// When it became known here.
    pub(super) heard_at: Duration,
    /// Whether it was a request of this instance.
    pub(super) local: bool,
}

impl Break {
    /// A request of this instance with all parts of its prompt.
    pub(super) fn local(request: Fingerprint, parts: &[PartId], now: Duration) -> Self {
        let (first, later) = parts.split_at(parts.len().min(FIRST_PARTS));
        Self {
            request,
            parts: first.iter().copied().chain([request]).collect(),
            later: distinct(later.iter().copied()),
            later_heard: now,
            at: now,
            heard_at: now,
            local: true,
        }
    }

    /// The first parts, the request's fingerprint and the later parts.
    pub(super) fn all_parts(&self) -> impl Iterator<Item = &PartId> {
        self.parts.iter().chain(&self.later)
    }

    pub(super) fn to_message(&self, later_parts: Vec<PartId>, now: Duration) -> BrokenRequest {
        BrokenRequest {
            request: self.request,
            parts: self.parts.clone(),
            age_ms: millis(now.saturating_sub(self.at)),
            later_parts,
        }
    }

    /// The same for a lease holder that reads the first parts only: suspects take their places.
    pub(super) fn to_first_parts(&self, suspects: &[PartId], now: Duration) -> BrokenRequest {
        let first = self.parts.first().filter(|p| **p != self.request);
        let others = suspects.iter().filter(|p| Some(*p) != first);
        let others = others.take(FIRST_PARTS - 1);
        BrokenRequest {
            request: self.request,
            parts: first
                .into_iter()
                .chain(others)
                .chain([&self.request])
                .copied()
                .collect(),
            age_ms: millis(now.saturating_sub(self.at)),
            later_parts: Vec::new(),
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
            let before = known.later.len();
            let both = known.later.iter().chain(&broken.later).copied();
            known.later = distinct(both);
            if known.later.len() > before {
                known.later_heard = broken.later_heard;
            }
            if broken.at > known.at + ALIVE_MARGIN {
                let (later, later_heard) = (std::mem::take(&mut known.later), known.later_heard);
                *known = Break {
                    later,
                    later_heard,
                    ..broken
                };
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
