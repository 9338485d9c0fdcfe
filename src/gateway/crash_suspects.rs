//! Requests that crash the endpoints that run them.
//!
//! A break counts against a request's fingerprint, at whichever instance it is seen. Beyond the
//! bound the request is refused everywhere, so that it does not reach one more endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Breaks after which a request is refused: the bound that the platform sets for crashes.
const MAX_BREAKS: u32 = 3;
/// Time for which breaks are remembered; a caller that repeats such a request does so for minutes.
const BREAK_TTL: Duration = Duration::from_mins(5);
/// Most fingerprints that are remembered.
const MAX_FINGERPRINTS: usize = 4096;

/// Digest of a request.
pub type Fingerprint = u64;

/// Digest of a request's path and body.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::crash_suspects::fingerprint;
///
/// assert_ne!(fingerprint("/drafts/1", b"a"), fingerprint("/drafts/1", b"b"));
/// ```
#[must_use]
pub fn fingerprint(path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

#[derive(Debug, Clone, Copy)]
struct BreakCount {
    count: u32,
    last: Duration,
}

/// What an instance knows of such requests.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    breaks: BTreeMap<Fingerprint, BreakCount>,
    refused: BTreeSet<Fingerprint>,
    unreported: Vec<Fingerprint>,
}

impl CrashSuspects {
    /// Counts a break that this instance saw.
    pub fn record_local(&mut self, print: Fingerprint, now: Duration) {
        self.unreported.push(print);
        self.record_break(print, now);
    }

    /// Counts a break that another instance saw.
    pub fn record_break(&mut self, print: Fingerprint, now: Duration) {
        self.breaks.retain(|_, b| now < b.last + BREAK_TTL);
        while self.breaks.len() >= MAX_FINGERPRINTS {
            self.breaks.pop_first();
        }
        let breaks = self.breaks.entry(print).or_insert(BreakCount {
            count: 0,
            last: now,
        });
        breaks.count += 1;
        breaks.last = now;
        if breaks.count >= MAX_BREAKS && self.refused.insert(print) {
            log::warn!(fingerprint = print, breaks = breaks.count;
                "request refused from now on: endpoints broke off whenever it ran");
        }
    }

    /// Takes over what another instance refuses.
    pub fn merge_refused(&mut self, refused: &[Fingerprint]) {
        self.refused.extend(refused);
        while self.refused.len() > MAX_FINGERPRINTS {
            self.refused.pop_first();
        }
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, print: Fingerprint) -> bool {
        self.refused.contains(&print)
    }

    /// All refused requests.
    #[must_use]
    pub fn refused(&self) -> Vec<Fingerprint> {
        self.refused.iter().copied().collect()
    }

    /// Takes the breaks that the lease holder has not been told of.
    #[must_use]
    pub fn take_unreported(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unreported)
    }
}
