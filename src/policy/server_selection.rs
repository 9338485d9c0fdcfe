//! Selection of the server for a load, and the description of replicas that may be evicted.

use std::time::Duration;

use super::key::{DomainKey, ModelKey, ServerKey};

/// Where a server finds a checkpoint, in the order of loading speed, fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Locality {
    /// In the server's main memory.
    Memory,
    /// On the server's disk.
    Disk,
    /// In the weight store.
    Remote,
}

/// A server that could host a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Accelerator memory that is neither in use nor reserved, in bytes.
    pub free_bytes: u64,
    /// Accelerator memory of idle replicas, in bytes.
    pub idle_bytes: u64,
    /// Where it finds the checkpoint.
    pub locality: Locality,
    /// Size of the checkpoints of other models that it caches, in bytes.
    pub cached_bytes: u64,
    /// Time until the replica would be ready there, including queueing.
    pub ready_in: Duration,
}

/// A replica that may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// The model.
    pub model: ModelKey,
    /// Accelerator memory that eviction frees, in bytes.
    pub bytes: u64,
    /// Number of requests running on it or waiting for it.
    pub requests: u32,
    /// Expected duration of a later load.
    pub load_time: Duration,
}

/// Chooses the server on which a replica is ready first, preferring an unused failure domain.
///
/// `occupied` lists the failure domains that already hold replicas of the model. Returns `None` if
/// no server has enough free and idle memory.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::key::{DomainKey, ServerKey};
/// use brassrack::policy::server_selection::{Candidate, Locality, choose_server};
///
/// let near = Candidate {
///     server: ServerKey(0),
///     domain: DomainKey(0),
///     free_bytes: 20,
///     idle_bytes: 0,
///     locality: Locality::Disk,
///     cached_bytes: 0,
///     ready_in: Duration::from_secs(3),
/// };
/// let far = Candidate {
///     server: ServerKey(1),
///     locality: Locality::Remote,
///     ready_in: Duration::from_secs(8),
///     ..near
/// };
/// assert_eq!(choose_server(&[far, near], 10, &[]), Some(ServerKey(0)));
/// assert_eq!(choose_server(&[far, near], 30, &[]), None);
/// ```
#[must_use]
pub fn choose_server(
    candidates: &[Candidate],
    bytes: u64,
    occupied: &[DomainKey],
) -> Option<ServerKey> {
    candidates
        .iter()
        .filter(|c| c.free_bytes + c.idle_bytes >= bytes)
        .min_by_key(|c| cost(c, bytes, occupied))
        .map(|c| c.server)
}

/// Time added to a server whose failure domain already holds a replica of the model.
const SHARED_DOMAIN_PENALTY: Duration = Duration::from_secs(10);
/// Time added to a server that has to evict an idle replica.
const EVICTION_PENALTY: Duration = Duration::from_secs(2);

fn cost(c: &Candidate, bytes: u64, occupied: &[DomainKey]) -> (Duration, u64, u64, ServerKey) {
    let mut time = c.ready_in;
    if occupied.contains(&c.domain) {
        time += SHARED_DOMAIN_PENALTY;
    }
    if c.free_bytes < bytes {
        time += EVICTION_PENALTY;
    }
    // Among servers with equal times, a checkpoint that has to be fetched goes where the fewest
    // bytes are cached, since it may displace them. Then the fullest server that fits is chosen,
    // which leaves room for large models elsewhere.
    let displaced = match c.locality {
        Locality::Remote => c.cached_bytes,
        Locality::Memory | Locality::Disk => 0,
    };
    (
        time,
        displaced,
        c.free_bytes.saturating_sub(bytes),
        c.server,
    )
}
