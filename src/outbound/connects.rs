//! Outcomes of the last attempts to open a connection, and the last bytes received, by address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Most addresses that are remembered.
const MAX_ADDRESSES: usize = 4096;

/// Outcome of the last attempt to open a connection to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastConnect {
    /// Whether the connection was opened.
    pub opened: bool,
    /// When it was opened; where it was not, when the attempt began.
    ///
    /// An attempt that times out says nothing of a path that worked after its begin.
    pub at: Instant,
}

/// Time of the last bytes that an address sent, shared by the connections to it.
#[derive(Debug, Clone)]
pub(super) struct LastHeard {
    start: Instant,
    /// Milliseconds from `start`, plus one; zero before the first bytes.
    at_ms: Arc<AtomicU64>,
}

impl LastHeard {
    fn new(start: Instant) -> Self {
        Self {
            start,
            at_ms: Arc::default(),
        }
    }

    /// Records that bytes were received.
    pub(super) fn record(&self) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - 1);
        self.at_ms.store(ms + 1, Ordering::Relaxed);
    }

    fn at(&self) -> Option<Instant> {
        let ms = self.at_ms.load(Ordering::Relaxed).checked_sub(1)?;
        self.start.checked_add(Duration::from_millis(ms))
    }
}

/// Outcomes of the last connects.
#[derive(Debug)]
pub struct Connects {
    start: Instant,
    last: Mutex<BTreeMap<SocketAddr, LastConnect>>,
    heard: Mutex<BTreeMap<SocketAddr, LastHeard>>,
    /// Begin of the last attempt that took long, whatever came of it.
    slow: Mutex<Option<Instant>>,
    /// Notified when a connection could not be opened, or takes long.
    pub failed: Notify,
}

impl Default for Connects {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            last: Mutex::default(),
            heard: Mutex::default(),
            slow: Mutex::default(),
            failed: Notify::new(),
        }
    }
}

impl Connects {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, LastConnect>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the outcome of an attempt that began at a given time.
    pub(super) fn record(&self, to: SocketAddr, opened: bool, began: Instant) {
        let at = if opened { Instant::now() } else { began };
        let mut last = self.lock();
        if last.len() >= MAX_ADDRESSES && !last.contains_key(&to) {
            last.pop_first();
        }
        let is_newer = |known: &LastConnect| known.opened && known.at > at;
        if !last.get(&to).is_some_and(is_newer) {
            last.insert(to, LastConnect { opened, at });
        }
        drop(last);
        if !opened {
            self.failed.notify_one();
        }
    }

    /// Records that an attempt takes long.
    pub(super) fn record_slow(&self, began: Instant) {
        *self.slow.lock().unwrap_or_else(PoisonError::into_inner) = Some(began);
        self.failed.notify_one();
    }

    /// Begin of the last attempt that took long, whatever came of it.
    #[must_use]
    pub fn slow(&self) -> Option<Instant> {
        *self.slow.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The last outcome at an address, if any is known.
    #[must_use]
    pub fn last(&self, to: SocketAddr) -> Option<LastConnect> {
        self.lock().get(&to).copied()
    }

    /// Time of the last bytes from an address, to be updated by a connection to it.
    pub(super) fn last_heard(&self, from: SocketAddr) -> LastHeard {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if heard.len() >= MAX_ADDRESSES && !heard.contains_key(&from) {
            heard.pop_first();
        }
        let of_address = heard.entry(from);
        of_address
            .or_insert_with(|| LastHeard::new(self.start))
            .clone()
    }

    /// When the last bytes came from an address, on any connection.
    #[must_use]
    pub fn heard(&self, from: SocketAddr) -> Option<Instant> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.get(&from).and_then(LastHeard::at)
    }
}
