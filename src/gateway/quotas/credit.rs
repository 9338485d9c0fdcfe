//! Credit of an instance: what the lease holder granted it, or its own part of the rate without one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::super::accounts::Quota;
use super::message::{QuotaGrant, QuotaNeed, QuotaReport, QuotaUpdate};
use super::{MILLION, largest_request, part_of_rate, units};

/// Time for which granted credit is valid, counted from the grant by the holder.
pub const CREDIT_TTL: Duration = Duration::from_secs(1);
/// Time without an update of the holder after which an instance uses its own part of the rate.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which an account without requests is still reported.
const SEEN_TIME: Duration = Duration::from_secs(10);
/// Time for which an account that is no longer configured is kept; requests may still return credit.
const KEEP_TIME: Duration = Duration::from_mins(1);
/// Time constant of the measured use.
const USE_WINDOW: Duration = Duration::from_secs(1);
/// Time of use for which credit is asked ahead: an interval between reports and the way there.
const AHEAD_TIME: f64 = 0.3;
/// Interval after which the figures of an account are reported though nothing changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(800);
/// Age up to which a statement of the holder lets a request be refused at once.
const STATEMENT_TTL: Duration = Duration::from_secs(1);
/// Waiting requests of an account that are reported at most.
const MAX_WAITING: usize = 16;
/// Part of what the holder stated to be left that the instances use without it: others may have used
/// the rest since, or a holder that is only out of reach may grant it.
const LEFT_SHARE: f64 = 0.5;
/// Number of instances assumed where no holder has named it: the design size. With 64, a restart of
/// 350 instances would admit 5 times the rate until there is a holder.
const UNKNOWN_INSTANCES: u32 = 350;
/// Part of the units left that all instances together may use ahead of a grant.
///
/// With the units that a bucket holds beyond the burst, it stays within the tenth of 8 s of the rate
/// that the window check allows.
const OVERDRAFT_PARTS: f64 = 3.0;
/// Longest delay before a retry: one window of the quota check.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Time that the holder's answer takes at least.
const GRANT_TIME: Duration = Duration::from_millis(50);

/// A request of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge<'a> {
    /// Name of the account.
    pub account: &'a str,
    /// Its quota.
    pub quota: &'a Quota,
    /// Units that the request counts as.
    pub cost: u32,
    /// Time for which it may wait for credit.
    pub patience: Duration,
}

/// Why a request gets no credit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denial {
    /// Time at which there is credit for the request; none where it exceeds the burst.
    pub retry_after: Option<Duration>,
    /// Units left for all instances, less those that requests wait for, as far as is known.
    pub left: i64,
    /// Time since the holder said so; none where there is no holder.
    pub age: Option<Duration>,
}

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It may be sent; its units are taken.
    Admitted,
    /// It waits for credit, under this number.
    Waits(u64),
    /// It is refused.
    Denied(Denial),
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Pool {
    /// Granted credit, with the time at which it lapses.
    leases: VecDeque<(Duration, u64)>,
    used: u64,
    returned: u64,
    refunded: u64,
    /// Units used ahead of a grant, and those of them since the holder last stated what is left.
    overdrawn: u64,
    overdraft: u64,
    /// Instances that use the account, as the holder stated last.
    users: u32,
    /// Units granted on the present link.
    seen: u64,
    share: u32,
    /// Units left at the holder, and when it said so.
    left: i64,
    stated_at: Option<Duration>,
    /// Waiting requests by number, with their units.
    waiting: BTreeMap<u64, u32>,
    /// Mean use in units a second, as of `wanted_at`.
    mean_wanted: f64,
    wanted_at: Duration,
    /// Mean units of a request, and the largest ones of late.
    mean_cost: f64,
    largest_cost: f64,
    seen_at: Duration,
    /// Own part of the rate, in units, as of `own_at`.
    own: f64,
    own_at: Option<Duration>,
    /// When the next refused caller is told to come back.
    return_at: Duration,
    reported: QuotaNeed,
    reported_at: Option<Duration>,
}

/// Credit of an instance, by account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Credit {
    start: u64,
    pools: BTreeMap<String, Pool>,
    /// When the newest update was sent, by this instance's clock; none before the first one.
    heard: Option<Duration>,
    /// Holder's clock in it, in milliseconds.
    heard_ms: u64,
    /// Least difference between this clock and the holder's on the present link, in milliseconds.
    offset_ms: Option<i128>,
    instances: u32,
    last_number: u64,
}

impl Credit {
    /// No credit; `start` is a random number that names this run of the instance.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Takes credit for a request, or lets it wait; `draw` is uniform between 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::accounts::Quota;
    /// use brassrack::gateway::quotas::credit::{Charge, Credit, Decision};
    ///
    /// let quota = Quota { rate: 2.0, burst: 4.0, ..Quota::default() };
    /// let patience = Duration::from_millis(100);
    /// let charge = Charge { account: "a", quota: &quota, cost: 5, patience };
    /// let mut credit = Credit::new(1);
    /// let decision = credit.request(&charge, Duration::from_secs(9), 0.5);
    /// assert!(matches!(decision, Decision::Denied(denial) if denial.retry_after.is_none()));
    /// ```
    pub fn request(&mut self, charge: &Charge<'_>, now: Duration, draw: f64) -> Decision {
        let age = self.holder_age(now);
        let never_heard = self.heard.is_none();
        let part = self.part(charge.account, charge.quota.rate);
        let own_since = self.heard.map_or(now, |heard| heard + HOLDER_TIMEOUT);
        let instances = self.instances.max(1);
        let pool = self.pools.entry(charge.account.to_owned()).or_default();
        let cost = f64::from(charge.cost);
        let is_first = pool.seen_at.is_zero();
        pool.record_request(cost, now);
        if cost > largest_request(charge.quota) {
            return Decision::Denied(Denial {
                retry_after: None,
                left: pool.left,
                age: pool.statement_age(now).filter(|_| age.is_some()),
            });
        }
        if age.is_none() {
            // The bursts of all instances together stay within the account's.
            let share_of_burst = charge.quota.burst / f64::from(UNKNOWN_INSTANCES);
            if is_first && never_heard && draw * cost < share_of_burst {
                pool.used += u64::from(charge.cost);
                return Decision::Admitted;
            }
            pool.accrue(part, charge.quota, own_since, now, draw);
            if pool.own >= pool.largest_cost {
                pool.own -= cost;
                pool.used += u64::from(charge.cost);
                return Decision::Admitted;
            }
            let missing = (pool.largest_cost - pool.own) / part.max(f64::MIN_POSITIVE);
            let wait = Duration::try_from_secs_f64(missing).unwrap_or(MAX_RETRY_DELAY);
            return Decision::Denied(pool.deny(wait, cost, part, None, now));
        }
        pool.own_at = None;
        pool.drop_lapsed(now);
        if pool.waiting.is_empty() && pool.take(charge.cost) {
            return Decision::Admitted;
        }
        if pool.waiting.is_empty() && pool.overdraw(charge, instances, now) {
            return Decision::Admitted;
        }
        let wait = pool.expected_wait(cost, charge.quota.rate, now);
        if wait > charge.patience {
            let age = pool.statement_age(now);
            return Decision::Denied(pool.deny(wait, cost, part, age, now));
        }
        self.last_number += 1;
        pool.waiting.insert(self.last_number, charge.cost);
        Decision::Waits(self.last_number)
    }

    /// Takes credit for a waiting request once it is its turn; true where it may be sent.
    pub fn take_waiting(&mut self, account: &str, number: u64, now: Duration) -> bool {
        let Some(pool) = self.pools.get_mut(account) else {
            return false;
        };
        pool.drop_lapsed(now);
        let is_next = pool.waiting.first_key_value();
        let Some((_, cost)) = is_next.filter(|(first, _)| **first == number) else {
            return false;
        };
        let cost = *cost;
        let taken = pool.take(cost);
        if taken {
            pool.waiting.remove(&number);
        }
        taken
    }

    /// Ends the wait of a request without credit, and says when to come back.
    pub fn give_up(&mut self, charge: &Charge<'_>, number: u64, now: Duration) -> Denial {
        let part = self.part(charge.account, charge.quota.rate);
        let pool = self.pools.entry(charge.account.to_owned()).or_default();
        pool.waiting.remove(&number);
        let cost = charge.cost.into();
        let wait = pool.expected_wait(cost, charge.quota.rate, now);
        let age = pool.statement_age(now);
        pool.deny(wait, cost, part, age, now)
    }

    /// Forgets a waiting request, as its caller is gone.
    pub fn cancel(&mut self, account: &str, number: u64) {
        if let Some(pool) = self.pools.get_mut(account) {
            pool.waiting.remove(&number);
        }
    }

    /// Returns the credit of a request that ended without a run.
    pub fn refund(&mut self, account: &str, cost: u32) {
        if let Some(pool) = self.pools.get_mut(account) {
            pool.refunded += u64::from(cost);
        }
    }

    /// Begins a link to a holder, whose totals start at zero.
    pub fn begin_link(&mut self) {
        self.heard_ms = 0;
        self.offset_ms = None;
        for pool in self.pools.values_mut() {
            pool.seen = 0;
            pool.reported_at = None;
        }
    }

    /// Records an update of the holder sent at `clock_ms` of its clock; returns its age.
    pub fn hear(&mut self, clock_ms: u64, instances: u32, now: Duration) -> Duration {
        let now_ms = i128::try_from(now.as_millis()).unwrap_or(i128::MAX);
        let offset = now_ms - i128::from(clock_ms);
        let least = self.offset_ms.map_or(offset, |known| known.min(offset));
        self.offset_ms = Some(least);
        let age = u64::try_from(offset - least).unwrap_or(u64::MAX);
        let age = Duration::from_millis(age);
        self.heard_ms = self.heard_ms.max(clock_ms);
        self.heard = self.heard.max(Some(now.saturating_sub(age)));
        if instances > 0 {
            self.instances = instances;
        }
        age
    }

    /// Takes over what the holder grants; returns the units that it granted anew, by account.
    ///
    /// Credit in an update that was long on the way, as to a frozen instance, has lapsed.
    pub fn apply(&mut self, update: &QuotaUpdate, now: Duration) -> Vec<(String, u64)> {
        let age = self.hear(update.clock_ms, update.instances, now);
        let sent = now.saturating_sub(age);
        let mut granted = Vec::new();
        for grant in &update.grants {
            let Some(pool) = self.pools.get_mut(&grant.account) else {
                continue;
            };
            let anew = pool.apply(grant, sent, now);
            if anew > 0 {
                granted.push((grant.account.clone(), anew));
            }
        }
        granted
    }

    /// The report to the holder: accounts with changed figures, or all of them on a new link.
    ///
    /// `is_stopping` gives up the shares of an instance that will not go on without the holder.
    #[must_use]
    pub fn report(&mut self, is_stopping: bool, now: Duration) -> QuotaReport {
        let mut needs = Vec::new();
        for (account, pool) in &mut self.pools {
            pool.drop_lapsed(now);
            let need = pool.need(account, is_stopping, now);
            let Some(reported_at) = pool.reported_at else {
                pool.record_report(&need, now);
                needs.push(need);
                continue;
            };
            let is_seen = now < pool.seen_at + SEEN_TIME;
            let is_due = is_seen && now >= reported_at + REFRESH_INTERVAL;
            if is_due || !same_figures(&need, &pool.reported) {
                pool.record_report(&need, now);
                needs.push(need);
            }
        }
        QuotaReport {
            start: self.start,
            instances: self.instances,
            heard_ms: self.heard_ms,
            needs,
            only: false,
        }
    }

    /// Whether any request waits for credit.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.pools.values().any(|pool| !pool.waiting.is_empty())
    }

    /// Drops accounts that are not in the configuration and had no request for a minute.
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool, now: Duration) {
        self.pools
            .retain(|account, pool| now < pool.seen_at + KEEP_TIME || is_known(account));
    }

    /// Time since the holder's newest update, while the holder's credit counts.
    fn holder_age(&self, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.heard?);
        (age < HOLDER_TIMEOUT).then_some(age)
    }

    /// Own part of an account's rate, in units a second.
    fn part(&self, account: &str, rate: f64) -> f64 {
        let share = self.pools.get(account).map_or(0, |pool| pool.share);
        let instances = match self.instances {
            0 => UNKNOWN_INSTANCES,
            known => known,
        };
        match self.heard {
            None => rate / f64::from(instances),
            Some(_) => rate * part_of_rate(f64::from(share) / MILLION, instances),
        }
    }
}

impl Pool {
    fn record_request(&mut self, cost: f64, now: Duration) {
        self.mean_wanted = self.mean_wanted(now) + cost / USE_WINDOW.as_secs_f64();
        self.wanted_at = now;
        if self.mean_cost <= 0.0 {
            self.mean_cost = cost;
        }
        self.mean_cost += (cost - self.mean_cost) / 16.0;
        self.largest_cost = cost.max(self.largest_cost * 0.98);
        self.seen_at = now.max(Duration::from_nanos(1));
    }

    fn mean_wanted(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.wanted_at).as_secs_f64();
        self.mean_wanted * (-age / USE_WINDOW.as_secs_f64()).exp()
    }

    fn drop_lapsed(&mut self, now: Duration) {
        let returned = &mut self.returned;
        self.leases.retain(|(lapses, amount)| {
            let valid = *lapses > now;
            if !valid {
                *returned += amount;
            }
            valid
        });
    }

    fn available(&self) -> u64 {
        self.leases.iter().map(|(_, amount)| amount).sum()
    }

    fn take(&mut self, cost: u32) -> bool {
        let mut left = u64::from(cost);
        if self.available() < left {
            return false;
        }
        self.used += left;
        while let Some((_, amount)) = self.leases.front_mut()
            && left > 0
        {
            let part = left.min(*amount);
            *amount -= part;
            left -= part;
            if *amount == 0 {
                self.leases.pop_front();
            }
        }
        true
    }

    /// Uses units ahead of a grant where the holder has said that enough are left, even if all
    /// instances that use the account do the same; the holder's answer can take longer than a call.
    ///
    /// Of an account that the holder has said nothing about here, one request is admitted if one of
    /// each instance stays within the burst.
    fn overdraw(&mut self, charge: &Charge<'_>, instances: u32, now: Duration) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "units stay far below 2^53")]
        let (left, used) = (self.left as f64, self.overdraft as f64);
        let cost = f64::from(charge.cost);
        let is_fresh = self
            .statement_age(now)
            .is_some_and(|age| age < STATEMENT_TTL);
        let (users, left) = if is_fresh {
            (self.users.clamp(1, instances), left)
        } else {
            (instances, charge.quota.burst)
        };
        let is_covered = (used + cost) * f64::from(users) <= left / OVERDRAFT_PARTS;
        if is_covered {
            self.used += u64::from(charge.cost);
            self.overdrawn += u64::from(charge.cost);
            self.overdraft += u64::from(charge.cost);
        }
        is_covered
    }

    /// Accrues the own part of the rate, up to the same part of the burst.
    ///
    /// It begins with that part of half of what the holder stated last to be left, and with a random
    /// fraction of a request, so that the instances' first requests are spread over time. A request
    /// may use it once it covers the largest one of late.
    fn accrue(&mut self, part: f64, quota: &Quota, since: Duration, now: Duration, draw: f64) {
        let share = part / quota.rate.max(f64::MIN_POSITIVE);
        let from = self.own_at.unwrap_or_else(|| {
            self.own = draw * self.largest_cost + share * self.left_by(quota, since) * LEFT_SHARE;
            since
        });
        self.own_at = Some(now);
        self.own += part * now.saturating_sub(from).as_secs_f64();
        self.own = self.own.min(self.largest_cost + share * quota.burst);
    }

    /// Units left by the holder's last statement; none where it is too old to count.
    fn left_by(&self, quota: &Quota, now: Duration) -> f64 {
        let is_recent = self
            .statement_age(now)
            .is_some_and(|age| age < HOLDER_TIMEOUT + STATEMENT_TTL);
        #[expect(clippy::cast_precision_loss, reason = "units stay far below 2^53")]
        let left = self.left as f64;
        if is_recent {
            left.clamp(0.0, quota.burst)
        } else {
            0.0
        }
    }

    fn statement_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.stated_at?))
    }

    /// Expected time until there is credit, at `rate` for all instances.
    fn expected_wait(&self, cost: f64, rate: f64, now: Duration) -> Duration {
        let Some(age) = self.statement_age(now).filter(|age| *age < STATEMENT_TTL) else {
            return Duration::ZERO;
        };
        #[expect(clippy::cast_precision_loss, reason = "units stay far below 2^53")]
        let left = self.left as f64;
        let missing = cost - left - rate * age.as_secs_f64();
        let wait = (missing / rate).max(0.0);
        Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_DELAY)
    }

    /// A refusal; the callers that an instance refuses are told to come back one after the other.
    fn deny(
        &mut self,
        wait: Duration,
        cost: f64,
        part: f64,
        age: Option<Duration>,
        now: Duration,
    ) -> Denial {
        let at = (now + wait.max(GRANT_TIME)).max(self.return_at);
        let at = at.min(now + MAX_RETRY_DELAY);
        let next = Duration::try_from_secs_f64(cost / part.max(f64::MIN_POSITIVE));
        self.return_at = at + next.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY);
        Denial {
            retry_after: Some(at.saturating_sub(now)),
            left: self.left,
            age,
        }
    }

    fn apply(&mut self, grant: &QuotaGrant, sent: Duration, now: Duration) -> u64 {
        let anew = grant.granted.saturating_sub(self.seen);
        self.seen += anew;
        if anew > 0 {
            self.leases.push_back((sent + CREDIT_TTL, anew));
        }
        if self.stated_at.is_none_or(|at| sent >= at) {
            self.left = grant.left;
            self.users = grant.users;
            self.overdraft = 0;
            self.stated_at = Some(sent);
            self.share = grant.share;
        }
        self.drop_lapsed(now);
        anew
    }

    fn need(&self, account: &str, is_stopping: bool, now: Duration) -> QuotaNeed {
        let mut spare = self.available();
        let mut waiting = Vec::new();
        for cost in self.waiting.values() {
            let covered = spare.min((*cost).into());
            spare -= covered;
            let lacks = cost - u32::try_from(covered).unwrap_or(0);
            if lacks > 0 && waiting.len() < MAX_WAITING {
                waiting.push(lacks);
            }
        }
        let is_seen = now < self.seen_at + SEEN_TIME;
        let unit = if is_seen { self.mean_cost.ceil() } else { 0.0 };
        let wanted = (self.mean_wanted(now) * AHEAD_TIME).max(unit);
        let ahead = units(wanted).saturating_sub(spare);
        QuotaNeed {
            account: account.to_owned(),
            used: self.used,
            returned: self.returned,
            refunded: self.refunded,
            seen: self.seen,
            waiting,
            ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
            unit: u32::try_from(units(unit)).unwrap_or(u32::MAX),
            share: if is_stopping { 0 } else { self.share },
            overdrawn: self.overdrawn,
        }
    }

    fn record_report(&mut self, need: &QuotaNeed, now: Duration) {
        self.reported = need.clone();
        self.reported_at = Some(now);
    }
}

/// Whether an entry says nothing that the holder has to act on.
///
/// Requests that still wait are listed again: the holder drops those that it could not serve in time.
fn same_figures(a: &QuotaNeed, b: &QuotaNeed) -> bool {
    a.waiting.is_empty()
        && a.used == b.used
        && a.returned == b.returned
        && a.refunded == b.refunded
        && a.waiting == b.waiting
        && a.share == b.share
        && a.ahead <= b.ahead
}
