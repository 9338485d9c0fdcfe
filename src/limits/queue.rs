//! Bounded waiting queue, fair between tenants.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::rules::PriorityClass;
use crate::verdict::{Cause, Refusal};

/// Weight of the newest interval in the moving average.
const SMOOTHING: f64 = 0.1;

/// Settings of a [`WaitQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Most waiting requests.
    pub capacity: usize,
    /// Cost that a tenant may spend in each round.
    pub quantum: u32,
    /// Shortest time to come back that a refusal gives.
    pub pause: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 1024,
            quantum: 8,
            pause: Duration::from_millis(200),
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Unique id, given by the caller of the queue.
    pub id: u64,
    /// Tenant.
    pub tenant: String,
    /// Priority class.
    pub class: PriorityClass,
    /// Time by which the first answer must be there.
    pub deadline: Duration,
    /// Least time from leaving the queue to the first answer.
    pub needs: Duration,
    /// Work that it stands for, from 1 to the quantum; out of range is brought into it.
    pub cost: u32,
}

impl Waiting {
    /// Latest time at which leaving the queue still makes the deadline.
    #[must_use]
    pub const fn latest(&self) -> Duration {
        self.deadline.saturating_sub(self.needs)
    }
}

/// What one turn of the queue yields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Turn {
    /// Request to dispatch.
    pub next: Option<Waiting>,
    /// Requests that cannot make their deadline any more, to be refused now.
    pub late: Vec<Waiting>,
}

/// Order of a tenant's requests: by class, then deadline, then arrival.
type Order = (PriorityClass, Duration, u64);

#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: BTreeMap<Order, Waiting>,
    cost: u64,
    deficit: u32,
}

/// Waiting requests under deficit round robin between tenants.
///
/// Within a tenant, requests leave by class, then by deadline. The queue never holds more than
/// its capacity: when it is full, a tenant with less than an equal part of it displaces the last
/// request of the tenant with the longest line; any other request is refused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::limits::{QueueSettings, WaitQueue, Waiting};
/// use brassrack::rules::PriorityClass;
///
/// let mut queue = WaitQueue::new(QueueSettings::default());
/// let request = Waiting {
///     id: 1,
///     tenant: "vic".to_string(),
///     class: PriorityClass::Interactive,
///     deadline: Duration::from_secs(2),
///     needs: Duration::from_millis(500),
///     cost: 1,
/// };
/// assert_eq!(queue.enqueue(request.clone(), Duration::ZERO), Ok(None));
/// assert_eq!(queue.turn(Duration::from_secs(1)).next, Some(request));
/// ```
#[derive(Debug, Clone)]
pub struct WaitQueue {
    settings: QueueSettings,
    lanes: BTreeMap<String, Lane>,
    ring: VecDeque<String>,
    index: BTreeMap<u64, (String, Order)>,
    latest: BTreeSet<(Duration, u64)>,
    arrivals: u64,
    pace: f64,
    left: Option<Duration>,
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
            lanes: BTreeMap::new(),
            ring: VecDeque::new(),
            index: BTreeMap::new(),
            latest: BTreeSet::new(),
            arrivals: 0,
            pace: 0.0,
            left: None,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Time by which [`Self::late`] should be called next.
    #[must_use]
    pub fn next_late(&self) -> Option<Duration> {
        self.latest.first().map(|(latest, _)| *latest)
    }

    /// Adds a request; answers one that it displaced, to be refused as [`Cause::Overload`].
    ///
    /// # Errors
    ///
    /// A refusal as not run: the queue is full, or the expected wait passes the deadline.
    pub fn enqueue(
        &mut self,
        mut request: Waiting,
        now: Duration,
    ) -> Result<Option<Waiting>, Refusal> {
        request.cost = request.cost.clamp(1, self.settings.quantum);
        let wait = self.expected_wait(&request);
        if now + wait > request.latest() {
            let after = wait.max(self.settings.pause);
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

    /// Takes the next request in turn, and all that are late.
    #[must_use]
    pub fn turn(&mut self, now: Duration) -> Turn {
        let late = self.late(now);
        let next = self.dequeue();
        if let Some(request) = &next {
            self.measure(request.cost, now);
        }
        Turn { next, late }
    }

    /// Takes all requests that cannot make their deadline any more.
    #[must_use]
    pub fn late(&mut self, now: Duration) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some((latest, id)) = self.latest.first().copied() {
            if latest >= now {
                break;
            }
            late.extend(self.remove(id));
        }
        late
    }

    /// Takes a request out, for example because its caller has gone.
    pub fn remove(&mut self, id: u64) -> Option<Waiting> {
        let (tenant, order) = self.index.remove(&id)?;
        let lane = self.lanes.get_mut(&tenant)?;
        let request = lane.waiting.remove(&order)?;
        lane.cost -= u64::from(request.cost);
        self.latest.remove(&(request.latest(), id));
        if lane.waiting.is_empty() {
            self.lanes.remove(&tenant);
            self.ring.retain(|name| *name != tenant);
        }
        Some(request)
    }

    /// Expected wait of a request, from the pace at which requests left lately.
    #[must_use]
    pub fn expected_wait(&self, request: &Waiting) -> Duration {
        let order = (request.class, request.deadline, u64::MAX);
        let ahead: u64 = self.lanes.get(&request.tenant).map_or(0, |lane| {
            let first = lane.waiting.range(..=order);
            first.map(|(_, r)| u64::from(r.cost)).sum()
        });
        let quantum = u64::from(self.settings.quantum);
        let rounds = (ahead + u64::from(request.cost)).div_ceil(quantum);
        let others: u64 = self
            .lanes
            .iter()
            .filter(|(name, _)| **name != request.tenant)
            .map(|(_, lane)| lane.cost.min(rounds * quantum))
            .sum();
        self.time_for(ahead + others)
    }

    fn time_for(&self, cost: u64) -> Duration {
        let cost = f64::from(u32::try_from(cost).unwrap_or(u32::MAX));
        Duration::from_secs_f64(self.pace * cost)
    }

    fn insert(&mut self, request: Waiting) {
        self.arrivals += 1;
        let order = (request.class, request.deadline, self.arrivals);
        if !self.lanes.contains_key(&request.tenant) {
            self.ring.push_back(request.tenant.clone());
        }
        self.index
            .insert(request.id, (request.tenant.clone(), order));
        self.latest.insert((request.latest(), request.id));
        let quantum = self.settings.quantum;
        let lane = self
            .lanes
            .entry(request.tenant.clone())
            .or_insert_with(|| Lane {
                deficit: quantum,
                ..Lane::default()
            });
        lane.cost += u64::from(request.cost);
        lane.waiting.insert(order, request);
    }

    /// Makes room for a tenant that has less than an equal part of the queue.
    fn displace(&mut self, tenant: &str) -> Result<Waiting, Refusal> {
        let mine = self.lanes.get(tenant).map_or(0, |lane| lane.waiting.len());
        let longest = self.lanes.values().max_by_key(|lane| lane.waiting.len());
        longest
            .filter(|lane| lane.waiting.len() > mine + 1)
            .and_then(|lane| lane.waiting.last_key_value())
            .map(|(_, request)| request.id)
            .and_then(|id| self.remove(id))
            .ok_or_else(|| Refusal::not_run(Cause::Overload).retry_after(self.drain_time()))
    }

    fn drain_time(&self) -> Duration {
        let cost = self.lanes.values().map(|lane| lane.cost).sum();
        self.time_for(cost).max(self.settings.pause)
    }

    /// Deficit round robin; a quantum covers any cost, so each visit serves at least one.
    fn dequeue(&mut self) -> Option<Waiting> {
        loop {
            let name = self.ring.front()?;
            let lane = self.lanes.get_mut(name)?;
            let (_, request) = lane.waiting.first_key_value()?;
            if lane.deficit >= request.cost {
                lane.deficit -= request.cost;
                let id = request.id;
                return self.remove(id);
            }
            lane.deficit += self.settings.quantum;
            self.ring.rotate_left(1);
        }
    }

    /// Follows the time for each unit of cost while others wait.
    fn measure(&mut self, cost: u32, now: Duration) {
        if let Some(left) = self.left {
            let unit = now.saturating_sub(left).as_secs_f64() / f64::from(cost);
            self.pace += SMOOTHING * (unit - self.pace);
        }
        self.left = (!self.is_empty()).then_some(now);
    }
}
