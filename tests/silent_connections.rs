//! Open connections go silent for good while new ones work.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::{call, set_fault};
use brassrack_standins::fault::Fault;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, chat, look, paid};
use brassrack_standins::service::look_up;
use tokio::time::{Instant, sleep, timeout};

/// Latest first token in the rules; a warm request recovers before it.
const FIRST_TOKEN: Duration = Duration::from_secs(5);
/// Longest time for a stock look-up in the rules.
const LOOK_UP: Duration = Duration::from_secs(2);
/// Time in which a stream that went silent has to end.
const STREAM_END: Duration = Duration::from_secs(30);

async fn start(gap: &str) -> Rack {
    let settings = Settings {
        gap: gap.into(),
        ..Settings::default()
    };
    Rack::start(settings).await.unwrap()
}

fn prompt(text: &str, tokens: u32, stream: bool) -> Prompt {
    Prompt {
        model: "counter-draft".into(),
        text: text.into(),
        tokens,
        stream,
    }
}

fn engines(rack: &Rack) -> Vec<SocketAddr> {
    rack.engines.iter().map(|e| e.address).collect()
}

fn services(rack: &Rack) -> Vec<SocketAddr> {
    rack.services.iter().map(|s| s.address).collect()
}

async fn silence(addresses: &[SocketAddr]) {
    for &to in addresses {
        set_fault(to, "", Fault::SilentOpen).await.unwrap();
    }
}

/// Opens connections to every endpoint, so that there are some to go silent.
async fn warm(rack: &Rack) {
    for turn in 0..12 {
        let draft = chat(&prompt("warm", 2, false), "papirnica");
        assert_eq!(rack.call(turn, &draft).await.unwrap().status, 200);
        let stock = look(ORDER_SERVICE, "/stock/cards", "papirnica");
        assert_eq!(rack.call(turn, &stock).await.unwrap().status, 200);
    }
}

#[tokio::test]
async fn draft_recovers_before_its_first_token_is_due() {
    let rack = start("0s").await;
    warm(&rack).await;
    silence(&engines(&rack)).await;
    for turn in 0..3 {
        let prompt = prompt("after the silence", 8, true);
        let start = Instant::now();
        let reply = rack.call(turn, &chat(&prompt, "papirnica")).await.unwrap();
        assert_eq!(reply.text(), prompt.bytes());
        assert!(start.elapsed() < FIRST_TOKEN, "{:?}", start.elapsed());
    }
}

#[tokio::test]
async fn look_up_recovers_within_its_time() {
    let rack = start("0s").await;
    warm(&rack).await;
    silence(&services(&rack)).await;
    for turn in 0..3 {
        let stock = look(ORDER_SERVICE, "/stock/cards", "papirnica");
        let start = Instant::now();
        let reply = rack.call(turn, &stock).await.unwrap();
        assert_eq!(reply.json(), look_up("/stock/cards", "stock"));
        assert!(start.elapsed() < LOOK_UP, "{:?}", start.elapsed());
    }
}

#[tokio::test]
async fn order_is_neither_lost_nor_doubled() {
    let rack = start("0s").await;
    warm(&rack).await;
    silence(&services(&rack)).await;
    for turn in 0..3 {
        let key = format!("k-{turn}");
        let order = paid(ORDER_SERVICE, "/orders", &key, "papirnica");
        let reply = rack.call(turn, &order).await.unwrap();
        assert_eq!(reply.status, 201, "{key} {reply:?}");
        assert_eq!(rack.runs("/orders", &key).await.unwrap(), 1, "{key}");
    }
}

#[tokio::test]
async fn order_survives_silent_connections_to_the_table() {
    let rack = start("0s").await;
    warm(&rack).await;
    silence(&[rack.table.address]).await;
    for turn in 0..3 {
        let key = format!("k-{turn}");
        let order = paid(ORDER_SERVICE, "/orders", &key, "papirnica");
        let mut reply = rack.call(turn, &order).await.unwrap();
        if reply.header("brassrack-verdict") == "not-run" {
            assert_eq!(rack.runs("/orders", &key).await.unwrap(), 0, "{key}");
            let after = reply.header("retry-after").parse().unwrap();
            sleep(Duration::from_secs(after)).await;
            reply = rack.call(turn, &order).await.unwrap();
        }
        assert_eq!(reply.status, 201, "{key} {reply:?}");
        assert_eq!(rack.runs("/orders", &key).await.unwrap(), 1, "{key}");
    }
}

#[tokio::test]
async fn order_whose_answer_went_silent_is_told_and_not_doubled() {
    let rack = start("0s").await;
    for &to in &services(&rack) {
        set_fault(to, "path=/orders", Fault::Slow(500))
            .await
            .unwrap();
    }
    let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
    let (to, ask) = (rack.daemons[0].callers, order.clone());
    let caller = tokio::spawn(async move { call(to, &ask).await });
    rack.wait_run("/orders", "k").await.unwrap();
    silence(&services(&rack)).await;
    let reply = caller.await.unwrap().unwrap();
    assert_eq!(
        reply.header("brassrack-verdict"),
        "may-have-run",
        "{reply:?}"
    );
    for turn in 0..3 {
        let again = rack.call(turn, &order).await.unwrap();
        assert_ne!(again.header("brassrack-verdict"), "not-run", "{again:?}");
    }
    assert_eq!(rack.runs("/orders", "k").await.unwrap(), 1);
}

#[tokio::test]
async fn stream_that_goes_silent_ends_in_bounded_time() {
    let rack = start("50ms").await;
    let prompt = prompt("a long wording", 40, true);
    let ask = chat(&prompt, "papirnica");
    let caller = rack.call(0, &ask);
    let fault = async {
        sleep(Duration::from_secs(1)).await;
        silence(&engines(&rack)).await;
    };
    let (reply, ()) = tokio::join!(timeout(STREAM_END, caller), fault);
    // A whole answer, or an end that shows that it is not whole.
    match reply.unwrap() {
        Ok(reply) if reply.text().ends_with("data: [DONE]\n\n") => {
            assert_eq!(reply.text(), prompt.bytes());
        }
        Ok(reply) => assert!(reply.text().contains("verdict"), "{}", reply.text()),
        Err(_) => {}
    }
}
