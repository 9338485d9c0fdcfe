//! Assembles the actors and tasks of one instance.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;
use xtra::Address;

use crate::admission::Admission;
use crate::at_most_once::StartId;
use crate::chooser::Chooser;
use crate::clock::Clock;
use crate::cold_start::{ColdStartContext, ColdStartSettings, ColdStarts, PeerResponder};
use crate::console::AdminService;
use crate::daemon::StartError;
use crate::dispatch_queue::DispatchQueue;
use crate::endpoint_registry::{EndpointRegistry, PeerLoads, RegistryView};
use crate::engine::Engine;
use crate::idempotency::{self, IdempotencySettings, IdempotencyStore};
use crate::inflight::Inflight;
use crate::instances::Directory;
use crate::limits::QueueSettings;
use crate::members::{Member, MemberState};
use crate::metrics::Metrics;
use crate::objects::Objects;
use crate::outbound::{Outbound, OutboundSettings};
use crate::peers::{Fleet as Loads, Inbound, Mesh, MeshConfig, MeshHandle, MeshSettings};
use crate::placement::{Placement, PlacementSettings, ReconcileSettings};
use crate::platform::{Remote, RemoteEngines};
use crate::poll::{Poll, last_list};
use crate::reconciler::{Reconciler, ServerStates};
use crate::records::Records;
use crate::request_context::{self, RequestContext, RequestLimits};
use crate::residency::ResidencyTracker;
use crate::residency_controller::{ResidencyController, SharedTracker};
use crate::rules::{RulesStore, StoreSettings};
use crate::rules_sync::{RulesActor, RulesSync, RulesWatch};
use crate::settings::Settings;
use crate::subscriptions::Subscriptions;
use crate::suspects::{SuspectSettings, Suspects};
use crate::table::Table;

/// Maximum number of records of recent requests.
const MAX_RECORDS: usize = 10_000;
/// Assumed load rate in bytes per second until a load has been observed.
const FIRST_SPEED: f64 = 2e9;
/// Interval between expiry passes over the idempotency records.
const EXPIRY_INTERVAL: Duration = Duration::from_hours(1);
/// Time after its last change for which an idempotency record is kept.
const RETENTION: Duration = Duration::from_hours(7 * 24);
/// Interval between flushes of the pending records of the idempotency store.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between removals of endpoints that are no longer listed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum interval between reads of the requests tied to crashes.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between these reads per live instance: at most 250 reads a second in all.
const REFRESH_INTERVAL_SHARE: Duration = Duration::from_millis(4);

/// Clients of the platform and their connections.
#[derive(Debug)]
struct Platform {
    outbound: Outbound,
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    directory: Arc<dyn Directory>,
    engines: Arc<dyn Engine>,
}

impl Platform {
    fn new(settings: &Settings) -> Self {
        let outbound = Outbound::new(OutboundSettings {
            connect: settings.timing.connect,
            ..OutboundSettings::default()
        });
        let limit = settings.timing.platform;
        let remote = |address| Arc::new(Remote::new(outbound.clone(), address, limit));
        Self {
            table: remote(settings.platform.table),
            objects: remote(settings.platform.objects),
            directory: remote(settings.platform.list),
            engines: Arc::new(RemoteEngines::new(outbound.clone(), limit)),
            outbound,
        }
    }
}

/// Starts the actors and tasks of an instance.
pub(crate) fn assemble(
    settings: &Settings,
    peers: TcpListener,
    stop: watch::Sender<bool>,
) -> Result<AdminService, StartError> {
    let clock = Clock::Boot;
    let metrics = Metrics::new()?;
    let Platform {
        outbound,
        table,
        objects,
        directory,
        engines,
    } = Platform::new(settings);
    let (registry, view) = EndpointRegistry::start();
    let (rules_actor, rules) = RulesActor::start();
    let start = this_start(settings);
    let (latest, list) = last_list();
    let (mesh, requests) =
        Mesh::start(mesh_config(settings, &start, &peers, Arc::new(list)), peers);
    let subscriptions = Subscriptions::new(mesh.clone());
    let store = RulesStore::new(
        Arc::clone(&table),
        Arc::clone(&objects),
        StoreSettings {
            call_timeout: settings.timing.platform,
            ..StoreSettings::default()
        },
    );
    tokio::spawn(expire(Arc::clone(&table), rules.clone(), mesh.clone()));
    let idempotency_store = idempotency_store(&table, objects, &start);
    let suspects = suspects(&table, &start);
    let placement = Arc::new(Placement::new(
        table,
        PlacementSettings {
            region: settings.region.clone(),
            prefix: format!("{start}-{:08x}", rand::random::<u32>()),
            ..PlacementSettings::default()
        },
    )?);
    let reconciler = Reconciler {
        placement: Arc::clone(&placement),
        engines: Arc::clone(&engines),
        fleet: registry.clone(),
        view: view.clone(),
        rules: rules.clone(),
        mesh: mesh.clone(),
        clock,
        settings: ReconcileSettings::default(),
        states: ServerStates::default(),
    };
    let tracker = Arc::new(Mutex::new(ResidencyTracker::new(FIRST_SPEED)));
    let cold_starts = ColdStarts::start(ColdStartContext {
        tracker: Arc::clone(&tracker),
        settings: ColdStartSettings::default(),
        placement,
        reconciler: reconciler.clone(),
        subscriptions: subscriptions.clone(),
        metrics: metrics.clone(),
    });
    let poll = Poll {
        directory,
        last: latest,
        fleet: registry.clone(),
        clock,
        every: settings.timing.list,
    };
    let chooser = Chooser::new(clock, settings.domain.clone());
    let dispatch_queue = dispatch_queue(settings, &view, &chooser);
    let context = RequestContext {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        clock,
        limits: request_limits(settings),
        rules,
        view,
        fleet: registry,
        engines,
        admission: Admission::new(clock),
        suspects: Arc::new(suspects),
        cold_starts,
        subscriptions,
        dispatch_queue,
        queued: Inflight::default(),
        outbound,
        ledger: Arc::new(idempotency_store),
        mesh: mesh.clone(),
        start_id: start,
        chooser,
        records: Records::new(MAX_RECORDS),
        metrics,
        stopping: stop.subscribe(),
    };
    let admin_service = AdminService {
        gate: context,
        reconciler,
        mesh,
        store,
        rules_actor,
        stop,
    };
    background(&admin_service, settings, poll, requests);
    watch_servers(&admin_service, settings, tracker);
    Ok(admin_service)
}

/// Starts the background tasks.
fn background(
    admin_service: &AdminService,
    settings: &Settings,
    poll: Poll,
    requests: mpsc::Receiver<Inbound>,
) {
    let context = &admin_service.gate;
    let rules_sync = RulesSync {
        store: admin_service.store.clone(),
        actor: admin_service.rules_actor.clone(),
        mesh: admin_service.mesh.clone(),
        active: context.rules.clone(),
        interval: settings.timing.rules,
    };
    let responder = PeerResponder {
        cold_starts: context.cold_starts.clone(),
        rules: context.rules.clone(),
        view: context.view.clone(),
    };
    tokio::spawn(poll.run());
    tokio::spawn(rules_sync.clone().poll_store());
    tokio::spawn(rules_sync.clone().announce());
    tokio::spawn(rules_sync.receive_announcements());
    tokio::spawn(responder.run(requests));
    let loads = admin_service.mesh.fleet();
    tokio::spawn(relay_loads(loads, context.fleet.clone()));
    tokio::spawn(context.subscriptions.clone().run(context.clock));
    let admission = context.admission.clone();
    tokio::spawn(admission.apply_updates(
        context.name.clone(),
        context.rules.clone(),
        admin_service.mesh.clone(),
    ));
    let suspects = Arc::clone(&context.suspects);
    tokio::spawn(refresh_suspects(suspects, admin_service.mesh.clone()));
    let store = Arc::clone(&context.ledger);
    tokio::spawn(flush_pending_records(store, admin_service.mesh.clone()));
}

/// Starts the tasks that reconcile the servers and control their replicas.
fn watch_servers(admin_service: &AdminService, settings: &Settings, tracker: SharedTracker) {
    let controller = ResidencyController {
        tracker,
        reconciler: admin_service.reconciler.clone(),
        loads: admin_service.gate.cold_starts.clone(),
        metrics: admin_service.gate.metrics.clone(),
    };
    tokio::spawn(controller.run());
    tokio::spawn(remove_unlisted(
        admin_service.gate.view.clone(),
        admin_service.gate.chooser.clone(),
    ));
    tokio::spawn(admin_service.reconciler.clone().run_sweep());
    tokio::spawn(admin_service.reconciler.clone().run(settings.timing.report));
}

fn dispatch_queue(
    settings: &Settings,
    view: &watch::Receiver<Arc<RegistryView>>,
    chooser: &Chooser,
) -> Address<DispatchQueue> {
    let (view, chooser) = (view.clone(), chooser.clone());
    let room = Arc::new(move |model: &str| request_context::has_room(&view, &chooser, model));
    let queue = QueueSettings {
        capacity: settings.limits.waiting,
        ..QueueSettings::default()
    };
    DispatchQueue::start(queue, Clock::Boot, room)
}

fn idempotency_store(
    table: &Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    start: &StartId,
) -> IdempotencyStore {
    let settings = IdempotencySettings {
        start_id: start.to_string(),
        ..IdempotencySettings::default()
    };
    IdempotencyStore::new(Arc::clone(table), objects, settings)
}

fn suspects(table: &Arc<dyn Table>, start: &StartId) -> Suspects {
    let settings = SuspectSettings {
        id_prefix: format!("{start}-s"),
        ..SuspectSettings::default()
    };
    Suspects::new(Arc::clone(table), settings)
}

fn request_limits(settings: &Settings) -> RequestLimits {
    RequestLimits {
        body_bytes: settings.limits.body,
        body_timeout: settings.limits.body_time,
        default_timeout: settings.limits.deadline,
        max_waiting: settings.limits.waiting as u64,
        ..RequestLimits::default()
    }
}

fn this_start(settings: &Settings) -> StartId {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    StartId {
        name: settings.name.clone(),
        started_ms: now.as_millis().try_into().unwrap_or_default(),
    }
}

fn mesh_config(
    settings: &Settings,
    start: &StartId,
    listener: &TcpListener,
    directory: Arc<dyn Directory>,
) -> MeshConfig {
    let address = listener.local_addr().unwrap_or(settings.listen.peers);
    MeshConfig {
        me: Member {
            name: settings.name.clone(),
            address,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            incarnation: start.started_ms,
            state: MemberState::Live,
            rules: 0,
        },
        directory,
        clock: Clock::Boot,
        settings: MeshSettings {
            heartbeat: settings.timing.heartbeat,
            list_poll: settings.timing.list,
            ..MeshSettings::default()
        },
    }
}

/// Forwards the loads that peers publish to the endpoint registry.
async fn relay_loads(mut loads: watch::Receiver<Arc<Loads>>, registry: Address<EndpointRegistry>) {
    while loads.changed().await.is_ok() {
        let latest = Arc::clone(&loads.borrow_and_update());
        if registry.send(PeerLoads(latest)).await.is_err() {
            return;
        }
    }
}

/// Flushes the pending records of the idempotency store, until the process ends.
async fn flush_pending_records(store: Arc<IdempotencyStore>, mesh: MeshHandle) {
    let members = mesh.members();
    let mut ticks = tokio::time::interval(FLUSH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let live = members.borrow().len().max(1);
        store.set_instance_count(live.try_into().unwrap_or(u32::MAX));
        store.flush_pending().await;
    }
}

/// Reads the requests tied to crashes, until the process ends.
///
/// The pace keeps the reads of all instances together within their share of the table service.
async fn refresh_suspects(suspects: Arc<Suspects>, mesh: MeshHandle) {
    let members = mesh.members();
    loop {
        let live = members.borrow().len().max(1);
        let pace = REFRESH_INTERVAL_SHARE * u32::try_from(live).unwrap_or(u32::MAX);
        tokio::time::sleep(pace.max(MIN_REFRESH_INTERVAL)).await;
        if let Err(error) = suspects.refresh().await {
            log::warn!(error:% = error; "cannot read the suspected requests");
        }
    }
}

/// Removes endpoints that are no longer listed, until the process ends.
async fn remove_unlisted(mut view: watch::Receiver<Arc<RegistryView>>, chooser: Chooser) {
    while view.changed().await.is_ok() {
        let latest = Arc::clone(&view.borrow_and_update());
        chooser.retain_listed(&latest.endpoints);
        tokio::time::sleep(REMOVAL_INTERVAL).await;
    }
}

/// Deletes expired idempotency records of the tenants that this instance owns, until the process
/// ends.
async fn expire(table: Arc<dyn Table>, rules: RulesWatch, mesh: MeshHandle) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let rules = rules.borrow().clone();
        let tenants = rules.iter().flat_map(|r| r.rules.tenants.keys());
        for tenant in tenants {
            if mesh.owner(&format!("request/{tenant}")).is_some() {
                continue;
            }
            match idempotency::delete_expired(table.as_ref(), tenant, RETENTION).await {
                Ok(count) => log::info!(tenant = tenant, count = count; "records of calls expired"),
                Err(error) => log::warn!(tenant = tenant, error:% = error; "cannot expire records"),
            }
        }
    }
}
