//! Unloads idle replicas after their keep-alive time and preloads models for predicted requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{MissedTickBehavior, interval};

use crate::cold_start::{ColdStarts, Decider};
use crate::endpoint_registry::Endpoint;
use crate::metrics::Metrics;
use crate::placement::PlacementError;
use crate::reconciler::{ReconcileError, Reconciler};
use crate::residency::ResidencyTracker;
use crate::rules::{ActiveRules, Rules};

/// Time between two checks of the replicas.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of checks between two decisions on preloads.
const CHECKS_PER_PRELOAD: u32 = 15;
/// Memory assumed for an accelerator of engines without a rule, in bytes.
const DEFAULT_ACCELERATOR_BYTES: f64 = 80.0 * 1024.0 * 1024.0 * 1024.0;

/// Residency tracker that the cold starts and the residency controller share.
pub type SharedTracker = Arc<Mutex<ResidencyTracker>>;

/// Locks the tracker; a poisoned lock is still used.
pub fn lock_tracker(shared: &SharedTracker) -> MutexGuard<'_, ResidencyTracker> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time since the Unix epoch.
#[must_use]
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Controls which models are resident on the servers that this instance owns.
#[derive(Debug, Clone)]
pub struct ResidencyController {
    /// Observed demand and replicas.
    pub tracker: SharedTracker,
    /// Reconciler of the servers, which unloads replicas.
    pub reconciler: Reconciler,
    /// Cold starts, which also run the preloads.
    pub loads: ColdStarts,
    /// Metrics, for the idle accelerator time.
    pub metrics: Metrics,
}

impl ResidencyController {
    /// Checks replicas and preloads models until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut checks = 0_u32;
        loop {
            ticks.tick().await;
            let rules = self.reconciler.rules.borrow().clone();
            let Some(rules) = rules else {
                continue;
            };
            self.check_replicas(&rules).await;
            if checks.is_multiple_of(CHECKS_PER_PRELOAD) {
                self.preload(&rules).await;
            }
            checks = checks.wrapping_add(1);
        }
    }

    async fn check_replicas(&self, rules: &ActiveRules) {
        lock_tracker(&self.tracker).apply_rules(&rules.rules);
        let now = unix_time();
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
            let idle_byte_secs =
                lock_tracker(&self.tracker).observe(name, report, &rules.rules, now);
            self.record_idle_time(&endpoint, &rules.rules, idle_byte_secs);
            let expired = lock_tracker(&self.tracker).expired(name, now);
            for model in expired {
                self.release_idle(&endpoint, &model).await;
            }
        }
    }

    /// Adds idle accelerator-seconds to the metrics; adapters count for their base model.
    fn record_idle_time(
        &self,
        endpoint: &Endpoint,
        rules: &Rules,
        idle_byte_secs: BTreeMap<String, f64>,
    ) {
        let engines = rules.engines.get(&endpoint.listed.service);
        #[expect(clippy::cast_precision_loss, reason = "a share needs no exact bytes")]
        let accelerator_bytes = engines.map_or(DEFAULT_ACCELERATOR_BYTES, |e| {
            e.memory as f64 / f64::from(e.accelerators.max(1))
        });
        for (model, byte_secs) in idle_byte_secs {
            let base = rules.models.get(&model).and_then(|m| m.base.clone());
            self.metrics.idle(
                base.as_deref().unwrap_or(&model),
                byte_secs / accelerator_bytes,
            );
        }
    }

    async fn release_idle(&self, endpoint: &Endpoint, model: &str) {
        match self.reconciler.release_model(endpoint, model).await {
            Ok(()) => {
                log::info!(endpoint = endpoint.listed.name, model = model; "idle replica retired");
            }
            // The base model of a resident adapter stays until the adapter is unloaded.
            Err(ReconcileError::Place(PlacementError::InUse | PlacementError::NotAssigned)) => {}
            Err(error) => log::warn!(model = model, error:% = error; "cannot unload idle replica"),
        }
    }

    async fn preload(&self, rules: &ActiveRules) {
        let absent: BTreeMap<String, u64> = {
            let view = self.reconciler.view.borrow();
            let models = rules.rules.models.iter();
            let absent = models.filter(|(name, _)| view.ready_endpoints(name).next().is_none());
            absent
                .map(|(name, model)| (name.clone(), model.size))
                .collect()
        };
        let wanted = lock_tracker(&self.tracker).choose_preloads(&absent, unix_time());
        for model in wanted {
            log::info!(model = model; "preloading model");
            if self.loads.request(&model, Decider::Preload).await.is_err() {
                return;
            }
        }
    }
}
