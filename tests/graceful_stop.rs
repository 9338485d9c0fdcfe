//! A planned stop cuts no request.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::{Ask, call};
use brassrack_standins::engine::End;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, chat, paid};
use futures_util::future::join_all;
use tokio::time::sleep;

/// Longest time that a stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// Time after which a leaving endpoint gets no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

async fn start() -> Rack {
    let settings = Settings {
        gap: "50ms".into(),
        ..Settings::default()
    };
    Rack::start(settings).await.unwrap()
}

fn prompt(turn: usize, stream: bool) -> Prompt {
    Prompt {
        model: "counter-draft".into(),
        text: format!("wording {turn}"),
        tokens: 30,
        stream,
    }
}

async fn assert_nothing_cut(rack: &Rack) {
    for ledger in rack.engine_ledgers().await.unwrap() {
        let cut: Vec<_> = ledger.runs.iter().filter(|r| r.end != End::Whole).collect();
        assert!(cut.is_empty(), "{cut:?}");
    }
}

#[tokio::test]
async fn running_streams_end_before_the_exit() {
    let mut rack = start().await;
    let to = rack.daemons[0].callers;
    let warm = chat(&prompt(0, false), "papirnica");
    assert_eq!(call(to, &warm).await.unwrap().status, 200);
    let calls: Vec<_> = (0..16)
        .map(|turn| prompt(turn, turn % 4 != 0))
        .map(|p| tokio::spawn(async move { (call(to, &chat(&p, "papirnica")).await, p) }))
        .collect();
    sleep(Duration::from_millis(500)).await;
    let stopped = &mut rack.daemons[0].process;
    stopped.terminate().unwrap();
    let status = stopped.wait(STOP_LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0));
    for call in join_all(calls).await {
        let (reply, prompt) = call.unwrap();
        assert_eq!(reply.unwrap().text(), prompt.bytes());
    }
    assert_nothing_cut(&rack).await;
}

#[tokio::test]
async fn readiness_falls_while_calls_still_run() {
    let mut rack = start().await;
    let to = rack.daemons[0].callers;
    let running = prompt(0, true);
    let ask = chat(&running, "papirnica");
    let caller = tokio::spawn(async move { call(to, &ask).await });
    while rack
        .engine_ledgers()
        .await
        .unwrap()
        .iter()
        .all(|l| l.runs.is_empty())
    {
        sleep(Duration::from_millis(5)).await;
    }
    rack.daemons[0].process.terminate().unwrap();
    sleep(Duration::from_millis(300)).await;
    // Refused connections count as not ready, too.
    let ready = call(to, &Ask::get("/readyz")).await;
    assert!(!matches!(ready, Ok(reply) if reply.status == 200));
    assert_eq!(caller.await.unwrap().unwrap().text(), running.bytes());
    let status = rack.daemons[0].process.wait(STOP_LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn rolling_replacement_cuts_no_request() {
    let mut rack = start().await;
    for index in 0..rack.daemons.len() {
        let running: Vec<_> = (0..8)
            .map(|turn| {
                let to = rack.daemons[(index + turn % 2) % rack.daemons.len()].callers;
                let prompt = prompt(turn, true);
                tokio::spawn(async move { (call(to, &chat(&prompt, "papirnica")).await, prompt) })
            })
            .collect();
        sleep(Duration::from_millis(300)).await;
        rack.daemons[index].process.terminate().unwrap();
        let status = rack.daemons[index].process.wait(STOP_LIMIT).await.unwrap();
        assert_eq!(status.code(), Some(0));
        for call in join_all(running).await {
            let (reply, prompt) = call.unwrap();
            assert_eq!(reply.unwrap().text(), prompt.bytes());
        }
        rack.restart(index).await.unwrap();
        rack.wait_ready().await.unwrap();
    }
    assert_nothing_cut(&rack).await;
}

#[tokio::test]
async fn order_in_progress_ends_before_the_exit() {
    let mut rack = start().await;
    for service in &rack.services {
        let slow = brassrack_standins::fault::Fault::Slow(1000);
        brassrack_standins::client::set_fault(service.address, "path=/orders", slow)
            .await
            .unwrap();
    }
    let to = rack.daemons[0].callers;
    let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
    let caller = tokio::spawn(async move { call(to, &order).await });
    rack.wait_run("/orders", "k").await.unwrap();
    rack.daemons[0].process.terminate().unwrap();
    assert_eq!(caller.await.unwrap().unwrap().status, 201);
    let status = rack.daemons[0].process.wait(STOP_LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn leaving_endpoint_gets_no_new_work() {
    let rack = start().await;
    let ask = chat(&prompt(0, false), "papirnica");
    assert_eq!(rack.call(0, &ask).await.unwrap().status, 200);
    let ledgers = rack.engine_ledgers().await.unwrap();
    let used = ledgers.iter().position(|l| !l.runs.is_empty()).unwrap();
    rack.leave(&rack.engines[used]).await.unwrap();
    sleep(LEAVE_TIME).await;
    let before = rack.engine_ledgers().await.unwrap()[used].runs.len();
    for turn in 0..6 {
        let reply = rack.call(turn, &ask).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let after = rack.engine_ledgers().await.unwrap()[used].runs.len();
    assert_eq!(before, after);
}
