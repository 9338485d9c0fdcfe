//! Connections of callers that carry no request, one of which gives way where there are too many.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http::Body;

/// Idle connections, by their numbers.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use std::sync::Arc;
/// use brassrack::gateway::idle_connections::IdleConnections;
///
/// let idle = Arc::new(IdleConnections::default());
/// let connection = idle.add();
/// assert!(idle.close_one());
/// assert!(!connection.begin_request());
/// # }
/// ```
#[derive(Debug, Default)]
pub struct IdleConnections {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    idle: BTreeMap<u64, Idle>,
}

#[derive(Debug)]
struct Idle {
    since: Instant,
    /// Whether it has carried a request.
    is_used: bool,
    close: Arc<Close>,
}

/// Tells a connection that it has to close.
#[derive(Debug, Default)]
struct Close {
    is_due: AtomicBool,
    notify: Notify,
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    connections: Arc<IdleConnections>,
    id: u64,
    close: Arc<Close>,
}

impl IdleConnections {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection on which nothing has come yet.
    pub fn add(self: &Arc<Self>) -> CallerConnection {
        let close = Arc::new(Close::default());
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let idle = Idle {
            since: Instant::now(),
            is_used: false,
            close: Arc::clone(&close),
        };
        state.idle.insert(id, idle);
        drop(state);
        CallerConnection {
            connections: Arc::clone(self),
            id,
            close,
        }
    }

    /// Closes the connection that has been idle for longest, first among those that never carried a
    /// request; false if all carry one.
    pub fn close_one(&self) -> bool {
        let mut state = self.state();
        let oldest = state.idle.iter().min_by_key(|(_, i)| (i.is_used, i.since));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        if let Some(idle) = state.idle.remove(&id) {
            idle.close.is_due.store(true, Ordering::Relaxed);
            idle.close.notify.notify_one();
        }
        true
    }
}

impl CallerConnection {
    /// Records that a request was read; false if the connection is being closed, so that it must not
    /// be passed on.
    #[must_use]
    pub fn begin_request(&self) -> bool {
        self.connections.state().idle.remove(&self.id);
        !self.close.is_due.load(Ordering::Relaxed)
    }

    /// The body of the request's answer; once it is written or given up, the connection is idle.
    #[must_use]
    pub fn track_answer(self: &Arc<Self>, body: Body) -> Body {
        let tracked = TrackedBody {
            body,
            connection: Arc::clone(self),
        };
        tracked.boxed_unsync()
    }

    fn end_request(&self) {
        let idle = Idle {
            since: Instant::now(),
            is_used: true,
            close: Arc::clone(&self.close),
        };
        self.connections.state().idle.insert(self.id, idle);
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notify.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.connections.state().idle.remove(&self.id);
    }
}

/// Body of an answer on a connection, which is idle after it.
struct TrackedBody {
    body: Body,
    connection: Arc<CallerConnection>,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}
