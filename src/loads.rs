//! Cold starts of this instance: one at a time for each model.

mod job;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

pub use job::{LoadContext, LoadSettings};

use crate::verdict::{Cause, Refusal};

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

/// Handle of the actor that owns the cold starts.
#[derive(Debug, Clone)]
pub struct Loads(Address<Loader>);

/// Actor that owns the cold starts of this instance.
#[derive(Debug, Actor)]
pub struct Loader {
    context: Arc<LoadContext>,
    running: BTreeMap<String, watch::Receiver<Phase>>,
}

/// Asks for a replica of a model.
#[derive(Debug)]
struct Wake {
    model: String,
}

/// A cold start has ended.
#[derive(Debug)]
struct Finished {
    model: String,
}

impl Loads {
    /// Starts the actor.
    #[must_use]
    pub fn start(context: LoadContext) -> Self {
        let loader = Loader {
            context: Arc::new(context),
            running: BTreeMap::new(),
        };
        Self(xtra::spawn_tokio(loader, Mailbox::unbounded()))
    }

    /// Asks for a replica of a model; a cold start that is under way is joined.
    ///
    /// # Errors
    ///
    /// [`Cause::Stopping`] where the actor has stopped.
    pub async fn wake(&self, model: &str) -> Result<watch::Receiver<Phase>, Refusal> {
        let wake = Wake {
            model: model.to_owned(),
        };
        self.0.send(wake).await.map_err(|_stopped| {
            Refusal::not_run(Cause::Stopping)
                .detail("the instance is stopping")
                .retry_after(Duration::from_secs(1))
        })
    }

    /// Waits until a replica of a model is ready.
    ///
    /// # Errors
    ///
    /// The refusal that the cold start ended with.
    pub async fn ready(&self, model: &str) -> Result<(), Refusal> {
        let mut phase = self.wake(model).await?;
        loop {
            match phase.borrow_and_update().clone() {
                Phase::Ready => return Ok(()),
                Phase::Failed(refusal) => return Err(refusal),
                Phase::Loading { .. } => {}
            }
            if phase.changed().await.is_err() {
                return Err(Refusal::not_run(Cause::Stopping));
            }
        }
    }
}

impl Handler<Wake> for Loader {
    type Return = watch::Receiver<Phase>;

    async fn handle(&mut self, message: Wake, ctx: &mut Context<Self>) -> Self::Return {
        if let Some(phase) = self.running.get(&message.model) {
            return phase.clone();
        }
        let left = self.context.estimate(&message.model);
        let (tell, phase) = watch::channel(Phase::Loading { left });
        self.running.insert(message.model.clone(), phase.clone());
        let Some(address) = ctx.mailbox().address().try_upgrade() else {
            return phase;
        };
        let loads = Loads(address);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let end = match context.load(&message.model, &loads, &tell).await {
                Ok(()) => Phase::Ready,
                Err(refusal) => Phase::Failed(refusal),
            };
            let finished = Finished {
                model: message.model,
            };
            if loads.0.send(finished).await.is_err() {
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
        self.running.remove(&message.model);
    }
}
