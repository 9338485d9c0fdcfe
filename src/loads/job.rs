//! One cold start: decide, order, wait until the replica is ready.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::{Decider, Loads, Phase, Wake};
use crate::chart::ReplicaState;
use crate::endpoint_registry::Endpoint;
use crate::idle::{SharedResidencies, epoch, lock};
use crate::metrics::Metrics;
use crate::placement::{Ask, PlaceError, Placement, Reserved};
use crate::reconciler::Reconciler;
use crate::rules::{Class, Model, Rules};
use crate::subscriptions::Subscriptions;
use crate::verdict::{Cause, Refusal};

/// Bounds of cold starts.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// Shortest time between two reports while a load is awaited.
    pub watch: Duration,
    /// Longest time between two reports while a load is awaited.
    pub pause: Duration,
    /// Longest time for evicted replicas to be released.
    pub eviction: Duration,
    /// Longest wait where no endpoint takes work.
    pub absence: Duration,
    /// Longest wait for a replica of the model that is on its way out.
    pub departure: Duration,
    /// Longest time of one cold start.
    pub longest: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            watch: Duration::from_millis(4),
            pause: Duration::from_millis(100),
            eviction: Duration::from_secs(15),
            absence: Duration::from_secs(2),
            departure: Duration::from_secs(15),
            longest: Duration::from_mins(15),
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
    /// Reconciles the servers.
    pub reconciler: Reconciler,
    /// What is learnt of demand and loads.
    pub residencies: SharedResidencies,
    /// Models that this instance has traffic for.
    pub subscriptions: Subscriptions,
    /// Metrics.
    pub metrics: Metrics,
}

impl LoadContext {
    /// Time that a cold start of a model probably takes.
    #[must_use]
    pub fn estimate(&self, model: &str) -> Duration {
        let rules = self.reconciler.rules.borrow();
        let rule = rules.as_ref().and_then(|r| r.rules.models.get(model));
        rule.map_or(Duration::ZERO, |r| lock(&self.residencies).reload(r.size))
            .min(self.settings.longest)
    }

    /// Loads a model.
    ///
    /// # Errors
    ///
    /// A refusal that says why no replica can be ready now, and when to come back.
    pub(super) async fn load(
        &self,
        wake: &Wake,
        loads: &Loads,
        tell: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        let started = Instant::now();
        let model = wake.model.as_str();
        let rules =
            self.reconciler.rules.borrow().clone().ok_or_else(|| {
                Refusal::not_run(Cause::NotReady).retry_after(Duration::from_secs(1))
            })?;
        let rule = rules.rules.models.get(model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names model '{model}'"))
        })?;
        if let Some(base) = &rule.base {
            Box::pin(loads.ready(base, Decider::Owner)).await?;
        }
        let (endpoint, reserved) = self.place(wake, rule, &rules.rules).await?;
        let decided = Instant::now();
        self.await_ready(model, &endpoint, &reserved, started, tell)
            .await?;
        self.metrics.cold(rule.class, started.elapsed());
        if !reserved.existing && rule.base.is_none() {
            lock(&self.residencies).loaded(rule.size, decided.elapsed());
        }
        log::info!(model = model, endpoint = endpoint.listed.name, took_ms:? = started.elapsed().as_millis(); "cold start finished");
        Ok(())
    }

    /// Decides where the replica goes, waiting for a place at the weight store.
    async fn place(
        &self,
        wake: &Wake,
        rule: &Model,
        rules: &Rules,
    ) -> Result<(Endpoint, Reserved), Refusal> {
        let engines = rules.engines.get(&rule.engines).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names '{}'", rule.engines))
        })?;
        let mut ask = Ask {
            model: wake.model.clone(),
            base: rule.base.clone(),
            bytes: rule.size,
            capacity: engines.memory,
            replicas: 1,
            adapter: rule.base.is_some(),
            loads: rules.weights.loads,
            adapters: rules.weights.adapters,
            ..Ask::default()
        };
        let started = Instant::now();
        while started.elapsed() < self.settings.longest {
            // An endpoint that could not be reached a moment ago may be back.
            if self.candidates(rule).is_empty() && started.elapsed() < self.settings.absence {
                sleep(self.settings.pause).await;
                continue;
            }
            match self.decide(&mut ask, rule, wake.decider).await {
                Ok(Some(placed)) => return Ok(placed),
                Ok(None) => sleep(slot_pause(rule.class)).await,
                // A replica on its way out makes room soon.
                Err(PlaceError::ReplicaLimit) if started.elapsed() < self.settings.departure => {
                    sleep(self.settings.pause).await;
                }
                Err(error) => return Err(refusal(&error)),
            }
        }
        Err(refusal(&PlaceError::SlotsBusy))
    }

    /// Tries one server after the other, first with free memory, then with an eviction.
    ///
    /// None where the weight store has no place now.
    async fn decide(
        &self,
        ask: &mut Ask,
        rule: &Model,
        decider: Decider,
    ) -> Result<Option<(Endpoint, Reserved)>, PlaceError> {
        let candidates = self.ranked(&ask.model, rule, ask.capacity).await?;
        let mut last = PlaceError::NoMemory;
        let evictions: &[bool] = if decider == Decider::Ahead {
            &[false]
        } else {
            &[false, true]
        };
        for evicting in evictions.iter().copied() {
            for endpoint in &candidates {
                if evicting && !self.evict(endpoint, ask.bytes).await {
                    continue;
                }
                ask.server.clone_from(&endpoint.listed.name);
                match self.reserve(ask, rule).await {
                    Ok(placed) => return Ok(Some(placed)),
                    Err(PlaceError::SlotsBusy) => return Ok(None),
                    Err(
                        error @ (PlaceError::NoMemory | PlaceError::NoBase | PlaceError::Settling),
                    ) => {
                        last = error;
                    }
                    Err(error) => return Err(error),
                }
            }
        }
        Err(last)
    }

    /// Reserves on one server; where the decided replicas take no work, one more is, by the rule.
    async fn reserve(
        &self,
        ask: &mut Ask,
        rule: &Model,
    ) -> Result<(Endpoint, Reserved), PlaceError> {
        loop {
            match self.placement.reserve(ask).await {
                Ok(reserved) => {
                    self.reconciler.forget_row(&reserved.server);
                    if let Some(endpoint) = self.locate(&reserved) {
                        return Ok((endpoint, reserved));
                    }
                }
                Err(PlaceError::ReplicaLimit) => {}
                Err(error) => return Err(error),
            }
            if ask.replicas >= rule.replicas {
                return Err(PlaceError::ReplicaLimit);
            }
            ask.replicas += 1;
        }
    }

    /// Evicts idle replicas; true once the memory is free.
    async fn evict(&self, endpoint: &Endpoint, need: u64) -> bool {
        let Ok(report) = self.reconciler.reconcile(endpoint).await else {
            return false;
        };
        let Some(placed) = self.reconciler.row(&endpoint.listed.name) else {
            return false;
        };
        let free = placed.row.capacity.saturating_sub(placed.row.taken());
        let short = need.saturating_sub(free);
        let name = &endpoint.listed.name;
        let chosen = lock(&self.residencies).evict(name, &report, short, epoch());
        let Some(chosen) = chosen else {
            return false;
        };
        for model in &chosen {
            if let Err(error) = self.reconciler.release_model(endpoint, model).await {
                log::info!(endpoint = name, model = model, error:% = error; "cannot evict");
                return false;
            }
            log::info!(endpoint = name, model = model; "idle replica evicted");
        }
        self.freed(endpoint, &chosen).await
    }

    /// Waits until evicted replicas are released.
    async fn freed(&self, endpoint: &Endpoint, models: &[String]) -> bool {
        let started = Instant::now();
        while started.elapsed() < self.settings.eviction {
            let reconciled = self.reconciler.reconcile(endpoint).await.is_ok();
            let row = self.reconciler.row(&endpoint.listed.name);
            let gone = row.is_some_and(|p| models.iter().all(|m| p.row.replica(m).is_none()));
            if reconciled && gone {
                return true;
            }
            sleep(self.settings.pause).await;
        }
        false
    }

    /// The endpoint of a decided replica, where it takes work.
    fn locate(&self, reserved: &Reserved) -> Option<Endpoint> {
        let view = self.reconciler.view.borrow();
        view.endpoints
            .get(&reserved.server)
            .filter(|e| e.accepts_requests())
            .cloned()
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
            match self.reconciler.reconcile(endpoint).await {
                Ok(report) if report.failed.contains(&reserved.op) => {
                    return Err(Refusal::not_run(Cause::NoCapacity)
                        .detail("the engine could not load the model")
                        .retry_after(Duration::from_secs(2)));
                }
                Ok(_) => {}
                Err(error) => log::info!(model = model, error:% = error; "load is not confirmed"),
            }
            if self
                .reconciler
                .view
                .borrow()
                .ready_endpoints(model)
                .next()
                .is_some()
            {
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

/// Pause before a place at the weight store is asked for again; urgent models ask more often.
const fn slot_pause(class: Class) -> Duration {
    match class {
        Class::Interactive => Duration::from_millis(20),
        Class::Standard => Duration::from_millis(100),
        Class::Batch => Duration::from_millis(500),
    }
}
