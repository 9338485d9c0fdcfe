//! Selection of the peers that an instance keeps links to.

use std::collections::{BTreeMap, BTreeSet};

/// Ratio between the ring distances of consecutive far neighbours.
const FAR_DISTANCE_RATIO: usize = 4;

/// Peers that an instance keeps links to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Closest peers on the ring; they monitor each other.
    pub near: BTreeSet<String>,
    /// Peers at exponentially growing ring distances; they reduce the hops of an update.
    pub far: BTreeSet<String>,
}

impl Neighbours {
    /// Returns whether the instance keeps a link to the peer.
    #[must_use]
    pub fn contains(&self, peer: &str) -> bool {
        self.near.contains(peer) || self.far.contains(peer)
    }
}

/// Returns the neighbours of an instance on the ring of all live instances.
///
/// The ring is ordered by a hash of the names, so that instances with similar names, which often
/// share a rack, are not adjacent. The relation is symmetric. With up to `2 * near + 1` instances,
/// every instance is a near neighbour of every other.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
/// use brassrack::members::neighbours;
///
/// let live: BTreeSet<String> = (0..8).map(|i| format!("entry-{i}")).collect();
/// assert_eq!(neighbours("entry-0", &live, 4).near.len(), 7);
/// ```
#[must_use]
pub fn neighbours(me: &str, live: &BTreeSet<String>, near: usize) -> Neighbours {
    let names = live.iter().map(String::as_str).chain([me]);
    let ring: BTreeMap<[u8; 32], &str> = names
        .map(|name| (*blake3::hash(name.as_bytes()).as_bytes(), name))
        .collect();
    let ring: Vec<&str> = ring.into_values().collect();
    let Some(at) = ring.iter().position(|name| *name == me) else {
        return Neighbours::default();
    };
    let pick = |distance: usize| {
        let up = ring[(at + distance) % ring.len()];
        let down = ring[(at + ring.len() - distance) % ring.len()];
        [up.to_string(), down.to_string()]
    };
    let half = ring.len() / 2;
    let near_set: BTreeSet<String> = (1..=near.min(half)).flat_map(pick).collect();
    let far = std::iter::successors(Some(near.max(1) * FAR_DISTANCE_RATIO), |d| {
        Some(d * FAR_DISTANCE_RATIO)
    })
    .take_while(|d| *d <= half)
    .flat_map(pick)
    .filter(|name| !near_set.contains(name))
    .collect();
    Neighbours {
        near: near_set,
        far,
    }
}
