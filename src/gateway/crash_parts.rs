//! Finds the requests, and the parts of prompts, under which endpoints end.
//!
//! Evidence is the end of an incarnation of an endpoint together with the requests that were on it;
//! a part counts where their answer had not begun. A request or part is blamed after several such
//! ends at different times without an answer in between, at any instance. A closed connection of an
//! incarnation that goes on answering is no end: the blame that rests on it is lifted. The lease
//! holder joins the evidence of all instances and publishes what is blamed; an instance without a
//! holder uses its own.
//! Reasons and bounds: `docs/design/crash-suspects.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash_suspects::Fingerprint;
use super::link::{BlamedPart, BrokenRequest, CrashEvidence, EndpointDeath, SoundAnswer, millis};
use super::prompt_parts::PromptParts;

mod death;
mod later;
mod sound;
mod verdict;

use death::{ALIVE_MARGIN, Break, Death};
use later::{MAX_REPORTED_PARTS, distinct};
use sound::{Parts, SoundPrompts, SoundTimes};

/// Time after which an endpoint's end no longer counts.
const DEATH_TTL: Duration = Duration::from_mins(5);
/// Time for which an instance repeats an end of an endpoint in its reports.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time without word of the lease holder after which an instance judges by itself.
const ALONE_TIME: Duration = Duration::from_millis(1500);
/// Interval between two verdicts of an instance without a lease holder.
const VERDICT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests with a blamed part are refused at first.
const BLAME_TIME: Duration = Duration::from_mins(10);
/// Longest time for which they are refused, after the part was blamed again and again.
const MAX_BLAME_TIME: Duration = Duration::from_hours(2);
/// Most ends of endpoints that are kept.
const MAX_DEATHS: usize = 128;
/// Most first parts of a prompt, which are reported at once.
const MAX_PARTS: usize = 8;
/// Most ends of endpoints in one report.
const MAX_REPORTED_DEATHS: usize = 8;
/// Most parts that are blamed at a time.
const MAX_BLAMED: usize = 256;
/// Most digests that the lease holder asks about.
const MAX_WATCHED: usize = 128;
/// Deaths at different times from which a request with a part is not sent a second time.
const SUSPECT_DEATHS: usize = 2;
/// Deaths at this instance at which it refuses a request before they are joined with others'.
const OWN_DEATHS: usize = 3;
/// Time after which a request that only this instance refuses may come back.
const OWN_REFUSAL: Duration = Duration::from_secs(1);

/// Digest of the id of a prompt's part.
pub type PartId = u64;
/// Digest of an incarnation of an endpoint.
pub type IncarnationId = u64;

fn digest(text: &str, number: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(text.as_bytes());
    hasher.update(&number.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Digests of the ids of a prompt's parts.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::crash_parts::part_ids;
///
/// let ids = part_ids(&["91bd".into(), "e440".into()]);
/// assert_eq!(ids.len(), 2);
/// assert_ne!(ids[0], ids[1]);
/// ```
#[must_use]
pub fn part_ids(parts: &[String]) -> Vec<PartId> {
    parts.iter().map(|part| part_id(part)).collect()
}

/// Digest of the id of a prompt's part.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::crash_parts::part_id;
///
/// assert_ne!(part_id("91bd"), part_id("e440"));
/// ```
#[must_use]
pub fn part_id(part: &str) -> PartId {
    digest(part, 0)
}

/// Digest of an incarnation of an endpoint, from its id and its start in Unix milliseconds.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::crash_parts::incarnation_id;
///
/// assert_ne!(incarnation_id("i-1", 5), incarnation_id("i-1", 6));
/// ```
#[must_use]
pub fn incarnation_id(endpoint: &str, started_ms: u64) -> IncarnationId {
    digest(endpoint, started_ms.wrapping_add(1))
}

#[derive(Debug, Clone)]
struct Blame {
    at: Duration,
    until: Duration,
    rounds: u32,
    /// Deaths on which the blame rests; empty where another instance sent the blame.
    deaths: Vec<(IncarnationId, Duration)>,
}

/// What an instance knows about requests and parts of prompts under which endpoints end.
///
/// A request has its fingerprint in place of a part's digest.
#[derive(Debug, Default)]
pub struct CrashParts {
    deaths: BTreeMap<IncarnationId, Death>,
    sound: SoundTimes,
    prompts: SoundPrompts,
    /// Parts of which sound answers are looked for: suspects, blamed ones, and what is asked about.
    candidates: BTreeSet<PartId>,
    /// Time from which kept prompts may hold candidates that were not looked for yet.
    unread_since: Option<Duration>,
    pruned_at: Duration,
    blamed: BTreeMap<PartId, Blame>,
    /// Digests that the lease holder asks about, since when, and those of which this instance tells
    /// others.
    watched: BTreeMap<u64, Duration>,
    /// Whether this instance publishes what it asks about, as the lease holder.
    is_publishing: bool,
    /// Whether the lease holder reads later parts of prompts; none before it was heard.
    reads_later: Option<bool>,
    cleared: BTreeSet<PartId>,
    heard_at: Duration,
    judged_at: Duration,
}

impl CrashParts {
    /// Records that an endpoint closed the connection of a request; `parts` are those of its prompt
    /// if its answer had not begun, else none.
    pub fn record_break(
        &mut self,
        endpoint: IncarnationId,
        request: Fingerprint,
        parts: &[PartId],
        now: Duration,
    ) {
        self.add_break(endpoint, Break::local(request, parts, now), now);
    }

    /// Records that an endpoint has answered, whatever it has.
    pub fn record_alive(&mut self, endpoint: IncarnationId, now: Duration) {
        self.record_sound(endpoint, now);
    }

    /// Records that the answer to a request with these parts began at an endpoint.
    pub fn record_begun(&mut self, endpoint: IncarnationId, parts: &[PartId], now: Duration) {
        self.record_sound(endpoint, now);
        self.add_sound_prompt(Parts::Digested(parts.to_vec()), now);
    }

    /// Records that the answer to a request with this prompt began at an endpoint.
    pub fn record_begun_prompt(
        &mut self,
        endpoint: IncarnationId,
        prompt: &PromptParts,
        now: Duration,
    ) {
        self.record_sound(endpoint, now);
        self.add_sound_prompt(Parts::Named(prompt.clone()), now);
    }

    /// Records that a request has a whole answer; only of interest for one that broke before.
    pub fn record_whole(&mut self, request: Fingerprint, now: Duration) {
        if self.watched.contains_key(&request) || self.own_breaks(request).next().is_some() {
            self.record_sound(request, now);
        }
    }

    /// Connections of a request that endpoints closed, with their endpoints.
    fn own_breaks(&self, request: Fingerprint) -> impl Iterator<Item = (IncarnationId, &Break)> {
        let deaths = self.deaths.iter();
        deaths.flat_map(move |(endpoint, death)| {
            let of_request = death.breaks.iter().filter(move |b| b.request == request);
            of_request.map(move |b| (*endpoint, b))
        })
    }

    /// Time for which a request is refused, as endpoints end while they run it.
    #[must_use]
    pub fn request_refusal(&self, request: Fingerprint, now: Duration) -> Option<Duration> {
        if let Some(blame) = self.blamed.get(&request).filter(|b| now < b.until) {
            return Some(blame.until.saturating_sub(now));
        }
        let sound = self.sound.last(request).unwrap_or_default();
        let counted = self
            .own_breaks(request)
            .filter(|(endpoint, b)| b.at > sound && !self.is_disproved(*endpoint, b.at));
        (counted.count() >= OWN_DEATHS).then_some(OWN_REFUSAL)
    }

    /// Fingerprints and parts that are blamed now.
    #[must_use]
    pub fn blamed_ids(&self, now: Duration) -> Vec<u64> {
        let blamed = self.blamed.iter().filter(|(_, b)| now < b.until);
        blamed.map(|(id, _)| *id).collect()
    }

    /// Whether an endpoint went on answering after it closed a connection.
    fn is_disproved(&self, endpoint: IncarnationId, closed_at: Duration) -> bool {
        let answered = self.sound.last(endpoint).unwrap_or_default();
        answered > closed_at + ALIVE_MARGIN
    }

    /// Time for which a request with these parts is refused, and the index of the blamed part.
    pub fn refusal(&mut self, parts: &[PartId], now: Duration) -> Option<(usize, Duration)> {
        self.refusal_by(parts.iter().copied(), now)
    }

    /// The same for a prompt.
    pub fn prompt_refusal(
        &mut self,
        prompt: &PromptParts,
        now: Duration,
    ) -> Option<(usize, Duration)> {
        self.refusal_by(prompt.iter().map(part_id), now)
    }

    fn refusal_by(
        &mut self,
        parts: impl Iterator<Item = PartId>,
        now: Duration,
    ) -> Option<(usize, Duration)> {
        if now > self.heard_at + ALONE_TIME && now > self.judged_at + VERDICT_INTERVAL {
            self.judge(now);
        }
        if self.blamed.is_empty() {
            return None;
        }
        parts.enumerate().find_map(|(index, part)| {
            let blame = self.blamed.get(&part).filter(|b| now < b.until)?;
            Some((index, blame.until.saturating_sub(now)))
        })
    }

    /// Whether one of the parts is close to being blamed, so that its requests are sent once only.
    ///
    /// The first part is left out, as nearly all requests share it.
    #[must_use]
    pub fn is_suspect(&self, parts: &[PartId], now: Duration) -> bool {
        self.is_any_suspect(parts.iter().copied(), now)
    }

    /// The same for a prompt.
    #[must_use]
    pub fn is_suspect_prompt(&self, prompt: &PromptParts, now: Duration) -> bool {
        self.is_any_suspect(prompt.iter().map(part_id), now)
    }

    fn is_any_suspect(&self, parts: impl Iterator<Item = PartId>, now: Duration) -> bool {
        if self.watched.is_empty() && self.deaths.is_empty() {
            return false;
        }
        let own = self.tallies(now, Duration::ZERO);
        let mut others = parts.skip(1);
        others.any(|part| {
            self.watched.contains_key(&part)
                || own
                    .get(&part)
                    .is_some_and(|t| t.moments() >= SUSPECT_DEATHS)
        })
    }

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
                    parts: parts.iter().take(MAX_PARTS + 1).copied().collect(),
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

    fn add_break(&mut self, endpoint: IncarnationId, broken: Break, now: Duration) {
        if now >= broken.at + DEATH_TTL {
            return;
        }
        let sound = &self.sound;
        self.deaths.retain(|endpoint, death| {
            let answered = sound.last(*endpoint).unwrap_or_default();
            now < death.last() + DEATH_TTL && answered <= death.last() + ALIVE_MARGIN
        });
        let (parts, at) = (broken.all_parts().copied().collect(), broken.at);
        self.add_candidates(parts, at);
        self.deaths.entry(endpoint).or_default().add(broken);
        if self.deaths.len() > MAX_DEATHS {
            let oldest = self.deaths.iter().min_by_key(|(_, d)| d.last());
            if let Some(oldest) = oldest.map(|(endpoint, _)| *endpoint) {
                self.deaths.remove(&oldest);
            }
        }
        self.bound_later_parts();
    }

    fn record_sound(&mut self, id: u64, at: Duration) {
        self.sound.record(id, at);
        if self.blamed.get(&id).is_some_and(|blame| at > blame.at) {
            self.clear_blame(id);
            log::info!(part = id; "prompt part no longer refused: an answer with it has begun");
        }
    }

    fn clear_blame(&mut self, id: u64) {
        self.blamed.remove(&id);
        self.cleared.insert(id);
        while self.cleared.len() > MAX_BLAMED {
            self.cleared.pop_first();
        }
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

    fn insert_blame(&mut self, part: PartId, blame: Blame) {
        self.cleared.remove(&part);
        self.add_candidates(vec![part], blame.at);
        self.blamed.insert(part, blame);
        while self.blamed.len() > MAX_BLAMED {
            let oldest = self.blamed.iter().min_by_key(|(_, b)| b.at);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.blamed.remove(&oldest);
        }
    }
}
