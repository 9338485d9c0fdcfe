//! State shared by all tasks of an instance, and the instance's settings.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore, watch};

use super::body_room::BodyRoom;
use super::budget::{RetryAllowance, RetryBudgets};
use super::catalog::Catalog;
use super::crash_parts::CrashParts;
use super::crash_suspects::CrashSuspects;
use super::exchange::{ConfigNotice, ExchangeState, MAX_TRANSFERS};
use super::lease::LeaseTiming;
use super::link::ToldLoads;
use super::protocol::{TableFeed, Target, WireProtocol};
use super::quotas::Quotas;
use super::room::RoomSharing;
use super::servers::Servers;
use super::stats::Stats;
use super::stream_origins::StreamOrigins;
use super::urgency::UrgencyMix;
use crate::clock::Clock;
use crate::metrics::MetricsError;
use crate::outbound::{Outbound, OutboundSettings};
use crate::table::Table;

mod demand;

pub use demand::{DemandKey, DemandTracker, ModelDemand, WaitGuard, WaitingRequest};

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Unique name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listen address for callers.
    pub callers_addr: SocketAddr,
    /// Listen address of the readiness check.
    pub ready_addr: SocketAddr,
    /// Listen address for other instances.
    pub peers_addr: SocketAddr,
    /// Listen address of the metrics.
    pub metrics_addr: SocketAddr,
    /// Addresses of other instances to contact at the start.
    pub seed_addrs: Vec<SocketAddr>,
    /// Time from the stop signal until the process must have exited.
    pub stop_grace: Duration,
    /// Durations of the lease.
    pub lease_terms: LeaseTiming,
    /// Retries allowed to all instances together.
    pub retry_allowance: RetryAllowance,
    /// Window of the rate limit on model loads.
    pub load_window: Duration,
    /// Time within which a new configuration must be in force.
    pub config_deadline: Duration,
    /// Time within which a draining endpoint must stop receiving requests.
    pub drain_deadline: Duration,
    /// Time after a disturbance from which the deadlines bind an instance again.
    pub stable_window: Duration,
    /// Time after the store recovers during which missing endpoints are kept.
    ///
    /// Endpoints list themselves again within this time.
    pub relist_grace: Duration,
    /// Header in which endpoints echo a request's id.
    pub echo_header: String,
    /// Most connections open from callers.
    pub max_connections: usize,
    /// Memory of the machine for this process, in bytes.
    pub memory_bytes: usize,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::from("brassrack-1"),
            domain: String::new(),
            callers_addr: local,
            ready_addr: local,
            peers_addr: local,
            metrics_addr: local,
            seed_addrs: Vec::new(),
            stop_grace: Duration::from_secs(8),
            lease_terms: LeaseTiming::default(),
            retry_allowance: RetryAllowance::default(),
            load_window: Duration::from_secs(5),
            config_deadline: Duration::from_secs(2),
            drain_deadline: Duration::from_secs(2),
            stable_window: Duration::from_secs(3),
            relist_grace: Duration::from_secs(2),
            echo_header: crate::http::REQUEST_ID.to_owned(),
            max_connections: 2048,
            memory_bytes: 256 << 20,
        }
    }
}

/// Interfaces to the platform.
#[derive(Debug, Clone)]
pub struct PlatformApi {
    /// Encodes and decodes the platform's protocol.
    pub wire: Arc<dyn WireProtocol>,
    /// Feed of changed rows.
    pub feed: Arc<dyn TableFeed>,
    /// Transactions and reads of rows.
    pub table: Arc<dyn Table>,
}

/// The configuration in force, with the text that it was decoded from.
#[derive(Clone, Default)]
pub struct ActiveConfig {
    /// Decoded configuration.
    pub catalog: Arc<Catalog>,
    /// Text as the operator wrote it, with the keys of accounts.
    pub text: Bytes,
}

impl fmt::Debug for ActiveConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ActiveConfig")
            .field("catalog", &self.catalog)
            .finish_non_exhaustive()
    }
}

/// State shared by all tasks of an instance.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the instance.
    pub settings: GatewaySettings,
    /// Source of the time.
    pub clock: Clock,
    /// Interfaces to the platform.
    pub platform: PlatformApi,
    /// Configuration in force.
    pub active_config: watch::Sender<Option<ActiveConfig>>,
    /// Known endpoints.
    pub servers: Servers,
    /// Whether the server list has been read.
    pub servers_listed: watch::Sender<bool>,
    /// Version of the server list at its last change of endpoints, here or at the lease holder.
    pub list_change: watch::Sender<u64>,
    /// When this instance last read the server list.
    pub list_read_at: watch::Sender<Duration>,
    /// When this instance last read the configuration.
    pub config_read_at: watch::Sender<Duration>,
    /// Whether the store's last answer about the configuration failed.
    pub config_lost: watch::Sender<bool>,
    /// Newest configuration in force at any instance, as the lease holder announces it.
    pub config_notice: watch::Sender<ConfigNotice>,
    /// Permits to send the text of the configuration to another instance.
    pub config_transfers: Semaphore,
    /// When a table of the store was last read after calls that failed.
    pub store_regained_at: watch::Sender<Duration>,
    /// Connections to endpoints.
    pub outbound: Outbound,
    /// Demand at this instance.
    pub demand: Arc<DemandTracker>,
    /// Metrics.
    pub stats: Stats,
    /// Whether the instance is stopping.
    pub stopping: watch::Sender<bool>,
    /// Time at which the process exits; none until it is told to stop.
    pub exit_time: watch::Sender<Option<Duration>>,
    /// Whether open connections are closed once their current request ends.
    pub closing_connections: watch::Sender<bool>,
    /// Services to whose endpoints this instance has no path.
    pub cut_services: watch::Sender<BTreeSet<String>>,
    /// Addresses of instances with a path to endpoints, for an instance without one.
    pub detours: watch::Sender<Vec<SocketAddr>>,
    /// Whether this instance holds the lease and gives orders.
    pub lease_held: watch::Sender<bool>,
    /// When the lease holder's estimate for a cold model arrived, and its time until ready.
    pub ready_estimates: Mutex<BTreeMap<DemandKey, (Duration, Duration)>>,
    /// As of when this instance knows what the store, the lease holder or another instance knew.
    pub known_at: watch::Sender<Duration>,
    pub(super) exchange: Mutex<ExchangeState>,
    budgets: Mutex<RetryBudgets>,
    crash_suspects: Mutex<CrashSuspects>,
    crash_parts: Mutex<CrashParts>,
    stream_origins: Mutex<StreamOrigins>,
    urgency: Mutex<UrgencyMix>,
    told_loads: Mutex<ToldLoads>,
    /// Quotas of client accounts.
    pub quotas: Quotas,
    /// Room of brittle endpoints.
    pub room: RoomSharing,
    /// Memory for the bodies of requests.
    pub body_room: Arc<BodyRoom>,
    /// Notified when another instance has reported where streams began.
    pub(super) origins_told: Notify,
}

/// Share of the memory that bodies of requests and answers may take, as a divisor.
const BODY_SHARE: usize = 4;
/// Share of the memory that answers may take of it, as a divisor of the whole.
const ANSWER_SHARE: usize = 16;
/// Assumed number of live instances until the lease holder has reported it.
pub(super) const DEFAULT_INSTANCES: u32 = 8;

impl Gateway {
    /// The initial state of an instance.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the metrics cannot be set up.
    pub fn new(
        settings: GatewaySettings,
        platform: PlatformApi,
    ) -> Result<Arc<Self>, MetricsError> {
        let answer_bytes = settings.memory_bytes / ANSWER_SHARE;
        let body_bytes = settings.memory_bytes / BODY_SHARE - answer_bytes;
        let outbound = Outbound::new(OutboundSettings {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_TIMEOUT,
            kept: MAX_IDLE_CONNECTIONS,
            echo: settings.echo_header.clone(),
            late_copy: LATE_COPY_TIME,
            memory: answer_bytes,
            ..OutboundSettings::default()
        });
        Ok(Arc::new(Self {
            clock: Clock::Boot,
            platform,
            active_config: watch::Sender::new(None),
            servers: Servers::default(),
            servers_listed: watch::Sender::new(false),
            list_change: watch::Sender::new(0),
            list_read_at: watch::Sender::new(Duration::ZERO),
            config_read_at: watch::Sender::new(Duration::ZERO),
            config_lost: watch::Sender::new(false),
            config_notice: watch::Sender::default(),
            config_transfers: Semaphore::new(MAX_TRANSFERS),
            store_regained_at: watch::Sender::new(Duration::ZERO),
            outbound,
            demand: Arc::default(),
            stats: Stats::new()?,
            stopping: watch::Sender::new(false),
            exit_time: watch::Sender::new(None),
            closing_connections: watch::Sender::new(false),
            cut_services: watch::Sender::new(BTreeSet::new()),
            detours: watch::Sender::new(Vec::new()),
            lease_held: watch::Sender::new(false),
            ready_estimates: Mutex::default(),
            known_at: watch::Sender::new(Duration::ZERO),
            exchange: Mutex::default(),
            budgets: Mutex::new(RetryBudgets::new(
                settings.retry_allowance,
                DEFAULT_INSTANCES,
            )),
            crash_suspects: Mutex::default(),
            crash_parts: Mutex::default(),
            stream_origins: Mutex::new(StreamOrigins::unknown()),
            urgency: Mutex::default(),
            told_loads: Mutex::default(),
            quotas: Quotas::new(rand::random()),
            room: RoomSharing::default(),
            body_room: BodyRoom::new(body_bytes),
            origins_told: Notify::new(),
            settings,
        }))
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        let active = self.active_config.borrow();
        active.as_ref().map(|f| Arc::clone(&f.catalog))
    }

    /// Whether the instance is ready for new connections.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.active_config.borrow().is_some()
            && *self.servers_listed.borrow()
            && !*self.stopping.borrow()
    }

    /// Whether this instance holds the lease and gives orders.
    #[must_use]
    pub fn holds_lease(&self) -> bool {
        *self.lease_held.borrow()
    }

    /// Whether a request that may take up to `time` can end before the process exits.
    #[must_use]
    pub fn can_finish(&self, time: Duration) -> bool {
        let exit_time = *self.exit_time.borrow();
        !*self.closing_connections.borrow() || exit_time.is_none_or(|end| self.now() + time < end)
    }

    /// Records that endpoints came, left or changed at a version of the server list.
    pub fn record_list_change(&self, version: u64) {
        self.list_change.send_if_modified(|known| {
            let is_newer = version > *known;
            *known = version.max(*known);
            is_newer
        });
    }

    /// Waits until shortly before the process exits.
    pub async fn wait_before_exit(&self) {
        let mut exit_time = self.exit_time.subscribe();
        let Ok(end) = exit_time.wait_for(Option::is_some).await.map(|end| *end) else {
            return std::future::pending().await;
        };
        let left = end.unwrap_or_default().saturating_sub(self.now());
        tokio::time::sleep(left.saturating_sub(EXIT_MARGIN)).await;
    }

    /// The retry budgets.
    pub fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests suspected of crashing endpoints.
    pub fn crash_suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        self.crash_suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Parts of prompts under which endpoints end.
    pub fn crash_parts(&self) -> MutexGuard<'_, CrashParts> {
        self.crash_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this instance knows what the store or another instance knew at a time.
    pub fn record_known(&self, at: Duration) {
        self.known_at.send_modify(|known| *known = at.max(*known));
    }

    /// Whether this instance has just heard from the store or another instance.
    ///
    /// One that was cut off or stood still may not know endpoints that have joined since.
    #[must_use]
    pub fn is_in_step(&self) -> bool {
        self.now() <= *self.known_at.borrow() + MAX_KNOWLEDGE_AGE
    }

    /// Software versions at which streams began.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.stream_origins
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Recent arrivals by priority.
    pub fn urgency(&self) -> MutexGuard<'_, UrgencyMix> {
        self.urgency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads from the weight store, as the lease holder told last.
    pub fn told_loads(&self) -> MutexGuard<'_, ToldLoads> {
        self.told_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force, unless the same or a newer version already is.
    pub fn activate_config(&self, text: &str, from: &'static str) {
        let mut catalog = match self.platform.wire.decode_catalog(text) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(from = from, error:% = error;
                    "failed to decode the configuration; the previous one stays in force");
                return;
            }
        };
        let version = catalog.version;
        self.stream_origins()
            .set_retention(catalog.longest_timeout() + ORIGIN_MARGIN);
        let is_new = self.active_config.send_if_modified(|active| {
            let known = active.as_ref().map(|f| f.catalog.version);
            if known.is_some_and(|v| v >= version) {
                return false;
            }
            let before = active.as_ref().and_then(|f| f.catalog.accounts.as_ref());
            if let (Some(accounts), Some(before)) = (&mut catalog.accounts, before) {
                accounts.record_removed(before, version);
            }
            let accounts = catalog.accounts.as_ref().map_or(0, |a| a.iter().count());
            log::info!(from = from, version = version, before = known.unwrap_or_default(),
                accounts = accounts, bytes = text.len(); "configuration in force");
            *active = Some(ActiveConfig {
                catalog: Arc::new(catalog),
                text: Bytes::copy_from_slice(text.as_bytes()),
            });
            true
        });
        if is_new {
            // The next report tells the lease holder who has the version.
            self.demand.changed.notify_one();
        }
    }

    /// Stores the lease holder's estimate of the time until a cold model can be served.
    pub fn set_estimate(&self, key: DemandKey, ready_in: Duration) {
        let now = self.now();
        let mut estimates = self
            .ready_estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimates.retain(|_, (received_at, _)| now < *received_at + ESTIMATE_TTL);
        estimates.insert(key, (now, ready_in));
    }

    /// Time until a cold model can be served, if a recent estimate is known.
    #[must_use]
    pub fn ready_estimate(&self, service: &str, target: &Target) -> Option<Duration> {
        let now = self.now();
        let estimates = self
            .ready_estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let base = Target::base(&target.model);
        let (received_at, ready_in) = *estimates.get(&(service.to_owned(), base))?;
        let age = now.saturating_sub(received_at);
        (age < ESTIMATE_TTL).then(|| ready_in.saturating_sub(age))
    }
}

/// Age of what an instance knows from which endpoints may have joined unseen; longer than the interval
/// of reads and updates.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_secs(1);
/// Time for which the origin of a stream is remembered beyond the longest timeout of a route.
const ORIGIN_MARGIN: Duration = Duration::from_secs(5);
/// Time before the process exits at which requests without an answer are refused.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time-out for connecting to an endpoint; below the 1 s after which a lost SYN is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time within which an endpoint may send a second copy of an answer.
const LATE_COPY_TIME: Duration = Duration::from_millis(500);
/// Idle time after which a pooled connection is no longer trusted to work.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most idle connections to one endpoint; all instances share the endpoint's connection limit.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Age after which an estimate is discarded: a few of the lease holder's reporting intervals.
const ESTIMATE_TTL: Duration = Duration::from_millis(1500);
