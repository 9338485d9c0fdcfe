//! The holder of the lease: gathers demand, plans, and gives orders to engines.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use xtra::prelude::*;

use super::catalog::Engine;
use super::lease::Lease;
use super::link::{self, DemandReport, LinkEvent};
use super::planner::{self, EngineAction, Fleet, PlannedAction, StoreCapacity, WeightSource};
use super::shared::{BoardKey, Gateway};

mod fleet;
pub mod pace;
mod publish;
mod record;
pub mod send;
mod settle;
mod store_room;
pub mod views;

use pace::Pace;
use publish::Peer;
use record::{EngineRecord, Job, Rate};
use send::OrderSender;
use settle::Settled;
use store_room::StoreLoads;
use views::Views;

/// Messages that wait for the actor at most.
const MAILBOX: usize = 1024;
/// Time between two plans where nothing changes.
const TICK: Duration = Duration::from_millis(50);
/// Least time between two tellings of what did not change by an order.
const TELL_EVERY: Duration = Duration::from_millis(45);
/// Rate below which a model is forgotten.
const RATE_LEAST: f64 = 1e-3;
/// Time after which the demand of a silent instance no longer counts.
const PEER_SILENT: Duration = Duration::from_secs(2);

/// Gives the orders while this instance holds the lease.
#[derive(Debug, xtra::Actor)]
pub struct Orders {
    gateway: Arc<Gateway>,
    lease: Arc<Mutex<Lease>>,
    me: Option<Address<Self>>,
    peers: BTreeMap<u64, Peer>,
    /// This instance's clock as each instance that ever had a link echoed it last.
    echoes: BTreeMap<String, Duration>,
    own: DemandReport,
    pace: Pace,
    /// Whether the end of the pause after a plan is awaited.
    waiting: bool,
    told: Duration,
    dirty: bool,
    views: Views,
    rates: BTreeMap<BoardKey, Rate>,
    records: BTreeMap<String, EngineRecord>,
    store: StoreLoads,
}

/// Time to look at everything again.
#[derive(Debug, Clone, Copy)]
struct Tick;

/// The pause after a plan has ended, and something came meanwhile.
#[derive(Debug, Clone, Copy)]
struct PauseEnded;

impl Orders {
    /// Starts the actor; it hears other instances through the channel.
    pub fn start(
        gateway: Arc<Gateway>,
        lease: Arc<Mutex<Lease>>,
        mut heard: mpsc::Receiver<LinkEvent>,
    ) {
        let window = gateway.settings.window;
        let address = xtra::spawn_tokio(
            Self {
                gateway: Arc::clone(&gateway),
                lease,
                me: None,
                peers: BTreeMap::new(),
                echoes: BTreeMap::new(),
                own: DemandReport::default(),
                pace: Pace::default(),
                waiting: false,
                told: Duration::ZERO,
                dirty: false,
                views: Views::default(),
                rates: BTreeMap::new(),
                records: BTreeMap::new(),
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
                    () = board.changed.notified(), if gateway.holding() => {}
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
        let renewed = lease.renewed_at();
        let linked = |name: &String| self.peers.values().any(|p| p.demand.instance == *name);
        self.echoes.retain(|name, at| *at > renewed || linked(name));
        if let Some(heard) = self.echoes.values().min() {
            lease.extend(*heard);
        }
        lease.fencing_token(self.gateway.now())
    }

    fn heard(&mut self, demand: &DemandReport) {
        let now = self.gateway.now();
        for count in demand.requested.iter().filter(|c| c.arrivals > 0) {
            let key = (count.scope.clone(), count.target());
            self.rates.entry(key).or_default().add(count.arrivals, now);
        }
        let mut suspicion = self.gateway.suspicion();
        for print in &demand.aborted {
            suspicion.count(*print, now);
        }
    }

    /// Plans and tells, after the pause that the last plan asks for.
    fn run(&mut self) {
        let now = self.gateway.now();
        let wait = self.pace.wait(now);
        if !wait.is_zero() {
            self.run_after(wait);
            return;
        }
        self.plan(now);
        let done = self.gateway.now();
        self.pace.ran(now, done);
        if !self.gateway.holding() {
            return;
        }
        let took = done.saturating_sub(now);
        self.gateway.stats.planned(took);
        if took > TICK {
            log::warn!(took_ms = link::millis(took), engines = self.records.len(),
                instances = self.peers.len() + 1; "plan took long; orders and views come late");
        }
    }

    fn run_after(&mut self, wait: Duration) {
        let Some(me) = self.me.clone().filter(|_| !self.waiting) else {
            return;
        };
        self.waiting = true;
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if me.send(PauseEnded).await.is_err() {
                log::debug!("the instance is stopping");
            }
        });
    }

    fn plan(&mut self, now: Duration) {
        let Some(fence) = self.fence() else {
            self.idle();
            return;
        };
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        let mut own = link::demand_report(&self.gateway);
        // Breaks that this instance saw are counted where they were seen.
        own.aborted.clear();
        self.heard(&own);
        self.own = own;
        self.peers.retain(|_, p| now < p.heard + PEER_SILENT);
        self.rates.retain(|_, r| r.now(now) > RATE_LEAST);
        let mut wants = BTreeMap::new();
        for (service, engine) in catalog.engines() {
            self.keep_records(service, now);
            let fleet = self.fleet(service, now);
            let room = self.store.room(engine, now);
            for step in planner::plan(engine, &fleet, room, now) {
                self.begin(engine, step, &fleet, fence, now);
            }
            wants.insert(service, fleet.demand);
        }
        let slots = catalog.engines().map(|(_, e)| e.slots).max().unwrap_or(1);
        self.ask_reports(slots, now);
        if now >= self.told + TELL_EVERY || self.dirty {
            self.told = now;
            self.dirty = false;
            let estimates = self.estimates(&catalog, &wants, now);
            self.publish(&catalog, &estimates, now);
        }
    }

    /// Forgets what only a holder knows.
    fn idle(&mut self) {
        self.records.clear();
        self.peers.clear();
        self.echoes.clear();
        self.store.clear();
        self.views = Views::default();
    }

    fn begin(
        &mut self,
        spec: &Engine,
        step: PlannedAction,
        fleet: &Fleet,
        fence: u64,
        now: Duration,
    ) {
        let Some(record) = self.records.get_mut(&step.engine) else {
            return;
        };
        let mut takes = Duration::ZERO;
        match &step.action {
            EngineAction::LoadModel {
                evict,
                model,
                source,
            } => {
                let Some(properties) = spec.models.get(model) else {
                    return;
                };
                takes = planner::load_time(properties, *source);
                if *source == WeightSource::Store {
                    takes = self.store.begin(takes, now);
                }
                for gone in evict {
                    record.models.remove(gone);
                }
                record.swap = Some(Job {
                    change: step.action.clone(),
                    until: now + takes,
                });
                let want = fleet.demand.iter().find(|(t, _)| t.model == *model);
                log::info!(engine = step.engine.as_str(), model = model.as_str(),
                    out = evict.join(","), source:% = source, urgent = step.urgent,
                    waiting = want.map_or(0, |(_, w)| w.waiting), fence = fence,
                    accepted = record.count(); "load decided");
            }
            EngineAction::LoadAdapter { evict, target } => {
                record.adapters += 1;
                record.coming.insert(target.clone());
                for old in evict {
                    if let Some(adapters) = record.models.get_mut(&old.model) {
                        adapters.remove(old.adapter_name());
                    }
                }
                log::info!(engine = step.engine.as_str(), model = target.model.as_str(),
                    adapter = target.adapter_name(), out = evict.len(),
                    fence = fence; "adapter load decided");
            }
        }
        self.dirty = true;
        let Some(me) = self.me.clone() else {
            return;
        };
        let sender = OrderSender::new(&self.gateway, &self.lease, &step.engine, record);
        let born = record.born;
        tokio::spawn(async move {
            let started = sender.gateway.now();
            let outcome = sender.carry_out(&step.action, takes).await;
            let took = sender.gateway.now().saturating_sub(started);
            let settled = Settled {
                engine: step.engine,
                born,
                change: step.action,
                outcome,
                took,
            };
            if me.send(settled).await.is_err() {
                log::debug!("the instance is stopping");
            }
        });
    }
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

impl Handler<PauseEnded> for Orders {
    type Return = ();

    async fn handle(&mut self, _: PauseEnded, _ctx: &mut Context<Self>) {
        self.waiting = false;
        self.run();
    }
}

impl Handler<LinkEvent> for Orders {
    type Return = ();

    async fn handle(&mut self, message: LinkEvent, _ctx: &mut Context<Self>) {
        match message {
            LinkEvent::Closed(number) => {
                self.peers.remove(&number);
            }
            LinkEvent::Report(number, demand, answers) => {
                self.heard(&demand);
                let echo = Duration::from_millis(demand.clock_echo);
                self.echoes.insert(demand.instance.clone(), echo);
                let urgent = demand.requested.iter().any(|c| c.count > 0);
                let heard = self.gateway.now();
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.heard = heard;
                    peer.demand = demand;
                } else {
                    let peer = Peer {
                        demand,
                        heard,
                        answers,
                        known: 0,
                        whole: Duration::ZERO,
                        beat: Duration::ZERO,
                        refused: 0,
                    };
                    self.peers.insert(number, peer);
                }
                if urgent {
                    self.run();
                }
            }
        }
    }
}
