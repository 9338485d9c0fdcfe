//! What an instance knows of the endpoints.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use xtra::prelude::*;

use crate::engine::{Report, Residency, Resident};
use crate::instances::{Listed, OWN_SERVICE, Standing};

/// An endpoint and what was last heard of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry of the instance list.
    pub listed: Listed,
    /// Last report, for an engine that has given one.
    pub report: Option<Report>,
    /// When the report came.
    pub seen: Duration,
    /// Whether the last attempt to reach it failed.
    pub lost: bool,
}

impl Endpoint {
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
            .filter(move |e| e.takes_work() && e.holds(model))
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
        (xtra::spawn_tokio(Self { view }, Mailbox::unbounded()), seen)
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

/// An endpoint that could not be reached.
#[derive(Debug)]
pub struct Lost {
    /// Name of the endpoint.
    pub name: String,
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
            }
        });
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
                _ => Endpoint {
                    listed,
                    report: None,
                    seen: listing.now,
                    lost: false,
                },
            };
            self.endpoints
                .insert(endpoint.listed.name.clone(), endpoint);
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

/// Requests that this instance has running, by endpoint.
#[derive(Debug, Clone, Default)]
pub struct Inflight(Arc<Mutex<BTreeMap<String, u32>>>);

/// One running request; dropping it ends the count.
#[derive(Debug)]
pub struct Running {
    counts: Inflight,
    endpoint: String,
}

impl Inflight {
    /// Counts a request at an endpoint until the guard is dropped.
    #[must_use]
    pub fn start(&self, endpoint: &str) -> Running {
        *self.lock().entry(endpoint.to_owned()).or_default() += 1;
        Running {
            counts: self.clone(),
            endpoint: endpoint.to_owned(),
        }
    }

    /// Requests running at an endpoint.
    #[must_use]
    pub fn count(&self, endpoint: &str) -> u32 {
        self.lock().get(endpoint).copied().unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.endpoint);
            }
        }
    }
}
