//! When answers last began, by the digest of a part or of an endpoint's incarnation.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::super::prompt_parts::PromptParts;
use super::{PartId, part_id};

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

/// Most bytes of the prompts that are kept.
const MAX_PROMPT_BYTES: usize = 512 * 1024;
/// Bytes that each of them counts beside its parts.
const PROMPT_OVERHEAD: usize = 64;

/// Prompts of answers that began lately, the newest last.
///
/// Their parts are digested only once one of them may be a suspect, so that long prompts cost nothing
/// while no endpoint ends.
#[derive(Debug, Default)]
pub(super) struct SoundPrompts {
    prompts: VecDeque<SoundPrompt>,
    bytes: usize,
}

#[derive(Debug)]
struct SoundPrompt {
    at: Duration,
    parts: SoundParts,
    bytes: usize,
}

/// Parts of a prompt, digested or not yet.
#[derive(Debug)]
pub(super) enum SoundParts {
    Named(PromptParts),
    Digested(Vec<PartId>),
}

impl SoundParts {
    fn bytes(&self) -> usize {
        match self {
            Self::Named(parts) => parts.bytes(),
            Self::Digested(ids) => std::mem::size_of_val(ids.as_slice()),
        }
    }

    /// Digests of the parts.
    pub(super) fn digested(&mut self) -> &[PartId] {
        if let Self::Named(parts) = self {
            *self = Self::Digested(parts.iter().map(part_id).collect());
        }
        match self {
            Self::Digested(ids) => ids,
            Self::Named(_) => &[],
        }
    }
}

impl SoundPrompts {
    /// Adds a prompt; the oldest give way where there are too many.
    pub(super) fn add(&mut self, parts: SoundParts, at: Duration) {
        let bytes = parts.bytes() + PROMPT_OVERHEAD;
        self.bytes += bytes;
        self.prompts.push_back(SoundPrompt { at, parts, bytes });
        while self.bytes > MAX_PROMPT_BYTES {
            let Some(oldest) = self.prompts.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Last time from `since` on at which an answer began with each of the parts that are asked about.
    pub(super) fn last_with(
        &mut self,
        since: Duration,
        is_asked: impl Fn(PartId) -> bool,
    ) -> BTreeMap<PartId, Duration> {
        let mut found = BTreeMap::new();
        let newest = self.prompts.iter_mut().rev();
        for prompt in newest.take_while(|p| p.at >= since) {
            let ids = prompt.parts.digested();
            for id in ids.iter().filter(|id| is_asked(**id)) {
                found.entry(*id).or_insert(prompt.at);
            }
        }
        found
    }
}
