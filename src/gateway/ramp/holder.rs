//! The lease holder's part: decides the bounds by the answers of all instances, and grants permits.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::link::{DemandReport, RampEntry};
use super::super::orders::limit_ledger::{InstanceWant, LimitLedger};
use super::super::servers::LimitNotice;
use super::table::EJECTION_TTL;
use super::{AnswerCounts, PeerRates, RampGroup, RampNews, RampTable, RampTarget};

/// Time for which the end of a ramp is told: several full updates.
const END_SHARE_TIME: Duration = Duration::from_secs(3);
/// Least time between two decisions: at 350 instances each one reads thousands of entries.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which old reports are dropped.
const DROP_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which an entry of a report no longer counts; full reports come each second.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Instances that must have ejected a server before it ramps for all.
///
/// The failures that a single one sees may be those of its path.
const EJECTING_INSTANCES: usize = 2;

/// What one instance reported of a ramp.
#[derive(Debug)]
struct ReportedRamp {
    entry: RampEntry,
    /// Holder's clock in the last update that the instance had when it reported.
    heard: Duration,
    /// When the report was taken.
    at: Duration,
}

/// Ramps under one lease holder.
#[derive(Debug, Default)]
pub struct RampHolder {
    /// What instances reported of each ramp, by digest and number of the link.
    reported: BTreeMap<u64, BTreeMap<u64, ReportedRamp>>,
    /// When instances reported that they ejected a server, by digest and number of the link.
    ejected: BTreeMap<u64, BTreeMap<u64, Duration>>,
    /// Rates of the peers at each instance and when they came, by service and number of the link.
    paces: BTreeMap<String, BTreeMap<u64, (PeerRates, Duration)>>,
    /// Number of other instances.
    links: usize,
    stepped_at: Duration,
    dropped_at: Duration,
    ledger: LimitLedger,
    /// Bounds now, by digest.
    bounds: BTreeMap<u64, RampEntry>,
    /// Bounds that were told last.
    told: BTreeMap<u64, RampEntry>,
    /// Entries that differ from those.
    changed: Vec<RampEntry>,
    /// When ramps ended, by digest.
    ended: BTreeMap<u64, Duration>,
    /// When ramps began after an ejection, by digest.
    begun: BTreeMap<u64, Duration>,
    /// Permits granted now, by number of the link and digest.
    grants: BTreeMap<u64, BTreeMap<u64, u32>>,
}

impl RampHolder {
    /// Takes a report of an instance.
    pub fn record(&mut self, link: u64, demand: &DemandReport, now: Duration) {
        let heard = Duration::from_millis(demand.clock_echo);
        for entry in &demand.ramps {
            if entry.ejected {
                let ejected = self.ejected.entry(entry.digest).or_default();
                ejected.insert(link, now);
            } else {
                let ramp = ReportedRamp {
                    entry: *entry,
                    heard,
                    at: now,
                };
                let reported = self.reported.entry(entry.digest).or_default();
                reported.insert(link, ramp);
            }
        }
        for pace in &demand.paces {
            let rates = PeerRates {
                rate: pace.rate.into(),
                slow: pace.slow.into(),
                failed: pace.failed.into(),
            };
            let paces = self.paces.entry(pace.service.clone()).or_default();
            paces.insert(link, (rates, now));
        }
    }

    /// Drops what is too old to count.
    fn drop_old(&mut self, now: Duration) {
        if now < self.dropped_at + DROP_INTERVAL {
            return;
        }
        self.dropped_at = now;
        for reported in self.reported.values_mut() {
            reported.retain(|_, ramp| now < ramp.at + REPORT_TTL);
        }
        self.reported.retain(|_, reported| !reported.is_empty());
        for ejected in self.ejected.values_mut() {
            ejected.retain(|_, at| now < *at + EJECTION_TTL);
        }
        self.ejected.retain(|_, ejected| !ejected.is_empty());
        for paces in self.paces.values_mut() {
            paces.retain(|_, (_, at)| now < *at + REPORT_TTL);
        }
        self.paces.retain(|_, paces| !paces.is_empty());
        self.begun.retain(|_, at| now < *at + EJECTION_TTL * 2);
    }

    /// Records the number of other instances.
    pub const fn set_links(&mut self, links: usize) {
        self.links = links;
    }

    /// Drops everything, at the begin of a term.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the next decision is due.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.stepped_at + STEP_INTERVAL
    }

    /// Whether no instance reports a server that ramps or that it ejected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.reported.is_empty() && self.ejected.is_empty()
    }

    /// Whether any permit is granted now, or any bound has changed.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.grants.is_empty() || !self.changed.is_empty()
    }

    /// Decides the bounds and grants permits; `table` is the holder's own, `own` its number.
    ///
    /// `find` looks up an incarnation by its digest; `draw` is uniform between 0 and 1.
    pub fn step(
        &mut self,
        table: &mut RampTable,
        groups: &BTreeMap<String, RampGroup>,
        find: impl Fn(u64) -> Option<RampTarget>,
        own: u64,
        (now, draw): (Duration, f64),
    ) -> Vec<RampNews> {
        self.stepped_at = now;
        self.drop_old(now);
        for (service, paces) in &self.paces {
            let own = table.rates(service, now);
            let sum = paces.values().fold(own, |sum, (r, _)| sum.plus(*r));
            table.set_fleet_rates(service, sum, now);
        }
        let mut news = self.adopt(table, &find, now, draw);
        news.extend(self.begin_ejected(table, groups, &find, now, draw));
        let ids: Vec<String> = table.ramps.keys().cloned().collect();
        for id in ids {
            news.extend(self.judge(table, groups, &id, now, draw));
        }
        self.grant(table, own, now);
        news
    }

    /// Takes over ramps that other instances know and the holder does not.
    fn adopt(
        &self,
        table: &mut RampTable,
        find: impl Fn(u64) -> Option<RampTarget>,
        now: Duration,
        draw: f64,
    ) -> Vec<RampNews> {
        let mut unknown: BTreeMap<u64, RampEntry> = BTreeMap::new();
        let reported = self.reported.iter();
        for (digest, by) in reported.filter(|(digest, _)| !self.bounds.contains_key(digest)) {
            let is_open = |e: &&RampEntry| e.bound > 0.0 && !table.has_ended(*digest, e.round);
            let latest = by.values().map(|r| &r.entry).filter(is_open);
            if let Some(entry) = latest.max_by_key(|e| e.round) {
                unknown.insert(*digest, *entry);
            }
        }
        let targets = unknown.values().filter_map(|e| Some((e, find(e.digest)?)));
        let adopted: Vec<(&RampEntry, RampTarget)> = targets.collect();
        let news = adopted.iter();
        news.filter_map(|(entry, target)| table.adopt(entry, target, now, draw))
            .collect()
    }

    fn begin_ejected(
        &mut self,
        table: &mut RampTable,
        groups: &BTreeMap<String, RampGroup>,
        find: impl Fn(u64) -> Option<RampTarget>,
        now: Duration,
        draw: f64,
    ) -> Vec<RampNews> {
        let counts = self.ejected.iter().map(|(digest, by)| (*digest, by.len()));
        let mut counts: BTreeMap<u64, usize> = counts.collect();
        for digest in table.ejected(now) {
            *counts.entry(digest).or_default() += 1;
        }
        let needed = EJECTING_INSTANCES.min(self.links + 1);
        let mut news = Vec::new();
        for (digest, count) in counts {
            if count < needed || self.begun.contains_key(&digest) {
                continue;
            }
            let Some(target) = find(digest).filter(|t| !table.ramps.contains_key(&t.id)) else {
                continue;
            };
            let group = groups.get(&target.service).copied().unwrap_or_default();
            let group = RampGroup {
                slots: group.slots.saturating_sub(target.slots),
                ramping: group.ramping + target.slots,
            };
            if !group.peers(target.slots, PeerRates::default()).present {
                continue;
            }
            self.begun.insert(digest, now);
            let round = table.last_round(digest) + 1;
            news.extend(table.begin(&target, group, round, "ejection", now, draw));
        }
        news
    }

    fn judge(
        &self,
        table: &mut RampTable,
        groups: &BTreeMap<String, RampGroup>,
        id: &str,
        now: Duration,
        draw: f64,
    ) -> Option<RampNews> {
        let state = table.ramps.get(id)?;
        let (target, digest) = (state.target.clone(), state.digest);
        let reported = self.reported.get(&digest).into_iter();
        let reported = reported.flat_map(BTreeMap::values);
        let current = reported.filter(|r| r.entry.round == state.ramp.round);
        let mut answers: Vec<AnswerCounts> = current
            .map(|ReportedRamp { entry, .. }| AnswerCounts {
                in_time: entry.in_time,
                slow: entry.slow,
                failed: entry.failed,
            })
            .collect();
        answers.push(state.counts);
        let group = groups.get(&target.service).copied().unwrap_or_default();
        let rates = table.fleet_rates(&target.service, now);
        let mut peers = group.peers(target.slots, rates);
        let heard = self.paces.get(&target.service).map_or(0, BTreeMap::len);
        if heard * 2 < self.links {
            // Too few have reported, as at the begin of a term, to tell whether the ramp is over.
            peers.rate = peers.rate.max(state.ramp.bound * 2.0);
        }
        table.step(id, AnswerCounts::sum(&answers), &peers, now, draw)
    }

    fn grant(&mut self, table: &RampTable, own: u64, now: Duration) {
        let states = table.ramps.values();
        let bounds: BTreeMap<u64, RampEntry> =
            states.map(|s| (s.digest, s.bound_entry())).collect();
        for digest in self.bounds.keys().filter(|d| !bounds.contains_key(d)) {
            self.ended.insert(*digest, now);
        }
        self.ended
            .retain(|digest, at| now < *at + END_SHARE_TIME && !bounds.contains_key(digest));
        let is_told = |e: &&RampEntry| self.told.get(&e.digest) == Some(*e);
        let changed = bounds.values().filter(|e| !is_told(e)).copied();
        let ended = self.told.keys().filter(|d| !bounds.contains_key(d));
        let ended = ended.map(|digest| RampEntry {
            digest: *digest,
            ..RampEntry::default()
        });
        self.changed = changed.chain(ended).collect();
        self.bounds = bounds;
        let states = table.ramps.values();
        let notices: Vec<(u64, LimitNotice)> = states
            .map(|state| {
                let notice = LimitNotice {
                    id: state.target.id.clone(),
                    started_ms: state.target.started_ms,
                    rate: Some(state.ramp.bound),
                    age: Duration::ZERO,
                };
                (state.digest, notice)
            })
            .collect();
        let limits: Vec<LimitNotice> = notices.iter().map(|(_, n)| n.clone()).collect();
        self.ledger.keep(&limits);
        self.grants.clear();
        for (digest, notice) in notices {
            let reported = self.reported.get(&digest).into_iter().flatten();
            let wanting = reported.filter(|(_, ramp)| ramp.entry.ahead > 0);
            let mut wants: Vec<InstanceWant> = wanting
                .map(|(link, ramp)| InstanceWant {
                    instance: *link,
                    waiting: 0,
                    ahead: ramp.entry.ahead,
                    heard: ramp.heard,
                })
                .collect();
            wants.push(InstanceWant {
                instance: own,
                waiting: 0,
                ahead: table.ahead(&notice.id, now),
                heard: now,
            });
            for (instance, permits) in self.ledger.grant(&notice, &wants, now).permits {
                let granted = self.grants.entry(instance).or_default();
                granted.insert(digest, permits);
            }
        }
    }

    /// Entries of the update to one instance: what changed and what it is granted, or all.
    #[must_use]
    pub fn entries(&self, instance: u64, all: bool) -> Vec<RampEntry> {
        let granted = self.grants.get(&instance);
        let permits = |digest: &u64| granted.and_then(|g| g.get(digest)).copied();
        let with_permits = |entry: &RampEntry| RampEntry {
            granted: permits(&entry.digest).unwrap_or_default(),
            ..*entry
        };
        if all {
            let ended = self.ended.keys().map(|digest| RampEntry {
                digest: *digest,
                ..RampEntry::default()
            });
            return self
                .bounds
                .values()
                .map(with_permits)
                .chain(ended)
                .collect();
        }
        let mut entries: Vec<RampEntry> = self.changed.iter().map(with_permits).collect();
        let granted = granted.into_iter().flatten();
        let unchanged = granted.filter(|(d, _)| !self.changed.iter().any(|e| e.digest == **d));
        let bounds = unchanged.filter_map(|(digest, _)| self.bounds.get(digest));
        entries.extend(bounds.map(with_permits));
        entries
    }

    /// Records that an update was sent to all instances.
    pub fn record_told(&mut self) {
        self.told.clone_from(&self.bounds);
        self.changed.clear();
        self.grants.clear();
    }
}
