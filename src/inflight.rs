//! Counts of operations in flight.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of operations in flight by name, such as requests by endpoint; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct Inflight(Arc<Mutex<BTreeMap<String, u32>>>);

/// Keeps one operation counted until it is dropped.
#[derive(Debug)]
pub struct InflightGuard {
    inflight: Inflight,
    name: String,
}

impl Inflight {
    /// Counts one operation under a name until the guard is dropped.
    #[must_use]
    pub fn start(&self, name: &str) -> InflightGuard {
        *self.lock().entry(name.to_owned()).or_default() += 1;
        InflightGuard {
            inflight: self.clone(),
            name: name.to_owned(),
        }
    }

    /// Number of operations under a name.
    #[must_use]
    pub fn count(&self, name: &str) -> u32 {
        self.lock().get(name).copied().unwrap_or_default()
    }

    /// Number of operations under all names.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.lock().values().sum()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        let mut counts = self.inflight.lock();
        if let Some(count) = counts.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.name);
            }
        }
    }
}
