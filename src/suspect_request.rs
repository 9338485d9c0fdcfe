//! Sending of requests that are suspected of crashing endpoints.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::endpoint_registry::{Endpoint, RegistryView};
use crate::engine::EngineError;
use crate::request_context::RequestContext;
use crate::suspects::{
    SuspectStatus, Trial, TrialCandidate, TrialError, least_loaded, request_digest, suspect_refusal,
};
use crate::verdict::Refusal;

/// Maximum number of probes of an endpoint whose connection broke.
const CRASH_PROBES: u32 = 5;
/// Pause between two of these probes.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// How a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendMode {
    /// Like a request that is not a suspect.
    Normal,
    /// In a trial, on an endpoint that runs no other trial.
    Isolated,
}

/// Suspect state of one request, and its running trial.
#[derive(Debug, Clone)]
pub struct SuspectRequest {
    context: RequestContext,
    digest: String,
    trial: Option<Trial>,
}

impl SuspectRequest {
    /// State of a request for a model with the given body.
    #[must_use]
    pub fn new(context: &RequestContext, model: &str, body: &[u8]) -> Self {
        Self {
            context: context.clone(),
            digest: request_digest(model, body),
            trial: None,
        }
    }

    /// How the request may be sent now.
    ///
    /// # Errors
    ///
    /// A refusal where the request is tied to too many crashes.
    pub fn send_mode(&self) -> Result<SendMode, Refusal> {
        match self.context.suspects.status(&self.digest) {
            SuspectStatus::Clear => Ok(SendMode::Normal),
            SuspectStatus::Suspect => Ok(SendMode::Isolated),
            SuspectStatus::Refused(left) => Err(suspect_refusal(left)),
        }
    }

    /// The endpoint for a trial: the least loaded one without a trial; none where each has one.
    #[must_use]
    pub fn trial_endpoint(&self, model: &str) -> Option<Endpoint> {
        let view = Arc::clone(&self.context.view.borrow());
        let trials = self.context.suspects.trials();
        let candidates: Vec<TrialCandidate> = view
            .ready_endpoints(model)
            .map(|e| TrialCandidate {
                server: e.listed.name.clone(),
                boot: view.boot(e, model),
                running: self.running(&view, e, model),
                runs_trial: trials.contains(&e.listed.name),
            })
            .collect();
        let candidate = least_loaded(&candidates)?;
        view.endpoints.get(&candidate.server).cloned()
    }

    fn running(&self, view: &RegistryView, endpoint: &Endpoint, model: &str) -> u32 {
        let own = self.context.chooser.inflight().count(&endpoint.listed.name);
        own.max(view.load(endpoint, model).map_or(0, |(load, _)| load))
    }

    /// Begins a trial on an endpoint; false where another one is running there.
    ///
    /// # Errors
    ///
    /// A refusal as not run, where the request is tied to too many crashes, runs in another trial,
    /// or the table service is down.
    pub async fn begin_trial(&mut self, endpoint: &Endpoint, model: &str) -> Result<bool, Refusal> {
        let boot = self.boot(endpoint, model).await;
        let begun = self
            .context
            .suspects
            .begin_trial(&self.digest, &endpoint.listed.name, &boot)
            .await;
        match begun {
            Ok(trial) => {
                self.trial = Some(trial);
                Ok(true)
            }
            Err(TrialError::Busy) => Ok(false),
            Err(TrialError::Refused(refusal)) => Err(refusal),
        }
    }

    /// Boot id of the endpoint's engine, requested from it where none is known; empty on failure.
    async fn boot(&self, endpoint: &Endpoint, model: &str) -> String {
        let known_boot = self.context.view.borrow().boot(endpoint, model);
        if !known_boot.is_empty() {
            return known_boot;
        }
        let report = self.context.engines.report(endpoint.listed.address).await;
        report.map(|r| r.boot).unwrap_or_default()
    }

    /// Ends the running trial, if any; a request that completed is cleared.
    pub async fn finish_trial(&mut self, completed: bool) {
        let Some(trial) = self.trial.take() else {
            return;
        };
        if let Err(error) = self.context.suspects.finish_trial(&trial, completed).await {
            log::warn!(error:% = error; "cannot record the end of a trial");
        }
    }

    /// Checks an endpoint whose connection broke; records a crash for the request if it died.
    pub async fn check_crash(&mut self, endpoint: &Endpoint, model: &str) {
        let boot = self.context.view.borrow().boot(endpoint, model);
        if !self.engine_died(endpoint, &boot).await {
            return self.finish_trial(false).await;
        }
        let server = &endpoint.listed.name;
        log::warn!(
            endpoint = server,
            digest = self.digest;
            "endpoint died while running this request"
        );
        let digests = std::slice::from_ref(&self.digest);
        self.context
            .suspects
            .record_crash(server, &boot, digests)
            .await;
        self.trial = None;
        self.context.report_unreachable(server).await;
    }

    /// Whether the engine with this boot id died.
    ///
    /// An engine that does not answer may be exiting and is probed again; after the last probe it
    /// counts as alive.
    async fn engine_died(&self, endpoint: &Endpoint, boot: &str) -> bool {
        for _ in 0..CRASH_PROBES {
            match self.context.engines.report(endpoint.listed.address).await {
                Ok(report) => return !boot.is_empty() && report.boot != boot,
                Err(EngineError::Unreachable(_)) => return true,
                Err(_) => sleep(CRASH_PROBE_INTERVAL).await,
            }
        }
        false
    }
}
