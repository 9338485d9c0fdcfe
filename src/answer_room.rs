//! Memory that the answers of all endpoints share at an instance.
//!
//! An answer takes memory as it arrives, and keeps it until its caller has it. Where there is none left,
//! an answer that is still arriving is evicted: the largest one of the endpoint whose answers hold most.
//! So endpoints that send without end make room for the answers of others.
//! What an instance holds in all: `docs/design/memory.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Memory where none is set, in bytes.
const DEFAULT_BYTES: usize = 16 << 20;
/// Largest answer that may take the memory that is reserved for small ones.
const SMALL_ANSWER_BYTES: usize = 64 << 10;
/// Share of the memory that is reserved for small answers, as a divisor.
const SMALL_SHARE: usize = 8;
/// Longest wait for the memory of an evicted answer.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Memory for the answers that an instance reads.
#[derive(Debug)]
pub struct AnswerRoom {
    bytes: usize,
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    taken: usize,
    last_id: u64,
    answers: BTreeMap<u64, Held>,
}

#[derive(Debug)]
struct Held {
    from: SocketAddr,
    taken: usize,
    /// Signals the eviction; none once that is done, or the answer is complete.
    evict: Option<Arc<Notify>>,
}

/// Memory that an answer takes until this is dropped.
#[derive(Debug)]
pub struct AnswerPermit {
    room: Arc<AnswerRoom>,
    id: u64,
    evicted: Arc<Notify>,
}

impl Default for AnswerRoom {
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl AnswerRoom {
    /// Memory of this many bytes. An answer that is the only one may take more.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::answer_room::AnswerRoom;
    ///
    /// assert_eq!(AnswerRoom::new(1 << 20).taken(), 0);
    /// ```
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes,
            state: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.state().taken
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits an answer from an endpoint; it takes no memory yet.
    pub fn admit(self: &Arc<Self>, from: SocketAddr) -> AnswerPermit {
        let evicted = Arc::new(Notify::new());
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let held = Held {
            from,
            taken: 0,
            evict: Some(Arc::clone(&evicted)),
        };
        state.answers.insert(id, held);
        AnswerPermit {
            room: Arc::clone(self),
            id,
            evicted,
        }
    }

    /// Evicts the largest answer of the endpoint whose answers hold most; false if that is `asking`, or
    /// that one has to go itself.
    fn evict(&self, asking: u64) -> bool {
        let mut state = self.state();
        let has_to_go = |held: &Held| held.evict.is_none();
        if state.answers.get(&asking).is_none_or(has_to_go) {
            return false;
        }
        let mut totals: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for held in state.answers.values() {
            *totals.entry(held.from).or_default() += held.taken;
        }
        let arriving = state.answers.iter_mut().filter(|(_, a)| a.evict.is_some());
        let rank = |held: &Held| (totals.get(&held.from).copied(), held.taken);
        let Some((id, held)) = arriving.max_by_key(|(_, held)| rank(held)) else {
            return false;
        };
        if *id == asking || held.taken == 0 {
            return false;
        }
        log::info!(from:% = held.from, bytes = held.taken;
            "answer given up: no memory left, and its endpoint's answers hold most");
        if let Some(evict) = held.evict.take() {
            evict.notify_one();
        }
        true
    }
}

impl AnswerPermit {
    fn try_hold(&self, bytes: usize) -> bool {
        let mut state = self.room.state();
        let total = state.taken;
        let Some(held) = state.answers.get_mut(&self.id) else {
            return false;
        };
        let others = total - held.taken;
        // Large answers that wait for slow callers leave room for the others.
        let reserved = if bytes > SMALL_ANSWER_BYTES {
            self.room.bytes / SMALL_SHARE
        } else {
            0
        };
        if bytes > held.taken && others > 0 && others + bytes + reserved > self.room.bytes {
            return false;
        }
        let is_less = bytes < held.taken;
        held.taken = bytes;
        state.taken = others + bytes;
        drop(state);
        if is_less {
            self.room.freed.notify_waiters();
        }
        true
    }

    /// Takes or gives back memory, so that the answer has this much; false if there is none, also after
    /// an eviction.
    pub async fn hold(&self, bytes: usize) -> bool {
        let end = Instant::now() + EVICTION_TIMEOUT;
        loop {
            let freed = self.room.freed.notified();
            if self.try_hold(bytes) {
                return true;
            }
            if !self.room.evict(self.id) {
                return self.try_hold(bytes);
            }
            tokio::select! {
                freed = timeout_at(end, freed) => {
                    if freed.is_err() {
                        return self.try_hold(bytes);
                    }
                }
                // Answers that wait for the memory of each other would all be given up.
                () = self.evicted() => return false,
            }
        }
    }

    /// Waits until the answer has to give its memory back.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// The whole answer; its memory is given back with the last copy of it.
    #[must_use]
    pub fn complete(self, body: Bytes) -> Bytes {
        if let Some(held) = self.room.state().answers.get_mut(&self.id) {
            held.evict = None;
        }
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Complete {
            body,
            _permit: self,
        })
    }
}

impl Drop for AnswerPermit {
    fn drop(&mut self) {
        let mut state = self.room.state();
        if let Some(held) = state.answers.remove(&self.id) {
            state.taken -= held.taken;
        }
        drop(state);
        self.room.freed.notify_waiters();
    }
}

/// A whole answer with its memory.
struct Complete {
    body: Bytes,
    _permit: AnswerPermit,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
