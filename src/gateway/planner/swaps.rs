//! Which engine unloads what, and loads which model instead.

use std::time::Duration;

use super::facts::Facts;
use super::{
    Change, EngineState, Holding, Planner, Source, Step, StoreRoom, Want, load_time, source,
};

/// Share of an engine's slots that the requests of one model may fill before it gets a replica.
const REPLICA_SHARE: f64 = 0.4;
/// Requests a second from which a model is kept on two engines, so that one may fail.
const TWICE_RATE: f64 = 1.5;
/// Time for which a model that has just been loaded is kept, so that its waiting requests arrive.
const SETTLE: Duration = Duration::from_millis(800);

/// A way to load a model.
struct Way {
    engine: usize,
    source: Source,
    out: Vec<String>,
    loss: f64,
}

impl Planner<'_> {
    /// Replicas that the demand for a model asks for.
    fn needed(&self, fact: &Facts, want: &Want) -> u32 {
        let each = (f64::from(self.spec.slots) * REPLICA_SHARE).max(1.0);
        let by_load = (f64::from(fact.running + want.waiting) / each).ceil();
        let floor = if want.rate >= TWICE_RATE {
            2
        } else {
            u32::from(want.waiting > 0)
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count that is never negative"
        )]
        floor.max(by_load as u32)
    }

    /// Models that need one more replica, the longest waiting first.
    pub(super) fn wanted_models(&self) -> Vec<String> {
        let mut wanted: Vec<(bool, Duration, &String)> = Vec::new();
        for (name, fact) in &self.facts {
            let Some(want) = &fact.want else {
                continue;
            };
            let lacking = fact.replicas < self.needed(fact, want);
            if lacking && self.spec.models.contains_key(name) {
                wanted.push((fact.replicas > 0, want.since, name));
            }
        }
        wanted.sort();
        wanted
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    /// Models of which no live engine keeps a copy, the most asked for first.
    pub(super) fn uncopied(&self) -> Vec<String> {
        let mut models: Vec<(f64, &String)> = self
            .spec
            .models
            .keys()
            .map(|m| (self.fact(m), m))
            .filter(|(fact, _)| !fact.kept)
            .map(|(fact, m)| (fact.want.unwrap_or_default().rate, m))
            .collect();
        models.sort_by(|a, b| b.0.total_cmp(&a.0));
        models.into_iter().map(|(_, m)| m.clone()).collect()
    }

    pub(super) fn swap(&mut self, model: &str, room: &mut StoreRoom, urgent: bool) -> Option<Step> {
        let store = room.slots > 0 && room.tokens > 0;
        let way = self.best_way(model, store)?;
        if way.source == Source::Store {
            if urgent && self.copy_soon(model) {
                return None;
            }
            room.slots -= 1;
            room.tokens -= 1;
        }
        let engine = &mut self.engines[way.engine];
        for out in &way.out {
            engine.models.remove(out);
            if let Some(fact) = self.facts.get_mut(out) {
                fact.replicas = fact.replicas.saturating_sub(1);
            }
        }
        self.facts.entry(model.to_owned()).or_default().replicas += 1;
        engine.busy = true;
        engine.loading = Some(model.to_owned());
        Some(Step {
            engine: engine.id.clone(),
            change: Change::Swap {
                out: way.out,
                model: model.to_owned(),
                source: way.source,
            },
            urgent,
        })
    }

    /// The nearest copy, and the least loss among engines that have it equally near.
    fn best_way(&self, model: &str, store: bool) -> Option<Way> {
        let mut best: Option<Way> = None;
        for at in 0..self.engines.len() {
            let from = source(&self.engines[at], model);
            let farther = best.as_ref().is_some_and(|b| from > b.source);
            if farther || (from == Source::Store && !store) {
                continue;
            }
            let Some(way) = self.way(model, at) else {
                continue;
            };
            let better = |b: &Way| (way.source, way.loss) < (b.source, b.loss);
            if best.as_ref().is_none_or(better) {
                best = Some(way);
            }
        }
        best
    }

    /// Whether an engine with a copy of its own will be free sooner than the weight store delivers.
    fn copy_soon(&self, model: &str) -> bool {
        let copied = |e: &EngineState| !e.leaving && source(e, model) != Source::Store;
        let cold = self
            .spec
            .models
            .get(model)
            .map_or(Duration::ZERO, |m| m.cold_load);
        let waited = self.now.saturating_sub(self.demand(model).since);
        waited < cold / 2 && self.engines.iter().any(copied)
    }

    /// How an engine would make room for a model, if it can now.
    fn way(&self, model: &str, at: usize) -> Option<Way> {
        let engine = &self.engines[at];
        if engine.busy || engine.leaving || engine.models.contains_key(model) {
            return None;
        }
        let size = self.spec.models.get(model)?.weights_mb;
        let mut free = self.spec.memory_mb - self.used(engine);
        let mut idle: Vec<(f64, &str)> = engine
            .models
            .iter()
            .filter(|(name, holding)| self.may_go(name, holding))
            .map(|(name, _)| (self.loss(engine, name), name.as_str()))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut out = Vec::new();
        let mut loss = 0.0;
        for (cost, name) in idle {
            if free >= size {
                break;
            }
            free += self.held(name, &engine.models[name]);
            loss += cost;
            out.push(name.to_owned());
        }
        // Spreads equal choices: an engine with fewer copies on disk keeps more models near.
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let crowd = engine.disk.len() as f64 * 1e-6;
        (free >= size).then(|| Way {
            engine: at,
            source: source(engine, model),
            out,
            loss: loss + crowd,
        })
    }

    fn may_go(&self, name: &str, holding: &Holding) -> bool {
        holding.running == 0
            && self.now >= holding.since + SETTLE
            && (self.demand(name).waiting == 0 || self.replicas(name) > 1)
    }

    /// What unloading a model costs: requests a second that would have to wait for it again.
    fn loss(&self, engine: &EngineState, name: &str) -> f64 {
        let replicas = f64::from(self.replicas(name).max(1));
        let again = self
            .spec
            .models
            .get(name)
            .map_or(1.0, |m| load_time(m, source(engine, name)).as_secs_f64());
        let rate = self.demand(name).rate;
        (rate + 1e-3) * again / (replicas * replicas)
    }
}
