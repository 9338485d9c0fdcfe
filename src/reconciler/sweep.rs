//! Removes the replicas of servers that are no longer listed.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::{ReconcileError, Reconciler};
use crate::placement::{EngineLoss, Observation, ServerSnapshot, Step};
use crate::rules::Fencing;

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

impl Reconciler {
    /// Vacates the servers that are no longer listed and releases their replicas.
    ///
    /// # Errors
    ///
    /// Returns a [`ReconcileError`] if the table service does not answer.
    pub async fn sweep(&self) -> Result<(), ReconcileError> {
        let view = Arc::clone(&self.view.borrow());
        if view.listed_at.is_none() {
            return Ok(());
        }
        for placed in self.placement.snapshot().await? {
            if view.endpoints.contains_key(&placed.server) || placed.row.replicas.is_empty() {
                continue;
            }
            self.end_replicas(&placed).await?;
        }
        Ok(())
    }

    async fn end_replicas(&self, placed: &ServerSnapshot) -> Result<(), ReconcileError> {
        let server = placed.server.as_str();
        self.placement
            .record_loss(server, &EngineLoss::EndpointRemoved)
            .await?;
        let steps = {
            let mut state = self.lock();
            let state = state.entry(server.to_owned()).or_default();
            let (row, fence, now) = (&placed.row, placed.fence, self.clock.now());
            let fencing = Fencing::Ignored;
            let input = Observation {
                row,
                fence,
                report: None,
                fencing,
                now,
            };
            state.watch.reconcile(input, self.settings)
        };
        for step in steps {
            if let Step::Release { model, op } = step {
                self.placement.release(server, &model, &op).await?;
            }
        }
        Ok(())
    }

    /// Sweeps periodically while this instance owns the sweep, until the process ends.
    pub async fn run_sweep(self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.mesh.owner("sweep").is_some() {
                continue;
            }
            if let Err(error) = self.sweep().await {
                log::warn!(error:% = error; "cannot remove the replicas of unlisted servers");
            }
        }
    }
}
