//! The whole path as separate processes: callers, daemons, engines, services and the platform.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use brassrack::rules::Rules;
use brassrack_standins::answer::Prompt;
use brassrack_standins::client::Ask;
use brassrack_standins::engine::Step;
use brassrack_standins::rack::{
    ORDER_SERVICE, RULES, Rack, SEAT_SERVICE, Settings, chat, look, paid,
};
use brassrack_standins::service::look_up;
use futures_util::future::join_all;

const MODELS: [&str; 3] = ["counter-draft", "menu-cards", "fix-help"];
/// Several, so that some have another owner than their base.
const ADAPTERS: [&str; 4] = [
    "counter-gilded",
    "counter-satin",
    "counter-linen",
    "counter-velvet",
];

async fn start() -> Rack {
    Rack::start(Settings::default()).await.unwrap()
}

fn prompt(model: &str, text: String, stream: bool) -> Prompt {
    Prompt {
        model: model.into(),
        text,
        tokens: 12,
        stream,
    }
}

/// Checks the engines' own ledgers: memory, and replicas against the rules.
async fn check_engines(rack: &Rack) {
    let rules = Rules::parse(RULES).unwrap();
    let mut loads: BTreeMap<String, u32> = BTreeMap::new();
    for ledger in rack.engine_ledgers().await.unwrap() {
        assert!(ledger.peak <= ledger.memory, "{ledger:?}");
        let taken = ledger.changes.iter().filter(|c| c.step == Step::Taken);
        for change in taken {
            *loads.entry(change.model.clone()).or_default() += 1;
        }
    }
    for (model, count) in loads {
        assert!(count <= rules.models[&model].replicas, "{model}: {count}");
    }
}

/// Asks every instance for every model, plain and streamed, and checks every byte.
async fn ask_all(rack: &Rack, models: &[&str]) {
    for turn in 0..rack.daemons.len() {
        for (model, stream) in models.iter().flat_map(|m| [(m, false), (m, true)]) {
            let prompt = prompt(model, format!("wording {turn}"), stream);
            let id = format!("r-{turn}-{model}-{stream}");
            let ask = chat(&prompt, "papirnica").header("x-request-id", &id);
            let reply = rack.call(turn, &ask).await.unwrap();
            assert_eq!(reply.text(), prompt.bytes(), "{id}");
            assert_eq!(reply.header("x-request-id"), id);
        }
    }
    check_engines(rack).await;
}

#[tokio::test]
async fn every_instance_serves_every_model() {
    ask_all(&start().await, &MODELS).await;
}

#[tokio::test]
async fn every_instance_serves_adapters() {
    ask_all(&start().await, &ADAPTERS).await;
}

#[tokio::test]
async fn every_instance_reaches_the_services() {
    let rack = start().await;
    for turn in 0..rack.daemons.len() {
        let key = format!("k-{turn}");
        let order = paid(ORDER_SERVICE, "/orders", &key, "papirnica");
        assert_eq!(rack.call(turn, &order).await.unwrap().status, 201);
        assert_eq!(rack.runs("/orders", &key).await.unwrap(), 1);
        for (service, path, kind) in [
            (ORDER_SERVICE, "/stock/cards", "stock"),
            (SEAT_SERVICE, "/status/seat-7", "status"),
        ] {
            let reply = rack
                .call(turn, &look(service, path, "delta"))
                .await
                .unwrap();
            assert_eq!(reply.json(), look_up(path, kind), "{path}");
        }
    }
}

#[tokio::test]
async fn order_repeated_at_every_instance_runs_once() {
    let rack = start().await;
    let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
    let first = rack.call(0, &order).await.unwrap();
    for turn in 1..6 {
        let again = rack.call(turn, &order).await.unwrap();
        assert_eq!(
            (again.status, again.body),
            (first.status, first.body.clone())
        );
    }
    assert_eq!(rack.runs("/orders", "k").await.unwrap(), 1);
}

#[tokio::test]
async fn orders_with_one_key_at_once_run_once() {
    let rack = start().await;
    let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
    let replies = join_all((0..9).map(|turn| rack.call(turn, &order))).await;
    assert_eq!(rack.runs("/orders", "k").await.unwrap(), 1);
    for reply in replies {
        let reply = reply.unwrap();
        assert_eq!(reply.status, 201, "{}", reply.text());
    }
}

#[tokio::test]
async fn burst_at_every_instance_loads_as_decided() {
    let rack = start().await;
    let calls = (0..24).map(|turn| {
        let prompt = prompt("menu-cards", format!("menu {turn}"), false);
        let rack = &rack;
        async move {
            let reply = rack.call(turn, &chat(&prompt, "papirnica")).await;
            assert_eq!(reply.unwrap().text(), prompt.bytes());
        }
    });
    join_all(calls).await;
    check_engines(&rack).await;
}

#[tokio::test]
async fn unknown_model_does_not_run() {
    let rack = start().await;
    let ask = chat(&prompt("nobody", "x".into(), false), "papirnica");
    let reply = rack.call(0, &ask).await.unwrap();
    assert_eq!(reply.status, 404);
    assert_eq!(reply.header("brassrack-verdict"), "not-run");
    for ledger in rack.engine_ledgers().await.unwrap() {
        assert!(ledger.runs.is_empty());
    }
}

#[tokio::test]
async fn every_instance_tells_of_itself() {
    let rack = start().await;
    for turn in 0..rack.daemons.len() {
        for path in ["/healthz", "/readyz", "/metrics", "/v1/models"] {
            let reply = rack.call(turn, &Ask::get(path)).await.unwrap();
            assert_eq!(reply.status, 200, "{path}");
        }
        let models = rack.call(turn, &Ask::get("/v1/models")).await.unwrap();
        for model in MODELS.into_iter().chain(ADAPTERS) {
            assert!(models.text().contains(model), "{model}");
        }
    }
}
