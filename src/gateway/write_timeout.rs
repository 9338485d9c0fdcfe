//! Writes to callers that read nothing.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A stream whose writes fail once the other end has taken nothing for a time.
#[derive(Debug)]
pub(super) struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// End of the wait of a write that is under way.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Bounds the time of each write to a stream.
    pub(super) const fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            stalled: None,
        }
    }

    fn bound<T>(&mut self, cx: &mut Context<'_>, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if done.is_ready() {
            self.stalled = None;
            return done;
        }
        let limit = self.limit;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        stalled.as_mut().poll(cx).map(|()| {
            let text = "the other end reads nothing";
            Err(io::Error::new(io::ErrorKind::TimedOut, text))
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.bound(cx, done)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.bound(cx, done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
