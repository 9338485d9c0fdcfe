//! State of the engine stand-in: replicas, memory, fencing and the ledger.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use brassrack::engine::{Action, Order, Report, Residency, Resident};
use tokio::time::Instant;

use super::ledger::{Change, End, Ledger, Ordered, Outcome, Run, Step};
use crate::now_ms;

/// Failed loads that a report still names.
const FAILED_KEPT: usize = 64;

#[derive(Debug)]
struct Replica {
    order: Order,
    state: Residency,
    moving: bool,
    running: u32,
    queued: u32,
    served: u64,
}

/// A run's place in the ledger and the replica that carries it.
#[derive(Debug)]
pub(super) struct Ticket {
    op: String,
    run: usize,
    queued: bool,
}

/// State behind the engine's interface.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) ledger: Ledger,
    checked: bool,
    lag: Duration,
    fence: u64,
    known: BTreeSet<String>,
    replicas: BTreeMap<String, Replica>,
    failed: VecDeque<String>,
    cached: BTreeSet<String>,
    history: VecDeque<(Instant, Report)>,
}

impl State {
    pub(super) fn new(boot: String, memory: u64, checked: bool, lag: Duration) -> Self {
        let ledger = Ledger {
            boot,
            memory,
            ..Ledger::default()
        };
        Self {
            ledger,
            checked,
            lag,
            ..Self::default()
        }
    }

    /// Takes an order; an accepted load has its memory from now on.
    pub(super) fn order(&mut self, order: &Order) -> Outcome {
        let outcome = self.judge(order);
        self.ledger.orders.push(Ordered {
            at: now_ms(),
            order: order.clone(),
            outcome,
        });
        if outcome == Outcome::Accepted {
            self.known.insert(order.op.clone());
            self.carry_out(order);
        }
        self.changed();
        outcome
    }

    fn judge(&mut self, order: &Order) -> Outcome {
        if self.checked && order.fence < self.fence {
            return Outcome::Stale;
        }
        self.fence = self.fence.max(order.fence);
        if self.known.contains(&order.op) {
            return Outcome::Known;
        }
        if order.action == Action::Load && self.used() + order.bytes > self.ledger.memory {
            return Outcome::Full;
        }
        Outcome::Accepted
    }

    fn carry_out(&mut self, order: &Order) {
        match order.action {
            Action::Unload => self.unload(&order.model),
            Action::Load if self.lacks_base(order) => self.fail(&order.op),
            Action::Load => self.take(order),
        }
    }

    fn lacks_base(&self, order: &Order) -> bool {
        let Some(base) = &order.base else {
            return false;
        };
        !self
            .replicas
            .values()
            .any(|r| r.order.model == *base && r.state != Residency::Unloading)
    }

    fn take(&mut self, order: &Order) {
        let replica = Replica {
            order: order.clone(),
            state: Residency::Loading,
            moving: true,
            running: 0,
            queued: 0,
            served: 0,
        };
        self.replicas.insert(order.op.clone(), replica);
        self.step(order, Step::Taken);
        self.ledger.peak = self.ledger.peak.max(self.used());
        let count = self.count(&order.model);
        let most = self.ledger.replicas.entry(order.model.clone()).or_default();
        *most = count.max(*most);
    }

    fn count(&self, model: &str) -> usize {
        self.replicas
            .values()
            .filter(|r| r.order.model == model)
            .count()
    }

    /// Stops new requests to a model and its adapters; memory is freed as they end.
    fn unload(&mut self, model: &str) {
        for replica in self.replicas.values_mut() {
            if replica.order.model == model || replica.order.base.as_deref() == Some(model) {
                replica.state = Residency::Unloading;
            }
        }
        self.free();
    }

    /// Frees unloading replicas that carry nothing.
    fn free(&mut self) {
        let done: Vec<Order> = self
            .replicas
            .values()
            .filter(|r| r.state == Residency::Unloading)
            .filter(|r| !r.moving && r.running + r.queued == 0)
            .map(|r| r.order.clone())
            .collect();
        for order in done {
            self.replicas.remove(&order.op);
            self.step(&order, Step::Freed);
        }
    }

    /// Whether the transfer for a load is still wanted.
    pub(super) fn wanted(&self, op: &str) -> bool {
        self.replicas
            .get(op)
            .is_some_and(|r| r.state == Residency::Loading)
    }

    /// Whether the base of a loading adapter is ready; true for a model.
    pub(super) fn base_ready(&self, order: &Order) -> bool {
        match &order.base {
            Some(base) => self.ready(base).is_some(),
            None => true,
        }
    }

    /// Ends the transfer of a load.
    pub(super) fn loaded(&mut self, order: &Order, whole: bool) {
        let Some(replica) = self.replicas.get_mut(&order.op) else {
            return;
        };
        replica.moving = false;
        let wanted = replica.state == Residency::Loading;
        if wanted && whole {
            replica.state = Residency::Ready;
            self.cached.insert(order.model.clone());
            self.step(order, Step::Ready);
        } else if wanted {
            replica.state = Residency::Unloading;
            self.fail(&order.op);
            self.step(order, Step::Failed);
        }
        self.free();
        self.changed();
    }

    fn fail(&mut self, op: &str) {
        self.failed.push_back(op.to_owned());
        if self.failed.len() > FAILED_KEPT {
            self.failed.pop_front();
        }
    }

    pub(super) fn is_cached(&self, model: &str) -> bool {
        self.cached.contains(model)
    }

    /// The ready replica of a model with the fewest requests.
    fn ready(&self, model: &str) -> Option<&str> {
        self.replicas
            .iter()
            .filter(|(_, r)| r.order.model == model && r.state == Residency::Ready)
            .filter(|(_, r)| self.base_ready(&r.order))
            .min_by_key(|(_, r)| r.running + r.queued)
            .map(|(op, _)| op.as_str())
    }

    /// Queues a request at a ready replica.
    pub(super) fn enter(&mut self, model: &str, id: String, digest: String) -> Option<Ticket> {
        let op = self.ready(model)?.to_owned();
        let replica = self.replicas.get_mut(&op)?;
        replica.queued += 1;
        replica.served += 1;
        self.ledger.runs.push(Run {
            at: now_ms(),
            id,
            model: model.to_owned(),
            digest,
            end: End::Running,
        });
        self.changed();
        Some(Ticket {
            op,
            run: self.ledger.runs.len() - 1,
            queued: true,
        })
    }

    /// Moves a queued request into the batch.
    pub(super) fn begin(&mut self, ticket: &mut Ticket) {
        ticket.queued = false;
        if let Some(replica) = self.replicas.get_mut(&ticket.op) {
            replica.queued -= 1;
            replica.running += 1;
        }
        let running = self.replicas.values().map(|r| r.running).sum();
        self.ledger.running = self.ledger.running.max(running);
        self.changed();
    }

    /// Ends a request.
    pub(super) fn leave(&mut self, ticket: &Ticket, end: End) {
        if let Some(replica) = self.replicas.get_mut(&ticket.op) {
            if ticket.queued {
                replica.queued -= 1;
            } else {
                replica.running -= 1;
            }
        }
        if let Some(run) = self.ledger.runs.get_mut(ticket.run) {
            run.end = end;
        }
        self.free();
        self.changed();
    }

    fn used(&self) -> u64 {
        self.replicas.values().map(|r| r.order.bytes).sum()
    }

    fn step(&mut self, order: &Order, step: Step) {
        self.ledger.changes.push(Change {
            at: now_ms(),
            model: order.model.clone(),
            op: order.op.clone(),
            step,
            bytes: order.bytes,
        });
    }

    /// The report as it is now.
    fn fresh(&self) -> Report {
        Report {
            boot: self.ledger.boot.clone(),
            fence: self.fence,
            residents: self.replicas.values().map(resident).collect(),
            failed: self.failed.iter().cloned().collect(),
            cached: self.cached.iter().cloned().collect(),
        }
    }

    /// Keeps the report for as long as the lag asks.
    fn changed(&mut self) {
        if self.lag.is_zero() {
            return;
        }
        let now = Instant::now();
        let report = self.fresh();
        self.history.push_back((now, report));
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now - *at >= self.lag)
        {
            self.history.pop_front();
        }
    }

    /// The report as it was before the lag.
    pub(super) fn report(&self) -> Report {
        if self.lag.is_zero() {
            return self.fresh();
        }
        let now = Instant::now();
        let old = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= self.lag);
        match old {
            Some((_, report)) => report.clone(),
            None => Report {
                boot: self.ledger.boot.clone(),
                ..Report::default()
            },
        }
    }
}

fn resident(replica: &Replica) -> Resident {
    Resident {
        model: replica.order.model.clone(),
        op: replica.order.op.clone(),
        state: replica.state,
        bytes: replica.order.bytes,
        running: replica.running,
        queued: replica.queued,
        served: replica.served,
    }
}
