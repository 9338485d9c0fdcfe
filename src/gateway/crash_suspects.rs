//! Tracks requests that are suspected of crashing the endpoints that run them.
//!
//! A break is an endpoint closing the connection while it runs a request. Breaks are counted over
//! all instances by the request's fingerprint. At the limit every instance refuses the request, so
//! that it does not crash another endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of breaks at which a request is refused: the platform's limit for crashes.
const MAX_BREAKS: u32 = 3;
/// Time since the last break after which a count expires; callers retry such requests for minutes.
const BREAK_TTL: Duration = Duration::from_mins(5);
/// Most fingerprints stored, both with breaks and as refused.
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

/// Break counts and refused requests, as known to an instance.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    breaks: BTreeMap<Fingerprint, BreakCount>,
    refused: BTreeSet<Fingerprint>,
    unreported: Vec<Fingerprint>,
}

impl CrashSuspects {
    /// Records a break at this instance, to be reported to the lease holder too.
    pub fn record_local(&mut self, print: Fingerprint, now: Duration) {
        self.unreported.push(print);
        self.record_break(print, now);
    }

    /// Records a break reported by another instance.
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
                "request refused from now on: endpoints closed the connection while running it");
        }
    }

    /// Adds the requests that another instance refuses.
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

    /// Fingerprints of all refused requests.
    #[must_use]
    pub fn refused(&self) -> Vec<Fingerprint> {
        self.refused.iter().copied().collect()
    }

    /// Takes the breaks not yet reported to the lease holder.
    #[must_use]
    pub fn take_unreported(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unreported)
    }
}
