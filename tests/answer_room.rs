//! Memory that answers share: which of them is given up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use brassrack::answer_room::{AnswerPermit, AnswerRoom};
use bytes::Bytes;
use tokio::time::{Instant, timeout};

const ROOM: usize = 1 << 20;

fn room() -> Arc<AnswerRoom> {
    Arc::new(AnswerRoom::new(ROOM))
}

fn from(endpoint: u8) -> SocketAddr {
    ([127, 0, 0, endpoint], 9).into()
}

async fn is_evicted(permit: &AnswerPermit) -> bool {
    timeout(Duration::from_millis(20), permit.evicted())
        .await
        .is_ok()
}

/// A large answer in calm is read, also where it exceeds the memory.
#[tokio::test]
async fn only_answer_may_be_large() {
    let room = room();
    let permit = room.admit(from(1));
    assert!(permit.hold(8 * ROOM).await);
    assert_eq!(room.taken(), 8 * ROOM);
    drop(permit);
    assert_eq!(room.taken(), 0);
}

/// Guards against sound answers that are given up for those of endpoints that send without end.
#[tokio::test]
async fn greedy_endpoint_makes_room() {
    let room = room();
    let endless: Vec<AnswerPermit> = (0..8).map(|_| room.admit(from(1))).collect();
    for permit in &endless {
        assert!(permit.hold(ROOM / 10).await);
    }
    let sound = room.admit(from(2));
    let taking = sound.hold(ROOM / 4);
    let giving = async {
        for permit in endless {
            if is_evicted(&permit).await {
                drop(permit);
            }
        }
    };
    assert!(tokio::join!(taking, giving).0);
}

/// The endpoint whose answers hold most gets no more, and evicts nobody else.
#[tokio::test]
async fn greedy_endpoint_evicts_nobody() {
    let room = room();
    let sound = room.admit(from(2));
    assert!(sound.hold(ROOM / 4).await);
    let endless = room.admit(from(1));
    assert!(endless.hold(ROOM / 2).await);
    assert!(!endless.hold(ROOM).await);
    assert!(!is_evicted(&sound).await);
}

/// Guards against small answers that are given up while large ones wait for slow callers.
#[tokio::test]
async fn small_answers_have_a_reserve() {
    let room = room();
    let slow: Vec<Bytes> = {
        let mut slow = Vec::new();
        loop {
            let permit = room.admit(from(1));
            if !permit.hold(ROOM / 4).await {
                break slow;
            }
            slow.push(permit.complete(Bytes::from(vec![7; ROOM / 4])));
        }
    };
    assert!(slow.len() > 2);
    assert!(room.admit(from(1)).hold(64 << 10).await);
}

/// An answer that its caller reads slowly keeps its memory until the last byte of it.
#[tokio::test]
async fn complete_answer_stays() {
    let room = room();
    let permit = room.admit(from(1));
    assert!(permit.hold(ROOM).await);
    let answer = permit.complete(Bytes::from(vec![7; ROOM]));
    let rest = answer.slice(ROOM - 1..);
    drop(answer);
    assert!(!room.admit(from(2)).hold(ROOM).await);
    assert_eq!((room.taken(), rest.len()), (ROOM, 1));
    drop(rest);
    assert_eq!(room.taken(), 0);
}

/// Guards against answers that evict each other, and wait for each other until both are given up.
#[tokio::test(start_paused = true)]
async fn evicted_answer_does_not_wait() {
    let room = room();
    let (first, second) = (room.admit(from(1)), room.admit(from(2)));
    assert!(first.hold(ROOM / 16 * 7).await);
    assert!(second.hold(ROOM / 16 * 7).await);
    let begun = Instant::now();
    let giving = async {
        let is_held = second.hold(ROOM / 2).await;
        drop(second);
        is_held
    };
    assert_eq!(tokio::join!(first.hold(ROOM / 2), giving), (true, false));
    assert_eq!(begun.elapsed(), Duration::ZERO);
    assert!(!is_evicted(&first).await);
}
