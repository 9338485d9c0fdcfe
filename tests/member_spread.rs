//! Spread of membership and rules versions between instances, under faults.

use std::time::Duration;

use brassrack::instances::Standing;
use brassrack::peers::MeshSettings;
use brassrack_standins::meshes::{MemoryList, Node, until};
use tokio::net::TcpListener;

/// Time within which a change must be in force everywhere.
const SPREAD: Duration = Duration::from_secs(4);

/// Time within which a dead instance must be known everywhere.
const DEATH: Duration = Duration::from_secs(10);

async fn settled(count: usize, list: &MemoryList) -> Vec<Node> {
    let nodes = Node::start_all(count, list, MeshSettings::default()).await;
    let nodes = nodes.unwrap_or_default();
    assert_eq!(nodes.len(), count);
    assert!(until(SPREAD, || nodes.iter().all(|n| live(n) == count)).await);
    nodes
}

fn live(node: &Node) -> usize {
    node.handle.members().borrow().len()
}

fn knows(node: &Node, name: &str) -> bool {
    node.handle.members().borrow().contains_key(name)
}

fn version(node: &Node) -> u64 {
    node.handle.rules().borrow().version
}

async fn rules_reach_all(count: usize) {
    let list = MemoryList::default();
    let nodes = settled(count, &list).await;
    nodes[0].handle.announce_rules(7, "d7".into()).await;
    assert!(until(SPREAD, || nodes.iter().all(|n| version(n) == 7)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_reach_eight() {
    rules_reach_all(8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_reach_thirty_two() {
    rules_reach_all(32).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn own_version_is_seen_by_all() {
    let list = MemoryList::default();
    let nodes = settled(32, &list).await;
    nodes[3].handle.announce_rules(2, "d2".into()).await;
    let seen = |n: &Node| n.handle.members().borrow()["entry-3"].rules;
    assert!(until(SPREAD, || nodes.iter().all(|n| seen(n) == 2)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_never_goes_down() {
    let list = MemoryList::default();
    let mut nodes = settled(4, &list).await;
    nodes[0].handle.announce_rules(5, "d5".into()).await;
    assert!(until(SPREAD, || nodes.iter().all(|n| version(n) == 5)).await);
    nodes[1].handle.announce_rules(3, "d3".into()).await;
    drop(nodes.remove(0));
    let settings = MeshSettings::default();
    let back = Node::start("entry-0", 2, &list, settings).await.unwrap();
    nodes.push(back);
    assert!(until(SPREAD, || version(&nodes[3]) == 5).await);
    assert!(nodes.iter().all(|n| version(n) == 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_instance_is_out_everywhere() {
    let list = MemoryList::default();
    let nodes = settled(32, &list).await;
    nodes[9].handle.leave().await;
    assert!(until(SPREAD, || nodes.iter().all(|n| !knows(n, "entry-9"))).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving_is_out_everywhere() {
    let list = MemoryList::default();
    let nodes = settled(8, &list).await;
    list.edit(|entries| entries[2].standing = Standing::Leaving);
    assert!(until(SPREAD, || nodes.iter().all(|n| !knows(n, "entry-2"))).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_is_out_everywhere() {
    let list = MemoryList::default();
    let mut nodes = settled(32, &list).await;
    drop(nodes.remove(9));
    assert!(until(DEATH, || nodes.iter().all(|n| !knows(n, "entry-9"))).await);
    assert!(nodes.iter().all(|n| live(n) == 31));
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_instance_is_out_and_comes_back_as_new() {
    let list = MemoryList::default();
    let frozen = TcpListener::bind("127.0.0.1:0").await.unwrap();
    list.add("entry-9", frozen.local_addr().unwrap());
    let settings = MeshSettings::default();
    let mut nodes = Node::start_all(8, &list, settings).await.unwrap();
    assert!(until(SPREAD, || nodes.iter().all(|n| live(n) == 9)).await);
    assert!(until(DEATH, || nodes.iter().all(|n| !knows(n, "entry-9"))).await);
    drop(frozen);
    nodes.push(Node::start("entry-9", 1, &list, settings).await.unwrap());
    assert!(until(SPREAD, || nodes.iter().all(|n| live(n) == 9)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_list_does_not_bring_back_the_dead() {
    let list = MemoryList::default();
    let mut nodes = settled(4, &list).await;
    drop(nodes.remove(1));
    assert!(until(DEATH, || nodes.iter().all(|n| !knows(n, "entry-1"))).await);
    tokio::time::sleep(MeshSettings::default().list_poll * 2).await;
    assert!(nodes.iter().all(|n| !knows(n, "entry-1")));
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_list_removes_nobody() {
    let list = MemoryList::default();
    let nodes = settled(4, &list).await;
    list.edit(Vec::clear);
    tokio::time::sleep(DEATH).await;
    assert!(nodes.iter().all(|n| live(n) == 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_instance_is_known_by_its_new_address() {
    let list = MemoryList::default();
    let mut nodes = settled(8, &list).await;
    drop(nodes.remove(1));
    let settings = MeshSettings::default();
    let back = Node::start("entry-1", 2, &list, settings).await.unwrap();
    let address = back.relay.address;
    let at = |n: &Node| {
        n.handle
            .members()
            .borrow()
            .get("entry-1")
            .map(|m| m.address)
    };
    assert!(until(SPREAD, || nodes.iter().all(|n| at(n) == Some(address))).await);
    assert!(until(SPREAD, || live(&back) == 8).await);
}

/// The longest time without a live member is zero: silence of links alone kills nobody.
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_are_replaced() {
    let list = MemoryList::default();
    let nodes = settled(8, &list).await;
    nodes[2].relay.silence();
    let shrunk = until(DEATH, || nodes.iter().any(|n| live(n) < 8)).await;
    assert!(!shrunk);
    nodes[2].handle.announce_rules(4, "d4".into()).await;
    assert!(until(SPREAD, || nodes.iter().all(|n| version(n) == 4)).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_cannot_be_dialed_stays_live() {
    let list = MemoryList::default();
    let nodes = settled(8, &list).await;
    nodes[2].relay.block();
    tokio::time::sleep(DEATH).await;
    assert!(until(SPREAD, || nodes.iter().all(|n| live(n) == 8)).await);
    nodes[2].handle.announce_rules(4, "d4".into()).await;
    assert!(until(SPREAD, || nodes.iter().all(|n| version(n) == 4)).await);
}
