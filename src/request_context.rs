//! State and limits that the handling of every request shares.

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
use crate::endpoint_registry::{EndpointRegistry, EndpointUnreachable, RegistryView};
use crate::engine::Engine;
use crate::http::{self, Body};
use crate::idempotency::IdempotencyStore;
use crate::inflight::Inflight;
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

/// Metrics label of tenants that no rule names, which bounds the number of label values.
const UNKNOWN_TENANT_LABEL: &str = "unknown";
/// Queue length at which an engine counts as full: below it, the engine is sent more requests.
const MAX_QUEUED_REQUESTS: u32 = 8;

/// Limits on the handling of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time for the whole body to arrive.
    pub body_timeout: Duration,
    /// Time to the first byte of the answer where the request sets none.
    pub default_timeout: Duration,
    /// Maximum time to the first byte that a request may set.
    pub max_timeout: Duration,
    /// Maximum time between two parts of a stream.
    pub event_timeout: Duration,
    /// Maximum wait for the head of an answer on a reused connection.
    pub reuse_timeout: Duration,
    /// Maximum size of an answer that is buffered whole.
    pub answer_bytes: usize,
    /// Maximum number of attempts for one request.
    pub max_attempts: usize,
    /// Maximum number of requests that wait for a replica at once.
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

/// State that all requests of an instance share.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Name of this instance.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Source of the current time.
    pub clock: Clock,
    /// Limits on the handling of one request.
    pub limits: RequestLimits,
    /// The configuration in force.
    pub rules: RulesWatch,
    /// The known endpoints and what they hold.
    pub view: watch::Receiver<Arc<RegistryView>>,
    /// Actor that owns the view.
    pub fleet: Address<EndpointRegistry>,
    /// Client for the engines, used to check whether one has crashed.
    pub engines: Arc<dyn Engine>,
    /// Tenant limits and the retry budget.
    pub admission: Admission,
    /// Requests suspected of crashing engines.
    pub suspects: Arc<Suspects>,
    /// Cold starts of models without a replica.
    pub cold_starts: ColdStarts,
    /// Models that this instance receives requests for.
    pub subscriptions: Subscriptions,
    /// Actor that orders the requests queued in this instance.
    pub dispatch_queue: Address<DispatchQueue>,
    /// Number of requests in the dispatch queue, by model.
    pub queued: Inflight,
    /// Pool of connections to endpoints.
    pub outbound: Outbound,
    /// Ledger of calls that may run at most once.
    pub ledger: Arc<IdempotencyStore>,
    /// Connections to the other instances.
    pub mesh: MeshHandle,
    /// Identifies this start of the instance.
    pub start_id: StartId,
    /// Chooses endpoints.
    pub chooser: Chooser,
    /// Records of recent requests.
    pub records: Records,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Whether the instance is stopping.
    pub stopping: watch::Receiver<bool>,
}

impl RequestContext {
    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`Cause::NotReady`] before the first configuration is known.
    pub fn in_force(&self) -> Result<Arc<ActiveRules>, Refusal> {
        self.rules.borrow().clone().ok_or_else(|| {
            Refusal::not_run(Cause::NotReady)
                .detail("no configuration is in force yet")
                .retry_after(Duration::from_secs(1))
        })
    }

    /// Whether the instance is ready for new requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.rules.borrow().is_some()
            && self.view.borrow().listed_at.is_some()
            && !*self.stopping.borrow()
    }

    /// Number of requests that wait for a cold start or in the dispatch queue.
    #[must_use]
    pub fn waiting_requests(&self) -> u64 {
        u64::from(self.cold_starts.waiters().total() + self.queued.total())
    }

    /// Whether an endpoint of a model can start one more request soon; see [`has_room`].
    #[must_use]
    pub fn has_room(&self, model: &str) -> bool {
        has_room(&self.view, &self.chooser, model)
    }

    /// Lowest expected time to the first token among the endpoints that hold a model.
    #[must_use]
    pub fn expected_first_token(&self, model: &str) -> Duration {
        let view = Arc::clone(&self.view.borrow());
        let waits = view
            .ready_endpoints(model)
            .map(|e| self.chooser.expected_ttft(e).unwrap_or_default());
        waits.min().unwrap_or_default()
    }

    /// Refuses a request at admission and stores its record.
    #[must_use]
    pub fn refuse(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: &Refusal,
    ) -> Response<Body> {
        let known = |r: &Arc<ActiveRules>| r.rules.tenants.contains_key(&request.tenant);
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

    /// Reports to the fleet that an endpoint could not be reached.
    pub async fn report_unreachable(&self, endpoint: &str) {
        if self
            .fleet
            .send(EndpointUnreachable {
                name: endpoint.to_owned(),
                now: self.clock.now(),
            })
            .await
            .is_err()
        {
            log::debug!("endpoint registry has stopped; unreachable endpoint not reported");
        }
    }
}

/// Whether an endpoint of a model can start one more request soon.
///
/// Also true where no endpoint holds the model, so that the request goes on to a cold start.
#[must_use]
pub fn has_room(view: &watch::Receiver<Arc<RegistryView>>, chooser: &Chooser, model: &str) -> bool {
    let view = Arc::clone(&view.borrow());
    let mut holders = view.ready_endpoints(model).peekable();
    if holders.peek().is_none() {
        return true;
    }
    holders.any(|e| view.queued(e, model) < MAX_QUEUED_REQUESTS && chooser.has_capacity(e))
}
