//! Decides which part the ends of endpoints have in common.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::death::{ALIVE_MARGIN, Death};
use super::{
    BLAME_TIME, Blame, CrashParts, FIRST_PARTS, IncarnationId, MAX_BLAME_TIME, PartId,
    SUSPECT_DEATHS,
};

/// Deaths at different times after which a request or a part is blamed.
const BLAME_DEATHS: usize = 3;
/// The same for the first part of a prompt, which nearly all requests of a service share.
const FIRST_PART_DEATHS: usize = 5;
/// Least time from the first to the last of the deaths for which the first part is blamed.
const FIRST_PART_SPAN: Duration = Duration::from_secs(3);
/// Time within which deaths count as one event, such as the end of a host.
const MOMENT: Duration = Duration::from_millis(100);
/// Time in which the other instances report sound answers, before a death counts.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// What speaks against a part.
#[derive(Debug, Default)]
pub(super) struct Tally {
    times: BTreeSet<Duration>,
    requests: BTreeSet<u64>,
    /// Largest index of the part in a prompt.
    depth: usize,
    is_first: bool,
    /// Whether it is among the first parts of a prompt.
    is_early: bool,
    /// Whether it is a request, not a part.
    is_request: bool,
    pub(super) endpoints: BTreeSet<IncarnationId>,
    deaths: Vec<(IncarnationId, Duration)>,
}

impl Tally {
    /// Number of deaths at different times.
    pub(super) fn moments(&self) -> usize {
        moments(&self.times)
    }

    /// Least number of deaths at different times.
    const fn least_deaths(&self, was_blamed: bool) -> usize {
        match (self.is_first, was_blamed) {
            (_, true) => 1,
            (true, false) => FIRST_PART_DEATHS,
            (false, false) => BLAME_DEATHS,
        }
    }

    fn span(&self) -> Duration {
        let (first, last) = (self.times.first(), self.times.last());
        let span = first
            .zip(last)
            .map(|(first, last)| last.saturating_sub(*first));
        span.unwrap_or_default()
    }

    /// Whether it is to be blamed; one request that is sent again and again proves nothing of its
    /// parts.
    fn is_proved(&self, was_blamed: bool) -> bool {
        let is_varied = self.is_request || self.requests.len() > 1;
        let is_spread = !self.is_first || self.span() >= FIRST_PART_SPAN;
        self.moments() >= self.least_deaths(was_blamed) && (was_blamed || (is_varied && is_spread))
    }
}

/// Number of times that lie apart.
fn moments(times: &BTreeSet<Duration>) -> usize {
    let mut last = None;
    let apart = times.iter().filter(|at| {
        let apart = last.is_none_or(|last| **at >= last + MOMENT);
        if apart {
            last = Some(**at);
        }
        apart
    });
    apart.count()
}

impl CrashParts {
    /// Blames the parts that the evidence proves.
    ///
    /// What a blamed part explains no longer speaks against others, so that requests that only
    /// shared its endpoints are served.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::crash_parts::{CrashParts, incarnation_id, part_ids};
    ///
    /// let parts = part_ids(&["shared".into(), "bad".into()]);
    /// let mut known = CrashParts::default();
    /// for n in 1..=3 {
    ///     known.record_break(incarnation_id("i-1", n), n, &parts, Duration::from_secs(n));
    /// }
    /// let now = Duration::from_secs(5);
    /// known.judge(now);
    /// let refused = known.refusal(&parts, now);
    /// assert_eq!(refused.map(|(index, _)| index), Some(1));
    /// ```
    pub fn judge(&mut self, now: Duration) {
        self.judged_at = now;
        self.read_prompts();
        self.prune_later_parts(now);
        self.lift_disproved(now);
        let blame_kept = |b: &Blame| now < b.until + BLAME_TIME;
        self.blamed.retain(|_, blame| blame_kept(blame));
        while let Some((part, tally)) = self.most_suspect(now) {
            let rounds = self.blamed.get(&part).map_or(0, |b| b.rounds) + 1;
            let time = BLAME_TIME * 2_u32.pow(rounds.min(8) - 1);
            let until = now + time.min(MAX_BLAME_TIME);
            let refused_ms = super::millis(until.saturating_sub(now));
            if tally.is_request {
                log::warn!(fingerprint = part, breaks = tally.moments(), rounds = rounds,
                    refused_ms = refused_ms;
                    "request refused from now on: endpoints end while they run it");
            } else {
                log::warn!(part = part, deaths = tally.moments(), requests = tally.requests.len(),
                    rounds = rounds, refused_ms = refused_ms;
                    "prompt part refused from now on: endpoints end before they answer it");
            }
            let blame = Blame {
                at: now,
                until,
                rounds,
                deaths: tally.deaths,
            };
            self.insert_blame(part, blame);
        }
    }

    /// Lifts the blame for deaths of endpoints that have turned out to live.
    fn lift_disproved(&mut self, now: Duration) {
        let mut lifted = Vec::new();
        for (part, blame) in self.blamed.iter().filter(|(_, b)| now < b.until) {
            let held = blame.deaths.iter();
            let held = held.filter(|(endpoint, at)| !self.is_disproved(*endpoint, *at));
            let times: BTreeSet<Duration> = held.map(|(_, at)| *at).collect();
            let least = if blame.rounds > 1 { 1 } else { BLAME_DEATHS };
            if !blame.deaths.is_empty() && moments(&times) < least {
                lifted.push(*part);
            }
        }
        for part in lifted {
            log::warn!(id = part; "refusal lifted: the endpoints that it rests on answer");
            self.clear_blame(part);
            // Others lift it as they do after an answer with it.
            self.sound.record(part, now);
        }
    }

    /// The part with most deaths among those that are proved; the first part of prompts comes last.
    fn most_suspect(&self, now: Duration) -> Option<(PartId, Tally)> {
        let proved = self
            .tallies(now, SETTLE_TIME)
            .into_iter()
            .filter(|(part, tally)| tally.is_proved(self.blamed.contains_key(part)))
            .filter(|(part, tally)| tally.is_early || self.is_asked(*part, now));
        proved.max_by_key(|(_, t)| (!t.is_first, t.moments(), t.depth))
    }

    /// Whether all instances had time to tell of sound answers with a later part.
    ///
    /// Its sound answers are known only once the lease holder has asked; an instance by itself goes by
    /// its own.
    fn is_asked(&self, part: PartId, now: Duration) -> bool {
        let asked_at = self.watched.get(&part);
        !self.is_publishing || asked_at.is_some_and(|at| now >= *at + SETTLE_TIME)
    }

    /// Parts on which several deaths bear, and those that were blamed before.
    fn recurring(&self) -> BTreeSet<PartId> {
        let mut all: Vec<PartId> = Vec::new();
        for death in self.deaths.values() {
            let breaks = death.breaks.iter();
            let mut parts: Vec<PartId> = breaks.flat_map(|b| b.all_parts().copied()).collect();
            parts.sort_unstable();
            parts.dedup();
            all.append(&mut parts);
        }
        all.sort_unstable();
        let runs = all.chunk_by(|a, b| a == b);
        let several = runs.filter(|run| run.len() >= SUSPECT_DEATHS);
        let several = several.filter_map(|run| run.first().copied());
        several.chain(self.blamed.keys().copied()).collect()
    }

    /// What speaks against each recurring part, by deaths that have been known for `settled`.
    pub(super) fn tallies(&self, now: Duration, settled: Duration) -> BTreeMap<PartId, Tally> {
        let mut tallies: BTreeMap<PartId, Tally> = BTreeMap::new();
        if self.deaths.is_empty() {
            return tallies;
        }
        let recurring = self.recurring();
        for (endpoint, death) in self.deaths.iter().filter(|(_, d)| !self.explains(d)) {
            let answered = self.sound.last(*endpoint).unwrap_or_default();
            let mut times: BTreeMap<PartId, Duration> = BTreeMap::new();
            let breaks = death.breaks.iter();
            let counted = breaks.filter(|b| now >= b.heard_at + settled);
            for broken in counted.filter(|b| answered <= b.at + ALIVE_MARGIN) {
                let is_settled = now >= broken.later_heard + settled;
                let later = broken.later.iter().filter(|_| is_settled);
                for (depth, part) in broken.parts.iter().chain(later).enumerate() {
                    if !recurring.contains(part) {
                        continue;
                    }
                    if self.sound.last(*part).is_some_and(|at| at >= broken.at) {
                        continue;
                    }
                    let time = times.entry(*part).or_default();
                    *time = broken.at.max(*time);
                    let tally = tallies.entry(*part).or_default();
                    tally.requests.insert(broken.request);
                    tally.endpoints.insert(*endpoint);
                    tally.depth = tally.depth.max(depth);
                    tally.is_request |= *part == broken.request;
                    tally.is_early |= depth <= FIRST_PARTS && depth < broken.parts.len();
                    tally.is_first |= depth == 0 && *part != broken.request;
                }
            }
            for (part, time) in times {
                let tally = tallies.entry(part).or_default();
                tally.times.insert(time);
                tally.deaths.push((*endpoint, time));
            }
        }
        tallies
    }

    /// Whether a request with a blamed part was on the endpoint before or during its refusal.
    fn explains(&self, death: &Death) -> bool {
        let mut breaks = death.breaks.iter();
        breaks.any(|broken| {
            let mut blames = broken.all_parts().filter_map(|p| self.blamed.get(p));
            blames.any(|blame| broken.at < blame.until)
        })
    }
}
