//! Cold starts: one at a time for each model, decided at the model's owner.

mod ask;
mod job;
mod places;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

pub use ask::Answering;
pub use job::{LoadContext, LoadSettings};

use crate::inflight::Inflight;
use crate::verdict::{Cause, Refusal};

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;

/// How far a cold start has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// A replica is being loaded.
    Loading {
        /// Time that is probably left.
        left: Duration,
    },
    /// A replica is ready.
    Ready,
    /// No replica can be loaded now.
    Failed(Refusal),
}

/// Who decides a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decider {
    /// The owner of the model, or this instance where the owner does not answer.
    Owner,
    /// This instance, whoever is owner.
    Here,
    /// This instance, ahead of need: nothing is evicted for it.
    Ahead,
}

/// Handle of the actor that owns the cold starts.
#[derive(Debug, Clone)]
pub struct Loads {
    loader: Address<Loader>,
    waiters: Inflight,
}

/// Actor that owns the cold starts of this instance.
#[derive(Debug, Actor)]
pub struct Loader {
    context: Arc<LoadContext>,
    waiters: Inflight,
    running: BTreeMap<Wake, watch::Receiver<Phase>>,
}

/// Asks for a replica of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Wake {
    model: String,
    decider: Decider,
}

/// A cold start has ended.
#[derive(Debug)]
struct Finished(Wake);

impl Loads {
    /// Starts the actor.
    #[must_use]
    pub fn start(context: LoadContext) -> Self {
        let waiters = Inflight::default();
        let loader = Loader {
            context: Arc::new(context),
            waiters: waiters.clone(),
            running: BTreeMap::new(),
        };
        Self {
            loader: xtra::spawn_tokio(loader, Mailbox::bounded(MAILBOX)),
            waiters,
        }
    }

    /// Requests that wait for a replica, by model.
    #[must_use]
    pub const fn waiters(&self) -> &Inflight {
        &self.waiters
    }

    /// Asks for a replica of a model; a cold start that is under way is joined.
    ///
    /// # Errors
    ///
    /// [`Cause::Stopping`] where the actor has stopped.
    pub async fn wake(
        &self,
        model: &str,
        decider: Decider,
    ) -> Result<watch::Receiver<Phase>, Refusal> {
        let wake = Wake {
            model: model.to_owned(),
            decider,
        };
        self.loader.send(wake).await.map_err(|_stopped| stopping())
    }

    /// Waits until a replica of a model is ready.
    ///
    /// # Errors
    ///
    /// The refusal that the cold start ended with.
    pub async fn ready(&self, model: &str, decider: Decider) -> Result<(), Refusal> {
        let mut phase = self.wake(model, decider).await?;
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

impl Handler<Wake> for Loader {
    type Return = watch::Receiver<Phase>;

    async fn handle(&mut self, message: Wake, ctx: &mut Context<Self>) -> Self::Return {
        if let Some(phase) = self.running.get(&message) {
            return phase.clone();
        }
        let left = self.context.estimate(&message.model);
        let (tell, phase) = watch::channel(Phase::Loading { left });
        let Some(loader) = ctx.mailbox().address().try_upgrade() else {
            return phase;
        };
        self.running.insert(message.clone(), phase.clone());
        let loads = Loads {
            loader,
            waiters: self.waiters.clone(),
        };
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let end = match context.run(&message, &loads, &tell).await {
                Ok(()) => Phase::Ready,
                Err(refusal) => {
                    log::warn!(model = message.model, refusal:% = refusal; "cold start failed");
                    Phase::Failed(refusal)
                }
            };
            if loads.loader.send(Finished(message)).await.is_err() {
                log::debug!("the loader has stopped");
            }
            tell.send_replace(end);
        });
        phase
    }
}

impl Handler<Finished> for Loader {
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
