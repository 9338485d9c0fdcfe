//! Permits of this instance to send requests to brittle endpoints.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::message::{BrittleEntry, RoomGrant, RoomReport, RoomUpdate, RoomUse, RoomWait};

/// Time for which an unused permit is valid.
pub const PERMIT_TTL: Duration = Duration::from_secs(1);
/// Silence of the lease holder after which an instance uses its own part of the room: several update
/// intervals.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which an instance without a holder has a part of an endpoint's room, or none.
const TURN_TIME: Duration = Duration::from_secs(1);
/// Least time until a permit comes: the holder's answer.
const GRANT_TIME: Duration = Duration::from_millis(20);
/// Time for which an endpoint is avoided at which a request failed.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time for which other instances are notified that endpoints are no longer brittle.
const END_SHARE_TIME: Duration = Duration::from_secs(3);
/// Least time by which what another instance knows must be newer; covers the time on the way.
const MIN_NEWER: Duration = Duration::from_millis(50);

/// An endpoint as the permits need to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomTarget<'a> {
    /// Service that it belongs to.
    pub service: &'a str,
    /// Id of the endpoint.
    pub id: &'a str,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests of this instance in progress there.
    pub local_load: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Brittle {
    /// Requests turned away within a second that an endpoint bears; none where the time has ended.
    bound: Option<u32>,
    said_at: Duration,
    /// When this instance learnt that the time has begun or ended.
    known_since: Duration,
}

/// What this instance has at one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct EndpointPermits {
    started_ms: u64,
    /// When each granted permit lapses, in order.
    granted: VecDeque<Duration>,
    /// When there is room for one more, as the holder expects.
    next_at: Duration,
    avoid_until: Duration,
    rejected: u32,
    failed: u32,
    answered: u32,
}

/// Place of a waiting request in the order in which an instance uses its permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoomTicket {
    /// Priority of the request; 0 goes first.
    pub priority: u8,
    /// Number by arrival; the largest one stands for a request that does not wait yet.
    pub number: u64,
}

impl RoomTicket {
    /// Ticket of a request that does not wait yet.
    #[must_use]
    pub const fn newcomer(priority: u8) -> Self {
        Self {
            priority,
            number: u64::MAX,
        }
    }
}

/// Which services have brittle endpoints, and the permits to send requests to these.
///
/// The lease holder grants them out of the room of each endpoint. Without a holder, an instance uses
/// its own part of the room. Where that is less than one request, it has one at times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoomPermits {
    services: BTreeMap<String, Brittle>,
    endpoints: BTreeMap<String, EndpointPermits>,
    /// Waiting requests by the endpoints that could run them.
    waiting: BTreeMap<Vec<String>, BTreeSet<RoomTicket>>,
    last_ticket: u64,
    /// Until when the holder is known to grant permits.
    granting_until: Duration,
    /// Number of live instances.
    instances: u32,
    /// Number of the last update.
    heard: u64,
    /// Random number that sets the turns of this instance.
    salt: u64,
}

impl RoomPermits {
    /// No permits; `salt` is a random number.
    #[must_use]
    pub fn new(salt: u64, instances: u32) -> Self {
        Self {
            instances,
            salt,
            ..Self::default()
        }
    }

    /// Records what an answer says; returns whether endpoints of the service became brittle, or are no
    /// longer.
    ///
    /// An answer that does not say so ends a brittle time only if its request was sent after another
    /// one said so: answers may overtake each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::room::permits::RoomPermits;
    ///
    /// let (sent, now) = (Duration::from_secs(1), Duration::from_secs(2));
    /// let mut permits = RoomPermits::new(7, 8);
    /// assert!(permits.record_answer("writers", Some(4), sent, now));
    /// assert!(!permits.record_answer("writers", None, sent, now));
    /// assert!(permits.record_answer("writers", None, now, now * 2));
    /// assert!(!permits.is_brittle("writers"));
    /// ```
    pub fn record_answer(
        &mut self,
        service: &str,
        bound: Option<u32>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.services.get(service);
        if bound.is_none() && known.is_none_or(|k| k.bound.is_none() || sent_at < k.said_at) {
            return false;
        }
        self.set(service, bound, now, now)
    }

    /// Takes over what another instance knows, where it is newer; returns whether it changed.
    pub fn merge(&mut self, entry: &BrittleEntry, now: Duration) -> bool {
        let said_at = now.saturating_sub(Duration::from_millis(entry.age_ms.into()));
        let known = self.services.get(&entry.service);
        let is_newer = match known {
            Some(known) => said_at > known.said_at + MIN_NEWER,
            None => entry.bound.is_some(),
        };
        is_newer && self.set(&entry.service, entry.bound, said_at, now)
    }

    fn set(&mut self, service: &str, bound: Option<u32>, said_at: Duration, now: Duration) -> bool {
        let before = self.services.get(service).copied();
        let is_same = |b: &Brittle| b.bound.is_some() == bound.is_some();
        let told = Brittle {
            bound,
            said_at,
            known_since: before.filter(is_same).map_or(now, |b| b.known_since),
        };
        self.services.insert(service.to_owned(), told);
        if self.services.values().all(|s| s.bound.is_none()) {
            self.endpoints.clear();
        }
        before.and_then(|b| b.bound).is_some() != bound.is_some()
    }

    /// Whether endpoints of the service are brittle.
    #[must_use]
    pub fn is_brittle(&self, service: &str) -> bool {
        self.bound(service).is_some()
    }

    /// Requests turned away within a second that an endpoint of the service bears.
    #[must_use]
    pub fn bound(&self, service: &str) -> Option<u32> {
        self.services.get(service)?.bound
    }

    /// Services that are brittle, or were until lately.
    #[must_use]
    pub fn notices(&self, now: Duration) -> Vec<BrittleEntry> {
        let told = self.services.iter().map(|(service, brittle)| {
            let age = now.saturating_sub(brittle.said_at);
            (age, service, brittle.bound)
        });
        let told = told.filter(|(age, _, bound)| bound.is_some() || *age < END_SHARE_TIME);
        told.map(|(age, service, bound)| BrittleEntry {
            service: service.clone(),
            bound,
            age_ms: super::super::link::millis(age),
        })
        .collect()
    }

    /// Records that the lease holder grants permits.
    pub const fn hear_holder(&mut self, instances: u32, now: Duration) {
        self.instances = instances;
        self.granting_until = now.saturating_add(HOLDER_TIMEOUT);
    }

    /// Forgets the number of the last update, as a new link begins.
    pub const fn begin_link(&mut self) {
        self.heard = 0;
    }

    /// Whether the lease holder grants permits.
    #[must_use]
    pub fn is_granting(&self, now: Duration) -> bool {
        now < self.granting_until
    }

    /// Takes over permits; returns whether there are any.
    pub fn apply(&mut self, update: &RoomUpdate, now: Duration) -> bool {
        self.heard = update.number;
        self.granting_until = now + HOLDER_TIMEOUT;
        for grant in &update.grants {
            let RoomGrant {
                id,
                started_ms,
                permits,
                next_ms,
            } = grant;
            let of_endpoint = self.endpoint(id, *started_ms);
            let lapses = (0..*permits).map(|_| now + PERMIT_TTL);
            of_endpoint.granted.extend(lapses);
            of_endpoint.next_at = now + Duration::from_millis((*next_ms).into());
        }
        update.grants.iter().any(|grant| grant.permits > 0)
    }

    fn endpoint(&mut self, id: &str, started_ms: u64) -> &mut EndpointPermits {
        let of_endpoint = self.endpoints.entry(id.to_owned()).or_default();
        if of_endpoint.started_ms != started_ms {
            *of_endpoint = EndpointPermits {
                started_ms,
                ..EndpointPermits::default()
            };
        }
        of_endpoint
    }

    fn known(&self, target: &RoomTarget<'_>) -> Option<&EndpointPermits> {
        let known = self.endpoints.get(target.id);
        known.filter(|k| k.started_ms == target.started_ms)
    }

    /// Whether a request may be sent now; those with an earlier ticket go first.
    #[must_use]
    pub fn is_open(&self, target: &RoomTarget<'_>, ticket: RoomTicket, now: Duration) -> bool {
        if !self.is_brittle(target.service) {
            return true;
        }
        if !self.is_granting(now) {
            return target.local_load < self.own_part(target, now);
        }
        let known = self.known(target);
        let available = known.map_or(0, |k| k.granted.iter().filter(|l| **l > now).count());
        available > self.waiting_before(target.id, ticket)
    }

    /// Uses a permit; false where one is needed and there is none.
    pub fn take(&mut self, target: &RoomTarget<'_>, now: Duration) -> bool {
        if !self.is_brittle(target.service) {
            return true;
        }
        if !self.is_granting(now) {
            return target.local_load < self.own_part(target, now);
        }
        let of_endpoint = self.endpoint(target.id, target.started_ms);
        of_endpoint.granted.retain(|lapses| *lapses > now);
        of_endpoint.granted.pop_front().is_some()
    }

    /// Whether a request failed there lately.
    #[must_use]
    pub fn is_avoided(&self, target: &RoomTarget<'_>, now: Duration) -> bool {
        self.known(target).is_some_and(|k| now < k.avoid_until)
    }

    /// Expected time until a request can be sent.
    #[must_use]
    pub fn wait(&self, target: &RoomTarget<'_>, ticket: RoomTicket, now: Duration) -> Duration {
        if self.is_granting(now) {
            let next_at = self.known(target).map_or(Duration::ZERO, |k| k.next_at);
            let before = self.waiting_before(target.id, ticket) + 1;
            let all = self.waiting_at(target.id).max(before);
            let left = next_at.saturating_sub(now);
            return left.mul_f64(ratio(before, all)).max(GRANT_TIME);
        }
        if self.own_part(target, now) > 0 {
            return GRANT_TIME;
        }
        TURN_TIME * self.instances.max(1) / target.slots.max(1)
    }

    /// Counts a request that waits for one of these endpoints.
    #[must_use]
    pub fn join(&mut self, ids: &[String], priority: u8) -> RoomTicket {
        self.last_ticket += 1;
        let ticket = RoomTicket {
            priority,
            number: self.last_ticket,
        };
        self.waiting.entry(ids.to_vec()).or_default().insert(ticket);
        ticket
    }

    /// Forgets a request that waited for one of these endpoints.
    pub fn leave(&mut self, ids: &[String], ticket: RoomTicket) {
        if let Some(waiting) = self.waiting.get_mut(ids) {
            waiting.remove(&ticket);
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
    }

    /// Requests that wait for an endpoint with an earlier ticket.
    fn waiting_before(&self, id: &str, ticket: RoomTicket) -> usize {
        let for_it = self
            .waiting
            .iter()
            .filter(|(ids, _)| ids.iter().any(|i| i == id));
        for_it
            .map(|(_, waiting)| waiting.range(..ticket).count())
            .sum()
    }

    /// Requests that wait for an endpoint.
    fn waiting_at(&self, id: &str) -> usize {
        let for_it = self
            .waiting
            .iter()
            .filter(|(ids, _)| ids.iter().any(|i| i == id));
        for_it.map(|(_, waiting)| waiting.len()).sum()
    }

    /// Records that an endpoint turned a request away.
    ///
    /// Only one that was sent with a permit shows that there is less room.
    pub fn record_rejection(&mut self, target: &RoomTarget<'_>, sent_at: Duration) {
        let known = self.services.get(target.service);
        if known.is_some_and(|k| k.bound.is_some() && sent_at > k.known_since) {
            self.endpoint(target.id, target.started_ms).rejected += 1;
        }
    }

    /// Records whether an endpoint answered a request, or it failed there.
    pub fn record_outcome(&mut self, target: &RoomTarget<'_>, failed: bool, now: Duration) {
        if !self.is_brittle(target.service) {
            return;
        }
        let of_endpoint = self.endpoint(target.id, target.started_ms);
        if failed {
            of_endpoint.failed += 1;
            of_endpoint.avoid_until = now + AVOID_TIME;
        } else {
            of_endpoint.answered += 1;
        }
    }

    /// Report to the lease holder about these endpoints, all that are known of brittle services; none
    /// if there is nothing to report.
    pub fn report<'a>(
        &mut self,
        targets: impl Iterator<Item = RoomTarget<'a>>,
        now: Duration,
    ) -> Option<RoomReport> {
        let services = self.notices(now);
        if services.is_empty() {
            return None;
        }
        let mut uses = Vec::new();
        for target in targets {
            let wanted = self.waiting_at(target.id);
            let of_endpoint = self.endpoint(target.id, target.started_ms);
            of_endpoint.granted.retain(|lapses| *lapses > now);
            // What no request waits for goes back.
            of_endpoint.granted.truncate(wanted);
            let unused = u32::try_from(of_endpoint.granted.len()).unwrap_or(u32::MAX);
            let entry = RoomUse {
                id: target.id.to_owned(),
                started_ms: target.started_ms,
                slots: target.slots,
                held: target.local_load.saturating_add(unused),
                rejected: std::mem::take(&mut of_endpoint.rejected),
                failed: std::mem::take(&mut of_endpoint.failed),
                answered: std::mem::take(&mut of_endpoint.answered),
            };
            let counts = [entry.held, entry.rejected, entry.failed, entry.answered];
            if wanted > 0 || counts.iter().any(|count| *count > 0) {
                uses.push(entry);
            } else if now >= of_endpoint.avoid_until {
                self.endpoints.remove(target.id);
            }
        }
        let waits = self.waiting.iter().map(|(ids, waiting)| {
            let endpoints = ids.iter().filter_map(|id| self.endpoints.get(id));
            let unused: usize = endpoints.map(|e| e.granted.len()).sum();
            let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
            RoomWait {
                ids: ids.clone(),
                count: count.saturating_sub(u32::try_from(unused).unwrap_or(u32::MAX)),
            }
        });
        let waits: Vec<RoomWait> = waits.filter(|wait| wait.count > 0).collect();
        Some(RoomReport {
            only: false,
            heard: self.heard,
            uses,
            waits,
            services,
        })
    }

    /// Requests that this instance may have at an endpoint without a holder.
    fn own_part(&self, target: &RoomTarget<'_>, now: Duration) -> u32 {
        let instances = self.instances.max(1);
        let whole = target.slots / instances;
        if whole > 0 {
            return whole;
        }
        let turn = u64::try_from(now.as_millis() / TURN_TIME.as_millis()).unwrap_or_default();
        let mut seed = self.salt ^ turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ target.started_ms;
        for byte in target.id.bytes() {
            seed = (seed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        seed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        seed = (seed ^ (seed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let draw = (seed ^ (seed >> 31)) % u64::from(instances);
        u32::from(draw < u64::from(target.slots))
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}
