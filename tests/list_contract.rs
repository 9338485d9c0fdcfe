//! Contract of the instance list, on the stand-in.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack::instances::{Listed, Standing};
use brassrack_standins::client::{Ask, call};
use brassrack_standins::list::List;
use brassrack_standins::server::{Server, Standin};

async fn start(lag: Duration) -> Server {
    let listen = "127.0.0.1:0".parse().unwrap();
    let list = Standin::List(List::with_lag(lag));
    Server::bind(listen, list).await.unwrap()
}

fn entry(standing: Standing) -> Listed {
    Listed {
        name: "besedilnik-1".into(),
        service: "besedilnik".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "vic".into(),
        region: "osrednja".into(),
        standing,
    }
}

async fn put(to: SocketAddr, name: &str, entry: &Listed) -> u16 {
    let body = serde_json::to_string(entry).unwrap();
    let ask = Ask::put(format!("/v1/instances/{name}"), body);
    call(to, &ask).await.unwrap().status.as_u16()
}

async fn shown(to: SocketAddr) -> Vec<Listed> {
    let reply = call(to, &Ask::get("/v1/instances")).await.unwrap();
    serde_json::from_slice(&reply.body).unwrap()
}

#[tokio::test]
async fn entry_is_altered_and_removed() {
    let server = start(Duration::ZERO).await;
    let to = server.address;
    for standing in [Standing::Live, Standing::Leaving] {
        assert_eq!(put(to, "besedilnik-1", &entry(standing)).await, 200);
        assert_eq!(shown(to).await, [entry(standing)]);
    }
    let delete = Ask {
        method: "DELETE".into(),
        ..Ask::get("/v1/instances/besedilnik-1")
    };
    assert_eq!(call(to, &delete).await.unwrap().status, 200);
    assert!(shown(to).await.is_empty());
}

#[tokio::test]
async fn entry_under_another_name_is_refused() {
    let server = start(Duration::ZERO).await;
    let status = put(server.address, "other", &entry(Standing::Live)).await;
    assert_eq!(status, 400);
}

#[tokio::test]
async fn changes_show_after_the_lag() {
    let server = start(Duration::from_millis(500)).await;
    put(server.address, "besedilnik-1", &entry(Standing::Live)).await;
    assert!(shown(server.address).await.is_empty());
    while shown(server.address).await.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
