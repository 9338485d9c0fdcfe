//! Servers' memory and checkpoint caches in model time.

use std::collections::BTreeSet;
use std::time::Duration;

use brassrack::policy::key::{DomainKey, ServerKey};
use brassrack::policy::server_selection::Locality;

use super::site::{GIB, Site};
use super::store::transfer;

/// Bytes a second from main memory to an accelerator.
const MEMORY_RATE: u64 = 20 * GIB;
/// Bytes a second from a server's disk.
const DISK_RATE: u64 = 3 * GIB;

/// Checkpoints kept in an amount of memory, least recently used first out.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    room: u64,
    taken: u64,
    /// Models and their bytes, least recently used first.
    held: Vec<(usize, u64)>,
    /// The models alone, for quick search.
    models: BTreeSet<usize>,
}

impl Cache {
    fn new(room: u64) -> Self {
        Self {
            room,
            ..Self::default()
        }
    }

    fn holds(&self, model: usize) -> bool {
        self.models.contains(&model)
    }

    fn touch(&mut self, model: usize, bytes: u64) {
        if let Some(i) = self.held.iter().position(|(m, _)| *m == model) {
            let entry = self.held.remove(i);
            self.held.push(entry);
            return;
        }
        if bytes > self.room {
            return;
        }
        while self.taken + bytes > self.room {
            let (old, freed) = self.held.remove(0);
            self.models.remove(&old);
            self.taken -= freed;
        }
        self.held.push((model, bytes));
        self.models.insert(model);
        self.taken += bytes;
    }

    fn clear(&mut self) {
        self.held.clear();
        self.models.clear();
        self.taken = 0;
    }
}

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Key for the policy.
    pub key: ServerKey,
    /// Failure domain.
    pub domain: DomainKey,
    /// Whether it takes work.
    pub live: bool,
    /// Accelerator memory neither taken nor reserved, in bytes.
    pub free: u64,
    /// Models resident or on their way.
    pub models: Vec<usize>,
    memory: u64,
    host: Cache,
    disk: Cache,
}

impl Server {
    /// Where the server finds a checkpoint.
    #[must_use]
    pub fn locality(&self, model: usize) -> Locality {
        if self.host.holds(model) {
            Locality::Memory
        } else if self.disk.holds(model) {
            Locality::Disk
        } else {
            Locality::Remote
        }
    }

    /// Bytes of the checkpoints on disk.
    #[must_use]
    pub const fn cached(&self) -> u64 {
        self.disk.taken
    }

    /// Reserves memory for a model.
    ///
    /// # Panics
    ///
    /// Where memory would be overcommitted, which is a bug of the replay.
    pub fn reserve(&mut self, model: usize, bytes: u64) {
        assert!(self.free >= bytes, "memory is overcommitted");
        self.free -= bytes;
        self.models.push(model);
    }

    /// Frees a model's memory.
    pub fn release(&mut self, model: usize, bytes: u64) {
        self.free += bytes;
        self.models.retain(|m| *m != model);
    }

    /// Keeps a checkpoint that passed through the server.
    pub fn cache(&mut self, model: usize, bytes: u64) {
        self.host.touch(model, bytes);
        self.disk.touch(model, bytes);
    }

    /// Takes the server away; its memory is lost, and its disk where it is reclaimed.
    pub fn leave(&mut self, reclaimed: bool) {
        self.live = false;
        self.host.clear();
        if reclaimed {
            self.disk.clear();
        }
    }

    /// Brings the server back, empty.
    pub fn enter(&mut self) {
        self.live = true;
        self.free = self.memory;
        self.models.clear();
    }
}

/// The servers of a site.
#[must_use]
pub fn servers(site: &Site) -> Vec<Server> {
    let domains = site.domains.max(1);
    (0..site.servers)
        .map(|i| Server {
            key: ServerKey(u32::try_from(i).unwrap_or(u32::MAX)),
            domain: DomainKey(u16::try_from(i % domains).unwrap_or(u16::MAX)),
            live: true,
            free: site.memory,
            models: Vec::new(),
            memory: site.memory,
            host: Cache::new(site.host),
            disk: Cache::new(site.disk),
        })
        .collect()
}

/// Time of a load that needs no weight store; none for a remote checkpoint.
#[must_use]
pub fn local(locality: Locality, bytes: u64) -> Option<Duration> {
    match locality {
        Locality::Memory => Some(transfer(bytes, MEMORY_RATE)),
        Locality::Disk => Some(transfer(bytes, DISK_RATE)),
        Locality::Remote => None,
    }
}
