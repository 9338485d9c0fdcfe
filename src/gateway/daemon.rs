//! Runs an instance of the gateway.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::lease::{Lease, LeaseRow};
use super::link::{self, HolderInfo, HolderLink};
use super::orders::Orders;
use super::renewal::LeaseRenewal;
use super::shared::{Edges, Gateway, GatewaySettings};
use super::{feed, listener};
use crate::daemon::StartError;

/// Time from the signal to stop until open connections are closed: the balancer asks for readiness
/// once a second and takes an instance out after two misses.
const NOTICE: Duration = Duration::from_millis(2600);
/// Time before the end of the grace at which the process ends by itself.
const GRACE_LEFT: Duration = Duration::from_millis(400);
/// Messages of other instances that wait.
const HEARD: usize = 1024;
/// Time between two looks at the dropped log lines.
const DROPPED_EVERY: Duration = Duration::from_secs(5);

/// Runs an instance until `stop` completes and its requests have ended; true where some were cut.
///
/// # Errors
///
/// [`StartError`] where a part cannot be set up.
pub async fn run(
    settings: GatewaySettings,
    edges: Edges,
    stop: impl Future<Output = &'static str>,
) -> Result<bool, StartError> {
    let grace = settings.grace;
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let peers = bind(settings.peers).await?;
    let metrics = bind(settings.metrics).await?;
    log::info!(name = settings.name.as_str(), domain = settings.domain.as_str(),
        callers:% = settings.callers, peers:% = settings.peers,
        version = env!("CARGO_PKG_VERSION"); "instance starts");
    let gateway = Gateway::new(settings, edges)?;
    start_parts(&gateway, peers);
    tokio::spawn(listener::readiness(ready, Arc::clone(&gateway)));
    tokio::spawn(listener::metrics(metrics, Arc::clone(&gateway)));
    let (close, closing) = watch::channel(false);
    let serving = tokio::spawn(listener::callers(callers, Arc::clone(&gateway), closing));
    let reason = stop.await;
    let end = Instant::now() + grace.saturating_sub(GRACE_LEFT);
    log::info!(reason = reason; "instance stops: not ready any more");
    let left = end.saturating_duration_since(Instant::now());
    gateway.ending.send_replace(Some(gateway.now() + left));
    gateway.stopping.send_replace(true);
    sleep(NOTICE).await;
    log::info!("instance stops: open connections close after their requests");
    gateway.closing.send_replace(true);
    close.send_replace(true);
    let cut = timeout_at(end, serving).await.is_err();
    log::info!(cut = cut; "instance stopped");
    Ok(cut)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| StartError::Listen(address, e))
}

/// Starts the tasks that run beside the listeners.
fn start_parts(gateway: &Arc<Gateway>, peers: TcpListener) {
    let settings = &gateway.settings;
    let me = LeaseRow {
        holder: settings.name.clone(),
        address: settings.peers,
        released: false,
    };
    let lease = Arc::new(Mutex::new(Lease::new(me.clone(), settings.terms)));
    let (whereabouts, known) = watch::channel(HolderInfo::default());
    let (linked, is_linked) = watch::channel(HolderLink::default());
    let (heard, inbox) = mpsc::channel(HEARD);
    Orders::start(Arc::clone(gateway), Arc::clone(&lease), inbox);
    let renewal = LeaseRenewal {
        gateway: Arc::clone(gateway),
        lease,
        holder_info: whereabouts,
        holder_link: is_linked.clone(),
        own_row: me,
    };
    tokio::spawn(renewal.run());
    tokio::spawn(link::serve(
        Arc::clone(gateway),
        peers,
        known.clone(),
        heard,
    ));
    tokio::spawn(link::maintain_link(Arc::clone(gateway), known, linked));
    tokio::spawn(feed::follow_config(Arc::clone(gateway)));
    let holding = gateway.holding.subscribe();
    let servers = feed::follow_servers(Arc::clone(gateway), holding, is_linked.clone());
    tokio::spawn(servers);
    tokio::spawn(count_dropped());
}

/// Logs how many log lines were dropped, where any were.
async fn count_dropped() {
    let mut known = 0;
    loop {
        sleep(DROPPED_EVERY).await;
        let dropped = crate::logs::dropped();
        if dropped > known {
            log::warn!(dropped = dropped - known, total = dropped; "log lines dropped");
            known = dropped;
        }
    }
}
