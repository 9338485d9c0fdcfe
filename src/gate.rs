//! What every request of an instance is served with.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use tokio::sync::watch;
use xtra::Address;

use crate::admission::Admission;
use crate::at_most_once::StartId;
use crate::chooser::Chooser;
use crate::clock::Clock;
use crate::cold_start::ColdStarts;
use crate::dispatch_queue::DispatchQueue;
use crate::engine::Engine;
use crate::fleet::{Fleet, Lost, View};
use crate::http::{self, Body};
use crate::inflight::Inflight;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::outbound::Outbound;
use crate::peers::MeshHandle;
use crate::records::{Record, Records};
use crate::request::CallerRequest;
use crate::rules::ActiveRules;
use crate::rules_sync::RulesWatch;
use crate::subscriptions::Subscriptions;
use crate::suspects::Suspects;
use crate::verdict::{Cause, Refusal};

/// Label for tenants that no rule names, so that labels stay few.
const UNKNOWN_TENANT: &str = "unknown";
/// Requests queued in an engine up to which it takes more.
const FEW_QUEUED: u32 = 8;

/// Bounds of a request's path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Longest time for the body to arrive.
    pub arrival: Duration,
    /// Time to the first byte of an answer where the request names none.
    pub timeout: Duration,
    /// Longest time to the first byte that a request may ask for.
    pub longest: Duration,
    /// Longest time between two parts of a stream.
    pub gap: Duration,
    /// Longest wait for the head of an answer on a reused connection.
    pub reused: Duration,
    /// Largest answer that is held whole, in bytes.
    pub answer: usize,
    /// Most times that one request is sent.
    pub attempts: usize,
    /// Most requests that wait for a replica at once.
    pub waiting: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            arrival: Duration::from_secs(10),
            timeout: Duration::from_secs(30),
            longest: Duration::from_hours(24),
            gap: Duration::from_secs(3),
            reused: Duration::from_secs(1),
            answer: 16 << 20,
            attempts: 4,
            waiting: 2048,
        }
    }
}

/// Shared by all requests of an instance.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Name of this instance.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Time.
    pub clock: Clock,
    /// Bounds.
    pub bounds: Bounds,
    /// The configuration in force.
    pub rules: RulesWatch,
    /// The endpoints.
    pub view: watch::Receiver<Arc<View>>,
    /// Owner of the view.
    pub fleet: Address<Fleet>,
    /// The engines, to ask whether one has died.
    pub engines: Arc<dyn Engine>,
    /// Limits of tenants and retries.
    pub admission: Admission,
    /// Requests tied to crashes.
    pub suspects: Arc<Suspects>,
    /// Cold starts.
    pub loads: ColdStarts,
    /// Models that this instance has traffic for.
    pub subscriptions: Subscriptions,
    /// Requests that wait their turn.
    pub dispatch_queue: Address<DispatchQueue>,
    /// Counts of the requests that wait their turn, by model.
    pub lined: Inflight,
    /// Connections to endpoints.
    pub outbound: Outbound,
    /// Record of calls that may run at most once.
    pub ledger: Arc<Ledger>,
    /// The other instances.
    pub mesh: MeshHandle,
    /// This start of the instance.
    pub start: StartId,
    /// Chooses endpoints.
    pub chooser: Chooser,
    /// Recent requests.
    pub records: Records,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether the instance is stopping.
    pub stopping: watch::Receiver<bool>,
}

impl Gate {
    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`Cause::NotReady`] before the first one is known.
    pub fn in_force(&self) -> Result<Arc<ActiveRules>, Refusal> {
        self.rules.borrow().clone().ok_or_else(|| {
            Refusal::not_run(Cause::NotReady)
                .detail("no configuration is in force yet")
                .retry_after(Duration::from_secs(1))
        })
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.rules.borrow().is_some()
            && self.view.borrow().listed.is_some()
            && !*self.stopping.borrow()
    }

    /// Requests that wait for a replica.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        u64::from(self.loads.waiters().total() + self.lined.total())
    }

    /// Whether an endpoint of a model can take one more request soon.
    #[must_use]
    pub fn has_room(&self, model: &str) -> bool {
        has_room(&self.view, &self.chooser, model)
    }

    /// Expected time to the first token at the best endpoint of a model.
    #[must_use]
    pub fn expected(&self, model: &str) -> Duration {
        let view = Arc::clone(&self.view.borrow());
        let waits = view
            .holders(model)
            .map(|e| self.chooser.expected(e).unwrap_or_default());
        waits.min().unwrap_or_default()
    }

    /// Answers a request that goes no further than its admission, and keeps its record.
    #[must_use]
    pub fn refuse(&self, ask: &CallerRequest, target: &str, refusal: &Refusal) -> Response<Body> {
        let known = |r: &Arc<ActiveRules>| r.rules.tenants.contains_key(&ask.tenant);
        let tenant = if self.rules.borrow().as_ref().is_some_and(known) {
            ask.tenant.as_str()
        } else {
            UNKNOWN_TENANT
        };
        self.metrics.refused(tenant, refusal);
        let record = Record::new(&self.name, ask, None, target.to_owned());
        self.records.add(record.close(0, Some(refusal)));
        http::refuse(refusal, &ask.id)
    }

    /// Tells the fleet that an endpoint could not be reached.
    pub async fn lost(&self, endpoint: &str) {
        if self
            .fleet
            .send(Lost {
                name: endpoint.to_owned(),
                now: self.clock.now(),
            })
            .await
            .is_err()
        {
            log::debug!("the fleet has stopped");
        }
    }
}

/// Whether an endpoint of a model can take one more request soon.
#[must_use]
pub fn has_room(view: &watch::Receiver<Arc<View>>, chooser: &Chooser, model: &str) -> bool {
    let view = Arc::clone(&view.borrow());
    let mut holders = view.holders(model).peekable();
    if holders.peek().is_none() {
        return true;
    }
    holders.any(|e| view.queued(e, model) < FEW_QUEUED && chooser.has_room(e))
}
