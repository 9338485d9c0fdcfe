//! Lease holder: collects demand, plans which models engines hold, and issues orders to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use xtra::prelude::*;

use super::catalog::Engine;
use super::lease::Lease;
use super::link::{self, DemandReport, LinkEvent};
use super::planner::{self, EngineAction, Fleet, PlannedAction, StoreCapacity, WeightSource};
use super::shared::{DemandKey, Gateway};

mod engine_events;
mod fleet;
mod publish;
mod record;
pub mod send;
mod store_loads;
pub mod throttle;
pub mod views;

use engine_events::ChangeEnded;
use publish::Peer;
use record::{ActiveSwap, ArrivalRate, EngineRecord};
use send::OrderSender;
use store_loads::StoreLoads;
use throttle::PlanThrottle;
use views::EngineViews;

/// Capacity of the actor's mailbox.
const MAILBOX_MESSAGES: usize = 1024;
/// Interval between plans when no event triggers one.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between publications, except after the start or end of a change.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(45);
/// Arrival rate below which a model's entry is dropped.
const MIN_RATE_PER_S: f64 = 1e-3;
/// Silence after which the demand of an instance no longer counts.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Actor that issues orders to engines while this instance holds the lease.
#[derive(Debug, xtra::Actor)]
pub struct OrderController {
    gateway: Arc<Gateway>,
    lease: Arc<Mutex<Lease>>,
    own_address: Option<Address<Self>>,
    peers: BTreeMap<u64, Peer>,
    /// Newest reading of this instance's clock that each instance echoed, by name; those of
    /// instances without a link stay until the lease is renewed.
    echoes: BTreeMap<String, Duration>,
    own_demand: DemandReport,
    throttle: PlanThrottle,
    /// Whether a [`PauseEnded`] message is scheduled.
    pause_pending: bool,
    published: Duration,
    /// Whether a change of an engine started or ended since the last publication.
    dirty: bool,
    views: EngineViews,
    rates: BTreeMap<DemandKey, ArrivalRate>,
    records: BTreeMap<String, EngineRecord>,
    store_loads: StoreLoads,
}

/// Asks for a plan, at an interval or because demand at this instance changed.
#[derive(Debug, Clone, Copy)]
struct Tick;

/// The pause after a plan is over; sent only if a plan was asked for during it.
#[derive(Debug, Clone, Copy)]
struct PauseEnded;

impl OrderController {
    /// Starts the actor, which receives the demand of other instances through `events`.
    pub fn start(
        gateway: Arc<Gateway>,
        lease: Arc<Mutex<Lease>>,
        mut events: mpsc::Receiver<LinkEvent>,
    ) {
        let window = gateway.settings.load_window;
        let address = xtra::spawn_tokio(
            Self {
                gateway: Arc::clone(&gateway),
                lease,
                own_address: None,
                peers: BTreeMap::new(),
                echoes: BTreeMap::new(),
                own_demand: DemandReport::default(),
                throttle: PlanThrottle::default(),
                pause_pending: false,
                published: Duration::ZERO,
                dirty: false,
                views: EngineViews::default(),
                rates: BTreeMap::new(),
                records: BTreeMap::new(),
                store_loads: StoreLoads::new(window),
            },
            Mailbox::bounded(MAILBOX_MESSAGES),
        );
        let ticks = address.clone();
        let demand_tracker = Arc::clone(&gateway.demand);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = tokio::time::sleep(PLAN_INTERVAL) => {}
                    () = demand_tracker.changed.notified(), if gateway.holds_lease() => {}
                }
                if ticks.send(Tick).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                if address.send(event).await.is_err() {
                    return;
                }
            }
        });
    }

    /// The fencing token while orders may be issued; extends the lease by echoed clocks first.
    fn fencing_token(&mut self) -> Option<u64> {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        // A renewal restarts the takeover wait of every instance without a link, so that older
        // echoes of these need not be considered.
        let renewed = lease.renewed_at();
        let linked = |name: &String| self.peers.values().any(|p| p.demand.instance == *name);
        self.echoes.retain(|name, at| *at > renewed || linked(name));
        if let Some(oldest) = self.echoes.values().min() {
            lease.extend(*oldest);
        }
        lease.fencing_token(self.gateway.now())
    }

    fn record_demand(&mut self, demand: &DemandReport) {
        let now = self.gateway.now();
        for count in demand.requested.iter().filter(|c| c.arrivals > 0) {
            let key = (count.scope.clone(), count.target());
            self.rates.entry(key).or_default().add(count.arrivals, now);
        }
        let mut suspicion = self.gateway.crash_suspects();
        for fingerprint in &demand.aborted {
            suspicion.record_break(*fingerprint, now);
        }
    }

    /// Plans and publishes, or schedules both for the end of the pause after the last plan.
    fn replan(&mut self) {
        let now = self.gateway.now();
        let pause = self.throttle.delay(now);
        if !pause.is_zero() {
            self.schedule_replan(pause);
            return;
        }
        self.plan(now);
        let done = self.gateway.now();
        self.throttle.record(now, done);
        if !self.gateway.holds_lease() {
            return;
        }
        let took = done.saturating_sub(now);
        self.gateway.stats.record_plan(took);
        if took > PLAN_INTERVAL {
            log::warn!(took_ms = link::millis(took), engines = self.records.len(),
                instances = self.peers.len() + 1; "plan took long; orders and views come late");
        }
    }

    fn schedule_replan(&mut self, pause: Duration) {
        let Some(controller) = self.own_address.clone().filter(|_| !self.pause_pending) else {
            return;
        };
        self.pause_pending = true;
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if controller.send(PauseEnded).await.is_err() {
                log::debug!("order controller has stopped; event dropped");
            }
        });
    }

    fn plan(&mut self, now: Duration) {
        let Some(fencing_token) = self.fencing_token() else {
            self.clear_state();
            return;
        };
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        let mut own = link::demand_report(&self.gateway);
        // Breaks seen by this instance were already counted when they occurred.
        own.aborted.clear();
        self.record_demand(&own);
        self.own_demand = own;
        self.peers.retain(|_, p| now < p.heard_at + PEER_TIMEOUT);
        self.rates.retain(|_, r| r.at(now) > MIN_RATE_PER_S);
        let mut demands = BTreeMap::new();
        for (service, engine) in catalog.engines() {
            self.sync_records(service, now);
            let fleet = self.fleet(service, now);
            let capacity = self.store_loads.capacity(engine, now);
            for step in planner::plan(engine, &fleet, capacity, now) {
                self.start_change(engine, step, &fleet, fencing_token, now);
            }
            demands.insert(service, fleet.demand);
        }
        let slots = catalog.engines().map(|(_, e)| e.slots).max().unwrap_or(1);
        self.request_reports(slots, now);
        if now >= self.published + PUBLISH_INTERVAL || self.dirty {
            self.published = now;
            self.dirty = false;
            let estimates = self.estimates(&catalog, &demands, now);
            self.publish(&catalog, &estimates, now);
        }
    }

    /// Clears the state that only the lease holder keeps.
    fn clear_state(&mut self) {
        self.records.clear();
        self.peers.clear();
        self.echoes.clear();
        self.store_loads.clear();
        self.views = EngineViews::default();
    }

    fn start_change(
        &mut self,
        spec: &Engine,
        step: PlannedAction,
        fleet: &Fleet,
        fencing_token: u64,
        now: Duration,
    ) {
        let Some(record) = self.records.get_mut(&step.engine) else {
            return;
        };
        let mut load_time = Duration::ZERO;
        match &step.action {
            EngineAction::LoadModel {
                evict,
                model,
                source,
            } => {
                let Some(properties) = spec.models.get(model) else {
                    return;
                };
                load_time = planner::load_time(properties, *source);
                if *source == WeightSource::Store {
                    load_time = self.store_loads.start(load_time, now);
                }
                for old in evict {
                    record.models.remove(old);
                }
                record.swap = Some(ActiveSwap {
                    change: step.action.clone(),
                    expected_end: now + load_time,
                });
                let demand = fleet.demand.iter().find(|(t, _)| t.model == *model);
                log::info!(engine = step.engine.as_str(), model = model.as_str(),
                    out = evict.join(","), source:% = source, urgent = step.urgent,
                    waiting = demand.map_or(0, |(_, d)| d.waiting), fence = fencing_token,
                    accepted = record.accepted_count(); "load decided");
            }
            EngineAction::LoadAdapter { evict, target } => {
                record.adapter_loads += 1;
                record.pending_adapters.insert(target.clone());
                for old in evict {
                    if let Some(adapters) = record.models.get_mut(&old.model) {
                        adapters.remove(old.adapter_name());
                    }
                }
                log::info!(engine = step.engine.as_str(), model = target.model.as_str(),
                    adapter = target.adapter_name(), out = evict.len(),
                    fence = fencing_token; "adapter load decided");
            }
        }
        self.dirty = true;
        let Some(controller) = self.own_address.clone() else {
            return;
        };
        let sender = OrderSender::new(&self.gateway, &self.lease, &step.engine, record);
        let started_ms = record.started_ms;
        tokio::spawn(async move {
            let begun = sender.gateway.now();
            let outcome = sender.execute(&step.action, load_time).await;
            let took = sender.gateway.now().saturating_sub(begun);
            let ended = ChangeEnded {
                engine: step.engine,
                started_ms,
                change: step.action,
                outcome,
                took,
            };
            if controller.send(ended).await.is_err() {
                log::debug!("order controller has stopped; event dropped");
            }
        });
    }
}

impl Handler<Tick> for OrderController {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        if self.own_address.is_none() {
            self.own_address = ctx.mailbox().address().try_upgrade();
        }
        self.replan();
    }
}

impl Handler<PauseEnded> for OrderController {
    type Return = ();

    async fn handle(&mut self, _: PauseEnded, _ctx: &mut Context<Self>) {
        self.pause_pending = false;
        self.replan();
    }
}

impl Handler<LinkEvent> for OrderController {
    type Return = ();

    async fn handle(&mut self, message: LinkEvent, _ctx: &mut Context<Self>) {
        match message {
            LinkEvent::Closed(number) => {
                self.peers.remove(&number);
            }
            LinkEvent::Report(number, demand, updates) => {
                self.record_demand(&demand);
                let echo = Duration::from_millis(demand.clock_echo);
                self.echoes.insert(demand.instance.clone(), echo);
                let urgent = demand.requested.iter().any(|c| c.count > 0);
                let heard_at = self.gateway.now();
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.heard_at = heard_at;
                    peer.demand = demand;
                } else {
                    let peer = Peer {
                        demand,
                        heard_at,
                        updates,
                        sent_version: 0,
                        full_sent: Duration::ZERO,
                        last_sent: Duration::ZERO,
                        refused_sent: 0,
                    };
                    self.peers.insert(number, peer);
                }
                if urgent {
                    self.replan();
                }
            }
        }
    }
}
