//! Puts one instance together and runs it until it is told to stop.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use xtra::Address;

use crate::admin;
use crate::clock::Clock;
use crate::console::Desk;
use crate::fleet::{Fleet, Heard, Inflight};
use crate::follow::{Follow, Keep};
use crate::gate::{Bounds, Gate};
use crate::instances::Directory;
use crate::intake::{self, Admittance};
use crate::interest::Interest;
use crate::keeper::{Keeper, KeeperParts};
use crate::loads::{Answering, LoadContext, LoadSettings, Loads as ColdStarts};
use crate::members::{Member, MemberState};
use crate::metrics::Metrics;
use crate::outbound::{Outbound, OutboundSettings};
use crate::peers::{Fleet as Loads, Inbound, Mesh, MeshConfig, MeshSettings};
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
    stop: watch::Sender<bool>,
) -> Result<bool, StartError> {
    let mut stopping = stop.subscribe();
    let desk = assemble(&settings, listeners.peers, stop)?;
    let console = Arc::new(desk.clone());
    let admin = admin::serve(listeners.admin, settings.admin.token.clone(), console);
    let admin = tokio::spawn(admin);
    let admittance = Admittance {
        connections: settings.limits.connections,
        head: settings.limits.head,
        arrival: settings.limits.header_time,
    };
    let gate = desk.gate.clone();
    let serving = tokio::spawn(intake::run(
        listeners.callers,
        gate,
        admittance,
        stopping.clone(),
    ));
    if stopping.wait_for(|s| *s).await.is_err() {
        log::debug!("nobody can stop this instance any more");
    }
    desk.mesh.leave().await;
    log::info!("stopping: no new connections; waiting for running requests");
    let drained = timeout(settings.limits.drain_time, serving).await;
    admin.abort();
    Ok(drained.is_err())
}

/// Starts the actors and tasks of an instance.
fn assemble(
    settings: &Settings,
    peers: TcpListener,
    stop: watch::Sender<bool>,
) -> Result<Desk, StartError> {
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
    let (mesh, requests) = Mesh::start(
        mesh_config(settings, &peers, remote(settings.platform.list)),
        peers,
    );
    let interest = Interest::new(mesh.clone());
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
            mesh: mesh.clone(),
            clock,
        },
        ReconcileSettings::default(),
    );
    let loads = ColdStarts::start(LoadContext {
        settings: LoadSettings::default(),
        placement,
        keeper: keeper.clone(),
        interest: interest.clone(),
        metrics: metrics.clone(),
    });
    let poll = Poll {
        directory: remote(settings.platform.list),
        fleet: fleet.clone(),
        clock,
        every: settings.timing.list,
    };
    let gate = Gate {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        clock,
        bounds: bounds(settings),
        rules,
        view,
        fleet,
        loads,
        interest,
        outbound,
        inflight: Inflight::default(),
        records: Records::new(RECORDS),
        metrics,
        stopping: stop.subscribe(),
    };
    let desk = Desk {
        gate,
        keeper,
        mesh,
        store,
        keep,
        stop,
    };
    background(&desk, settings, poll, requests);
    Ok(desk)
}

/// Starts the tasks that run beside the listeners.
fn background(desk: &Desk, settings: &Settings, poll: Poll, requests: mpsc::Receiver<Inbound>) {
    let gate = &desk.gate;
    let follow = Follow {
        store: desk.store.clone(),
        keep: desk.keep.clone(),
        mesh: desk.mesh.clone(),
        seen: gate.rules.clone(),
        every: settings.timing.rules,
    };
    let answering = Answering {
        loads: gate.loads.clone(),
        rules: gate.rules.clone(),
        view: gate.view.clone(),
    };
    tokio::spawn(poll.run());
    tokio::spawn(follow.clone().run());
    tokio::spawn(follow.clone().announce());
    tokio::spawn(follow.listen());
    tokio::spawn(answering.run(requests));
    tokio::spawn(hear(desk.mesh.fleet(), gate.fleet.clone()));
    tokio::spawn(gate.interest.clone().run(gate.clock));
    tokio::spawn(desk.keeper.clone().run(settings.timing.report));
}

fn bounds(settings: &Settings) -> Bounds {
    Bounds {
        body: settings.limits.body,
        arrival: settings.limits.body_time,
        timeout: settings.limits.deadline,
        waiting: settings.limits.waiting as u64,
        ..Bounds::default()
    }
}

fn mesh_config(
    settings: &Settings,
    listener: &TcpListener,
    directory: Arc<dyn Directory>,
) -> MeshConfig {
    let address = listener.local_addr().unwrap_or(settings.listen.peers);
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    MeshConfig {
        me: Member {
            name: settings.name.clone(),
            address,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            incarnation: started.as_millis().try_into().unwrap_or_default(),
            state: MemberState::Live,
            rules: 0,
        },
        directory,
        clock: Clock::Boot,
        settings: MeshSettings {
            beat: settings.timing.heartbeat,
            poll: settings.timing.list,
            ..MeshSettings::default()
        },
    }
}

/// Passes on what peers tell of servers that they poll.
async fn hear(mut told: watch::Receiver<Arc<Loads>>, fleet: Address<Fleet>) {
    while told.changed().await.is_ok() {
        let loads = Arc::clone(&told.borrow_and_update());
        if fleet.send(Heard(loads)).await.is_err() {
            return;
        }
    }
}
