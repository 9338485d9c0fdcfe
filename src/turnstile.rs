//! Requests that wait their turn where the endpoints of a model have all the work they can do.
//!
//! Work beyond a short queue at the endpoints waits here, where tenants take turns, so that one
//! tenant's burst does not stand before the requests of all others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::clock::Clock;
use crate::limits::{QueueSettings, WaitQueue, Waiting};
use crate::verdict::{Cause, Refusal};

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;
/// Time between two looks at the queues.
const LOOK: Duration = Duration::from_millis(5);
/// Time to come back for a request that waited in vain.
const COME_BACK: Duration = Duration::from_secs(1);

/// What a request waits for: its turn, or the refusal.
type Tell = oneshot::Sender<Result<(), Refusal>>;

/// Says whether the endpoints of a model can take one more request now.
pub type Room = std::sync::Arc<dyn Fn(&str) -> bool + Send + Sync>;

#[derive(Debug)]
struct Line {
    queue: WaitQueue,
    tells: BTreeMap<u64, Tell>,
}

/// Actor that owns the queues, one for each model.
#[derive(Actor)]
pub struct Turnstile {
    lines: BTreeMap<String, Line>,
    settings: QueueSettings,
    clock: Clock,
    room: Room,
    next: u64,
}

impl std::fmt::Debug for Turnstile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Turnstile")
            .field("lines", &self.lines)
            .finish_non_exhaustive()
    }
}

/// A request that waits its turn at a model.
#[derive(Debug)]
pub struct Enter {
    /// Model or adapter.
    pub model: String,
    /// The request; its id is replaced.
    pub waiting: Waiting,
}

/// Time to look at the queues.
#[derive(Debug)]
struct Look;

impl Turnstile {
    /// Starts the actor.
    #[must_use]
    pub fn start(settings: QueueSettings, clock: Clock, room: Room) -> Address<Self> {
        let turnstile = Self {
            lines: BTreeMap::new(),
            settings,
            clock,
            room,
            next: 0,
        };
        xtra::spawn_tokio(turnstile, Mailbox::bounded(MAILBOX))
    }
}

/// Looks at the queues until none is left.
async fn look(address: WeakAddress<Turnstile>) {
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !address.send(Look).await.unwrap_or(false) {
            return;
        }
    }
}

impl Handler<Enter> for Turnstile {
    type Return = oneshot::Receiver<Result<(), Refusal>>;

    async fn handle(&mut self, message: Enter, ctx: &mut Context<Self>) -> Self::Return {
        if self.lines.is_empty() {
            tokio::spawn(look(ctx.mailbox().address()));
        }
        let (tell, turn) = oneshot::channel();
        let now = self.clock.now();
        self.next += 1;
        let id = self.next;
        let settings = self.settings;
        let line = self.lines.entry(message.model).or_insert_with(|| Line {
            queue: WaitQueue::new(settings),
            tells: BTreeMap::new(),
        });
        match line.queue.push(
            Waiting {
                id,
                ..message.waiting
            },
            now,
        ) {
            Ok(displaced) => {
                line.tells.insert(id, tell);
                if let Some(displaced) = displaced {
                    line.refuse(displaced.id, Cause::Overload);
                }
            }
            Err(refusal) => drop(tell.send(Err(refusal))),
        }
        turn
    }
}

impl Handler<Look> for Turnstile {
    /// Whether requests still wait.
    type Return = bool;

    async fn handle(&mut self, _message: Look, _ctx: &mut Context<Self>) -> bool {
        let now = self.clock.now();
        let room = std::sync::Arc::clone(&self.room);
        for (model, line) in &mut self.lines {
            line.look(now, || room(model));
        }
        self.lines.retain(|_, line| !line.queue.is_empty());
        !self.lines.is_empty()
    }
}

impl Line {
    /// Refuses what is late and lets one request through while there is room.
    fn look(&mut self, now: Duration, room: impl Fn() -> bool) {
        for late in self.queue.late(now) {
            self.refuse(late.id, Cause::DeadlinePassed);
        }
        self.forget_gone();
        if !room() {
            return;
        }
        let turn = self.queue.turn(now);
        for late in turn.late {
            self.refuse(late.id, Cause::DeadlinePassed);
        }
        if let Some(next) = turn.next
            && let Some(tell) = self.tells.remove(&next.id)
        {
            drop(tell.send(Ok(())));
        }
    }

    /// Drops requests whose callers have gone.
    fn forget_gone(&mut self) {
        let gone: Vec<u64> = self
            .tells
            .iter()
            .filter(|(_, tell)| tell.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.tells.remove(&id);
            self.queue.remove(id);
        }
    }

    fn refuse(&mut self, id: u64, cause: Cause) {
        if let Some(tell) = self.tells.remove(&id) {
            let refusal = Refusal::not_run(cause)
                .detail("the endpoints of the model have too much work")
                .retry_after(COME_BACK);
            drop(tell.send(Err(refusal)));
        }
    }
}
