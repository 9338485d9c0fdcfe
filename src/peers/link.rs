//! One connection to a peer.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;
use xtra::WeakAddress;

use super::codec::{Frames, LENGTH_PREFIX_BYTES, decode, encode};
use super::mesh::Mesh;
use super::message::Frame;
use super::traffic::Traffic;

/// Frames that wait for a slow connection at most.
pub(super) const SEND_QUEUE_FRAMES: usize = 256;

/// Longest time for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of a link at one instance; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkId(pub(super) u64);

/// A frame that arrived.
#[derive(Debug)]
pub(super) struct FrameReceived {
    pub(super) link: LinkId,
    pub(super) frame: Frame,
}

/// The end of a link.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkClosed(pub(super) LinkId);

/// State of a link; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: String,
    /// Whether this instance opened it.
    pub(super) dialed: bool,
    pub(super) opened: Duration,
    pub(super) last_received: Duration,
    /// Time of the last message that is no heartbeat.
    pub(super) last_used: Duration,
    pub(super) last_heartbeat: Duration,
    pub(super) last_flush: Duration,
    pub(super) sent_sequence: u64,
    pub(super) received_sequence: u64,
    /// Time at which the peer last confirmed a newer heartbeat.
    pub(super) last_echo: Duration,
    pub(super) echoed_sequence: u64,
    /// Since when the peer's view of the members differs.
    pub(super) diverged_since: Option<Duration>,
    /// Members whose changes the peer has not been sent.
    pub(super) unsent_members: BTreeSet<String>,
    out: mpsc::Sender<Frame>,
    _task: AbortOnDropHandle<()>,
}

impl Link {
    pub(super) fn open(
        id: LinkId,
        peer: String,
        dialed: bool,
        conn: Connection,
        now: Duration,
    ) -> Self {
        let (out, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
        let task = tokio::spawn(conn.run(id, queue));
        Self {
            peer,
            dialed,
            opened: now,
            last_received: now,
            last_used: now,
            last_heartbeat: now,
            last_flush: Duration::ZERO,
            sent_sequence: 0,
            received_sequence: 0,
            last_echo: now,
            echoed_sequence: 0,
            diverged_since: None,
            unsent_members: BTreeSet::new(),
            out,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Queues a frame; answers whether there was room.
    pub(super) fn send(&self, frame: Frame) -> bool {
        self.out.try_send(frame).is_ok()
    }

    /// Time since either direction was last proved.
    pub(super) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_received.min(self.last_echo))
    }
}

/// What the task of a link works on.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) frames: Frames,
    pub(super) mesh: WeakAddress<Mesh>,
    pub(super) traffic: Traffic,
}

impl Connection {
    async fn run(mut self, id: LinkId, mut queue: mpsc::Receiver<Frame>) {
        loop {
            let open = tokio::select! {
                frame = queue.recv() => match frame {
                    Some(frame) => self.write(&frame).await,
                    None => return,
                },
                bytes = self.frames.next() => match bytes {
                    Some(Ok(bytes)) => self.read(id, bytes).await,
                    _ => false,
                },
            };
            if !open {
                break;
            }
        }
        drop(self.mesh.send(LinkClosed(id)).detach().await);
    }

    async fn write(&mut self, frame: &Frame) -> bool {
        let bytes = encode(frame);
        self.traffic.record_sent(bytes.len() + LENGTH_PREFIX_BYTES);
        matches!(
            timeout(WRITE_TIMEOUT, self.frames.send(bytes)).await,
            Ok(Ok(()))
        )
    }

    async fn read(&self, link: LinkId, bytes: bytes::BytesMut) -> bool {
        self.traffic
            .record_received(bytes.len() + LENGTH_PREFIX_BYTES);
        let Some(frame) = decode(bytes) else {
            log::warn!("peer sent a frame that cannot be decoded");
            return false;
        };
        let arrived = FrameReceived { link, frame };
        self.mesh.send(arrived).detach().await.is_ok()
    }
}
