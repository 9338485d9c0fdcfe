//! Contract of the table service and the object store over HTTP, on the stand-in.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;

use brassrack::table::{Check, Commit, Read, Row, Txn, Write};
use brassrack_standins::client::{Ask, CallError, call, set_fault};
use brassrack_standins::fault::Fault;
use brassrack_standins::server::{Server, Standin};
use brassrack_standins::store::Store;

async fn start() -> Server {
    let listen = "127.0.0.1:0".parse().unwrap();
    let store = Standin::Store(Store::default());
    Server::bind(listen, store).await.unwrap()
}

async fn commit(to: SocketAddr, revision: u64) -> Result<Option<Commit>, CallError> {
    let txn = Txn {
        checks: vec![Check {
            key: "a".into(),
            revision,
        }],
        writes: vec![Write {
            key: "a".into(),
            value: Some("x".into()),
        }],
    };
    let body = serde_json::to_string(&txn).unwrap();
    let reply = call(to, &Ask::post("/v1/commit", body)).await?;
    Ok(serde_json::from_slice(&reply.body).ok())
}

async fn rows(to: SocketAddr) -> Vec<Row> {
    let read = serde_json::to_string(&Read::Prefix("a".into())).unwrap();
    let reply = call(to, &Ask::post("/v1/read", read)).await.unwrap();
    serde_json::from_slice(&reply.body).unwrap()
}

#[tokio::test]
async fn checks_guard_writes() {
    let server = start().await;
    let conflict = Commit::Conflict(vec!["a".into()]);
    for (revision, outcome) in [(0, Commit::Done(1)), (0, conflict), (1, Commit::Done(2))] {
        let done = commit(server.address, revision).await.unwrap();
        assert_eq!(done, Some(outcome), "{revision}");
    }
}

#[tokio::test]
async fn faults_of_a_commit() {
    // Fault, whether the write takes effect, and whether its outcome is told.
    let cases = [
        (Fault::None, true, true),
        (Fault::Down, false, false),
        (Fault::Slow(20), true, true),
        (Fault::LoseAnswer, true, false),
        (Fault::LoseNext(1), true, false),
        (Fault::CutAfter(0), true, false),
    ];
    for (fault, effect, told) in cases {
        let server = start().await;
        let to = server.address;
        set_fault(to, "path=/v1/commit", fault).await.unwrap();
        let outcome = commit(to, 0).await.ok().flatten();
        assert_eq!(outcome.is_some(), told, "{fault:?}");
        assert_eq!(!rows(to).await.is_empty(), effect, "{fault:?}");
    }
}

#[tokio::test]
async fn objects_are_kept() {
    let server = start().await;
    let get = Ask::get("/v1/objects/rules/1");
    assert_eq!(call(server.address, &get).await.unwrap().status, 404);
    let put = Ask::put("/v1/objects/rules/1", "text");
    assert_eq!(call(server.address, &put).await.unwrap().status, 200);
    assert_eq!(call(server.address, &get).await.unwrap().text(), "text");
}
