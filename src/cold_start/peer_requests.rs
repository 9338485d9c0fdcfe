//! Requests replicas from the owners of models, and answers such requests of peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::load::ColdStartContext;
use super::{ColdStartRequest, ColdStarts, Decider, Phase};
use crate::endpoint_registry::{ReadyServers, RegistryView};
use crate::peers::message::{ModelReply, ModelRequest, RulesText};
use crate::peers::{Inbound, Request};
use crate::rules_sync::RulesWatch;
use crate::verdict::{Cause, Refusal};

/// Maximum checks of the registry view for an endpoint after a cold start.
const MAX_ENDPOINT_POLLS: u32 = 40;
/// Time between these checks.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay suggested to the peer where no endpoint was found.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time for the owner of a model to answer; the cold start is part of it.
const OWNER_TIMEOUT: Duration = Duration::from_mins(1);

impl ColdStartContext {
    /// Runs a cold start, on the owner of the model or on this instance.
    pub(super) async fn run(
        &self,
        request: &ColdStartRequest,
        cold_starts: &ColdStarts,
        progress: &watch::Sender<Phase>,
    ) -> Result<(), Refusal> {
        self.subscriptions
            .subscribe(&request.model, self.reconciler.clock.now())
            .await;
        let owner = match request.decider {
            Decider::Owner => self
                .reconciler
                .mesh
                .owner(&format!("model/{}", request.model)),
            Decider::Local | Decider::Preload => None,
        };
        let Some(owner) = owner else {
            return self.load(request, cold_starts, progress).await;
        };
        match self.request_from_owner(&owner, &request.model).await {
            Some(answer) => answer,
            None => self.load(request, cold_starts, progress).await,
        }
    }

    /// Requests a replica from the owner; none where the owner does not answer.
    ///
    /// In that case this instance carries out the cold start.
    async fn request_from_owner(&self, owner: &str, model: &str) -> Option<Result<(), Refusal>> {
        let model_request = ModelRequest {
            id: crate::request::new_request_id(),
            model: model.to_owned(),
            deadline_ms: OWNER_TIMEOUT.as_millis().try_into().unwrap_or(u64::MAX),
        };
        match self
            .reconciler
            .mesh
            .request_model(owner, model_request, OWNER_TIMEOUT)
            .await
        {
            Ok(reply) if reply.servers.is_empty() => Some(Err(refusal_from_reply(&reply))),
            Ok(reply) => {
                let servers = reply.servers.into_iter().collect();
                self.send_ready_servers(model, servers).await;
                Some(Ok(()))
            }
            Err(error) => {
                log::info!(owner = owner, model = model, error:% = error; "owner does not answer");
                None
            }
        }
    }

    async fn send_ready_servers(&self, model: &str, servers: BTreeSet<String>) {
        let now = self.reconciler.clock.now();
        let ready_servers = ReadyServers {
            model: model.to_owned(),
            servers,
            now,
        };
        if self.reconciler.fleet.send(ready_servers).await.is_err() {
            log::debug!("endpoint registry has stopped; ready servers not recorded");
        }
    }
}

fn refusal_from_reply(reply: &ModelReply) -> Refusal {
    let cause = reply.cause.parse().unwrap_or(Cause::NoCapacity);
    let refusal = Refusal::not_run(cause).detail("the model's owner refused");
    if reply.retry_ms == 0 {
        return refusal;
    }
    refusal.retry_after(Duration::from_millis(reply.retry_ms))
}

/// Answers the requests of peers.
#[derive(Debug)]
pub struct PeerResponder {
    /// Cold starts.
    pub cold_starts: ColdStarts,
    /// The rules in force.
    pub rules: RulesWatch,
    /// Registry view, for the endpoints that hold a model.
    pub view: watch::Receiver<Arc<RegistryView>>,
}

impl PeerResponder {
    /// Answers requests until the mesh stops.
    pub async fn run(self, mut requests: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = requests.recv().await {
            match inbound.request {
                Request::Model(model_request, reply) => {
                    let (cold_starts, view) = (self.cold_starts.clone(), self.view.clone());
                    tokio::spawn(async move {
                        let answer =
                            cold_start_reply(&cold_starts, &view, &model_request.model).await;
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

/// Returns the servers that hold a model, after a cold start if there is none.
async fn cold_start_reply(
    cold_starts: &ColdStarts,
    view: &watch::Receiver<Arc<RegistryView>>,
    model: &str,
) -> ModelReply {
    for _ in 0..MAX_ENDPOINT_POLLS {
        if let Err(refusal) = cold_starts.wait_ready(model, Decider::Local).await {
            return refusal_reply(&refusal);
        }
        let servers: Vec<String> = view
            .borrow()
            .ready_endpoints(model)
            .map(|e| e.listed.name.clone())
            .collect();
        if !servers.is_empty() {
            return ModelReply {
                servers,
                ..ModelReply::default()
            };
        }
        // The endpoint of the ready replica was lost in the meantime.
        sleep(ENDPOINT_POLL_INTERVAL).await;
    }
    refusal_reply(&Refusal::not_run(Cause::NoCapacity).retry_after(RETRY_AFTER))
}

fn refusal_reply(refusal: &Refusal) -> ModelReply {
    let cause: &str = refusal.cause.into();
    let retry = refusal
        .retry_after
        .map_or(0, |r| r.as_millis().try_into().unwrap_or(u64::MAX));
    ModelReply {
        servers: Vec::new(),
        cause: cause.to_owned(),
        retry_ms: retry,
    }
}
