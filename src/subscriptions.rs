//! Models for whose replicas this instance subscribes to updates, because it has traffic for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::clock::Clock;
use crate::peers::MeshHandle;

/// Time after its last request for which a model stays subscribed.
const SUBSCRIPTION_RETENTION: Duration = Duration::from_mins(1);
/// Interval at which unused models are dropped and the others announced to peers.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Subscribed models, each with the time of its last use.
#[derive(Debug, Clone)]
pub struct Subscriptions {
    last_used: Arc<Mutex<BTreeMap<String, Duration>>>,
    mesh: MeshHandle,
}

impl Subscriptions {
    /// Creates an empty set of subscriptions.
    #[must_use]
    pub fn new(mesh: MeshHandle) -> Self {
        Self {
            last_used: Arc::default(),
            mesh,
        }
    }

    /// Records the use of a model; announces it to peers at once where it is new.
    pub async fn subscribe(&self, model: &str, now: Duration) {
        if self.lock().insert(model.to_owned(), now).is_none() {
            self.publish().await;
        }
    }

    /// Records the use of a model that is subscribed already; announces nothing.
    pub fn renew(&self, model: &str, now: Duration) {
        self.lock().insert(model.to_owned(), now);
    }

    /// Drops models that are no longer used and announces the rest to peers, at intervals.
    pub async fn run(self, clock: Clock) {
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            let now = clock.now();
            self.lock()
                .retain(|_, used| now.saturating_sub(*used) < SUBSCRIPTION_RETENTION);
            self.publish().await;
        }
    }

    async fn publish(&self) {
        let models = self.lock().keys().cloned().collect();
        self.mesh.set_subscriptions(models).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Duration>> {
        self.last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
