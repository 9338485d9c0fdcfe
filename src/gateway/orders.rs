//! Lease holder: collects demand, plans which models engines hold, and issues orders to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use xtra::prelude::*;

use super::catalog::Engine;
use super::lease::Lease;
use super::link::{self, DemandReport};
use super::planner::{self, EngineAction, Fleet, PlannedAction, StoreCapacity, WeightSource};
use super::ramp::RampHolder;
use super::shared::Gateway;

mod engine_events;
mod fleet;
pub mod inbox;
pub mod last_sent;
pub mod late_share;
pub mod limit_ledger;
mod limits;
pub mod port;
mod publish;
mod ramps;
pub mod rates;
pub mod record;
pub mod records;
pub mod send;
pub mod sequence;
pub mod store_loads;
pub mod throttle;
pub mod views;

use engine_events::ChangeEnded;
use inbox::DemandInbox;
use limit_ledger::LimitLedger;
use port::PlatformEngine;
use publish::Peer;
use rates::DemandRates;
use records::EngineRecords;
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
/// Silence after which the demand of an instance no longer counts.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Actor that issues orders to engines while this instance holds the lease.
#[derive(Debug, xtra::Actor)]
pub struct OrderController {
    gateway: Arc<Gateway>,
    lease: Arc<Mutex<Lease>>,
    own_address: Option<Address<Self>>,
    inbox: Arc<DemandInbox>,
    peers: BTreeMap<u64, Peer>,
    own_demand: DemandReport,
    throttle: PlanThrottle,
    /// Whether a [`PauseEnded`] message is scheduled.
    pause_pending: bool,
    published: Duration,
    /// Whether a change of an engine started or ended since the last publication.
    dirty: bool,
    views: EngineViews,
    rates: DemandRates,
    records: EngineRecords,
    store_loads: StoreLoads,
    limit_ledger: LimitLedger,
    ramps: RampHolder,
}

/// Asks for a plan, at an interval or because demand at this instance changed.
#[derive(Debug, Clone, Copy)]
struct Tick;

/// The pause after a plan is over; sent only if a plan was asked for during it.
#[derive(Debug, Clone, Copy)]
struct PauseEnded;

impl OrderController {
    /// Starts the actor, which receives the demand of other instances through `inbox`.
    pub fn start(gateway: Arc<Gateway>, lease: Arc<Mutex<Lease>>, inbox: Arc<DemandInbox>) {
        let window = gateway.settings.load_window;
        let address = xtra::spawn_tokio(
            Self {
                gateway: Arc::clone(&gateway),
                lease,
                own_address: None,
                inbox: Arc::clone(&inbox),
                peers: BTreeMap::new(),
                own_demand: DemandReport::default(),
                throttle: PlanThrottle::default(),
                pause_pending: false,
                published: Duration::ZERO,
                dirty: false,
                views: EngineViews::default(),
                rates: DemandRates::default(),
                records: EngineRecords::default(),
                store_loads: StoreLoads::new(window),
                limit_ledger: LimitLedger::default(),
                ramps: RampHolder::default(),
            },
            Mailbox::bounded(MAILBOX_MESSAGES),
        );
        let demand_tracker = Arc::clone(&gateway.demand);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = tokio::time::sleep(PLAN_INTERVAL) => {}
                    () = demand_tracker.changed.notified(), if gateway.holds_lease() => {}
                    () = inbox.urgent.notified() => {}
                }
                if address.send(Tick).await.is_err() {
                    return;
                }
            }
        });
    }

    /// The fencing token while orders may be issued; extends the lease by echoed clocks first.
    fn fencing_token(&self) -> Option<u64> {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        self.inbox.echoes().extend(&mut lease);
        lease.fencing_token(self.gateway.now())
    }

    fn record_demand(&mut self, demand: &DemandReport) {
        let now = self.gateway.now();
        if let Some(catalog) = self.gateway.catalog() {
            self.rates.record(&demand.requested, &catalog, now);
        }
        if demand.reports_closed {
            return;
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
        self.read_inbox();
        let Some(fencing_token) = self.fencing_token() else {
            self.drop_lost_term();
            return;
        };
        if self.records.enter_term(fencing_token, now) {
            self.records.adopt(&self.gateway.told_loads(), now);
            self.clear_published();
        }
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        let mut own = link::demand_report(&self.gateway);
        // Breaks seen by this instance were already counted when they occurred.
        own.aborted.clear();
        self.record_demand(&own);
        self.own_demand = own;
        self.peers.retain(|_, p| now < p.heard_at + PEER_TIMEOUT);
        self.rates.forget_old(now);
        let mut engines = catalog.engines();
        let is_cautious = engines.any(|(name, _)| self.follows_demand(name, now));
        self.store_loads.set_cautious(is_cautious);
        let mut demands = BTreeMap::new();
        for (service, engine) in catalog.engines() {
            self.sync_records(service, now);
            let fleet = self.fleet(service, now);
            let running = self.records.store_loads();
            let capacity = self.store_loads.capacity(engine, running, now);
            for step in planner::plan(engine, &fleet, capacity, now) {
                self.start_change(engine, step, &fleet, fencing_token, now);
            }
            demands.insert(service, fleet.demand);
        }
        let slots = catalog.engines().map(|(_, e)| e.slots).max().unwrap_or(1);
        self.request_reports(slots, now);
        let limits = self.grant_permits(now);
        let has_ramp_news = self.step_ramps(now);
        let has_news = self.dirty || limits.any_granted() || has_ramp_news;
        if now >= self.published + PUBLISH_INTERVAL || has_news {
            self.published = now;
            self.dirty = false;
            let estimates = self.estimates(&catalog, &demands, now);
            self.publish(&catalog, &estimates, &limits, now);
        }
    }

    /// Takes the reports that arrived on the links since the last plan.
    fn read_inbox(&mut self) {
        let pending = self.inbox.take();
        for (number, report) in pending.reports {
            link::apply_leaving(&self.gateway, &report.demand.leaving);
            link::apply_limits(&self.gateway, &report.demand.limits);
            self.ramps
                .record(number, &report.demand, self.gateway.now());
            if let Some(crashes) = &report.demand.crashes {
                let now = self.gateway.now();
                let mut parts = self.gateway.crash_parts();
                parts.merge(crashes, report.heard_at, now);
            }
            self.record_demand(&report.demand);
            if let Some(peer) = self.peers.get_mut(&number) {
                peer.heard_at = report.heard_at;
                peer.demand = report.demand;
            } else {
                self.peers.insert(number, Peer::new(report));
            }
        }
        for number in pending.closed {
            self.peers.remove(&number);
        }
    }

    /// Ends the term once another instance may have held the lease.
    fn drop_lost_term(&mut self) {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let held = lease.term();
        drop(lease);
        if self.records.leave_lost_term(held, self.gateway.now()) {
            self.peers.clear();
            self.clear_published();
        }
    }

    /// Forgets what was published in an earlier term.
    fn clear_published(&mut self) {
        self.limit_ledger.clear();
        self.ramps.clear();
        self.views = EngineViews::default();
        for peer in self.peers.values_mut() {
            peer.sent_version = 0;
            peer.full_sent = Duration::ZERO;
        }
    }

    fn start_change(
        &mut self,
        spec: &Engine,
        step: PlannedAction,
        fleet: &Fleet,
        fencing_token: u64,
        now: Duration,
    ) {
        let loads_running = self.records.store_loads();
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
                    load_time = self.store_loads.start(load_time, loads_running, now);
                }
                let demand = fleet.demand.iter().find(|(t, _)| t.model == *model);
                self.gateway
                    .stats
                    .record_load((*source).into(), step.replicas > 1);
                log::info!(engine = step.engine.as_str(), model = model.as_str(),
                    out = evict.join(","), source:% = source, urgent = step.urgent,
                    waiting = demand.map_or(0, |(_, d)| d.waiting),
                    rate = demand.map_or(0.0, |(_, d)| d.request_rate),
                    refused_rate = demand.map_or(0.0, |(_, d)| d.refused_rate),
                    late_share = demand.map_or(0.0, |(_, d)| d.late_share),
                    replicas = step.replicas, required = step.required, fence = fencing_token,
                    accepted = record.accepted_count(); "load decided");
            }
            EngineAction::LoadAdapter { evict, target } => {
                log::info!(engine = step.engine.as_str(), model = target.model.as_str(),
                    adapter = target.adapter_name(), out = evict.len(),
                    fence = fencing_token; "adapter load decided");
            }
        }
        self.dirty = true;
        let Some(controller) = self.own_address.clone() else {
            return;
        };
        let ticket = record.begin_change(&step.action, now + load_time);
        let address = record.address;
        let sender = OrderSender {
            port: Box::new(self.port(&step.engine, address)),
            engine: step.engine.clone(),
            holder: self.gateway.settings.name.clone(),
            ticket: ticket.clone(),
        };
        tokio::spawn(async move {
            let begun = sender.port.now();
            let result = sender.execute(&step.action, load_time).await;
            let took = sender.port.now().saturating_sub(begun);
            let ended = ChangeEnded {
                engine: step.engine,
                change: step.action,
                ticket,
                result,
                took,
            };
            if controller.send(ended).await.is_err() {
                log::debug!("order controller has stopped; event dropped");
            }
        });
    }

    fn port(&self, engine: &str, address: SocketAddr) -> PlatformEngine {
        PlatformEngine {
            gateway: Arc::clone(&self.gateway),
            lease: Arc::clone(&self.lease),
            engine: engine.to_owned(),
            address,
        }
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
