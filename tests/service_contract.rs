//! Contract of the plain service, on the stand-in and under its faults.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack_standins::client::{self, Ask, call, set_fault};
use brassrack_standins::fault::Fault;
use brassrack_standins::server::{Server, Standin};
use brassrack_standins::service::{Ledger, Service, look_up};

async fn start(keyed: bool) -> Server {
    let listen = "127.0.0.1:0".parse().unwrap();
    let service = Standin::Service(Service::new(keyed));
    Server::bind(listen, service).await.unwrap()
}

async fn ledger(to: SocketAddr) -> Ledger {
    serde_json::from_value(client::ledger(to).await.unwrap()).unwrap()
}

fn order(key: &str) -> Ask {
    Ask::post("/orders", r#"{"cards":40}"#)
        .header("idempotency-key", key)
        .header("x-request-id", "r-1")
}

#[tokio::test]
async fn order_runs_again_unless_its_key_is_recognised() {
    // Whether keys are recognised, and how often two orders with one key run.
    for (keyed, runs) in [(false, 2), (true, 1)] {
        let server = start(keyed).await;
        let first = call(server.address, &order("k")).await.unwrap();
        let second = call(server.address, &order("k")).await.unwrap();
        assert_eq!(first.body == second.body, keyed);
        assert_eq!(ledger(server.address).await.runs("/orders", "k"), runs);
        assert_eq!(second.header("x-request-id"), "r-1");
    }
}

#[tokio::test]
async fn look_ups_answer_the_same_again() {
    let server = start(false).await;
    for (path, kind) in [("/stock/cards", "stock"), ("/status/seat-7", "status")] {
        for _ in 0..2 {
            let reply = call(server.address, &Ask::get(path)).await.unwrap();
            assert_eq!(reply.json(), look_up(path, kind));
        }
    }
}

#[tokio::test]
async fn unknown_path_does_not_run() {
    let server = start(false).await;
    let reply = call(server.address, &Ask::get("/nowhere")).await.unwrap();
    assert_eq!(reply.status, 404);
    assert_eq!(reply.header("brassrack-verdict"), "not-run");
}

#[tokio::test]
async fn faults_of_an_order() {
    // Fault, how often the order runs, and whether the caller has an answer with the result.
    let cases = [
        (Fault::None, 1, true),
        (Fault::Down, 0, false),
        (Fault::Slow(20), 1, true),
        (Fault::LoseAnswer, 1, false),
        (Fault::Silent, 0, false),
        (Fault::Mute, 1, false),
        (Fault::CutAfter(0), 1, false),
        (Fault::Late(800), 0, false),
    ];
    for (fault, runs, answered) in cases {
        let server = start(false).await;
        set_fault(server.address, "path=/orders", fault)
            .await
            .unwrap();
        let limit = Duration::from_millis(400);
        let reply = tokio::time::timeout(limit, call(server.address, &order("k"))).await;
        let done = matches!(reply, Ok(Ok(reply)) if reply.status == 201);
        assert_eq!(done, answered, "{fault:?}");
        let ran = ledger(server.address).await.runs("/orders", "k");
        assert_eq!(ran, runs, "{fault:?}");
    }
}
