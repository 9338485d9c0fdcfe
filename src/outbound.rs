//! HTTP connections to endpoints and to the platform.
//!
//! Idle connections are kept for a short time only: one that something between the two ends has
//! lost track of looks like any other, so age is the only proof that it still works.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::answer_room::AnswerRoom;

mod connects;
mod fault;
mod link;
mod meter;
mod reply;

pub use connects::{Connects, LastConnect};
pub use fault::{SendError, SendFault};
use link::named;
pub use link::{Link, is_final};
pub use meter::AnswerBody;
pub(crate) use meter::is_garbled;
use meter::{MAX_HEAD_BYTES, Meter, MeteredStream};
pub use reply::{Answer, Reply};

/// Shortest time between two keep-alive probes that the operating system takes.
const PROBE_LEAST: Duration = Duration::from_secs(1);

/// Time from which an attempt to open a connection takes long; most take a few milliseconds.
const SLOW_CONNECT: Duration = Duration::from_millis(200);
/// Longest time of a connect that only finds out whether an address can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);

/// Bounds of outgoing connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundSettings {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time that an idle connection counts as proved.
    pub idle: Duration,
    /// Most idle connections to one address.
    pub kept: usize,
    /// Longest time that sent bytes may stay unacknowledged.
    pub unacked: Duration,
    /// Header in which the other end repeats the id of a request.
    pub echo: String,
    /// Time within which a second copy of an answer may come on its connection.
    pub late_copy: Duration,
    /// Memory that all answers may hold, in bytes.
    pub memory: usize,
}

impl Default for OutboundSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            kept: 32,
            unacked: Duration::from_secs(3),
            echo: crate::http::REQUEST_ID.to_owned(),
            late_copy: Duration::ZERO,
            memory: 16 << 20,
        }
    }
}

/// Which connection a request may travel on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// One that carried an answer a short time ago, or a new one.
    Proved,
    /// The same, but for one on which a late second copy of the last answer would pass for the answer
    /// to this request: where neither request has an id, or both have the same.
    Distinct,
    /// A new one.
    Fresh,
}

/// The sending side of a connection.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<Full<Bytes>>,
    meter: Meter,
    /// Id of the last request, if it has one.
    last_id: Option<HeaderValue>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Opens, keeps and reuses connections.
#[derive(Debug, Clone, Default)]
pub struct Outbound {
    settings: OutboundSettings,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
    connects: Arc<Connects>,
    answers: Arc<AnswerRoom>,
}

impl Outbound {
    /// Connections with these bounds.
    #[must_use]
    pub fn new(settings: OutboundSettings) -> Self {
        Self {
            answers: Arc::new(AnswerRoom::new(settings.memory)),
            settings,
            idle: Arc::default(),
            connects: Arc::default(),
        }
    }

    /// Memory that the answers share.
    #[must_use]
    pub const fn answers(&self) -> &Arc<AnswerRoom> {
        &self.answers
    }

    /// Outcomes of the last connects.
    #[must_use]
    pub const fn connects(&self) -> &Arc<Connects> {
        &self.connects
    }

    /// Opens a connection and closes it, to learn whether the address can be reached.
    pub async fn probe(&self, to: SocketAddr) {
        let limit = self.settings.connect.min(PROBE_TIMEOUT);
        if let Err(error) = self.open_stream(to, limit).await {
            log::debug!(to:% = to, error:% = error; "probe failed");
        }
    }

    /// A connection for one request.
    ///
    /// # Errors
    ///
    /// [`SendFault::Connect`] where none can be opened.
    pub async fn open(&self, to: SocketAddr, freshness: Freshness) -> Result<Link, SendError> {
        self.open_unlike(to, freshness, |_| false).await
    }

    /// A connection for one request; `is_alike` is whether another request's id is like that one's.
    async fn open_unlike(
        &self,
        to: SocketAddr,
        freshness: Freshness,
        is_alike: impl Fn(Option<&HeaderValue>) -> bool,
    ) -> Result<Link, SendError> {
        let pooled = match freshness {
            Freshness::Proved => self.take(to, |_| false),
            Freshness::Distinct => self.take(to, is_alike),
            Freshness::Fresh => None,
        };
        let reused = pooled.is_some();
        let sender = match pooled {
            Some(sender) => sender,
            None => self.connect(to).await?,
        };
        Ok(Link {
            sender,
            to,
            reused,
            echo: self.settings.echo.clone(),
            answers: Arc::clone(&self.answers),
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError`], whose verdict tells whether the request may have run.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        freshness: Freshness,
        head: Duration,
    ) -> Result<Reply, SendError> {
        let id = named(request.headers(), &self.settings.echo);
        let link = self.open_unlike(to, freshness, |last| last == id.as_ref());
        link.await?.send(request, head).await
    }

    /// Sends a request and reads the whole answer of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// [`SendError`], whose verdict tells whether the request may have run.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        freshness: Freshness,
        limit: Duration,
        most: usize,
    ) -> Result<Answer, SendError> {
        self.call_while(to, request, freshness, limit, most, || true)
            .await
    }

    /// The same where the request is sent only if `is_valid` holds once there is a connection.
    ///
    /// # Errors
    ///
    /// [`SendFault::NotSent`] where it does not hold; others as [`Self::call`] has them.
    pub async fn call_while(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        freshness: Freshness,
        limit: Duration,
        most: usize,
        is_valid: impl Fn() -> bool + Send,
    ) -> Result<Answer, SendError> {
        let end = Instant::now() + limit;
        let id = named(request.headers(), &self.settings.echo);
        let link = self
            .open_unlike(to, freshness, |last| last == id.as_ref())
            .await?;
        if !is_valid() {
            let sender = link.sender;
            self.put(to, sender);
            return Err(SendError::new(SendFault::NotSent, to, &"no longer valid"));
        }
        let reply = link.send(request, limit).await?;
        let read = reply.read(self, most);
        tokio::time::timeout_at(end, read)
            .await
            .map_err(|late| SendError::new(SendFault::Unended, to, &late))?
    }

    /// The same, where an answer that has begun may take up to `body` longer as long as it comes in.
    ///
    /// # Errors
    ///
    /// [`SendError`]; [`SendFault::Unended`] also where nothing came for a quarter of `body`.
    pub async fn call_with_body(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        freshness: Freshness,
        limit: Duration,
        body: Duration,
        most: usize,
    ) -> Result<Answer, SendError> {
        let end = Instant::now() + limit + body;
        let reply = self.send(to, request, freshness, limit).await?;
        let read = reply.read_while(self, most, body / 4);
        tokio::time::timeout_at(end, read)
            .await
            .map_err(|late| SendError::new(SendFault::Unended, to, &late))?
    }

    /// Puts a connection back whose answer was read to its end.
    pub fn put(&self, to: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        list.retain(|i| !i.sender.requests.is_closed() && i.since.elapsed() < self.settings.idle);
        if list.len() < self.settings.kept {
            list.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    fn take(
        &self,
        to: SocketAddr,
        is_alike: impl Fn(Option<&HeaderValue>) -> bool,
    ) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        list.retain(|i| i.sender.requests.is_ready() && i.since.elapsed() < self.settings.idle);
        let is_clear = |i: &Idle| {
            i.since.elapsed() >= self.settings.late_copy || !is_alike(i.sender.last_id.as_ref())
        };
        let newest = list.iter().rposition(is_clear)?;
        Some(list.remove(newest).sender)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Sender, SendError> {
        let failed = |e: String| SendError::new(SendFault::Connect, to, &e);
        let stream = self.open_stream(to, self.settings.connect).await?;
        self.tune(&stream).map_err(|e| failed(e.to_string()))?;
        let meter = Meter::default();
        let stream = MeteredStream {
            stream,
            meter: meter.clone(),
            heard: self.connects.last_heard(to),
        };
        let (requests, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failed(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(to:% = to, error:% = error; "connection ended");
            }
        });
        Ok(Sender {
            requests,
            meter,
            last_id: None,
        })
    }

    async fn open_stream(&self, to: SocketAddr, limit: Duration) -> Result<TcpStream, SendError> {
        let failed = |e: String| SendError::new(SendFault::Connect, to, &e);
        let began = Instant::now();
        let connect = TcpStream::connect(to);
        tokio::pin!(connect);
        let opened = if let Ok(opened) = timeout(SLOW_CONNECT.min(limit), &mut connect).await {
            Ok(opened)
        } else {
            self.connects.record_slow(began);
            timeout(limit.saturating_sub(SLOW_CONNECT), connect).await
        };
        let opened = match opened {
            Ok(opened) => opened.map_err(|e| failed(e.to_string())),
            Err(late) => Err(failed(late.to_string())),
        };
        self.connects.record(to, opened.is_ok(), began);
        opened
    }

    fn tune(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.settings.unacked))?;
        let probes = TcpKeepalive::new()
            .with_time(self.settings.unacked)
            .with_interval(self.settings.connect.max(PROBE_LEAST))
            .with_retries(2);
        socket.set_tcp_keepalive(&probes)
    }
}
