//! Handle through which the daemon uses the mesh, and the messages it sends to the actor.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::{oneshot, watch};
use xtra::Address;

use super::fleet::{Fleet, FleetDelta};
use super::mesh::Mesh;
use super::message::{Body, ModelReply, ModelRequest, RulesFetch, RulesText, RulesVersion};
use super::traffic::{Traffic, TrafficCount};
use crate::members::Member;
use crate::ownership::Owners;

/// Most peers that one fetch of the rules asks.
const MAX_FETCH_PEERS: usize = 4;

/// Error of a request to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer is not a known member; the request was not sent.
    #[error("peer is unknown")]
    Unknown,
    /// The request could not be sent in time.
    #[error("peer is unreachable")]
    Unreachable,
    /// The request was sent, but no valid answer came in time.
    #[error("peer did not answer")]
    NoAnswer,
    /// Too many requests to peers are pending; the request was not sent.
    #[error("too many open requests to peers")]
    Overload,
    /// The mesh has stopped.
    #[error("mesh has stopped")]
    Stopped,
}

/// A request received from a peer, to be answered by the daemon.
#[derive(Debug)]
pub struct Inbound {
    /// Peer that sent it.
    pub from: String,
    /// The request.
    pub request: Request,
}

/// Kinds of requests, each with its reply channel; if that is dropped, no answer is sent.
#[derive(Debug)]
pub enum Request {
    /// A request for a model; a retry carries the same id and must be idempotent.
    Model(ModelRequest, oneshot::Sender<ModelReply>),
    /// A request for the text of the rules.
    Rules(RulesFetch, oneshot::Sender<RulesText>),
}

/// Request to send to a peer, with its timeout.
#[derive(Debug)]
pub(super) struct PeerCall {
    pub(super) peer: String,
    pub(super) body: Body,
    pub(super) timeout: Duration,
    pub(super) reply: oneshot::Sender<Result<Body, PeerError>>,
}

/// Loads of a polled server to publish.
#[derive(Debug)]
pub(super) struct PublishLoads(pub(super) FleetDelta);

/// Models to whose loads this instance subscribes.
#[derive(Debug)]
pub(super) struct SetSubscriptions(pub(super) BTreeSet<String>);

/// Version of the rules that came into force at this instance.
#[derive(Debug)]
pub(super) struct AnnounceRules(pub(super) RulesVersion);

/// Marks this instance as leaving.
#[derive(Debug)]
pub(super) struct Leave;

/// Handle of a running [`Mesh`]; the mesh stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct MeshHandle {
    pub(super) me: String,
    pub(super) mesh: Address<Mesh>,
    pub(super) members: watch::Receiver<BTreeMap<String, Member>>,
    pub(super) owners: watch::Receiver<Arc<Owners>>,
    pub(super) rules: watch::Receiver<RulesVersion>,
    pub(super) fleet: watch::Receiver<Arc<Fleet>>,
    pub(super) traffic: Traffic,
}

impl MeshHandle {
    /// Returns the live instances by name, this one included unless it is leaving.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<BTreeMap<String, Member>> {
        self.members.clone()
    }

    /// Returns the peer that owns a key; `None` if this instance owns it or none is live.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<String> {
        let owners = self.owners.borrow();
        owners.owner(key).filter(|name| **name != self.me).cloned()
    }

    /// Returns the newest version of the rules known at any instance; it never decreases.
    #[must_use]
    pub fn rules(&self) -> watch::Receiver<RulesVersion> {
        self.rules.clone()
    }

    /// Returns the loads of the subscribed models.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// Returns the control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> TrafficCount {
        self.traffic.count()
    }

    /// Publishes the loads of a server that this instance polls.
    ///
    /// Call it after each poll, also when nothing changed: unchanged loads are sent only to
    /// refresh them, and peers drop a load that is not refreshed.
    pub async fn publish(&self, delta: FleetDelta) {
        drop(self.mesh.send(PublishLoads(delta)).await);
    }

    /// Sets the models to whose loads this instance subscribes.
    pub async fn set_subscriptions(&self, models: BTreeSet<String>) {
        drop(self.mesh.send(SetSubscriptions(models)).await);
    }

    /// Announces the version of the rules in force at this instance; ignores a lower one.
    pub async fn announce_rules(&self, version: u64, digest: String) {
        let version = RulesVersion { version, digest };
        drop(self.mesh.send(AnnounceRules(version)).await);
    }

    /// Announces that this instance is leaving; it stops being a live member at once.
    ///
    /// Requests from peers are still answered until the handle is dropped.
    pub async fn leave(&self) {
        drop(self.mesh.send(Leave).await);
    }

    /// Requests a model from a peer.
    ///
    /// A request on a silent connection is sent again on a new one, with the same id.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] where the peer may have received the request, the other variants
    /// where it has not.
    pub async fn request_model(
        &self,
        peer: &str,
        request: ModelRequest,
        timeout: Duration,
    ) -> Result<ModelReply, PeerError> {
        match self
            .call(peer, Body::ModelRequest(request), timeout)
            .await?
        {
            Body::ModelReply(reply) => Ok(reply),
            _ => Err(PeerError::NoAnswer),
        }
    }

    /// Fetches the text of the rules, of at least a version, from peers where it is in force.
    ///
    /// The digest of the text is verified.
    ///
    /// # Errors
    ///
    /// The error of the last peer asked; [`PeerError::Unknown`] where no live peer has the version.
    pub async fn fetch_rules(
        &self,
        version: u64,
        timeout: Duration,
    ) -> Result<RulesText, PeerError> {
        let mut holders: Vec<String> = self
            .members
            .borrow()
            .values()
            .filter(|member| member.rules >= version)
            .map(|member| member.name.clone())
            .collect();
        holders.shuffle(&mut rand::rng());
        let mut outcome = Err(PeerError::Unknown);
        for peer in holders.iter().take(MAX_FETCH_PEERS) {
            outcome = self.fetch_from(peer, version, timeout).await;
            if outcome.is_ok() {
                break;
            }
        }
        outcome
    }

    async fn fetch_from(
        &self,
        peer: &str,
        version: u64,
        timeout: Duration,
    ) -> Result<RulesText, PeerError> {
        let fetch = Body::RulesFetch(RulesFetch { version });
        match self.call(peer, fetch, timeout).await? {
            Body::RulesText(text) if text.version >= version && digest_matches(&text) => Ok(text),
            _ => Err(PeerError::NoAnswer),
        }
    }

    async fn call(&self, peer: &str, body: Body, timeout: Duration) -> Result<Body, PeerError> {
        let (reply, answer) = oneshot::channel();
        let call = PeerCall {
            peer: peer.to_string(),
            body,
            timeout,
            reply,
        };
        let sent = self.mesh.send(call).await;
        sent.map_err(|_stopped| PeerError::Stopped)?;
        answer.await.unwrap_or(Err(PeerError::Stopped))
    }
}

fn digest_matches(text: &RulesText) -> bool {
    blake3::hash(text.text.as_bytes()).to_hex().as_str() == text.digest
}
