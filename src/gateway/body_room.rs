//! Memory for the bodies of callers' requests, which all of them share.
//!
//! A body takes room as it arrives and keeps it until its request has ended. Where there is none left,
//! the body that has been arriving for longest makes way, unless all have just begun.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

use crate::request::discard_body;
use crate::request_context::RequestLimits;
use crate::verdict::{Cause, Refusal};

/// Time in which a body arrives that is not cut for want of room.
const MIN_ARRIVAL_TIME: Duration = Duration::from_secs(1);
/// Longest wait for the room of a body that makes way.
const ROOM_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest size at which a body may take the room that is kept for small ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Share of the room that is kept for small bodies, as a divisor.
const SMALL_SHARE: usize = 8;
/// Size of the segments in which a body arrives.
const SEGMENT_BYTES: usize = 16 << 10;
/// Retry-after time where there is no room.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Room for the bodies of an instance.
#[derive(Debug)]
pub struct BodyRoom {
    bytes: usize,
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    taken: usize,
    last_id: u64,
    bodies: BTreeMap<u64, Held>,
}

/// A body, by its number in the order of arrival.
#[derive(Debug)]
struct Held {
    taken: usize,
    since: Instant,
    /// Notified when it has to make way; none once it is complete or was told.
    cut: Option<Arc<Notify>>,
}

/// Room that a body takes until this is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    room: Arc<BodyRoom>,
    id: u64,
}

impl BodyRoom {
    /// Room of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes,
            state: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// Bytes that are taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::body_room::BodyRoom;
    ///
    /// assert_eq!(BodyRoom::new(1 << 20).taken(), 0);
    /// ```
    #[must_use]
    pub fn taken(&self) -> usize {
        self.state().taken
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(self: &Arc<Self>, cut: Arc<Notify>) -> BodyPermit {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let held = Held {
            taken: 0,
            since: Instant::now(),
            cut: Some(cut),
        };
        state.bodies.insert(id, held);
        BodyPermit {
            room: Arc::clone(self),
            id,
        }
    }

    /// Tells the body that has been arriving for longest to make way; false if all have just begun.
    fn cut_oldest(&self, except: u64) -> bool {
        let mut state = self.state();
        let mut arriving = state.bodies.iter_mut().filter(|(_, b)| b.cut.is_some());
        let oldest = arriving.find(|(id, b)| **id != except && b.taken > 0);
        let Some((_, body)) = oldest.filter(|(_, b)| b.since.elapsed() >= MIN_ARRIVAL_TIME) else {
            return false;
        };
        if let Some(cut) = body.cut.take() {
            cut.notify_one();
        }
        true
    }
}

impl BodyPermit {
    fn try_take(&self, bytes: usize) -> bool {
        let mut state = self.room.state();
        let total = state.taken + bytes;
        let Some(body) = state.bodies.get_mut(&self.id) else {
            return false;
        };
        let is_small = body.taken + bytes <= SMALL_BODY_BYTES;
        let kept = if is_small {
            0
        } else {
            self.room.bytes / SMALL_SHARE
        };
        if total + kept > self.room.bytes {
            return false;
        }
        body.taken += bytes;
        state.taken = total;
        true
    }

    /// Takes room; false if there is none, also after another body has made way.
    async fn take(&self, bytes: usize) -> bool {
        let end = Instant::now() + ROOM_TIMEOUT;
        loop {
            let freed = self.room.freed.notified();
            if self.try_take(bytes) {
                return true;
            }
            let is_freeing = self.room.cut_oldest(self.id);
            if !is_freeing || timeout_at(end, freed).await.is_err() {
                return self.try_take(bytes);
            }
        }
    }

    /// Keeps the room until the request has ended.
    fn complete(&self) {
        if let Some(body) = self.room.state().bodies.get_mut(&self.id) {
            body.cut = None;
        }
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let mut state = self.room.state();
        if let Some(body) = state.bodies.remove(&self.id) {
            state.taken -= body.taken;
        }
        drop(state);
        self.room.freed.notify_waiters();
    }
}

/// Reads a body within the limits on its size and time, and within the room.
///
/// # Errors
///
/// [`Cause::TooLarge`] above the size limit, by the stated length alone where there is one;
/// [`Cause::SlowSender`] after the time limit, [`Cause::BadRequest`] if the body ends early, and
/// [`Cause::Overload`] where there is no room for it.
pub async fn read_body(
    body: Incoming,
    room: &Arc<BodyRoom>,
    bounds: &RequestLimits,
) -> Result<(Bytes, BodyPermit), Refusal> {
    let mut body = body;
    let begun = Instant::now();
    let read = read_parts(&mut body, room, bounds);
    let result = timeout(bounds.body_timeout, read)
        .await
        .unwrap_or_else(|_| {
            Err(Refusal::not_run(Cause::SlowSender).detail("the body did not arrive in time"))
        });
    if let Err(refusal) = &result
        && matches!(refusal.cause, Cause::TooLarge | Cause::Overload)
        && !body.is_end_stream()
    {
        // Otherwise the connection is reset and the refusal may be lost.
        let bounds = RequestLimits {
            body_timeout: bounds.body_timeout.saturating_sub(begun.elapsed()),
            ..bounds.clone()
        };
        discard_body(body, &bounds).await;
    }
    result
}

async fn read_parts(
    body: &mut Incoming,
    room: &Arc<BodyRoom>,
    bounds: &RequestLimits,
) -> Result<(Bytes, BodyPermit), Refusal> {
    let most = bounds.body_bytes;
    let stated = body.size_hint().exact();
    let stated = stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated.is_some_and(|length| length > most) {
        return Err(too_large(most));
    }
    let cut = Arc::new(Notify::new());
    let permit = room.admit(Arc::clone(&cut));
    // A buffer of the stated length may take memory as a whole before anything has arrived.
    let mut read = Segments::default();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = cut.notified() => return Err(no_room()),
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| {
            Refusal::not_run(Cause::BadRequest).detail(format!("the body ended early: {e}"))
        })?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if read.length + part.len() > most {
            return Err(too_large(most));
        }
        if !read.push(&part, stated, &permit).await {
            return Err(no_room());
        }
    }
    permit.complete();
    Ok((read.join(), permit))
}

/// A body as it arrives, in segments of one size that no other allocation splits.
#[derive(Debug, Default)]
struct Segments {
    segments: Vec<BytesMut>,
    length: usize,
}

impl Segments {
    /// Adds a part; false if there is no room for it.
    async fn push(&mut self, mut part: &[u8], stated: Option<usize>, permit: &BodyPermit) -> bool {
        while !part.is_empty() {
            let free = match self.segments.last() {
                Some(last) => last.capacity() - last.len(),
                None => 0,
            };
            if free == 0 {
                let left = stated.map_or(SEGMENT_BYTES, |s| s.saturating_sub(self.length));
                let size = left.clamp(part.len().min(SEGMENT_BYTES), SEGMENT_BYTES);
                if !permit.take(size).await {
                    return false;
                }
                self.segments.push(BytesMut::with_capacity(size));
                continue;
            }
            let (now, later) = part.split_at(free.min(part.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            part = later;
        }
        true
    }

    /// The whole body; there are never two bodies of an instance in two copies, as nothing is awaited.
    fn join(mut self) -> Bytes {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole.freeze()
    }
}

fn too_large(most: usize) -> Refusal {
    Refusal::not_run(Cause::TooLarge).detail(format!("the body is larger than {most} bytes"))
}

fn no_room() -> Refusal {
    Refusal::not_run(Cause::Overload)
        .detail("no memory for the body")
        .retry_after(RETRY_DELAY)
}
