//! Ledger of the lease holder: one bucket for each account, out of which instances get credit.
//!
//! Credit that an instance holds unused counts as part of the bucket. The units that are left and
//! the credit outstanding together never exceed the burst and [`EXTRA_TIME`] of the rate, so that
//! the use in any window is bounded whatever instances hold at its start.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::super::accounts::{Accounts, Quota};
use super::message::{QuotaGrant, QuotaNeed, QuotaReport};
use super::{MILLION, largest_request, part_of_rate, units};

/// Units beyond the burst that a bucket and the credit from it may hold, as time at the rate.
///
/// It covers credit held ahead of requests and use that is not reported yet. The window check allows
/// a tenth of 8 s of the rate.
pub const EXTRA_TIME: Duration = Duration::from_millis(500);
/// Share of the burst that is kept for waiting requests when credit is granted ahead of them.
const WAITING_RESERVE: f64 = 0.5;
/// Age of the newest update that an instance has heard, from which its own part is set aside; below
/// the time after which it uses that part.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for which the part of a lost instance is set aside, as it may go on without the holder.
///
/// The part of one that is cut off for longer is within the tolerance of the window check.
const PART_RESERVE: Duration = Duration::from_secs(10);
/// Age at which credit that was neither used nor returned counts as spent.
const MAX_CREDIT_AGE: Duration = Duration::from_secs(3);
/// Longest wait of a request; one that needs longer does not hold up others.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time constant of an instance's measured use, from which its share follows.
const USE_WINDOW: Duration = Duration::from_secs(10);
/// Change of a share from which it is told, relative to the share.
const SHARE_STEP: f64 = 0.25;
/// Least change of a share that is told.
const MIN_SHARE_STEP: f64 = 0.001;
/// Use of an account assumed when an instance is linked, relative to its rate.
const PRIOR_LOAD: f64 = 0.5;
/// Share that an instance unknown to a new holder may have, in multiples of an equal one.
const UNKNOWN_SKEW: f64 = 3.0;
/// Accounts that one instance may report; more are ignored.
const MAX_ACCOUNTS: usize = 4096;

/// Grants by number of the link.
pub type LinkGrants = BTreeMap<u64, Vec<QuotaGrant>>;

/// A linked instance.
#[derive(Debug, Clone, Default, PartialEq)]
struct Peer {
    name: String,
    start: u64,
    /// Holder's clock in the newest update that the instance has heard.
    heard: Duration,
}

/// What one instance holds and wants of one account.
#[derive(Debug, Clone, Default, PartialEq)]
struct Holding {
    need: QuotaNeed,
    /// Units granted on this link.
    granted: u64,
    /// Grants that are neither used nor returned.
    open: VecDeque<(Duration, u64)>,
    /// Units that waiting requests lack and that have not been granted.
    waiting: VecDeque<u32>,
    /// Since when requests of this instance wait.
    since: Duration,
    /// Units wanted ahead that have not been granted.
    ahead: u64,
    /// Share last told.
    told: f64,
    /// Largest share that the instance may believe it has.
    share: f64,
    /// Mean use in units a second, as of `used_at`.
    mean_use: f64,
    used_at: Duration,
}

/// Part of an instance that was lost and may go on without the holder.
#[derive(Debug, Clone, PartialEq)]
struct LostPart {
    name: String,
    share: f64,
    until: Duration,
    /// Units of its credit that may still be used until `credit_until`.
    credit: u64,
    credit_until: Duration,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Bucket {
    tokens: f64,
    updated: Duration,
    holdings: BTreeMap<u64, Holding>,
    lost: Vec<LostPart>,
    /// Units of open credit of all linked instances.
    open: u64,
    /// Sum of the shares of all linked instances.
    shares: f64,
    /// Sum of their mean use, as of `used_at`.
    mean_use: f64,
    used_at: Duration,
    /// Links with waiting requests.
    waiting: BTreeSet<u64>,
}

/// The part of an account's rate that is set aside for instances without the holder.
#[derive(Debug, Clone)]
struct Aside {
    links: u32,
    /// Links of instances that have not heard the holder of late.
    silent: Vec<u64>,
    missing: u32,
}

/// Buckets of all accounts during one term of the lease.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ledger {
    began: Option<Duration>,
    peers: BTreeMap<u64, Peer>,
    /// Most instances that any instance knew when it was linked.
    known: u32,
    buckets: BTreeMap<String, Bucket>,
}

impl Ledger {
    /// Ends the term: nothing is granted until the next report, and buckets begin empty then.
    pub fn end_term(&mut self) {
        *self = Self::default();
    }

    /// Number of linked instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::quotas::ledger::Ledger;
    ///
    /// assert_eq!(Ledger::default().instances(), 0);
    /// ```
    #[must_use]
    pub fn instances(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Takes a report, and grants what the accounts in it allow, to all instances that wait.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::accounts::{Account, Accounts, Quota};
    /// use brassrack::gateway::quotas::ledger::Ledger;
    /// use brassrack::gateway::quotas::message::{QuotaNeed, QuotaReport};
    ///
    /// let mut accounts = Accounts::default();
    /// let quota = Quota { rate: 20.0, burst: 40.0, ..Quota::default() };
    /// accounts.insert(Account { name: "a".into(), quota: Some(quota), ..Account::default() }, []);
    /// let need = QuotaNeed { account: "a".into(), waiting: vec![1], ..QuotaNeed::default() };
    /// let report = QuotaReport { needs: vec![need], ..QuotaReport::default() };
    /// let (mut ledger, second) = (Ledger::default(), Duration::from_secs(1));
    /// assert_eq!(ledger.report(1, "i", &report, &accounts, second)[&1][0].granted, 0);
    /// assert_eq!(ledger.serve_waiting(&accounts, second * 2)[&1][0].granted, 1);
    /// ```
    #[must_use]
    pub fn report(
        &mut self,
        link: u64,
        name: &str,
        report: &QuotaReport,
        accounts: &Accounts,
        now: Duration,
    ) -> LinkGrants {
        self.began.get_or_insert(now);
        if !self.peers.contains_key(&link) {
            self.open(link, name, report, now);
        }
        if let Some(peer) = self.peers.get_mut(&link) {
            let heard = Duration::from_millis(report.heard_ms);
            peer.heard = peer.heard.max(heard.min(now));
        }
        let mut grants = LinkGrants::new();
        let aside = self.aside(now);
        for need in report.needs.iter().take(MAX_ACCOUNTS) {
            let Some(quota) = quota_of(accounts, &need.account) else {
                self.buckets.remove(&need.account);
                continue;
            };
            let began = self.began.unwrap_or(now);
            let bucket = self.buckets.entry(need.account.clone());
            let bucket = bucket.or_insert_with(|| Bucket {
                updated: began,
                ..Bucket::default()
            });
            let rate = bucket.rate(quota, &aside, now);
            bucket.refill(quota, rate, now);
            bucket.take_need(link, need, quota, now);
            bucket.adjust_share(link, now);
            let mut changed = bucket.grant_waiting(quota, rate, now);
            bucket.grant_ahead(link, quota, now);
            changed.push(link);
            bucket.add_grants(&need.account, &changed, &mut grants);
        }
        grants
    }

    /// Grants credit that has become free to the requests that wait for it.
    #[must_use]
    pub fn serve_waiting(&mut self, accounts: &Accounts, now: Duration) -> LinkGrants {
        let mut grants = LinkGrants::new();
        let aside = self.aside(now);
        self.buckets
            .retain(|account, _| quota_of(accounts, account).is_some());
        for (account, bucket) in &mut self.buckets {
            let Some(quota) = quota_of(accounts, account).filter(|_| bucket.has_waiting()) else {
                continue;
            };
            let rate = bucket.rate(quota, &aside, now);
            bucket.refill(quota, rate, now);
            let changed = bucket.grant_waiting(quota, rate, now);
            bucket.add_grants(account, &changed, &mut grants);
        }
        grants
    }

    /// Time until credit for the next waiting request is free; none where no request waits.
    #[must_use]
    pub fn next_free(&self, accounts: &Accounts) -> Option<Duration> {
        let times = self.buckets.iter().filter_map(|(account, bucket)| {
            let quota = quota_of(accounts, account)?;
            let links = bucket.waiting.iter();
            let fronts = links.filter_map(|l| bucket.holdings.get(l)?.waiting.front());
            let least = f64::from(*fronts.min()?);
            let missing = (least - bucket.tokens).max(0.0);
            Duration::try_from_secs_f64(missing / quota.rate).ok()
        });
        times.min()
    }

    /// Drops a link; the credit of its instance counts as spent, and its part is set aside.
    pub fn close(&mut self, link: u64, now: Duration) {
        let Some(peer) = self.peers.remove(&link) else {
            return;
        };
        for bucket in self.buckets.values_mut() {
            if let Some(holding) = bucket.holdings.remove(&link) {
                bucket.open -= holding.outstanding();
                bucket.shares -= holding.share;
                let mean_use = decayed(holding.mean_use, holding.used_at, now);
                bucket.mean_use = decayed(bucket.mean_use, bucket.used_at, now) - mean_use;
                bucket.used_at = now;
                bucket.waiting.remove(&link);
                bucket.lost.push(LostPart {
                    name: peer.name.clone(),
                    share: holding.share,
                    until: now + PART_RESERVE,
                    credit: holding.outstanding(),
                    credit_until: now + MAX_CREDIT_AGE,
                });
            }
        }
    }

    fn open(&mut self, link: u64, name: &str, report: &QuotaReport, now: Duration) {
        // An instance has one link; it may come back before its old one is found closed.
        let old = self.peers.iter().find(|(_, p)| p.name == name);
        if let Some(old) = old.map(|(number, _)| *number) {
            self.close(old, now);
        }
        for bucket in self.buckets.values_mut() {
            // The same run names its shares in this report; another run has replaced the lost one.
            for part in bucket.lost.iter_mut().filter(|part| part.name == name) {
                part.until = now;
            }
        }
        self.known = self.known.max(report.instances);
        let peer = Peer {
            name: name.to_owned(),
            start: report.start,
            heard: now,
        };
        self.peers.insert(link, peer);
    }

    fn aside(&self, now: Duration) -> Aside {
        let links = self.instances();
        let began = self.began.unwrap_or(now);
        let missing = if now < began + PART_RESERVE {
            self.known.saturating_sub(links)
        } else {
            0
        };
        let silent = self.peers.iter().filter(|(_, p)| p.is_silent(now));
        Aside {
            links,
            silent: silent.map(|(link, _)| *link).collect(),
            missing,
        }
    }
}

impl Peer {
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.heard + SILENCE
    }
}

impl Holding {
    fn outstanding(&self) -> u64 {
        self.open.iter().map(|(_, amount)| amount).sum()
    }

    /// Removes up to `amount` units of open credit, oldest first; returns how many there were.
    fn settle(&mut self, amount: u64) -> u64 {
        let mut left = amount;
        while let Some((_, open)) = self.open.front_mut()
            && left > 0
        {
            let part = left.min(*open);
            *open -= part;
            left -= part;
            if *open == 0 {
                self.open.pop_front();
            }
        }
        amount - left
    }

    fn grant(&mut self, amount: u64, now: Duration) {
        self.granted += amount;
        self.open.push_back((now, amount));
    }
}

impl Bucket {
    /// The part of the account's rate that is not set aside for instances without the holder.
    fn rate(&mut self, quota: &Quota, aside: &Aside, now: Duration) -> f64 {
        self.lost
            .retain(|part| now < part.until.max(part.credit_until));
        let lost = self.lost.iter().filter(|part| now < part.until);
        let (lost_share, lost_count) = lost.fold((0.0, 0), |(s, c), part| (s + part.share, c + 1));
        let silent = aside.silent.iter().filter_map(|l| self.holdings.get(l));
        let silent_share: f64 = silent.map(|h| h.share).sum();
        let told = self.shares;
        // Instances that the last holder knew and that have not come back to this one.
        let known = f64::from(aside.links + aside.missing).max(1.0);
        let skewed = UNKNOWN_SKEW * f64::from(aside.missing) / known;
        let unknown = (1.0 - told - lost_share).clamp(0.0, skewed.min(1.0));
        let silent = u32::try_from(aside.silent.len()).unwrap_or(u32::MAX);
        let others = silent + aside.missing.max(lost_count);
        let all = (aside.links + aside.missing.max(lost_count)).max(1);
        let away = part_of_rate(lost_share + silent_share + unknown, 0)
            + (1.0 - part_of_rate(1.0, 0)) * f64::from(others) / f64::from(all);
        quota.rate * (1.0 - away).clamp(0.0, 1.0)
    }

    fn outstanding(&self, now: Duration) -> u64 {
        let lost = self.lost.iter().filter(|part| now < part.credit_until);
        self.open + lost.map(|part| part.credit).sum::<u64>()
    }

    fn refill(&mut self, quota: &Quota, rate: f64, now: Duration) {
        let since = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        let room = capacity(quota) - float(self.outstanding(now)) - self.tokens;
        self.tokens += (rate * since).min(room.max(0.0));
        self.tokens = self.tokens.min(capacity(quota));
    }

    /// Takes the figures of a report.
    fn take_need(&mut self, link: u64, need: &QuotaNeed, quota: &Quota, now: Duration) {
        let holding = self.holdings.entry(link).or_default();
        // Totals that fall are those of an instance that had forgotten the account.
        let is_new = holding.used_at.is_zero() || need.used < holding.need.used;
        if is_new {
            holding.granted = need.seen;
            let share = f64::from(need.share) / MILLION;
            self.shares += share - holding.share;
            holding.share = share;
            holding.told = share;
            // The share stands for the use until that is measured.
            let before = decayed(holding.mean_use, holding.used_at, now);
            holding.mean_use = share * quota.rate * PRIOR_LOAD;
            holding.used_at = now;
            let all = decayed(self.mean_use, self.used_at, now);
            self.mean_use = all + holding.mean_use - before;
            self.used_at = now;
        } else {
            let grown = |now: u64, before: u64| now.saturating_sub(before);
            let used = grown(need.used, holding.need.used);
            let overdrawn = grown(need.overdrawn, holding.need.overdrawn);
            let before = holding.outstanding();
            holding.settle(used.saturating_sub(overdrawn));
            self.tokens -= float(overdrawn);
            let returned = holding.settle(grown(need.returned, holding.need.returned));
            holding.open.retain(|(at, _)| now < *at + MAX_CREDIT_AGE);
            self.open -= before - holding.outstanding();
            let refunded = grown(need.refunded, holding.need.refunded);
            self.tokens += float(returned + refunded);
            let added = float(used) / USE_WINDOW.as_secs_f64();
            holding.mean_use = decayed(holding.mean_use, holding.used_at, now) + added;
            holding.used_at = now;
            self.mean_use = decayed(self.mean_use, self.used_at, now) + added;
            self.used_at = now;
        }
        let mut on_way = holding.granted.saturating_sub(need.seen);
        let had_waiting = !holding.waiting.is_empty();
        holding.waiting = need.waiting.iter().copied().collect();
        while let Some(front) = holding.waiting.front_mut()
            && on_way > 0
        {
            let part = on_way.min((*front).into());
            on_way -= part;
            *front -= u32::try_from(part).unwrap_or(0);
            if *front > 0 {
                break;
            }
            holding.waiting.pop_front();
        }
        if !had_waiting {
            holding.since = now;
        }
        holding.ahead = u64::from(need.ahead).saturating_sub(on_way);
        holding.need = need.clone();
        if holding.waiting.is_empty() {
            self.waiting.remove(&link);
        } else {
            self.waiting.insert(link);
        }
    }

    /// Moves the share that an instance is told towards its share of the use.
    ///
    /// Shares that instances believe to have never add up to more than 1: one is raised only by what
    /// no other instance may still believe to have.
    fn adjust_share(&mut self, link: u64, now: Duration) {
        let all = decayed(self.mean_use, self.used_at, now);
        let lost = self.lost.iter().filter(|part| now < part.until);
        let lost: f64 = lost.map(|part| part.share).sum();
        let Some(holding) = self.holdings.get_mut(&link) else {
            return;
        };
        let known = f64::from(holding.need.share) / MILLION;
        if (known - holding.told).abs() < 1.5 / MILLION {
            self.shares += holding.told - holding.share;
            holding.share = holding.told;
        }
        if all <= 0.0 {
            return;
        }
        let wanted = decayed(holding.mean_use, holding.used_at, now) / all;
        if (wanted - holding.told).abs() < SHARE_STEP.mul_add(holding.told, MIN_SHARE_STEP) {
            return;
        }
        let others = self.shares - holding.share;
        if wanted > holding.share {
            let free = (1.0 - lost - others).max(holding.share);
            holding.told = wanted.min(free);
            self.shares += holding.told - holding.share;
            holding.share = holding.told;
        } else {
            holding.told = wanted;
        }
        holding.told = floor_millionths(holding.told);
    }

    fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Grants credit for waiting requests, longest waiting instance first, one request in turn.
    fn grant_waiting(&mut self, quota: &Quota, rate: f64, now: Duration) -> Vec<u64> {
        let waiting = self.waiting.iter();
        let since = |link| self.holdings.get(link).map(|h: &Holding| (h.since, *link));
        let mut order: Vec<(Duration, u64)> = waiting.filter_map(since).collect();
        order.sort_unstable();
        let patient = self.tokens + rate.min(quota.rate) * MAX_WAIT.as_secs_f64();
        let mut changed = Vec::new();
        while !order.is_empty() {
            let mut still = Vec::new();
            for (since, link) in order {
                let Some(holding) = self.holdings.get_mut(&link) else {
                    continue;
                };
                let Some(cost) = holding.waiting.front().copied() else {
                    self.waiting.remove(&link);
                    continue;
                };
                // One that cannot be served in time does not hold up others.
                if f64::from(cost) <= patient {
                    if f64::from(cost) > self.tokens {
                        return changed;
                    }
                    self.tokens -= f64::from(cost);
                    holding.grant(cost.into(), now);
                    self.open += u64::from(cost);
                    holding.since = now;
                    changed.push(link);
                }
                holding.waiting.pop_front();
                still.push((since, link));
            }
            order = still;
        }
        changed
    }

    /// Grants credit ahead of requests, in whole requests, to an instance that has just reported.
    fn grant_ahead(&mut self, link: u64, quota: &Quota, now: Duration) {
        if self.has_waiting() {
            return;
        }
        let reserve = quota.burst * WAITING_RESERVE;
        let room = EXTRA_TIME.as_secs_f64() * quota.rate - float(self.outstanding(now));
        let spare = units(room.min(self.tokens - reserve).max(0.0));
        let Some(holding) = self.holdings.get_mut(&link) else {
            return;
        };
        let unit = u64::from(holding.need.unit).max(1);
        let amount = unit * holding.ahead.div_ceil(unit).min(spare / unit);
        if amount > 0 {
            holding.ahead = holding.ahead.saturating_sub(amount);
            holding.grant(amount, now);
            self.open += amount;
            self.tokens -= float(amount);
        }
    }

    /// Adds the entries of the links to `grants`.
    fn add_grants(&self, account: &str, links: &[u64], grants: &mut LinkGrants) {
        let waiting = self.waiting.iter().filter_map(|l| self.holdings.get(l));
        let waiting = waiting.flat_map(|h| &h.waiting);
        let waiting: u64 = waiting.map(|cost| u64::from(*cost)).sum();
        let left = signed(units(self.tokens)) - signed(units(-self.tokens)) - signed(waiting);
        let users = self.holdings.values().filter(|h| h.told > 0.0).count();
        let users = u32::try_from(users).unwrap_or(u32::MAX);
        let links: BTreeSet<u64> = links.iter().copied().collect();
        for link in links {
            let Some(holding) = self.holdings.get(&link) else {
                continue;
            };
            grants.entry(link).or_default().push(QuotaGrant {
                account: account.to_owned(),
                granted: holding.granted,
                left,
                share: u32::try_from(units(holding.told * MILLION)).unwrap_or(0),
                users,
            });
        }
    }
}

/// Units that a bucket and the credit from it hold at most.
fn capacity(quota: &Quota) -> f64 {
    let extra = EXTRA_TIME.as_secs_f64() * quota.rate;
    (quota.burst + extra).max(largest_request(quota))
}

fn quota_of<'a>(accounts: &'a Accounts, account: &str) -> Option<&'a Quota> {
    let quota = accounts.by_name(account)?.quota.as_ref();
    quota.filter(|quota| quota.rate > 0.0)
}

/// A mean that was `mean` at `from`.
fn decayed(mean: f64, from: Duration, now: Duration) -> f64 {
    let age = now.saturating_sub(from).as_secs_f64();
    mean * (-age / USE_WINDOW.as_secs_f64()).exp()
}

fn floor_millionths(share: f64) -> f64 {
    (share * MILLION).floor() / MILLION
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "units stay far below 2^53")]
const fn float(amount: u64) -> f64 {
    amount as f64
}
