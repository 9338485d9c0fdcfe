//! Which engine loads what, by pattern of load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use brassrack::gateway::catalog::{Engine, Model};
use brassrack::gateway::planner::{
    EngineAction, EngineState, Fleet, LoadedModel, PinnedTarget, PlannedAction, StoreCapacity,
    TargetDemand, WeightSource, plan,
};
use brassrack::gateway::protocol::Target;

const NOW: Duration = Duration::from_secs(100);
const ROOM: StoreCapacity = StoreCapacity {
    slots: 4,
    tokens: 10,
};

fn spec(models: &[&str]) -> Engine {
    let model = Model {
        weights_mb: 70.0,
        cold_load: Duration::from_secs(6),
        disk_load: Duration::from_secs(1),
        warm_load: Duration::from_millis(800),
        adapter_count: 4,
        adapter_mb: 1.0,
    };
    Engine {
        slots: 64,
        cache_tokens: 100_000,
        memory_mb: 220.0,
        adapter_slots: 2,
        load_rate: 4.0,
        disk_mb: 1300.0,
        backups: false,
        models: models
            .iter()
            .map(|m| ((*m).to_owned(), model.clone()))
            .collect(),
    }
}

fn engine(id: &str, models: &[&str]) -> EngineState {
    let names: BTreeSet<String> = models.iter().map(|m| (*m).to_owned()).collect();
    EngineState {
        id: id.into(),
        models: names
            .iter()
            .map(|m| (m.clone(), LoadedModel::default()))
            .collect(),
        on_disk: names,
        ..EngineState::default()
    }
}

fn on(model: &str, adapter: Option<&str>) -> Target {
    Target {
        model: model.into(),
        adapter: adapter.map(str::to_owned),
    }
}

fn waiting(count: u32) -> TargetDemand {
    TargetDemand {
        waiting: count,
        oldest_arrival: NOW,
        request_rate: 0.1,
        ..TargetDemand::default()
    }
}

fn decide(
    spec: &Engine,
    engines: Vec<EngineState>,
    wants: &[(Target, TargetDemand)],
) -> Vec<PlannedAction> {
    let fleet = Fleet {
        engines,
        demand: wants.iter().cloned().collect::<BTreeMap<_, _>>(),
        ..Fleet::default()
    };
    let steps = plan(spec, &fleet, ROOM, NOW);
    steps.into_iter().filter(|s| s.urgent).collect()
}

fn swap(step: &PlannedAction) -> (&str, &[String], WeightSource) {
    match &step.action {
        EngineAction::LoadModel { evict, source, .. } => (&step.engine, evict, *source),
        EngineAction::LoadAdapter { .. } => panic!("a swap was expected: {step:?}"),
    }
}

/// Pattern: a rare model is asked for that lies on one engine's disk.
#[test]
fn rare_model_from_disk() {
    let mut near = engine("near", &["a", "b", "c"]);
    near.on_disk.insert("rare".into());
    let far = engine("far", &["d", "e", "f"]);
    let spec = spec(&["a", "b", "c", "d", "e", "f", "rare"]);
    let steps = decide(&spec, vec![far, near], &[(on("rare", None), waiting(1))]);
    assert_eq!(swap(&steps[0]).0, "near");
    assert_eq!(swap(&steps[0]).2, WeightSource::Disk);
}

/// Pattern: rare models are asked for at once; each engine takes one.
#[test]
fn rare_models_at_once() {
    let engines = vec![engine("1", &["a", "b", "c"]), engine("2", &["d", "e", "f"])];
    let spec = spec(&["a", "b", "c", "d", "e", "f", "x", "y", "z"]);
    let wants = [
        (on("x", None), waiting(1)),
        (on("y", None), waiting(1)),
        (on("z", None), waiting(1)),
    ];
    let steps = decide(&spec, engines, &wants);
    let taken: BTreeSet<&str> = steps.iter().map(|s| s.engine.as_str()).collect();
    assert_eq!(taken, BTreeSet::from(["1", "2"]));
}

/// Pattern: a busy model shares an engine with idle ones; the least asked for goes.
#[test]
fn idle_model_goes() {
    let mut full = engine("1", &["busy", "used", "idle"]);
    full.models.get_mut("busy").unwrap().running = 3;
    let used = TargetDemand {
        request_rate: 5.0,
        ..TargetDemand::default()
    };
    let spec = spec(&["busy", "used", "idle", "x"]);
    let wants = [(on("x", None), waiting(1)), (on("used", None), used)];
    let steps = decide(&spec, vec![full], &wants);
    assert_eq!(swap(&steps[0]).1, ["idle".to_owned()]);
}

/// Pattern: every model of the only engine runs requests; nothing is unloaded under them.
#[test]
fn running_models_stay() {
    let mut full = engine("1", &["a", "b", "c"]);
    for holding in full.models.values_mut() {
        holding.running = 1;
    }
    let spec = spec(&["a", "b", "c", "x"]);
    let steps = decide(&spec, vec![full], &[(on("x", None), waiting(1))]);
    assert!(steps.is_empty());
}

/// Pattern: demand moves to one model; its running requests outgrow one engine.
#[test]
fn demand_moves() {
    let mut first = engine("1", &["hot", "b", "c"]);
    first.models.get_mut("hot").unwrap().running = 40;
    let mut second = engine("2", &["d", "e", "f"]);
    second.on_disk.insert("hot".into());
    let spec = spec(&["hot", "b", "c", "d", "e", "f"]);
    let want = TargetDemand {
        request_rate: 12.0,
        ..TargetDemand::default()
    };
    let steps = decide(&spec, vec![first, second], &[(on("hot", None), want)]);
    assert_eq!(swap(&steps[0]).0, "2");
}

/// Pattern: copies lie unevenly; a model without any copy is fetched while the store is idle.
#[test]
fn copies_spread() {
    let spec = spec(&["a", "b", "c", "lost"]);
    let fleet = Fleet {
        engines: vec![engine("1", &["a", "b", "c"])],
        demand: BTreeMap::new(),
        ..Fleet::default()
    };
    let steps = plan(&spec, &fleet, ROOM, NOW);
    assert!(!steps[0].urgent);
    assert_eq!(swap(&steps[0]).2, WeightSource::Store);
}

/// Pattern: the weight store's slots are taken; nothing more is fetched from it.
#[test]
fn store_is_full() {
    let spec = spec(&["a", "b", "c", "x"]);
    let fleet = Fleet {
        engines: vec![engine("1", &["a", "b", "c"])],
        demand: BTreeMap::from([(on("x", None), waiting(1))]),
        ..Fleet::default()
    };
    let none = StoreCapacity {
        slots: 0,
        tokens: 10,
    };
    assert!(plan(&spec, &fleet, none, NOW).is_empty());
}

/// Pattern: an adapter is asked for; places are full, and an unused adapter makes room.
#[test]
fn adapter_places() {
    let mut full = engine("1", &["a"]);
    let holding = full.models.get_mut("a").unwrap();
    holding.adapters = BTreeMap::from([("a1".into(), 1), ("a2".into(), 0)]);
    let steps = decide(
        &spec(&["a"]),
        vec![full],
        &[(on("a", Some("a3")), waiting(1))],
    );
    let EngineAction::LoadAdapter { evict, target } = &steps[0].action else {
        panic!("an adapter was expected");
    };
    assert_eq!(
        (evict.as_slice(), target),
        (&[on("a", Some("a2"))][..], &on("a", Some("a3")))
    );
}

/// No plan ever takes more memory or places than an engine has, whatever it holds and runs.
#[test]
fn plans_fit() {
    arbtest::arbtest(|u| {
        let names = ["a", "b", "c", "d", "e", "f", "g"];
        let spec = spec(&names);
        let mut engines = Vec::new();
        for id in 0..u.int_in_range(1..=4)? {
            let mut state = engine(&id.to_string(), &[]);
            for name in names {
                if state.models.len() < 3 && u.ratio(1, 2)? {
                    let holding = LoadedModel {
                        running: u.int_in_range(0..=1)?,
                        ..LoadedModel::default()
                    };
                    state.models.insert(name.into(), holding);
                }
            }
            state.busy = u.ratio(1, 5)?;
            engines.push(state);
        }
        let mut wants = BTreeMap::new();
        for name in names {
            if u.arbitrary()? {
                wants.insert(on(name, None), waiting(u.int_in_range(0..=30)?));
            }
        }
        let fleet = Fleet {
            engines,
            demand: wants,
            ..Fleet::default()
        };
        for step in plan(&spec, &fleet, ROOM, NOW) {
            let at = fleet.engines.iter().find(|e| e.id == step.engine).unwrap();
            assert!(!at.busy);
            let (_, out, _) = swap(&step);
            assert!(out.iter().all(|m| at.models[m].running == 0));
            let left = at.models.len() - out.len() + 1;
            assert!(left <= 3, "{step:?}");
        }
        Ok(())
    });
}

/// Pattern: hundreds of rare models are asked for at once on a large fleet. The instance that plans
/// serves callers as well; a plan that takes longer than the time between two of them makes it
/// deaf to the others. The bound is the lease's term, on a build without optimization.
#[test]
fn large_fleet_is_planned_in_time() {
    let names: Vec<String> = (0..1000).map(|n| format!("m{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let spec = spec(&names);
    let engines = (0..600)
        .map(|n| {
            let held: Vec<&str> = (0..3).map(|k| names[(n * 3 + k) % 500]).collect();
            let mut engine = engine(&format!("e{n}"), &held);
            let copies = (0..18).map(|k| names[(n * 7 + k * 31) % 1000].to_owned());
            engine.on_disk.extend(copies);
            engine
        })
        .collect();
    let wants: Vec<(Target, TargetDemand)> = names[500..]
        .iter()
        .map(|m| (on(m, None), waiting(1)))
        .collect();
    let began = std::time::Instant::now();
    let steps = decide(&spec, engines, &wants);
    assert!(steps.len() > 100, "{}", steps.len());
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
}

/// Demand of one request that arrived some time ago and has to be answered within four seconds.
fn due(waited_ms: u64) -> TargetDemand {
    let arrival = NOW.saturating_sub(Duration::from_millis(waited_ms));
    let objective = Duration::from_secs(4);
    TargetDemand {
        oldest_arrival: arrival,
        objective,
        in_time_until: arrival + objective,
        ..waiting(1)
    }
}

fn first_load(wants: &[(Target, TargetDemand)]) -> String {
    let spec = spec(&["old", "late", "fresh"]);
    let mut only = engine("e", &["old"]);
    only.on_disk = ["late".into(), "fresh".into()].into();
    let steps = decide(&spec, vec![only], wants);
    match &steps[0].action {
        EngineAction::LoadModel { model, .. } => model.clone(),
        EngineAction::LoadAdapter { .. } => panic!("a swap was expected: {steps:?}"),
    }
}

/// Pattern: a burst of requests for rare models, more than the engines can swap in. First come,
/// first served makes all of them late; those that can still be in time go first.
#[test]
fn burst_of_rare_models() {
    let wants = [(on("late", None), due(3500)), (on("fresh", None), due(500))];
    assert_eq!(first_load(&wants), "fresh");
}

#[test]
fn longest_wait_first_while_in_time() {
    let wants = [(on("late", None), due(2000)), (on("fresh", None), due(500))];
    assert_eq!(first_load(&wants), "late");
}

/// A late request is not put off for good.
#[test]
fn overdue_goes_first() {
    let wants = [(on("late", None), due(8000)), (on("fresh", None), due(500))];
    assert_eq!(first_load(&wants), "late");
}

/// Pattern: an urgent kind of request waits for a model and could never be in time with a swap. It
/// is not put behind a less urgent kind for that.
#[test]
fn short_objective_is_not_put_off() {
    let urgent = TargetDemand {
        objective: Duration::from_millis(800),
        in_time_until: NOW.saturating_sub(Duration::from_millis(500)),
        ..due(1300)
    };
    let wants = [(on("late", None), urgent), (on("fresh", None), due(500))];
    assert_eq!(first_load(&wants), "late");
}

/// Pattern: an engine crashes with the only replica of a model; its entry is listed for seconds.
#[test]
fn replica_out_of_reach() {
    let spec = spec(&["m"]);
    let gone = EngineState {
        unreachable: true,
        busy: true,
        ..engine("gone", &["m"])
    };
    let mut spare = engine("spare", &[]);
    spare.on_disk = ["m".into()].into();
    let steps = decide(&spec, vec![gone, spare], &[(on("m", None), waiting(1))]);
    assert_eq!(swap(&steps[0]).0, "spare");
}

/// An engine that takes less than the demand for its model, one that takes as much, and a free one.
fn limited_plan(limit: Option<f64>) -> Vec<PlannedAction> {
    let mut limited = engine("limited", &["a"]);
    limited.limit = limit;
    let mut free = engine("free", &["b"]);
    free.on_disk.insert("a".into());
    let spec = spec(&["a", "b"]);
    let demand = TargetDemand {
        request_rate: 1.2,
        ..waiting(1)
    };
    decide(&spec, vec![limited, free], &[(on("a", None), demand)])
}

/// Pattern: the only engine with a model takes fewer requests than come; another one gets the model.
#[test]
fn demand_beyond_a_limit() {
    let steps = limited_plan(Some(1.0));
    assert_eq!(swap(&steps[0]).0, "free");
}

/// Pattern: an engine's limit is above the demand for its model; nothing is loaded.
#[test]
fn demand_within_a_limit() {
    assert_eq!(limited_plan(Some(1.5)), Vec::new());
    assert_eq!(limited_plan(None), Vec::new());
}

/// Pattern: a rare model is asked for, and the engine with a copy on its disk names a limit.
#[test]
fn limited_engine_loads_last() {
    let mut limited = engine("limited", &["a"]);
    limited.limit = Some(1.0);
    limited.on_disk.insert("rare".into());
    let free = engine("free", &["b"]);
    let spec = spec(&["a", "b", "rare"]);
    let wants = [(on("rare", None), waiting(1))];
    let overdue = [(
        on("rare", None),
        TargetDemand {
            oldest_arrival: Duration::from_secs(70),
            ..waiting(1)
        },
    )];
    let steps = decide(&spec, vec![limited.clone(), free.clone()], &overdue);
    assert_eq!(swap(&steps[0]).0, "free");
    assert_eq!(swap(&decide(&spec, vec![limited], &wants)[0]).0, "limited");
}

/// Pattern: an adapter is only on an engine that names a limit, and another engine has its model.
#[test]
fn adapter_beside_a_limit() {
    let mut limited = engine("limited", &["a"]);
    limited.limit = Some(1.0);
    let free = engine("free", &["a"]);
    let adapters = &mut limited.models.get_mut("a").unwrap().adapters;
    adapters.insert("a1".into(), 1);
    let wants = [(on("a", Some("a1")), waiting(1))];
    let steps = decide(&spec(&["a"]), vec![limited.clone(), free], &wants);
    assert_eq!(steps[0].engine, "free");
    assert_eq!(decide(&spec(&["a"]), vec![limited], &wants), Vec::new());
}

/// A busy model with one replica; the only other engine that has its weights is full.
fn second_replica(capacity: StoreCapacity, waits: &[(Target, TargetDemand)]) -> Vec<PlannedAction> {
    let mut first = engine("first", &["busy"]);
    for loaded in first.models.values_mut() {
        loaded.running = 5;
    }
    let mut full = engine("full", &["a", "b", "c"]);
    full.on_disk.insert("busy".into());
    for loaded in full.models.values_mut() {
        loaded.running = 1;
    }
    let rate = TargetDemand {
        request_rate: 5.0,
        ..TargetDemand::default()
    };
    let fleet = Fleet {
        engines: vec![first, full, engine("empty", &[])],
        demand: [(on("busy", None), rate)]
            .iter()
            .chain(waits)
            .cloned()
            .collect(),
        ..Fleet::default()
    };
    let spec = spec(&["busy", "a", "b", "c", "unasked"]);
    plan(&spec, &fleet, capacity, NOW)
}

/// Guards against a busy model that stays on one engine for as long as the engine with its weights is
/// full, while models are loaded that nobody asks for: all its streams ended with that engine.
#[test]
fn busy_model_without_a_free_copy() {
    let steps = second_replica(ROOM, &[]);
    assert_eq!(
        (steps[0].urgent, swap(&steps[0]).0, swap(&steps[0]).2),
        (true, "empty", WeightSource::Store)
    );
}

/// The last slot of the weight store is left to models that requests wait for.
#[test]
fn second_replica_leaves_a_slot() {
    let last = StoreCapacity {
        slots: 1,
        tokens: 10,
    };
    assert_eq!(second_replica(last, &[]), []);
}

/// Guards against the same where requests wait for adapters of the model, each for a moment: the
/// wait for the engine with its weights began anew with each of them.
#[test]
fn busy_model_with_waits_for_adapters() {
    let steps = second_replica(ROOM, &[(on("busy", Some("a1")), waiting(1))]);
    assert_eq!(
        (swap(&steps[0]).0, swap(&steps[0]).2),
        ("empty", WeightSource::Store)
    );
}

/// Streams begun at v1 wait for a model or adapter that an engine of v2 has.
fn pinned_plan(target: Target, old: EngineState) -> Vec<PlannedAction> {
    let mut newer = engine("new", &["m"]);
    newer.software = "v2".into();
    for loaded in newer.models.values_mut() {
        loaded.adapters.insert("a1".into(), 0);
    }
    let old = EngineState {
        software: "v1".into(),
        ..old
    };
    let fleet = Fleet {
        engines: vec![newer, old],
        pinned: BTreeSet::from([PinnedTarget {
            software: "v1".into(),
            target,
        }]),
        ..Fleet::default()
    };
    let steps = plan(&spec(&["m", "n"]), &fleet, ROOM, NOW);
    steps.into_iter().filter(|s| s.urgent).collect()
}

/// Guards against streams of one software version that wait in vain, as a replica at another version
/// counts for theirs.
#[test]
fn pinned_model_from_disk() {
    let mut old = engine("old", &["n"]);
    old.on_disk.insert("m".into());
    let steps = pinned_plan(on("m", None), old);
    assert_eq!((swap(&steps[0]).0, steps.len()), ("old", 1));
}

/// A load from the weight store takes longer than callers wait for a stream to go on.
#[test]
fn pinned_model_is_not_fetched() {
    assert_eq!(pinned_plan(on("m", None), engine("old", &["n"])), []);
}

#[test]
fn pinned_adapter_at_its_version() {
    let steps = pinned_plan(on("m", Some("a1")), engine("old", &["m"]));
    assert_eq!((steps[0].engine.as_str(), steps.len()), ("old", 1));
}

/// Guards against LOST after a busy model is evicted from the only engine of a software version that
/// holds it, as a replica at another version made it look cheap: its streams could not go on.
#[test]
fn last_replica_of_a_version_stays() {
    let mut old = engine("old", &["busy", "a", "b"]);
    old.software = "v1".into();
    let mut newer = engine("new", &["busy", "c", "d"]);
    newer.software = "v2".into();
    newer.busy = true;
    let rated = |rate| TargetDemand {
        request_rate: rate,
        ..TargetDemand::default()
    };
    let mut wants = vec![
        (on("busy", None), rated(1.0)),
        (on("rare", None), waiting(1)),
    ];
    wants.extend(["a", "b", "c", "d"].map(|m| (on(m, None), rated(0.5))));
    let spec = spec(&["busy", "a", "b", "c", "d", "rare"]);
    let steps = decide(&spec, vec![old, newer], &wants);
    let (engine, evicted, _) = swap(&steps[0]);
    assert_eq!(engine, "old");
    assert!(!evicted.contains(&"busy".to_owned()), "{evicted:?}");
}
