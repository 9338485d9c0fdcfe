//! The holder of the lease: gathers demand, plans, and gives orders to engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use xtra::prelude::*;

use super::catalog::{Catalog, Engine};
use super::edge::{Report, Target};
use super::lease::Lease;
use super::link::{self, Count, Demand, EngineView, Heard, Outlook};
use super::planner::{self, Change, EngineState, Fleet, Holding, Source, Step, StoreRoom, Want};
use super::servers::{Server, View};
use super::shared::{BoardKey, Gateway};

pub mod give;
mod store_room;

use give::{Engineer, Outcome};
use store_room::StoreLoads;

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;
/// Time between two plans where nothing changes.
const TICK: Duration = Duration::from_millis(50);
/// Least time between two tellings of what did not change by an order.
const TELL_EVERY: Duration = Duration::from_millis(45);
/// Least time between two plans that demand asks for; the time of one order's answer.
const RUN_EVERY: Duration = Duration::from_millis(10);
/// Time between two reports that are asked of an engine without a running order.
const REPORT_EVERY: Duration = Duration::from_millis(900);
/// The same for an engine that is loaded, whose queue decides who is refused.
const REPORT_LOADED: Duration = Duration::from_millis(250);
/// Part of an engine's slots from which it counts as loaded: a third.
const LOADED_SHARE: u32 = 3;
/// Time after an order's end within which reports may still be older than it.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Time over which the rate of requests for a model is averaged: a few swaps' time.
const RATE_OVER: Duration = Duration::from_secs(8);
/// Rate below which a model is forgotten.
const RATE_LEAST: f64 = 1e-3;
/// Time after which the demand of a silent instance no longer counts.
const PEER_SILENT: Duration = Duration::from_secs(2);
/// Time between two full views to an instance.
const VIEW_EVERY: Duration = Duration::from_secs(1);
/// Longest time between two outlooks to an instance, which carry the clock.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Change of an engine's load from which it is told at once.
const LOAD_STEP: u32 = 6;

/// A swap or an adapter's load that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Job {
    change: Change,
    until: Duration,
}

/// What the holder knows of an engine.
#[derive(Debug)]
pub(super) struct Book {
    address: SocketAddr,
    domain: String,
    born: u64,
    /// Orders accepted; locked while one is under way.
    accepted: Arc<tokio::sync::Mutex<u64>>,
    /// The same, as last seen.
    counted: u64,
    models: BTreeMap<String, BTreeSet<String>>,
    since: BTreeMap<String, Duration>,
    coming: BTreeSet<Target>,
    warm: BTreeSet<String>,
    disk: BTreeSet<String>,
    swap: Option<Job>,
    adapters: u32,
    running: u32,
    queued: u32,
    load: u32,
    settled: Duration,
    asked: Duration,
    leaving: bool,
    /// Whether what it holds is unknown until its next report.
    unknown: bool,
}

impl Book {
    fn new(server: &Server) -> Self {
        let endpoint = &server.endpoint;
        Self {
            address: endpoint.address,
            domain: endpoint.domain.clone(),
            born: endpoint.born,
            accepted: Arc::default(),
            counted: 0,
            models: endpoint.models.clone(),
            since: BTreeMap::new(),
            coming: BTreeSet::new(),
            warm: endpoint.warm.clone(),
            disk: endpoint.disk.clone(),
            swap: None,
            adapters: 0,
            running: 0,
            queued: 0,
            load: 0,
            settled: Duration::ZERO,
            asked: Duration::ZERO,
            leaving: false,
            unknown: true,
        }
    }

    /// Orders accepted, as far as known while one may be under way.
    fn count(&mut self) -> u64 {
        if let Ok(accepted) = self.accepted.try_lock() {
            self.counted = *accepted;
        }
        self.counted
    }

    const fn idle(&self) -> bool {
        self.swap.is_none() && self.adapters == 0
    }

    fn closing(&self) -> BTreeSet<String> {
        match self.swap.as_ref().map(|j| &j.change) {
            Some(Change::Swap { out, .. }) => out.iter().cloned().collect(),
            _ => BTreeSet::new(),
        }
    }

    fn report(&mut self, report: Report, now: Duration) {
        if report.leaving {
            self.leaving = true;
        }
        if report.born != 0 && self.born != 0 && report.born != self.born {
            return;
        }
        self.running = report.running;
        self.queued = report.queued;
        if now < self.settled + REPORT_LAG || !self.idle() {
            return;
        }
        let Ok(mut known) = self.accepted.try_lock() else {
            return;
        };
        if report.accepted < *known && now < self.settled + REPORT_LAG * 4 {
            return;
        }
        *known = report.accepted;
        self.counted = report.accepted;
        // Somebody else's order runs: nothing may be added to what is not yet known.
        self.unknown = report.busy;
        self.models = report.models;
        self.coming = report.coming;
        self.warm = report.warm;
        self.disk = report.disk;
    }
}

#[derive(Debug)]
struct Peer {
    demand: Demand,
    heard: Duration,
    answers: mpsc::Sender<Outlook>,
    told: BTreeMap<String, EngineView>,
    whole: Duration,
    beat: Duration,
    refused: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    value: f64,
    at: Duration,
}

impl Rate {
    fn now(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / RATE_OVER.as_secs_f64()).exp()
    }

    fn add(&mut self, count: u32, now: Duration) {
        self.value = self.now(now) + f64::from(count) / RATE_OVER.as_secs_f64();
        self.at = now;
    }
}

/// Gives the orders while this instance holds the lease.
#[derive(Debug, xtra::Actor)]
pub struct Orders {
    gateway: Arc<Gateway>,
    lease: Arc<Mutex<Lease>>,
    me: Option<Address<Self>>,
    peers: BTreeMap<u64, Peer>,
    /// This instance's clock as each instance that ever had a link echoed it last.
    echoes: BTreeMap<String, Duration>,
    own: Demand,
    ran: Duration,
    told: Duration,
    dirty: bool,
    rates: BTreeMap<BoardKey, Rate>,
    books: BTreeMap<String, Book>,
    store: StoreLoads,
}

/// Time to look at everything again.
#[derive(Debug, Clone, Copy)]
struct Tick;

/// An engine reported.
#[derive(Debug)]
struct Reported {
    engine: String,
    report: Report,
}

/// A swap or an adapter's load ended.
#[derive(Debug)]
struct Settled {
    engine: String,
    born: u64,
    change: Change,
    outcome: Outcome,
    took: Duration,
}

impl Orders {
    /// Starts the actor; it hears other instances through the channel.
    pub fn start(
        gateway: Arc<Gateway>,
        lease: Arc<Mutex<Lease>>,
        mut heard: mpsc::Receiver<Heard>,
    ) {
        let window = gateway.settings.window;
        let address = xtra::spawn_tokio(
            Self {
                gateway: Arc::clone(&gateway),
                lease,
                me: None,
                peers: BTreeMap::new(),
                echoes: BTreeMap::new(),
                own: Demand::default(),
                ran: Duration::ZERO,
                told: Duration::ZERO,
                dirty: false,
                rates: BTreeMap::new(),
                books: BTreeMap::new(),
                store: StoreLoads::new(window),
            },
            Mailbox::bounded(MAILBOX),
        );
        let ticks = address.clone();
        let board = Arc::clone(&gateway.board);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = tokio::time::sleep(TICK) => {}
                    () = board.changed.notified(), if ticks_held(&gateway) => {}
                }
                if ticks.send(Tick).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Some(message) = heard.recv().await {
                if address.send(message).await.is_err() {
                    return;
                }
            }
        });
    }

    /// The fencing token, while orders may be given.
    fn fence(&mut self) -> Option<u64> {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        // A renewal makes every instance without a link begin its wait anew.
        let renewed = lease.renewed();
        let linked = |name: &String| self.peers.values().any(|p| p.demand.name == *name);
        self.echoes.retain(|name, at| *at > renewed || linked(name));
        if let Some(heard) = self.echoes.values().min() {
            lease.extend(*heard);
        }
        lease.fence(self.gateway.now())
    }

    fn heard(&mut self, demand: &Demand) {
        let now = self.gateway.now();
        for count in demand.asked.iter().filter(|c| c.arrivals > 0) {
            let key = (count.place.clone(), count.target());
            self.rates.entry(key).or_default().add(count.arrivals, now);
        }
        let mut suspicion = self.gateway.suspicion();
        for print in &demand.broke {
            suspicion.count(*print, now);
        }
    }

    fn run(&mut self) {
        let now = self.gateway.now();
        self.ran = now;
        let Some(fence) = self.fence() else {
            self.idle();
            return;
        };
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        self.own = link::demand(&self.gateway);
        // Breaks that this instance saw are counted where they were seen.
        self.own.broke.clear();
        let own = self.own.clone();
        self.heard(&own);
        self.peers.retain(|_, p| now < p.heard + PEER_SILENT);
        self.rates.retain(|_, r| r.now(now) > RATE_LEAST);
        for (service, engine) in engines(&catalog) {
            self.keep_books(service, now);
            let fleet = self.fleet(service, now);
            let room = self.store.room(engine, now);
            for step in planner::plan(engine, &fleet, room, now) {
                self.begin(engine, step, &fleet, fence, now);
            }
        }
        let slots = engines(&catalog).map(|(_, e)| e.slots).max().unwrap_or(1);
        self.ask_reports(slots, now);
        if now >= self.told + TELL_EVERY || self.dirty {
            self.told = now;
            self.dirty = false;
            self.tell(&catalog, now);
        }
    }

    /// Forgets what only a holder knows.
    fn idle(&mut self) {
        self.books.clear();
        self.peers.clear();
        self.echoes.clear();
        self.store.clear();
    }

    fn keep_books(&mut self, service: &str, now: Duration) {
        let servers = self.gateway.servers.of_service(service);
        let listed: BTreeSet<&str> = servers.iter().map(|s| s.endpoint.id.as_str()).collect();
        self.books.retain(|id, _| listed.contains(id.as_str()));
        for server in &servers {
            let id = &server.endpoint.id;
            let restarted = |b: &Book| b.born != server.endpoint.born;
            if self.books.get(id).is_none_or(restarted) {
                self.books.insert(id.clone(), Book::new(server));
            }
            if let Some(book) = self.books.get_mut(id) {
                book.leaving |= !server.takes_work();
                book.since.retain(|_, at| now < *at + RATE_OVER);
            }
        }
    }

    fn demands(&self) -> impl Iterator<Item = &Demand> {
        let peers = self.peers.values().map(|p| &p.demand);
        peers.chain(std::iter::once(&self.own))
    }

    fn fleet(&self, service: &str, now: Duration) -> Fleet {
        let mut wants: BTreeMap<Target, Want> = BTreeMap::new();
        for ((place, target), rate) in &self.rates {
            if place == service {
                wants.entry(target.clone()).or_default().rate = rate.now(now);
            }
        }
        let mut running: BTreeMap<(&str, Target), u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in demand.asked.iter().filter(|c| c.place == service) {
                if count.count == 0 {
                    continue;
                }
                let since = now.saturating_sub(Duration::from_millis(count.millis.into()));
                let want = wants.entry(count.target()).or_default();
                want.since = if want.waiting == 0 {
                    since
                } else {
                    want.since.min(since)
                };
                want.waiting += count.count;
            }
            for count in &demand.running {
                *running.entry((&count.place, count.target())).or_default() += count.count;
            }
        }
        let engines = self.books.iter().map(|(id, book)| {
            let on = |model: &str, adapter: Option<&String>| {
                let target = Target {
                    model: model.to_owned(),
                    adapter: adapter.cloned(),
                };
                running
                    .get(&(id.as_str(), target))
                    .copied()
                    .unwrap_or_default()
            };
            let models = book.models.iter().map(|(model, adapters)| {
                let adapters: BTreeMap<String, u32> = adapters
                    .iter()
                    .map(|a| (a.clone(), on(model, Some(a))))
                    .collect();
                let holding = Holding {
                    running: on(model, None) + adapters.values().sum::<u32>(),
                    adapters,
                    since: book.since.get(model).copied().unwrap_or_default(),
                };
                (model.clone(), holding)
            });
            EngineState {
                id: id.clone(),
                domain: book.domain.clone(),
                models: models.collect(),
                coming: book.coming.clone(),
                warm: book.warm.clone(),
                disk: book.disk.clone(),
                loading: book.swap.as_ref().and_then(|j| match &j.change {
                    Change::Swap { model, .. } => Some(model.clone()),
                    Change::Adapter { .. } => None,
                }),
                busy: book.swap.is_some() || book.adapters > 0 || book.unknown,
                leaving: book.leaving,
            }
        });
        Fleet {
            engines: engines.collect(),
            wants,
        }
    }

    fn begin(&mut self, spec: &Engine, step: Step, fleet: &Fleet, fence: u64, now: Duration) {
        let Some(book) = self.books.get_mut(&step.engine) else {
            return;
        };
        let mut takes = Duration::ZERO;
        match &step.change {
            Change::Swap { out, model, source } => {
                let Some(properties) = spec.models.get(model) else {
                    return;
                };
                takes = planner::load_time(properties, *source);
                if *source == Source::Store {
                    takes = self.store.begin(takes, now);
                }
                for gone in out {
                    book.models.remove(gone);
                }
                book.swap = Some(Job {
                    change: step.change.clone(),
                    until: now + takes,
                });
                let want = fleet.wants.iter().find(|(t, _)| t.model == *model);
                log::info!(engine = step.engine.as_str(), model = model.as_str(),
                    out = out.join(","), source:% = source, urgent = step.urgent,
                    waiting = want.map_or(0, |(_, w)| w.waiting), fence = fence,
                    accepted = book.count(); "load decided");
            }
            Change::Adapter { out, target } => {
                book.adapters += 1;
                book.coming.insert(target.clone());
                for old in out {
                    if let Some(adapters) = book.models.get_mut(&old.model) {
                        adapters.remove(old.adapter.as_deref().unwrap_or_default());
                    }
                }
                log::info!(engine = step.engine.as_str(), model = target.model.as_str(),
                    adapter = target.adapter.as_deref().unwrap_or_default(), out = out.len(),
                    fence = fence; "adapter load decided");
            }
        }
        self.dirty = true;
        let Some(me) = self.me.clone() else {
            return;
        };
        let engineer = Engineer {
            gateway: Arc::clone(&self.gateway),
            lease: Arc::clone(&self.lease),
            engine: step.engine.clone(),
            address: book.address,
            accepted: Arc::clone(&book.accepted),
        };
        let born = book.born;
        tokio::spawn(async move {
            let started = engineer.gateway.now();
            let outcome = engineer.carry_out(&step.change, takes).await;
            let took = engineer.gateway.now().saturating_sub(started);
            let settled = Settled {
                engine: step.engine,
                born,
                change: step.change,
                outcome,
                took,
            };
            if me.send(settled).await.is_err() {
                log::debug!("the instance is stopping");
            }
        });
    }

    fn ask_reports(&mut self, slots: u32, now: Duration) {
        let Some(me) = self.me.clone() else {
            return;
        };
        for (id, book) in &mut self.books {
            let loaded = book.load * LOADED_SHARE >= slots || book.queued > 0;
            let every = if loaded { REPORT_LOADED } else { REPORT_EVERY };
            if now < book.asked + every {
                continue;
            }
            // Spreads the reports, so that they do not come all at once.
            let jitter = Duration::from_millis(u64::from(rand::random::<u8>()));
            book.asked = now + jitter;
            let engineer = Engineer {
                gateway: Arc::clone(&self.gateway),
                lease: Arc::clone(&self.lease),
                engine: id.clone(),
                address: book.address,
                accepted: Arc::clone(&book.accepted),
            };
            let (engine, me) = (id.clone(), me.clone());
            tokio::spawn(async move {
                if let Some(report) = engineer.report().await
                    && me.send(Reported { engine, report }).await.is_err()
                {
                    log::debug!("the instance is stopping");
                }
            });
        }
    }

    /// Tells all instances, this one included, what changed.
    fn tell(&mut self, catalog: &Catalog, now: Duration) {
        let mut loads: BTreeMap<String, u32> = BTreeMap::new();
        for demand in self.demands() {
            for count in &demand.running {
                *loads.entry(count.place.clone()).or_default() += count.count;
            }
        }
        for (id, book) in &mut self.books {
            book.load = loads.get(id).copied().unwrap_or_default();
        }
        let views: Vec<View> = self
            .books
            .iter_mut()
            .filter(|(_, book)| !book.unknown)
            .map(|(id, book)| View {
                id: id.clone(),
                born: book.born,
                accepted: book.count(),
                models: book.models.clone(),
                closing: book.closing(),
                load: book.load,
                running: book.running,
                queued: book.queued,
                leaving: book.leaving,
            })
            .collect();
        let version = self
            .lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .version();
        let estimates = self.estimates(catalog, now);
        let refused = self.gateway.suspicion().refused();
        let live = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        self.gateway.servers.view(&views, now);
        self.gateway.budgets().resize(live);
        for estimate in &estimates {
            let key = (estimate.place.clone(), estimate.target());
            self.gateway
                .estimate(key, Duration::from_millis(estimate.millis.into()));
        }
        let encoded: Vec<EngineView> = views.iter().map(EngineView::of).collect();
        for peer in self.peers.values_mut() {
            let outlook = Outlook {
                holding: true,
                version,
                clock: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
                live,
                config: link::newer_config(&self.gateway, peer.demand.version),
                engines: peer.changed(&encoded, now),
                estimates: estimates.clone(),
                refused: if refused.len() == peer.refused {
                    Vec::new()
                } else {
                    refused.clone()
                },
                ..Outlook::default()
            };
            let due = now >= peer.whole + VIEW_EVERY;
            let beat = now >= peer.beat + BEAT_EVERY;
            if due || beat || outlook_matters(&outlook) {
                peer.beat = now;
                peer.refused = refused.len();
                peer.demand.version = peer.demand.version.max(catalog.version);
                if due {
                    peer.whole = now;
                }
                if peer.answers.try_send(outlook).is_err() {
                    peer.told.clear();
                }
            }
        }
    }

    /// Time until models that requests wait for can be served.
    fn estimates(&self, catalog: &Catalog, now: Duration) -> Vec<Count> {
        let mut estimates = Vec::new();
        for (service, engine) in engines(catalog) {
            let fleet = self.fleet(service, now);
            let mut queued = 0;
            for (target, want) in &fleet.wants {
                if want.waiting == 0 || target.adapter.is_some() {
                    continue;
                }
                let loading = self.books.values().filter_map(|b| b.swap.as_ref()).find(
                    |j| matches!(&j.change, Change::Swap { model, .. } if *model == target.model),
                );
                let copied = self.books.values().any(|b| {
                    b.disk.contains(&target.model) || b.models.contains_key(&target.model)
                });
                let cold = engine
                    .models
                    .get(&target.model)
                    .map_or(Duration::ZERO, |m| m.cold);
                let ready_in = match loading {
                    Some(job) => job.until.saturating_sub(now),
                    None if copied => continue,
                    None => {
                        queued += 1;
                        self.store.wait(queued, cold)
                    }
                };
                estimates.push(Count {
                    place: service.to_owned(),
                    model: target.model.clone(),
                    millis: link::millis(ready_in),
                    ..Count::default()
                });
            }
        }
        estimates
    }

    fn settle(&mut self, settled: Settled) {
        let now = self.gateway.now();
        if let Change::Swap {
            source: Source::Store,
            model,
            ..
        } = &settled.change
        {
            let catalog = self.gateway.catalog();
            let cold = catalog
                .iter()
                .flat_map(|c| engines(c))
                .find_map(|(_, e)| e.models.get(model).map(|m| m.cold));
            self.store
                .end(settled.took, cold, settled.outcome == Outcome::Done);
        }
        let Some(book) = self.books.get_mut(&settled.engine) else {
            return;
        };
        if book.born != settled.born {
            return;
        }
        book.settled = now;
        book.asked = Duration::ZERO;
        let took = link::millis(settled.took);
        match settled.change {
            Change::Swap { out, model, source } => {
                book.swap = None;
                log::info!(engine = settled.engine.as_str(), model = model.as_str(),
                    outcome:% = settled.outcome, took_ms = took, source:% = source; "load ended");
                if settled.outcome == Outcome::Done {
                    book.since.insert(model.clone(), now);
                    book.warm.insert(model.clone());
                    book.disk.insert(model.clone());
                    book.models.entry(model).or_default();
                } else {
                    // Unknown until the engine reports: count nothing as free, offer nothing.
                    book.unknown = true;
                    book.warm.extend(out);
                }
            }
            Change::Adapter { target, .. } => {
                book.adapters = book.adapters.saturating_sub(1);
                book.coming.remove(&target);
                if settled.outcome == Outcome::Done {
                    if let Some(adapters) = book.models.get_mut(&target.model) {
                        adapters.extend(target.adapter);
                    }
                } else {
                    book.unknown = true;
                    log::warn!(engine = settled.engine.as_str(), model = target.model.as_str(),
                        adapter = target.adapter.unwrap_or_default(),
                        outcome:% = settled.outcome, took_ms = took; "adapter load ended");
                }
            }
        }
    }
}

impl Peer {
    /// Engines whose view has changed since this instance was told.
    fn changed(&mut self, views: &[EngineView], now: Duration) -> Vec<EngineView> {
        let whole = now >= self.whole + VIEW_EVERY;
        let mut changed = Vec::new();
        for view in views {
            let same = self.told.get(&view.id).is_some_and(|told| {
                let near = told.load.abs_diff(view.load) < LOAD_STEP;
                let queue = told.queued.abs_diff(view.queued) < LOAD_STEP;
                near && queue
                    && told.leaving == view.leaving
                    && told.models == view.models
                    && told.accepted == view.accepted
            });
            if whole || !same {
                self.told.insert(view.id.clone(), view.clone());
                changed.push(view.clone());
            }
        }
        changed
    }
}

fn outlook_matters(outlook: &Outlook) -> bool {
    !outlook.engines.is_empty() || !outlook.config.is_empty() || !outlook.refused.is_empty()
}

fn ticks_held(gateway: &Gateway) -> bool {
    gateway.holding()
}

fn engines(catalog: &Catalog) -> impl Iterator<Item = (&str, &Engine)> {
    let services = catalog.services.iter();
    services.filter_map(|(name, s)| Some((name.as_str(), s.engine.as_ref()?)))
}

impl Handler<Tick> for Orders {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        if self.me.is_none() {
            self.me = ctx.mailbox().address().try_upgrade();
        }
        self.run();
    }
}

impl Handler<Heard> for Orders {
    type Return = ();

    async fn handle(&mut self, message: Heard, _ctx: &mut Context<Self>) {
        match message {
            Heard::Gone(number) => {
                self.peers.remove(&number);
            }
            Heard::Demand(number, demand, answers) => {
                self.heard(&demand);
                let echo = Duration::from_millis(demand.echo);
                self.echoes.insert(demand.name.clone(), echo);
                let urgent = demand.asked.iter().any(|c| c.count > 0);
                let heard = self.gateway.now();
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.heard = heard;
                    peer.demand = demand;
                } else {
                    let peer = Peer {
                        demand,
                        heard,
                        answers,
                        told: BTreeMap::new(),
                        whole: Duration::ZERO,
                        beat: Duration::ZERO,
                        refused: 0,
                    };
                    self.peers.insert(number, peer);
                }
                if urgent && heard >= self.ran + RUN_EVERY {
                    self.run();
                }
            }
        }
    }
}

impl Handler<Reported> for Orders {
    type Return = ();

    async fn handle(&mut self, message: Reported, _ctx: &mut Context<Self>) {
        let now = self.gateway.now();
        if let Some(book) = self.books.get_mut(&message.engine) {
            book.report(message.report, now);
        }
    }
}

impl Handler<Settled> for Orders {
    type Return = ();

    async fn handle(&mut self, message: Settled, _ctx: &mut Context<Self>) {
        self.settle(message);
        self.dirty = true;
        self.run();
    }
}
