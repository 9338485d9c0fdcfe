//! Cold starts while the table service is down for ten minutes.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod rack;

use std::collections::BTreeSet;
use std::time::Duration;

use brassrack::engine::{Engine, Residency};
use brassrack::placement::{LoadRequest, PlacementError, load_order};
use brassrack::rules::Fencing;
use brassrack::state_chart::ReplicaState;
use brassrack_standins::fault::Fault;
use rack::{Instance, Rack, address, server_name};
use strum::IntoEnumIterator;
use tokio::time::sleep;

/// Engines, each with room for one replica.
const SERVERS: u16 = 8;

/// Models; the lower the number, the more often it wakes.
const MODELS: u64 = 50;

/// Length of the outage and of the script, in seconds.
const OUTAGE: u64 = 600;

/// Models that wake in the outage, one every 15 seconds, by a fixed sequence.
fn wakes() -> Vec<String> {
    let mut x: u64 = 7;
    let next = |_| {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let u = (x >> 33) % (MODELS * MODELS);
        // A square root makes low numbers more frequent.
        format!("m{}", MODELS - 1 - u.isqrt())
    };
    (0..OUTAGE / 15).map(next).collect()
}

fn ask(model: &str, server: u16) -> LoadRequest {
    LoadRequest {
        max_loads: 4,
        ..Instance::ask(model, server)
    }
}

/// Orders a granted load without a write and waits until it is ready.
async fn activate(instance: &Instance, server: u16, model: &str, rows: &Granted) -> bool {
    let Some(replica) = rows.row.replica(model) else {
        return false;
    };
    let order = load_order(replica, rows.fence);
    let ordered = instance.engines.order(address(server), order).await;
    if ordered.is_err() {
        return false;
    }
    sleep(Duration::from_secs(2)).await;
    let report = instance.engines.report(address(server)).await.unwrap();
    let ready = |r: &brassrack::engine::Resident| r.op == replica.op && r.state == Residency::Ready;
    report.residents.iter().any(ready)
}

type Granted = brassrack::placement::ServerSnapshot;

/// Runs the outage with this many grants; returns cold starts served and refused.
async fn outage(grants: u16, fencing: Fencing) -> (usize, usize) {
    let rack = Rack::new(SERVERS, fencing);
    let turning = tokio::spawn(rack.clone().turn());
    let mut a = rack.instance("a");
    assert!(a.placement.claim_activator("a", "").await.unwrap());
    for server in 0..SERVERS {
        a.reconcile(server).await;
    }
    let mut known = Vec::new();
    for server in 0..grants {
        let model = format!("m{server}");
        a.placement.grant(&ask(&model, server)).await.unwrap();
        known.push(a.placement.server(&server_name(server)).await.unwrap());
    }
    a.script.table.switch.set(Fault::Down);
    let (mut served, mut refused, mut warm) = (0, 0, BTreeSet::new());
    for model in wakes() {
        sleep(Duration::from_secs(13)).await;
        if warm.contains(&model) {
            continue;
        }
        let of_model = known
            .iter()
            .zip(0..)
            .find(|(k, _)| k.row.replica(&model).is_some());
        if let Some((rows, server)) = of_model
            && activate(&a, server, &model, rows).await
        {
            served += 1;
            warm.insert(model);
            continue;
        }
        let answer = a.placement.reserve(&ask(&model, SERVERS - 1)).await;
        assert!(
            matches!(answer, Err(PlacementError::TableDown(_))),
            "{answer:?}"
        );
        refused += 1;
    }
    a.script.table.switch.set(Fault::None);
    for _ in 0..10 {
        for server in 0..SERVERS {
            a.reconcile(server).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    for placed in a.placement.snapshot().await.unwrap() {
        for replica in placed.row.replicas {
            let ready = warm.contains(&replica.model);
            let state = if ready {
                ReplicaState::Ready
            } else {
                ReplicaState::Granted
            };
            assert_eq!(replica.state, state, "{}", replica.model);
        }
    }
    turning.abort();
    assert_eq!(rack.check(), Ok(()));
    (served, refused)
}

#[tokio::test(start_paused = true)]
async fn granted_models_start_in_an_outage() {
    for fencing in Fencing::iter() {
        for grants in [0, 2, 4, 8] {
            let (served, refused) = outage(grants, fencing).await;
            println!("{fencing}, {grants} grants: {served} cold starts served, {refused} refused");
            let granted: BTreeSet<String> = (0..grants).map(|m| format!("m{m}")).collect();
            let woken = wakes().into_iter().collect::<BTreeSet<String>>();
            assert_eq!(served, granted.intersection(&woken).count(), "{fencing}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn one_process_start_activates() {
    let rack = Rack::new(1, Fencing::Checked);
    let (a, b) = (rack.instance("a"), rack.instance("b"));
    assert!(a.placement.claim_activator("a", "").await.unwrap());
    assert!(!b.placement.claim_activator("b", "").await.unwrap());
    assert!(b.placement.claim_activator("b", "a").await.unwrap());
    assert!(!a.placement.claim_activator("a", "").await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn withdrawn_grant_counts_until_a_late_activation_cannot_arrive() {
    for fencing in Fencing::iter() {
        let rack = Rack::new(1, fencing);
        let turning = tokio::spawn(rack.clone().turn());
        let (a, mut b) = (rack.instance("a"), rack.instance("b"));
        a.placement.grant(&ask("m", 0)).await.unwrap();
        let held = a.placement.server("s0").await.unwrap();
        assert!(b.until_gone("m", 0).await);
        // The paused activator orders after the grant was withdrawn. An engine that checks
        // refuses; one that does not loads it, and it is found, counted and unloaded.
        let loaded = activate(&a, 0, "m", &held).await;
        assert_eq!(loaded, fencing == Fencing::Ignored, "{fencing}");
        for _ in 0..60 {
            b.reconcile(0).await;
            sleep(Duration::from_millis(300)).await;
        }
        turning.abort();
        assert_eq!(rack.check_empty(1), Ok(()), "{fencing}");
    }
}
