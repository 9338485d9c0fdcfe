//! What instances and the lease holder tell each other about ends of endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::{
    BlamedPart, BrokenRequest, CrashEvidence, EndpointDeath, SoundAnswer, millis,
};
use super::death::Break;
use super::later::{MAX_REPORTED_PARTS, distinct};
use super::{Blame, CrashParts, FIRST_PARTS, IncarnationId, PartId, SUSPECT_DEATHS};

/// Time for which an instance repeats an end of an endpoint in its reports.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Most ends of endpoints in one report.
const MAX_REPORTED_DEATHS: usize = 8;
/// Most digests that the lease holder asks about.
const MAX_WATCHED: usize = 128;

impl CrashParts {
    /// What this instance reports to the lease holder; `all` adds ends of endpoints that it
    /// reported before, for a holder that may not know them.
    #[must_use]
    pub fn report(&self, all: bool, now: Duration) -> CrashEvidence {
        let is_due = |b: &&Break| b.local && (all || now < b.at + REPORT_TIME);
        let mut local: Vec<(Duration, IncarnationId, Vec<&Break>)> = Vec::new();
        for (endpoint, death) in &self.deaths {
            let due: Vec<&Break> = death.breaks.iter().filter(is_due).collect();
            if let Some(last) = due.iter().map(|b| b.at).max() {
                local.push((last, *endpoint, due));
            }
        }
        local.sort_by_key(|(last, ..)| std::cmp::Reverse(*last));
        local.truncate(MAX_REPORTED_DEATHS);
        CrashEvidence {
            deaths: self.reported_deaths(&local, now),
            sound: self.sound_answers(now),
            blamed: self.blamed_parts(now),
            watched: Vec::new(),
            reads_later: false,
        }
    }

    /// What the lease holder publishes to all instances.
    #[must_use]
    pub fn notice(&mut self, now: Duration) -> CrashEvidence {
        self.is_publishing = true;
        self.read_prompts();
        let mut watched = BTreeSet::new();
        let tallies = self.tallies(now, Duration::ZERO);
        let suspects = tallies
            .iter()
            .filter(|(_, t)| t.moments() >= SUSPECT_DEATHS);
        for (part, tally) in suspects {
            let rank = std::cmp::Reverse(tally.moments());
            watched.insert((rank, *part));
            watched.extend(tally.endpoints.iter().map(|endpoint| (rank, *endpoint)));
        }
        // An answer of one of these endpoints lifts the blame.
        let blames = self.blamed.values().filter(|b| now < b.until);
        let first = std::cmp::Reverse(usize::MAX);
        watched
            .extend(blames.flat_map(|b| b.deaths.iter().map(|(endpoint, _)| (first, *endpoint))));
        let mut asked = BTreeMap::new();
        for (_, id) in watched {
            if asked.len() >= MAX_WATCHED {
                break;
            }
            asked.insert(id, self.watched.get(&id).copied().unwrap_or(now));
        }
        self.watched = asked;
        CrashEvidence {
            deaths: Vec::new(),
            sound: self.sound_answers(now),
            blamed: self.blamed_parts(now),
            watched: self.watched.keys().copied().collect(),
            reads_later: true,
        }
    }

    /// Takes over what another instance knows, as of `now`.
    pub fn merge(&mut self, evidence: &CrashEvidence, heard_at: Duration, now: Duration) {
        let ago = |age_ms: u32| heard_at.saturating_sub(Duration::from_millis(age_ms.into()));
        for SoundAnswer { id, age_ms } in &evidence.sound {
            self.record_sound(*id, ago(*age_ms));
        }
        for EndpointDeath { endpoint, requests } in &evidence.deaths {
            for BrokenRequest {
                request,
                parts,
                age_ms,
                later_parts,
            } in requests
            {
                let at = ago(*age_ms);
                // A report repeats parts of which this instance knows a sound answer by now.
                let is_sound = |part: &PartId| self.sound.last(*part).is_some_and(|s| s >= at);
                let later = later_parts.iter().take(MAX_REPORTED_PARTS).copied();
                let broken = Break {
                    request: *request,
                    // The request's own fingerprint comes after the parts.
                    parts: parts.iter().take(FIRST_PARTS + 1).copied().collect(),
                    later: distinct(later.filter(|part| !is_sound(part))),
                    later_heard: now,
                    at,
                    heard_at: now,
                    local: false,
                };
                self.add_break(*endpoint, broken, now);
            }
        }
        self.merge_blamed(&evidence.blamed, heard_at);
    }

    /// Takes over what another instance blames.
    pub fn merge_blamed(&mut self, blamed: &[BlamedPart], heard_at: Duration) {
        let ago = |age_ms: u32| heard_at.saturating_sub(Duration::from_millis(age_ms.into()));
        for blamed in blamed {
            let at = ago(blamed.age_ms);
            let until = heard_at + Duration::from_millis(blamed.left_ms.into());
            let known = self.blamed.get(&blamed.part);
            if self.sound.last(blamed.part).is_some_and(|sound| sound > at)
                || known.is_some_and(|b| b.rounds >= blamed.rounds)
            {
                continue;
            }
            let blame = Blame {
                at,
                until,
                rounds: blamed.rounds,
                deaths: Vec::new(),
            };
            self.insert_blame(blamed.part, blame);
        }
    }

    /// Takes over what the lease holder publishes.
    pub fn apply_notice(&mut self, notice: &CrashEvidence, now: Duration) {
        self.merge(notice, now, now);
        let asked = notice.watched.iter().take(MAX_WATCHED).copied();
        self.watched = asked.map(|id| (id, now)).collect();
        self.is_publishing = false;
        self.reads_later = Some(notice.reads_later);
        self.heard_at = now;
        let is_new = |id: &&u64| !self.candidates.contains(*id);
        let new: Vec<u64> = self.watched.keys().filter(is_new).copied().collect();
        self.add_candidates(new, Duration::ZERO);
        self.read_prompts();
    }

    /// Last sound answers with what the lease holder asks about or what was cleared.
    fn sound_answers(&self, now: Duration) -> Vec<SoundAnswer> {
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|id| !self.watched.contains_key(*id));
        let ids = self.watched.keys().chain(cleared);
        ids.filter_map(|id| {
            let age_ms = millis(now.saturating_sub(self.sound.last(*id)?));
            Some(SoundAnswer { id: *id, age_ms })
        })
        .collect()
    }

    /// What is blamed, as a message says it.
    #[must_use]
    pub fn blamed_parts(&self, now: Duration) -> Vec<BlamedPart> {
        let blamed = self.blamed.iter();
        blamed
            .map(|(part, blame)| BlamedPart {
                part: *part,
                age_ms: millis(now.saturating_sub(blame.at)),
                left_ms: millis(blame.until.saturating_sub(now)),
                rounds: blame.rounds,
            })
            .collect()
    }
}
