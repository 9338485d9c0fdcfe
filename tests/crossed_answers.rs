//! Endpoints answer with another request's answer, or lose it.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::set_fault;
use brassrack_standins::fault::Fault;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, chat, paid};

async fn start() -> Rack {
    Rack::start(Settings::default()).await.unwrap()
}

fn prompt(text: &str, stream: bool) -> Prompt {
    Prompt {
        model: "menu-cards".into(),
        text: text.into(),
        tokens: 8,
        stream,
    }
}

/// Loads the model, and sets the fault for the next calls of each engine.
async fn prepare(rack: &Rack, fault: Fault, count: u32) {
    let warm = chat(&prompt("warm", false), "papirnica");
    assert_eq!(rack.call(0, &warm).await.unwrap().status, 200);
    let query = format!("path=/v1/chat&count={count}");
    for engine in &rack.engines {
        set_fault(engine.address, &query, fault).await.unwrap();
    }
}

#[tokio::test]
async fn callers_get_their_own_drafts() {
    for stream in [false, true] {
        let rack = start().await;
        prepare(&rack, Fault::Cross, 2).await;
        let (one, two) = (prompt("one", stream), prompt("two", stream));
        let (first, second) = (chat(&one, "papirnica"), chat(&two, "papirnica"));
        let (first, second) = tokio::join!(rack.call(0, &first), rack.call(1, &second));
        assert_eq!(first.unwrap().text(), one.bytes());
        assert_eq!(second.unwrap().text(), two.bytes());
    }
}

#[tokio::test]
async fn draft_whose_answer_is_lost_is_answered() {
    // Faults that end before any byte of the body.
    for fault in [Fault::LoseAnswer, Fault::CutAfter(0), Fault::Down] {
        let rack = start().await;
        prepare(&rack, fault, 1).await;
        let prompt = prompt("once more", false);
        let reply = rack.call(0, &chat(&prompt, "papirnica")).await.unwrap();
        assert_eq!(reply.text(), prompt.bytes(), "{fault:?}");
    }
}

#[tokio::test]
async fn cut_stream_does_not_pass_for_whole() {
    let rack = start().await;
    prepare(&rack, Fault::CutAfter(3), 1).await;
    let prompt = prompt("cut", true);
    if let Ok(reply) = rack.call(0, &chat(&prompt, "papirnica")).await {
        let whole = reply.text() == prompt.bytes();
        let marked = reply.text().contains("data: [DONE]");
        assert!(whole || !marked, "{}", reply.text());
    }
}

#[tokio::test]
async fn crossed_order_is_told_and_not_doubled() {
    let rack = start().await;
    for service in &rack.services {
        let crossed = "path=/orders&count=1";
        set_fault(service.address, crossed, Fault::Cross)
            .await
            .unwrap();
    }
    let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
    let reply = rack.call(0, &order).await.unwrap();
    assert_ne!(reply.status, 201, "{reply:?}");
    assert_eq!(reply.header("brassrack-verdict"), "may-have-run");
    for turn in 0..3 {
        rack.call(turn, &order).await.unwrap();
    }
    assert_eq!(rack.runs("/orders", "k").await.unwrap(), 1);
}
