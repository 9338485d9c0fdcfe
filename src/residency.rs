//! Tracks the replicas that an instance observes and selects those to evict or preload.
//!
//! This module does no I/O and reads no clock: reports and times are passed in. Times are relative
//! to the Unix epoch, so that times of day agree across instances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::{Report, Residency, Resident};
use crate::policy::key::ModelKey;
use crate::policy::server_selection::EvictionCandidate;
use crate::policy::{AbsentModel, ModelProfile, Policy};
use crate::rules::{Model, Rules};

/// Shortest time for which a replica stays resident after its load, and shortest keep-alive time.
const MIN_RESIDENCY: Duration = Duration::from_secs(2);
/// Largest number of arrivals recorded for a replica from one report.
const MAX_ARRIVALS_PER_REPORT: u64 = 64;

/// Identifies a replica by its server and model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaKey {
    server: String,
    model: String,
}

#[derive(Debug, Clone)]
struct ReplicaRecord {
    op: String,
    served: u64,
    first_seen: Duration,
    idle_since: Option<Duration>,
    keep_alive: Duration,
    observed_at: Duration,
}

/// Observed demand and state of the replicas on the servers that an instance owns.
#[derive(Debug, Clone)]
pub struct ResidencyTracker {
    policy: Policy,
    keys: BTreeMap<String, ModelKey>,
    replicas: BTreeMap<ReplicaKey, ReplicaRecord>,
    /// Smoothed rate of recent loads, in bytes per second.
    load_rate: f64,
}

impl ResidencyTracker {
    /// Creates a tracker without observations that expects `load_rate` bytes per second of loads.
    #[must_use]
    pub fn new(load_rate: f64) -> Self {
        Self {
            policy: Policy::new(crate::rules::Weights::default()),
            keys: BTreeMap::new(),
            replicas: BTreeMap::new(),
            load_rate,
        }
    }

    /// Applies the models and weights of the rules; keeps the demand of models that remain.
    pub fn apply_rules(&mut self, rules: &Rules) {
        self.policy.set_weights(rules.weights.clone());
        let removed: Vec<String> = self
            .keys
            .keys()
            .filter(|m| !rules.models.contains_key(*m))
            .cloned()
            .collect();
        for model in removed {
            if let Some(key) = self.keys.remove(&model) {
                self.policy.remove(key);
            }
        }
        let is_adapter = |(_, m): &(&String, &Model)| m.base.is_some();
        let (adapters, models): (Vec<_>, Vec<_>) = rules.models.iter().partition(is_adapter);
        for (name, model) in models.into_iter().chain(adapters) {
            if self.keys.contains_key(name) {
                continue;
            }
            let base = model.base.as_ref().and_then(|b| self.keys.get(b)).copied();
            let profile = ModelProfile {
                base,
                bytes: model.size,
                class: model.class,
            };
            self.keys.insert(name.clone(), self.policy.insert(profile));
        }
    }

    /// Expected duration of a load of this size.
    #[must_use]
    pub fn load_time(&self, bytes: u64) -> Duration {
        Duration::try_from_secs_f64(to_f64(bytes) / self.load_rate).unwrap_or(Duration::MAX)
    }

    /// Updates the load rate from a completed load.
    pub fn record_load(&mut self, bytes: u64, took: Duration) {
        const SAMPLE_WEIGHT: f64 = 0.2;
        if took.is_zero() {
            return;
        }
        let sample = to_f64(bytes) / took.as_secs_f64();
        self.load_rate += SAMPLE_WEIGHT * (sample - self.load_rate);
    }

    /// Updates the replicas from a server's report; returns the idle byte-seconds of each model.
    pub fn observe(
        &mut self,
        server: &str,
        report: &Report,
        rules: &Rules,
        now: Duration,
    ) -> BTreeMap<String, f64> {
        self.replicas.retain(|key, _| {
            key.server != server || report.residents.iter().any(|r| r.model == key.model)
        });
        let mut idle_byte_secs = BTreeMap::new();
        for resident in report
            .residents
            .iter()
            .filter(|r| r.state == Residency::Ready)
        {
            let Some(model) = rules.models.get(&resident.model) else {
                continue;
            };
            let idle_time = self.observe_replica(server, resident, model, now);
            idle_byte_secs.insert(
                resident.model.clone(),
                idle_time.as_secs_f64() * to_f64(resident.bytes),
            );
        }
        idle_byte_secs
    }

    fn observe_replica(
        &mut self,
        server: &str,
        resident: &Resident,
        model: &Model,
        now: Duration,
    ) -> Duration {
        let key = ReplicaKey {
            server: server.to_owned(),
            model: resident.model.clone(),
        };
        let model_key = self.keys.get(&resident.model).copied();
        let load_time = self.load_time(model.size);
        let new_record = ReplicaRecord {
            op: resident.op.clone(),
            served: 0,
            first_seen: now,
            idle_since: None,
            keep_alive: Duration::ZERO,
            observed_at: now,
        };
        let record = self
            .replicas
            .entry(key)
            .or_insert_with(|| new_record.clone());
        if record.op != resident.op {
            *record = new_record;
        }
        let arrived = resident.served.saturating_sub(record.served);
        record.served = resident.served;
        if let Some(model_key) = model_key {
            for _ in 0..arrived.min(MAX_ARRIVALS_PER_REPORT) {
                self.policy.record_arrival(model_key, model.class, now);
            }
        }
        if arrived > 0 || resident.running + resident.queued > 0 {
            record.idle_since = None;
        } else if record.idle_since.is_none() {
            record.idle_since = Some(now);
            if let Some(model_key) = model_key {
                self.policy.record_idle(model_key, now);
                record.keep_alive = self.policy.keep_alive(model_key, now, load_time);
            }
        }
        let idle_time = if record.idle_since.is_some() {
            now.saturating_sub(record.observed_at)
        } else {
            Duration::ZERO
        };
        record.observed_at = now;
        idle_time
    }

    /// Models whose replica on a server has been idle for its keep-alive time.
    #[must_use]
    pub fn expired(&self, server: &str, now: Duration) -> Vec<String> {
        let keep_alive_expired = |record: &ReplicaRecord| {
            let idle = record.idle_since.map(|at| now.saturating_sub(at));
            idle.is_some_and(|i| i >= record.keep_alive.max(MIN_RESIDENCY))
        };
        let on_server = self.replicas.iter().filter(|(key, _)| key.server == server);
        on_server
            .filter(|(_, record)| keep_alive_expired(record))
            .map(|(key, _)| key.model.clone())
            .collect()
    }

    /// Models to evict from a server so that `need` bytes become free; `None` if impossible.
    #[must_use]
    pub fn choose_evictions(
        &self,
        server: &str,
        report: &Report,
        need: u64,
        now: Duration,
    ) -> Option<Vec<String>> {
        let settled = |model: &str| {
            let key = ReplicaKey {
                server: server.to_owned(),
                model: model.to_owned(),
            };
            self.replicas
                .get(&key)
                .is_none_or(|s| now.saturating_sub(s.first_seen) >= MIN_RESIDENCY)
        };
        let candidates: Vec<EvictionCandidate> = report
            .residents
            .iter()
            .filter(|r| r.state == Residency::Ready && settled(&r.model))
            .filter_map(|r| {
                Some(EvictionCandidate {
                    model: *self.keys.get(&r.model)?,
                    bytes: r.bytes,
                    requests: r.running + r.queued,
                    load_time: self.load_time(r.bytes),
                })
            })
            .collect();
        let chosen = self.policy.choose_evictions(&candidates, need, now)?;
        let name = |key: &ModelKey| {
            self.keys
                .iter()
                .find(|(_, k)| *k == key)
                .map(|(name, _)| name.clone())
        };
        Some(chosen.iter().filter_map(name).collect())
    }

    /// Models to load ahead of a predicted request, chosen from those without a replica.
    #[must_use]
    pub fn choose_preloads(&self, absent: &BTreeMap<String, u64>, now: Duration) -> Vec<String> {
        let absent: Vec<AbsentModel> = absent
            .iter()
            .filter_map(|(name, bytes)| {
                Some(AbsentModel {
                    model: *self.keys.get(name)?,
                    load_time: self.load_time(*bytes),
                })
            })
            .collect();
        let wanted = self.policy.choose_preloads(now, &absent);
        let names = self.keys.iter().filter(|(_, key)| wanted.contains(key));
        names.map(|(name, _)| name.clone()).collect()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no exact bytes"
)]
const fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
