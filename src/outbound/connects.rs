//! Outcomes of the last attempts to open a connection, by address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Most addresses that are remembered.
const MAX_ADDRESSES: usize = 4096;

/// Outcome of the last attempt to open a connection to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastConnect {
    /// Whether the connection was opened.
    pub opened: bool,
    /// When that was known.
    pub at: Instant,
}

/// Outcomes of the last connects.
#[derive(Debug, Default)]
pub struct Connects {
    last: Mutex<BTreeMap<SocketAddr, LastConnect>>,
    /// Notified when a connection could not be opened.
    pub failed: Notify,
}

impl Connects {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, LastConnect>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self, to: SocketAddr, opened: bool) {
        let at = Instant::now();
        let mut last = self.lock();
        if last.len() >= MAX_ADDRESSES && !last.contains_key(&to) {
            last.pop_first();
        }
        last.insert(to, LastConnect { opened, at });
        drop(last);
        if !opened {
            self.failed.notify_one();
        }
    }

    /// The last outcome at an address, if any is known.
    #[must_use]
    pub fn last(&self, to: SocketAddr) -> Option<LastConnect> {
        self.lock().get(&to).copied()
    }
}
