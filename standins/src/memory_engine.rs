//! Model engines in memory, for tests that need no sockets.
//!
//! They refuse nothing for want of memory: what was in use at most stands in their ledger, so
//! that a test sees an overcommitment in place of having it hidden.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use brassrack::BoxFuture;
use brassrack::engine::{Action, Engine, EngineError, Order, Report, Residency, Resident};
use brassrack::rules::Fencing;

use crate::fault::{Effect, Switch};

/// One load that an engine began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loaded {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Boot id of the engine at that time.
    pub boot: String,
    /// Operation id of the order.
    pub op: String,
    /// Model.
    pub model: String,
}

/// What the engines did, by their own account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLedger {
    /// Loads begun, in order.
    pub loads: Vec<Loaded>,
    /// Most memory in use at once, by engine, in bytes.
    pub peak: BTreeMap<SocketAddr, u64>,
    /// Most replicas of each model at once over all engines.
    pub replicas: BTreeMap<String, usize>,
    /// Most loads in flight at once over all engines.
    pub flight: usize,
}

#[derive(Debug)]
struct Endpoint {
    fencing: Fencing,
    boot: u64,
    fence: u64,
    known: BTreeSet<String>,
    residents: Vec<Resident>,
    failed: Vec<String>,
    up: bool,
    stale: Option<Report>,
}

#[derive(Debug, Default)]
struct State {
    endpoints: BTreeMap<SocketAddr, Endpoint>,
    held: Vec<(SocketAddr, Order)>,
    hold: bool,
    repeat: bool,
    ledger: EngineLedger,
}

/// Engines in memory; clones share them, each with a fault switch of its own.
#[derive(Debug, Clone, Default)]
pub struct MemoryEngines {
    state: Arc<Mutex<State>>,
    /// Fault switch of orders and reports.
    pub switch: Switch,
}

impl MemoryEngines {
    /// Another client of the same engines with a fault switch of its own.
    #[must_use]
    pub fn client(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            switch: Switch::default(),
        }
    }

    /// Starts an engine.
    pub fn start(&self, address: SocketAddr, fencing: Fencing) {
        let endpoint = Endpoint {
            fencing,
            boot: 1,
            fence: 0,
            known: BTreeSet::new(),
            residents: Vec::new(),
            failed: Vec::new(),
            up: true,
            stale: None,
        };
        self.lock().endpoints.insert(address, endpoint);
    }

    /// Ends an engine's process; all its state is gone.
    pub fn crash(&self, address: SocketAddr) {
        self.with(address, |e| {
            e.up = false;
            e.residents.clear();
            e.known.clear();
            e.failed.clear();
            e.fence = 0;
            e.stale = None;
        });
    }

    /// Starts an engine that has crashed under a new boot id.
    pub fn restart(&self, address: SocketAddr) {
        self.crash(address);
        self.with(address, |e| {
            e.up = true;
            e.boot += 1;
        });
    }

    /// Holds orders back from now on, or lets them through again; what was held stays held.
    pub fn hold(&self, hold: bool) {
        self.lock().hold = hold;
    }

    /// Keeps a copy of each order from now on, as if the network repeated it late, or no more.
    pub fn repeat(&self, repeat: bool) {
        self.lock().repeat = repeat;
    }

    /// Delivers the orders that were held back, as they were sent.
    pub fn deliver(&self) {
        let held = std::mem::take(&mut self.lock().held);
        for (address, order) in held {
            let _refused = self.lock().accept(address, &order);
        }
    }

    /// Finishes the loads and unloads in progress at all engines.
    pub fn advance(&self) {
        let mut state = self.lock();
        for endpoint in state.endpoints.values_mut() {
            endpoint
                .residents
                .retain(|r| r.state != Residency::Unloading);
            for resident in &mut endpoint.residents {
                resident.state = Residency::Ready;
            }
        }
    }

    /// Fails the loads in progress at one engine.
    pub fn fail_loads(&self, address: SocketAddr) {
        self.with(address, |e| {
            let (lost, kept) = std::mem::take(&mut e.residents)
                .into_iter()
                .partition(|r| r.state == Residency::Loading);
            e.residents = kept;
            let lost: Vec<Resident> = lost;
            e.failed.extend(lost.into_iter().map(|r| r.op));
        });
    }

    /// Answers with the present report from now on, or with the true one again.
    pub fn freeze_report(&self, address: SocketAddr, frozen: bool) {
        self.with(address, |e| e.stale = frozen.then(|| e.report()));
    }

    /// Replicas at one engine.
    #[must_use]
    pub fn residents(&self, address: SocketAddr) -> Vec<Resident> {
        let state = self.lock();
        let endpoint = state.endpoints.get(&address);
        endpoint.map_or_else(Vec::new, |e| e.residents.clone())
    }

    /// What the engines did.
    #[must_use]
    pub fn ledger(&self) -> EngineLedger {
        self.lock().ledger.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with(&self, address: SocketAddr, change: impl FnOnce(&mut Endpoint)) {
        if let Some(endpoint) = self.lock().endpoints.get_mut(&address) {
            change(endpoint);
        }
    }
}

impl Endpoint {
    fn boot_id(&self) -> String {
        format!("boot-{}", self.boot)
    }

    fn report(&self) -> Report {
        let fence = match self.fencing {
            Fencing::Checked => self.fence,
            Fencing::Ignored => 0,
        };
        Report {
            boot: self.boot_id(),
            fence,
            residents: self.residents.clone(),
            failed: self.failed.clone(),
            cached: Vec::new(),
        }
    }
}

impl State {
    fn accept(&mut self, address: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let Some(endpoint) = self.endpoints.get_mut(&address).filter(|e| e.up) else {
            return Err(EngineError::Unreachable("no engine".into()));
        };
        if endpoint.fencing == Fencing::Checked && order.fence < endpoint.fence {
            return Err(EngineError::StaleFence);
        }
        endpoint.fence = endpoint.fence.max(order.fence);
        if !endpoint.known.insert(order.op.clone()) {
            return Ok(());
        }
        match order.action {
            Action::Load => self.load(address, order),
            Action::Unload => endpoint.unload(&order.model),
        }
        Ok(())
    }

    fn load(&mut self, address: SocketAddr, order: &Order) {
        let Some(endpoint) = self.endpoints.get_mut(&address) else {
            return;
        };
        endpoint.residents.push(Resident {
            model: order.model.clone(),
            op: order.op.clone(),
            state: Residency::Loading,
            bytes: order.bytes,
            running: 0,
            queued: 0,
            served: 0,
        });
        let boot = endpoint.boot_id();
        let used: u64 = endpoint.residents.iter().map(|r| r.bytes).sum();
        let peak = self.ledger.peak.entry(address).or_default();
        *peak = used.max(*peak);
        self.ledger.loads.push(Loaded {
            address,
            boot,
            op: order.op.clone(),
            model: order.model.clone(),
        });
        self.count(&order.model);
    }

    fn count(&mut self, model: &str) {
        let all = || self.endpoints.values().flat_map(|e| &e.residents);
        let replicas = all().filter(|r| r.model == model).count();
        let flight = all().filter(|r| r.state == Residency::Loading).count();
        let most = self.ledger.replicas.entry(model.into()).or_default();
        *most = replicas.max(*most);
        self.ledger.flight = flight.max(self.ledger.flight);
    }
}

impl Endpoint {
    fn unload(&mut self, model: &str) {
        for resident in self.residents.iter_mut().filter(|r| r.model == model) {
            resident.state = Residency::Unloading;
        }
    }
}

impl MemoryEngines {
    async fn take_order(&self, to: SocketAddr, order: Order) -> Result<(), EngineError> {
        let effect = self.switch.next();
        match effect {
            Effect::Refuse => return Err(EngineError::Unreachable("fault switch".into())),
            Effect::Hang => return std::future::pending().await,
            _ if self.held_back(to, &order) => {
                return Err(EngineError::Unknown("held back".into()));
            }
            _ => {}
        }
        let answer = self.lock().accept(to, &order);
        answered(effect).await?;
        answer
    }

    fn held_back(&self, to: SocketAddr, order: &Order) -> bool {
        let mut state = self.lock();
        if state.hold || state.repeat {
            state.held.push((to, order.clone()));
        }
        state.hold
    }

    fn report_now(&self, from: SocketAddr) -> Result<Report, EngineError> {
        let state = self.lock();
        let endpoint = state.endpoints.get(&from).filter(|e| e.up);
        let endpoint = endpoint.ok_or_else(|| EngineError::Unreachable("no engine".into()))?;
        Ok(endpoint.stale.clone().unwrap_or_else(|| endpoint.report()))
    }
}

/// What becomes of the answer to a call that took effect.
async fn answered(effect: Effect) -> Result<(), EngineError> {
    match effect {
        Effect::Answer | Effect::Cross => Ok(()),
        Effect::Refuse => Err(EngineError::Unreachable("fault switch".into())),
        Effect::Delay(delay) => {
            tokio::time::sleep(delay).await;
            Ok(())
        }
        Effect::Lose | Effect::Late(_) | Effect::CutAfter(_) => {
            Err(EngineError::Unknown("fault switch".into()))
        }
        Effect::Hang | Effect::Mute => std::future::pending().await,
    }
}

impl Engine for MemoryEngines {
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(self.take_order(to, order))
    }

    fn report(&self, from: SocketAddr) -> BoxFuture<'_, Result<Report, EngineError>> {
        Box::pin(async move {
            answered(self.switch.next()).await?;
            self.report_now(from)
        })
    }
}
