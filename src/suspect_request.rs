//! Requests that are tied to crashes of endpoints, on their way.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::engine::EngineError;
use crate::fleet::{Endpoint, View};
use crate::request_context::RequestContext;
use crate::suspects::{BeginError, Host, Standing, Trial, quietest, refusal, request_digest};
use crate::verdict::Refusal;

/// Looks at an endpoint whose connection broke, and the pause between them.
const DEATH_LOOKS: u32 = 5;
const DEATH_PAUSE: Duration = Duration::from_millis(50);

/// How a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendMode {
    /// Like any other.
    Normal,
    /// On an endpoint that runs no other request meanwhile.
    Isolated,
}

/// One request as a suspect.
#[derive(Debug, Clone)]
pub struct Suspicion {
    gate: RequestContext,
    digest: String,
    trial: Option<Trial>,
}

impl Suspicion {
    /// A request for a model with this body.
    #[must_use]
    pub fn new(gate: &RequestContext, model: &str, body: &[u8]) -> Self {
        Self {
            gate: gate.clone(),
            digest: request_digest(model, body),
            trial: None,
        }
    }

    /// How the request may be sent now.
    ///
    /// # Errors
    ///
    /// The final refusal of a request that is tied to too many crashes.
    pub fn send_mode(&self) -> Result<SendMode, Refusal> {
        match self.gate.suspects.standing(&self.digest) {
            Standing::Clear => Ok(SendMode::Normal),
            Standing::Suspect => Ok(SendMode::Isolated),
            Standing::Refused(left) => Err(refusal(left)),
        }
    }

    /// The endpoint for a trial, on which a crash would harm least; none while each runs one.
    #[must_use]
    pub fn host(&self, model: &str) -> Option<Endpoint> {
        let view = Arc::clone(&self.gate.view.borrow());
        let trials = self.gate.suspects.trials();
        let hosts: Vec<Host> = view
            .holders(model)
            .map(|e| Host {
                server: e.listed.name.clone(),
                boot: view.boot(e, model),
                running: self.running(&view, e, model),
                trial: trials.contains(&e.listed.name),
            })
            .collect();
        let host = quietest(&hosts)?;
        view.endpoints.get(&host.server).cloned()
    }

    fn running(&self, view: &View, endpoint: &Endpoint, model: &str) -> u32 {
        let own = self.gate.chooser.inflight().count(&endpoint.listed.name);
        own.max(view.load(endpoint, model).map_or(0, |(load, _)| load))
    }

    /// Begins a trial on an endpoint; false where another one runs there.
    ///
    /// # Errors
    ///
    /// A refusal as not run, where the same request runs in another trial or the table service
    /// is down.
    pub async fn begin(&mut self, endpoint: &Endpoint, model: &str) -> Result<bool, Refusal> {
        let boot = self.boot(endpoint, model).await;
        let begun = self
            .gate
            .suspects
            .begin(&self.digest, &endpoint.listed.name, &boot)
            .await;
        match begun {
            Ok(trial) => {
                self.trial = Some(trial);
                Ok(true)
            }
            Err(BeginError::Busy) => Ok(false),
            Err(BeginError::Refused(refusal)) => Err(refusal),
        }
    }

    /// Boot id of the endpoint's engine, asked for where it was not heard yet.
    async fn boot(&self, endpoint: &Endpoint, model: &str) -> String {
        let heard = self.gate.view.borrow().boot(endpoint, model);
        if !heard.is_empty() {
            return heard;
        }
        let report = self.gate.engines.report(endpoint.listed.address).await;
        report.map(|r| r.boot).unwrap_or_default()
    }

    /// Ends the trial, if there is one; a request that completed is cleared.
    pub async fn finish(&mut self, completed: bool) {
        let Some(trial) = self.trial.take() else {
            return;
        };
        if let Err(error) = self.gate.suspects.finish(&trial, completed).await {
            log::warn!(error:% = error; "the end of a trial is not recorded");
        }
    }

    /// After a connection to an endpoint broke: counts the request where the endpoint died.
    pub async fn inspect(&mut self, endpoint: &Endpoint, model: &str) {
        let boot = self.gate.view.borrow().boot(endpoint, model);
        if !self.died(endpoint, &boot).await {
            return self.finish(false).await;
        }
        let server = &endpoint.listed.name;
        log::warn!(endpoint = server, digest = self.digest; "endpoint died while it ran this request");
        let digests = std::slice::from_ref(&self.digest);
        self.gate.suspects.crashed(server, &boot, digests).await;
        self.trial = None;
        self.gate.report_unreachable(server).await;
    }

    /// Whether the engine with this boot id is gone; one that is just ending is asked again.
    async fn died(&self, endpoint: &Endpoint, boot: &str) -> bool {
        for _ in 0..DEATH_LOOKS {
            match self.gate.engines.report(endpoint.listed.address).await {
                Ok(report) => return !boot.is_empty() && report.boot != boot,
                Err(EngineError::Unreachable(_)) => return true,
                Err(_) => sleep(DEATH_PAUSE).await,
            }
        }
        false
    }
}
