//! Implements the administration API on the state of this instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;
use xtra::Address;

use crate::BoxFuture;
use crate::admin::{
    Console, ConsoleError, DrainStatus, InstanceState, InstanceStatus, ModelStatus, ReplicaStatus,
    RequestRecord, ServerStatus, Status,
};
use crate::endpoint_registry::Endpoint;
use crate::members::{Member, MemberState};
use crate::peers::MeshHandle;
use crate::placement::ServerRow;
use crate::reconciler::Reconciler;
use crate::request_context::RequestContext;
use crate::rules::{ActiveRules, RulesStore, VersionText};
use crate::rules_sync::{RulesActor, UpdateRules, active_version};

/// State that the administration API reads and changes.
#[derive(Debug, Clone)]
pub struct AdminService {
    /// State and dependencies shared by all requests.
    pub gate: RequestContext,
    /// Reconciler of the servers with their rows.
    pub reconciler: Reconciler,
    /// The other instances.
    pub mesh: MeshHandle,
    /// Store of the accepted configurations.
    pub store: RulesStore,
    /// Owner of the configuration in force.
    pub rules_actor: Address<RulesActor>,
    /// Signals this instance to stop.
    pub stop: watch::Sender<bool>,
}

impl AdminService {
    fn member(&self, member: &Member) -> InstanceStatus {
        let own = member.name == self.gate.name;
        let running = if own {
            u64::from(self.gate.chooser.inflight().total())
        } else {
            0
        };
        InstanceStatus {
            name: member.name.clone(),
            region: member.region.clone(),
            domain: member.domain.clone(),
            address: member.address,
            state: self.state(member, own),
            version: if own {
                active_version(&self.gate.rules)
            } else {
                member.rules
            },
            running,
            waiting: if own { self.gate.waiting_requests() } else { 0 },
            age_ms: 0,
        }
    }

    fn state(&self, member: &Member, own: bool) -> InstanceState {
        if own && *self.gate.stopping.borrow() {
            return InstanceState::Draining;
        }
        match member.state {
            MemberState::Leaving => InstanceState::Draining,
            MemberState::Suspect | MemberState::Dead => InstanceState::Silent,
            MemberState::Live if own && !self.gate.ready() => InstanceState::Starting,
            MemberState::Live if member.rules == 0 && !own => InstanceState::Starting,
            MemberState::Live => InstanceState::Ready,
        }
    }

    fn server(&self, endpoint: &Endpoint, row: Option<ServerRow>) -> ServerStatus {
        let listed = &endpoint.listed;
        let row = row.unwrap_or_default();
        let seen = endpoint.report.as_ref().map(|_| endpoint.reported_at);
        let age = seen.map(|at| self.gate.clock.now().saturating_sub(at));
        let replica = |decided: &crate::placement::Replica| {
            let resident = endpoint.resident(&decided.model);
            ReplicaStatus {
                model: decided.model.clone(),
                state: decided.state.to_string(),
                bytes: decided.bytes,
                running: resident.map_or(0, |r| r.running),
                queued: resident.map_or(0, |r| r.queued),
                idle_ms: 0,
            }
        };
        ServerStatus {
            name: listed.name.clone(),
            service: listed.service.clone(),
            address: listed.address,
            region: listed.region.clone(),
            domain: listed.domain.clone(),
            standing: listed.standing,
            memory: row.capacity,
            reserved: row.used_bytes(),
            age_ms: age.map(|a| a.as_millis().try_into().unwrap_or(u64::MAX)),
            replicas: row.replicas.iter().map(replica).collect(),
        }
    }

    fn models_now(&self) -> Result<Vec<ModelStatus>, ConsoleError> {
        let rules = self
            .gate
            .in_force()
            .map_err(|e| ConsoleError(e.to_string()))?;
        let view = Arc::clone(&self.gate.view.borrow());
        let mut decided: BTreeMap<String, u32> = BTreeMap::new();
        for snapshot in view
            .endpoints
            .keys()
            .filter_map(|name| self.reconciler.cached_row(name))
        {
            for replica in snapshot.row.replicas {
                *decided.entry(replica.model).or_default() += 1;
            }
        }
        let status = |(name, model): (&String, &crate::rules::Model)| {
            let ready = view
                .ready_endpoints(name)
                .count()
                .try_into()
                .unwrap_or(u32::MAX);
            ModelStatus {
                name: name.clone(),
                engines: model.engines.clone(),
                base: model.base.clone(),
                class: model.class,
                size: model.size,
                limit: model.replicas,
                decided: decided.get(name).copied().unwrap_or_default().max(ready),
                ready,
                waiting: u64::from(self.gate.cold_starts.waiters().count(name)),
            }
        };
        Ok(rules.rules.models.iter().map(status).collect())
    }
}

impl Console for AdminService {
    fn status(&self) -> BoxFuture<'_, Result<Status, ConsoleError>> {
        Box::pin(async move {
            let members = self.mesh.members().borrow().clone();
            let instances = members.values().map(|m| self.member(m)).collect();
            Ok(Status {
                answered_by: self.gate.name.clone(),
                instances,
            })
        })
    }

    fn servers(&self) -> BoxFuture<'_, Result<Vec<ServerStatus>, ConsoleError>> {
        Box::pin(async move {
            let view = Arc::clone(&self.gate.view.borrow());
            // While the table service is down, the rows that this instance read last are shown.
            let snapshots = self
                .reconciler
                .placement
                .snapshot()
                .await
                .unwrap_or_default();
            let mut rows: BTreeMap<String, ServerRow> =
                snapshots.into_iter().map(|p| (p.server, p.row)).collect();
            let row = |name: &String| {
                rows.remove(name)
                    .or_else(|| self.reconciler.cached_row(name).map(|p| p.row))
            };
            let rows: Vec<_> = view.endpoints.keys().map(row).collect();
            let listed = view.endpoints.values().zip(rows);
            Ok(listed
                .map(|(endpoint, row)| self.server(endpoint, row))
                .collect())
        })
    }

    fn models(&self) -> BoxFuture<'_, Result<Vec<ModelStatus>, ConsoleError>> {
        Box::pin(async move { self.models_now() })
    }

    fn request(&self, id: String) -> BoxFuture<'_, Result<Option<RequestRecord>, ConsoleError>> {
        Box::pin(async move { Ok(self.gate.records.find(&id)) })
    }

    fn drain(&self) -> BoxFuture<'_, DrainStatus> {
        Box::pin(async move {
            self.stop.send_replace(true);
            DrainStatus {
                instance: self.gate.name.clone(),
                running: u64::from(self.gate.chooser.inflight().total()),
                waiting: self.gate.waiting_requests(),
            }
        })
    }

    fn rules(&self) -> RulesStore {
        self.store.clone()
    }

    fn in_force(&self) -> Option<Arc<ActiveRules>> {
        self.gate.rules.borrow().clone()
    }

    fn announce(&self, accepted: VersionText) {
        let actor = self.rules_actor.clone();
        tokio::spawn(async move {
            if actor.send(UpdateRules(accepted)).await.is_err() {
                log::debug!("configuration owner has stopped; accepted version not announced");
            }
        });
    }
}
