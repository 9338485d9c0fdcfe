//! The replay: events, requests and idle times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use brassrack::policy::Policy;
use brassrack::policy::key::ModelKey;
use brassrack::policy::load_queue::PendingLoad;
use brassrack::rules::{PriorityClass, Weights};

use super::arrivals::{Outage, Request, Workload};
use super::bound::Future;
use super::cluster::{Server, servers};
use super::outcome::Outcome;
use super::scheme::{Keep, Scheme};
use super::site::Site;
use super::store::Store;
use super::unit::{State, Unit, units};

/// Time between two looks for models to load ahead.
const TICK: Duration = Duration::from_mins(1);

/// Time by which the clairvoyant scheme loads earlier than a load takes.
const LEAD: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Return(usize),
    Leave(usize),
    Loaded { model: usize, life: u32 },
    Finish { model: usize, life: u32 },
    Expire { model: usize, turn: u32 },
    Ahead(usize),
    Dispatch,
    Tick,
}

/// One replay in progress.
#[derive(Debug)]
pub struct Replay<'a> {
    pub(super) site: &'a Site,
    pub(super) work: &'a Workload,
    pub(super) scheme: Scheme,
    pub(super) weights: Weights,
    pub(super) policy: Policy,
    pub(super) future: Future,
    pub(super) units: Vec<Unit>,
    pub(super) index: BTreeMap<ModelKey, usize>,
    pub(super) servers: Vec<Server>,
    pub(super) store: Store,
    pub(super) queue: Vec<PendingLoad>,
    /// Loads from the weight store: model and end.
    pub(super) slots: Vec<(usize, Duration)>,
    /// Adapters on their way, and those that wait for it.
    pub(super) flying: u32,
    pub(super) grounded: VecDeque<usize>,
    /// Models with batch requests that found no memory.
    pub(super) starved: Vec<usize>,
    pub(super) outcome: Outcome,
    pub(super) now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    serial: u64,
}

impl<'a> Replay<'a> {
    /// A replay of a workload under a scheme.
    #[must_use]
    pub fn new(site: &'a Site, work: &'a Workload, scheme: Scheme) -> Self {
        let idle = match scheme.keep {
            Keep::Policy { idle, .. } => idle,
            _ => Weights::default().idle,
        };
        let weights = Weights {
            idle,
            ..Weights::default()
        };
        let mut policy = Policy::new(weights.clone());
        let units = units(&mut policy, &work.models);
        Self {
            site,
            work,
            scheme,
            weights,
            policy,
            future: Future::new(work),
            index: units.iter().map(|u| u.key).zip(0..).collect(),
            units,
            servers: servers(site),
            store: Store::new(site.rate, site.starts, work.slow.clone()),
            queue: Vec::new(),
            slots: Vec::new(),
            flying: 0,
            grounded: VecDeque::new(),
            starved: Vec::new(),
            outcome: Outcome::default(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            serial: 0,
        }
    }

    /// Runs to the end and gives what was measured after the warm-up.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        for (i, outage) in self.work.outages.iter().enumerate() {
            self.at(outage.at, Event::Leave(i));
            self.at(outage.back, Event::Return(outage.server));
        }
        self.at(Duration::ZERO, Event::Tick);
        for i in 0..self.work.requests.len() {
            let at = self.work.requests[i].at;
            self.events_until(at);
            self.now = at;
            self.arrive(i);
        }
        self.events_until(self.site.span);
        self.now = self.site.span;
        for model in 0..self.units.len() {
            self.close_idle(model);
        }
        self.outcome.days =
            (self.site.span.saturating_sub(self.site.warmup)).as_secs_f64() / 86_400.0;
        self.outcome
    }

    fn events_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > end {
                return;
            }
            self.events.pop();
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Return(server) => {
                if !self.servers[server].live {
                    self.servers[server].enter();
                }
            }
            Event::Leave(outage) => self.leave(self.work.outages[outage]),
            Event::Loaded { model, life } => self.loaded(model, life),
            Event::Finish { model, life } => self.finish(model, life),
            Event::Expire { model, turn } => self.expire(model, turn),
            Event::Ahead(model) => self.ahead(model),
            Event::Dispatch => self.dispatch(),
            Event::Tick => self.tick(),
        }
    }

    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    /// The model whose replica a request needs first: the base of an adapter.
    pub(super) fn base(&self, model: usize) -> usize {
        self.units[model].spec.base.unwrap_or(model)
    }

    fn arrive(&mut self, i: usize) {
        let Request { model, class, .. } = self.work.requests[i];
        self.policy
            .record_arrival(self.units[model].key, class, self.now);
        self.serve(i);
    }

    /// Starts a request, or has it wait for what it needs, or refuses it.
    pub(super) fn serve(&mut self, i: usize) {
        let request = self.work.requests[i];
        let base = self.base(request.model);
        for needed in [base, request.model] {
            if self.units[needed].state != State::Ready {
                self.wait(i, needed);
                return;
            }
        }
        self.start(i);
    }

    fn wait(&mut self, i: usize, model: usize) {
        let request = self.work.requests[i];
        let ready = self.ask(model);
        let late = ready.is_none_or(|ready| ready > request.due);
        if late && request.class != PriorityClass::Batch {
            self.refuse(i);
            return;
        }
        if ready.is_none() {
            self.starved.push(model);
        }
        self.units[model].waiting.push(i);
        self.urge(model, &request);
    }

    fn start(&mut self, i: usize) {
        let request = self.work.requests[i];
        if self.now > request.due && request.class != PriorityClass::Batch {
            self.refuse(i);
            return;
        }
        self.count(&request, self.now.saturating_sub(request.at), false);
        let base = self.base(request.model);
        self.begin(base);
        if base != request.model {
            self.begin(request.model);
        }
        let life = self.units[request.model].life;
        let model = request.model;
        self.at(self.now + request.length, Event::Finish { model, life });
    }

    fn refuse(&mut self, i: usize) {
        let request = self.work.requests[i];
        self.count(&request, request.due.saturating_sub(request.at), true);
    }

    fn count(&mut self, request: &Request, wait: Duration, refused: bool) {
        if request.at < self.site.warmup {
            return;
        }
        if request.class == PriorityClass::Batch {
            self.outcome.batch += 1;
            let late = refused || request.at + wait > request.due;
            self.outcome.late += u32::from(late);
            return;
        }
        let millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        self.outcome.waits.push(millis);
        self.outcome.cold += u32::from(millis > 0);
        self.outcome.refused += u32::from(refused);
    }

    fn begin(&mut self, model: usize) {
        self.close_idle(model);
        self.units[model].running += 1;
        self.units[model].turn += 1;
    }

    fn finish(&mut self, model: usize, life: u32) {
        if self.units[model].life != life {
            return;
        }
        let base = self.base(model);
        self.end(model);
        if base != model {
            self.end(base);
        }
    }

    fn end(&mut self, model: usize) {
        self.units[model].running -= 1;
        if self.units[model].running == 0 {
            self.policy.record_idle(self.units[model].key, self.now);
            self.open_idle(model);
        }
    }

    /// Starts an idle time and decides how long the replica stays.
    pub(super) fn open_idle(&mut self, model: usize) {
        self.units[model].since = self.now;
        let Some(keep) = self.keep(model) else {
            return;
        };
        let turn = self.units[model].turn;
        self.at(self.now + keep, Event::Expire { model, turn });
    }

    /// Adds the idle time so far of a ready replica without requests.
    pub(super) fn close_idle(&mut self, model: usize) {
        let unit = &mut self.units[model];
        if unit.state != State::Ready || unit.running > 0 {
            return;
        }
        let since = unit.since.max(self.site.warmup);
        unit.since = self.now;
        let time = self.now.saturating_sub(since).as_secs_f64();
        let share = mebibytes(unit.spec.bytes) / mebibytes(self.site.accelerator);
        self.outcome.idle += time * share;
    }

    fn keep(&mut self, model: usize) -> Option<Duration> {
        let reload = self.reload(model);
        let next = self.future.next(model, self.now).unwrap_or(Duration::MAX);
        match self.scheme.keep {
            Keep::Policy { .. } => Some(self.policy.keep_alive(
                self.units[model].key,
                self.now,
                reload,
            )),
            Keep::Fixed(time) => Some(time),
            Keep::Always => None,
            Keep::Never => Some(Duration::ZERO),
            Keep::Clairvoyant { gap, reload: least } => {
                let units = mebibytes(self.units[model].spec.bytes) / 16_384.0;
                let waiters = self.future.waiters(model, self.now, reload);
                let longest = gap * f64::from(waiters) / units;
                let near = next.saturating_sub(self.now).as_secs_f64() <= longest;
                (!near || reload <= least).then_some(Duration::ZERO)
            }
            Keep::JustInTime => {
                let at = next.saturating_sub(reload + LEAD);
                if at <= self.now {
                    return None;
                }
                self.at(at, Event::Ahead(model));
                Some(Duration::ZERO)
            }
        }
    }

    /// Loads a model so that it is ready just before its next request.
    fn ahead(&mut self, model: usize) {
        let Some(next) = self.future.next(model, self.now) else {
            return;
        };
        let start = next.saturating_sub(self.reload(model) + LEAD);
        if start > self.now {
            self.at(start, Event::Ahead(model));
        } else {
            self.ask(model);
        }
    }

    fn expire(&mut self, model: usize, turn: u32) {
        let unit = &self.units[model];
        let idle = unit.state == State::Ready && unit.running == 0 && unit.turn == turn;
        if idle
            && unit
                .adapters
                .iter()
                .all(|a| self.units[*a].waiting.is_empty())
        {
            self.unload(model);
            self.feed();
        }
    }

    fn leave(&mut self, outage: Outage) {
        if !self.servers[outage.server].live {
            return;
        }
        let models = self.servers[outage.server].models.clone();
        let mut orphans = Vec::new();
        for model in models {
            if self.units[model].spec.base.is_none() {
                orphans.extend(self.unload(model));
            }
        }
        self.servers[outage.server].leave(outage.reclaimed);
        for request in orphans {
            self.serve(request);
        }
        self.dispatch();
    }

    fn tick(&mut self) {
        self.feed();
        self.load_ahead();
        self.at(self.now + TICK, Event::Tick);
    }
}

pub(super) fn mebibytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes >> 20).unwrap_or(u32::MAX))
}
