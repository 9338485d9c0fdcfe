//! Demand that the lease holder keeps, by what instances report.

use std::collections::BTreeMap;
use std::time::Duration;

use brassrack::gateway::catalog::{Catalog, Engine, Limits, Model, Service};
use brassrack::gateway::link::TargetCount;
use brassrack::gateway::orders::rates::DemandRates;

const NOW: Duration = Duration::from_secs(9);

/// A configuration with one model.
fn catalog() -> Catalog {
    let model = Model {
        weights_mb: 70.0,
        cold_load: Duration::from_secs(6),
        disk_load: Duration::from_secs(2),
        warm_load: Duration::from_secs(1),
        adapter_count: 2,
        adapter_mb: 1.0,
    };
    let engine = Engine {
        slots: 8,
        cache_tokens: 90_000,
        memory_mb: 150.0,
        adapter_slots: 2,
        load_rate: 4.0,
        disk_mb: 1300.0,
        backups: false,
        models: BTreeMap::from([("m0".into(), model)]),
    };
    let service = Service {
        max_connections: 100,
        engine: Some(engine),
    };
    Catalog::new(
        1,
        Vec::new(),
        BTreeMap::from([("writers".into(), service)]),
        Limits::default(),
    )
}

fn count(model: &str, adapter: &str) -> TargetCount {
    TargetCount {
        scope: "writers".into(),
        model: model.into(),
        adapter: adapter.into(),
        arrivals: 1,
        refused: 1,
        ended: 1,
        ..TargetCount::default()
    }
}

/// Guards against a lease holder that exceeds its memory: an earlier build reports whatever callers
/// name.
#[test]
fn only_configured_targets_are_kept() {
    let mut rates = DemandRates::default();
    let long = "n".repeat(14_000);
    let counts = [
        count("m0", ""),
        count("m0", "a0"),
        count("m0", &long),
        count(&long, ""),
    ];
    rates.record(&counts, &catalog(), NOW);
    let kept = rates.of_service("writers", NOW);
    let names: Vec<String> = kept.keys().map(|t| t.adapter_name().to_owned()).collect();
    assert_eq!(names, ["", "a0"]);
    assert!(rates.of_service("plain", NOW).is_empty());
}

/// Guards against the same with ever new names of adapters; those that are known count on.
#[test]
fn number_of_targets_is_bounded() {
    let mut rates = DemandRates::default();
    let counts: Vec<TargetCount> = (0..20_000).map(|n| count("m0", &format!("a{n}"))).collect();
    rates.record(&counts, &catalog(), NOW);
    rates.record(&counts[..1], &catalog(), NOW);
    let kept = rates.of_service("writers", NOW);
    assert_eq!(kept.len(), 16_384);
    let first = kept
        .iter()
        .find(|(target, _)| target.adapter_name() == "a0");
    assert!(first.is_some_and(|(_, demand)| demand.request_rate > 0.2));
}
