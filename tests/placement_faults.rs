//! Decisions about replicas while the table service misbehaves.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::sync::Arc;

use brassrack::placement::{EngineLoss, LoadRequest, Placement, PlacementError, PlacementSettings};
use brassrack::state_chart::ReplicaState;
use brassrack_standins::fault::Fault;
use brassrack_standins::table::MemoryTable;

fn ask(model: &str, server: &str) -> LoadRequest {
    LoadRequest {
        model: model.into(),
        bytes: 40,
        server: server.into(),
        capacity: 100,
        max_replicas: 1,
        max_loads: 4,
        max_adapters: 32,
        ..LoadRequest::default()
    }
}

fn placement(table: &MemoryTable, prefix: &str) -> Placement {
    let settings = PlacementSettings {
        region: "r".into(),
        prefix: prefix.into(),
        ..PlacementSettings::default()
    };
    Placement::new(Arc::new(table.clone()), settings).unwrap()
}

#[tokio::test(start_paused = true)]
async fn second_ask_finds_the_first() {
    let table = MemoryTable::default();
    let a = placement(&table, "a")
        .reserve(&ask("m", "s1"))
        .await
        .unwrap();
    let b = placement(&table, "b")
        .reserve(&ask("m", "s2"))
        .await
        .unwrap();
    assert_eq!((b.server.as_str(), b.existing, &b.op), ("s1", true, &a.op));
}

#[tokio::test(start_paused = true)]
async fn memory_is_a_bound() {
    let table = MemoryTable::default();
    let p = placement(&table, "a");
    p.reserve(&ask("m1", "s")).await.unwrap();
    p.reserve(&ask("m2", "s")).await.unwrap();
    assert_eq!(
        p.reserve(&ask("m3", "s")).await,
        Err(PlacementError::NoMemory)
    );
}

#[tokio::test(start_paused = true)]
async fn weight_store_places_are_a_bound() {
    let table = MemoryTable::default();
    let p = placement(&table, "a");
    let one = LoadRequest {
        max_loads: 1,
        ..ask("m1", "s1")
    };
    let two = LoadRequest {
        max_loads: 1,
        ..ask("m2", "s2")
    };
    let first = p.reserve(&one).await.unwrap();
    assert_eq!(p.reserve(&two).await, Err(PlacementError::SlotsBusy));
    p.confirm("s1", "m1", &first.op).await.unwrap();
    p.reserve(&two).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_read_back() {
    for lost in 1..4 {
        let table = MemoryTable::default();
        let p = placement(&table, "a");
        table.switch.set(Fault::LoseNext(lost));
        // Reads that lose their answers count as a table that is down.
        let first = p.reserve(&ask("m", "s")).await;
        table.switch.set(Fault::None);
        let second = p.reserve(&ask("m", "s")).await.unwrap();
        let row = p.server("s").await.unwrap().row;
        assert_eq!(row.replicas.len(), 1, "lost {lost}: {first:?}");
        assert_eq!(row.replicas[0].op, second.op);
    }
}

#[tokio::test(start_paused = true)]
async fn refused_table_decides_nothing() {
    let table = MemoryTable::default();
    table.switch.set(Fault::Down);
    let refused = placement(&table, "a").reserve(&ask("m", "s")).await;
    assert!(matches!(refused, Err(PlacementError::TableDown(_))));
    assert!(table.rows().is_empty());
}

#[tokio::test(start_paused = true)]
async fn unload_counts_until_released() {
    let table = MemoryTable::default();
    let p = placement(&table, "a");
    let r = p.reserve(&ask("m", "s")).await.unwrap();
    p.confirm("s", "m", &r.op).await.unwrap();
    p.retire("s", "m").await.unwrap();
    assert_eq!(p.server("s").await.unwrap().row.used_bytes(), 40);
    p.release("s", "m", &r.op).await.unwrap();
    assert_eq!(p.server("s").await.unwrap().row.used_bytes(), 0);
    assert!(!p.reserve(&ask("m", "s")).await.unwrap().existing);
}

#[tokio::test(start_paused = true)]
async fn release_needs_an_unload() {
    let table = MemoryTable::default();
    let p = placement(&table, "a");
    let r = p.reserve(&ask("m", "s")).await.unwrap();
    let early = p.release("s", "m", &r.op).await;
    assert!(matches!(early, Err(PlacementError::NotAllowed { .. })));
}

#[tokio::test(start_paused = true)]
async fn restart_quarantines_ready_replicas() {
    let table = MemoryTable::default();
    let p = placement(&table, "a");
    p.record_loss("s", &EngineLoss::Restarted("b1".into()))
        .await
        .unwrap();
    let r = p.reserve(&ask("m", "s")).await.unwrap();
    p.confirm("s", "m", &r.op).await.unwrap();
    p.record_loss("s", &EngineLoss::Restarted("b2".into()))
        .await
        .unwrap();
    let row = p.server("s").await.unwrap().row;
    assert_eq!(row.replicas[0].state, ReplicaState::Quarantined);
    assert_eq!(row.used_bytes(), 40);
}
