//! Requests that instances of an earlier build count or refuse, as they crash endpoints.
//!
//! Such instances report and publish fingerprints alone: an endpoint that closed the connection while
//! it ran the request. This build counts with the endpoint and what it answers later
//! (`crash_parts`); what it hears from earlier ones, it forgets after a time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of breaks at which a request is refused: the platform's limit for crashes.
const MAX_BREAKS: u32 = 3;
/// Time since the last break after which a count expires; callers retry such requests for minutes.
const BREAK_TTL: Duration = Duration::from_mins(5);
/// Time for which a request is refused that an instance of an earlier build refuses.
const REFUSAL_TIME: Duration = Duration::from_mins(1);
/// Most fingerprints stored, with breaks, as refused and to be reported.
const MAX_FINGERPRINTS: usize = 4096;

/// Digest of a request.
pub type Fingerprint = u64;

/// Digest of a request's target, which is its path and query, and of its body.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::crash_suspects::fingerprint;
///
/// assert_ne!(fingerprint("/drafts/1", b"a"), fingerprint("/drafts/1", b"b"));
/// ```
#[must_use]
pub fn fingerprint(target: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
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

/// Break counts and refused requests, as earlier builds tell them.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    breaks: BTreeMap<Fingerprint, BreakCount>,
    /// Requests that another instance refuses, and until when.
    remote: BTreeMap<Fingerprint, Duration>,
    unreported: Vec<Fingerprint>,
}

impl CrashSuspects {
    /// Records a break at this instance, for a lease holder of an earlier build.
    pub fn record_unreported(&mut self, print: Fingerprint) {
        if self.unreported.len() < MAX_FINGERPRINTS {
            self.unreported.push(print);
        }
    }

    /// Records a break reported by an instance of an earlier build.
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
        if breaks.count == MAX_BREAKS {
            log::warn!(fingerprint = print, breaks = breaks.count;
                "request refused from now on: endpoints closed the connection while running it");
        }
    }

    /// Adds the requests that another instance refuses.
    pub fn merge_refused(&mut self, refused: &[Fingerprint], now: Duration) {
        self.remote.retain(|_, until| now < *until);
        self.remote
            .extend(refused.iter().map(|print| (*print, now + REFUSAL_TIME)));
        while self.remote.len() > MAX_FINGERPRINTS {
            self.remote.pop_first();
        }
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, print: Fingerprint, now: Duration) -> bool {
        self.remote.get(&print).is_some_and(|until| now < *until)
            || self.breaks.get(&print).is_some_and(|b| b.is_refused(now))
    }

    /// Fingerprints that are refused by what was reported here.
    #[must_use]
    pub fn refused(&self, now: Duration) -> Vec<Fingerprint> {
        let refused = self.breaks.iter().filter(|(_, b)| b.is_refused(now));
        refused.map(|(print, _)| *print).collect()
    }

    /// Takes the breaks not yet reported to the lease holder.
    #[must_use]
    pub fn take_unreported(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unreported)
    }
}

impl BreakCount {
    fn is_refused(&self, now: Duration) -> bool {
        self.count >= MAX_BREAKS && now < self.last + BREAK_TTL
    }
}
