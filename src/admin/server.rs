//! The listener of the administration API.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

use super::console::Console;
use super::routes::Routes;
use crate::settings::Token;

const MAX_CONNECTIONS: usize = 64;
const MAX_HEAD: usize = 32 << 10;
const HEADER_TIME: Duration = Duration::from_secs(5);
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the administration API until the future is dropped.
///
/// # Errors
///
/// Without a token, a listener on an address that is not loopback is refused.
pub async fn serve(
    listener: TcpListener,
    token: Option<Token>,
    console: Arc<dyn Console>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    if token.is_none() && !address.ip().is_loopback() {
        let cause = format!("administration on {address} needs a token");
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, cause));
    }
    let routes = Arc::new(Routes { token, console });
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Dropping the set ends its connections.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return Ok(());
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(connection(stream, Arc::clone(&routes), permit));
            }
            // Such as too many open files: wait for some to close.
            Err(e) => {
                log::warn!(cause = e.to_string().as_str(); "administration listener failed to accept");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, routes: Arc<Routes>, permit: OwnedSemaphorePermit) {
    let answer = service_fn(|request| {
        let routes = Arc::clone(&routes);
        async move { Ok::<_, Infallible>(routes.answer(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIME)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), answer)
        .await;
    if let Err(e) = served {
        log::debug!(cause = e.to_string().as_str(); "administration connection ended early");
    }
    drop(permit);
}
