//! The configuration in force: routes, services and what engines can hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What may be done with a request that has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another endpoint after the last event passed on.
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

/// A service that takes a share of a route's requests.
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
    /// Host that requests name.
    pub host: String,
    /// Start of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time from the request to the end of its answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers expect.
    pub latency_objective: Duration,
    /// Rank among the routes of a service; 0 is the most urgent.
    pub priority: u8,
    /// Services, with their shares.
    pub backends: Vec<Backend>,
    /// Most endpoints on which one request may run.
    pub max_attempts: u32,
    /// Longest pause between events that callers accept as timely.
    pub gap_objective: Option<Duration>,
}

impl Route {
    /// The service for a request, by a uniform draw from 0 to 1.
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
        }
    }
}

/// A model that engines can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Time to load from the weight store, where few loads run.
    pub cold_load: Duration,
    /// Time to load from the endpoint's disk.
    pub disk_load: Duration,
    /// Time to load from the endpoint's main memory.
    pub warm_load: Duration,
    /// Number of its adapters.
    pub adapter_count: u32,
    /// Memory of each adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that its cache holds.
    pub cache_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Adapters that one engine holds at most.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub load_rate: f64,
    /// Copies of weights that fit an engine's disk, in megabytes.
    pub disk_mb: f64,
    /// Whether an engine copies the memory of running requests to another.
    pub backups: bool,
    /// The models, by name.
    pub models: BTreeMap<String, Model>,
}

/// A service and its endpoints' properties.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts over all instances.
    pub max_connections: u32,
    /// The engines, where the endpoints are model servers.
    pub engine: Option<Engine>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
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
    /// Version; only rises.
    pub version: u64,
    /// Services, by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds of what callers may send.
    pub limits: Limits,
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
            routes: hosts,
        }
    }

    /// The route with the longest prefix of a path, among the routes of a host.
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

    /// The services whose endpoints are model servers, with what their engines can do.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        let services = self.services.iter();
        services.filter_map(|(name, s)| Some((name.as_str(), s.engine.as_ref()?)))
    }
}
