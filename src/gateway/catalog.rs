//! The decoded configuration: routes, services and the properties of engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::accounts::Accounts;
use super::protocol::Target;

/// How a request whose answer is incomplete may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint can resume after the last event forwarded.
    Resumable,
}

impl RequestKind {
    /// Whether a request that may have run may be sent again.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::catalog::RequestKind;
    ///
    /// assert!(RequestKind::Safe.is_repeatable());
    /// assert!(!RequestKind::Stream.is_repeatable());
    /// ```
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other backends of the route.
    pub weight: u32,
}

/// A rule that sends requests to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Path prefix that starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated or resumed.
    pub kind: RequestKind,
    /// Time limit from the request to the end of its answer.
    pub timeout: Duration,
    /// Objective for the time to the answer, or to the first event of a stream.
    pub latency_objective: Duration,
    /// Priority among the routes of a service; 0 is the most urgent.
    pub priority: u8,
    /// Services, with their shares of the requests.
    pub backends: Vec<Backend>,
    /// Most endpoints at which one request may run.
    pub max_attempts: u32,
    /// Objective for the pause between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Whether its requests need no key where the configuration has accounts.
    pub is_public: bool,
}

impl Route {
    /// Picks the service for a request, given a uniform random number from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::catalog::{Backend, Route};
    ///
    /// let backend = |service: &str, weight| Backend { service: service.into(), weight };
    /// let route = Route { backends: vec![backend("a", 9), backend("b", 1)], ..Route::example() };
    /// assert_eq!(route.pick_service(0.5), Some("a"));
    /// assert_eq!(route.pick_service(0.95), Some("b"));
    /// ```
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.backends.iter().map(|b| b.weight).sum();
        let mut left = draw * f64::from(total);
        for backend in &self.backends {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.last().map(|b| b.service.as_str())
    }

    /// A route for examples and tests.
    #[must_use]
    pub fn example() -> Self {
        Self {
            name: "drafts".into(),
            host: "rack.example".into(),
            prefix: "/drafts/".into(),
            kind: RequestKind::Safe,
            timeout: Duration::from_secs(10),
            latency_objective: Duration::from_secs(1),
            priority: 0,
            backends: vec![Backend {
                service: "writers".into(),
                weight: 1,
            }],
            max_attempts: 2,
            gap_objective: None,
            is_public: false,
        }
    }
}

/// A model that engines can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Size of its weights in memory, in megabytes.
    pub weights_mb: f64,
    /// Time to load from the weight store while few loads are running.
    pub cold_load: Duration,
    /// Time to load from the endpoint's disk.
    pub disk_load: Duration,
    /// Time to load from the endpoint's main memory.
    pub warm_load: Duration,
    /// Number of adapters of the model.
    pub adapter_count: u32,
    /// Size of each adapter in memory, in megabytes.
    pub adapter_mb: f64,
}

/// Longest name of an adapter, in bytes.
const MAX_ADAPTER_NAME_BYTES: usize = 200;

/// Properties of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub cache_tokens: u64,
    /// Memory for weights and adapters together, in megabytes.
    pub memory_mb: f64,
    /// Most adapters that one engine holds.
    pub adapter_slots: u32,
    /// Model loads per second that the weight store allows over all engines.
    pub load_rate: f64,
    /// Disk space of an engine for copies of weights, in megabytes.
    pub disk_mb: f64,
    /// Whether an engine backs up the state of running requests at another engine.
    pub backups: bool,
    /// Models that the engines can hold, by name.
    pub models: BTreeMap<String, Model>,
}

/// Properties of a service and its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// Properties of the engines; none if the endpoints are not model servers.
    pub engine: Option<Engine>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time limit for the head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Version number, which only increases.
    pub version: u64,
    /// Services, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Client accounts; none where requests need no key.
    pub accounts: Option<Accounts>,
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Catalog {
    /// A configuration of these routes and services.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            services,
            limits,
            accounts: None,
            routes: hosts,
        }
    }

    /// The same configuration with client accounts; none where requests need no key.
    #[must_use]
    pub fn with_accounts(self, accounts: Option<Accounts>) -> Self {
        Self { accounts, ..self }
    }

    /// The route of a host with the longest prefix that matches a path.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use brassrack::gateway::catalog::{Catalog, Limits, Route};
    ///
    /// let catalog = Catalog::new(1, vec![Route::example()], BTreeMap::new(), Limits::default());
    /// assert!(catalog.match_route("rack.example:80", "/drafts/7").is_some());
    /// assert!(catalog.match_route("rack.example", "/draft").is_none());
    /// ```
    #[must_use]
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Longest time limit of a route.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.routes.values().flat_map(BTreeMap::values);
        routes.map(|r| r.timeout).max().unwrap_or_default()
    }

    /// Whether a service may have a target: its model is configured, and the name of its adapter is
    /// one that a store holds.
    #[must_use]
    pub fn has_target(&self, service: &str, target: &Target) -> bool {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        let has_model = engine.is_some_and(|e| e.models.contains_key(&target.model));
        has_model && target.adapter_name().len() <= MAX_ADAPTER_NAME_BYTES
    }

    /// The services whose endpoints are model servers, with the properties of their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        let services = self.services.iter();
        services.filter_map(|(name, s)| Some((name.as_str(), s.engine.as_ref()?)))
    }
}
