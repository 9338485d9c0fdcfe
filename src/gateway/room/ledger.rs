//! Divides the room of brittle endpoints among the instances.
//!
//! The lease holder grants permits, each for one request to one endpoint. An instance reports what it
//! has there and which of its requests wait; a permit is free again once its request has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{RoomGrant, RoomReport, RoomUse, RoomWait};
use super::permits::PERMIT_TTL;

/// Time at the begin of a term in which the instances report what they have: an interval of reports.
const START_TIME: Duration = Duration::from_millis(300);
/// Time for which what an instance had counts after its link was closed.
const ORPHAN_TIME: Duration = Duration::from_millis(1500);
/// Time without requests after one failed at an endpoint.
const FAILED_TIME: Duration = Duration::from_millis(500);
/// Age of an answer at one instance up to which the failures of another are those of its own path.
const ANSWERED_TIME: Duration = Duration::from_millis(500);
/// Time in which a reduced room is whole again.
const REGROW_TIME: Duration = Duration::from_secs(2);
/// Time constant of the mean time for which a request has its place.
const RUN_WINDOW: Duration = Duration::from_secs(2);
/// That time until a request has ended, in seconds; waits are short then.
const DEFAULT_RUN_S: f64 = 0.1;

/// Grants by number of the link.
pub type LinkGrants = BTreeMap<u64, Vec<RoomGrant>>;

/// A permit that was granted lately.
#[derive(Debug, Clone, Copy)]
struct Granted {
    at: Duration,
    /// Number of the update that tells it.
    number: u64,
    /// Number of the receiver's link.
    to: u64,
    /// Whether the receiver had not heard of it when it reported last.
    on_way: bool,
}

#[derive(Debug, Default)]
struct EndpointRoom {
    started_ms: u64,
    slots: u32,
    /// Requests that there is room for.
    room: f64,
    updated: Duration,
    /// Requests and unused permits of the instances that have any, by link.
    held: BTreeMap<u64, u32>,
    granted: Vec<Granted>,
    /// Permits of links that were closed, and until when they count.
    orphans: Vec<(Duration, u32)>,
    /// No grants until then.
    closed_until: Duration,
    /// Last answer, with the link that reported it.
    answered: Option<(u64, Duration)>,
    /// Place-seconds in use and requests that ended, both with exponential decay.
    taken_s: f64,
    ended: f64,
}

/// Rooms of brittle endpoints, and the requests that wait for them.
#[derive(Debug, Default)]
pub struct RoomLedger {
    rooms: BTreeMap<String, EndpointRoom>,
    waits: BTreeMap<u64, Vec<RoomWait>>,
    /// Link that got a permit last.
    last: u64,
    /// Number of the last update.
    number: u64,
    begun_at: Option<Duration>,
}

impl RoomLedger {
    /// Records what an instance reports, and grants permits.
    ///
    /// An instance with requests that wait gets an answer even where it is granted none.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::room::ledger::RoomLedger;
    /// use brassrack::gateway::room::message::{RoomReport, RoomUse, RoomWait};
    ///
    /// let mut ledger = RoomLedger::default();
    /// let used = RoomUse { id: "e".into(), started_ms: 5, slots: 2, ..RoomUse::default() };
    /// let wait = RoomWait { ids: vec!["e".into()], count: 3 };
    /// let report = RoomReport { uses: vec![used], waits: vec![wait], ..RoomReport::default() };
    /// let second = Duration::from_secs(1);
    /// assert_eq!(ledger.report(1, &report, second)[&1][0].permits, 0);
    /// assert_eq!(ledger.report(1, &report, second * 2)[&1][0].permits, 2);
    /// assert_eq!(ledger.report(2, &report, second * 2)[&2][0].permits, 0);
    /// ```
    #[must_use]
    pub fn report(&mut self, link: u64, report: &RoomReport, now: Duration) -> LinkGrants {
        self.begun_at.get_or_insert(now);
        for (id, room) in &mut self.rooms {
            room.confirm(link, report.heard);
            if report.uses.iter().all(|used| used.id != *id) {
                room.held.remove(&link);
            }
        }
        for used in &report.uses {
            self.record_use(link, used, now);
        }
        if report.waits.is_empty() {
            self.waits.remove(&link);
        } else {
            self.waits.insert(link, report.waits.clone());
        }
        let mut grants = self.serve(now);
        if report.waits.is_empty() {
            return self.with_waits(grants, now);
        }
        let own = grants.entry(link).or_default();
        for id in report.waits.iter().flat_map(|wait| &wait.ids) {
            if own.iter().all(|grant| grant.id != *id)
                && let Some(room) = self.rooms.get(id)
            {
                own.push(RoomGrant {
                    id: id.clone(),
                    started_ms: room.started_ms,
                    permits: 0,
                    next_ms: 0,
                });
            }
        }
        self.with_waits(grants, now)
    }

    /// The same grants with the expected waits.
    fn with_waits(&self, mut grants: LinkGrants, now: Duration) -> LinkGrants {
        for grant in grants.values_mut().flatten() {
            grant.next_ms = self.next_ms(&grant.id, now);
        }
        grants
    }

    fn record_use(&mut self, link: u64, used: &RoomUse, now: Duration) {
        let room = self.rooms.entry(used.id.clone()).or_default();
        if room.started_ms > used.started_ms {
            return;
        }
        if room.started_ms != used.started_ms || room.slots == 0 {
            *room = EndpointRoom {
                started_ms: used.started_ms,
                slots: used.slots,
                room: f64::from(used.slots),
                updated: now,
                ..EndpointRoom::default()
            };
        }
        room.refresh(now);
        // Instances learn of other slots at different times.
        room.slots = used.slots;
        if used.held > 0 {
            room.held.insert(link, used.held);
        } else {
            room.held.remove(&link);
        }
        room.record_outcomes(link, used, now);
    }

    /// Grants permits where there is room, to the instances in turn.
    #[must_use]
    pub fn serve(&mut self, now: Duration) -> LinkGrants {
        self.number += 1;
        let mut grants = LinkGrants::new();
        if self.begun_at.is_none_or(|at| now < at + START_TIME) {
            return grants;
        }
        let mut open: BTreeMap<String, f64> = BTreeMap::new();
        for (id, room) in &mut self.rooms {
            room.refresh(now);
            let free = room.free(now);
            if free >= 1.0 {
                open.insert(id.clone(), free);
            }
        }
        let mut missing: BTreeMap<u64, Vec<RoomWait>> = BTreeMap::new();
        for (link, waits) in &self.waits {
            missing.insert(*link, self.missing(*link, waits));
        }
        while let Some((link, id)) = self.next_grant(&mut missing, &open) {
            self.last = link;
            let Some(room) = self.rooms.get_mut(&id) else {
                break;
            };
            room.granted.push(Granted {
                at: now,
                number: self.number,
                to: link,
                on_way: true,
            });
            if let Some(free) = open.get_mut(&id) {
                *free -= 1.0;
                if *free < 1.0 {
                    open.remove(&id);
                }
            }
            let own = grants.entry(link).or_default();
            if let Some(grant) = own.iter_mut().find(|grant| grant.id == id) {
                grant.permits += 1;
            } else {
                own.push(RoomGrant {
                    id,
                    started_ms: room.started_ms,
                    permits: 1,
                    next_ms: 0,
                });
            }
        }
        grants
    }

    /// Requests of an instance that wait beyond the permits that are on the way to it.
    fn missing(&self, link: u64, waits: &[RoomWait]) -> Vec<RoomWait> {
        let missing = waits.iter().map(|wait| {
            let rooms = wait.ids.iter().filter_map(|id| self.rooms.get(id));
            let on_way: u32 = rooms.map(|room| room.on_way(link)).sum();
            RoomWait {
                ids: wait.ids.clone(),
                count: wait.count.saturating_sub(on_way),
            }
        });
        missing.filter(|wait| wait.count > 0).collect()
    }

    /// The next instance after the last one that waits for an endpoint with room, and that endpoint:
    /// the one with the largest free part of its slots.
    fn next_grant(
        &self,
        missing: &mut BTreeMap<u64, Vec<RoomWait>>,
        open: &BTreeMap<String, f64>,
    ) -> Option<(u64, String)> {
        if open.is_empty() {
            return None;
        }
        let part = |id: &String| {
            let slots = self.rooms.get(id).map_or(1, |room| room.slots.max(1));
            open.get(id).map(|free| free / f64::from(slots))
        };
        let after = missing.range(self.last + 1..).map(|(link, _)| *link);
        let until = missing.range(..=self.last).map(|(link, _)| *link);
        let in_turn: Vec<u64> = after.chain(until).collect();
        for link in in_turn {
            for wait in missing.get_mut(&link)?.iter_mut().filter(|w| w.count > 0) {
                let parts = wait.ids.iter().filter_map(|id| Some((id, part(id)?)));
                if let Some((id, _)) = parts.max_by(|a, b| a.1.total_cmp(&b.1)) {
                    wait.count -= 1;
                    return Some((link, id.clone()));
                }
            }
        }
        None
    }

    /// Expected time until an endpoint has room for one more of the waiting requests.
    fn next_ms(&self, id: &str, now: Duration) -> u32 {
        let Some(room) = self.rooms.get(id) else {
            return 0;
        };
        let shares = self
            .waits
            .values()
            .flatten()
            .filter(|w| w.ids.iter().any(|i| i == id));
        let waiting: f64 = shares
            .map(|w| f64::from(w.count) / f64::from(u32::try_from(w.ids.len()).unwrap_or(1)))
            .sum();
        let wait = Duration::from_secs_f64(waiting * room.run_s() / room.room.max(1.0));
        super::super::link::millis(wait.max(room.closed_until.saturating_sub(now)))
    }

    /// Number of the update with the last grants.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Whether any request waits.
    #[must_use]
    pub fn has_waits(&self) -> bool {
        !self.waits.is_empty()
    }

    /// Forgets a link; what its instance had at the endpoints counts for a while.
    pub fn close(&mut self, link: u64, now: Duration) {
        self.waits.remove(&link);
        for room in self.rooms.values_mut() {
            let held = room.held.remove(&link).unwrap_or_default();
            let left = held + room.on_way(link);
            room.granted.retain(|granted| granted.to != link);
            if left > 0 {
                room.orphans.push((now + ORPHAN_TIME, left));
            }
        }
    }

    /// Forgets all, as another instance holds the lease.
    pub fn end_term(&mut self) {
        *self = Self::default();
    }
}

impl EndpointRoom {
    fn refresh(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let fade = (-passed / RUN_WINDOW.as_secs_f64()).exp();
        self.taken_s = (self.taken_s + f64::from(self.taken()) * passed) * fade;
        self.ended *= fade;
        let since = now.saturating_sub(self.updated.max(self.closed_until));
        let whole = f64::from(self.slots);
        let grown = since.as_secs_f64() / REGROW_TIME.as_secs_f64() * whole;
        self.room = (self.room + grown).min(whole);
        self.updated = now;
        self.granted
            .retain(|granted| granted.on_way && now < granted.at + PERMIT_TTL * 2);
        self.orphans.retain(|(until, _)| now < *until);
    }

    fn record_outcomes(&mut self, link: u64, used: &RoomUse, now: Duration) {
        self.ended += f64::from(used.answered);
        if used.rejected > 0 {
            let taken = f64::from(self.taken().saturating_sub(used.rejected));
            self.room = self.room.min(taken).max(1.0);
        }
        let is_path = self
            .answered
            .is_some_and(|(by, at)| by != link && now < at + ANSWERED_TIME);
        if used.answered > 0 {
            self.answered = Some((link, now));
        }
        if used.failed > 0 && !is_path {
            self.room = 1.0;
            self.closed_until = now + FAILED_TIME;
        }
    }

    /// Requests at the endpoint or on the way there, as far as known.
    fn taken(&self) -> u32 {
        let held: u32 = self.held.values().sum();
        let on_way = self.granted.iter().filter(|granted| granted.on_way);
        let orphans: u32 = self.orphans.iter().map(|(_, count)| count).sum();
        held + u32::try_from(on_way.count()).unwrap_or(u32::MAX) + orphans
    }

    /// Mean time for which a request has its place, in seconds.
    fn run_s(&self) -> f64 {
        if self.ended < 1.0 {
            return DEFAULT_RUN_S;
        }
        self.taken_s / self.ended
    }

    /// Requests that there is room for beyond those.
    fn free(&self, now: Duration) -> f64 {
        if now < self.closed_until {
            return 0.0;
        }
        self.room - f64::from(self.taken())
    }

    fn on_way(&self, link: u64) -> u32 {
        let on_way = self.granted.iter().filter(|g| g.to == link && g.on_way);
        u32::try_from(on_way.count()).unwrap_or(u32::MAX)
    }

    /// Records which permits an instance had heard of when it reported.
    fn confirm(&mut self, link: u64, heard: u64) {
        for granted in self.granted.iter_mut().filter(|g| g.to == link) {
            granted.on_way &= granted.number > heard;
        }
    }
}
