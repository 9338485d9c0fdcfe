//! Selection of the owner instance of a key by rendezvous hashing.
//!
//! Ownership of a server, a model or an idempotency key is an optimization: concurrent requests
//! are combined at one instance. Views of the live instances differ for a while after each
//! change, so two instances may both consider themselves the owner. Correctness depends on the
//! transactions of the table service alone.

use std::collections::BTreeSet;

/// Returns the owner of a key among the live instances.
///
/// A change of the live set moves only the keys whose owner left or whose new owner is the
/// instance that joined.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// let live = BTreeSet::from(["entry-1".to_string(), "entry-2".to_string()]);
/// assert!(brassrack::ownership::owner("model/drafts", &live).is_some());
/// assert!(brassrack::ownership::owner("model/drafts", &BTreeSet::new()).is_none());
/// ```
#[must_use]
pub fn owner<'a>(key: &str, live: &'a BTreeSet<String>) -> Option<&'a String> {
    let key = key_hash(key);
    live.iter()
        .max_by_key(|name| (mix(key ^ name_hash(name)), *name))
}

/// Live instances with their hashes computed once; selects the same owners as [`owner`].
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
/// use brassrack::ownership::{Owners, owner};
///
/// let live = BTreeSet::from(["entry-1".to_string(), "entry-2".to_string()]);
/// assert_eq!(Owners::new(&live).owner("model/drafts"), owner("model/drafts", &live));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Owners(Vec<(u64, String)>);

impl Owners {
    /// Computes the hashes of the live instances.
    #[must_use]
    pub fn new(live: &BTreeSet<String>) -> Self {
        let names = live.iter().map(|name| (name_hash(name), name.clone()));
        Self(names.collect())
    }

    /// Returns the owner of a key.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&String> {
        let key = key_hash(key);
        let best = self
            .0
            .iter()
            .max_by_key(|(hash, name)| (mix(key ^ hash), name));
        best.map(|(_, name)| name)
    }
}

fn key_hash(key: &str) -> u64 {
    let mut bytes = [0; 8];
    let mut hash = blake3::Hasher::new();
    hash.update(key.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// FNV-1a, which is cheap for short names; [`mix`] corrects its weak bit diffusion.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Finalizer of `SplitMix64`.
const fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
