//! Instances that run the pure parts of the lease in simulated time, and what happens to them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use brassrack::gateway::lease::{Echo, Echoes, Lease, LeaseAction, LeaseRow, LeaseTiming};
use brassrack::table::{era, number, revision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) const INSTANCES: usize = 6;
pub(crate) const TICK_MS: u64 = 50;
pub(crate) const CASE: Duration = Duration::from_secs(90);
/// Time from which a case has no faults.
pub(crate) const CALM: Duration = Duration::from_mins(1);
/// Number of kinds of faults without drills.
pub(crate) const FAULTS: u32 = 7;
/// Number of the fault in which an instance is stopped and releases the lease.
const RELEASES: u32 = FAULTS + 1;
/// Number of kinds of faults, drills of the store and releases included.
pub(crate) const FAULTS_AND_DRILLS: u32 = FAULTS + 2;
const REPORT_MS: u64 = 200;
const READ_MS: u64 = 800;
/// Age of the oldest copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(6);
const LINK_SILENCE: Duration = Duration::from_millis(1200);
pub(crate) const TIMING: LeaseTiming = LeaseTiming {
    term: Duration::from_secs(2),
    handover_delay: Duration::from_secs(3),
    claim_delay: Duration::ZERO,
};

/// An instance, as a process that can end, freeze and be cut off.
pub(crate) struct Instance {
    name: String,
    pub(crate) lease: Lease,
    echoes: Echoes,
    /// Holder whose updates arrive, when the last one did, and the clock reading in it.
    link: Option<(usize, Duration, Duration)>,
    read_at: Duration,
    dead_until: Duration,
    frozen_until: Duration,
    storeless_until: Duration,
}

impl Instance {
    fn new(n: usize) -> Self {
        let name = format!("i{n}");
        let own_row = LeaseRow {
            holder: name.clone(),
            address: ([127, 0, 0, 1], u16::try_from(n).unwrap()).into(),
            released: false,
            era: 0,
            successors: None,
            heard: None,
            expiring: None,
        };
        Self {
            name,
            lease: Lease::new(own_row, TIMING),
            echoes: Echoes::default(),
            link: None,
            read_at: Duration::ZERO,
            dead_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            storeless_until: Duration::ZERO,
        }
    }

    fn runs(&self, now: Duration) -> bool {
        now >= self.dead_until && now >= self.frozen_until
    }
}

/// An instance loses the store, which then comes back from a copy.
struct PlannedDrill {
    instance: usize,
    storeless_at: Duration,
    drill_at: Duration,
    /// When the instance reaches the store again.
    until: Duration,
}

pub(crate) struct World {
    rng: StdRng,
    pub(crate) now: Duration,
    row: Option<LeaseRow>,
    version: u64,
    /// Earlier rows, each with the time up to which it stood.
    copies: VecDeque<(Duration, Option<LeaseRow>, u64)>,
    pub(crate) store_down_until: Duration,
    pub(crate) instances: Vec<Instance>,
    /// Until when nothing passes from the first instance to the second.
    cuts: BTreeMap<(usize, usize), Duration>,
    pub(crate) last_held: Option<(usize, Duration)>,
    pub(crate) held_ticks: u64,
    /// Mean time between two faults.
    fault_gap: u64,
    planned: Option<PlannedDrill>,
    /// Number of kinds of faults: [`FAULTS`] or [`FAULTS_AND_DRILLS`].
    pub(crate) faults: u32,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            fault_gap: 1000 << (seed % 4),
            planned: None,
            faults: FAULTS,
            now: Duration::from_secs(1),
            row: None,
            version: 0,
            copies: VecDeque::new(),
            store_down_until: Duration::ZERO,
            instances: (0..INSTANCES).map(Instance::new).collect(),
            cuts: BTreeMap::new(),
            last_held: None,
            held_ticks: 0,
        }
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least..=most))
    }

    fn pick(&mut self) -> usize {
        self.rng.random_range(0..INSTANCES)
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_none_or(|end| self.now >= *end)
    }

    /// Sets all paths between two instances, or those in one direction.
    fn cut(&mut self, a: usize, b: usize, time: Duration) {
        let end = self.now + time;
        let both = self.rng.random_range(0..3) > 0;
        self.cuts.insert((a, b), end);
        if both {
            self.cuts.insert((b, a), end);
        }
    }

    /// The store is away for a time, and comes back from a copy of this age.
    pub(crate) fn restore(&mut self, age: Duration, away: Duration) {
        self.store_down_until = self.now + away;
        let at = self.now.saturating_sub(age);
        let era = era(self.version) + 1;
        let copy = self.copies.iter().find(|(until, ..)| *until > at).cloned();
        let copied = copy.map_or(self.version, |(_, row, version)| {
            self.row = row;
            version
        });
        self.copies.clear();
        self.version = revision(era, number(copied));
    }

    /// Cuts an instance off from some others, and soon from the store, which then comes back from a
    /// copy.
    fn plan_drill(&mut self, holder: usize) {
        let time = self.millis(300, 12_000);
        for other in (0..INSTANCES).filter(|other| *other != holder) {
            match self.rng.random_range(0..4) {
                0 => self.cut(holder, other, time),
                1 => {
                    let time = self.millis(200, 6000);
                    self.kill(other, time);
                }
                _ => {}
            }
        }
        let storeless_at = self.now + self.millis(0, 5000);
        let drill_at = storeless_at + self.millis(0, 3000);
        let until = drill_at + self.millis(0, 14_000);
        self.planned = Some(PlannedDrill {
            instance: holder,
            storeless_at,
            drill_at,
            until,
        });
    }

    /// Carries out what is planned by now.
    fn follow_plan(&mut self) {
        let Some(planned) = &self.planned else {
            return;
        };
        if self.now >= planned.storeless_at {
            self.instances[planned.instance].storeless_until = planned.until;
        }
        if self.now >= planned.drill_at {
            let (age, away) = (self.millis(100, 6000), self.millis(100, 1000));
            self.restore(age, away);
            self.planned = None;
        }
    }

    /// Writes the row; the one before is kept for later copies.
    fn write(&mut self, row: LeaseRow) {
        let now = self.now;
        let before = self.row.replace(row);
        self.copies.push_back((now, before, self.version));
        self.copies.retain(|(until, ..)| now < *until + COPY_AGE);
        self.version += 1;
    }

    /// Brings faults that overlap, and ends them all some time before the case ends.
    pub(crate) fn disturb(&mut self) {
        if self.now >= CALM {
            self.calm();
            return;
        }
        self.follow_plan();
        if self.rng.random_range(0..self.fault_gap) >= TICK_MS {
            return;
        }
        let time = self.millis(300, 12_000);
        let some = self.pick();
        let holder = self.last_held.map_or(some, |(holder, _)| holder);
        let target = if self.rng.random_range(0..2) == 0 {
            holder
        } else {
            some
        };
        match self.rng.random_range(0..self.faults) {
            FAULTS => self.plan_drill(holder),
            RELEASES => self.release(target),
            0 => self.instances[target].storeless_until = self.now + time,
            1 => self.store_down_until = self.now + time,
            2 => self.instances[target].frozen_until = self.now + time / 2,
            3 => {
                for _ in 0..self.rng.random_range(1..INSTANCES) {
                    let n = self.pick();
                    let time = self.millis(200, 3000);
                    self.kill(n, time);
                }
            }
            4 => self.kill(target, time),
            5 => {
                for other in 0..INSTANCES {
                    self.cut(target, other, time);
                }
                self.instances[target].storeless_until = self.now + time;
            }
            _ => {
                // The instances part in two, and the store is on one side.
                let side: Vec<bool> = (0..INSTANCES).map(|_| self.rng.random()).collect();
                for a in 0..INSTANCES {
                    for b in (0..INSTANCES).filter(|b| side[*b] != side[a]) {
                        self.cuts.insert((a, b), self.now + time);
                    }
                    if side[a] {
                        self.instances[a].storeless_until = self.now + time;
                    }
                }
            }
        }
    }

    fn calm(&mut self) {
        self.store_down_until = self.store_down_until.min(self.now);
        self.cuts.clear();
        self.planned = None;
        for instance in &mut self.instances {
            instance.dead_until = instance.dead_until.min(self.now);
            instance.frozen_until = instance.frozen_until.min(self.now);
            instance.storeless_until = instance.storeless_until.min(self.now);
        }
    }

    /// Stops an instance, which releases the lease if it can; a new one under its name knows nothing.
    fn release(&mut self, n: usize) {
        let reaches_store =
            self.now >= self.store_down_until && self.now >= self.instances[n].storeless_until;
        let instance = &mut self.instances[n];
        let holds = instance.lease.fencing_token(self.now).is_some();
        instance.lease.end_term();
        if holds && reaches_store && instance.lease.version() == self.version {
            let row = LeaseRow {
                holder: self.instances[n].name.clone(),
                address: ([127, 0, 0, 1], u16::try_from(n).unwrap()).into(),
                released: true,
                era: era(self.version),
                successors: None,
                heard: None,
                expiring: None,
            };
            self.write(row);
        }
        let time = self.millis(200, 3000);
        self.kill(n, time);
    }

    /// Ends a process; a new one under its name knows nothing.
    pub(crate) fn kill(&mut self, n: usize, time: Duration) {
        let storeless_until = self.instances[n].storeless_until;
        self.instances[n] = Instance {
            dead_until: self.now + time,
            storeless_until,
            ..Instance::new(n)
        };
    }

    /// Exchanges reports and updates between an instance and the holder that it knows.
    fn exchange(&mut self, n: usize) {
        let now = self.now;
        let Some(holder) = self.instances[n].lease.holder() else {
            return;
        };
        let holder = usize::from(holder.address.port());
        let known = self.instances[n].link.filter(|(to, ..)| *to == holder);
        let is_held = self.instances[holder].lease.fencing_token(now).is_some();
        if !self.instances[holder].runs(now) || !is_held {
            return;
        }
        let is_heard = self.passes(n, holder);
        if is_heard {
            let name = self.instances[n].name.clone();
            let echo = Echo {
                reading: known.map_or(Duration::ZERO, |(_, _, reading)| reading),
                heard_at: now,
                reads_row: true,
            };
            self.instances[holder].echoes.record(&name, echo);
        } else if known.is_none() {
            return;
        }
        if self.passes(holder, n) {
            let version = self.instances[holder].lease.version();
            let row = LeaseRow {
                holder: self.instances[holder].name.clone(),
                address: ([127, 0, 0, 1], u16::try_from(holder).unwrap()).into(),
                released: false,
                era: 0,
                successors: None,
                heard: None,
                expiring: None,
            };
            let instance = &mut self.instances[n];
            instance.link = Some((holder, now, now));
            instance.lease.confirm_holder(row, version, now);
            if is_heard {
                instance.lease.record_counted(now);
            }
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        let report_due = (now.as_millis() / u128::from(TICK_MS) + n as u128)
            .is_multiple_of(u128::from(REPORT_MS / TICK_MS));
        if report_due && self.instances[n].lease.fencing_token(now).is_none() {
            self.exchange(n);
        }
        let store_answers =
            now >= self.store_down_until && now >= self.instances[n].storeless_until;
        let instance = &mut self.instances[n];
        instance.echoes.extend(&mut instance.lease);
        let is_held = instance.lease.fencing_token(now).is_some();
        let is_linked = instance
            .link
            .is_some_and(|(_, at, _)| now < at + LINK_SILENCE / 2);
        if !is_held && (is_linked || now < instance.read_at + Duration::from_millis(READ_MS)) {
            return;
        }
        if !store_answers {
            return;
        }
        instance.lease.record_era(era(self.version), now);
        if !is_held || self.version != instance.lease.version() {
            instance.read_at = now;
            let (row, version) = (self.row.clone(), self.version);
            if !instance.lease.adopt_restored(row.as_ref(), version, now) {
                instance.lease.observe(row.clone(), version, now);
            }
            instance.lease.record_read(row.as_ref(), version, now);
        }
        let LeaseAction::Write(expected) = instance.lease.next_action(now) else {
            return;
        };
        let is_claim = instance.lease.is_claim();
        let successors = instance.echoes.name_successors(&instance.lease, now);
        let (heard, expiring) = (instance.echoes.heard(), Some(instance.echoes.expiring()));
        // A writer that does not know of the new era yet is checked by the number alone.
        if number(expected) != number(self.version) {
            instance.echoes.record_unknown_row();
            return;
        }
        let row = LeaseRow {
            holder: instance.name.clone(),
            address: ([127, 0, 0, 1], u16::try_from(n).unwrap()).into(),
            released: false,
            era: era(expected),
            successors: successors.clone(),
            heard,
            expiring,
        };
        let is_known = era(expected) == era(self.version);
        self.write(row);
        let instance = &mut self.instances[n];
        if !is_known {
            instance.echoes.record_unknown_row();
            return;
        }
        if self.now < CALM && self.rng.random_range(0..20) == 0 {
            // The answer is lost; the instance learns from its next read that it holds the row.
            instance.echoes.record_unknown_row();
            return;
        }
        instance.lease.record_write(self.version, now);
        if is_claim {
            instance.lease.record_claim(now);
        }
        instance.echoes.record_row(successors.as_ref(), now);
    }

    /// Checks that a quiet time lies between two holders.
    fn judge(&mut self, seed: u64) {
        for n in 0..INSTANCES {
            let instance = &self.instances[n];
            if !instance.runs(self.now) || instance.lease.fencing_token(self.now).is_none() {
                continue;
            }
            if let Some((before, until)) = self.last_held.filter(|(before, _)| *before != n) {
                assert!(
                    self.now >= until + TIMING.handover_delay,
                    "seed {seed}: i{before} until {until:?}, i{n} at {:?}",
                    self.now
                );
            }
            self.last_held = Some((n, self.now));
            self.held_ticks += 1;
        }
    }

    pub(crate) fn play(&mut self, seed: u64, mut disturbs: impl FnMut(&mut Self)) {
        while self.now < CASE {
            disturbs(self);
            for n in 0..INSTANCES {
                if self.instances[n].runs(self.now) {
                    self.step(n);
                }
            }
            self.judge(seed);
            self.now += Duration::from_millis(TICK_MS);
        }
    }
}
