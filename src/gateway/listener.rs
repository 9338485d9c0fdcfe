//! HTTP listeners for callers, readiness probes and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::connection_buffers;
use super::idle_connections::{CallerConnection, IdleConnections};
use super::serve;
use super::shared::Gateway;
use super::write_timeout::WriteTimeout;
use crate::http::{Body, full};
use crate::verdict::{Cause, Refusal};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time in which an idle connection closes for a new one.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Retry-after time of a request that crosses the close of its connection.
const CLOSED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a new connection after which a closing listener stops.
const QUIET_TIME: Duration = Duration::from_millis(20);
/// Smallest buffer for a request head that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Most connections to a port for probes or metrics.
const MAX_CONTROL_CONNECTIONS: usize = 256;
/// Longest time from one request's end to the end of the next one's head there.
const CONTROL_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers until `close` turns true and all their connections have ended.
///
/// Connections open at that time are closed after their current request. New ones are still
/// accepted, for one request each, until none is open and none comes for [`QUIET_TIME`], at most
/// until shortly before the process exits. Those that are accepted by then are still answered.
pub async fn serve_callers(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    mut close: watch::Receiver<bool>,
) {
    let mut callers = Callers {
        slots: Arc::new(Semaphore::new(gateway.settings.max_connections)),
        connections: TaskTracker::new(),
        idle: Arc::default(),
        close: close.clone(),
        gateway,
    };
    let closing = async {
        if close.wait_for(|closing| *closing).await.is_err() {
            log::debug!("shutdown channel closed; stopping the caller listener");
        }
    };
    tokio::select! {
        () = callers.accept_all(&listener) => {}
        () = closing => {}
    }
    callers.connections.close();
    let gateway = Arc::clone(&callers.gateway);
    let last_call = gateway.wait_before_exit();
    tokio::pin!(last_call);
    loop {
        let connections = callers.connections.clone();
        let quiet = async {
            connections.wait().await;
            tokio::time::sleep(QUIET_TIME).await;
        };
        tokio::select! {
            biased;
            () = &mut last_call => break,
            accepted = listener.accept() => callers.serve(accepted).await,
            () = quiet => break,
        }
    }
    while let Some(accepted) = listener.accept().now_or_never() {
        callers.serve(accepted).await;
    }
    drop(listener);
    callers.connections.wait().await;
}

/// The connections of callers.
struct Callers {
    gateway: Arc<Gateway>,
    slots: Arc<Semaphore>,
    connections: TaskTracker,
    idle: Arc<IdleConnections>,
    close: watch::Receiver<bool>,
}

impl Callers {
    async fn accept_all(&mut self, listener: &TcpListener) {
        loop {
            let accepted = listener.accept().await;
            self.serve(accepted).await;
        }
    }

    async fn serve(&mut self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return;
        };
        let Some(slot) = self.slot().await else {
            log::warn!("connection limit reached; closing a new connection");
            return;
        };
        let settings = &self.gateway.settings;
        let open = settings.max_connections - self.slots.available_permits();
        connection_buffers::tune(&stream, settings.memory_bytes, open);
        let gateway = Arc::clone(&self.gateway);
        let connection = serve_connection(stream, gateway, self.idle.add(), self.close.clone());
        self.connections.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
}

impl Callers {
    /// A place for a new connection, that of an idle one where there is no other.
    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        let slots = &self.slots;
        if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
            return Some(slot);
        }
        if !self.idle.close_one() {
            return None;
        }
        log::debug!("connection limit reached; closing an idle connection");
        let slot = timeout(CLOSE_TIMEOUT, Arc::clone(slots).acquire_owned());
        slot.await.ok()?.ok()
    }
}

async fn serve_connection(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    caller: CallerConnection,
    mut close: watch::Receiver<bool>,
) {
    let limits = gateway.catalog().map(|c| c.limits).unwrap_or_default();
    let caller = Arc::new(caller);
    let serving = Arc::clone(&caller);
    let service = service_fn(move |request| {
        let (gateway, caller) = (Arc::clone(&gateway), Arc::clone(&serving));
        async move {
            let response = if caller.begin_request() {
                handle_caller_request(gateway, request).await
            } else {
                refuse_on_close(&gateway)
            };
            Ok::<_, Infallible>(response.map(|body| caller.track_answer(body)))
        }
    });
    let closing = *close.borrow();
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!closing)
        // hyper counts the idle time before a head towards this timeout.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(WriteTimeout::new(stream, limits.idle_timeout)),
            service,
        );
    tokio::pin!(connection);
    if !closing {
        tokio::select! {
            ended = connection.as_mut() => return log_connection_end(ended),
            _ = close.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
            () = caller.closed() => connection.as_mut().graceful_shutdown(),
        }
    }
    log_connection_end(connection.await);
}

fn log_connection_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!(error:% = error; "connection ended with an error");
    }
}

/// Response to a request that crosses the close of its connection.
fn refuse_on_close(gateway: &Gateway) -> Response<Body> {
    let refusal = Refusal::not_run(Cause::Overload).retry_after(CLOSED_RETRY_DELAY);
    let mut response = gateway.platform.wire.refusal_response(&refusal, "");
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

async fn handle_caller_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<Body> {
    let stopping = *gateway.stopping.borrow();
    let mut response = serve::handle_request(gateway, request).await;
    if stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Serves the readiness probe: 200 while the instance takes new connections, else 503.
pub async fn serve_readiness(listener: TcpListener, gateway: Arc<Gateway>) {
    serve_responses(listener, move || {
        let status = if gateway.ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut response = Response::new(full(""));
        *response.status_mut() = status;
        response
    })
    .await;
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(listener: TcpListener, gateway: Arc<Gateway>) {
    serve_responses(listener, move || {
        gateway
            .stats
            .record_ramps(&gateway.servers.ramps_in_progress());
        metrics_response(&gateway)
    })
    .await;
}

fn metrics_response(gateway: &Gateway) -> Response<Body> {
    match gateway.stats.text() {
        Ok(text) => {
            let mut response = Response::new(full(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
        Err(error) => {
            log::error!(error:% = error; "metrics cannot be encoded");
            let mut response = Response::new(full(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Responds to every request with the result of `respond`.
async fn serve_responses(
    listener: TcpListener,
    respond: impl Fn() -> Response<Body> + Clone + Send + Sync + 'static,
) {
    let slots = Arc::new(Semaphore::new(MAX_CONTROL_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!("too many connections to a control port; closing a new one");
            continue;
        };
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = respond();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CONTROL_HEAD_TIMEOUT)
                .max_buf_size(MIN_HEAD_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            log_connection_end(connection.await);
            drop(slot);
        });
    }
}
