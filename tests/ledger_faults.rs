//! Calls that run at most once, while tables and instances misbehave.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::sync::Arc;
use std::time::Duration;

use brassrack::idempotency::{
    Answer, Call, Claim, ClaimToken, IdempotencySettings, IdempotencyStore, SettleError,
    delete_expired, fingerprint,
};
use brassrack::rules::Repeat;
use brassrack::verdict::{Cause, Verdict};
use brassrack_standins::fault::Fault;
use brassrack_standins::scripted_table::{CommitFault, ScriptedTable};
use brassrack_standins::table::{MemoryObjects, MemoryTable};
use bytes::Bytes;
use futures_util::future::join_all;

/// Two instances over one table and one object store.
struct Pair {
    table: MemoryTable,
    objects: MemoryObjects,
    script: ScriptedTable,
    a: Arc<IdempotencyStore>,
    b: Arc<IdempotencyStore>,
}

impl Pair {
    fn new() -> Self {
        let table = MemoryTable::default();
        let objects = MemoryObjects::default();
        let script = ScriptedTable::new(&table);
        let ledger = |instance: &str, table| {
            let settings = IdempotencySettings {
                start_id: instance.into(),
                inline_bytes: 64,
                ..IdempotencySettings::default()
            };
            Arc::new(IdempotencyStore::new(
                table,
                Arc::new(objects.clone()),
                settings,
            ))
        };
        Self {
            a: ledger("a", Arc::new(script.clone())),
            b: ledger("b", Arc::new(script.table.clone())),
            table,
            objects,
            script,
        }
    }
}

fn call(key: &str) -> Call {
    Call {
        tenant: "t".into(),
        key: key.into(),
        fingerprint: fingerprint("POST", "/orders", b"gilded"),
        repeat: Repeat::Never,
    }
}

fn answer(body: &str) -> Answer {
    Answer {
        status: 201,
        kind: "text/plain".into(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

async fn mine(ledger: &IdempotencyStore, call: &Call) -> ClaimToken {
    match ledger.claim(call).await {
        Ok(Claim::Granted(token)) => token,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn repeat_gets_the_stored_answer() {
    let p = Pair::new();
    let token = mine(&p.a, &call("k")).await;
    assert!(matches!(
        p.b.claim(&call("k")).await,
        Ok(Claim::InProgress { claimant, .. }) if claimant == "a"
    ));
    p.a.store_answer(token, &answer("cut")).await.unwrap();
    assert_eq!(
        p.b.claim(&call("k")).await,
        Ok(Claim::Completed(answer("cut")))
    );
}

#[tokio::test(start_paused = true)]
async fn one_of_many_claims_wins() {
    let p = Pair::new();
    p.script.table.switch.set(Fault::Slow(3));
    let key = call("k");
    let bids = (0..20).map(|i| {
        if i % 2 == 0 {
            p.a.claim(&key)
        } else {
            p.b.claim(&key)
        }
    });
    let claims = join_all(bids).await;
    let won = claims.iter().filter(|c| matches!(c, Ok(Claim::Granted(_))));
    assert_eq!(won.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_claim_is_read_back() {
    for fault in [
        CommitFault::Lose,
        CommitFault::Late(Duration::from_millis(1)),
    ] {
        let p = Pair::new();
        p.script.fail(1, fault);
        mine(&p.a, &call("k")).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let repeat = p.b.claim(&call("k")).await;
        assert!(
            matches!(repeat, Ok(Claim::InProgress { .. })),
            "{fault:?}: {repeat:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_as_not_run() {
    let p = Pair::new();
    p.script.table.switch.set(Fault::Down);
    let refusal = p.a.claim(&call("k")).await.unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::TableDown)
    );
    assert!(refusal.retry_after >= Some(Duration::from_secs(5)));
    assert!(p.table.rows().is_empty());
}

#[tokio::test(start_paused = true)]
async fn claim_refused_after_its_effect_is_given_back() {
    let p = Pair::new();
    p.script.fail(1, CommitFault::LoseAndFall);
    let refusal = p.a.claim(&call("k")).await.unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    p.script.table.switch.set(Fault::None);
    p.a.flush_pending().await;
    mine(&p.b, &call("k")).await;
}

#[tokio::test(start_paused = true)]
async fn refused_claim_is_taken_anew_at_the_same_instance() {
    let p = Pair::new();
    p.script.fail(1, CommitFault::LoseAndFall);
    p.a.claim(&call("k")).await.unwrap_err();
    p.script.table.switch.set(Fault::None);
    let token = mine(&p.a, &call("k")).await;
    p.a.flush_pending().await;
    p.a.store_answer(token, &answer("cut")).await.unwrap();
    assert_eq!(
        p.b.claim(&call("k")).await,
        Ok(Claim::Completed(answer("cut")))
    );
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_caller_who_went_is_given_back() {
    for fault in [CommitFault::FreezeBefore, CommitFault::FreezeAfter] {
        let p = Pair::new();
        p.script.fail(1, fault);
        let key = call("k");
        let late = tokio::time::timeout(Duration::from_millis(10), p.a.claim(&key)).await;
        late.unwrap_err();
        p.script.resume();
        tokio::time::sleep(Duration::from_secs(1)).await;
        p.a.flush_pending().await;
        mine(&p.b, &key).await;
    }
}

#[tokio::test(start_paused = true)]
async fn late_claim_does_not_revive_a_given_back_one() {
    let p = Pair::new();
    p.script.fail(1, CommitFault::Late(Duration::from_secs(1)));
    let token = mine(&p.a, &call("k")).await;
    p.a.release_claim(token).await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    mine(&p.b, &call("k")).await;
}

#[tokio::test(start_paused = true)]
async fn call_of_a_gone_claimant_is_not_sent_again() {
    let p = Pair::new();
    mine(&p.a, &call("k")).await;
    let Ok(Claim::InProgress { op, .. }) = p.b.claim(&call("k")).await else {
        panic!("the claim stands");
    };
    assert_eq!(p.b.mark_orphaned(&call("k"), &op).await, Ok(Claim::Unknown));
    assert_eq!(p.b.claim(&call("k")).await, Ok(Claim::Unknown));
}

#[tokio::test(start_paused = true)]
async fn keyed_call_of_a_gone_claimant_is_sent_again() {
    let p = Pair::new();
    let keyed = Call {
        repeat: Repeat::Keyed,
        ..call("k")
    };
    let old = mine(&p.a, &keyed).await;
    let Ok(Claim::InProgress { op, .. }) = p.b.claim(&keyed).await else {
        panic!("the claim stands");
    };
    let Ok(Claim::Granted(new)) = p.b.mark_orphaned(&keyed, &op).await else {
        panic!("the service recognises the key");
    };
    let superseded = p.a.store_answer(old, &answer("x")).await;
    assert_eq!(superseded, Err(SettleError::Superseded));
    p.b.store_answer(new, &answer("cut")).await.unwrap();
    assert_eq!(p.a.claim(&keyed).await, Ok(Claim::Completed(answer("cut"))));
}

#[tokio::test(start_paused = true)]
async fn resumed_claimant_still_stores_its_answer() {
    let p = Pair::new();
    let token = mine(&p.a, &call("k")).await;
    let Ok(Claim::InProgress { op, .. }) = p.b.claim(&call("k")).await else {
        panic!("the claim stands");
    };
    p.b.mark_orphaned(&call("k"), &op).await.unwrap();
    p.a.store_answer(token, &answer("cut")).await.unwrap();
    assert_eq!(
        p.b.claim(&call("k")).await,
        Ok(Claim::Completed(answer("cut")))
    );
}

#[tokio::test(start_paused = true)]
async fn key_of_another_request_is_refused() {
    let p = Pair::new();
    mine(&p.a, &call("k")).await;
    let other = Call {
        fingerprint: fingerprint("POST", "/orders", b"plain"),
        ..call("k")
    };
    let refusal = p.b.claim(&other).await.unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::KeyReused)
    );
}

#[tokio::test(start_paused = true)]
async fn answer_waits_for_the_table() {
    let p = Pair::new();
    let token = mine(&p.a, &call("k")).await;
    p.script.table.switch.set(Fault::Down);
    assert_eq!(
        p.a.store_answer(token, &answer("cut")).await,
        Err(SettleError::Deferred)
    );
    p.script.table.switch.set(Fault::None);
    assert_eq!(
        p.a.claim(&call("k")).await,
        Ok(Claim::Completed(answer("cut")))
    );
    p.a.flush_pending().await;
    assert_eq!(
        p.b.claim(&call("k")).await,
        Ok(Claim::Completed(answer("cut")))
    );
}

#[tokio::test(start_paused = true)]
async fn large_answer_goes_to_the_object_store() {
    let p = Pair::new();
    let large = answer(&"x".repeat(1000));
    let token = mine(&p.a, &call("k")).await;
    p.a.store_answer(token, &large).await.unwrap();
    assert!(p.table.rows()[0].value.len() < 500);
    assert_eq!(p.b.claim(&call("k")).await, Ok(Claim::Completed(large)));
    p.objects.switch.set(Fault::Down);
    let refusal = p.b.claim(&call("k")).await.unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::Ran, Cause::OutcomeUnknown)
    );
}

#[tokio::test(start_paused = true)]
async fn answer_that_cannot_be_kept_has_run() {
    let p = Pair::new();
    let token = mine(&p.a, &call("k")).await;
    p.objects.switch.set(Fault::Down);
    p.a.store_answer(token, &answer(&"x".repeat(1000)))
        .await
        .unwrap();
    assert_eq!(p.b.claim(&call("k")).await, Ok(Claim::Ran));
}

#[tokio::test(start_paused = true)]
async fn malformed_row_fails_alone() {
    let p = Pair::new();
    mine(&p.b, &call("bad")).await;
    let txn = brassrack::table::Txn {
        checks: Vec::new(),
        writes: vec![brassrack::table::Write {
            key: "request/t/bad".into(),
            value: Some("?".into()),
        }],
    };
    brassrack::table::Table::commit(&p.table, txn)
        .await
        .unwrap();
    let (bad, good) = (call("bad"), call("good"));
    let (bad, good) = tokio::join!(p.a.claim(&bad), p.a.claim(&good));
    bad.unwrap_err();
    assert!(matches!(good, Ok(Claim::Granted(_))));
}

/// Transactions and reads for calls that are claimed at once and stored at once.
async fn writes_for(calls: usize) -> (u64, u64) {
    let p = Pair::new();
    p.script.table.switch.set(Fault::Slow(3));
    let keys: Vec<Call> = (0..calls).map(|i| call(&format!("k{i}"))).collect();
    let tokens = join_all(keys.iter().map(|k| mine(&p.a, k))).await;
    let done = answer("cut");
    join_all(tokens.into_iter().map(|t| p.a.store_answer(t, &done))).await;
    let usage = p.table.usage();
    (usage.commits, usage.reads)
}

#[tokio::test(start_paused = true)]
async fn calls_at_once_share_writes() {
    // Several hundred writes a second serve everything; a lone call may take two of them.
    for (calls, bound) in [(1, 2), (10, 4), (100, 8)] {
        let (commits, reads) = writes_for(calls).await;
        println!("{calls} calls at once: {commits} transactions, {reads} reads");
        assert!(
            commits <= bound,
            "{calls} calls took {commits} transactions"
        );
    }
}

/// Transactions in one second of calls that arrive evenly and are stored as they end.
async fn writes_in_a_second(calls: u32, instances: u32) -> u64 {
    let p = Pair::new();
    p.script.table.switch.set(Fault::Slow(3));
    p.a.set_instance_count(instances);
    let mut tasks = Vec::new();
    for i in 0..calls {
        let ledger = Arc::clone(&p.a);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(1) / calls * i).await;
            let token = mine(&ledger, &call(&format!("k{i}"))).await;
            ledger.store_answer(token, &answer("cut")).await.unwrap();
        }));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let writes = p.table.usage().commits;
    for task in tasks {
        task.await.unwrap();
    }
    writes
}

#[tokio::test(start_paused = true)]
async fn steady_calls_keep_to_the_share() {
    for calls in [1, 10, 100, 1000] {
        let writes = writes_in_a_second(calls, 8).await;
        println!("{calls} calls a second at one of 8 instances: {writes} transactions");
        // 300 a second over 8 instances, and a burst.
        assert!(
            writes <= 300 / 8 + 9,
            "{calls} calls took {writes} transactions"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn records_expire_after_their_retention() {
    let p = Pair::new();
    let token = mine(&p.a, &call("k")).await;
    p.a.store_answer(token, &answer("cut")).await.unwrap();
    assert_eq!(
        delete_expired(&p.table, "t", Duration::from_hours(1)).await,
        Ok(0)
    );
    std::thread::sleep(Duration::from_millis(5));
    assert_eq!(delete_expired(&p.table, "t", Duration::ZERO).await, Ok(1));
    mine(&p.b, &call("k")).await;
}
