//! Puts one instance together and runs it until it is told to stop.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::fleet::{Fleet, Inflight};
use crate::follow::{Follow, Keep};
use crate::gate::{Bounds, Gate};
use crate::intake::{self, Admittance};
use crate::keeper::{Keeper, KeeperParts};
use crate::loads::{LoadContext, LoadSettings, Loads};
use crate::metrics::Metrics;
use crate::outbound::{Outbound, OutboundSettings};
use crate::placement::{Placement, PlacementSettings, ReconcileSettings};
use crate::platform::{Remote, RemoteEngines};
use crate::poll::Poll;
use crate::records::Records;
use crate::rules::{RulesStore, StoreSettings};
use crate::settings::Settings;

/// Records of recent requests that are kept.
const RECORDS: usize = 10_000;

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
    Chart(#[from] crate::chart::ChartError),
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

/// Runs an instance until it is told to stop; true where running requests were cut.
///
/// # Errors
///
/// [`StartError`] where a part cannot be set up.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> Result<bool, StartError> {
    let gate = assemble(&settings, stop.clone())?;
    let admittance = Admittance {
        connections: settings.limits.connections,
        head: settings.limits.head,
        arrival: settings.limits.header_time,
    };
    let serving = tokio::spawn(intake::run(
        listeners.callers,
        gate,
        admittance,
        stop.clone(),
    ));
    let mut stopping = stop;
    if stopping.wait_for(|s| *s).await.is_err() {
        log::debug!("nobody can stop this instance any more");
    }
    log::info!("stopping: no new connections; waiting for running requests");
    let drained = timeout(settings.limits.drain_time, serving).await;
    Ok(drained.is_err())
}

/// Starts the actors and tasks of an instance.
fn assemble(settings: &Settings, stopping: watch::Receiver<bool>) -> Result<Gate, StartError> {
    let clock = Clock::Boot;
    let metrics = Metrics::new()?;
    let outbound = Outbound::new(OutboundSettings {
        connect: settings.timing.connect,
        ..OutboundSettings::default()
    });
    let remote = |address| {
        Arc::new(Remote::new(
            outbound.clone(),
            address,
            settings.timing.platform,
        ))
    };
    let table = remote(settings.platform.table);
    let (fleet, view) = Fleet::start();
    let (keep, rules) = Keep::start();
    let store = RulesStore::new(
        Arc::clone(&table) as _,
        remote(settings.platform.objects),
        StoreSettings {
            call: settings.timing.platform,
            ..StoreSettings::default()
        },
    );
    let placement = Arc::new(Placement::new(
        table,
        PlacementSettings {
            region: settings.region.clone(),
            prefix: format!("{}-{:08x}", settings.name, rand::random::<u32>()),
            ..PlacementSettings::default()
        },
    )?);
    let keeper = Keeper::new(
        KeeperParts {
            placement: Arc::clone(&placement),
            engines: Arc::new(RemoteEngines::new(
                outbound.clone(),
                settings.timing.platform,
            )),
            fleet: fleet.clone(),
            view: view.clone(),
            rules: rules.clone(),
            clock,
        },
        ReconcileSettings::default(),
    );
    let loads = Loads::start(LoadContext {
        settings: LoadSettings::default(),
        placement,
        keeper: keeper.clone(),
        metrics: metrics.clone(),
    });
    let poll = Poll {
        directory: remote(settings.platform.list),
        fleet: fleet.clone(),
        clock,
        every: settings.timing.list,
    };
    let follow = Follow {
        store,
        keep,
        seen: rules.clone(),
        every: settings.timing.rules,
    };
    tokio::spawn(poll.run());
    tokio::spawn(follow.run());
    tokio::spawn(keeper.run(settings.timing.report, Arc::new(|_| true)));
    Ok(Gate {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        clock,
        bounds: Bounds {
            body: settings.limits.body,
            arrival: settings.limits.body_time,
            timeout: settings.limits.deadline,
            ..Bounds::default()
        },
        rules,
        view,
        fleet,
        loads,
        outbound,
        inflight: Inflight::default(),
        records: Records::new(RECORDS),
        metrics,
        stopping,
    })
}
