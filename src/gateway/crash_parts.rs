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
use super::link::millis;
use super::prompt_parts::PromptParts;

mod death;
mod exchange;
mod later;
mod sound;
mod verdict;

use death::{ALIVE_MARGIN, Break, Death};
use sound::{SoundParts, SoundPrompts, SoundTimes};

/// Time after which an endpoint's end no longer counts.
const DEATH_TTL: Duration = Duration::from_mins(5);
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
/// Number of parts at the beginning of a prompt that are reported at once; later ones follow.
const FIRST_PARTS: usize = 8;
/// Most parts that are blamed at a time.
const MAX_BLAMED: usize = 256;
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
    /// Parts, requests and endpoints whose last sound answers the lease holder asks for, and since when.
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
        self.add_sound_prompt(SoundParts::Digested(parts.to_vec()), now);
    }

    /// Records that the answer to a request with this prompt began at an endpoint.
    pub fn record_begun_prompt(
        &mut self,
        endpoint: IncarnationId,
        prompt: &PromptParts,
        now: Duration,
    ) {
        self.record_sound(endpoint, now);
        self.add_sound_prompt(SoundParts::Named(prompt.clone()), now);
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
