//! Whether this instance has a path to the endpoints of each service.
//!
//! An instance may be partitioned from all endpoints while callers, the store and other instances
//! reach it. Failed connects to several endpoints in a row show it, and probes show its end. A crash
//! of many endpoints at once looks alike until enough different endpoints have been tried.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep};

use super::link;
use super::shared::Gateway;
use crate::outbound::LastConnect;

/// Age up to which the outcome of a connect counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(4);
/// Endpoints in a row without a connection that make a service out of reach, if it has as many.
const MIN_FAILED: usize = 3;
/// Most endpoints in a row that are required, however many the service has.
///
/// With half of the endpoints down, as many random probes in a row fail once in 10 million rounds.
const MAX_FAILED: usize = 24;
/// Multiple of the required failures that counts whatever open connections still receive.
const OVERRIDE_FACTOR: usize = 2;
/// Time from the begin of a connect that failed or took long in which it leads to probes.
///
/// A connect takes up to a second.
const SUSPECT_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks while a service may be out of reach.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of the last connect to an endpoint: whether it was opened, and the time since then.
///
/// The age of a failed one counts from its begin.
pub type ConnectOutcome = Option<(bool, Duration)>;

/// Outcomes of the last connects to the endpoints of a service, by time since then.
#[derive(Debug, Clone, Default)]
pub struct ServiceReach {
    endpoints: usize,
    /// Times since connects that failed after the last one that succeeded.
    failed: Vec<Duration>,
    /// Time since an endpoint last sent bytes on an open connection.
    heard: Option<Duration>,
}

impl ServiceReach {
    /// Evaluates the last outcome at each endpoint.
    #[must_use]
    pub fn new(outcomes: &[ConnectOutcome]) -> Self {
        let known = || outcomes.iter().flatten();
        let opened = known().filter(|(opened, _)| *opened);
        let last_opened = opened.map(|(_, age)| *age).min().unwrap_or(Duration::MAX);
        let failed = known().filter(|(opened, age)| !opened && *age < last_opened);
        Self {
            endpoints: outcomes.len(),
            failed: failed.map(|(_, age)| *age).collect(),
            heard: None,
        }
    }

    /// Adds the time since any endpoint last sent bytes on an open connection.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::reach::ServiceReach;
    ///
    /// let mut outcomes = [None; 40];
    /// outcomes[..30].fill(Some((false, Duration::from_millis(300))));
    /// let reach = ServiceReach::new(&outcomes);
    /// assert!(reach.clone().is_cut_off());
    /// assert!(!reach.heard(Some(Duration::from_millis(20))).is_cut_off());
    /// ```
    #[must_use]
    pub const fn heard(mut self, age: Option<Duration>) -> Self {
        self.heard = age;
        self
    }

    /// Number of endpoints in a row without a connection that make the service out of reach.
    ///
    /// It is more than half of the endpoints, so that a crash of half of them is not taken for a lost
    /// path, within fixed bounds.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::reach::ServiceReach;
    ///
    /// assert_eq!(ServiceReach::required_failures(2), 2);
    /// assert_eq!(ServiceReach::required_failures(5), 3);
    /// assert_eq!(ServiceReach::required_failures(140), 24);
    /// ```
    #[must_use]
    pub fn required_failures(endpoints: usize) -> usize {
        (endpoints / 2 + 1)
            .clamp(MIN_FAILED, MAX_FAILED)
            .min(endpoints)
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
        let required = Self::required_failures(self.endpoints);
        if required == 0 {
            return false;
        }
        // In a small service few connects decide, and streams that go on must not delay them.
        let (heard, without_path) = if required <= MIN_FAILED {
            (None, required)
        } else {
            let most = (required * OVERRIDE_FACTOR).min(self.endpoints);
            (self.heard, most)
        };
        let since_heard = |age: &Duration| heard.is_none_or(|heard| *age < heard);
        let recent = || self.failed.iter().filter(|age| **age < EVIDENCE_TTL);
        let silent = recent().filter(|age| since_heard(age)).count();
        silent >= required || recent().count() >= without_path
    }

    /// Whether a service that was found out of reach still is; fewer and older probes show it.
    #[must_use]
    pub fn stays_cut_off(&self) -> bool {
        let recent = self.failed.iter().filter(|age| **age < EVIDENCE_TTL);
        self.endpoints > 0 && recent.count() >= MIN_FAILED.min(self.endpoints)
    }

    /// Whether the service may be out of reach.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_cut_off() || self.failed.iter().any(|age| *age < SUSPECT_TIME)
    }
}

/// Picks endpoints to probe, by index: a random choice, those last that failed most recently.
///
/// A crash often takes neighbours in the list, so that a choice in its order would try only those.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::reach::choose_probes;
///
/// let failed = Some((false, Duration::from_millis(90)));
/// assert_eq!(choose_probes(&[failed, None], 1, &mut rand::rng()), [1]);
/// ```
#[must_use]
pub fn choose_probes(outcomes: &[ConnectOutcome], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let mut order: Vec<usize> = (0..outcomes.len()).collect();
    order.shuffle(rng);
    order.sort_by_key(|at| match outcomes[*at] {
        Some((false, age)) if age < EVIDENCE_TTL => EVIDENCE_TTL.saturating_sub(age),
        _ => Duration::ZERO,
    });
    order.truncate(count);
    order
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
    let known_cut = gateway.cut_services.borrow().clone();
    let connects = gateway.outbound.connects();
    let slow = connects.slow().map(|at| at.elapsed());
    let mut is_slow = slow.is_some_and(|age| age < SUSPECT_TIME);
    let mut cut = BTreeSet::new();
    for (service, addresses) in gateway.servers.ready_addresses() {
        let outcomes = outcomes(gateway, &addresses);
        let opened = outcomes.iter().flatten().filter(|(opened, _)| *opened);
        let last_opened = opened.map(|(_, age)| *age).min();
        is_slow &= last_opened.is_none_or(|age| slow.is_some_and(|slow| slow < age));
        let heard = addresses.iter().filter_map(|from| connects.heard(*from));
        let heard = heard.max().map(|at| at.elapsed());
        let reach = ServiceReach::new(&outcomes).heard(heard);
        let was_cut = known_cut.contains(&service);
        let is_cut = reach.is_cut_off() || (was_cut && reach.stays_cut_off());
        is_suspect |= is_cut || reach.is_suspect();
        if is_cut != was_cut {
            log::info!(service = service.as_str(), out_of_reach = is_cut,
                failed = reach.failed.len(), endpoints = outcomes.len(),
                required = ServiceReach::required_failures(outcomes.len()),
                heard_ms:? = heard.map(link::millis); "reach of a service judged anew");
        }
        if is_cut {
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
    is_suspect || is_slow
}

fn outcomes(gateway: &Gateway, addresses: &[SocketAddr]) -> Vec<ConnectOutcome> {
    let connects = gateway.outbound.connects();
    let last = addresses.iter().map(|to| connects.last(*to));
    last.map(|last| last.map(age)).collect()
}

fn age(last: LastConnect) -> (bool, Duration) {
    (last.opened, last.at.elapsed())
}

/// Opens connections to some endpoints of each service.
///
/// While it is not known whether a service is out of reach, one round is enough to show it.
fn probe_services(gateway: &Gateway) {
    for (service, addresses) in gateway.servers.ready_addresses() {
        let is_cut = gateway.cut_services.borrow().contains(&service);
        let count = if is_cut {
            1
        } else {
            ServiceReach::required_failures(addresses.len())
        };
        let outcomes = outcomes(gateway, &addresses);
        for at in choose_probes(&outcomes, count, &mut rand::rng()) {
            let (outbound, to) = (gateway.outbound.clone(), addresses[at]);
            tokio::spawn(async move { outbound.probe(to).await });
        }
    }
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
