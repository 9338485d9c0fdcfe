//! Passes an event stream on to its caller and resumes it where it breaks.
//!
//! Only whole events are passed on, so that a stream that breaks can go on at another endpoint
//! with the next event. A stream is whole only after its end marker.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::http::Body;

/// Header that asks an engine to go on after this many events.
pub const RESUME: &str = "brassrack-resume";
/// Last event of a whole stream.
const END: &[u8] = b"data: [DONE]";
/// Parts of a stream that wait for a slow caller.
const QUEUED_PARTS: usize = 32;
/// Longest time for which a caller may read nothing while its stream waits.
const CALLER_STALL: Duration = Duration::from_secs(30);
/// Largest single event, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// How one endpoint's part of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The end marker was passed on.
    Whole,
    /// The caller closed its connection.
    CallerGone,
    /// The endpoint's connection ended early.
    Cut,
    /// Nothing came for longer than the limit.
    Silent,
}

/// Splits bytes into whole events.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
}

impl Events {
    /// Adds bytes and takes all events that are whole now.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut events = brassrack::relay::Events::default();
    /// assert!(events.push(b"data: a\n").is_empty());
    /// assert_eq!(events.push(b"\ndata").as_ref(), b"data: a\n\n");
    /// ```
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.rest.extend_from_slice(part);
        match ends(&self.rest).last() {
            Some(end) => self.rest.split_to(end).freeze(),
            None => Bytes::new(),
        }
    }

    /// Bytes of an event that is not whole yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.rest.len()
    }
}

/// Offsets right behind each blank line, which ends an event.
fn ends(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
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

/// The caller's side of a stream.
#[derive(Debug)]
pub struct Outlet {
    parts: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    passed: u64,
    whole: bool,
}

impl Outlet {
    /// An outlet and the body that the caller reads.
    #[must_use]
    pub fn new() -> (Self, Body) {
        let (parts, queue) = mpsc::channel(QUEUED_PARTS);
        let stream = futures_util::stream::unfold(queue, |mut queue| async move {
            queue.recv().await.map(|part| (part, queue))
        });
        let body = StreamBody::new(stream).boxed_unsync();
        (
            Self {
                parts,
                passed: 0,
                whole: false,
            },
            body,
        )
    }

    /// Events passed on so far.
    #[must_use]
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Breaks the answer off, so that the caller does not take it for a whole one.
    pub async fn cut(self) {
        let broken = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        if self.parts.send(Err(broken)).await.is_err() {
            log::debug!("the caller of a broken stream has left");
        }
    }

    /// Passes whole events on; false where the caller is gone or reads nothing for too long.
    pub async fn pass(&mut self, events: Bytes) -> bool {
        self.passed += ends(&events).count() as u64;
        self.whole |= events.windows(END.len()).any(|w| w == END);
        let sent = self.parts.send(Ok(Frame::data(events)));
        timeout(CALLER_STALL, sent)
            .await
            .is_ok_and(|sent| sent.is_ok())
    }

    /// Passes one endpoint's events on to their end; each is awaited for at most `limit`.
    ///
    /// `on_gap` is told the time between parts.
    pub async fn pump(
        &mut self,
        feed: &mut Feed,
        limit: Duration,
        on_gap: &(dyn Fn(Duration) + Send + Sync),
    ) -> End {
        loop {
            let since = tokio::time::Instant::now();
            let next = tokio::select! {
                next = feed.next(limit) => next,
                () = self.parts.closed() => return End::CallerGone,
            };
            match next {
                Ok(events) => {
                    on_gap(since.elapsed());
                    if !self.pass(events).await {
                        return End::CallerGone;
                    }
                }
                Err(End::Cut) if self.whole => return End::Whole,
                Err(end) => return end,
            }
        }
    }
}

/// The endpoint's side of a stream.
#[derive(Debug)]
pub struct Feed {
    body: Incoming,
    events: Events,
    finished: bool,
}

impl Feed {
    /// A stream whose body is still unread.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            events: Events::default(),
            finished: false,
        }
    }

    /// Whether the body ended as its framing says, behind a whole event.
    #[must_use]
    pub const fn finished(&self) -> bool {
        self.finished
    }

    /// The next whole events.
    ///
    /// # Errors
    ///
    /// [`End::Cut`] at the end of the body, [`End::Silent`] where none comes within the limit.
    pub async fn next(&mut self, limit: Duration) -> Result<Bytes, End> {
        timeout(limit, self.read())
            .await
            .unwrap_or(Err(End::Silent))
    }

    async fn read(&mut self) -> Result<Bytes, End> {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    log::debug!(error:% = error; "a stream broke off");
                    return Err(End::Cut);
                }
                None => {
                    self.finished = self.events.pending() == 0;
                    return Err(End::Cut);
                }
            };
            let events = self.events.push(&frame.into_data().unwrap_or_default());
            if !events.is_empty() {
                return Ok(events);
            }
            if self.events.pending() > EVENT_BYTES {
                return Err(End::Cut);
            }
        }
    }
}
