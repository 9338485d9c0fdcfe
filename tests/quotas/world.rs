//! Model of the ledger, its holder, instances and links, under one fault.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use brassrack::gateway::accounts::{Account, Accounts, Quota, QuotaUnit};
use brassrack::gateway::quotas::credit::{Charge, Credit, Decision};
use brassrack::gateway::quotas::ledger::Ledger;
use brassrack::gateway::quotas::message::{QuotaReport, QuotaUpdate};
use prost::Message;

pub(crate) const END_MS: u64 = 45_000;
/// Callers come some seconds after the instances have started.
pub(crate) const TRAFFIC_MS: u64 = 5_000;
pub(crate) const FAULT_MS: u64 = 17_000;
pub(crate) const REPORT_MS: u64 = 200;
const URGENT_MS: u64 = 4;
const SILENCE_MS: u64 = 1_200;
const CONFIG_MS: u64 = 3_000;
/// Terms of the quota check.
const WINDOW_MS: u64 = 8_000;
const OVER: f64 = 0.1;
const SLACK: f64 = 11_000.0;

/// Seeded generator (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Uniform between 0 and 1.
    fn draw(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).unwrap_or(0)) / f64::from(u32::MAX)
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[usize::try_from(self.below(from.len() as u64)).unwrap_or(0)]
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Death,
    Freeze,
    Partition,
    Takeover,
    RestartOfAll,
    LoweredLimit,
}

/// Demand of one account.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    name: String,
    pub(crate) quota: Quota,
    /// Requests a second from all callers together.
    rate: f64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Report {
        instance: usize,
        run: u32,
        urgent: bool,
    },
    GiveUp {
        instance: usize,
        run: u32,
        account: usize,
        number: u64,
        cost: u32,
    },
    Heard {
        link: u64,
        report: QuotaReport,
    },
    Granted {
        instance: usize,
        run: u32,
        link: u64,
        update: QuotaUpdate,
    },
    Serve {
        term: u32,
    },
    Silence {
        link: u64,
        at: u64,
    },
    Fault,
    Heal,
    Elect,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent states of an instance in the model"
)]
pub(crate) struct Instance {
    credit: Credit,
    run: u32,
    /// Number of its link; none while it has none.
    link: Option<u64>,
    up: bool,
    cut: bool,
    frozen: bool,
    buffered: Vec<Event>,
    urgent: bool,
    waiting: BTreeMap<u64, (usize, u32)>,
    last_heard: u64,
}

impl Instance {
    fn new(run: u32, start: u64) -> Self {
        Self {
            credit: Credit::new(start),
            run,
            link: None,
            up: true,
            cut: false,
            frozen: false,
            buffered: Vec::new(),
            urgent: false,
            waiting: BTreeMap::new(),
            last_heard: 0,
        }
    }
}

/// A link as the holder sees it.
struct Link {
    instance: usize,
    run: u32,
    last_heard: u64,
    /// Times of the last delivery in either direction.
    to_holder: u64,
    from_holder: u64,
}

pub(crate) struct World {
    random: Random,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    pub(crate) demands: Vec<Demand>,
    accounts: Accounts,
    lowered: Accounts,
    /// When each instance takes over the lowered limits.
    config_at: Vec<u64>,
    pub(crate) instances: Vec<Instance>,
    holder: Option<usize>,
    term: u32,
    ledger: Ledger,
    links: BTreeMap<u64, Link>,
    next_link: u64,
    fault: Fault,
    /// Use by account: time and units.
    pub(crate) sends: Vec<VecDeque<(u64, f64)>>,
    /// Requests by account: time, units, and whether it was admitted.
    requests: Vec<Vec<(u64, f64, bool)>>,
    /// Bytes of messages to and from the holder.
    pub(crate) bytes: (usize, usize),
}

pub(crate) fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn accounts_of(demands: &[Demand], factor: f64) -> Accounts {
    let mut accounts = Accounts::default();
    for demand in demands {
        let quota = Quota {
            rate: demand.quota.rate * factor,
            burst: demand.quota.burst * factor,
            ..demand.quota
        };
        let account = Account {
            name: demand.name.clone(),
            priority: None,
            quota: Some(quota),
        };
        accounts.insert(account, []);
    }
    accounts
}

/// Accounts of a case: two large ones, small ones, and one of each kind far above its quota.
fn demands(random: &mut Random) -> Vec<Demand> {
    let mut demands = Vec::new();
    for number in 0..10 {
        let is_large = number < 2;
        let unit = random.pick(&[QuotaUnit::Tokens, QuotaUnit::Requests]);
        let mean = if unit == QuotaUnit::Tokens {
            1_100.0
        } else {
            1.0
        };
        let requests = if is_large {
            20.0 + 40.0 * random.draw()
        } else {
            0.5 + 4.0 * random.draw()
        };
        let load = match number {
            0 | 2 => 8.0,
            _ => 0.2 + 0.7 * random.draw(),
        };
        let quota = Quota {
            unit,
            rate: requests * mean,
            burst: (requests * (0.5 + 2.0 * random.draw())).max(8.0).ceil() * mean,
            plain_tokens: 200,
        };
        demands.push(Demand {
            name: format!("account-{number}"),
            quota,
            rate: requests * load,
        });
    }
    demands
}

impl World {
    pub(crate) fn new(seed: u64, instances: usize, fault: Fault) -> Self {
        let mut random = Random(seed);
        let demands = demands(&mut random);
        let mut world = Self {
            accounts: accounts_of(&demands, 1.0),
            lowered: accounts_of(&demands, 0.25),
            config_at: vec![u64::MAX; instances],
            instances: (0..instances).map(|i| Instance::new(0, i as u64)).collect(),
            sends: vec![VecDeque::new(); demands.len()],
            requests: vec![Vec::new(); demands.len()],
            random,
            now: 0,
            events: BTreeMap::new(),
            numbers: 0,
            demands,
            holder: Some(0),
            term: 0,
            ledger: Ledger::default(),
            links: BTreeMap::new(),
            next_link: 1,
            bytes: (0, 0),
            fault,
        };
        for account in 0..world.demands.len() {
            world.schedule_arrival(account);
        }
        for instance in 0..instances {
            let after = world.random.below(REPORT_MS);
            let report = Event::Report {
                instance,
                run: 0,
                urgent: false,
            };
            world.schedule(after, report);
        }
        if fault != Fault::None {
            world.schedule(FAULT_MS, Event::Fault);
        }
        world
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.numbers += 1;
        self.events.insert((self.now + after, self.numbers), event);
    }

    fn schedule_arrival(&mut self, account: usize) {
        let gap = -self.random.draw().max(1e-9).ln() / self.demands[account].rate;
        let after = u64::try_from(Duration::from_secs_f64(gap).as_millis()).unwrap_or(0);
        let begun = TRAFFIC_MS.saturating_sub(self.now);
        self.schedule(begun + after, Event::Arrive(account));
    }

    pub(crate) fn play(mut self) -> Self {
        while let Some(((when, _), event)) = self.events.pop_first() {
            if when >= END_MS {
                break;
            }
            self.now = when;
            self.handle(event);
        }
        self
    }

    fn config(&self, instance: usize) -> &Accounts {
        if self.now >= self.config_at[instance] {
            &self.lowered
        } else {
            &self.accounts
        }
    }

    fn quota(&self, instance: usize, account: usize) -> Quota {
        let known = self.config(instance).by_name(&self.demands[account].name);
        known.and_then(|a| a.quota).unwrap_or_default()
    }

    fn is_current(&self, instance: usize, run: u32) -> bool {
        let known = &self.instances[instance];
        known.up && known.run == run
    }

    /// Keeps an event of a frozen instance until it thaws; returns it for any other one.
    fn unless_frozen(&mut self, instance: usize, event: Event) -> Option<Event> {
        let known = &mut self.instances[instance];
        if known.frozen {
            known.buffered.push(event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(account) => {
                self.schedule_arrival(account);
                self.arrive(account);
            }
            Event::Report {
                instance,
                run,
                urgent,
            } => {
                if !self.is_current(instance, run) {
                    return;
                }
                let again = Event::Report {
                    instance,
                    run,
                    urgent,
                };
                if self.unless_frozen(instance, again).is_none() {
                    return;
                }
                if urgent {
                    self.instances[instance].urgent = false;
                } else {
                    let report = Event::Report {
                        instance,
                        run,
                        urgent,
                    };
                    self.schedule(REPORT_MS, report);
                }
                self.report(instance);
            }
            Event::GiveUp { instance, run, .. } => {
                if self.is_current(instance, run)
                    && let Some(event) = self.unless_frozen(instance, event)
                {
                    self.give_up(&event);
                }
            }
            Event::Heard { link, report } => self.hear(link, &report),
            Event::Granted {
                instance,
                run,
                link,
                update,
            } => {
                if !self.is_current(instance, run) {
                    return;
                }
                let event = Event::Granted {
                    instance,
                    run,
                    link,
                    update,
                };
                if let Some(Event::Granted { update, .. }) = self.unless_frozen(instance, event) {
                    self.apply_grants(instance, link, &update);
                }
            }
            Event::Serve { term } => {
                if let Some(holder) = self.holder.filter(|_| term == self.term) {
                    let accounts = self.config(holder).clone();
                    let grants = self.ledger.serve_waiting(&accounts, at(self.now));
                    self.send_grants(grants);
                    self.schedule_serve();
                }
            }
            Event::Silence { link, at } => {
                let known = self.links.get(&link);
                if known.is_some_and(|known| known.last_heard <= at) {
                    self.links.remove(&link);
                    self.ledger.close(link, self::at(self.now));
                }
            }
            Event::Fault => self.strike(),
            Event::Heal => self.heal(),
            Event::Elect => {
                let able = |i: &Instance| i.up && !i.cut && !i.frozen;
                self.holder = self.instances.iter().position(able);
            }
        }
    }

    fn give_up(&mut self, event: &Event) {
        let Event::GiveUp {
            instance,
            account,
            number,
            cost,
            ..
        } = *event
        else {
            return;
        };
        let quota = self.quota(instance, account);
        let known = &mut self.instances[instance];
        if known.waiting.remove(&number).is_some() {
            let charge = Charge {
                account: &self.demands[account].name,
                quota: &quota,
                cost,
                patience: Duration::ZERO,
            };
            let denial = known.credit.give_up(&charge, number, at(self.now));
            assert!(
                denial.retry_after.is_some(),
                "it was no larger than the burst"
            );
            self.record(account, cost, false);
        }
    }

    fn record(&mut self, account: usize, cost: u32, admitted: bool) {
        let cost = f64::from(cost);
        self.requests[account].push((self.now, cost, admitted));
        if admitted {
            self.sends[account].push_back((self.now, cost));
        }
    }

    fn arrive(&mut self, account: usize) {
        // Half of the requests come to an eighth of the instances.
        let all = self.instances.len() as u64;
        let is_skewed = self.random.below(2) == 0;
        let few = if is_skewed { all.div_ceil(8) } else { all };
        let instance = (self.random.below(few) + account as u64) % all;
        let instance = usize::try_from(instance).unwrap_or(0);
        let known = &self.instances[instance];
        if !known.up || known.frozen {
            return;
        }
        let tokens = 200 + self.random.below(1_800);
        let quota = self.quota(instance, account);
        let cost = quota.cost(u32::try_from(tokens).ok());
        let cost = if cost > 1.0 {
            u32::try_from(tokens).unwrap_or(0)
        } else {
            1
        };
        // A third of the objectives: 100 ms, 500 ms and 5 s.
        let patience = self.random.pick(&[33, 166, 300]);
        let (now, draw) = (at(self.now), self.random.draw());
        let name = self.demands[account].name.clone();
        let charge = Charge {
            account: &name,
            quota: &quota,
            cost,
            patience: at(patience),
        };
        match self.instances[instance].credit.request(&charge, now, draw) {
            Decision::Admitted => self.record(account, cost, true),
            Decision::Denied(_) => self.record(account, cost, false),
            Decision::Waits(number) => {
                let known = &mut self.instances[instance];
                known.waiting.insert(number, (account, cost));
                let run = known.run;
                if !std::mem::replace(&mut known.urgent, true) {
                    let report = Event::Report {
                        instance,
                        run,
                        urgent: true,
                    };
                    self.schedule(URGENT_MS, report);
                }
                let end = Event::GiveUp {
                    instance,
                    run,
                    account,
                    number,
                    cost,
                };
                self.schedule(patience, end);
            }
        }
    }

    fn delay(&mut self, instance: usize) -> u64 {
        if self.holder == Some(instance) {
            0
        } else {
            1 + self.random.below(10)
        }
    }

    fn report(&mut self, instance: usize) {
        let now = self.now;
        let known = &mut self.instances[instance];
        if known.link.is_some() && now >= known.last_heard + SILENCE_MS {
            known.link = None;
        }
        let Some(holder) = self.holder else {
            return;
        };
        let cut = |i: &Instance| i.cut;
        if cut(&self.instances[instance]) != cut(&self.instances[holder]) {
            return;
        }
        if self.instances[instance].link.is_none() {
            self.next_link += 1;
            let link = Link {
                instance,
                run: self.instances[instance].run,
                last_heard: now,
                to_holder: now,
                from_holder: now,
            };
            self.links.insert(self.next_link, link);
            let known = &mut self.instances[instance];
            known.link = Some(self.next_link);
            known.last_heard = now;
            known.credit.begin_link();
        }
        let report = self.instances[instance].credit.report(false, at(now));
        let Some(link) = self.instances[instance].link else {
            return;
        };
        let arrives = now + self.delay(instance);
        self.bytes.0 += report.encoded_len();
        if let Some(known) = self.links.get_mut(&link) {
            known.to_holder = known.to_holder.max(arrives);
            let after = known.to_holder - now;
            self.schedule(after, Event::Heard { link, report });
        }
    }

    fn hear(&mut self, link: u64, report: &QuotaReport) {
        let now = self.now;
        let (Some(holder), Some(known)) = (self.holder, self.links.get_mut(&link)) else {
            return;
        };
        known.last_heard = now;
        let name = format!("instance-{}", known.instance);
        self.schedule(SILENCE_MS, Event::Silence { link, at: now });
        let accounts = self.config(holder).clone();
        let mut grants = self.ledger.report(link, &name, report, &accounts, at(now));
        grants.entry(link).or_default();
        self.send_grants(grants);
        self.schedule_serve();
    }

    fn schedule_serve(&mut self) {
        let Some(holder) = self.holder else {
            return;
        };
        if let Some(next) = self.ledger.next_free(self.config(holder)) {
            self.term += 1;
            let after = u64::try_from(next.as_millis()).unwrap_or(0).max(5);
            self.schedule(after, Event::Serve { term: self.term });
        }
    }

    fn send_grants(&mut self, grants: brassrack::gateway::quotas::ledger::LinkGrants) {
        for (link, grants) in grants {
            let Some(instance) = self.links.get(&link).map(|known| known.instance) else {
                continue;
            };
            let holder_cut = self.holder.is_some_and(|h| self.instances[h].cut);
            if self.instances[instance].cut != holder_cut {
                continue;
            }
            let arrives = self.now + self.delay(instance);
            let update = QuotaUpdate {
                // The holders' clocks differ.
                clock_ms: self.now + 1_000_000,
                instances: self.ledger.instances(),
                grants,
            };
            self.bytes.1 += update.encoded_len();
            if let Some(known) = self.links.get_mut(&link) {
                known.from_holder = known.from_holder.max(arrives);
                let (after, run) = (known.from_holder - self.now, known.run);
                self.schedule(
                    after,
                    Event::Granted {
                        instance,
                        run,
                        link,
                        update,
                    },
                );
            }
        }
    }

    fn apply_grants(&mut self, instance: usize, link: u64, update: &QuotaUpdate) {
        let now = at(self.now);
        let known = &mut self.instances[instance];
        if known.link != Some(link) {
            return;
        }
        known.last_heard = self.now;
        known.credit.apply(update, now);
        for (number, (account, cost)) in known.waiting.clone() {
            let name = self.demands[account].name.clone();
            let known = &mut self.instances[instance];
            if known.credit.take_waiting(&name, number, now) {
                known.waiting.remove(&number);
                self.record(account, cost, true);
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        let run = self.instances[instance].run + 1;
        let start = self.random.next();
        self.instances[instance] = Instance::new(run, start);
        let report = Event::Report {
            instance,
            run,
            urgent: false,
        };
        self.schedule(1, report);
    }

    fn lose_holder(&mut self) {
        self.holder = None;
        self.links.clear();
        self.ledger.end_term();
        let after = 3_000 + self.random.below(4_000);
        self.schedule(after, Event::Elect);
    }

    fn strike(&mut self) {
        let all = self.instances.len();
        let hit = self.random.below(all as u64 / 2 + 1);
        let hit = usize::try_from(hit).unwrap_or(0).max(1);
        match self.fault {
            Fault::None => {}
            Fault::Takeover => {
                self.instances[0].up = false;
                self.lose_holder();
            }
            Fault::RestartOfAll => {
                self.lose_holder();
                for instance in 0..all {
                    self.restart(instance);
                }
            }
            Fault::LoweredLimit => {
                for instance in 0..all {
                    self.config_at[instance] = self.now + self.random.below(CONFIG_MS);
                }
            }
            Fault::Death | Fault::Freeze | Fault::Partition => {
                for instance in 1..=hit.min(all - 1) {
                    let known = &mut self.instances[instance];
                    known.up = self.fault != Fault::Death;
                    known.cut = self.fault == Fault::Partition;
                    known.frozen = self.fault == Fault::Freeze;
                }
            }
        }
        let after = 2_000 + self.random.below(10_000);
        self.schedule(after, Event::Heal);
    }

    fn heal(&mut self) {
        for instance in 0..self.instances.len() {
            let known = &mut self.instances[instance];
            known.cut = false;
            known.frozen = false;
            let buffered = std::mem::take(&mut known.buffered);
            let is_up = known.up;
            for event in buffered {
                self.schedule(0, event);
            }
            if !is_up {
                self.restart(instance);
            }
        }
    }

    /// Largest use of an account in any window, and what the quota check allows then.
    pub(crate) fn worst_window(&self, account: usize) -> (f64, f64) {
        let Quota {
            unit, rate, burst, ..
        } = self.demands[account].quota;
        let slack = if unit == QuotaUnit::Tokens {
            SLACK
        } else {
            0.0
        };
        let window = at(WINDOW_MS).as_secs_f64();
        let lowered_at = if self.fault == Fault::LoweredLimit {
            FAULT_MS + WINDOW_MS + CONFIG_MS
        } else {
            u64::MAX
        };
        let mut sum = 0.0;
        let mut start = 0;
        let sends = &self.sends[account];
        let mut worst = (0.0, f64::MAX);
        for (when, cost) in sends {
            sum += cost;
            while sends[start].0 + WINDOW_MS <= *when {
                sum -= sends[start].1;
                start += 1;
            }
            let factor = if *when >= lowered_at { 0.25 } else { 1.0 };
            let allowed = (rate * window + burst) * factor * (1.0 + OVER) + slack;
            if sum / allowed > worst.0 / worst.1 {
                worst = (sum, allowed);
            }
        }
        worst
    }

    /// Requests of an account that an undivided bucket would admit, and those of them refused.
    ///
    /// `from` is when counting begins; the bucket is full when the first callers come.
    pub(crate) fn refused_below(&self, account: usize, from: u64) -> (u64, u64) {
        let Quota { rate, burst, .. } = self.demands[account].quota;
        let (mut tokens, mut updated) = (burst, 0);
        let (mut requests, mut refused) = (0, 0);
        for (when, cost, admitted) in &self.requests[account] {
            tokens = burst.min(tokens + rate * at(when - updated).as_secs_f64());
            updated = *when;
            if tokens < *cost {
                continue;
            }
            tokens -= cost;
            if *when >= from {
                requests += 1;
                refused += u64::from(!admitted);
            }
        }
        (requests, refused)
    }
}
