//! Choice of the home instance of a key by rendezvous hashing.
//!
//! The home of a server, a model or an idempotency key saves work: concurrent demands meet at one
//! instance. Views of the live instances differ for a while after each change, so two instances
//! may both take themselves for the home. Safety rests on the table service's transactions alone.

use std::collections::BTreeSet;

/// The home instance of a key among the live instances.
///
/// A change of the live set moves only the keys whose home left or whose home is the new
/// instance.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// let live = BTreeSet::from(["entry-1".to_string(), "entry-2".to_string()]);
/// assert!(brassrack::home::home("model/drafts", &live).is_some());
/// assert!(brassrack::home::home("model/drafts", &BTreeSet::new()).is_none());
/// ```
#[must_use]
pub fn home<'a>(key: &str, live: &'a BTreeSet<String>) -> Option<&'a String> {
    live.iter().max_by_key(|name| (weight(key, name), *name))
}

/// Weight of an instance for a key; the highest wins.
fn weight(key: &str, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
