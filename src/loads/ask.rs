//! Asks the owner of a model for a replica, and answers peers that ask.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::job::LoadContext;
use super::{Decider, Loads, Phase, Wake};
use crate::fleet::{Hinted, View};
use crate::follow::RulesWatch;
use crate::peers::message::{ModelReply, ModelRequest, RulesText};
use crate::peers::{Inbound, Request};
use crate::verdict::{Cause, Refusal};

/// Looks for an endpoint after a cold start, and the pause between them.
const NEWS_LOOKS: u32 = 40;
const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// Time to come back where none was found.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a model's owner may take to answer.
const OWNER_ANSWER: Duration = Duration::from_mins(1);

impl LoadContext {
    /// Gets a replica, decided by the model's owner or by this instance.
    pub(super) async fn run(
        &self,
        wake: &Wake,
        loads: &Loads,
        tell: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        self.subscriptions
            .note(&wake.model, self.reconciler.clock.now())
            .await;
        let owner = match wake.decider {
            Decider::Owner => self.reconciler.mesh.owner(&format!("model/{}", wake.model)),
            Decider::Here | Decider::Ahead => None,
        };
        let Some(owner) = owner else {
            return self.load(wake, loads, tell).await;
        };
        match self.ask(&owner, &wake.model).await {
            Some(answer) => answer,
            None => self.load(wake, loads, tell).await,
        }
    }

    /// Asks the owner; none where it does not answer, so that this instance may decide itself.
    async fn ask(&self, owner: &str, model: &str) -> Option<Result<(), Refusal>> {
        let wake = ModelRequest {
            id: crate::request::new_id(),
            model: model.to_owned(),
            deadline_ms: OWNER_ANSWER.as_millis().try_into().unwrap_or(u64::MAX),
        };
        match self
            .reconciler
            .mesh
            .request_model(owner, wake, OWNER_ANSWER)
            .await
        {
            Ok(reply) if reply.servers.is_empty() => Some(Err(refusal(&reply))),
            Ok(reply) => {
                let servers = reply.servers.into_iter().collect();
                self.hint(model, servers).await;
                Some(Ok(()))
            }
            Err(error) => {
                log::info!(owner = owner, model = model, error:% = error; "owner does not answer");
                None
            }
        }
    }

    async fn hint(&self, model: &str, servers: BTreeSet<String>) {
        let now = self.reconciler.clock.now();
        let hinted = Hinted {
            model: model.to_owned(),
            servers,
            now,
        };
        if self.reconciler.fleet.send(hinted).await.is_err() {
            log::debug!("the fleet has stopped");
        }
    }
}

fn refusal(reply: &ModelReply) -> Refusal {
    let cause = reply.cause.parse().unwrap_or(Cause::NoCapacity);
    let refusal = Refusal::not_run(cause).detail("the model's owner refused");
    if reply.retry_ms == 0 {
        return refusal;
    }
    refusal.retry_after(Duration::from_millis(reply.retry_ms))
}

/// Answers requests of peers until the mesh stops.
#[derive(Debug)]
pub struct Answering {
    /// Cold starts.
    pub loads: Loads,
    /// The configuration in force.
    pub rules: RulesWatch,
    /// The endpoints, to name those that hold a model.
    pub view: watch::Receiver<Arc<View>>,
}

impl Answering {
    /// Answers until the mesh stops.
    pub async fn run(self, mut requests: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = requests.recv().await {
            match inbound.request {
                Request::Model(wake, reply) => {
                    let (loads, view) = (self.loads.clone(), self.view.clone());
                    tokio::spawn(async move {
                        let answer = wake_reply(&loads, &view, &wake.model).await;
                        drop(reply.send(answer));
                    });
                }
                Request::Rules(_, reply) => drop(reply.send(self.rules_text())),
            }
        }
    }

    fn rules_text(&self) -> RulesText {
        let rules = self.rules.borrow();
        let Some(in_force) = rules.as_ref() else {
            return RulesText::default();
        };
        RulesText {
            version: in_force.source.version.version,
            digest: in_force.source.version.digest.clone(),
            text: in_force.source.text.clone(),
        }
    }
}

/// Names the servers that hold a model, after a cold start where none does.
async fn wake_reply(loads: &Loads, view: &watch::Receiver<Arc<View>>, model: &str) -> ModelReply {
    for _ in 0..NEWS_LOOKS {
        if let Err(refusal) = loads.ready(model, Decider::Here).await {
            return refused(&refusal);
        }
        let servers: Vec<String> = view
            .borrow()
            .holders(model)
            .map(|e| e.listed.name.clone())
            .collect();
        if !servers.is_empty() {
            return ModelReply {
                servers,
                ..ModelReply::default()
            };
        }
        // The decided replica's endpoint was lost meanwhile.
        sleep(NEWS_PAUSE).await;
    }
    refused(&Refusal::not_run(Cause::NoCapacity).retry_after(RETRY_AFTER))
}

fn refused(refusal: &Refusal) -> ModelReply {
    let cause: &str = refusal.cause.into();
    let retry = refusal
        .retry
        .map_or(0, |r| r.as_millis().try_into().unwrap_or(u64::MAX));
    ModelReply {
        servers: Vec::new(),
        cause: cause.to_owned(),
        retry_ms: retry,
    }
}
