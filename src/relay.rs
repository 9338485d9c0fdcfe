//! Relays event streams from endpoints to callers.
//!
//! Only complete events are relayed, so that a broken stream can be resumed at another endpoint
//! with the next event. [`CallerStream::relay`] takes a stream for complete only after its end
//! marker.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout};

use crate::answer_room::AnswerPermit;
use crate::http::Body;
use crate::outbound::{AnswerBody, is_garbled};

/// Header that asks an engine to resume a stream after this number of events.
pub const RESUME_HEADER: &str = "brassrack-resume";
/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Maximum number of frames that are buffered for a slow caller.
const MAX_QUEUED_FRAMES: usize = 32;
/// Maximum number of bytes of these, beside one larger frame.
const MAX_QUEUED_BYTES: u32 = 64 << 10;
/// Maximum time without a read by the caller while the frame buffer is full.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the longest end of an event: a line end and a blank line.
const MAX_EVENT_END_BYTES: usize = 3;
/// Size up to which an incomplete event takes no memory that answers share.
const FREE_EVENT_BYTES: usize = 4 << 10;
/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How the stream from one endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StreamEnd {
    /// The stream is complete: it ended after its end marker, or as its framing says.
    Whole,
    /// The caller closed its connection.
    CallerGone,
    /// The response body ended early.
    Cut,
    /// Bytes came that are no event or no body, on a connection still open.
    Invalid,
    /// No complete event arrived within the limit.
    Silent,
}

/// Splits bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut events = brassrack::relay::EventSplitter::default();
    /// assert!(events.push(b"data: a\n").is_empty());
    /// assert_eq!(events.push(b"\ndata").as_ref(), b"data: a\n\n");
    /// ```
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(part);
        let unsearched = self.buffer.get(self.searched..).unwrap_or_default();
        let events = match event_ends(unsearched).last() {
            Some(end) => self.buffer.split_to(self.searched + end).freeze(),
            None => Bytes::new(),
        };
        self.searched = self.buffer.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        events
    }

    /// Number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Offsets after each blank line, which ends an event.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    bytes
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\n')
        .filter_map(|(at, _)| {
            let rest = bytes.get(at + 1..)?;
            match rest {
                [b'\n', ..] => Some(at + 2),
                [b'\r', b'\n', ..] => Some(at + 3),
                _ => None,
            }
        })
}

/// Whether complete events hold nothing but comments.
fn is_comment(events: &[u8]) -> bool {
    let mut lines = events.split(|b| *b == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Complete events that the caller has not read, with their share of the queue.
type QueuedFrame = (Bytes, OwnedSemaphorePermit);

/// The caller's side of a stream.
///
/// The response is complete only after [`CallerStream::finish`]. A stream that is dropped before, in
/// whatever way, ends the response with an error.
#[derive(Debug)]
pub struct CallerStream {
    frames: mpsc::Sender<QueuedFrame>,
    queue_room: Arc<Semaphore>,
    finished: Arc<AtomicBool>,
    sent_events: u64,
    done: bool,
}

impl CallerStream {
    /// Creates a stream and the response body that the caller reads.
    #[must_use]
    pub fn new() -> (Self, Body) {
        let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let finished = Arc::new(AtomicBool::new(false));
        let open = Some((queue, Arc::clone(&finished)));
        let stream = futures_util::stream::unfold(open, |open| async move {
            let (mut queue, finished) = open?;
            match queue.recv().await {
                Some((events, _share)) => Some((Ok(Frame::data(events)), Some((queue, finished)))),
                None if finished.load(Ordering::Acquire) => None,
                None => {
                    let broken = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                    Some((Err(broken), None))
                }
            }
        });
        let body = StreamBody::new(stream).boxed_unsync();
        let caller = Self {
            frames,
            queue_room: Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize)),
            finished,
            sent_events: 0,
            done: false,
        };
        (caller, body)
    }

    /// Number of events sent so far.
    #[must_use]
    pub const fn sent_events(&self) -> u64 {
        self.sent_events
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Ends the response as complete.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Sends complete events; false where the caller has disconnected or stalls for too long.
    pub async fn send(&mut self, events: Bytes) -> bool {
        self.sent_events += event_ends(&events).count() as u64;
        self.done |= events.windows(DONE_EVENT.len()).any(|w| w == DONE_EVENT);
        let share = u32::try_from(events.len()).unwrap_or(u32::MAX);
        let share = share.min(MAX_QUEUED_BYTES);
        let queue_room = Arc::clone(&self.queue_room);
        let sent = async {
            tokio::select! {
                share = queue_room.acquire_many_owned(share) => {
                    let share = share.ok()?;
                    self.frames.send((events, share)).await.ok()
                }
                () = self.frames.closed() => None,
            }
        };
        timeout(CALLER_STALL_TIMEOUT, sent)
            .await
            .is_ok_and(|sent| sent.is_some())
    }

    /// Relays the events of one endpoint until they end; waits at most `limit` for each event.
    ///
    /// Comments are relayed, but a stream that sends nothing else is silent. Calls `on_gap` with the
    /// time that each event took.
    pub async fn relay(
        &mut self,
        feed: &mut EventReader,
        limit: Duration,
        on_gap: &(dyn Fn(Duration) + Send + Sync),
    ) -> StreamEnd {
        let mut since = Instant::now();
        loop {
            let left = limit.saturating_sub(since.elapsed());
            let next = tokio::select! {
                next = feed.next(left) => next,
                () = self.frames.closed() => return StreamEnd::CallerGone,
            };
            match next {
                Ok(events) => {
                    let has_event = !is_comment(&events);
                    if has_event {
                        on_gap(since.elapsed());
                    }
                    let relayed = Instant::now();
                    if !self.send(events).await {
                        return StreamEnd::CallerGone;
                    }
                    // A caller that reads slowly is no silence of the endpoint.
                    since = if has_event {
                        Instant::now()
                    } else {
                        since + relayed.elapsed()
                    };
                }
                Err(StreamEnd::Cut) if self.done => return StreamEnd::Whole,
                Err(end) => return end,
            }
        }
    }
}

/// The endpoint's side of a stream.
#[derive(Debug)]
pub struct EventReader {
    body: AnswerBody,
    events: EventSplitter,
    /// Memory of the incomplete event.
    permit: Option<AnswerPermit>,
    ended_cleanly: bool,
}

impl EventReader {
    /// Creates a reader for an unread response body.
    #[must_use]
    pub fn new(mut body: AnswerBody) -> Self {
        Self {
            permit: body.take_permit(),
            body,
            events: EventSplitter::default(),
            ended_cleanly: false,
        }
    }

    /// Whether the body ended as its framing says, after a complete event.
    #[must_use]
    pub const fn ended_cleanly(&self) -> bool {
        self.ended_cleanly
    }

    /// Reads the next complete events.
    ///
    /// # Errors
    ///
    /// [`StreamEnd::Cut`] at the end of the body, [`StreamEnd::Invalid`] where an event is too
    /// large or there is no memory for it, [`StreamEnd::Silent`] where no event is complete within the limit.
    pub async fn next(&mut self, limit: Duration) -> Result<Bytes, StreamEnd> {
        timeout(limit, self.read_events())
            .await
            .unwrap_or(Err(StreamEnd::Silent))
    }

    /// Reads a frame, if there is memory for the incomplete event.
    async fn read_frame(
        &mut self,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, StreamEnd> {
        let Some(permit) = &self.permit else {
            return Ok(self.body.frame().await);
        };
        let pending = self.events.pending_bytes();
        let held = if pending > FREE_EVENT_BYTES {
            pending
        } else {
            0
        };
        if !permit.hold(held).await {
            return Err(StreamEnd::Invalid);
        }
        tokio::select! {
            frame = self.body.frame() => Ok(frame),
            () = permit.evicted() => Err(StreamEnd::Invalid),
        }
    }

    async fn read_events(&mut self) -> Result<Bytes, StreamEnd> {
        loop {
            let frame = match self.read_frame().await? {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    log::debug!(error:% = error; "cannot read a response stream to its end");
                    return Err(if is_garbled(&error) {
                        StreamEnd::Invalid
                    } else {
                        StreamEnd::Cut
                    });
                }
                None => {
                    self.ended_cleanly = self.events.pending_bytes() == 0;
                    return Err(StreamEnd::Cut);
                }
            };
            let events = self.events.push(&frame.into_data().unwrap_or_default());
            if !events.is_empty() {
                return Ok(events);
            }
            if self.events.pending_bytes() > MAX_EVENT_BYTES {
                return Err(StreamEnd::Invalid);
            }
        }
    }
}
