//! Start-up and shutdown of a gateway instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::lease::{Lease, LeaseRow};
use super::link::{self, HolderInfo, HolderLink};
use super::orders::OrderController;
use super::orders::inbox::DemandInbox;
use super::renewal::LeaseRenewal;
use super::shared::{Gateway, GatewaySettings, PlatformApi};
use super::stream_origins::history;
use super::{exchange, feed, listener, quotas, reach, room};
use crate::daemon::StartError;

/// Time from the stop signal until open connections are closed: the load balancer probes readiness
/// once a second and removes an instance after two failed probes.
const READINESS_NOTICE: Duration = Duration::from_millis(2600);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for the last log lines to be written, which nobody waits for otherwise.
const LOG_WRITE_TIME: Duration = Duration::from_millis(50);
/// Interval at which the number of dropped log lines is checked.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an instance until `stop` completes and its requests have ended; true if some were cut off.
///
/// # Errors
///
/// [`StartError`] where a listener or the metrics cannot be set up.
pub async fn run(
    settings: GatewaySettings,
    edges: PlatformApi,
    stop: impl Future<Output = &'static str>,
) -> Result<bool, StartError> {
    let grace = settings.stop_grace;
    let callers = bind(settings.callers_addr).await?;
    let ready = bind(settings.ready_addr).await?;
    let peers = bind(settings.peers_addr).await?;
    let metrics = bind(settings.metrics_addr).await?;
    log::info!(name = settings.name.as_str(), domain = settings.domain.as_str(),
        callers:% = settings.callers_addr, peers:% = settings.peers_addr,
        version = env!("CARGO_PKG_VERSION"); "instance starts");
    let gateway = Gateway::new(settings, edges)?;
    let holder_link = spawn_tasks(&gateway, peers);
    tokio::spawn(listener::serve_readiness(ready, Arc::clone(&gateway)));
    tokio::spawn(listener::serve_metrics(metrics, Arc::clone(&gateway)));
    let (close_sender, close) = watch::channel(false);
    let serving = tokio::spawn(listener::serve_callers(
        callers,
        Arc::clone(&gateway),
        close,
    ));
    let reason = stop.await;
    let end = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    log::info!(reason = reason; "instance stops: readiness probe now fails");
    let left = end.saturating_duration_since(Instant::now());
    gateway.exit_time.send_replace(Some(gateway.now() + left));
    gateway.stopping.send_replace(true);
    let (kept_sender, kept) = watch::channel(false);
    tokio::spawn(exchange::hand_over(
        Arc::clone(&gateway),
        holder_link,
        kept_sender,
    ));
    sleep(READINESS_NOTICE).await;
    log::info!("instance stops: closing connections after their current requests");
    gateway.closing_connections.send_replace(true);
    close_sender.send_replace(true);
    let cut = timeout_at(end, serving).await.is_err();
    if !*kept.borrow() {
        let known = exchange::known_versions(&gateway);
        log::warn!(config = known.config_version, list = known.list_version;
            "no instance that stays was found that knows what this one knows");
    }
    log::info!(cut = cut; "instance stopped");
    sleep(LOG_WRITE_TIME).await;
    Ok(cut)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| StartError::Listen(address, e))
}

/// Spawns the background tasks and the listener for other instances.
///
/// Returns the state of the link to the lease holder.
fn spawn_tasks(gateway: &Arc<Gateway>, peers: TcpListener) -> watch::Receiver<HolderLink> {
    let settings = &gateway.settings;
    let own_row = LeaseRow {
        holder: settings.name.clone(),
        address: settings.peers_addr,
        released: false,
        era: 0,
        successors: None,
        heard: None,
        expiring: None,
    };
    let lease = Arc::new(Mutex::new(Lease::new(
        own_row.clone(),
        settings.lease_terms,
    )));
    let (holder_info, holder_state) = watch::channel(HolderInfo::default());
    let (link_sender, holder_link) = watch::channel(HolderLink::default());
    let inbox = Arc::new(DemandInbox::default());
    OrderController::start(Arc::clone(gateway), Arc::clone(&lease), Arc::clone(&inbox));
    let renewal = LeaseRenewal {
        gateway: Arc::clone(gateway),
        lease,
        inbox: Arc::clone(&inbox),
        holder_info,
        holder_link: holder_link.clone(),
        own_row,
    };
    tokio::spawn(renewal.run());
    tokio::spawn(link::serve(
        Arc::clone(gateway),
        peers,
        holder_state.clone(),
        inbox,
    ));
    tokio::spawn(link::maintain_link(
        Arc::clone(gateway),
        holder_state,
        link_sender,
    ));
    tokio::spawn(feed::follow_config(
        Arc::clone(gateway),
        holder_link.clone(),
    ));
    let holding = gateway.lease_held.subscribe();
    let servers = feed::follow_servers(Arc::clone(gateway), holding, holder_link.clone());
    tokio::spawn(servers);
    tokio::spawn(exchange::run(Arc::clone(gateway), holder_link.clone()));
    tokio::spawn(exchange::fetch_configs(Arc::clone(gateway)));
    tokio::spawn(reach::watch(Arc::clone(gateway)));
    tokio::spawn(quotas::run(Arc::clone(gateway)));
    tokio::spawn(room::run(Arc::clone(gateway)));
    tokio::spawn(history::run(Arc::clone(gateway)));
    tokio::spawn(report_dropped_lines());
    holder_link
}

/// Logs the number of newly dropped log lines at each interval that had any.
async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        sleep(DROPPED_LOG_INTERVAL).await;
        let dropped = crate::logs::dropped();
        if dropped > reported {
            log::warn!(dropped = dropped - reported, total = dropped; "log lines dropped");
            reported = dropped;
        }
    }
}
