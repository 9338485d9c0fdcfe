//! Queues requests while the endpoints of a model are at capacity.
//!
//! Endpoints get only a short queue; further requests wait here, with fair queueing across tenants,
//! so that a burst of one tenant does not delay the requests of all others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::clock::Clock;
use crate::limits::{QueueSettings, QueuedRequest, WaitQueue};
use crate::verdict::{Cause, Refusal};

/// Largest number of messages that wait for the actor.
const MAILBOX_CAPACITY: usize = 1024;
/// Time between two checks of the queues.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tells a queued request that it may be sent, or that it is refused.
type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// Reports whether the endpoints of a model can take one more request now.
pub type HasCapacity = std::sync::Arc<dyn Fn(&str) -> bool + Send + Sync>;

#[derive(Debug)]
struct ModelQueue {
    queue: WaitQueue,
    waiters: BTreeMap<u64, Waiter>,
}

/// Actor that owns the queues, one for each model.
#[derive(Actor)]
pub struct DispatchQueue {
    queues: BTreeMap<String, ModelQueue>,
    settings: QueueSettings,
    clock: Clock,
    has_capacity: HasCapacity,
    next_id: u64,
}

impl std::fmt::Debug for DispatchQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DispatchQueue")
            .field("queues", &self.queues)
            .finish_non_exhaustive()
    }
}

/// Queues a request for a model.
#[derive(Debug)]
pub struct Enqueue {
    /// Model or adapter that the request is for.
    pub model: String,
    /// The request; the queue assigns its id.
    pub request: QueuedRequest,
}

/// Triggers a check of the queues.
#[derive(Debug)]
struct Recheck;

impl DispatchQueue {
    /// Starts the actor.
    #[must_use]
    pub fn start(
        settings: QueueSettings,
        clock: Clock,
        has_capacity: HasCapacity,
    ) -> Address<Self> {
        let queue_actor = Self {
            queues: BTreeMap::new(),
            settings,
            clock,
            has_capacity,
            next_id: 0,
        };
        xtra::spawn_tokio(queue_actor, Mailbox::bounded(MAILBOX_CAPACITY))
    }
}

/// Triggers checks of the queues until all of them are empty.
async fn recheck_periodically(address: WeakAddress<DispatchQueue>) {
    let mut ticks = interval(RECHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !address.send(Recheck).await.unwrap_or(false) {
            return;
        }
    }
}

impl Handler<Enqueue> for DispatchQueue {
    type Return = oneshot::Receiver<Result<(), Refusal>>;

    async fn handle(&mut self, message: Enqueue, ctx: &mut Context<Self>) -> Self::Return {
        if self.queues.is_empty() {
            tokio::spawn(recheck_periodically(ctx.mailbox().address()));
        }
        let (waiter, outcome) = oneshot::channel();
        let now = self.clock.now();
        self.next_id += 1;
        let id = self.next_id;
        let settings = self.settings;
        let entry = self
            .queues
            .entry(message.model)
            .or_insert_with(|| ModelQueue {
                queue: WaitQueue::new(settings),
                waiters: BTreeMap::new(),
            });
        match entry.queue.enqueue(
            QueuedRequest {
                id,
                ..message.request
            },
            now,
        ) {
            Ok(displaced) => {
                entry.waiters.insert(id, waiter);
                if let Some(displaced) = displaced {
                    entry.refuse(displaced.id, Cause::Overload);
                }
            }
            Err(refusal) => drop(waiter.send(Err(refusal))),
        }
        outcome
    }
}

impl Handler<Recheck> for DispatchQueue {
    /// Whether any request is still queued.
    type Return = bool;

    async fn handle(&mut self, _message: Recheck, _ctx: &mut Context<Self>) -> bool {
        let now = self.clock.now();
        let has_capacity = std::sync::Arc::clone(&self.has_capacity);
        for (model, entry) in &mut self.queues {
            entry.recheck(now, || has_capacity(model));
        }
        self.queues.retain(|_, entry| !entry.queue.is_empty());
        !self.queues.is_empty()
    }
}

impl ModelQueue {
    /// Refuses requests that are too late, then releases one request if there is capacity.
    fn recheck(&mut self, now: Duration, has_capacity: impl Fn() -> bool) {
        for late in self.queue.take_expired(now) {
            self.refuse(late.id, Cause::DeadlinePassed);
        }
        self.remove_disconnected();
        if !has_capacity() {
            return;
        }
        let turn = self.queue.take_next(now);
        for late in turn.expired {
            self.refuse(late.id, Cause::DeadlinePassed);
        }
        if let Some(next) = turn.next
            && let Some(waiter) = self.waiters.remove(&next.id)
        {
            drop(waiter.send(Ok(())));
        }
    }

    /// Removes requests whose callers have disconnected.
    fn remove_disconnected(&mut self) {
        let disconnected: Vec<u64> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in disconnected {
            self.waiters.remove(&id);
            self.queue.remove(id);
        }
    }

    fn refuse(&mut self, id: u64, cause: Cause) {
        if let Some(waiter) = self.waiters.remove(&id) {
            let refusal = Refusal::not_run(cause)
                .detail("the model's endpoints are at capacity")
                .retry_after(RETRY_AFTER);
            drop(waiter.send(Err(refusal)));
        }
    }
}
