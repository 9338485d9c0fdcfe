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
use crate::follow::RulesWatch;
use crate::http::{self, Body};
use crate::inflight::Inflight;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::outbound::Outbound;
use crate::peers::MeshHandle;
use crate::records::{Record, Records};
use crate::request::CallerRequest;
use crate::rules::InForce;
use crate::subscriptions::Subscriptions;
use crate::suspects::Suspects;
use crate::verdict::{Cause, Refusal};

/// Label for tenants that no rule names, so that labels stay few.
const UNKNOWN_TENANT_LABEL: &str = "unknown";
/// Requests queued in an engine up to which it takes more.
const MAX_QUEUED_REQUESTS: u32 = 8;

/// Bounds of a request's path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the body to arrive.
    pub body_timeout: Duration,
    /// Time to the first byte of an answer where the request names none.
    pub default_timeout: Duration,
    /// Longest time to the first byte that a request may ask for.
    pub max_timeout: Duration,
    /// Longest time between two parts of a stream.
    pub event_timeout: Duration,
    /// Longest wait for the head of an answer on a reused connection.
    pub reuse_timeout: Duration,
    /// Largest answer that is held whole, in bytes.
    pub answer_bytes: usize,
    /// Most times that one request is sent.
    pub max_attempts: usize,
    /// Most requests that wait for a replica at once.
    pub max_waiting: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
            default_timeout: Duration::from_secs(30),
            max_timeout: Duration::from_hours(24),
            event_timeout: Duration::from_secs(3),
            reuse_timeout: Duration::from_secs(1),
            answer_bytes: 16 << 20,
            max_attempts: 4,
            max_waiting: 2048,
        }
    }
}

/// Shared by all requests of an instance.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Name of this instance.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Time.
    pub clock: Clock,
    /// Limits.
    pub limits: RequestLimits,
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
    pub cold_starts: ColdStarts,
    /// Models that this instance has traffic for.
    pub subscriptions: Subscriptions,
    /// Requests that wait their turn.
    pub dispatch_queue: Address<DispatchQueue>,
    /// Counts of the requests that wait their turn, by model.
    pub queued: Inflight,
    /// Connections to endpoints.
    pub outbound: Outbound,
    /// Record of calls that may run at most once.
    pub ledger: Arc<Ledger>,
    /// The other instances.
    pub mesh: MeshHandle,
    /// This start of the instance.
    pub start_id: StartId,
    /// Chooses endpoints.
    pub chooser: Chooser,
    /// Recent requests.
    pub records: Records,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether the instance is stopping.
    pub stopping: watch::Receiver<bool>,
}

impl RequestContext {
    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`Cause::NotReady`] before the first one is known.
    pub fn in_force(&self) -> Result<Arc<InForce>, Refusal> {
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
    pub fn waiting_requests(&self) -> u64 {
        u64::from(self.cold_starts.waiters().total() + self.queued.total())
    }

    /// Whether an endpoint of a model can take one more request soon.
    #[must_use]
    pub fn has_room(&self, model: &str) -> bool {
        has_room(&self.view, &self.chooser, model)
    }

    /// Expected time to the first token at the best endpoint of a model.
    #[must_use]
    pub fn expected_first_token(&self, model: &str) -> Duration {
        let view = Arc::clone(&self.view.borrow());
        let waits = view
            .holders(model)
            .map(|e| self.chooser.expected(e).unwrap_or_default());
        waits.min().unwrap_or_default()
    }

    /// Answers a request that goes no further than its admission, and keeps its record.
    #[must_use]
    pub fn refuse(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: &Refusal,
    ) -> Response<Body> {
        let known = |r: &Arc<InForce>| r.rules.tenants.contains_key(&request.tenant);
        let tenant = if self.rules.borrow().as_ref().is_some_and(known) {
            request.tenant.as_str()
        } else {
            UNKNOWN_TENANT_LABEL
        };
        self.metrics.refused(tenant, refusal);
        let record = Record::new(&self.name, request, None, target.to_owned());
        self.records.add(record.finish(0, Some(refusal)));
        http::refuse(refusal, &request.id)
    }

    /// Tells the fleet that an endpoint could not be reached.
    pub async fn report_unreachable(&self, endpoint: &str) {
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
    holders.any(|e| view.queued(e, model) < MAX_QUEUED_REQUESTS && chooser.has_room(e))
}
