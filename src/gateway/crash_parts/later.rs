//! Parts of prompts after the first ones: which are looked for, kept and reported.
//!
//! A head may list thousands of parts. Those with a sound answer since are dropped. What is left is
//! bounded at each instance; parts that recur there stay. Reports have some at a time, so that those of
//! all requests reach the lease holder within seconds; parts that recur go first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::EndpointDeath;
use super::death::Break;
use super::sound::SoundParts;
use super::{CrashParts, IncarnationId, PartId};

/// Most later parts in one report.
pub(super) const MAX_REPORTED_PARTS: usize = 2048;
/// Most later parts kept of all requests.
const MAX_KEPT_PARTS: usize = 65_536;
/// Candidates from which those of forgotten requests are dropped.
const MAX_CANDIDATES: usize = 4 * MAX_KEPT_PARTS;
/// Time after a closed connection in which sound answers take parts out, before the others are reported.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time for which a report has the same part of them, before the next part follows.
const SLICE_TIME: Duration = Duration::from_millis(200);
/// Interval between two searches for parts with a sound answer.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

impl CrashParts {
    /// Keeps the prompt of an answer that has begun, and takes note of candidates in it.
    pub(super) fn add_sound_prompt(&mut self, mut parts: SoundParts, now: Duration) {
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

    /// Bounds the later parts of all requests.
    ///
    /// The requests with most of them are cut first. What recurs stays, and then what has the smallest
    /// digest, which is the same at all instances.
    pub(super) fn bound_later_parts(&mut self) {
        let breaks = self.deaths.values().flat_map(|d| &d.breaks);
        let mut kept: usize = breaks.map(|b| b.later.len()).sum();
        if kept <= MAX_KEPT_PARTS {
            return;
        }
        let deaths = self.death_counts(|_| true);
        while kept > MAX_KEPT_PARTS / 4 * 3 {
            let breaks = self.deaths.values_mut().flat_map(|d| &mut d.breaks);
            let Some(longest) = breaks.max_by_key(|b| b.later.len()) else {
                return;
            };
            let before = longest.later.len();
            let mut ranked = longest.later.clone();
            ranked.sort_by_cached_key(|part| (Reverse(deaths.get(part)), *part));
            ranked.truncate(before / 2);
            let ranked: BTreeSet<PartId> = ranked.into_iter().collect();
            longest.later.retain(|part| ranked.contains(part));
            longest.later.shrink_to_fit();
            kept -= before - longest.later.len();
        }
    }

    /// Ends of endpoints as a report has them, with some of the later parts.
    ///
    /// Where there are more than one report may have, the next reports have the others.
    pub(super) fn reported_deaths(
        &self,
        deaths: &[(Duration, IncarnationId, Vec<&Break>)],
        now: Duration,
    ) -> Vec<EndpointDeath> {
        let is_due = |b: &Break| !b.later.is_empty() && now >= b.at + REPORT_DELAY;
        let due: Vec<&Break> = deaths
            .iter()
            .flat_map(|(.., breaks)| breaks.iter().copied())
            .filter(|b| is_due(b))
            .collect();
        let own_deaths = if due.is_empty() {
            BTreeMap::new()
        } else {
            self.death_counts(|b| b.local)
        };
        let suspects = self.suspects(&due, &own_deaths);
        let slice = slice(&suspects, MAX_REPORTED_PARTS / deaths.len().max(1), now);
        let mut reported = Vec::new();
        for (_, endpoint, breaks) in deaths {
            // One request of an incarnation stands for all that share a part.
            let mut missing = slice.clone();
            let requests = breaks.iter().map(|broken| match self.reads_later {
                Some(true) if is_due(broken) => {
                    let later = broken.later.iter().filter(|p| missing.remove(*p));
                    broken.to_message(later.copied().collect(), now)
                }
                Some(false) if is_due(broken) => {
                    let suspects = self.suspects(&[broken], &own_deaths);
                    broken.to_first_parts(&suspects, now)
                }
                _ => broken.to_message(Vec::new(), now),
            });
            reported.push(EndpointDeath {
                endpoint: *endpoint,
                requests: requests.collect(),
            });
        }
        reported
    }

    /// Deaths that each later part was in, by those of the closed connections that count.
    fn death_counts(&self, is_counted: impl Fn(&Break) -> bool) -> BTreeMap<PartId, usize> {
        let mut counts = BTreeMap::new();
        for death in self.deaths.values() {
            let breaks = death.breaks.iter().filter(|b| is_counted(b));
            let parts: BTreeSet<PartId> = breaks.flat_map(|b| b.later.iter().copied()).collect();
            for part in parts {
                *counts.entry(part).or_default() += 1;
            }
        }
        counts
    }

    /// Later parts that nothing clears, the most suspect first.
    fn suspects(&self, breaks: &[&Break], own_deaths: &BTreeMap<PartId, usize>) -> Vec<PartId> {
        let unsound = |part: PartId, since: Duration| {
            let last = self.sound.last(part);
            last.is_none_or(|last| last < since)
        };
        let suspects: BTreeSet<PartId> = breaks
            .iter()
            .flat_map(|b| b.later.iter().copied().filter(|p| unsound(*p, b.at)))
            .collect();
        let mut suspects: Vec<PartId> = suspects.into_iter().collect();
        suspects.sort_by_cached_key(|part| {
            let is_known = self.blamed.contains_key(part) || self.watched.contains_key(part);
            (!is_known, Reverse(own_deaths.get(part)), *part)
        });
        suspects
    }
}

/// The suspects whose turn it is: the first half of a report is for the most suspect ones, the rest
/// goes round.
fn slice(suspects: &[PartId], most: usize, now: Duration) -> BTreeSet<PartId> {
    if suspects.len() <= most {
        return suspects.iter().copied().collect();
    }
    let (first, others) = suspects.split_at(most / 2);
    let size = (most - first.len()).max(1);
    let slices = others.len().div_ceil(size).max(1);
    let turn = now.as_millis() / SLICE_TIME.as_millis();
    let turn = usize::try_from(turn).unwrap_or_default() % slices;
    let others = others.iter().skip(turn * size).take(size);
    first.iter().chain(others).copied().collect()
}

/// Parts in order, each once.
pub(super) fn distinct(parts: impl Iterator<Item = PartId>) -> Vec<PartId> {
    let mut seen = BTreeSet::new();
    parts.filter(|part| seen.insert(*part)).collect()
}
