//! Bounded queue of waiting requests that is fair between tenants.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::rules::PriorityClass;
use crate::verdict::{Cause, Refusal};

/// Weight of the newest sample in the moving average of the time per unit of cost.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Settings of a [`WaitQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Cost that a tenant may dequeue in each round of the round robin.
    pub quantum: u32,
    /// Shortest retry time that a refusal gives.
    pub min_retry: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 1024,
            quantum: 8,
            min_retry: Duration::from_millis(200),
        }
    }
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Unique id, assigned by the caller of the queue.
    pub id: u64,
    /// Tenant.
    pub tenant: String,
    /// Priority class.
    pub class: PriorityClass,
    /// Time by which the answer must begin.
    pub deadline: Duration,
    /// Least time from leaving the queue to the start of the answer.
    pub service_time: Duration,
    /// Cost of the request, clamped to the range from 1 to the quantum.
    pub cost: u32,
}

impl QueuedRequest {
    /// Latest time of leaving the queue at which the deadline can still be met.
    #[must_use]
    pub const fn latest_start(&self) -> Duration {
        self.deadline.saturating_sub(self.service_time)
    }
}

/// Result of [`WaitQueue::take_next`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Request to dispatch.
    pub next: Option<QueuedRequest>,
    /// Requests that can no longer meet their deadline, to be refused now.
    pub expired: Vec<QueuedRequest>,
}

/// Order of a tenant's requests: by class, then deadline, then order of arrival.
type SortKey = (PriorityClass, Duration, u64);

#[derive(Debug, Clone, Default)]
struct TenantQueue {
    waiting: BTreeMap<SortKey, QueuedRequest>,
    cost: u64,
    deficit: u32,
}

/// Waiting requests under deficit round robin between tenants.
///
/// Within a tenant, requests leave by class, then by deadline. The queue never holds more than
/// its capacity: when it is full, a tenant that has at least two requests fewer waiting than the
/// tenant with the most displaces the last request of that one; any other request is refused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::limits::{QueueSettings, QueuedRequest, WaitQueue};
/// use brassrack::rules::PriorityClass;
///
/// let mut queue = WaitQueue::new(QueueSettings::default());
/// let request = QueuedRequest {
///     id: 1,
///     tenant: "vic".to_string(),
///     class: PriorityClass::Interactive,
///     deadline: Duration::from_secs(2),
///     service_time: Duration::from_millis(500),
///     cost: 1,
/// };
/// assert_eq!(queue.enqueue(request.clone(), Duration::ZERO), Ok(None));
/// assert_eq!(queue.take_next(Duration::from_secs(1)).next, Some(request));
/// ```
#[derive(Debug, Clone)]
pub struct WaitQueue {
    settings: QueueSettings,
    queues: BTreeMap<String, TenantQueue>,
    /// Tenants with waiting requests, in round-robin order.
    rotation: VecDeque<String>,
    locations: BTreeMap<u64, (String, SortKey)>,
    /// Latest starts with the ids of their requests, earliest first.
    start_limits: BTreeSet<(Duration, u64)>,
    arrivals: u64,
    /// Moving average of the seconds per unit of cost.
    cost_seconds: f64,
    /// Time of the last dequeue that left requests waiting; none after one that left none.
    last_dequeue: Option<Duration>,
}

impl WaitQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings: QueueSettings {
                quantum: settings.quantum.max(1),
                ..settings
            },
            queues: BTreeMap::new(),
            rotation: VecDeque::new(),
            locations: BTreeMap::new(),
            start_limits: BTreeSet::new(),
            arrivals: 0,
            cost_seconds: 0.0,
            last_dequeue: None,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Time after which the first waiting request expires; call [`Self::take_expired`] then.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.start_limits.first().map(|(latest, _)| *latest)
    }

    /// Adds a request; returns one that it displaced, to be refused as [`Cause::Overload`].
    ///
    /// # Errors
    ///
    /// A refusal as not run: the queue is full, or the expected wait is too long for the
    /// deadline.
    pub fn enqueue(
        &mut self,
        mut request: QueuedRequest,
        now: Duration,
    ) -> Result<Option<QueuedRequest>, Refusal> {
        request.cost = request.cost.clamp(1, self.settings.quantum);
        let wait = self.expected_wait(&request);
        if now + wait > request.latest_start() {
            let after = wait.max(self.settings.min_retry);
            return Err(Refusal::not_run(Cause::DeadlineTooShort).retry_after(after));
        }
        let displaced = if self.len() < self.settings.capacity {
            None
        } else {
            Some(self.displace(&request.tenant)?)
        };
        self.insert(request);
        Ok(displaced)
    }

    /// Removes the expired requests and then the next request in round-robin order.
    #[must_use]
    pub fn take_next(&mut self, now: Duration) -> Dequeued {
        let expired = self.take_expired(now);
        let next = self.dequeue_round_robin();
        if let Some(request) = &next {
            self.update_cost_seconds(request.cost, now);
        }
        Dequeued { next, expired }
    }

    /// Removes all requests that can no longer meet their deadline.
    #[must_use]
    pub fn take_expired(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some((latest, id)) = self.start_limits.first().copied() {
            if latest >= now {
                break;
            }
            expired.extend(self.remove(id));
        }
        expired
    }

    /// Removes a request, for example because its caller has disconnected.
    pub fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let (tenant, sort_key) = self.locations.remove(&id)?;
        let queue = self.queues.get_mut(&tenant)?;
        let request = queue.waiting.remove(&sort_key)?;
        queue.cost -= u64::from(request.cost);
        self.start_limits.remove(&(request.latest_start(), id));
        if queue.waiting.is_empty() {
            self.queues.remove(&tenant);
            self.rotation.retain(|name| *name != tenant);
        }
        Some(request)
    }

    /// Expected wait of a request, from the recent average time per unit of cost.
    #[must_use]
    pub fn expected_wait(&self, request: &QueuedRequest) -> Duration {
        let sort_key = (request.class, request.deadline, u64::MAX);
        let ahead: u64 = self.queues.get(&request.tenant).map_or(0, |queue| {
            let first = queue.waiting.range(..=sort_key);
            first.map(|(_, r)| u64::from(r.cost)).sum()
        });
        let quantum = u64::from(self.settings.quantum);
        let rounds = (ahead + u64::from(request.cost)).div_ceil(quantum);
        let others: u64 = self
            .queues
            .iter()
            .filter(|(name, _)| **name != request.tenant)
            .map(|(_, queue)| queue.cost.min(rounds * quantum))
            .sum();
        self.time_for(ahead + others)
    }

    fn time_for(&self, cost: u64) -> Duration {
        let cost = f64::from(u32::try_from(cost).unwrap_or(u32::MAX));
        Duration::from_secs_f64(self.cost_seconds * cost)
    }

    fn insert(&mut self, request: QueuedRequest) {
        self.arrivals += 1;
        let sort_key = (request.class, request.deadline, self.arrivals);
        if !self.queues.contains_key(&request.tenant) {
            self.rotation.push_back(request.tenant.clone());
        }
        self.locations
            .insert(request.id, (request.tenant.clone(), sort_key));
        self.start_limits
            .insert((request.latest_start(), request.id));
        let quantum = self.settings.quantum;
        let queue = self
            .queues
            .entry(request.tenant.clone())
            .or_insert_with(|| TenantQueue {
                deficit: quantum,
                ..TenantQueue::default()
            });
        queue.cost += u64::from(request.cost);
        queue.waiting.insert(sort_key, request);
    }

    /// Removes the last request of the tenant with the most requests to make room for another's.
    ///
    /// Refuses where that tenant would then have fewer waiting requests than the other.
    fn displace(&mut self, tenant: &str) -> Result<QueuedRequest, Refusal> {
        let own = self
            .queues
            .get(tenant)
            .map_or(0, |queue| queue.waiting.len());
        let longest = self.queues.values().max_by_key(|queue| queue.waiting.len());
        longest
            .filter(|queue| queue.waiting.len() > own + 1)
            .and_then(|queue| queue.waiting.last_key_value())
            .map(|(_, request)| request.id)
            .and_then(|id| self.remove(id))
            .ok_or_else(|| Refusal::not_run(Cause::Overload).retry_after(self.drain_time()))
    }

    fn drain_time(&self) -> Duration {
        let cost = self.queues.values().map(|queue| queue.cost).sum();
        self.time_for(cost).max(self.settings.min_retry)
    }

    /// Deficit round robin; no cost exceeds the quantum, so each visit dequeues at least one.
    fn dequeue_round_robin(&mut self) -> Option<QueuedRequest> {
        loop {
            let name = self.rotation.front()?;
            let queue = self.queues.get_mut(name)?;
            let (_, request) = queue.waiting.first_key_value()?;
            if queue.deficit >= request.cost {
                queue.deficit -= request.cost;
                let id = request.id;
                return self.remove(id);
            }
            queue.deficit += self.settings.quantum;
            self.rotation.rotate_left(1);
        }
    }

    /// Updates the average time per unit of cost, from intervals that began with requests waiting.
    fn update_cost_seconds(&mut self, cost: u32, now: Duration) {
        if let Some(previous) = self.last_dequeue {
            let sample = now.saturating_sub(previous).as_secs_f64() / f64::from(cost);
            self.cost_seconds += SMOOTHING_FACTOR * (sample - self.cost_seconds);
        }
        self.last_dequeue = (!self.is_empty()).then_some(now);
    }
}
