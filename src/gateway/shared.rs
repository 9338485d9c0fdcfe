//! What all tasks of an instance share, and its settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::budget::{Allowance, Budgets};
use super::catalog::Catalog;
use super::edge::{Feed, Target, Wire};
use super::lease::LeaseTiming;
use super::servers::Servers;
use super::stats::Stats;
use super::suspicion::Suspicion;
use crate::clock::Clock;
use crate::metrics::MetricsError;
use crate::outbound::{Outbound, OutboundSettings};
use crate::table::Table;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which readiness is asked for.
    pub ready: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Addresses of other instances to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Time from the signal to stop until the process has to be gone.
    pub grace: Duration,
    /// Lengths of the lease.
    pub terms: LeaseTiming,
    /// Repeated sends that all instances share.
    pub allowance: Allowance,
    /// Window of the ceiling on loads.
    pub window: Duration,
    /// Time after which a new configuration has to be in force; also the longest wait of one call
    /// for it, so that a silent connection to the store is noticed about then.
    pub config: Duration,
    /// Time after which a draining endpoint has to be left alone.
    pub drain: Duration,
    /// Time after the store's return within which endpoints' entries are back.
    pub relist: Duration,
    /// Header in which endpoints repeat a request's id.
    pub echo: String,
    /// Connections that callers may open.
    pub connections: usize,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::from("brassrack-1"),
            domain: String::new(),
            callers: local,
            ready: local,
            peers: local,
            metrics: local,
            seeds: Vec::new(),
            grace: Duration::from_secs(8),
            terms: LeaseTiming::default(),
            allowance: Allowance::default(),
            window: Duration::from_secs(5),
            config: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            relist: Duration::from_secs(2),
            echo: crate::http::REQUEST_ID.to_owned(),
            connections: 2048,
        }
    }
}

/// Edges of the process towards the platform.
#[derive(Debug, Clone)]
pub struct Edges {
    /// Protocol.
    pub wire: Arc<dyn Wire>,
    /// Rows as they change.
    pub feed: Arc<dyn Feed>,
    /// Transactions.
    pub table: Arc<dyn Table>,
}

/// A version of the configuration, with the text that it was decoded from.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// Decoded.
    pub catalog: Arc<Catalog>,
    /// As the operator wrote it.
    pub text: Arc<str>,
}

/// What a model or adapter of a service is asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Asked {
    /// Requests that wait, by their number, each with its arrival.
    pub waiting: BTreeMap<u64, Duration>,
    /// Requests that came since the lease holder was told last.
    pub arrivals: u32,
}

/// Service and model.
pub type BoardKey = (String, Target);

/// Demand at this instance.
#[derive(Debug, Default)]
pub struct Board {
    asked: Mutex<BTreeMap<BoardKey, Asked>>,
    next: Mutex<u64>,
    /// Wakes whoever tells the lease holder.
    pub changed: Notify,
}

impl Board {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<BoardKey, Asked>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request.
    pub fn arrive(&self, service: &str, target: &Target) {
        let key = (service.to_owned(), target.clone());
        self.lock().entry(key).or_default().arrivals += 1;
    }

    /// Registers a request that waits, until the guard is dropped.
    pub fn wait(self: &Arc<Self>, service: &str, target: &Target, now: Duration) -> WaitGuard {
        let number = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            *next
        };
        let key = (service.to_owned(), target.clone());
        let mut asked = self.lock();
        asked
            .entry(key.clone())
            .or_default()
            .waiting
            .insert(number, now);
        drop(asked);
        self.changed.notify_one();
        WaitGuard {
            board: Arc::clone(self),
            key,
            number,
        }
    }

    /// Takes the demand; arrivals begin anew.
    #[must_use]
    pub fn take(&self) -> BTreeMap<BoardKey, Asked> {
        let mut asked = self.lock();
        let taken = asked.clone();
        asked.retain(|_, a| {
            a.arrivals = 0;
            !a.waiting.is_empty()
        });
        taken
    }
}

/// A request that waits for a model.
#[derive(Debug)]
pub struct WaitGuard {
    board: Arc<Board>,
    key: BoardKey,
    number: u64,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(asked) = self.board.lock().get_mut(&self.key) {
            asked.waiting.remove(&self.number);
        }
    }
}

/// Shared by all tasks of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// Time.
    pub clock: Clock,
    /// Edges.
    pub edges: Edges,
    /// Configuration in force.
    pub in_force: watch::Sender<Option<InForce>>,
    /// Endpoints.
    pub servers: Servers,
    /// Whether the server list is known.
    pub listed: watch::Sender<bool>,
    /// Connections to endpoints.
    pub outbound: Outbound,
    /// Demand.
    pub board: Arc<Board>,
    /// Counters.
    pub stats: Stats,
    /// Whether the instance is stopping.
    pub stopping: watch::Sender<bool>,
    /// When the process ends, once it is told to stop.
    pub ending: watch::Sender<Option<Duration>>,
    /// Whether open connections close after their requests.
    pub closing: watch::Sender<bool>,
    /// Whether this instance gives orders.
    pub holding: watch::Sender<bool>,
    /// Times until cold models can be served, as the lease holder told.
    pub estimates: Mutex<BTreeMap<BoardKey, (Duration, Duration)>>,
    budgets: Mutex<Budgets>,
    suspicion: Mutex<Suspicion>,
}

/// Instances that are assumed before the lease holder has told how many live.
const ASSUMED_INSTANCES: u32 = 8;

impl Gateway {
    /// What an instance begins with.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the metrics cannot be set up.
    pub fn new(settings: GatewaySettings, edges: Edges) -> Result<Arc<Self>, MetricsError> {
        let outbound = Outbound::new(OutboundSettings {
            connect: CONNECT,
            idle: KEPT_IDLE,
            kept: KEPT,
            echo: settings.echo.clone(),
            ..OutboundSettings::default()
        });
        Ok(Arc::new(Self {
            clock: Clock::Boot,
            edges,
            in_force: watch::Sender::new(None),
            servers: Servers::default(),
            listed: watch::Sender::new(false),
            outbound,
            board: Arc::default(),
            stats: Stats::new()?,
            stopping: watch::Sender::new(false),
            ending: watch::Sender::new(None),
            closing: watch::Sender::new(false),
            holding: watch::Sender::new(false),
            estimates: Mutex::default(),
            budgets: Mutex::new(Budgets::new(settings.allowance, ASSUMED_INSTANCES)),
            suspicion: Mutex::default(),
            settings,
        }))
    }

    /// Time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        let in_force = self.in_force.borrow();
        in_force.as_ref().map(|f| Arc::clone(&f.catalog))
    }

    /// Whether the instance takes new connections.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.in_force.borrow().is_some() && *self.listed.borrow() && !*self.stopping.borrow()
    }

    /// Whether this instance gives orders.
    #[must_use]
    pub fn holding(&self) -> bool {
        *self.holding.borrow()
    }

    /// Whether a request that may take some time still ends before the process does.
    #[must_use]
    pub fn outlives(&self, time: Duration) -> bool {
        let ending = *self.ending.borrow();
        !*self.closing.borrow() || ending.is_none_or(|end| self.now() + time < end)
    }

    /// Waits until the process is about to end.
    pub async fn about_to_end(&self) {
        let mut ending = self.ending.subscribe();
        let Ok(end) = ending.wait_for(Option::is_some).await.map(|end| *end) else {
            return std::future::pending().await;
        };
        let left = end.unwrap_or_default().saturating_sub(self.now());
        tokio::time::sleep(left.saturating_sub(LAST_ANSWERS)).await;
    }

    /// The budgets of repeated sends.
    pub fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that crash endpoints.
    pub fn suspicion(&self) -> MutexGuard<'_, Suspicion> {
        self.suspicion
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn adopt_config(&self, text: &str, from: &'static str) {
        let catalog = match self.edges.wire.catalog(text) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(from = from, error:% = error;
                    "configuration cannot be read; the last one stays in force");
                return;
            }
        };
        let version = catalog.version;
        self.in_force.send_if_modified(|in_force| {
            let known = in_force.as_ref().map(|f| f.catalog.version);
            if known.is_some_and(|v| v >= version) {
                return false;
            }
            log::info!(from = from, version = version, before = known.unwrap_or_default();
                "configuration in force");
            *in_force = Some(InForce {
                catalog: Arc::new(catalog),
                text: Arc::from(text),
            });
            true
        });
    }

    /// Takes over an estimate of the time until a cold model can be served.
    pub fn estimate(&self, key: BoardKey, ready_in: Duration) {
        let now = self.now();
        let mut estimates = self
            .estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimates.retain(|_, (told, _)| now < *told + ESTIMATE_FRESH);
        estimates.insert(key, (now, ready_in));
    }

    /// Time until a cold model can be served, where the lease holder told lately.
    #[must_use]
    pub fn estimated(&self, service: &str, target: &Target) -> Option<Duration> {
        let now = self.now();
        let estimates = self
            .estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let base = Target::base(&target.model);
        let (told, ready_in) = *estimates.get(&(service.to_owned(), base))?;
        let age = now.saturating_sub(told);
        (age < ESTIMATE_FRESH).then(|| ready_in.saturating_sub(age))
    }
}

/// Time before the process ends at which requests without an answer are refused.
const LAST_ANSWERS: Duration = Duration::from_millis(300);
/// Longest time to open a connection to an endpoint: a lost opening packet is sent again after 1 s.
const CONNECT: Duration = Duration::from_millis(700);
/// Longest time that an idle connection counts as proved.
const KEPT_IDLE: Duration = Duration::from_millis(1500);
/// Idle connections to one endpoint: its connections are shared by all instances.
const KEPT: usize = 8;
/// Age after which an estimate no longer counts: a few of the lease holder's intervals.
const ESTIMATE_FRESH: Duration = Duration::from_millis(1500);
