//! Stand-ins as processes.

use brassrack_standins::client::{Ask, call};
use brassrack_standins::process::Process;

#[tokio::test]
async fn every_kind_gets_ready() {
    for kind in ["table", "list", "engine", "service", "weights"] {
        let process = Process::standin(kind, &[]).unwrap();
        let reply = call(process.address().unwrap(), &Ask::get("/ledger")).await;
        assert_eq!(reply.unwrap().status, 200, "{kind}");
    }
}

#[tokio::test]
async fn frozen_process_answers_after_resume() {
    let process = Process::standin("service", &[]).unwrap();
    let to = process.address().unwrap();
    process.freeze().unwrap();
    let reply = tokio::spawn(async move { call(to, &Ask::get("/stock/cards")).await });
    process.resume().unwrap();
    assert_eq!(reply.await.unwrap().unwrap().status, 200);
}

#[tokio::test]
async fn killed_process_is_gone() {
    let mut process = Process::standin("service", &[]).unwrap();
    let to = process.address().unwrap();
    process.kill().unwrap();
    call(to, &Ask::get("/ledger")).await.unwrap_err();
}
