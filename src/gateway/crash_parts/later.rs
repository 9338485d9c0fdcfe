//! Parts of prompts after the first ones: which are looked for, kept and reported.
//!
//! A head may list thousands of parts. Those with a sound answer since are dropped, and what is left is
//! bounded at each instance and in each report. All instances leave out the same parts where there are
//! too many, so that a part which recurs is kept by all or by none; one that recurs at an instance goes
//! first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::{BrokenRequest, EndpointDeath};
use super::death::Break;
use super::sound::Parts;
use super::{CrashParts, IncarnationId, PartId};

/// Most later parts of one request in a report.
pub(super) const MAX_LATER_PARTS: usize = 512;
/// Most later parts in one report.
const MAX_REPORTED_PARTS: usize = 2048;
/// Most later parts kept of all requests.
const MAX_KEPT_PARTS: usize = 65_536;
/// Candidates from which those of forgotten requests are dropped.
const MAX_CANDIDATES: usize = 4 * MAX_KEPT_PARTS;
/// Time after a closed connection in which sound answers take parts out, before the others are reported.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time after a closed connection until which they are repeated.
const REPORT_END: Duration = Duration::from_millis(1200);
/// Interval between two searches for parts with a sound answer.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

impl CrashParts {
    /// Keeps the prompt of an answer that has begun, and takes note of candidates in it.
    pub(super) fn add_sound_prompt(&mut self, mut parts: Parts, now: Duration) {
        self.read_prompts();
        if !self.candidates.is_empty() {
            let ids = parts.digested().iter();
            let found: Vec<PartId> = ids
                .filter(|p| self.candidates.contains(p))
                .copied()
                .collect();
            for part in found {
                self.record_sound(part, now);
            }
        }
        self.prompts.add(parts, now);
    }

    /// Looks for parts from now on, and in the prompts kept since a time.
    pub(super) fn add_candidates(&mut self, parts: Vec<PartId>, since: Duration) {
        let before = self.candidates.len();
        self.candidates.extend(parts);
        if self.candidates.len() > before {
            let unread = self.unread_since.map_or(since, |unread| unread.min(since));
            self.unread_since = Some(unread);
        }
        if self.candidates.len() > MAX_CANDIDATES {
            self.drop_candidates();
        }
    }

    /// Drops candidates that nothing speaks against any more.
    fn drop_candidates(&mut self) {
        let breaks = self.deaths.values().flat_map(|d| &d.breaks);
        let suspects = breaks.flat_map(|b| b.all_parts().copied());
        let asked = self.watched.keys().chain(self.blamed.keys()).copied();
        self.candidates = suspects.chain(asked).collect();
    }

    /// Takes note of candidates in the prompts that were not searched for them yet.
    pub(super) fn read_prompts(&mut self) {
        let Some(since) = self.unread_since.take() else {
            return;
        };
        let candidates = &self.candidates;
        let found = self.prompts.last_with(since, |p| candidates.contains(&p));
        for (part, at) in found {
            self.record_sound(part, at);
        }
    }

    /// Drops later parts that had a sound answer after the endpoint ended.
    pub(super) fn prune_later_parts(&mut self, now: Duration) {
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let sound = &self.sound;
        for broken in self.deaths.values_mut().flat_map(|d| &mut d.breaks) {
            let at = broken.at;
            broken
                .later
                .retain(|part| sound.last(*part).is_none_or(|last| last < at));
        }
        self.drop_candidates();
    }

    /// Bounds the later parts of all requests; those with most of them are cut first.
    pub(super) fn bound_later_parts(&mut self) {
        let count = |parts: &Self| -> usize {
            let breaks = parts.deaths.values().flat_map(|d| &d.breaks);
            breaks.map(|b| b.later.len()).sum()
        };
        let mut kept = count(self);
        while kept > MAX_KEPT_PARTS {
            let breaks = self.deaths.values_mut().flat_map(|d| &mut d.breaks);
            let Some(longest) = breaks.max_by_key(|b| b.later.len()) else {
                return;
            };
            let before = longest.later.len();
            let smallest = smallest(&longest.later, before / 2);
            longest.later.retain(|part| smallest.contains(part));
            longest.later.shrink_to_fit();
            kept -= before - longest.later.len();
        }
    }

    /// Ends of endpoints as a report has them; `all` leaves no later part out for its age.
    pub(super) fn reported_deaths(
        &self,
        deaths: &[(Duration, IncarnationId, Vec<&Break>)],
        all: bool,
        now: Duration,
    ) -> Vec<EndpointDeath> {
        let recurrences = self.own_recurrences();
        let mut room = MAX_REPORTED_PARTS;
        let mut reported = Vec::new();
        for (_, endpoint, breaks) in deaths {
            let mut requests: Vec<BrokenRequest> = Vec::new();
            for broken in breaks {
                let is_due = now >= broken.at + REPORT_DELAY;
                let is_new = all || now < broken.at + REPORT_END;
                if broken.later.is_empty() || !is_due || !is_new || self.reads_later.is_none() {
                    requests.push(broken.to_message(Vec::new(), now));
                    continue;
                }
                let suspects = self.suspects(broken, &recurrences, room.min(MAX_LATER_PARTS));
                if self.reads_later == Some(false) {
                    requests.push(broken.to_first_parts(&suspects, now));
                    continue;
                }
                let suspects: BTreeSet<PartId> = suspects.into_iter().collect();
                let later = broken.later.iter().filter(|p| suspects.contains(p));
                let later: Vec<PartId> = later.copied().collect();
                room -= later.len().min(room);
                requests.push(broken.to_message(later, now));
            }
            let endpoint = *endpoint;
            reported.push(EndpointDeath { endpoint, requests });
        }
        reported
    }

    /// Deaths at this instance that each later part was in.
    fn own_recurrences(&self) -> BTreeMap<PartId, usize> {
        let mut recurrences = BTreeMap::new();
        for death in self.deaths.values() {
            let own = death.breaks.iter().filter(|b| b.local);
            let mut parts: Vec<PartId> = own.flat_map(|b| b.later.iter().copied()).collect();
            parts.sort_unstable();
            parts.dedup();
            for part in parts {
                *recurrences.entry(part).or_default() += 1;
            }
        }
        recurrences
    }

    /// Later parts of a request that nothing clears, the most suspect first.
    fn suspects(
        &self,
        broken: &Break,
        recurrences: &BTreeMap<PartId, usize>,
        most: usize,
    ) -> Vec<PartId> {
        let parts = broken.later.iter().copied();
        let unsound = |p: &PartId| self.sound.last(*p).is_none_or(|last| last < broken.at);
        let mut suspects: Vec<PartId> = parts.filter(unsound).collect();
        suspects.sort_by_cached_key(|part| {
            let is_known = self.blamed.contains_key(part) || self.watched.contains_key(part);
            let count = recurrences.get(part).copied().unwrap_or_default();
            (!is_known, std::cmp::Reverse(count), *part)
        });
        suspects.truncate(most);
        suspects
    }
}

/// Parts in order, each once.
pub(super) fn distinct(parts: impl Iterator<Item = PartId>) -> Vec<PartId> {
    let mut seen = BTreeSet::new();
    parts.filter(|part| seen.insert(*part)).collect()
}

/// The smallest parts by their digests.
fn smallest(parts: &[PartId], most: usize) -> BTreeSet<PartId> {
    let mut sorted = parts.to_vec();
    sorted.sort_unstable();
    sorted.truncate(most);
    sorted.into_iter().collect()
}
