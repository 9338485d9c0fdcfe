//! A console without a daemon, behind a listener on loopback.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use brassrack::BoxFuture;
use brassrack::admin::{
    self, Console, ConsoleError, DrainStatus, InstanceState, InstanceStatus, ModelStatus,
    ReplicaStatus, RequestRecord, RequestStep, ServerStatus, Status,
};
use brassrack::instances::Standing;
use brassrack::rules::{
    ActiveRules, PriorityClass, RulesCell, RulesStore, StoreSettings, VersionText,
};
use brassrack::settings::Token;
use brassrack::verdict::{Cause, Verdict};
use brassrack_standins::table::{MemoryObjects, MemoryTable};

/// Token of consoles that have one.
pub(crate) const TOKEN: &str = "0123456789abcdef";

/// A console whose second instance never hears of a change.
#[derive(Debug, Default)]
pub(crate) struct FakeConsole {
    /// The platform's table.
    pub(crate) table: MemoryTable,
    /// The platform's objects.
    pub(crate) objects: MemoryObjects,
    /// Whether the second instance is listed.
    pub(crate) lagging: bool,
    /// What the first instance has in force.
    pub(crate) holder: Mutex<RulesCell>,
}

impl FakeConsole {
    /// Serves the console in the background and returns its address.
    pub(crate) async fn start(self: Arc<Self>, token: Option<&str>) -> SocketAddr {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let token = token.map(|t| Token::new(t.into()));
        tokio::spawn(admin::serve(listener, token, self));
        address
    }
}

fn instance(name: &str, version: u64) -> InstanceStatus {
    InstanceStatus {
        name: name.into(),
        region: "osrednja".into(),
        domain: "vic".into(),
        address: SocketAddr::from(([10, 0, 0, 7], 8082)),
        state: InstanceState::Ready,
        version,
        running: 1,
        waiting: 0,
        age_ms: 40,
    }
}

impl Console for FakeConsole {
    fn status(&self) -> BoxFuture<'_, Result<Status, ConsoleError>> {
        let version = self.holder.lock().unwrap().version();
        let mut instances = vec![instance("brassrack-1", version)];
        if self.lagging {
            instances.push(instance("brassrack-2", 0));
        }
        let status = Status {
            answered_by: "brassrack-1".into(),
            instances,
        };
        Box::pin(async { Ok(status) })
    }

    fn servers(&self) -> BoxFuture<'_, Result<Vec<ServerStatus>, ConsoleError>> {
        let server = ServerStatus {
            name: "besedilnik-1".into(),
            service: "besedilnik".into(),
            address: SocketAddr::from(([10, 0, 1, 1], 80)),
            region: "osrednja".into(),
            domain: "vic".into(),
            standing: Standing::Live,
            memory: 80 << 30,
            reserved: 13 << 30,
            age_ms: Some(500),
            replicas: vec![ReplicaStatus {
                model: "besedilo-03".into(),
                state: "ready".into(),
                bytes: 13 << 30,
                ..ReplicaStatus::default()
            }],
        };
        Box::pin(async { Ok(vec![server]) })
    }

    fn models(&self) -> BoxFuture<'_, Result<Vec<ModelStatus>, ConsoleError>> {
        let model = ModelStatus {
            name: "besedilo-03".into(),
            engines: "besedilnik".into(),
            base: None,
            class: PriorityClass::Interactive,
            size: 13 << 30,
            limit: 2,
            decided: 1,
            ready: 1,
            waiting: 0,
        };
        Box::pin(async { Ok(vec![model]) })
    }

    fn request(&self, id: String) -> BoxFuture<'_, Result<Option<RequestRecord>, ConsoleError>> {
        let record = (id == "r-1").then(|| RequestRecord {
            id,
            instance: "brassrack-1".into(),
            tenant: "poroke".into(),
            target: "besedilo-03".into(),
            status: Some(503),
            verdict: Some(Verdict::NotRun),
            cause: Some(Cause::NoCapacity),
            steps: vec![RequestStep {
                at_ms: 12,
                state: "refused".into(),
                detail: "no server has memory".into(),
            }],
            ..RequestRecord::default()
        });
        Box::pin(async { Ok(record) })
    }

    fn drain(&self) -> BoxFuture<'_, DrainStatus> {
        let status = DrainStatus {
            instance: "brassrack-1".into(),
            running: 1,
            waiting: 0,
        };
        Box::pin(async { status })
    }

    fn rules(&self) -> RulesStore {
        let table = Arc::new(self.table.clone());
        RulesStore::new(
            table,
            Arc::new(self.objects.clone()),
            StoreSettings::default(),
        )
    }

    fn in_force(&self) -> Option<Arc<ActiveRules>> {
        self.holder.lock().unwrap().get()
    }

    fn announce(&self, accepted: VersionText) {
        self.holder.lock().unwrap().update(accepted).unwrap();
    }
}
