//! One cold start: decide, order, wait until the replica is ready.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::{Decider, Loads, Phase};
use crate::chart::ReplicaState;
use crate::fleet::Endpoint;
use crate::interest::Interest;
use crate::keeper::Keeper;
use crate::metrics::Metrics;
use crate::placement::{Ask, PlaceError, Placement, Reserved};
use crate::rules::{Model, Rules};
use crate::verdict::{Cause, Refusal};

/// Bounds of cold starts.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// Shortest time between two reports while a load is awaited.
    pub watch: Duration,
    /// Longest time between two reports while a load is awaited.
    pub pause: Duration,
    /// Longest time of one cold start.
    pub longest: Duration,
    /// Bytes a second that a load is expected to move before one was seen.
    pub speed: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            watch: Duration::from_millis(4),
            pause: Duration::from_millis(100),
            longest: Duration::from_mins(15),
            speed: 2e9,
        }
    }
}

/// What a cold start needs.
#[derive(Debug)]
pub struct LoadContext {
    /// Bounds.
    pub settings: LoadSettings,
    /// Decisions.
    pub placement: Arc<Placement>,
    /// Tends the servers.
    pub keeper: Keeper,
    /// Models that this instance has traffic for.
    pub interest: Interest,
    /// Metrics.
    pub metrics: Metrics,
}

impl LoadContext {
    /// Time that a cold start of a model probably takes.
    #[must_use]
    pub fn estimate(&self, model: &str) -> Duration {
        let rules = self.keeper.rules.borrow();
        let Some(rule) = rules.as_ref().and_then(|r| r.rules.models.get(model)) else {
            return Duration::ZERO;
        };
        Duration::try_from_secs_f64(bytes_f64(rule.size) / self.settings.speed)
            .unwrap_or(self.settings.longest)
    }

    /// Loads a model.
    ///
    /// # Errors
    ///
    /// A refusal that says why no replica can be ready now, and when to come back.
    pub(super) async fn load(
        &self,
        model: &str,
        loads: &Loads,
        tell: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        let started = Instant::now();
        let rules =
            self.keeper.rules.borrow().clone().ok_or_else(|| {
                Refusal::not_run(Cause::NotReady).retry_after(Duration::from_secs(1))
            })?;
        let rule = rules.rules.models.get(model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names model '{model}'"))
        })?;
        if let Some(base) = &rule.base {
            Box::pin(loads.ready(base, Decider::Home)).await?;
        }
        let (endpoint, reserved) = self.decide(model, rule, &rules.rules).await?;
        self.await_ready(model, &endpoint, &reserved, started, tell)
            .await?;
        self.metrics.cold(rule.class, started.elapsed());
        log::info!(model = model, endpoint = endpoint.listed.name, took_ms:? = started.elapsed().as_millis(); "cold start finished");
        Ok(())
    }

    /// Decides where the replica goes, trying one server after the other.
    async fn decide(
        &self,
        model: &str,
        rule: &Model,
        rules: &Rules,
    ) -> Result<(Endpoint, Reserved), Refusal> {
        let engines = rules.engines.get(&rule.engines).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names '{}'", rule.engines))
        })?;
        let mut last = PlaceError::NoMemory;
        for endpoint in self.candidates(model, rule) {
            let ask = Ask {
                model: model.to_owned(),
                base: rule.base.clone(),
                bytes: rule.size,
                server: endpoint.listed.name.clone(),
                capacity: engines.memory,
                replicas: 1,
                adapter: rule.base.is_some(),
                loads: rules.weights.loads,
                adapters: rules.weights.adapters,
            };
            match self.placement.reserve(&ask).await {
                Ok(reserved) => {
                    self.keeper.forget_row(&reserved.server);
                    return self.locate(reserved);
                }
                Err(error @ (PlaceError::NoMemory | PlaceError::NoBase | PlaceError::Settling)) => {
                    last = error;
                }
                Err(error) => return Err(refusal(&error)),
            }
        }
        Err(refusal(&last))
    }

    /// The endpoint of a decided replica, which another call may have decided elsewhere.
    fn locate(&self, reserved: Reserved) -> Result<(Endpoint, Reserved), Refusal> {
        let view = self.keeper.view.borrow();
        let endpoint = view
            .endpoints
            .get(&reserved.server)
            .cloned()
            .ok_or_else(|| {
                Refusal::not_run(Cause::NoCapacity)
                    .detail("the replica is decided for an endpoint that is not listed")
                    .retry_after(Duration::from_secs(2))
            })?;
        Ok((endpoint, reserved))
    }

    /// Endpoints that may take the model, best first.
    fn candidates(&self, model: &str, rule: &Model) -> Vec<Endpoint> {
        let view = Arc::clone(&self.keeper.view.borrow());
        let mut found: Vec<Endpoint> = view
            .members(&rule.engines)
            .filter(|e| rule.base.as_deref().is_none_or(|base| e.holds(base)))
            .cloned()
            .collect();
        found.sort_by_key(|e| {
            let report = e.report.as_ref();
            let cached = report.is_some_and(|r| r.cached.iter().any(|c| c == model));
            let placed = self.keeper.row(&e.listed.name);
            let taken = placed.map_or(0, |p| p.row.taken());
            (!cached, taken)
        });
        found
    }

    async fn await_ready(
        &self,
        model: &str,
        endpoint: &Endpoint,
        reserved: &Reserved,
        started: Instant,
        tell: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        if reserved.state == ReplicaState::Ready {
            return Ok(());
        }
        let estimate = self.estimate(model);
        let mut pause = self.settings.watch;
        while started.elapsed() < self.settings.longest {
            let left = estimate.saturating_sub(started.elapsed());
            tell.send_replace(Phase::Loading { left });
            match self.keeper.tend(endpoint).await {
                Ok(report) if report.failed.contains(&reserved.op) => {
                    return Err(Refusal::not_run(Cause::NoCapacity)
                        .detail("the engine could not load the model")
                        .retry_after(Duration::from_secs(2)));
                }
                Ok(_) => {}
                Err(error) => log::info!(model = model, error:% = error; "load is not confirmed"),
            }
            if self.keeper.view.borrow().holders(model).next().is_some() {
                return Ok(());
            }
            sleep(pause).await;
            pause = (pause * 2).min(self.settings.pause);
        }
        Err(Refusal::not_run(Cause::NoCapacity)
            .detail("the load takes longer than any load may")
            .retry_after(Duration::from_secs(10)))
    }
}

fn refusal(error: &PlaceError) -> Refusal {
    let (cause, after) = match error {
        PlaceError::TableDown(_) | PlaceError::Unknown(_) | PlaceError::Malformed(_) => {
            (Cause::TableDown, Duration::from_secs(5))
        }
        _ => (Cause::NoCapacity, Duration::from_secs(2)),
    };
    Refusal::not_run(cause)
        .detail(error.to_string())
        .retry_after(after)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no exact bytes"
)]
const fn bytes_f64(bytes: u64) -> f64 {
    bytes as f64
}
