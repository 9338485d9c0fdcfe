//! Requests that are queued while the endpoints of a model are at capacity.
//!
//! Work beyond a short queue at the endpoints is queued here, fairly over tenants, so that one
//! tenant's burst does not delay the requests of all others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::clock::Clock;
use crate::limits::{QueueSettings, QueuedRequest, WaitQueue};
use crate::verdict::{Cause, Refusal};

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;
/// Time between two checks of the queues.
const RECHECK: Duration = Duration::from_millis(5);
/// Time after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a queued request hears that it may be sent, or is refused.
type Waiter = oneshot::Sender<Result<(), Refusal>>;

/// Says whether the endpoints of a model can take one more request now.
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
    next: u64,
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
    /// Model or adapter.
    pub model: String,
    /// The request; its id is replaced.
    pub waiting: QueuedRequest,
}

/// Time to check the queues again.
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
            next: 0,
        };
        xtra::spawn_tokio(queue_actor, Mailbox::bounded(MAILBOX))
    }
}

/// Checks the queues until none is left.
async fn recheck(address: WeakAddress<DispatchQueue>) {
    let mut ticks = interval(RECHECK);
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
            tokio::spawn(recheck(ctx.mailbox().address()));
        }
        let (waiter, turn) = oneshot::channel();
        let now = self.clock.now();
        self.next += 1;
        let id = self.next;
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
                ..message.waiting
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
        turn
    }
}

impl Handler<Recheck> for DispatchQueue {
    /// Whether requests still wait.
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
    /// Refuses what is late and releases one request while there is capacity.
    fn recheck(&mut self, now: Duration, has_capacity: impl Fn() -> bool) {
        for late in self.queue.take_expired(now) {
            self.refuse(late.id, Cause::DeadlinePassed);
        }
        self.forget_gone();
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

    /// Drops requests whose callers have gone.
    fn forget_gone(&mut self) {
        let gone: Vec<u64> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.waiters.remove(&id);
            self.queue.remove(id);
        }
    }

    fn refuse(&mut self, id: u64, cause: Cause) {
        if let Some(waiter) = self.waiters.remove(&id) {
            let refusal = Refusal::not_run(cause)
                .detail("the endpoints of the model have too much work")
                .retry_after(RETRY_AFTER);
            drop(waiter.send(Err(refusal)));
        }
    }
}
