//! Engines, the lease row and the server list, with the faults of a case.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use brassrack::gateway::lease::LeaseRow;
use brassrack::gateway::orders::port::OrderAnswer;
use brassrack::gateway::protocol::{Endpoint, EndpointState, Order, Report, Target};
use brassrack::table;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::engine::Engine;

/// Time that must lie between the orders of two holders.
const HANDOVER: Duration = Duration::from_secs(3);
/// Ids of the engines.
pub(crate) const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
/// Models that may be asked for.
pub(crate) const MODELS: [&str; 7] = ["m1", "m2", "m3", "m4", "m5", "m6", "m7"];

/// Kind of fault of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Orders are carried out, and their answers are lost.
    LostAnswers,
    /// Orders have no answer and are carried out seconds later.
    LateOrders,
    /// A holder is turned away by the store for a while.
    Outages,
    /// Engines restart under their ids.
    Restarts,
    /// Entries of the server list come and go, or miss their start time.
    ListGaps,
    /// The store comes back from an older copy of the row and gives versions out again.
    Drills,
}

pub(crate) const ALL_FAULTS: &[Fault] = &[
    Fault::LostAnswers,
    Fault::LateOrders,
    Fault::Outages,
    Fault::Restarts,
    Fault::ListGaps,
];

/// All faults, and drills of the store.
pub(crate) const FAULTS_AND_DRILLS: &[Fault] = &[
    Fault::LostAnswers,
    Fault::LateOrders,
    Fault::Outages,
    Fault::Restarts,
    Fault::ListGaps,
    Fault::Drills,
];

/// The lease row.
#[derive(Debug, Default)]
pub(crate) struct Row {
    pub(crate) value: Option<LeaseRow>,
    /// Number that the store gave out for it; 0 where there is no row.
    pub(crate) number: u64,
    pub(crate) era: u64,
    /// Earlier states.
    copies: Vec<(Option<LeaseRow>, u64)>,
}

impl Row {
    fn version(&self) -> u64 {
        table::revision(self.era, self.number)
    }
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    row: Row,
    engines: BTreeMap<String, Engine>,
    /// Holder and time of the last order sent to each engine.
    senders: BTreeMap<String, (String, Duration)>,
    /// Holder and fence of the newest order to any engine.
    fence: (String, u64),
    findings: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct World {
    faults: &'static [Fault],
    begun: Instant,
    state: Mutex<State>,
}

impl World {
    pub(crate) fn new(seed: u64, faults: &'static [Fault]) -> Self {
        let engines = ENGINES.iter().enumerate().map(|(at, id)| {
            let held = [MODELS[at], MODELS[at + 1]];
            ((*id).to_owned(), Engine::new(&held))
        });
        Self {
            faults,
            begun: Instant::now(),
            state: Mutex::new(State {
                rng: StdRng::seed_from_u64(seed),
                row: Row::default(),
                engines: engines.collect(),
                senders: BTreeMap::new(),
                fence: (String::new(), 0),
                findings: Vec::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn now(&self) -> Duration {
        // A holder's clock starts well after zero, as that of a machine does.
        Duration::from_secs(100) + self.begun.elapsed()
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// A number below `limit`.
    pub(crate) fn pick(&self, limit: u64) -> u64 {
        self.state().rng.random_range(0..limit)
    }

    /// Whether an event of a chance in a thousand happens.
    pub(crate) fn chance(&self, per_mille: u64) -> bool {
        self.pick(1000) < per_mille
    }

    pub(crate) fn millis(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.pick(to - from))
    }

    pub(crate) fn findings(&self) -> Vec<String> {
        let state = self.state();
        let of_engines = state.engines.values().flat_map(|e| e.findings.clone());
        state.findings.iter().cloned().chain(of_engines).collect()
    }

    pub(crate) fn accepted_orders(&self) -> u64 {
        self.state().engines.values().map(|e| e.accepted).sum()
    }

    /// Writes the row if it has the expected number; none where the era is another one.
    pub(crate) fn write_row(&self, expected: u64, value: LeaseRow) -> Option<u64> {
        let mut state = self.state();
        let row = &mut state.row;
        if row.number != table::number(expected) {
            return None;
        }
        row.copies.push((row.value.clone(), row.number));
        row.number += 1 + u64::from(row.number.is_multiple_of(3));
        row.value = Some(value);
        (table::era(row.version()) == table::era(expected)).then(|| row.version())
    }

    pub(crate) fn read_row(&self) -> (Option<LeaseRow>, u64) {
        let state = self.state();
        (state.row.value.clone(), state.row.version())
    }

    /// Takes back some of the last writes of the row.
    fn restore(&self) {
        let back = usize::try_from(self.pick(40)).unwrap();
        let mut state = self.state();
        let row = &mut state.row;
        let at = row.copies.len().saturating_sub(back);
        if let Some((value, number)) = row.copies.get(at).cloned() {
            (row.value, row.number) = (value, number);
            row.copies.truncate(at);
        }
        row.era += 1;
    }

    /// Changes that come from nowhere: restarts, and adapters that requests begin or cease to use.
    pub(crate) fn disturb(&self) {
        let now = self.now();
        if self.has(Fault::Restarts) && self.chance(4) {
            let id = ENGINES[usize::try_from(self.pick(3)).unwrap()];
            self.state().engines.get_mut(id).unwrap().restart(now);
        }
        if self.has(Fault::Drills) && self.chance(5) {
            self.restore();
        }
        let flips = self.pick(1000) < 200;
        let id = ENGINES[usize::try_from(self.pick(3)).unwrap()];
        let mut state = self.state();
        let engine = state.engines.get_mut(id).unwrap();
        if flips {
            let adapters = engine.models.iter().flat_map(|(model, adapters)| {
                adapters.iter().map(|a| Target {
                    model: model.clone(),
                    adapter: Some(a.clone()),
                })
            });
            let first = adapters.into_iter().next();
            engine.used = first.into_iter().collect();
        } else {
            engine.used.clear();
        }
    }

    /// Records that a holder sends an order now.
    pub(crate) fn record_send(&self, holder: &str, order: &Order) {
        let now = self.now();
        let mut state = self.state();
        let sent = (holder.to_owned(), now);
        let last = state.senders.insert(order.endpoint.clone(), sent);
        if let Some((earlier, at)) = last
            && earlier != holder
            && now < at + HANDOVER
        {
            let finding = format!("{now:?}: {holder} after {earlier} at {at:?} to {order:?}");
            state.findings.push(finding);
        }
        let (before, fence) = state.fence.clone();
        let token = order.fencing_token;
        if token < fence || (before != holder && token == fence) {
            let finding = format!("{now:?}: fence {token} of {holder} after {fence} of {before}");
            state.findings.push(finding);
        }
        state.fence = (holder.to_owned(), token);
    }

    pub(crate) fn receive(&self, order: &Order) -> OrderAnswer {
        let work = self.millis(200, 1500);
        let now = self.now();
        let mut state = self.state();
        let engine = state.engines.get_mut(&order.endpoint).unwrap();
        engine.receive(order, work, now)
    }

    /// Number of the process that an engine runs as.
    pub(crate) fn incarnation(&self, id: &str) -> u64 {
        self.state().engines[id].born
    }

    pub(crate) fn report(&self, id: &str) -> Option<Report> {
        let lag = self.millis(50, 380);
        let now = self.now();
        let mut state = self.state();
        let engine = state.engines.get_mut(id).unwrap();
        engine.report_at(now.saturating_sub(lag), now)
    }

    /// The entry of an engine as listed some time ago.
    pub(crate) fn endpoint(&self, id: &str) -> Endpoint {
        let lag = self.millis(100, 900);
        let now = self.now();
        let mut state = self.state();
        let engine = state.engines.get_mut(id).unwrap();
        let report = engine
            .report_at(now.saturating_sub(lag), now)
            .unwrap_or_default();
        Endpoint {
            id: id.to_owned(),
            service: "writers".to_owned(),
            address: ([127, 0, 0, 1], 9).into(),
            domain: "east".to_owned(),
            software: "v1".into(),
            slots: 8,
            state: EndpointState::Ready,
            start_ms: report.start_ms,
            sequence: report.accepted_orders,
            disk_models: MODELS.iter().map(|m| (*m).to_owned()).collect(),
            memory_models: std::collections::BTreeSet::new(),
            models: report.models,
        }
    }
}
