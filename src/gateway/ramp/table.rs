//! Servers that ramp, as one instance knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::link::{PaceEntry, RampEntry};
use super::super::servers::{Grant, Permits};
use super::super::shared::DEFAULT_INSTANCES;
use super::{
    AnswerCounts, AnswerKind, PaceMeter, PeerRates, Peers, Ramp, RampEnd, RampSettings, RampStep,
    incarnation_digest,
};

/// Silence of the lease holder after which an instance judges by its own answers.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which a ramp ends that the holder no longer names: several full updates.
const NAMED_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an ejection is reported; spans several full reports.
pub(super) const EJECTION_TTL: Duration = Duration::from_secs(10);
/// Time for which the end of a ramp is remembered, so that late messages do not begin it again.
const ENDED_TTL: Duration = Duration::from_mins(1);
/// Age from which rates of all instances no longer count.
const FLEET_TTL: Duration = Duration::from_secs(1);
/// Interval of full reports; others hold only what changed.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Ramps for whose permits an instance asks, for each request within the interval of full reports.
const ASKED_PER_REQUEST: usize = 2;
/// Most servers whose falls are remembered.
const MAX_REMEMBERED: usize = 4096;

/// A server that may ramp.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RampTarget {
    /// Id of the endpoint.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Requests that it can run concurrently.
    pub slots: u32,
}

/// Slots of the servers of a service that accept requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RampGroup {
    /// Of those that do not ramp.
    pub slots: u32,
    /// Of those that do.
    pub ramping: u32,
}

impl RampGroup {
    /// What the peers of a server with `slots` slots do, at the rates of all of them together.
    ///
    /// Where more of a service ramps than not, as after a restart of all of it, the others are no
    /// measure and cannot carry the load.
    pub(super) fn peers(self, slots: u32, rates: PeerRates) -> Peers {
        let part = f64::from(slots.max(1)) / f64::from(self.slots.max(1));
        let share = |of: f64| {
            if rates.rate > 0.0 {
                of / rates.rate
            } else {
                0.0
            }
        };
        Peers {
            present: self.slots > 0 && self.slots >= self.ramping,
            rate: rates.rate * part,
            slow: share(rates.slow),
            failed: share(rates.failed),
        }
    }
}

/// Answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RampAnswer<'a> {
    /// Service of the server.
    pub service: &'a str,
    /// Id of the endpoint.
    pub id: &'a str,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Whether there was no answer, or an error.
    pub failed: bool,
    /// When the endpoint was chosen for the request.
    pub sent_at: Duration,
    /// Objective for the time to the answer.
    pub objective: Duration,
}

/// What happened to a ramp, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RampNews {
    /// Id of the endpoint.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Requests a second, from all instances together.
    pub bound: f64,
    /// Falls that count.
    pub falls: u32,
    /// Answers that determined the decision.
    pub answers: AnswerCounts,
    /// Requests a second that a peer gets.
    pub peer_rate: f64,
    /// What the decision came from: the list, an ejection, answers or a link.
    pub from: &'static str,
    /// Why the ramp ended; none where it began or fell.
    pub end: Option<RampEnd>,
    /// Whether the ramp began.
    pub begun: bool,
}

/// What an instance reports of servers that ramp.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RampReport {
    /// Answers and wanted permits.
    pub entries: Vec<RampEntry>,
    /// Rates of the peers.
    pub paces: Vec<PaceEntry>,
}

#[derive(Debug, Clone)]
pub(super) struct RampState {
    pub(super) target: RampTarget,
    pub(super) digest: u64,
    pub(super) ramp: Ramp,
    pub(super) counts: AnswerCounts,
    permits: Permits,
    /// When the lease holder was last heard.
    heard_at: Duration,
    /// When it last named this ramp.
    named_at: Duration,
    /// Entry that was reported last.
    reported: RampEntry,
}

impl RampState {
    fn entry(&self, now: Duration) -> RampEntry {
        RampEntry {
            in_time: self.counts.in_time,
            slow: self.counts.slow,
            failed: self.counts.failed,
            ahead: self.permits.missing(self.ramp.bound, now).ahead,
            ..self.bound_entry()
        }
    }

    /// The bound as messages state it.
    pub(super) fn bound_entry(&self) -> RampEntry {
        #[expect(clippy::cast_possible_truncation, reason = "a few digits suffice")]
        let bound = self.ramp.bound as f32;
        RampEntry {
            digest: self.digest,
            bound,
            round: self.ramp.round,
            falls: self.ramp.falls,
            ..RampEntry::default()
        }
    }

    fn news(&self, from: &'static str, peer_rate: f64) -> RampNews {
        RampNews {
            id: self.target.id.clone(),
            service: self.target.service.clone(),
            bound: self.ramp.bound,
            falls: self.ramp.falls,
            answers: AnswerCounts::default(),
            peer_rate,
            from,
            end: None,
            begun: false,
        }
    }
}

/// Servers that ramp, and what is needed to judge them.
///
/// It does nothing for services whose endpoints report no pace.
#[derive(Debug, Clone)]
pub struct RampTable {
    pub(super) settings: RampSettings,
    /// Services whose endpoints report a pace, with the pace of the servers that do not ramp.
    meters: BTreeMap<String, PaceMeter>,
    /// Rates at all instances as the lease holder hears them, and when it summed them up.
    fleet: BTreeMap<String, (PeerRates, Duration)>,
    /// When a server of each service was first seen.
    known_since: BTreeMap<String, Duration>,
    /// By id of the endpoint.
    pub(super) ramps: BTreeMap<String, RampState>,
    /// Last round of ramps that ended, and when they did, by digest.
    ended: BTreeMap<u64, (u32, Duration)>,
    /// When this instance ejected servers, by digest.
    ejected: BTreeMap<u64, Duration>,
    /// Falls of servers and when the last one was, by id.
    trust: BTreeMap<String, (u32, Duration)>,
    instances: u32,
    full_at: Duration,
    /// Requests since the last full report that could use a permit.
    wanted: usize,
    /// Ramps for whose permits this instance asks, by digest.
    asked: BTreeSet<u64>,
    /// Random number that selects those.
    salt: u64,
}

impl Default for RampTable {
    fn default() -> Self {
        Self::new(RampSettings::default())
    }
}

impl RampTable {
    /// A table without ramps.
    #[must_use]
    pub const fn new(settings: RampSettings) -> Self {
        Self {
            settings,
            meters: BTreeMap::new(),
            fleet: BTreeMap::new(),
            known_since: BTreeMap::new(),
            ramps: BTreeMap::new(),
            ended: BTreeMap::new(),
            ejected: BTreeMap::new(),
            trust: BTreeMap::new(),
            instances: DEFAULT_INSTANCES,
            full_at: Duration::ZERO,
            wanted: 0,
            asked: BTreeSet::new(),
            salt: 1,
        }
    }

    /// Records that an endpoint of a service reports its pace; ramps apply to the service from then on.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::ramp::RampTable;
    ///
    /// let mut table = RampTable::default();
    /// assert!(!table.applies("files"));
    /// table.enable("files");
    /// assert!(table.applies("files"));
    /// ```
    pub fn enable(&mut self, service: &str) {
        if !self.applies(service) {
            let meter = PaceMeter::default();
            self.meters.insert(service.to_owned(), meter);
        }
    }

    /// Whether ramps apply to a service: its endpoints report their pace.
    #[must_use]
    pub fn applies(&self, service: &str) -> bool {
        self.meters.contains_key(service)
    }

    /// Whether no server ramps.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ramps.is_empty()
    }

    /// Number of ramps in progress of each service to which ramps apply.
    #[must_use]
    pub fn in_progress(&self) -> BTreeMap<String, u64> {
        let services = self.meters.keys().map(|service| (service.clone(), 0));
        let mut counts: BTreeMap<String, u64> = services.collect();
        for state in self.ramps.values() {
            *counts.entry(state.target.service.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether an incarnation ramps.
    #[must_use]
    pub fn is_ramping(&self, id: &str, started_ms: u64) -> bool {
        self.state(id, started_ms).is_some()
    }

    /// The bound of an incarnation, in requests a second; none where it does not ramp.
    #[must_use]
    pub fn bound(&self, id: &str, started_ms: u64) -> Option<f64> {
        self.state(id, started_ms).map(|state| state.ramp.bound)
    }

    fn state(&self, id: &str, started_ms: u64) -> Option<&RampState> {
        let state = self.ramps.get(id);
        state.filter(|state| state.target.started_ms == started_ms)
    }

    /// Records an incarnation that is seen for the first time, which may begin a ramp.
    ///
    /// `group` is of its service, with the server itself not counted; `draw` is uniform between 0 and 1.
    pub fn record_new(
        &mut self,
        target: &RampTarget,
        group: RampGroup,
        now: Duration,
        draw: f64,
    ) -> Vec<RampNews> {
        let known = self.known_since.entry(target.service.clone());
        let known_since = *known.or_insert(now);
        let replaced = self.ramps.remove(&target.id);
        let is_known = now >= known_since + self.settings.known_time;
        if !is_known || !self.applies(&target.service) {
            return Vec::new();
        }
        let group = RampGroup {
            ramping: group.ramping + target.slots,
            ..group
        };
        if !group.peers(target.slots, PeerRates::default()).present {
            // The servers that follow belong to the same restart of the service.
            self.known_since.insert(target.service.clone(), now);
            return self.end_service(&target.service, RampEnd::NoPeers, now);
        }
        let round = replaced.map_or(0, |state| state.ramp.round) + 1;
        self.begin(target, group, round, "list", now, draw)
    }

    /// Begins a ramp that this instance decides on.
    pub(super) fn begin(
        &mut self,
        target: &RampTarget,
        group: RampGroup,
        round: u32,
        from: &'static str,
        now: Duration,
        draw: f64,
    ) -> Vec<RampNews> {
        let falls = match self.trust.get(&target.id) {
            Some((falls, at)) if now < *at + self.settings.trust_time => falls + 1,
            Some((falls, at)) => falls.saturating_sub(self.forgiven(now.saturating_sub(*at))),
            None => 0,
        };
        let peers = group.peers(target.slots, self.fleet_rates(&target.service, now));
        let ramp = Ramp::new(peers.rate, falls, round, &self.settings, now);
        vec![self.insert(target, ramp, (from, peers.rate), now, draw)]
    }

    fn insert(
        &mut self,
        target: &RampTarget,
        ramp: Ramp,
        (from, peer_rate): (&'static str, f64),
        now: Duration,
        draw: f64,
    ) -> RampNews {
        self.remember(&target.id, ramp.falls, now);
        let state = RampState {
            target: target.clone(),
            digest: incarnation_digest(&target.id, target.started_ms),
            ramp,
            counts: AnswerCounts::default(),
            permits: Permits::new(self.instances, now, draw),
            heard_at: now,
            named_at: now,
            reported: RampEntry::default(),
        };
        self.ejected.remove(&state.digest);
        self.asked.insert(state.digest);
        let news = RampNews {
            begun: true,
            ..state.news(from, peer_rate)
        };
        self.ramps.insert(target.id.clone(), state);
        news
    }

    fn forgiven(&self, quiet: Duration) -> u32 {
        let times = quiet.as_secs() / self.settings.trust_time.as_secs().max(1);
        u32::try_from(times).unwrap_or(u32::MAX)
    }

    fn remember(&mut self, id: &str, falls: u32, now: Duration) {
        if self.trust.len() >= MAX_REMEMBERED && !self.trust.contains_key(id) {
            let oldest = self.trust.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.trust.remove(&oldest);
            }
        }
        self.trust.insert(id.to_owned(), (falls, now));
    }

    /// Records the rates at all instances together.
    pub(super) fn set_fleet_rates(&mut self, service: &str, rates: PeerRates, now: Duration) {
        self.fleet.insert(service.to_owned(), (rates, now));
    }

    /// Rates at all instances together; other than the lease holder, an instance scales its own up.
    pub(super) fn fleet_rates(&self, service: &str, now: Duration) -> PeerRates {
        let fleet = self.fleet.get(service);
        if let Some((rates, _)) = fleet.filter(|(_, at)| now < *at + FLEET_TTL) {
            return *rates;
        }
        let rates = self.rates(service, now);
        let instances = f64::from(self.instances);
        PeerRates {
            rate: rates.rate * instances,
            slow: rates.slow * instances,
            failed: rates.failed * instances,
        }
    }

    /// Rates of answers of the servers of a service that do not ramp, as this instance sees them.
    pub(super) fn rates(&self, service: &str, now: Duration) -> PeerRates {
        let meter = self.meters.get(service);
        meter.map_or_else(PeerRates::default, |m| m.rates(now))
    }

    /// Ends the ramps of a service.
    fn end_service(&mut self, service: &str, end: RampEnd, now: Duration) -> Vec<RampNews> {
        let of_service = self.ramps.values().filter(|s| s.target.service == service);
        let ids: Vec<String> = of_service.map(|s| s.target.id.clone()).collect();
        let ended = ids.iter().filter_map(|id| self.end(id, end, "list", now));
        ended.collect()
    }

    /// Ends a ramp.
    pub(super) fn end(
        &mut self,
        id: &str,
        end: RampEnd,
        from: &'static str,
        now: Duration,
    ) -> Option<RampNews> {
        let state = self.ramps.remove(id)?;
        let now = now.max(state.ramp.since);
        self.ended.retain(|_, (_, at)| now < *at + ENDED_TTL);
        self.ended.insert(state.digest, (state.ramp.round, now));
        self.remember(id, state.ramp.falls, now);
        Some(RampNews {
            end: Some(end),
            answers: state.counts,
            ..state.news(from, 0.0)
        })
    }

    /// Drops the ramp of an endpoint that is no longer listed.
    pub fn remove(&mut self, id: &str) -> Option<RampNews> {
        self.end(id, RampEnd::Dropped, "list", Duration::ZERO)
    }

    /// Whether the ramp of an incarnation ended at this round or a later one.
    pub(super) fn has_ended(&self, digest: u64, round: u32) -> bool {
        let ended = self.ended.get(&digest);
        ended.is_some_and(|(last, _)| round <= *last)
    }

    /// Records that this instance ejected a server, for the lease holder.
    pub fn record_ejection(&mut self, target: &RampTarget, now: Duration) {
        if self.applies(&target.service) && !self.is_ramping(&target.id, target.started_ms) {
            let digest = incarnation_digest(&target.id, target.started_ms);
            self.ejected.retain(|_, at| now < *at + EJECTION_TTL);
            self.ejected.insert(digest, now);
        }
    }

    /// Servers that this instance has ejected recently, by digest.
    pub(super) fn ejected(&self, now: Duration) -> BTreeSet<u64> {
        let recent = self.ejected.iter();
        let recent = recent.filter(|(_, at)| now < **at + EJECTION_TTL);
        recent.map(|(digest, _)| *digest).collect()
    }

    /// The last round of an incarnation's ramps.
    pub(super) fn last_round(&self, digest: u64) -> u32 {
        self.ended.get(&digest).map_or(0, |(round, _)| *round)
    }

    /// Records an answer, or that there is none.
    ///
    /// Without a lease holder, the answers of this instance alone change the bound.
    pub fn record(
        &mut self,
        answer: &RampAnswer<'_>,
        groups: &BTreeMap<String, RampGroup>,
        now: Duration,
        draw: f64,
    ) -> Option<RampNews> {
        let meter = self.meters.get_mut(answer.service)?;
        let took = now.saturating_sub(answer.sent_at);
        let kind = if answer.failed {
            AnswerKind::Failed
        } else {
            meter.judge(took, answer.objective)
        };
        let state = self.ramps.get_mut(answer.id);
        let state = state.filter(|s| s.target.started_ms == answer.started_ms);
        let Some(state) = state else {
            meter.record(kind, took, answer.objective, now);
            return None;
        };
        if answer.sent_at < state.ramp.since {
            return None;
        }
        state.counts.add(kind);
        if answer.failed {
            // The holder's lower bound takes a report and an update to come.
            state.permits = Permits::new(self.instances, now, draw);
        }
        if now < state.heard_at + HOLDER_TIMEOUT {
            return None;
        }
        let (slots, counts) = (state.target.slots, state.counts);
        let group = groups.get(answer.service).copied().unwrap_or_default();
        let peers = group.peers(slots, self.fleet_rates(answer.service, now));
        self.step(answer.id, counts, &peers, now, draw)
    }

    /// Looks at answers to the requests of the current round of a ramp.
    pub(super) fn step(
        &mut self,
        id: &str,
        answers: AnswerCounts,
        peers: &Peers,
        now: Duration,
        draw: f64,
    ) -> Option<RampNews> {
        let instances = self.instances;
        let state = self.ramps.get_mut(id)?;
        match state.ramp.step(answers, peers, &self.settings, now) {
            RampStep::Kept => None,
            RampStep::Grown => {
                state.counts = AnswerCounts::default();
                None
            }
            RampStep::Fallen => {
                state.counts = AnswerCounts::default();
                state.permits = Permits::new(instances, now, draw);
                let news = RampNews {
                    answers,
                    ..state.news("answers", peers.rate)
                };
                self.remember(id, news.falls, now);
                Some(news)
            }
            RampStep::Ended(end) => {
                let ended = self.end(id, end, "answers", now)?;
                Some(RampNews {
                    answers,
                    peer_rate: peers.rate,
                    ..ended
                })
            }
        }
    }

    /// Whether a request may not be sent to an incarnation while another server can run it.
    #[must_use]
    pub fn needs_permit(&self, id: &str, started_ms: u64, now: Duration) -> bool {
        let state = self.state(id, started_ms);
        state.is_some_and(|s| s.permits.available(s.ramp.bound, now) == 0)
    }

    /// Uses a permit; false where the incarnation ramps and there is none.
    pub fn take(&mut self, id: &str, started_ms: u64, now: Duration) -> bool {
        let state = self.ramps.get_mut(id);
        let state = state.filter(|s| s.target.started_ms == started_ms);
        state.is_none_or(|s| s.permits.take(s.ramp.bound, now))
    }

    /// Counts a request that could use a permit of one of these endpoints.
    pub fn record_wanted(&mut self, ids: &[String], now: Duration) {
        let count = u32::try_from(ids.len()).unwrap_or(u32::MAX);
        self.wanted += usize::from(count > 0);
        for id in ids {
            if let Some(state) = self.ramps.get_mut(id) {
                let share = 1.0 / f64::from(count);
                state.permits.record_wanted(share, now);
            }
        }
    }

    /// What the lease holder has to know: what changed since the last report, or all.
    pub fn report(&mut self, all: bool, now: Duration) -> RampReport {
        let all = all || now >= self.full_at + FULL_REPORT_INTERVAL;
        if all {
            self.full_at = now;
            self.select_asked();
        }
        let mut entries = Vec::new();
        for state in self.ramps.values_mut() {
            let mut entry = state.entry(now);
            if !self.asked.contains(&entry.digest) {
                entry.ahead = 0;
            }
            if all || entry != state.reported {
                state.reported = entry;
                entries.push(entry);
            }
        }
        if !all {
            return RampReport {
                entries,
                paces: Vec::new(),
            };
        }
        entries.extend(self.ejected(now).into_iter().map(|digest| RampEntry {
            digest,
            ejected: true,
            ..RampEntry::default()
        }));
        let paces = self.meters.keys().map(|service| {
            let rates = self.rates(service, now);
            #[expect(clippy::cast_possible_truncation, reason = "a few digits suffice")]
            let [rate, slow, failed] = [rates.rate, rates.slow, rates.failed].map(|r| r as f32);
            PaceEntry {
                service: service.clone(),
                rate,
                slow,
                failed,
            }
        });
        RampReport {
            paces: paces.collect(),
            entries,
        }
    }

    /// Selects the ramps for whose permits this instance asks: few more than it has requests.
    ///
    /// Permits of more ramps than there are requests would lapse.
    fn select_asked(&mut self) {
        let most = (std::mem::take(&mut self.wanted) * ASKED_PER_REQUEST).max(1);
        let mut digests: Vec<u64> = self.ramps.values().map(|s| s.digest).collect();
        digests.sort_by_key(|digest| digest.wrapping_mul(self.salt | 1));
        self.asked = digests.into_iter().take(most).collect();
    }

    /// Applies an update of the lease holder; `find` looks up an incarnation by its digest.
    pub fn apply(
        &mut self,
        entries: &[RampEntry],
        instances: u32,
        find: impl Fn(u64) -> Option<RampTarget>,
        now: Duration,
        draw: f64,
    ) -> Vec<RampNews> {
        self.instances = instances.max(1);
        self.salt = draw.to_bits();
        let mut news = Vec::new();
        for state in self.ramps.values_mut() {
            state.heard_at = now;
            state.grant(0, self.instances, now, draw);
        }
        for entry in entries {
            news.extend(self.apply_entry(entry, &find, now, draw));
        }
        let unnamed = self.ramps.values();
        let unnamed = unnamed.filter(|s| now > s.named_at + NAMED_TIMEOUT);
        let ids: Vec<String> = unnamed.map(|s| s.target.id.clone()).collect();
        for id in ids {
            news.extend(self.end(&id, RampEnd::Dropped, "link", now));
        }
        news
    }

    fn apply_entry(
        &mut self,
        entry: &RampEntry,
        find: impl Fn(u64) -> Option<RampTarget>,
        now: Duration,
        draw: f64,
    ) -> Option<RampNews> {
        let known = self.ramps.iter().find(|(_, s)| s.digest == entry.digest);
        let known = known.map(|(id, _)| id.clone());
        if entry.bound <= 0.0 {
            return known.and_then(|id| self.end(&id, RampEnd::Dropped, "link", now));
        }
        let Some(id) = known else {
            return self.adopt(entry, &find(entry.digest)?, now, draw);
        };
        let instances = self.instances;
        let state = self.ramps.get_mut(&id)?;
        state.named_at = now;
        if entry.round != state.ramp.round {
            state.counts = AnswerCounts::default();
        }
        let bound = f64::from(entry.bound);
        let mut news = None;
        if state.ramp.follow(bound, entry.round, entry.falls, now) {
            state.permits = Permits::new(instances, now, draw);
            news = Some(state.news("link", 0.0));
        }
        state.grant(entry.granted, instances, now, draw);
        if news.is_some() {
            self.remember(&id, entry.falls, now);
        }
        news
    }

    /// Begins a ramp that another instance decided on.
    pub(super) fn adopt(
        &mut self,
        entry: &RampEntry,
        target: &RampTarget,
        now: Duration,
        draw: f64,
    ) -> Option<RampNews> {
        if self.ramps.contains_key(&target.id) {
            return None;
        }
        let mut ramp = Ramp::new(0.0, entry.falls, entry.round, &self.settings, now);
        ramp.bound = f64::from(entry.bound).max(self.settings.floor);
        let news = self.insert(target, ramp, ("link", 0.0), now, draw);
        let instances = self.instances;
        if let Some(state) = self.ramps.get_mut(&target.id) {
            state.grant(entry.granted, instances, now, draw);
        }
        Some(news)
    }

    /// Permits that this instance asks for, by id of the endpoint.
    pub(super) fn ahead(&self, id: &str, now: Duration) -> u32 {
        let state = self.ramps.get(id);
        state.map_or(0, |s| s.permits.missing(s.ramp.bound, now).ahead)
    }
}

impl RampState {
    fn grant(&mut self, permits: u32, instances: u32, now: Duration, draw: f64) {
        if permits > 0 {
            // The holder counts a permit as on the way until a report shows that it was heard of.
            self.reported = RampEntry::default();
        }
        let grant = Grant {
            permits,
            next_in: Duration::ZERO,
            instances,
        };
        self.permits.grant(grant, self.ramp.bound, now, draw);
    }
}
