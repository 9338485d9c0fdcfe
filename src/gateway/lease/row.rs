//! The lease row as it stands in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Successors;
use crate::table;

/// Lease row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the instance that holds the lease.
    pub holder: String,
    /// Address at which the holder accepts links from other instances.
    pub address: SocketAddr,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Era of the store in which the row was written.
    #[serde(default)]
    pub era: u64,
    /// Instances that take over after the term; all of them where none are named. Others wait for the
    /// longest extension.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successors: Option<Successors>,
    /// Instances that the first row which names any will name, where this one names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<Successors>,
    /// Those of them, or of the successors, that a later row may leave out; `None` in rows of builds that
    /// leave instances out without notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expiring: Option<Successors>,
}

impl LeaseRow {
    /// Whether the holder counts an instance for the notice time from when this row was in force.
    pub(super) fn promises(&self, instance: &str) -> bool {
        let named = self.successors.as_ref().or(self.heard.as_ref());
        let is_named = named.is_some_and(|s| s.contains(instance));
        let is_kept = |expiring: &Successors| !expiring.contains(instance);
        is_named && self.expiring.as_ref().is_some_and(is_kept)
    }
}

/// Whether a row at a version may be an older copy.
///
/// A lease row is never deleted, so that a missing one may be older than its first write.
pub(super) fn is_restored(row: Option<&LeaseRow>, version: u64) -> bool {
    row.map_or(0, |row| row.era) < table::era(version)
}
