//! Bounds the bytes that a connection takes without a part of an answer.
//!
//! An endpoint can send bytes without end that never complete a head or a chunk. They are counted
//! where they are read, and the count starts again with each part of an answer.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connects::LastHeard;
use crate::answer_room::AnswerPermit;

/// Most bytes of a head, and of each read.
pub(super) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most bytes without a part of an answer: two reads may be under way when a part is delivered.
const MAX_IDLE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Number of bytes read since the last part of an answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Starts the count again.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A connection whose reads are counted.
#[derive(Debug)]
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) meter: Meter,
    pub(super) heard: LastHeard,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.0.load(Ordering::Relaxed) >= MAX_IDLE_BYTES {
            let error = "bytes without end that are no answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        self.meter.0.fetch_add(count, Ordering::Relaxed);
        if count > 0 {
            self.heard.record();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

/// Body of an answer, whose connection is given up if it brings no part of it for too many bytes.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    meter: Meter,
    permit: Option<AnswerPermit>,
}

impl AnswerBody {
    pub(super) const fn new(body: Incoming, meter: Meter, permit: AnswerPermit) -> Self {
        Self {
            body,
            meter,
            permit: Some(permit),
        }
    }

    /// Memory of what is kept of the body; none once it was taken.
    pub fn take_permit(&mut self) -> Option<AnswerPermit> {
        self.permit.take()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.meter.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether bytes came that are no answer, where the other end has not closed the connection.
pub(crate) fn is_garbled(error: &hyper::Error) -> bool {
    let mut causes = std::iter::successors(error.source(), |&cause| cause.source());
    let is_invalid = |cause: &(dyn Error + 'static)| {
        let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
        matches!(
            kind,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        )
    };
    error.is_parse() || causes.any(is_invalid)
}
