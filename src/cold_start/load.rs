//! One cold start: assigns a replica, orders the load and waits until the replica is ready.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::{ColdStartRequest, ColdStarts, Decider, Phase};
use crate::endpoint_registry::Endpoint;
use crate::metrics::Metrics;
use crate::placement::{LoadRequest, Placement, PlacementError, Reservation};
use crate::reconciler::Reconciler;
use crate::residency_controller::{SharedTracker, lock_tracker, unix_time};
use crate::rules::{Model, PriorityClass, Rules};
use crate::state_chart::ReplicaState;
use crate::subscriptions::Subscriptions;
use crate::verdict::{Cause, Refusal};

/// Time limits of cold starts.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStartSettings {
    /// Initial time between two polls of the engine's report while a load is awaited.
    pub min_poll: Duration,
    /// Maximum time between two such polls, and the retry interval of other waits.
    pub max_poll: Duration,
    /// Maximum time for evicted replicas to be released.
    pub eviction_timeout: Duration,
    /// Maximum wait for an endpoint where none accepts work.
    pub endpoint_timeout: Duration,
    /// Maximum wait for a replica of the model that is being removed.
    pub unload_timeout: Duration,
    /// Maximum time of a cold start.
    pub total_timeout: Duration,
}

impl Default for ColdStartSettings {
    fn default() -> Self {
        Self {
            min_poll: Duration::from_millis(4),
            max_poll: Duration::from_millis(100),
            eviction_timeout: Duration::from_secs(15),
            endpoint_timeout: Duration::from_secs(2),
            unload_timeout: Duration::from_secs(15),
            total_timeout: Duration::from_mins(15),
        }
    }
}

/// Dependencies of cold starts.
#[derive(Debug)]
pub struct ColdStartContext {
    /// Time limits.
    pub settings: ColdStartSettings,
    /// Replica assignments.
    pub placement: Arc<Placement>,
    /// Reconciles the servers with their assignments.
    pub reconciler: Reconciler,
    /// Learned statistics of demand and load times.
    pub tracker: SharedTracker,
    /// Models that this instance has recent traffic for.
    pub subscriptions: Subscriptions,
    /// Metrics of this instance.
    pub metrics: Metrics,
}

impl ColdStartContext {
    /// Estimated time of a cold start of a model.
    #[must_use]
    pub fn estimate(&self, model: &str) -> Duration {
        let rules = self.reconciler.rules.borrow();
        let rule = rules.as_ref().and_then(|r| r.rules.models.get(model));
        rule.map_or(Duration::ZERO, |r| {
            lock_tracker(&self.tracker).load_time(r.size)
        })
        .min(self.settings.total_timeout)
    }

    /// Loads a model, after its base model if it is an adapter.
    ///
    /// # Errors
    ///
    /// A refusal with the reason why no replica can be ready now, and when to retry.
    pub(super) async fn load(
        &self,
        request: &ColdStartRequest,
        cold_starts: &ColdStarts,
        progress: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        let started = Instant::now();
        let model = request.model.as_str();
        let rules =
            self.reconciler.rules.borrow().clone().ok_or_else(|| {
                Refusal::not_run(Cause::NotReady).retry_after(Duration::from_secs(1))
            })?;
        let rule = rules.rules.models.get(model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names model '{model}'"))
        })?;
        if let Some(base) = &rule.base {
            Box::pin(cold_starts.wait_ready(base, Decider::Owner)).await?;
        }
        let (endpoint, reservation) = self.place(request, rule, &rules.rules).await?;
        let assigned_at = Instant::now();
        self.await_ready(model, &endpoint, &reservation, started, progress)
            .await?;
        self.metrics.cold(rule.class, started.elapsed());
        if !reservation.existing && rule.base.is_none() {
            lock_tracker(&self.tracker).record_load(rule.size, assigned_at.elapsed());
        }
        log::info!(model = model, endpoint = endpoint.listed.name, took_ms:? = started.elapsed().as_millis(); "cold start finished");
        Ok(())
    }

    /// Assigns a replica to a server; waits for a load slot of the weight store.
    async fn place(
        &self,
        request: &ColdStartRequest,
        rule: &Model,
        rules: &Rules,
    ) -> Result<(Endpoint, Reservation), Refusal> {
        let engines = rules.engines.get(&rule.engines).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown).detail(format!("no rule names '{}'", rule.engines))
        })?;
        let mut load = LoadRequest {
            model: request.model.clone(),
            base: rule.base.clone(),
            bytes: rule.size,
            capacity: engines.memory,
            max_replicas: 1,
            is_adapter: rule.base.is_some(),
            max_loads: rules.weights.loads,
            max_adapters: rules.weights.adapters,
            ..LoadRequest::default()
        };
        let started = Instant::now();
        while started.elapsed() < self.settings.total_timeout {
            // An endpoint that was briefly unreachable may have returned.
            if self.eligible_endpoints(rule).is_empty()
                && started.elapsed() < self.settings.endpoint_timeout
            {
                sleep(self.settings.max_poll).await;
                continue;
            }
            match self.reserve_any(&mut load, rule, request.decider).await {
                Ok(Some(placed)) => return Ok(placed),
                Ok(None) => sleep(slot_retry_interval(rule.class)).await,
                // A replica that is being removed stops counting towards the limit soon.
                Err(PlacementError::ReplicaLimit)
                    if started.elapsed() < self.settings.unload_timeout =>
                {
                    sleep(self.settings.max_poll).await;
                }
                Err(error) => return Err(refusal_for(&error)),
            }
        }
        Err(refusal_for(&PlacementError::SlotsBusy))
    }

    /// Tries the servers in order, first those with free memory, then with evictions.
    ///
    /// None where the weight store has no free load slot.
    async fn reserve_any(
        &self,
        load: &mut LoadRequest,
        rule: &Model,
        decider: Decider,
    ) -> Result<Option<(Endpoint, Reservation)>, PlacementError> {
        let candidates = self
            .rank_endpoints(&load.model, rule, load.capacity)
            .await?;
        let mut last = PlacementError::NoMemory;
        let evictions: &[bool] = if decider == Decider::Preload {
            &[false]
        } else {
            &[false, true]
        };
        for evicting in evictions.iter().copied() {
            for endpoint in &candidates {
                if evicting && !self.evict(endpoint, load.bytes).await {
                    continue;
                }
                load.server.clone_from(&endpoint.listed.name);
                match self.reserve_on(load, rule).await {
                    Ok(placed) => return Ok(Some(placed)),
                    Err(PlacementError::SlotsBusy) => return Ok(None),
                    Err(
                        error @ (PlacementError::NoMemory
                        | PlacementError::BaseNotReady
                        | PlacementError::Settling),
                    ) => {
                        last = error;
                    }
                    Err(error) => return Err(error),
                }
            }
        }
        Err(last)
    }

    /// Reserves a replica on one server.
    ///
    /// Where the assigned replicas accept no work, adds one more, up to the limit in the rule.
    async fn reserve_on(
        &self,
        load: &mut LoadRequest,
        rule: &Model,
    ) -> Result<(Endpoint, Reservation), PlacementError> {
        loop {
            match self.placement.reserve(load).await {
                Ok(reservation) => {
                    self.reconciler.invalidate_row(&reservation.server);
                    if let Some(endpoint) = self.available_endpoint(&reservation) {
                        return Ok((endpoint, reservation));
                    }
                }
                Err(PlacementError::ReplicaLimit) => {}
                Err(error) => return Err(error),
            }
            if load.max_replicas >= rule.replicas {
                return Err(PlacementError::ReplicaLimit);
            }
            load.max_replicas += 1;
        }
    }

    /// Evicts idle replicas until the required memory is free; returns whether that succeeded.
    async fn evict(&self, endpoint: &Endpoint, required: u64) -> bool {
        let Ok(report) = self.reconciler.reconcile(endpoint).await else {
            return false;
        };
        let Some(placed) = self.reconciler.cached_row(&endpoint.listed.name) else {
            return false;
        };
        let free = placed.row.capacity.saturating_sub(placed.row.used_bytes());
        let shortfall = required.saturating_sub(free);
        let name = &endpoint.listed.name;
        let victims =
            lock_tracker(&self.tracker).choose_evictions(name, &report, shortfall, unix_time());
        let Some(victims) = victims else {
            return false;
        };
        for model in &victims {
            if let Err(error) = self.reconciler.release_model(endpoint, model).await {
                log::info!(endpoint = name, model = model, error:% = error; "cannot unload idle replica for eviction");
                return false;
            }
            log::info!(endpoint = name, model = model; "idle replica evicted");
        }
        self.wait_released(endpoint, &victims).await
    }

    /// Waits until evicted replicas are released; false after the eviction timeout.
    async fn wait_released(&self, endpoint: &Endpoint, models: &[String]) -> bool {
        let started = Instant::now();
        while started.elapsed() < self.settings.eviction_timeout {
            let reconciled = self.reconciler.reconcile(endpoint).await.is_ok();
            let row = self.reconciler.cached_row(&endpoint.listed.name);
            let gone = row.is_some_and(|p| models.iter().all(|m| p.row.replica(m).is_none()));
            if reconciled && gone {
                return true;
            }
            sleep(self.settings.max_poll).await;
        }
        false
    }

    /// The endpoint of an assigned replica, if it accepts work.
    fn available_endpoint(&self, reservation: &Reservation) -> Option<Endpoint> {
        let view = self.reconciler.view.borrow();
        view.endpoints
            .get(&reservation.server)
            .filter(|e| e.accepts_requests())
            .cloned()
    }

    async fn await_ready(
        &self,
        model: &str,
        endpoint: &Endpoint,
        reservation: &Reservation,
        started: Instant,
        progress: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        if reservation.state == ReplicaState::Ready {
            return Ok(());
        }
        let estimate = self.estimate(model);
        let mut pause = self.settings.min_poll;
        while started.elapsed() < self.settings.total_timeout {
            let left = estimate.saturating_sub(started.elapsed());
            progress.send_replace(Phase::Loading { left });
            match self.reconciler.reconcile(endpoint).await {
                Ok(report) if report.failed.contains(&reservation.op) => {
                    return Err(Refusal::not_run(Cause::NoCapacity)
                        .detail("the engine could not load the model")
                        .retry_after(Duration::from_secs(2)));
                }
                Ok(_) => {}
                Err(error) => {
                    log::info!(model = model, error:% = error; "reconciliation failed while waiting for a load");
                }
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
            pause = (pause * 2).min(self.settings.max_poll);
        }
        Err(Refusal::not_run(Cause::NoCapacity)
            .detail("the model was not ready within the time limit of a cold start")
            .retry_after(Duration::from_secs(10)))
    }
}

fn refusal_for(error: &PlacementError) -> Refusal {
    let (cause, after) = match error {
        PlacementError::TableDown(_)
        | PlacementError::OutcomeUnknown(_)
        | PlacementError::Malformed(_) => (Cause::TableDown, Duration::from_secs(5)),
        _ => (Cause::NoCapacity, Duration::from_secs(2)),
    };
    Refusal::not_run(cause)
        .detail(error.to_string())
        .retry_after(after)
}

/// Time between two attempts to get a load slot of the weight store; shorter for urgent classes.
const fn slot_retry_interval(class: PriorityClass) -> Duration {
    match class {
        PriorityClass::Interactive => Duration::from_millis(20),
        PriorityClass::Standard => Duration::from_millis(100),
        PriorityClass::Batch => Duration::from_millis(500),
    }
}
