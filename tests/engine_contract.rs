//! Contract of the model engine, on the stand-in and under its faults.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack::engine::{Action, Order, Report, Residency};
use brassrack_standins::answer::Prompt;
use brassrack_standins::client::{self, Ask, Connection, Reply, call, set_fault};
use brassrack_standins::engine::{End, Engine, Ledger, Settings, Step};
use brassrack_standins::fault::Fault;
use brassrack_standins::server::{Server, Standin};

const GB: u64 = 1_000_000_000;

async fn start(settings: Settings) -> Server {
    let listen = "127.0.0.1:0".parse().unwrap();
    let engine = Standin::Engine(Engine::new(settings));
    Server::bind(listen, engine).await.unwrap()
}

fn quick() -> Settings {
    Settings {
        memory: 10 * GB,
        rate: 1000 * GB,
        ..Settings::default()
    }
}

fn order(op: &str, fence: u64, action: Action, model: &str) -> Order {
    Order {
        op: op.into(),
        fence,
        action,
        model: model.into(),
        base: None,
        bytes: 4 * GB,
    }
}

async fn send(to: SocketAddr, order: &Order) -> Reply {
    let body = serde_json::to_string(order).unwrap();
    call(to, &Ask::post("/v1/orders", body)).await.unwrap()
}

async fn report(to: SocketAddr) -> Report {
    let reply = call(to, &Ask::get("/v1/report")).await.unwrap();
    serde_json::from_slice(&reply.body).unwrap()
}

async fn ledger(to: SocketAddr) -> Ledger {
    serde_json::from_value(client::ledger(to).await.unwrap()).unwrap()
}

async fn ready(to: SocketAddr, model: &str) {
    while !report(to)
        .await
        .residents
        .iter()
        .any(|r| r.model == model && r.state == Residency::Ready)
    {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn loaded(settings: Settings) -> Server {
    let server = start(settings).await;
    send(server.address, &order("a", 1, Action::Load, "m")).await;
    ready(server.address, "m").await;
    server
}

fn prompt(text: &str, stream: bool) -> Prompt {
    Prompt {
        model: "m".into(),
        text: text.into(),
        tokens: 8,
        stream,
    }
}

fn chat(prompt: &Prompt, id: &str) -> Ask {
    Ask::post("/v1/chat/completions", prompt.request()).header("x-request-id", id)
}

#[tokio::test]
async fn orders_are_judged() {
    // Fencing checked, then the orders with the status of each.
    let load = |op, fence| order(op, fence, Action::Load, op);
    let cases = [
        (true, vec![(load("a", 5), 202), (load("b", 4), 409)]),
        (false, vec![(load("a", 5), 202), (load("b", 4), 202)]),
        (true, vec![(load("a", 5), 202), (load("a", 5), 202)]),
        (
            true,
            vec![
                (load("a", 5), 202),
                (load("b", 6), 202),
                (load("c", 7), 507),
            ],
        ),
    ];
    for (checked, orders) in cases {
        let server = start(Settings { checked, ..quick() }).await;
        for (order, status) in orders {
            let reply = send(server.address, &order).await;
            assert_eq!(reply.status, status, "{checked} {order:?}");
        }
        let ledger = ledger(server.address).await;
        assert!(ledger.peak <= ledger.memory, "{ledger:?}");
    }
}

#[tokio::test]
async fn repeated_order_loads_once() {
    let server = loaded(quick()).await;
    send(server.address, &order("a", 1, Action::Load, "m")).await;
    assert_eq!(report(server.address).await.residents.len(), 1);
}

#[tokio::test]
async fn answers_have_every_byte() {
    let server = loaded(quick()).await;
    for stream in [false, true] {
        let prompt = prompt("a wording", stream);
        let reply = call(server.address, &chat(&prompt, "r-1")).await.unwrap();
        assert_eq!(reply.text(), prompt.bytes());
        assert_eq!(reply.header("x-request-id"), "r-1");
    }
}

#[tokio::test]
async fn stream_goes_on_after_an_event() {
    let server = loaded(quick()).await;
    let prompt = prompt("a wording", true);
    let ask = chat(&prompt, "r-1").header("brassrack-resume", "5");
    let reply = call(server.address, &ask).await.unwrap();
    assert_eq!(reply.text(), prompt.events()[5..].concat());
}

#[tokio::test]
async fn model_that_is_not_ready_does_not_run() {
    let server = start(quick()).await;
    let reply = call(server.address, &chat(&prompt("x", false), "r-1"))
        .await
        .unwrap();
    assert_eq!(reply.status, 404);
    assert_eq!(reply.header("brassrack-verdict"), "not-run");
    assert!(ledger(server.address).await.runs.is_empty());
}

#[tokio::test]
async fn adapter_needs_its_base() {
    let server = start(quick()).await;
    let adapter = Order {
        base: Some("m".into()),
        bytes: 1,
        ..order("x", 1, Action::Load, "adapter")
    };
    send(server.address, &adapter).await;
    assert_eq!(report(server.address).await.failed, ["x"]);
    send(server.address, &order("a", 1, Action::Load, "m")).await;
    let again = Order {
        op: "y".into(),
        ..adapter
    };
    send(server.address, &again).await;
    ready(server.address, "adapter").await;
}

#[tokio::test]
async fn unload_waits_for_running_requests() {
    let gap = Duration::from_millis(50);
    let server = loaded(Settings { gap, ..quick() }).await;
    let to = server.address;
    let prompt = prompt("x", true);
    let mut connection = Connection::open(to).await.unwrap();
    let running = connection.start(&chat(&prompt, "r-1")).await.unwrap();
    send(to, &order("u", 2, Action::Unload, "m")).await;
    assert_eq!(report(to).await.residents[0].state, Residency::Unloading);
    assert_eq!(call(to, &chat(&prompt, "r-2")).await.unwrap().status, 404);
    let body = http_body_util::BodyExt::collect(running.into_body()).await;
    assert_eq!(body.unwrap().to_bytes(), prompt.bytes());
    while !report(to).await.residents.is_empty() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let steps: Vec<Step> = ledger(to).await.changes.iter().map(|c| c.step).collect();
    assert_eq!(steps, [Step::Taken, Step::Ready, Step::Freed]);
}

#[tokio::test]
async fn requests_run_in_one_batch() {
    let gap = Duration::from_millis(100);
    let server = loaded(Settings { gap, ..quick() }).await;
    let ask = chat(&prompt("x", false), "r-1");
    let calls = (0..8).map(|_| call(server.address, &ask));
    for reply in futures_util::future::join_all(calls).await {
        assert_eq!(reply.unwrap().status, 200);
    }
    assert_eq!(ledger(server.address).await.running, 8);
}

#[tokio::test]
async fn reports_lag() {
    let lag = Duration::from_millis(500);
    let server = start(Settings { lag, ..quick() }).await;
    send(server.address, &order("a", 1, Action::Load, "m")).await;
    assert!(report(server.address).await.residents.is_empty());
    ready(server.address, "m").await;
}

#[tokio::test]
async fn caller_that_leaves_cuts_its_run() {
    let gap = Duration::from_millis(10);
    let server = loaded(Settings { gap, ..quick() }).await;
    let mut connection = Connection::open(server.address).await.unwrap();
    let answer = connection.start(&chat(&prompt("x", true), "r-1")).await;
    drop((answer, connection));
    while ledger(server.address).await.runs[0].end == End::Running {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(ledger(server.address).await.runs[0].end, End::Cut);
}

#[tokio::test]
async fn faults_of_a_request() {
    // Fault, whether the request runs, and whether the caller has a whole answer of its own.
    let cases = [
        (Fault::None, true, true),
        (Fault::Down, false, false),
        (Fault::Slow(20), true, true),
        (Fault::LoseAnswer, true, false),
        (Fault::LoseNext(1), true, false),
        (Fault::Silent, false, false),
        (Fault::Mute, true, false),
        (Fault::CutAfter(0), true, false),
        (Fault::CutAfter(3), true, false),
        (Fault::Cross, true, false),
    ];
    for (fault, runs, whole) in cases {
        let server = loaded(quick()).await;
        let prompt = prompt("x", true);
        set_fault(server.address, "path=/v1/chat", fault)
            .await
            .unwrap();
        let ask = chat(&prompt, "r-1");
        let limit = Duration::from_secs(1);
        let reply = tokio::time::timeout(limit, call(server.address, &ask)).await;
        let own = matches!(reply, Ok(Ok(reply))
            if reply.text() == prompt.bytes() && reply.header("x-request-id") == "r-1");
        assert_eq!(own, whole, "{fault:?}");
        let ran = !ledger(server.address).await.runs.is_empty();
        assert_eq!(ran, runs, "{fault:?}");
    }
}

#[tokio::test]
async fn late_order_takes_effect_after_the_cut() {
    let server = start(quick()).await;
    let once = "path=/v1/orders&count=1";
    set_fault(server.address, once, Fault::Late(500))
        .await
        .unwrap();
    let body = serde_json::to_string(&order("a", 1, Action::Load, "m")).unwrap();
    let reply = call(server.address, &Ask::post("/v1/orders", body)).await;
    reply.unwrap_err();
    assert!(ledger(server.address).await.orders.is_empty());
    ready(server.address, "m").await;
}

#[tokio::test]
async fn crossed_answers_are_swapped() {
    let server = loaded(quick()).await;
    set_fault(server.address, "path=/v1/chat", Fault::Cross)
        .await
        .unwrap();
    let (one, two) = (prompt("one", false), prompt("two", false));
    let (ask, other) = (chat(&one, "r-1"), chat(&two, "r-2"));
    let (first, second) = tokio::join!(call(server.address, &ask), call(server.address, &other));
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!(first.text(), two.bytes());
    assert_eq!(first.header("x-request-id"), "r-2");
    assert_eq!(second.text(), one.bytes());
}

#[tokio::test]
async fn open_connection_goes_silent_while_new_ones_work() {
    let server = loaded(quick()).await;
    let ask = chat(&prompt("x", false), "r-1");
    let mut old = Connection::open(server.address).await.unwrap();
    assert_eq!(old.call(&ask).await.unwrap().status, 200);
    set_fault(server.address, "", Fault::SilentOpen)
        .await
        .unwrap();
    let limit = Duration::from_millis(100);
    let silent = tokio::time::timeout(limit, old.call(&ask)).await;
    silent.unwrap_err();
    assert_eq!(call(server.address, &ask).await.unwrap().status, 200);
}
