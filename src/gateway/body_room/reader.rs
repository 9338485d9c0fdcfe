//! Reads bodies of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::{BodyPermit, BodyRoom};
use crate::request::discard_body;
use crate::request_context::RequestLimits;
use crate::verdict::{Cause, Refusal};

/// Size of the segments by which a body grows.
const SEGMENT_BYTES: usize = 16 << 10;
/// Retry-after time where there is no memory for a body.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads a body within the limits on its size, its time and the memory of all bodies.
///
/// # Errors
///
/// [`Cause::TooLarge`] above the size limit, by the stated length alone where there is one;
/// [`Cause::SlowSender`] after the time limit, [`Cause::BadRequest`] if the body ends early, and
/// [`Cause::Overload`] where there is no memory for it.
pub async fn read_body(
    mut body: Incoming,
    room: &Arc<BodyRoom>,
    bounds: &RequestLimits,
) -> Result<(Bytes, BodyPermit), Refusal> {
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
        // A connection that closes with unread bytes is reset, and the refusal may be lost.
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
    let evict = Arc::new(Notify::new());
    let permit = room.admit(Arc::clone(&evict));
    let mut read = Segments::default();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = evict.notified() => return Err(out_of_memory()),
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
            return Err(out_of_memory());
        }
    }
    permit.complete();
    Ok((read.join(), permit))
}

/// A body that is still arriving.
///
/// It grows by segments of one size: a buffer of the stated length may take memory before anything has
/// arrived, and one that doubles leaves gaps of many sizes.
#[derive(Debug, Default)]
struct Segments {
    segments: Vec<BytesMut>,
    length: usize,
}

impl Segments {
    /// Adds a part; false if there is no memory for it.
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

    /// The whole body. Nothing is awaited, so that one body at a time takes twice its memory.
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

fn out_of_memory() -> Refusal {
    Refusal::not_run(Cause::Overload)
        .detail("no memory for the body")
        .retry_after(RETRY_DELAY)
}
