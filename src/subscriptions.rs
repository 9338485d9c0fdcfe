//! Models that this instance has traffic for, of whose replicas it wants to hear.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::clock::Clock;
use crate::peers::MeshHandle;

/// Time after its last request for which a model is subscribed.
const SUBSCRIPTION_RETENTION: Duration = Duration::from_mins(1);
/// Time between two refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Subscribed models, each with its last use.
#[derive(Debug, Clone)]
pub struct Subscriptions {
    last_used: Arc<Mutex<BTreeMap<String, Duration>>>,
    mesh: MeshHandle,
}

impl Subscriptions {
    /// No subscription yet.
    #[must_use]
    pub fn new(mesh: MeshHandle) -> Self {
        Self {
            last_used: Arc::default(),
            mesh,
        }
    }

    /// Notes the use of a model; peers are told at once where it is new.
    pub async fn subscribe(&self, model: &str, now: Duration) {
        if self.lock().insert(model.to_owned(), now).is_none() {
            self.publish().await;
        }
    }

    /// Notes the use of a model that is subscribed already.
    pub fn renew(&self, model: &str, now: Duration) {
        self.lock().insert(model.to_owned(), now);
    }

    /// Drops models without use and tells peers, at intervals.
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
