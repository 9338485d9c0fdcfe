//! Connection to one peer.

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

/// Most frames that wait for a slow connection.
pub(super) const SEND_QUEUE_FRAMES: usize = 256;

/// Time limit for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of a link at one instance; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkId(pub(super) u64);

/// A frame received on a link.
#[derive(Debug)]
pub(super) struct FrameReceived {
    pub(super) link: LinkId,
    pub(super) frame: Frame,
}

/// A link whose connection has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkClosed(pub(super) LinkId);

/// State of a link; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: String,
    /// Whether this instance opened the link.
    pub(super) dialed: bool,
    pub(super) opened: Duration,
    pub(super) last_received: Duration,
    /// Time of the last received frame other than a heartbeat, or sent request or load update.
    pub(super) last_used: Duration,
    pub(super) last_heartbeat: Duration,
    pub(super) last_flush: Duration,
    pub(super) sent_sequence: u64,
    pub(super) received_sequence: u64,
    /// Time at which the peer last echoed a newer heartbeat.
    pub(super) last_echo: Duration,
    pub(super) echoed_sequence: u64,
    /// Time since which the peer's view of the members differs.
    pub(super) diverged_since: Option<Duration>,
    /// Members whose changes have not been sent to the peer.
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

    /// Queues a frame; returns `false` if the queue is full or closed.
    pub(super) fn send(&self, frame: Frame) -> bool {
        self.out.try_send(frame).is_ok()
    }

    /// Time since the older of the last received frame and the last newly echoed heartbeat.
    ///
    /// It grows as soon as either direction of the link fails.
    pub(super) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_received.min(self.last_echo))
    }
}

/// State of the task that serves a link.
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
