//! Requests that crash the endpoints that run them.
//!
//! A break counts against a request's fingerprint, at whichever instance it is seen. Beyond the
//! bound the request is refused everywhere, so that it does not reach one more endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Breaks after which a request is refused: the bound that the platform sets for crashes.
const BREAKS: u32 = 3;
/// Time for which breaks are remembered; a caller that repeats such a request does so for minutes.
const REMEMBERED: Duration = Duration::from_mins(5);
/// Most fingerprints that are remembered.
const REMEMBERED_MOST: usize = 4096;

/// Digest of a request.
pub type Fingerprint = u64;

/// Digest of a request's path and body.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::suspicion::fingerprint;
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
struct Breaks {
    count: u32,
    last: Duration,
}

/// What an instance knows of such requests.
#[derive(Debug, Default)]
pub struct Suspicion {
    breaks: BTreeMap<Fingerprint, Breaks>,
    refused: BTreeSet<Fingerprint>,
    untold: Vec<Fingerprint>,
}

impl Suspicion {
    /// Counts a break that this instance saw.
    pub fn broke(&mut self, print: Fingerprint, now: Duration) {
        self.untold.push(print);
        self.count(print, now);
    }

    /// Counts a break that another instance saw.
    pub fn count(&mut self, print: Fingerprint, now: Duration) {
        self.breaks.retain(|_, b| now < b.last + REMEMBERED);
        while self.breaks.len() >= REMEMBERED_MOST {
            self.breaks.pop_first();
        }
        let breaks = self.breaks.entry(print).or_insert(Breaks {
            count: 0,
            last: now,
        });
        breaks.count += 1;
        breaks.last = now;
        if breaks.count >= BREAKS && self.refused.insert(print) {
            log::warn!(fingerprint = print, breaks = breaks.count;
                "request refused from now on: endpoints broke off whenever it ran");
        }
    }

    /// Takes over what another instance refuses.
    pub fn adopt(&mut self, refused: &[Fingerprint]) {
        self.refused.extend(refused);
        while self.refused.len() > REMEMBERED_MOST {
            self.refused.pop_first();
        }
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn refuses(&self, print: Fingerprint) -> bool {
        self.refused.contains(&print)
    }

    /// All refused requests.
    #[must_use]
    pub fn refused(&self) -> Vec<Fingerprint> {
        self.refused.iter().copied().collect()
    }

    /// Takes the breaks that the lease holder has not been told of.
    #[must_use]
    pub fn take_untold(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.untold)
    }
}
