//! Memory that the bodies of all callers' requests share.
//!
//! A body takes memory as it arrives and keeps it until its request has ended. Where there is none left,
//! the oldest body that is still arriving is evicted, unless all of them have just begun.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

mod reader;

pub use reader::read_body;

/// Time for which a body may arrive before it can be evicted.
const MIN_ARRIVAL_TIME: Duration = Duration::from_secs(1);
/// Longest wait for the memory of an evicted body.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest body that may take the memory that is reserved for small ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Share of the memory that is reserved for small bodies, as a divisor.
const SMALL_SHARE: usize = 8;

/// Memory for the bodies of an instance.
#[derive(Debug)]
pub struct BodyRoom {
    bytes: usize,
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    taken: usize,
    last_id: u64,
    bodies: BTreeMap<u64, Held>,
}

/// A body, by its number in the order of arrival.
#[derive(Debug)]
struct Held {
    taken: usize,
    since: Instant,
    /// Signals the eviction; none once that is done, or the body is complete.
    evict: Option<Arc<Notify>>,
}

/// Memory that a body takes until this is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    room: Arc<BodyRoom>,
    id: u64,
}

impl BodyRoom {
    /// Memory of this many bytes. A body that is the only one may take more.
    #[must_use]
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes,
            state: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// Bytes that are taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::body_room::BodyRoom;
    ///
    /// assert_eq!(BodyRoom::new(1 << 20).taken(), 0);
    /// ```
    #[must_use]
    pub fn taken(&self) -> usize {
        self.state().taken
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(self: &Arc<Self>, evict: Arc<Notify>) -> BodyPermit {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let held = Held {
            taken: 0,
            since: Instant::now(),
            evict: Some(evict),
        };
        state.bodies.insert(id, held);
        BodyPermit {
            room: Arc::clone(self),
            id,
        }
    }

    /// Evicts the oldest body that is still arriving; false if all of them have just begun.
    fn evict_oldest(&self, except: u64) -> bool {
        let mut state = self.state();
        let mut arriving = state.bodies.iter_mut().filter(|(_, b)| b.evict.is_some());
        let oldest = arriving.find(|(id, b)| **id != except && b.taken > 0);
        let Some((_, body)) = oldest.filter(|(_, b)| b.since.elapsed() >= MIN_ARRIVAL_TIME) else {
            return false;
        };
        if let Some(evict) = body.evict.take() {
            evict.notify_one();
        }
        true
    }
}

impl BodyPermit {
    fn try_take(&self, bytes: usize) -> bool {
        let mut state = self.room.state();
        let (before, total) = (state.taken, state.taken + bytes);
        let Some(body) = state.bodies.get_mut(&self.id) else {
            return false;
        };
        let is_only = before == body.taken;
        let is_small = body.taken + bytes <= SMALL_BODY_BYTES;
        let reserved = if is_small {
            0
        } else {
            self.room.bytes / SMALL_SHARE
        };
        if total + reserved > self.room.bytes && !is_only {
            return false;
        }
        body.taken += bytes;
        state.taken = total;
        true
    }

    /// Takes memory; false if there is none, also after an eviction.
    async fn take(&self, bytes: usize) -> bool {
        let end = Instant::now() + EVICTION_TIMEOUT;
        loop {
            let freed = self.room.freed.notified();
            if self.try_take(bytes) {
                return true;
            }
            let is_evicting = self.room.evict_oldest(self.id);
            if !is_evicting || timeout_at(end, freed).await.is_err() {
                return self.try_take(bytes);
            }
        }
    }

    /// Keeps the memory until the request has ended.
    fn complete(&self) {
        if let Some(body) = self.room.state().bodies.get_mut(&self.id) {
            body.evict = None;
        }
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let mut state = self.room.state();
        if let Some(body) = state.bodies.remove(&self.id) {
            state.taken -= body.taken;
        }
        drop(state);
        self.room.freed.notify_waiters();
    }
}
