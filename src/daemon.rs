//! Assembles one instance and runs it until it is stopped.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::admin;
use crate::assembly;
use crate::caller_listener::{self, ListenerLimits};
use crate::settings::Settings;

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, #[source] std::io::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] crate::metrics::MetricsError),
    /// A state chart is incomplete.
    #[error(transparent)]
    Chart(#[from] crate::state_chart::ChartError),
}

/// The listeners of an instance.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Opens the listeners that the settings name.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] where an address cannot be used.
    pub async fn open(settings: &Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: listen(settings.listen.callers).await?,
            admin: listen(settings.listen.admin).await?,
            peers: listen(settings.listen.peers).await?,
        })
    }

    /// One line that names the addresses.
    ///
    /// # Errors
    ///
    /// Where a listener has no address.
    pub fn line(&self) -> std::io::Result<String> {
        let (callers, admin) = (self.callers.local_addr()?, self.admin.local_addr()?);
        let peers = self.peers.local_addr()?;
        Ok(format!(
            "ready callers={callers} admin={admin} peers={peers}"
        ))
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| StartError::Listen(address, e))
}

/// Runs an instance until it is stopped; true where running requests were cut.
///
/// # Errors
///
/// [`StartError`] where a part cannot be set up.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    stop: watch::Sender<bool>,
) -> Result<bool, StartError> {
    let mut stopping = stop.subscribe();
    let admin_service = assembly::assemble(&settings, listeners.peers, stop)?;
    let console = Arc::new(admin_service.clone());
    let admin = admin::serve(listeners.admin, settings.admin.token.clone(), console);
    let admin = tokio::spawn(admin);
    let limits = ListenerLimits {
        max_connections: settings.limits.connections,
        head_bytes: settings.limits.head,
        head_timeout: settings.limits.header_time,
    };
    let context = admin_service.gate.clone();
    let (close, closing) = watch::channel(false);
    let serving = tokio::spawn(caller_listener::run(
        listeners.callers,
        context,
        limits,
        closing,
    ));
    if stopping.wait_for(|s| *s).await.is_err() {
        log::debug!("stop channel closed; stopping the instance");
    }
    admin_service.mesh.leave().await;
    log::info!("stopping: not ready any more; new requests are taken for the notice time");
    tokio::time::sleep(settings.limits.notice_time).await;
    close.send_replace(true);
    log::info!("stopping: no new connections; waiting for running requests");
    let drained = timeout(settings.limits.drain_time, serving).await;
    admin.abort();
    Ok(drained.is_err())
}
