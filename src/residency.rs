//! What an instance has learnt of the replicas that it watches, and which ones are due to go.
//!
//! Pure: reports and times are passed in. Times are since the Unix epoch, so that times of day
//! mean the same at every instance.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::{Report, Residency, Resident};
use crate::policy::key::ModelKey;
use crate::policy::server_selection::Resident as Evictable;
use crate::policy::{Absent, Policy, Profile};
use crate::rules::{Model, Rules};

/// Time after its load in which a replica is neither evicted nor let go.
const SETTLE: Duration = Duration::from_secs(2);
/// Most arrivals that one report of a replica counts for.
const MOST_ARRIVALS: u64 = 64;

/// One replica on one server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    server: String,
    model: String,
}

#[derive(Debug, Clone)]
struct Seen {
    op: String,
    served: u64,
    since: Duration,
    idle: Option<Duration>,
    keep: Duration,
    swept: Duration,
}

/// The learnt demand and the watched replicas.
#[derive(Debug, Clone)]
pub struct Residencies {
    policy: Policy,
    keys: BTreeMap<String, ModelKey>,
    seen: BTreeMap<Place, Seen>,
    /// Bytes a second that loads have moved lately.
    speed: f64,
}

impl Residencies {
    /// Nothing learnt yet; loads are expected to move `speed` bytes a second.
    #[must_use]
    pub fn new(speed: f64) -> Self {
        Self {
            policy: Policy::new(crate::rules::Weights::default()),
            keys: BTreeMap::new(),
            seen: BTreeMap::new(),
            speed,
        }
    }

    /// Takes over the models and weights of a configuration; what was learnt of a model stays.
    pub fn configure(&mut self, rules: &Rules) {
        self.policy.set_weights(rules.weights.clone());
        let gone: Vec<String> = self
            .keys
            .keys()
            .filter(|m| !rules.models.contains_key(*m))
            .cloned()
            .collect();
        for model in gone {
            if let Some(key) = self.keys.remove(&model) {
                self.policy.remove(key);
            }
        }
        let bases = |(_, m): &(&String, &Model)| m.base.is_some();
        let (adapters, models): (Vec<_>, Vec<_>) = rules.models.iter().partition(bases);
        for (name, model) in models.into_iter().chain(adapters) {
            if self.keys.contains_key(name) {
                continue;
            }
            let base = model.base.as_ref().and_then(|b| self.keys.get(b)).copied();
            let profile = Profile {
                base,
                bytes: model.size,
                class: model.class,
            };
            self.keys.insert(name.clone(), self.policy.insert(profile));
        }
    }

    /// Time that a load of so many bytes probably takes.
    #[must_use]
    pub fn reload(&self, bytes: u64) -> Duration {
        Duration::try_from_secs_f64(float(bytes) / self.speed).unwrap_or(Duration::MAX)
    }

    /// Learns how long a load took.
    pub fn loaded(&mut self, bytes: u64, took: Duration) {
        const WEIGHT: f64 = 0.2;
        if took.is_zero() {
            return;
        }
        let speed = float(bytes) / took.as_secs_f64();
        self.speed += WEIGHT * (speed - self.speed);
    }

    /// Learns from a server's report; returns the memory-seconds that stood idle, by model.
    pub fn observe(
        &mut self,
        server: &str,
        report: &Report,
        rules: &Rules,
        now: Duration,
    ) -> BTreeMap<String, f64> {
        self.seen.retain(|place, _| {
            place.server != server || report.residents.iter().any(|r| r.model == place.model)
        });
        let mut idle = BTreeMap::new();
        for resident in report
            .residents
            .iter()
            .filter(|r| r.state == Residency::Ready)
        {
            let Some(model) = rules.models.get(&resident.model) else {
                continue;
            };
            let spent = self.watch(server, resident, model, now);
            idle.insert(
                resident.model.clone(),
                spent.as_secs_f64() * float(resident.bytes),
            );
        }
        idle
    }

    fn watch(&mut self, server: &str, now_at: &Resident, model: &Model, now: Duration) -> Duration {
        let place = Place {
            server: server.to_owned(),
            model: now_at.model.clone(),
        };
        let key = self.keys.get(&now_at.model).copied();
        let reload = self.reload(model.size);
        let fresh = Seen {
            op: now_at.op.clone(),
            served: 0,
            since: now,
            idle: None,
            keep: Duration::ZERO,
            swept: now,
        };
        let seen = self.seen.entry(place).or_insert_with(|| fresh.clone());
        if seen.op != now_at.op {
            *seen = fresh;
        }
        let arrived = now_at.served.saturating_sub(seen.served);
        seen.served = now_at.served;
        if let Some(key) = key {
            for _ in 0..arrived.min(MOST_ARRIVALS) {
                self.policy.arrival(key, model.class, now);
            }
        }
        if arrived > 0 || now_at.running + now_at.queued > 0 {
            seen.idle = None;
        } else if seen.idle.is_none() {
            seen.idle = Some(now);
            if let Some(key) = key {
                self.policy.idle(key, now);
                seen.keep = self.policy.keep_alive(key, now, reload);
            }
        }
        let spent = if seen.idle.is_some() {
            now.saturating_sub(seen.swept)
        } else {
            Duration::ZERO
        };
        seen.swept = now;
        spent
    }

    /// Models that a server should let go now.
    #[must_use]
    pub fn due(&self, server: &str, now: Duration) -> Vec<String> {
        let idle_enough = |seen: &Seen| {
            let idle = seen.idle.map(|at| now.saturating_sub(at));
            idle.is_some_and(|i| i >= seen.keep.max(SETTLE))
        };
        let here = self.seen.iter().filter(|(place, _)| place.server == server);
        here.filter(|(_, seen)| idle_enough(seen))
            .map(|(place, _)| place.model.clone())
            .collect()
    }

    /// Idle replicas to evict from a server so that `need` bytes become free.
    #[must_use]
    pub fn evict(
        &self,
        server: &str,
        report: &Report,
        need: u64,
        now: Duration,
    ) -> Option<Vec<String>> {
        let settled = |model: &str| {
            let place = Place {
                server: server.to_owned(),
                model: model.to_owned(),
            };
            self.seen
                .get(&place)
                .is_none_or(|s| now.saturating_sub(s.since) >= SETTLE)
        };
        let evictable: Vec<Evictable> = report
            .residents
            .iter()
            .filter(|r| r.state == Residency::Ready && settled(&r.model))
            .filter_map(|r| {
                Some(Evictable {
                    model: *self.keys.get(&r.model)?,
                    bytes: r.bytes,
                    running: r.running + r.queued,
                    reload: self.reload(r.bytes),
                })
            })
            .collect();
        let chosen = self.policy.evict(&evictable, need, now)?;
        let name = |key: &ModelKey| {
            self.keys
                .iter()
                .find(|(_, k)| *k == key)
                .map(|(name, _)| name.clone())
        };
        Some(chosen.iter().filter_map(name).collect())
    }

    /// Models among these, all without a replica, to load ahead of a predicted request.
    #[must_use]
    pub fn preload(&self, absent: &BTreeMap<String, u64>, now: Duration) -> Vec<String> {
        let known: Vec<Absent> = absent
            .iter()
            .filter_map(|(name, bytes)| {
                Some(Absent {
                    model: *self.keys.get(name)?,
                    reload: self.reload(*bytes),
                })
            })
            .collect();
        let wanted = self.policy.preload(now, &known);
        let names = self.keys.iter().filter(|(_, key)| wanted.contains(key));
        names.map(|(name, _)| name.clone()).collect()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no exact bytes"
)]
const fn float(bytes: u64) -> f64 {
    bytes as f64
}
