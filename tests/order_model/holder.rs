//! An instance that claims the lease, plans and sends orders, built of the product's pure parts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::gateway::catalog::{Engine as Properties, Model};
use brassrack::gateway::lease::{Lease, LeaseAction, LeaseRow, LeaseTiming};
use brassrack::gateway::orders::port::{EnginePort, NoReport, OrderAnswer};
use brassrack::gateway::orders::record::ChangeResult;
use brassrack::gateway::orders::records::EngineRecords;
use brassrack::gateway::orders::send::OrderSender;
use brassrack::gateway::orders::sequence::OrderTicket;
use brassrack::gateway::planner::{
    EngineAction, Fleet, StoreCapacity, TargetDemand, WeightSource, load_time, plan,
};
use brassrack::gateway::protocol::{Endpoint, Order, Report, Target};
use brassrack::gateway::servers::ListedEndpoint;
use brassrack::table;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::engine::{ADAPTER_SLOTS, MODELS_FIT};
use crate::world::{ENGINES, Fault, MODELS, World};

const PLAN_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Something that a task of the holder found out.
enum Event {
    Ended(String, EngineAction, OrderTicket, ChangeResult),
    Reported(String, Report, Duration),
}

pub(crate) struct Holder {
    name: String,
    world: Arc<World>,
    lease: Arc<Mutex<Lease>>,
    records: EngineRecords,
    renewed: Duration,
    /// End of the time for which the store turns this instance away.
    away_until: Duration,
    reported: BTreeMap<String, Duration>,
    missing: BTreeMap<String, Duration>,
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
}

impl Holder {
    pub(crate) fn new(name: &str, world: &Arc<World>) -> Self {
        let row = LeaseRow {
            holder: name.to_owned(),
            address: ([127, 0, 0, 1], 7).into(),
            released: false,
            era: 0,
            successors: None,
            heard: None,
            expiring: None,
        };
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            name: name.to_owned(),
            world: Arc::clone(world),
            lease: Arc::new(Mutex::new(Lease::new(row, LeaseTiming::default()))),
            records: EngineRecords::default(),
            renewed: Duration::ZERO,
            away_until: Duration::ZERO,
            reported: BTreeMap::new(),
            missing: BTreeMap::new(),
            events,
            sender,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            sleep(PLAN_INTERVAL + self.world.millis(0, 20)).await;
            self.world.disturb();
            self.renew();
            self.plan();
        }
    }

    fn renew(&mut self) {
        let now = self.world.now();
        if self.world.has(Fault::Outages) && now >= self.away_until && self.world.chance(8) {
            self.away_until = now + self.world.millis(500, 9000);
        }
        if now < self.away_until || now < self.renewed + RENEWAL_INTERVAL {
            return;
        }
        self.renewed = now;
        let mut lease = self.lease.lock().unwrap();
        let (row, version) = self.world.read_row();
        let is_holding = lease.fencing_token(now).is_some();
        // A holder that has not read the row yet renews its last write.
        let is_blind = self.world.has(Fault::Drills) && self.world.chance(500);
        let goes_on = (is_holding && (is_blind || version == lease.version()))
            || lease.adopt_restored(row.as_ref(), version, now);
        if !goes_on {
            lease.observe(row, version, now);
        }
        if let LeaseAction::Write(expected) = lease.next_action(now) {
            let own = LeaseRow {
                holder: self.name.clone(),
                address: ([127, 0, 0, 1], 7).into(),
                released: false,
                era: table::era(expected),
                successors: None,
                heard: None,
                expiring: None,
            };
            if let Some(version) = self.world.write_row(expected, own) {
                lease.record_write(version, now);
            }
        }
    }

    fn plan(&mut self) {
        let now = self.world.now();
        while let Ok(event) = self.events.try_recv() {
            match event {
                Event::Ended(id, change, ticket, result) => {
                    if let Some(record) = self.records.get_mut(&id) {
                        record.finish_change(&change, &ticket, result, now);
                    }
                }
                Event::Reported(id, report, requested) => {
                    if let Some(record) = self.records.get_mut(&id) {
                        record.apply_report(report, requested);
                    }
                }
            }
        }
        let (token, held) = {
            let lease = self.lease.lock().unwrap();
            (lease.fencing_token(now), lease.term())
        };
        let Some(token) = token else {
            self.records.leave_lost_term(held, now);
            return;
        };
        self.records.enter_term(token, now);
        self.sync(now);
        self.request_reports(now);
        let fleet = Fleet {
            engines: self.records.states("writers", |_, _| 0, now),
            demand: self.demand(now),
            ..Fleet::default()
        };
        let room = StoreCapacity {
            slots: 4,
            tokens: 4,
        };
        for step in plan(&properties(), &fleet, room, now) {
            self.start(&step.engine, step.action);
        }
    }

    fn sync(&mut self, now: Duration) {
        let mut listed = Vec::new();
        for id in ENGINES {
            let gaps = self.world.has(Fault::ListGaps);
            if gaps && self.world.chance(5) {
                let gap = self.world.millis(50, 600);
                self.missing.insert(id.to_owned(), now + gap);
            }
            if self.missing.get(id).is_some_and(|until| now < *until) {
                continue;
            }
            let unknown = gaps && self.world.chance(10);
            listed.push(ListedEndpoint {
                id: id.to_owned(),
                started_ms: if unknown {
                    0
                } else {
                    self.world.endpoint(id).start_ms
                },
                ready: true,
                paused: false,
                limit: None,
            });
        }
        let describe = |id: &str| Some(self.world.endpoint(id));
        self.records.sync("writers", &listed, describe, now);
    }

    /// Requests wait for some models and adapters, others at each moment.
    fn demand(&self, now: Duration) -> BTreeMap<Target, TargetDemand> {
        let mut demand = BTreeMap::new();
        for _ in 0..3 {
            let model = MODELS[usize::try_from(self.world.pick(7)).unwrap()];
            let adapter = self.world.chance(500).then(|| self.world.pick(4));
            let target = Target {
                model: model.to_owned(),
                adapter: adapter.map(|a| format!("a{a}")),
            };
            let waiting = TargetDemand {
                waiting: 1,
                oldest_arrival: now,
                request_rate: 0.1,
                ..TargetDemand::default()
            };
            demand.insert(target, waiting);
        }
        demand
    }

    fn request_reports(&mut self, now: Duration) {
        for id in ENGINES {
            let last = self.reported.entry(id.to_owned()).or_default();
            if now < *last + REPORT_INTERVAL {
                continue;
            }
            *last = now;
            let (port, sender) = (self.port(id), self.sender.clone());
            tokio::spawn(async move {
                if let Ok(report) = port.report().await {
                    let event = Event::Reported(id.to_owned(), report, now);
                    sender.send(event).unwrap();
                }
            });
        }
    }

    fn start(&mut self, id: &str, change: EngineAction) {
        let now = self.world.now();
        let time = match &change {
            EngineAction::LoadModel { .. } => Duration::from_millis(800),
            EngineAction::LoadAdapter { .. } => Duration::ZERO,
        };
        let port = self.port(id);
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let ticket = record.begin_change(&change, now + time);
        let orders = OrderSender {
            port: Box::new(port),
            engine: id.to_owned(),
            holder: self.name.clone(),
            ticket: ticket.clone(),
        };
        let sender = self.sender.clone();
        let id = id.to_owned();
        tokio::spawn(async move {
            let result = orders.execute(&change, time).await;
            let ended = Event::Ended(id, change, ticket, result);
            sender.send(ended).unwrap();
        });
    }

    fn port(&self, id: &str) -> Port {
        Port {
            world: Arc::clone(&self.world),
            lease: Arc::clone(&self.lease),
            holder: self.name.clone(),
            engine: id.to_owned(),
        }
    }
}

/// Properties of the simulated engines.
fn properties() -> Properties {
    let model = Model {
        weights_mb: 70.0,
        cold_load: Duration::from_secs(3),
        disk_load: Duration::from_millis(800),
        warm_load: Duration::from_millis(800),
        adapter_count: 4,
        adapter_mb: 0.1,
    };
    assert!(load_time(&model, WeightSource::Disk) < model.cold_load);
    Properties {
        slots: 8,
        cache_tokens: 10_000,
        memory_mb: 70.0 * f64::from(u32::try_from(MODELS_FIT).unwrap()) + 5.0,
        adapter_slots: u32::try_from(ADAPTER_SLOTS).unwrap(),
        load_rate: 4.0,
        disk_mb: 1000.0,
        backups: false,
        models: MODELS
            .iter()
            .map(|m| ((*m).to_owned(), model.clone()))
            .collect(),
    }
}

#[derive(Debug)]
struct Port {
    world: Arc<World>,
    lease: Arc<Mutex<Lease>>,
    holder: String,
    engine: String,
}

impl EnginePort for Port {
    fn now(&self) -> Duration {
        self.world.now()
    }

    fn fencing_token(&self) -> Option<u64> {
        self.lease.lock().unwrap().fencing_token(self.world.now())
    }

    fn send<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, OrderAnswer> {
        Box::pin(async move {
            self.world.record_send(&self.holder, order);
            sleep(self.world.millis(1, 20)).await;
            if self.world.has(Fault::LateOrders) && self.world.chance(80) {
                let (world, order) = (Arc::clone(&self.world), order.clone());
                let sent_to = world.incarnation(&order.endpoint);
                tokio::spawn(async move {
                    sleep(world.millis(100, 5000)).await;
                    // A connection ends with its process.
                    if world.incarnation(&order.endpoint) == sent_to {
                        world.receive(&order);
                    }
                });
                sleep(Duration::from_millis(700)).await;
                return OrderAnswer::Unknown;
            }
            let answer = self.world.receive(order);
            if self.world.has(Fault::LostAnswers) && self.world.chance(80) {
                sleep(Duration::from_millis(700)).await;
                return OrderAnswer::Unknown;
            }
            sleep(self.world.millis(1, 20)).await;
            answer
        })
    }

    fn report(&self) -> BoxFuture<'_, Result<Report, NoReport>> {
        Box::pin(async move {
            let report = self.world.report(&self.engine);
            // A busy instance reads the answer late.
            sleep(self.world.millis(1, 400)).await;
            let lost = self.world.chance(30);
            report.filter(|_| !lost).ok_or(NoReport::Unreachable)
        })
    }

    fn listed(&self) -> Option<Endpoint> {
        Some(self.world.endpoint(&self.engine))
    }
}
