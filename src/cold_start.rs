//! Cold starts of models: at most one at a time for each model, coordinated by the model's owner.

mod load;
mod peer_requests;
mod ranking;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

pub use load::{ColdStartContext, ColdStartSettings};
pub use peer_requests::PeerResponder;

use crate::inflight::Inflight;
use crate::verdict::{Cause, Refusal};

const MAX_MAILBOX_MESSAGES: usize = 1024;

/// Progress of a cold start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// A replica is being loaded.
    Loading {
        /// Estimated remaining time.
        left: Duration,
    },
    /// A replica is ready.
    Ready,
    /// The cold start failed.
    Failed(Refusal),
}

/// Which instance carries out a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decider {
    /// The owner of the model, or this instance if the owner does not answer.
    Owner,
    /// This instance, regardless of the owner.
    Local,
    /// This instance, ahead of demand; nothing is evicted for it.
    Preload,
}

/// Handle of the actor that runs the cold starts of this instance.
#[derive(Debug, Clone)]
pub struct ColdStarts {
    actor: Address<ColdStartActor>,
    waiters: Inflight,
}

/// Actor that runs the cold starts of this instance.
#[derive(Debug, Actor)]
pub struct ColdStartActor {
    context: Arc<ColdStartContext>,
    waiters: Inflight,
    running: BTreeMap<ColdStartRequest, watch::Receiver<Phase>>,
}

/// Message that requests a replica of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ColdStartRequest {
    model: String,
    decider: Decider,
}

/// Message that a cold start has ended.
#[derive(Debug)]
struct Finished(ColdStartRequest);

impl ColdStarts {
    /// Spawns the actor.
    #[must_use]
    pub fn start(context: ColdStartContext) -> Self {
        let waiters = Inflight::default();
        let actor = ColdStartActor {
            context: Arc::new(context),
            waiters: waiters.clone(),
            running: BTreeMap::new(),
        };
        Self {
            actor: xtra::spawn_tokio(actor, Mailbox::bounded(MAX_MAILBOX_MESSAGES)),
            waiters,
        }
    }

    /// Requests that are waiting for a replica, by model.
    #[must_use]
    pub const fn waiters(&self) -> &Inflight {
        &self.waiters
    }

    /// Requests a replica of a model; joins a cold start that is already running.
    ///
    /// # Errors
    ///
    /// [`Cause::Stopping`] where the actor has stopped.
    pub async fn request(
        &self,
        model: &str,
        decider: Decider,
    ) -> Result<watch::Receiver<Phase>, Refusal> {
        let request = ColdStartRequest {
            model: model.to_owned(),
            decider,
        };
        self.actor
            .send(request)
            .await
            .map_err(|_stopped| stopping())
    }

    /// Waits until a replica of a model is ready.
    ///
    /// # Errors
    ///
    /// The refusal that the cold start failed with.
    pub async fn wait_ready(&self, model: &str, decider: Decider) -> Result<(), Refusal> {
        let mut phase = self.request(model, decider).await?;
        loop {
            match phase.borrow_and_update().clone() {
                Phase::Ready => return Ok(()),
                Phase::Failed(refusal) => return Err(refusal),
                Phase::Loading { .. } => {}
            }
            phase.changed().await.map_err(|_closed| stopping())?;
        }
    }
}

impl Handler<ColdStartRequest> for ColdStartActor {
    type Return = watch::Receiver<Phase>;

    async fn handle(&mut self, message: ColdStartRequest, ctx: &mut Context<Self>) -> Self::Return {
        if let Some(phase) = self.running.get(&message) {
            return phase.clone();
        }
        let left = self.context.estimate(&message.model);
        let (progress, phase) = watch::channel(Phase::Loading { left });
        let Some(actor) = ctx.mailbox().address().try_upgrade() else {
            return phase;
        };
        self.running.insert(message.clone(), phase.clone());
        let cold_starts = ColdStarts {
            actor,
            waiters: self.waiters.clone(),
        };
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let end = match context.run(&message, &cold_starts, &progress).await {
                Ok(()) => Phase::Ready,
                Err(refusal) => {
                    log::warn!(model = message.model, refusal:% = refusal; "cold start failed");
                    Phase::Failed(refusal)
                }
            };
            if cold_starts.actor.send(Finished(message)).await.is_err() {
                log::debug!("cold start actor has stopped");
            }
            progress.send_replace(end);
        });
        phase
    }
}

impl Handler<Finished> for ColdStartActor {
    type Return = ();

    async fn handle(&mut self, message: Finished, _ctx: &mut Context<Self>) {
        self.running.remove(&message.0);
    }
}

fn stopping() -> Refusal {
    Refusal::not_run(Cause::Stopping)
        .detail("the instance is stopping")
        .retry_after(Duration::from_secs(1))
}
