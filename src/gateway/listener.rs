//! Listeners: callers, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;

use super::serve;
use super::shared::Gateway;
use crate::http::{Body, full};

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for a head that the library allows, in bytes.
const HEAD_LEAST: usize = 8192;

/// Serves callers until `close` turns true and all their connections have ended.
///
/// Connections that are open then end between two requests; new ones are still accepted, for one
/// request each, until the last has ended.
pub async fn callers(listener: TcpListener, gateway: Arc<Gateway>, close: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(gateway.settings.max_connections));
    let open = TaskTracker::new();
    let mut closing = close.clone();
    let ended = async {
        if closing.wait_for(|c| *c).await.is_err() {
            log::debug!("the daemon is gone");
        }
        open.close();
        open.wait().await;
    };
    tokio::pin!(ended);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ended => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!("too many connections; one was closed");
            continue;
        };
        let connection = caller(stream, Arc::clone(&gateway), close.clone());
        open.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
}

async fn caller(stream: TcpStream, gateway: Arc<Gateway>, mut close: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot tune a caller's connection");
    }
    let limits = gateway.catalog().map(|c| c.limits).unwrap_or_default();
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer(gateway, request).await) }
    });
    let late = *close.borrow();
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!late)
        // The library counts the idle time before a head as part of its arrival.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(HEAD_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    if !late {
        tokio::select! {
            ended = connection.as_mut() => return log_end(ended),
            _ = close.wait_for(|c| *c) => connection.as_mut().graceful_shutdown(),
        }
    }
    log_end(connection.await);
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended");
    }
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let stopping = *gateway.stopping.borrow();
    let mut response = serve::answer(gateway, request).await;
    if stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Answers whether the instance takes new connections.
pub async fn readiness(listener: TcpListener, gateway: Arc<Gateway>) {
    plain(listener, move || {
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

/// Serves the metrics.
pub async fn metrics(listener: TcpListener, gateway: Arc<Gateway>) {
    plain(listener, move || match gateway.stats.text() {
        Ok(text) => {
            let mut response = Response::new(full(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
        Err(error) => {
            log::error!(error:% = error; "metrics cannot be read");
            let mut response = Response::new(full(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    })
    .await;
}

/// Answers every request with what a function says.
async fn plain(
    listener: TcpListener,
    respond: impl Fn() -> Response<Body> + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
                .serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}
