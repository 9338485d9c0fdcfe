//! Contract of the protocol between instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use brassrack::engine::Residency;
use brassrack::ownership::owner;
use brassrack::peers::message::{
    Body, Frame, Hello, MemberUpdate, ModelReply, ModelRequest, PROTOCOL_VERSION, RulesText,
};
use brassrack::peers::{
    FleetDelta, Frames, MAX_FRAME_BYTES, MeshSettings, PeerError, Request, ResidentLoad, frames,
};
use brassrack_standins::meshes::{MemoryList, Node, until};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WAIT: Duration = Duration::from_secs(4);

async fn rack(count: usize, list: &MemoryList) -> Vec<Node> {
    let nodes = Node::start_all(count, list, MeshSettings::default()).await;
    let nodes = nodes.unwrap_or_default();
    let all = || nodes.iter().all(|n| n.sees().split(' ').count() == count);
    assert!(nodes.len() == count && until(WAIT, all).await);
    nodes
}

fn wake(id: &str) -> ModelRequest {
    ModelRequest {
        id: id.into(),
        model: "drafts".into(),
        deadline_ms: 4000,
    }
}

fn ready(server: &str) -> ModelReply {
    ModelReply {
        servers: vec![server.into()],
        ..ModelReply::default()
    }
}

/// Answers the demands of peers; those with the id `quiet` stay unanswered.
fn serve(node: Node, text: &'static str) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let mut node = node;
        let mut held = Vec::new();
        while let Some(inbound) = node.inbound.recv().await {
            match inbound.request {
                Request::Model(wake, reply) if wake.id == "quiet" => held.push(reply),
                Request::Model(wake, reply) => drop(reply.send(ready(&wake.id))),
                Request::Rules(fetch, reply) => drop(reply.send(RulesText {
                    version: fetch.version,
                    digest: blake3::hash(b"rule").to_hex().to_string(),
                    text: text.into(),
                })),
            }
        }
    })
}

fn hello(name: &str, protocol: u32, address: SocketAddr) -> Bytes {
    let member = MemberUpdate {
        name: name.into(),
        address: address.to_string(),
        incarnation: 1,
        ..MemberUpdate::default()
    };
    let hello = Hello {
        protocol,
        member: Some(member),
        digest: 0,
    };
    Bytes::from(Frame::from(Body::Hello(hello)).encode_to_vec())
}

/// A peer that is listed, greets, and leaves the rest to the test.
async fn raw_peer(list: &MemoryList) -> std::io::Result<Frames> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    list.add("zz-raw", address);
    let (stream, _) = listener.accept().await?;
    let mut stream = frames(stream);
    stream
        .send(hello("zz-raw", PROTOCOL_VERSION, address))
        .await?;
    Ok(stream)
}

#[tokio::test(flavor = "multi_thread")]
async fn demand_is_answered_by_the_peer() {
    let list = MemoryList::default();
    let mut nodes = rack(2, &list).await;
    let peer = serve(nodes.remove(1), "rule");
    let reply = nodes[0]
        .handle
        .request_model("entry-1", wake("w1"), WAIT)
        .await;
    assert_eq!(reply, Ok(ready("w1")));
    peer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_demands_say_whether_they_arrived() {
    let list = MemoryList::default();
    let mut nodes = rack(2, &list).await;
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap();
    list.add("entry-9", dead.local_addr().unwrap());
    drop(dead);
    let peer = serve(nodes.remove(1), "rule");
    let known = || nodes[0].sees().contains("entry-9");
    assert!(until(WAIT, known).await);
    let cases = [
        ("entry-0", "w", PeerError::Unknown),
        ("nobody", "w", PeerError::Unknown),
        ("entry-9", "w", PeerError::Unreachable),
        ("entry-1", "quiet", PeerError::NoAnswer),
    ];
    for (to, id, error) in cases {
        let limit = Duration::from_millis(700);
        let reply = nodes[0].handle.request_model(to, wake(id), limit).await;
        assert_eq!(reply, Err(error), "{to}");
    }
    peer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn demand_on_a_silent_link_is_sent_again() {
    let list = MemoryList::default();
    let mut nodes = rack(2, &list).await;
    let peer_node = nodes.remove(1);
    peer_node.relay.silence();
    nodes[0].relay.silence();
    let peer = serve(peer_node, "rule");
    let reply = nodes[0]
        .handle
        .request_model("entry-1", wake("w2"), WAIT)
        .await;
    assert_eq!(reply, Ok(ready("w2")));
    peer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_text_is_checked_against_its_digest() {
    for (text, whole) in [("rule", true), ("tampered", false)] {
        let list = MemoryList::default();
        let mut nodes = rack(2, &list).await;
        nodes[1].handle.announce_rules(3, "d".into()).await;
        let node = &nodes[0].handle;
        assert!(until(WAIT, || node.members().borrow()["entry-1"].rules == 3).await);
        let peer = serve(nodes.remove(1), text);
        let fetched = nodes[0].handle.fetch_rules(3, WAIT).await;
        assert_eq!(fetched.is_ok(), whole, "{text}");
        peer.abort();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_connections_are_closed_and_disturb_nobody() {
    let list = MemoryList::default();
    let mut nodes = rack(2, &list).await;
    let address = nodes[0].relay.address;
    let greeting = hello("entry-7", PROTOCOL_VERSION + 1, address);
    let mut other_protocol = u32::try_from(greeting.len())
        .unwrap()
        .to_be_bytes()
        .to_vec();
    other_protocol.extend(&greeting);
    let too_large = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes();
    let cases: [(&str, &[u8]); 4] = [
        ("http", b"GET / HTTP/1.1\r\n\r\n"),
        ("garbage", b"\0\0\0\x04\xff\xff\xff\xff"),
        ("too large", &too_large),
        ("other protocol", &other_protocol),
    ];
    for (name, bytes) in cases {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut rest = Vec::new();
        let end = tokio::time::timeout(WAIT, stream.read_to_end(&mut rest)).await;
        assert!(end.is_ok() && rest.is_empty(), "{name}");
    }
    let peer = serve(nodes.remove(1), "rule");
    let reply = nodes[0]
        .handle
        .request_model("entry-1", wake("w3"), WAIT)
        .await;
    assert_eq!(reply, Ok(ready("w3")));
    assert_eq!(nodes[0].sees(), "entry-0 entry-1");
    peer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_without_a_greeting_is_closed() {
    let list = MemoryList::default();
    let nodes = rack(1, &list).await;
    let mut stream = TcpStream::connect(nodes[0].relay.address).await.unwrap();
    let mut rest = Vec::new();
    let end = tokio::time::timeout(WAIT, stream.read_to_end(&mut rest)).await;
    assert_eq!(end.map(Result::ok), Ok(Some(0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_reply_answers_nobody() {
    let list = MemoryList::default();
    let nodes = rack(1, &list).await;
    let mut raw = raw_peer(&list).await.unwrap();
    assert!(until(WAIT, || nodes[0].sees() == "entry-0 zz-raw").await);
    let asked = nodes[0].handle.clone();
    let ask = tokio::spawn(async move { asked.request_model("zz-raw", wake("w"), WAIT).await });
    let call = loop {
        let frame = Frame::decode(raw.next().await.unwrap().unwrap()).unwrap();
        if let Some(Body::ModelRequest(_)) = frame.body {
            break frame.call;
        }
    };
    for (call, server) in [(call + 1, "crossed"), (call, "own")] {
        let body = Some(Body::ModelReply(ready(server)));
        let bytes = Frame { call, body }.encode_to_vec();
        raw.send(Bytes::from(bytes)).await.unwrap();
    }
    assert_eq!(ask.await.unwrap(), Ok(ready("own")));
}

#[tokio::test(flavor = "multi_thread")]
async fn suspicion_of_oneself_is_answered_with_a_higher_incarnation() {
    let list = MemoryList::default();
    let nodes = rack(1, &list).await;
    let mut raw = raw_peer(&list).await.unwrap();
    let suspicion = MemberUpdate {
        name: "entry-0".into(),
        address: nodes[0].relay.address.to_string(),
        incarnation: 8,
        state: 1,
        ..MemberUpdate::default()
    };
    let members = brassrack::peers::message::Members {
        members: vec![suspicion],
    };
    let bytes = Frame::from(Body::Members(members)).encode_to_vec();
    raw.send(Bytes::from(bytes)).await.unwrap();
    let own = || nodes[0].handle.members().borrow()["entry-0"].incarnation;
    assert!(until(WAIT, || own() == 9).await);
}

fn delta(model: &str, running: u32) -> FleetDelta {
    FleetDelta {
        server: "besedilnik-1".into(),
        boot: "b1".into(),
        residents: vec![ResidentLoad {
            model: model.into(),
            state: Residency::Ready,
            running,
            queued: 0,
        }],
    }
}

fn running(node: &Node, model: &str) -> Option<u32> {
    let fleet = node.handle.fleet().borrow().clone();
    let load = fleet.models.get(model)?.get("besedilnik-1")?;
    Some(load.running)
}

#[tokio::test(flavor = "multi_thread")]
async fn loads_reach_those_with_an_interest_alone() {
    let list = MemoryList::default();
    let nodes = rack(8, &list).await;
    let names: BTreeSet<String> = nodes.iter().map(|n| n.name.clone()).collect();
    let owner = owner("model/drafts", &names).unwrap();
    let others: Vec<&Node> = nodes.iter().filter(|n| n.name != *owner).collect();
    let models = BTreeSet::from(["drafts".to_string()]);
    others[1].handle.set_subscriptions(models).await;
    for load in [3, 5] {
        others[0].handle.publish(delta("drafts", load)).await;
        assert!(until(WAIT, || running(others[1], "drafts") == Some(load)).await);
    }
    assert_eq!(running(others[2], "drafts"), None);
    others[0].handle.publish(delta("menus", 0)).await;
    assert!(until(WAIT, || running(others[1], "drafts").is_none()).await);
}
