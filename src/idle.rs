//! Lets replicas go that are not worth their memory, and loads models ahead of need.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{MissedTickBehavior, interval};

use crate::cold_start::{ColdStarts, Decider};
use crate::fleet::Endpoint;
use crate::metrics::Metrics;
use crate::placement::PlacementError;
use crate::reconciler::{ReconcileError, Reconciler};
use crate::residency::Residencies;
use crate::rules::{ActiveRules, Rules};

/// Time between two looks at the watched replicas.
const LOOK: Duration = Duration::from_secs(1);
/// Looks between two predictions of wakes.
const PREDICT: u32 = 15;
/// Memory-seconds that make one accelerator-second, for engines without a stated size.
const UNKNOWN_ACCELERATOR: f64 = 80.0 * 1024.0 * 1024.0 * 1024.0;

/// The residencies, shared by the cold starts and the idle watch.
pub type SharedResidencies = Arc<Mutex<Residencies>>;

/// Locks the residencies.
pub fn lock(shared: &SharedResidencies) -> MutexGuard<'_, Residencies> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time since the Unix epoch.
#[must_use]
pub fn epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Watches the replicas on the servers whose owner this instance is.
#[derive(Debug, Clone)]
pub struct IdleWatch {
    /// What is learnt.
    pub residencies: SharedResidencies,
    /// The servers.
    pub reconciler: Reconciler,
    /// Cold starts, for loads ahead of need.
    pub loads: ColdStarts,
    /// Metrics.
    pub metrics: Metrics,
}

impl IdleWatch {
    /// Watches until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(LOOK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round = 0_u32;
        loop {
            ticks.tick().await;
            let rules = self.reconciler.rules.borrow().clone();
            let Some(rules) = rules else {
                continue;
            };
            self.look(&rules).await;
            if round.is_multiple_of(PREDICT) {
                self.predict(&rules).await;
            }
            round = round.wrapping_add(1);
        }
    }

    async fn look(&self, rules: &ActiveRules) {
        lock(&self.residencies).configure(&rules.rules);
        let now = epoch();
        for endpoint in self.reconciler.servers() {
            let name = &endpoint.listed.name;
            let Some(report) = endpoint.report.as_ref() else {
                continue;
            };
            if self
                .reconciler
                .mesh
                .owner(&format!("server/{name}"))
                .is_some()
            {
                continue;
            }
            let idle = lock(&self.residencies).observe(name, report, &rules.rules, now);
            self.count(&endpoint, &rules.rules, idle);
            let due = lock(&self.residencies).due(name, now);
            for model in due {
                self.release_model(&endpoint, &model).await;
            }
        }
    }

    /// Counts idle accelerator seconds; adapters count for their base model.
    fn count(&self, endpoint: &Endpoint, rules: &Rules, idle: BTreeMap<String, f64>) {
        let engines = rules.engines.get(&endpoint.listed.service);
        #[expect(clippy::cast_precision_loss, reason = "a share needs no exact bytes")]
        let accelerator = engines.map_or(UNKNOWN_ACCELERATOR, |e| {
            e.memory as f64 / f64::from(e.accelerators.max(1))
        });
        for (model, spent) in idle {
            let base = rules.models.get(&model).and_then(|m| m.base.clone());
            self.metrics
                .idle(base.as_deref().unwrap_or(&model), spent / accelerator);
        }
    }

    async fn release_model(&self, endpoint: &Endpoint, model: &str) {
        match self.reconciler.release_model(endpoint, model).await {
            Ok(()) => {
                log::info!(endpoint = endpoint.listed.name, model = model; "idle replica let go");
            }
            // The base of a resident adapter stays until the adapter is gone.
            Err(ReconcileError::Place(PlacementError::InUse | PlacementError::NotAssigned)) => {}
            Err(error) => log::warn!(model = model, error:% = error; "cannot let a replica go"),
        }
    }

    async fn predict(&self, rules: &ActiveRules) {
        let absent: BTreeMap<String, u64> = {
            let view = self.reconciler.view.borrow();
            let models = rules.rules.models.iter();
            let absent = models.filter(|(name, _)| view.holders(name).next().is_none());
            absent
                .map(|(name, model)| (name.clone(), model.size))
                .collect()
        };
        let wanted = lock(&self.residencies).preload(&absent, epoch());
        for model in wanted {
            log::info!(model = model; "load ahead of need");
            if self.loads.request(&model, Decider::Preload).await.is_err() {
                return;
            }
        }
    }
}
