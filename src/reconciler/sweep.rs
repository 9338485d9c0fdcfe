//! Ends what was decided for servers that are not listed any more.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::{ReconcileError, Reconciler};
use crate::placement::{Meeting, Placed, Step, Vacancy};
use crate::rules::Fencing;

/// Time between two sweeps.
const SWEEP: Duration = Duration::from_secs(5);

impl Reconciler {
    /// Takes the steps that end what was decided for servers which are not listed any more.
    ///
    /// # Errors
    ///
    /// [`ReconcileError`] where the table service does not answer.
    pub async fn sweep(&self) -> Result<(), ReconcileError> {
        let view = Arc::clone(&self.view.borrow());
        if view.listed_at.is_none() {
            return Ok(());
        }
        for placed in self.placement.snapshot().await? {
            if view.endpoints.contains_key(&placed.server) || placed.row.replicas.is_empty() {
                continue;
            }
            self.end(&placed).await?;
        }
        Ok(())
    }

    async fn end(&self, placed: &Placed) -> Result<(), ReconcileError> {
        let server = placed.server.as_str();
        self.placement.vacate(server, &Vacancy::Gone).await?;
        let steps = {
            let mut progress = self.lock();
            let progress = progress.entry(server.to_owned()).or_default();
            let (row, fence, now) = (&placed.row, placed.fence, self.clock.now());
            let fencing = Fencing::Ignored;
            let met = Meeting {
                row,
                fence,
                report: None,
                fencing,
                now,
            };
            progress.watch.reconcile(met, self.bounds)
        };
        for step in steps {
            if let Step::Release { model, op } = step {
                self.placement.release(server, &model, &op).await?;
            }
        }
        Ok(())
    }

    /// Sweeps at intervals where this instance is the owner of that, until the process ends.
    pub async fn run_sweep(self) {
        let mut ticks = interval(SWEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.mesh.owner("sweep").is_some() {
                continue;
            }
            if let Err(error) = self.sweep().await {
                log::warn!(error:% = error; "cannot sweep");
            }
        }
    }
}
