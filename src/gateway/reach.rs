//! Whether this instance has a path to the endpoints of each service.
//!
//! An instance may be partitioned from all endpoints while callers, the store and other instances
//! reach it. Failed connects to several endpoints in a row show it, and probes show its end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::shared::Gateway;
use crate::outbound::LastConnect;

/// Age up to which the outcome of a connect counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(4);
/// Endpoints in a row without a connection that make a service out of reach, if it has as many.
const MIN_FAILED: usize = 3;
/// Age up to which a failed connect leads to probes.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Interval between two checks while a service may be out of reach.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Outcomes of the last connects to the endpoints of a service, by time since then.
#[derive(Debug, Clone, Default)]
pub struct ServiceReach {
    endpoints: usize,
    /// Times since connects that failed after the last one that succeeded.
    failed: Vec<Duration>,
}

impl ServiceReach {
    /// Evaluates the last outcome at each endpoint: whether it was opened, and the time since then.
    #[must_use]
    pub fn new(outcomes: &[Option<(bool, Duration)>]) -> Self {
        let known = || outcomes.iter().flatten();
        let opened = known().filter(|(opened, _)| *opened);
        let last_opened = opened.map(|(_, age)| *age).min().unwrap_or(Duration::MAX);
        let failed = known().filter(|(opened, age)| !opened && *age < last_opened);
        Self {
            endpoints: outcomes.len(),
            failed: failed.map(|(_, age)| *age).collect(),
        }
    }

    /// Whether no endpoint of the service can be reached.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::reach::ServiceReach;
    ///
    /// let failed = |age| Some((false, Duration::from_millis(age)));
    /// let opened = |age| Some((true, Duration::from_millis(age)));
    /// assert!(ServiceReach::new(&[failed(100), failed(300), failed(50)]).is_cut_off());
    /// assert!(!ServiceReach::new(&[failed(100), opened(70), failed(50)]).is_cut_off());
    /// ```
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let recent = self.failed.iter().filter(|age| **age < EVIDENCE_TTL);
        self.endpoints > 0 && recent.count() >= MIN_FAILED.min(self.endpoints)
    }

    /// Whether the service may be out of reach.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_cut_off() || self.failed.iter().any(|age| *age < SUSPECT_TIME)
    }
}

/// Keeps [`Gateway::cut_services`] up to date until the process ends.
pub async fn watch(gateway: Arc<Gateway>) {
    let connects = Arc::clone(gateway.outbound.connects());
    loop {
        connects.failed.notified().await;
        let mut probed_at: Option<Instant> = None;
        while update(&gateway) {
            if probed_at.is_none_or(|at| at.elapsed() >= PROBE_INTERVAL) {
                probed_at = Some(Instant::now());
                probe_services(&gateway);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Records the services that cannot be reached; returns whether any may be out of reach.
fn update(gateway: &Gateway) -> bool {
    let mut is_suspect = false;
    let mut cut = BTreeSet::new();
    for (service, addresses) in gateway.servers.ready_addresses() {
        let outcomes: Vec<_> = addresses
            .iter()
            .map(|to| gateway.outbound.connects().last(*to).map(age))
            .collect();
        let reach = ServiceReach::new(&outcomes);
        is_suspect |= reach.is_suspect();
        if reach.is_cut_off() {
            cut.insert(service);
        }
    }
    gateway.cut_services.send_if_modified(|known| {
        if *known == cut {
            return false;
        }
        let names = cut.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        log::warn!(services = names.as_str(); "services out of reach changed");
        *known = cut;
        true
    });
    is_suspect
}

fn age(last: LastConnect) -> (bool, Duration) {
    (last.opened, last.at.elapsed())
}

/// Opens connections to some endpoints of each service, those first that were not tried for longest.
fn probe_services(gateway: &Gateway) {
    for (service, addresses) in gateway.servers.ready_addresses() {
        let is_cut = gateway.cut_services.borrow().contains(&service);
        let count = if is_cut { 1 } else { MIN_FAILED };
        for to in least_recent(gateway, addresses).into_iter().take(count) {
            let outbound = gateway.outbound.clone();
            tokio::spawn(async move { outbound.probe(to).await });
        }
    }
}

fn least_recent(gateway: &Gateway, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let connects = gateway.outbound.connects();
    addresses.sort_by_key(|to| connects.last(*to).map(|last| last.at));
    addresses
}

impl Gateway {
    /// Whether this instance has no path to the endpoints of a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.cut_services.borrow().contains(service)
    }

    /// Whether this instance has no path to any engine, so that its orders would reach none.
    #[must_use]
    pub fn is_cut_off_from_engines(&self) -> bool {
        let Some(catalog) = self.catalog() else {
            return false;
        };
        let cut = self.cut_services.borrow();
        let mut services = catalog.engines().map(|(service, _)| service).peekable();
        services.peek().is_some() && services.all(|service| cut.contains(service))
    }
}
