//! A connection that can go silent.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Sockets of connections that went silent; kept open, so that the other side sees no end.
pub(crate) type Graveyard = Arc<Mutex<Vec<TcpStream>>>;

/// A connection; once silent it passes no byte in either direction and never ends.
#[derive(Debug)]
pub(crate) struct Line {
    stream: Option<TcpStream>,
    silent: Arc<AtomicBool>,
    graves: Graveyard,
}

impl Line {
    pub(crate) const fn new(stream: TcpStream, silent: Arc<AtomicBool>, graves: Graveyard) -> Self {
        Self {
            stream: Some(stream),
            silent,
            graves,
        }
    }

    fn open(&mut self) -> Option<Pin<&mut TcpStream>> {
        if self.silent.load(Ordering::SeqCst) {
            return None;
        }
        self.stream.as_mut().map(Pin::new)
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.open() {
            Some(stream) => stream.poll_read(cx, buf),
            None => Poll::Pending,
        }
    }
}

impl AsyncWrite for Line {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.open() {
            Some(stream) => stream.poll_write(cx, buf),
            None => Poll::Ready(Ok(buf.len())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.open() {
            Some(stream) => stream.poll_flush(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.open() {
            Some(stream) => stream.poll_shutdown(cx),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if !self.silent.load(Ordering::SeqCst) {
            return;
        }
        let mut graves = self.graves.lock().unwrap_or_else(PoisonError::into_inner);
        graves.extend(self.stream.take());
    }
}
