//! What an instance knows of the endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

use crate::engine::{Report, Residency, Resident};
use crate::instances::{Listed, OWN_SERVICE, Standing};
use crate::peers::{Fleet as Loads, Load};

/// Messages that wait for the actor at most.
const MAILBOX_CAPACITY: usize = 1024;
/// Age after which a report no longer counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Age after which a hint no longer counts.
const MAX_HINT_AGE: Duration = Duration::from_secs(10);
/// Time for which an endpoint that could not be reached is avoided.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);

/// An endpoint and what was last heard of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry of the instance list.
    pub listed: Listed,
    /// Last report, for an engine that has given one.
    pub report: Option<Report>,
    /// When the report came.
    pub reported_at: Duration,
    /// Until when it is avoided after an attempt to reach it failed.
    pub avoid_until: Duration,
    /// Whether it is avoided now.
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

    /// Whether new work may go there.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.listed.standing == Standing::Live && !self.unreachable
    }

    /// The replica of a model, in any state.
    #[must_use]
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.report
            .as_ref()?
            .residents
            .iter()
            .find(|r| r.model == model)
    }

    /// Whether the model is ready here.
    #[must_use]
    pub fn is_ready(&self, model: &str) -> bool {
        self.resident(model)
            .is_some_and(|r| r.state == Residency::Ready)
    }
}

/// All endpoints and the live instances, at one moment.
#[derive(Debug, Clone, Default)]
pub struct RegistryView {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Brassrack's own instances by name, as listed.
    pub instances: BTreeMap<String, Listed>,
    /// When the instance list was last read; none before the first time.
    pub listed_at: Option<Duration>,
    /// Loads of servers that other instances poll.
    pub peer_loads: Arc<Loads>,
    /// Servers on which a model was ready a short time ago, by model.
    pub ready_hints: BTreeMap<String, ReadyHint>,
}

/// Servers that a model's owner named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadyHint {
    /// Server names.
    pub servers: BTreeSet<String>,
    /// When they were named.
    pub received_at: Duration,
}

impl RegistryView {
    /// Endpoints of a service that take work, in name order.
    pub fn service_endpoints<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.listed.service == service && e.accepts_requests())
    }

    /// Endpoints where a model is ready, in name order.
    pub fn ready_endpoints<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.accepts_requests() && self.is_ready(e, model))
    }

    /// Requests that an endpoint has running and queued for a model as last heard, and when.
    #[must_use]
    pub fn load(&self, endpoint: &Endpoint, model: &str) -> Option<(u32, Duration)> {
        let own = endpoint
            .resident(model)
            .map(|r| (endpoint.reported_at, r.running + r.queued));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.heard, l.running + l.queued));
        own.max(peer).map(|(at, load)| (load, at))
    }

    /// Requests that an engine has queued for a model, as last heard.
    #[must_use]
    pub fn queued(&self, endpoint: &Endpoint, model: &str) -> u32 {
        let own = endpoint
            .resident(model)
            .map(|r| (endpoint.reported_at, r.queued));
        let peer = self.peer_load(endpoint, model).map(|l| (l.heard, l.queued));
        own.max(peer).map_or(0, |(_, queued)| queued)
    }

    /// Boot id of an endpoint's engine as last heard; empty where none was.
    #[must_use]
    pub fn boot(&self, endpoint: &Endpoint, model: &str) -> String {
        let own = endpoint
            .report
            .as_ref()
            .map(|r| (endpoint.reported_at, r.boot.as_str()));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.heard, l.boot.as_str()));
        own.max(peer)
            .map_or_else(String::new, |(_, boot)| boot.to_owned())
    }

    /// Whether a model is ready, by what was heard last of all.
    fn is_ready(&self, endpoint: &Endpoint, model: &str) -> bool {
        let own = endpoint
            .report
            .as_ref()
            .map(|_| (endpoint.reported_at, endpoint.is_ready(model)));
        let peer = self
            .peer_load(endpoint, model)
            .map(|l| (l.heard, l.state == Residency::Ready));
        let hint = self
            .ready_hints
            .get(model)
            .filter(|h| h.servers.contains(&endpoint.listed.name));
        own.max(peer)
            .max(hint.map(|h| (h.received_at, true)))
            .is_some_and(|(_, ready)| ready)
    }

    /// What a peer told of a model on an endpoint.
    fn peer_load(&self, endpoint: &Endpoint, model: &str) -> Option<&Load> {
        self.peer_loads
            .models
            .get(model)?
            .get(&endpoint.listed.name)
    }
}

/// Actor that owns the view.
#[derive(Debug, Actor)]
pub struct EndpointRegistry {
    view: watch::Sender<Arc<RegistryView>>,
}

impl EndpointRegistry {
    /// Starts the actor with an empty view; the watch shows what it knows.
    #[must_use]
    pub fn start() -> (Address<Self>, watch::Receiver<Arc<RegistryView>>) {
        let (view, seen) = watch::channel(Arc::default());
        (
            xtra::spawn_tokio(Self { view }, Mailbox::bounded(MAILBOX_CAPACITY)),
            seen,
        )
    }
}

/// The instance list as read at `now`.
#[derive(Debug)]
pub struct InstanceListRead {
    /// Entries.
    pub entries: Vec<Listed>,
    /// Time of reading.
    pub now: Duration,
}

/// What an endpoint reported at `now`.
#[derive(Debug)]
pub struct ReportReceived {
    /// Name of the endpoint.
    pub name: String,
    /// Its report.
    pub report: Report,
    /// Time of the report.
    pub now: Duration,
}

/// An endpoint that could not be reached at `now`.
#[derive(Debug)]
pub struct EndpointUnreachable {
    /// Name of the endpoint.
    pub name: String,
    /// Time of the attempt.
    pub now: Duration,
}

/// Loads of servers that other instances poll.
#[derive(Debug)]
pub struct PeerLoads(pub Arc<Loads>);

/// A model's owner named servers at `now` on which it is ready.
#[derive(Debug)]
pub struct ReadyServers {
    /// Model or adapter.
    pub model: String,
    /// Servers.
    pub servers: BTreeSet<String>,
    /// Time of the answer.
    pub now: Duration,
}

/// An engine said that a model is not ready there.
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
            .send_modify(|view| Arc::make_mut(view).remove_ready(&message));
    }
}

impl RegistryView {
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

    /// Drops what is too old to count.
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

    fn remove_ready(&mut self, update: &ModelNotReady) {
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
