//! Registry of the endpoints, as one instance knows them.
//!
//! An actor merges the instance list, the reports of engines that this instance polls, the loads
//! that peers publish, the replies of model owners and failed attempts to reach endpoints, and
//! publishes the result as a [`RegistryView`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

use crate::engine::{Report, Residency, Resident};
use crate::instances::{Listed, OWN_SERVICE, Standing};
use crate::peers::{Fleet as Loads, Load};

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;
/// Age after which an engine's report is discarded.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Age after which a [`ReadyHint`] is discarded.
const MAX_HINT_AGE: Duration = Duration::from_secs(10);
/// Time for which an endpoint that could not be reached is avoided unless it reports earlier.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);

/// An endpoint and its last known state.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its entry in the instance list.
    pub listed: Listed,
    /// Last report of its engine; none before the first one and once it is too old.
    pub report: Option<Report>,
    /// Time of the last report; until the first one, time at which the endpoint was listed.
    pub reported_at: Duration,
    /// End of the period without new requests that follows a failed attempt to reach it.
    pub avoid_until: Duration,
    /// Whether an attempt to reach it failed.
    ///
    /// Cleared by a report, or by the first read of the instance list after `avoid_until`.
    pub unreachable: bool,
}

impl Endpoint {
    const fn new(listed: Listed, now: Duration) -> Self {
        Self {
            listed,
            report: None,
            reported_at: now,
            avoid_until: Duration::ZERO,
            unreachable: false,
        }
    }

    /// Whether new requests may be sent to it.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.listed.standing == Standing::Live && !self.unreachable
    }

    /// The replica of a model in the last report, in any state.
    #[must_use]
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.report
            .as_ref()?
            .residents
            .iter()
            .find(|r| r.model == model)
    }

    /// Whether the last report lists the model as ready.
    #[must_use]
    pub fn is_ready(&self, model: &str) -> bool {
        self.resident(model)
            .is_some_and(|r| r.state == Residency::Ready)
    }
}

/// Snapshot of the endpoints and of brassrack's own instances.
#[derive(Debug, Clone, Default)]
pub struct RegistryView {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Brassrack's own instances by name, as listed.
    pub instances: BTreeMap<String, Listed>,
    /// Time at which the instance list was last read; none before the first read.
    pub listed_at: Option<Duration>,
    /// Loads of servers that other instances poll and publish.
    pub peer_loads: Arc<Loads>,
    /// Servers that the owner of a model named as ready a short time ago, by model.
    pub ready_hints: BTreeMap<String, ReadyHint>,
}

/// Servers on which a model is ready, as named by the instance that owns the model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadyHint {
    /// Server names.
    pub servers: BTreeSet<String>,
    /// Time at which the owner's reply arrived.
    pub received_at: Duration,
}

impl RegistryView {
    /// Endpoints of a service that accept requests, in name order.
    pub fn service_endpoints<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.listed.service == service && e.accepts_requests())
    }

    /// Endpoints that accept requests and where a model is ready, in name order.
    pub fn ready_endpoints<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.accepts_requests() && self.is_ready(e, model))
    }

    /// Requests running and queued at an endpoint for a model, and the time of that figure.
    ///
    /// The newer one of the engine's own report and the load published by a peer counts.
    #[must_use]
    pub fn load(&self, endpoint: &Endpoint, model: &str) -> Option<(u32, Duration)> {
        let own = endpoint
            .resident(model)
            .map(|r| (endpoint.reported_at, r.running + r.queued));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.received_at, l.running + l.queued));
        own.max(peer).map(|(at, load)| (load, at))
    }

    /// Requests that an engine has queued for a model, from the newest figure.
    #[must_use]
    pub fn queued(&self, endpoint: &Endpoint, model: &str) -> u32 {
        let own = endpoint
            .resident(model)
            .map(|r| (endpoint.reported_at, r.queued));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.received_at, l.queued));
        own.max(peer).map_or(0, |(_, queued)| queued)
    }

    /// Last known boot id of an endpoint's engine; empty where none is known.
    #[must_use]
    pub fn boot(&self, endpoint: &Endpoint, model: &str) -> String {
        let own = endpoint
            .report
            .as_ref()
            .map(|r| (endpoint.reported_at, r.boot.as_str()));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.received_at, l.boot.as_str()));
        own.max(peer)
            .map_or_else(String::new, |(_, boot)| boot.to_owned())
    }

    /// Whether a model is ready, by the newest of the report, the peer's load and the hint.
    fn is_ready(&self, endpoint: &Endpoint, model: &str) -> bool {
        let own = endpoint
            .report
            .as_ref()
            .map(|_| (endpoint.reported_at, endpoint.is_ready(model)));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.received_at, l.state == Residency::Ready));
        let hint = self
            .ready_hints
            .get(model)
            .filter(|h| h.servers.contains(&endpoint.listed.name));
        own.max(peer)
            .max(hint.map(|h| (h.received_at, true)))
            .is_some_and(|(_, ready)| ready)
    }

    /// Load of a model on an endpoint as published by a peer.
    fn peer_load(&self, endpoint: &Endpoint, model: &str) -> Option<&Load> {
        self.peer_loads
            .models
            .get(model)?
            .get(&endpoint.listed.name)
    }
}

/// Actor that owns the registry and publishes its view.
#[derive(Debug, Actor)]
pub struct EndpointRegistry {
    view: watch::Sender<Arc<RegistryView>>,
}

impl EndpointRegistry {
    /// Starts the actor with an empty registry; the watch channel carries its view.
    #[must_use]
    pub fn start() -> (Address<Self>, watch::Receiver<Arc<RegistryView>>) {
        let (view, seen) = watch::channel(Arc::default());
        (
            xtra::spawn_tokio(Self { view }, Mailbox::bounded(MAILBOX_CAPACITY)),
            seen,
        )
    }
}

/// The instance list was read.
#[derive(Debug)]
pub struct InstanceListRead {
    /// Entries of the list.
    pub entries: Vec<Listed>,
    /// Time of the read.
    pub now: Duration,
}

/// An engine reported its state.
#[derive(Debug)]
pub struct ReportReceived {
    /// Name of the endpoint.
    pub name: String,
    /// Report of its engine.
    pub report: Report,
    /// Time of the report.
    pub now: Duration,
}

/// An endpoint could not be reached.
#[derive(Debug)]
pub struct EndpointUnreachable {
    /// Name of the endpoint.
    pub name: String,
    /// Time of the attempt.
    pub now: Duration,
}

/// Loads of servers that other instances poll and publish.
#[derive(Debug)]
pub struct PeerLoads(pub Arc<Loads>);

/// The instance that owns a model named the servers on which the model is ready.
#[derive(Debug)]
pub struct ReadyServers {
    /// Model or adapter.
    pub model: String,
    /// Names of the servers.
    pub servers: BTreeSet<String>,
    /// Time at which the reply arrived.
    pub now: Duration,
}

/// An engine answered that a model is not ready there.
#[derive(Debug)]
pub struct ModelNotReady {
    /// Name of the endpoint.
    pub name: String,
    /// Model or adapter.
    pub model: String,
}

impl Handler<InstanceListRead> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: InstanceListRead, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).apply_list(message));
    }
}

impl Handler<ReportReceived> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: ReportReceived, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).apply_report(message));
    }
}

impl Handler<EndpointUnreachable> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: EndpointUnreachable, _ctx: &mut Context<Self>) {
        self.view.send_modify(|view| {
            if let Some(endpoint) = Arc::make_mut(view).endpoints.get_mut(&message.name) {
                endpoint.unreachable = true;
                endpoint.avoid_until = message.now + UNREACHABLE_PERIOD;
            }
        });
    }
}

impl Handler<PeerLoads> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: PeerLoads, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).peer_loads = message.0);
    }
}

impl Handler<ReadyServers> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: ReadyServers, _ctx: &mut Context<Self>) {
        let hint = ReadyHint {
            servers: message.servers,
            received_at: message.now,
        };
        self.view.send_modify(|view| {
            Arc::make_mut(view).ready_hints.insert(message.model, hint);
        });
    }
}

impl Handler<ModelNotReady> for EndpointRegistry {
    type Return = ();

    async fn handle(&mut self, message: ModelNotReady, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).discard_replica(&message));
    }
}

impl RegistryView {
    /// Replaces the entries; an endpoint whose address is unchanged keeps its state.
    fn apply_list(&mut self, update: InstanceListRead) {
        self.listed_at = Some(update.now);
        let (own, others): (Vec<_>, Vec<_>) = update
            .entries
            .into_iter()
            .partition(|e| e.service == OWN_SERVICE);
        self.instances = own.into_iter().map(|e| (e.name.clone(), e)).collect();
        let mut previous = std::mem::take(&mut self.endpoints);
        for listed in others {
            let endpoint = match previous.remove(&listed.name) {
                Some(known) if known.listed.address == listed.address => {
                    Endpoint { listed, ..known }
                }
                _ => Endpoint::new(listed, update.now),
            };
            self.endpoints
                .insert(endpoint.listed.name.clone(), endpoint);
        }
        self.expire(update.now);
    }

    /// Discards old reports and hints, and readmits endpoints once `avoid_until` has passed.
    fn expire(&mut self, now: Duration) {
        for endpoint in self.endpoints.values_mut() {
            if now.saturating_sub(endpoint.reported_at) > MAX_REPORT_AGE {
                endpoint.report = None;
            }
            endpoint.unreachable &= now < endpoint.avoid_until;
        }
        self.ready_hints
            .retain(|_, hint| now.saturating_sub(hint.received_at) <= MAX_HINT_AGE);
    }

    /// Discards all that is known of a model's replica at an endpoint.
    fn discard_replica(&mut self, update: &ModelNotReady) {
        if let Some(hint) = self.ready_hints.get_mut(&update.model) {
            hint.servers.remove(&update.name);
        }
        if let Some(report) = self
            .endpoints
            .get_mut(&update.name)
            .and_then(|e| e.report.as_mut())
        {
            report.residents.retain(|r| r.model != update.model);
        }
        let loads = Arc::make_mut(&mut self.peer_loads);
        if let Some(servers) = loads.models.get_mut(&update.model) {
            servers.remove(&update.name);
        }
    }

    fn apply_report(&mut self, update: ReportReceived) {
        if let Some(endpoint) = self.endpoints.get_mut(&update.name) {
            endpoint.report = Some(update.report);
            endpoint.reported_at = update.now;
            endpoint.unreachable = false;
        }
    }
}
