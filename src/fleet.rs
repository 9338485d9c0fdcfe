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
const MAILBOX: usize = 1024;
/// Age after which a report no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// Age after which a hint no longer counts.
const HINT_AGE: Duration = Duration::from_secs(10);
/// Time for which an endpoint that could not be reached is avoided.
const AVOID: Duration = Duration::from_secs(1);

/// An endpoint and what was last heard of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry of the instance list.
    pub listed: Listed,
    /// Last report, for an engine that has given one.
    pub report: Option<Report>,
    /// When the report came.
    pub seen: Duration,
    /// Until when it is avoided after an attempt to reach it failed.
    pub avoid: Duration,
    /// Whether it is avoided now.
    pub lost: bool,
}

impl Endpoint {
    const fn new(listed: Listed, now: Duration) -> Self {
        Self {
            listed,
            report: None,
            seen: now,
            avoid: Duration::ZERO,
            lost: false,
        }
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.listed.standing == Standing::Live && !self.lost
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
    pub fn holds(&self, model: &str) -> bool {
        self.resident(model)
            .is_some_and(|r| r.state == Residency::Ready)
    }
}

/// All endpoints and the live instances, at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Brassrack's own instances by name, as listed.
    pub instances: BTreeMap<String, Listed>,
    /// When the instance list was last read; none before the first time.
    pub listed: Option<Duration>,
    /// Loads of servers that other instances poll.
    pub heard: Arc<Loads>,
    /// Servers on which a model was ready a short time ago, by model.
    pub hints: BTreeMap<String, Hint>,
}

/// Servers that a model's owner named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hint {
    /// Server names.
    pub servers: BTreeSet<String>,
    /// When they were named.
    pub at: Duration,
}

impl View {
    /// Endpoints of a service that take work, in name order.
    pub fn members<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.listed.service == service && e.takes_work())
    }

    /// Endpoints where a model is ready, in name order.
    pub fn holders<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |e| e.takes_work() && self.shows(e, model))
    }

    /// Requests that an endpoint has running and queued for a model as last heard, and when.
    #[must_use]
    pub fn load(&self, endpoint: &Endpoint, model: &str) -> Option<(u32, Duration)> {
        let own = endpoint
            .resident(model)
            .map(|r| (endpoint.seen, r.running + r.queued));
        let told = self
            .told(endpoint, model)
            .map(|l| (l.received_at, l.running + l.queued));
        own.max(told).map(|(at, load)| (load, at))
    }

    /// Requests that an engine has queued for a model, as last heard.
    #[must_use]
    pub fn queued(&self, endpoint: &Endpoint, model: &str) -> u32 {
        let own = endpoint.resident(model).map(|r| (endpoint.seen, r.queued));
        let told = self
            .told(endpoint, model)
            .map(|l| (l.received_at, l.queued));
        own.max(told).map_or(0, |(_, queued)| queued)
    }

    /// Boot id of an endpoint's engine as last heard; empty where none was.
    #[must_use]
    pub fn boot(&self, endpoint: &Endpoint, model: &str) -> String {
        let own = endpoint
            .report
            .as_ref()
            .map(|r| (endpoint.seen, r.boot.as_str()));
        let told = self
            .told(endpoint, model)
            .map(|l| (l.received_at, l.boot.as_str()));
        own.max(told)
            .map_or_else(String::new, |(_, boot)| boot.to_owned())
    }

    /// Whether a model is ready, by what was heard last of all.
    fn shows(&self, endpoint: &Endpoint, model: &str) -> bool {
        let own = endpoint
            .report
            .as_ref()
            .map(|_| (endpoint.seen, endpoint.holds(model)));
        let told = self
            .told(endpoint, model)
            .map(|l| (l.received_at, l.state == Residency::Ready));
        let hint = self
            .hints
            .get(model)
            .filter(|h| h.servers.contains(&endpoint.listed.name));
        own.max(told)
            .max(hint.map(|h| (h.at, true)))
            .is_some_and(|(_, ready)| ready)
    }

    /// What a peer told of a model on an endpoint.
    fn told(&self, endpoint: &Endpoint, model: &str) -> Option<&Load> {
        self.heard.models.get(model)?.get(&endpoint.listed.name)
    }
}

/// Actor that owns the view.
#[derive(Debug, Actor)]
pub struct Fleet {
    view: watch::Sender<Arc<View>>,
}

impl Fleet {
    /// Starts the actor with an empty view; the watch shows what it knows.
    #[must_use]
    pub fn start() -> (Address<Self>, watch::Receiver<Arc<View>>) {
        let (view, seen) = watch::channel(Arc::default());
        (
            xtra::spawn_tokio(Self { view }, Mailbox::bounded(MAILBOX)),
            seen,
        )
    }
}

/// The instance list as read at `now`.
#[derive(Debug)]
pub struct Listing {
    /// Entries.
    pub entries: Vec<Listed>,
    /// Time of reading.
    pub now: Duration,
}

/// What an endpoint reported at `now`.
#[derive(Debug)]
pub struct Reported {
    /// Name of the endpoint.
    pub name: String,
    /// Its report.
    pub report: Report,
    /// Time of the report.
    pub now: Duration,
}

/// An endpoint that could not be reached at `now`.
#[derive(Debug)]
pub struct Lost {
    /// Name of the endpoint.
    pub name: String,
    /// Time of the attempt.
    pub now: Duration,
}

/// Loads of servers that other instances poll.
#[derive(Debug)]
pub struct Heard(pub Arc<Loads>);

/// A model's owner named servers at `now` on which it is ready.
#[derive(Debug)]
pub struct Hinted {
    /// Model or adapter.
    pub model: String,
    /// Servers.
    pub servers: BTreeSet<String>,
    /// Time of the answer.
    pub now: Duration,
}

/// An engine said that a model is not ready there.
#[derive(Debug)]
pub struct NotHeld {
    /// Name of the endpoint.
    pub name: String,
    /// Model or adapter.
    pub model: String,
}

impl Handler<Listing> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: Listing, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).list(message));
    }
}

impl Handler<Reported> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: Reported, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).report(message));
    }
}

impl Handler<Lost> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: Lost, _ctx: &mut Context<Self>) {
        self.view.send_modify(|view| {
            if let Some(endpoint) = Arc::make_mut(view).endpoints.get_mut(&message.name) {
                endpoint.lost = true;
                endpoint.avoid = message.now + AVOID;
            }
        });
    }
}

impl Handler<Heard> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: Heard, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).heard = message.0);
    }
}

impl Handler<Hinted> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: Hinted, _ctx: &mut Context<Self>) {
        let hint = Hint {
            servers: message.servers,
            at: message.now,
        };
        self.view.send_modify(|view| {
            Arc::make_mut(view).hints.insert(message.model, hint);
        });
    }
}

impl Handler<NotHeld> for Fleet {
    type Return = ();

    async fn handle(&mut self, message: NotHeld, _ctx: &mut Context<Self>) {
        self.view
            .send_modify(|view| Arc::make_mut(view).not_held(&message));
    }
}

impl View {
    fn list(&mut self, listing: Listing) {
        self.listed = Some(listing.now);
        let (own, others): (Vec<_>, Vec<_>) = listing
            .entries
            .into_iter()
            .partition(|e| e.service == OWN_SERVICE);
        self.instances = own.into_iter().map(|e| (e.name.clone(), e)).collect();
        let mut before = std::mem::take(&mut self.endpoints);
        for listed in others {
            let endpoint = match before.remove(&listed.name) {
                Some(known) if known.listed.address == listed.address => {
                    Endpoint { listed, ..known }
                }
                _ => Endpoint::new(listed, listing.now),
            };
            self.endpoints
                .insert(endpoint.listed.name.clone(), endpoint);
        }
        self.expire(listing.now);
    }

    /// Drops what is too old to count.
    fn expire(&mut self, now: Duration) {
        for endpoint in self.endpoints.values_mut() {
            if now.saturating_sub(endpoint.seen) > REPORT_AGE {
                endpoint.report = None;
            }
            endpoint.lost &= now < endpoint.avoid;
        }
        self.hints
            .retain(|_, hint| now.saturating_sub(hint.at) <= HINT_AGE);
    }

    fn not_held(&mut self, at: &NotHeld) {
        if let Some(hint) = self.hints.get_mut(&at.model) {
            hint.servers.remove(&at.name);
        }
        if let Some(report) = self
            .endpoints
            .get_mut(&at.name)
            .and_then(|e| e.report.as_mut())
        {
            report.residents.retain(|r| r.model != at.model);
        }
        let heard = Arc::make_mut(&mut self.heard);
        if let Some(servers) = heard.models.get_mut(&at.model) {
            servers.remove(&at.name);
        }
    }

    fn report(&mut self, heard: Reported) {
        if let Some(endpoint) = self.endpoints.get_mut(&heard.name) {
            endpoint.report = Some(heard.report);
            endpoint.seen = heard.now;
            endpoint.lost = false;
        }
    }
}
