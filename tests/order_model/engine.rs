//! A simulated engine: what it holds, and what its reports say some hundred milliseconds later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use brassrack::gateway::orders::port::OrderAnswer;
use brassrack::gateway::protocol::{Action, HeldModels, Order, Report, Target};

/// Models that fit into an engine's memory.
pub(crate) const MODELS_FIT: usize = 3;
/// Adapters that an engine has places for.
pub(crate) const ADAPTER_SLOTS: usize = 3;
/// Time that an adapter is in transit.
const ADAPTER_TIME: Duration = Duration::from_millis(30);
/// Snapshots kept for late reports.
const SNAPSHOTS: usize = 64;

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) born: u64,
    pub(crate) accepted: u64,
    pub(crate) models: HeldModels,
    /// Adapters that requests use at present.
    pub(crate) used: BTreeSet<Target>,
    coming: BTreeMap<Target, Duration>,
    /// Order that is being carried out, and when it ends.
    task: Option<(Action, String, Duration)>,
    snapshots: VecDeque<(Duration, Report)>,
    pub(crate) findings: Vec<String>,
}

impl Engine {
    pub(crate) fn new(models: &[&str]) -> Self {
        let held = models.iter().map(|m| ((*m).to_owned(), BTreeSet::new()));
        let mut engine = Self {
            born: 1,
            accepted: 0,
            models: held.collect(),
            used: BTreeSet::new(),
            coming: BTreeMap::new(),
            task: None,
            snapshots: VecDeque::new(),
            findings: Vec::new(),
        };
        engine.snapshot(Duration::ZERO);
        engine
    }

    /// Starts again under the same id: it holds nothing and counts from the beginning.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.settle(now);
        self.born += 1;
        self.accepted = 0;
        self.models.clear();
        self.coming.clear();
        self.task = None;
        self.snapshots.clear();
        self.snapshot(now);
    }

    /// Carries out an order that arrives now.
    pub(crate) fn receive(&mut self, order: &Order, work: Duration, now: Duration) -> OrderAnswer {
        self.settle(now);
        if self.task.is_some() || self.accepted != order.expected_orders {
            return OrderAnswer::Conflict;
        }
        let held = order.target.held_in(&self.models);
        let answer = match (order.action, order.target.adapter.is_some()) {
            (Action::Load, false) if held => OrderAnswer::Holds,
            (Action::Load, false) => self.begin(order, work, now),
            (Action::Unload, false) if !held => OrderAnswer::Holds,
            (Action::Unload, false) => self.begin(order, work / 8, now),
            (Action::Load, true) => self.load_adapter(order, now),
            (Action::Unload, true) => self.unload_adapter(&order.target),
        };
        self.snapshot(now);
        answer
    }

    fn begin(&mut self, order: &Order, work: Duration, now: Duration) -> OrderAnswer {
        if order.action == Action::Load && self.models.len() >= MODELS_FIT {
            let held: Vec<_> = self.models.keys().collect();
            let finding = format!("{now:?}: {order:?} beside {held:?}");
            self.findings.push(finding);
        }
        self.accepted += 1;
        let model = order.target.model.clone();
        self.task = Some((order.action, model, now + work));
        OrderAnswer::Accepted
    }

    fn load_adapter(&mut self, order: &Order, now: Duration) -> OrderAnswer {
        let target = &order.target;
        if !self.models.contains_key(&target.model) {
            return OrderAnswer::Refused;
        }
        if target.held_in(&self.models) || self.coming.contains_key(target) {
            return OrderAnswer::Holds;
        }
        let held: usize = self.models.values().map(BTreeSet::len).sum();
        if held + self.coming.len() >= ADAPTER_SLOTS {
            let finding = format!("{now:?}: {order:?} beside {held} adapters");
            self.findings.push(finding);
        }
        self.accepted += 1;
        self.coming.insert(target.clone(), now + ADAPTER_TIME);
        OrderAnswer::Accepted
    }

    fn unload_adapter(&mut self, target: &Target) -> OrderAnswer {
        if !target.held_in(&self.models) {
            return OrderAnswer::Holds;
        }
        if self.used.contains(target) {
            return OrderAnswer::Conflict;
        }
        self.accepted += 1;
        if let Some(adapters) = self.models.get_mut(&target.model) {
            adapters.remove(target.adapter_name());
        }
        OrderAnswer::Holds
    }

    /// Ends what has ended by now.
    pub(crate) fn settle(&mut self, now: Duration) {
        let arrived: Vec<(Duration, Target)> = self
            .coming
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(target, at)| (*at, target.clone()))
            .collect();
        for (at, target) in arrived {
            self.coming.remove(&target);
            if let Some(adapters) = self.models.get_mut(&target.model) {
                adapters.extend(target.adapter);
            }
            self.snapshot(at);
        }
        let Some((action, model, until)) = self.task.take_if(|(_, _, until)| *until <= now) else {
            return;
        };
        match action {
            Action::Load => {
                self.models.insert(model, BTreeSet::new());
            }
            Action::Unload => {
                self.models.remove(&model);
                self.coming.retain(|t, _| t.model != model);
            }
        }
        self.snapshot(until);
    }

    fn snapshot(&mut self, at: Duration) {
        let report = Report {
            start_ms: self.born,
            accepted_orders: self.accepted,
            executing: self.task.is_some(),
            models: self.models.clone(),
            loading_adapters: self.coming.keys().cloned().collect(),
            ..Report::default()
        };
        self.snapshots.push_back((at, report));
        if self.snapshots.len() > SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// The report as of a time in the past.
    pub(crate) fn report_at(&mut self, at: Duration, now: Duration) -> Option<Report> {
        self.settle(now);
        let past = self.snapshots.iter().rev().find(|(when, _)| *when <= at);
        past.or(self.snapshots.front()).map(|(_, r)| r.clone())
    }
}
