//! Reads bodies of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::{BodyPermit, BodyRoom};
use crate::request::discard_body;
use crate::request_context::RequestLimits;
use crate::segments::Segments;
use crate::verdict::{Cause, Refusal};

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
        if read.length() + part.len() > most {
            return Err(too_large(most));
        }
        let mut part: &[u8] = &part;
        while !part.is_empty() {
            if let Some(size) = read.missing(part.len(), stated) {
                if !permit.take(size).await {
                    return Err(out_of_memory());
                }
                read.add(size);
            }
            part = read.fill(part);
        }
    }
    permit.complete();
    Ok((read.join(), permit))
}

fn too_large(most: usize) -> Refusal {
    Refusal::not_run(Cause::TooLarge).detail(format!("the body is larger than {most} bytes"))
}

fn out_of_memory() -> Refusal {
    Refusal::not_run(Cause::Overload)
        .detail("no memory for the body")
        .retry_after(RETRY_DELAY)
}
