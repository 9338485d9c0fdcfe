//! Counters of the control traffic of one instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Control traffic so far; bytes are those of the frames, without transport headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Messages received.
    pub messages_received: u64,
}

#[derive(Debug, Default)]
struct Counters {
    bytes_sent: AtomicU64,
    messages_sent: AtomicU64,
    bytes_received: AtomicU64,
    messages_received: AtomicU64,
}

/// Counters that the tasks of an instance share.
#[derive(Debug, Clone, Default)]
pub(super) struct Traffic(Arc<Counters>);

impl Traffic {
    pub(super) fn record_sent(&self, bytes: usize) {
        self.0.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.messages_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.0
            .bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.messages_received.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count(&self) -> TrafficCount {
        TrafficCount {
            bytes_sent: self.0.bytes_sent.load(Ordering::Relaxed),
            messages_sent: self.0.messages_sent.load(Ordering::Relaxed),
            bytes_received: self.0.bytes_received.load(Ordering::Relaxed),
            messages_received: self.0.messages_received.load(Ordering::Relaxed),
        }
    }
}
