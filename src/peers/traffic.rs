//! Counters of the control traffic of one instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Control traffic so far; bytes are those of the frames, without the transport's headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes sent.
    pub sent: u64,
    /// Messages sent.
    pub messages: u64,
    /// Bytes received.
    pub received: u64,
    /// Messages received.
    pub arrivals: u64,
}

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    messages: AtomicU64,
    received: AtomicU64,
    arrivals: AtomicU64,
}

/// Shared counters.
#[derive(Debug, Clone, Default)]
pub(super) struct Traffic(Arc<Counters>);

impl Traffic {
    pub(super) fn sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn received(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count(&self) -> TrafficCount {
        TrafficCount {
            sent: self.0.sent.load(Ordering::Relaxed),
            messages: self.0.messages.load(Ordering::Relaxed),
            received: self.0.received.load(Ordering::Relaxed),
            arrivals: self.0.arrivals.load(Ordering::Relaxed),
        }
    }
}
