//! Requests that are tied to crashes of endpoints, on their way.

use std::sync::Arc;

use crate::engine::EngineError;
use crate::fleet::{Endpoint, View};
use crate::gate::Gate;
use crate::suspects::{Host, Standing, Trial, quietest, refusal, request_digest};
use crate::verdict::{Cause, Refusal};

/// How a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Leave {
    /// Like any other.
    Free,
    /// In a trial, on an endpoint that runs no other.
    Trial,
}

/// One request as a suspect.
#[derive(Debug, Clone)]
pub struct Suspicion {
    gate: Gate,
    digest: String,
    trial: Option<Trial>,
}

impl Suspicion {
    /// A request for a model with this body.
    #[must_use]
    pub fn new(gate: &Gate, model: &str, body: &[u8]) -> Self {
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
    pub fn leave(&self) -> Result<Leave, Refusal> {
        match self.gate.suspects.standing(&self.digest) {
            Standing::Clear => Ok(Leave::Free),
            Standing::Suspect => Ok(Leave::Trial),
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

    /// Begins a trial on an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal as not run, where the same request runs in another trial or the table service
    /// is down.
    pub async fn begin(&mut self, endpoint: &Endpoint, model: &str) -> Result<(), Refusal> {
        let boot = self.gate.view.borrow().boot(endpoint, model);
        let begun = self
            .gate
            .suspects
            .begin(&self.digest, &endpoint.listed.name, &boot)
            .await;
        match begun {
            Ok(trial) => {
                self.trial = Some(trial);
                Ok(())
            }
            Err(refusal) if refusal.cause == Cause::CrashSuspect => Err(refusal),
            Err(refusal) => Err(refusal.detail("the trial of a suspected request cannot begin")),
        }
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
        let died = match self.gate.engines.report(endpoint.listed.address).await {
            Ok(report) => !boot.is_empty() && report.boot != boot,
            Err(EngineError::Unreachable(_)) => true,
            Err(_) => false,
        };
        if !died {
            return self.finish(false).await;
        }
        let server = &endpoint.listed.name;
        log::warn!(endpoint = server, digest = self.digest; "endpoint died while it ran this request");
        let digests = std::slice::from_ref(&self.digest);
        self.gate.suspects.crashed(server, &boot, digests).await;
        self.trial = None;
        self.gate.lost(server).await;
    }
}
