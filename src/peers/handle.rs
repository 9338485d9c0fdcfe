//! What the daemon holds of the mesh.

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

/// Peers that are asked for the rules at most.
const MAX_FETCH_PEERS: usize = 4;

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer is not a known member; the request was not sent.
    #[error("peer is unknown")]
    Unknown,
    /// The request was surely not sent.
    #[error("peer is unreachable")]
    Unreachable,
    /// The request was sent and not answered in time.
    #[error("peer did not answer")]
    NoAnswer,
    /// Too many requests to peers are open; the request was not sent.
    #[error("too many open requests to peers")]
    Overload,
    /// The mesh has stopped.
    #[error("mesh has stopped")]
    Stopped,
}

/// A request of a peer, for the daemon to answer.
#[derive(Debug)]
pub struct Inbound {
    /// Peer that asks.
    pub from: String,
    /// What it asks.
    pub request: Request,
}

/// Kinds of requests, each with the way back; dropping it leaves the peer without an answer.
#[derive(Debug)]
pub enum Request {
    /// A demand for a model; a repeat carries the same id and must be harmless.
    Model(ModelRequest, oneshot::Sender<ModelReply>),
    /// A demand for the text of the rules.
    Rules(RulesFetch, oneshot::Sender<RulesText>),
}

/// Request to send to a peer, with the time that it may take.
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

/// Models whose loads this instance wants.
#[derive(Debug)]
pub(super) struct SetSubscriptions(pub(super) BTreeSet<String>);

/// Version of the rules that this instance put in force.
#[derive(Debug)]
pub(super) struct AnnounceRules(pub(super) RulesVersion);

/// This instance stops.
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
    /// Live instances by name, this one among them unless it is leaving.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<BTreeMap<String, Member>> {
        self.members.clone()
    }

    /// The peer that is owner of a key; none where this instance is, or knows no other.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<String> {
        let owners = self.owners.borrow();
        owners.owner(key).filter(|name| **name != self.me).cloned()
    }

    /// Newest version of the rules that any instance is known to have; it never goes down.
    #[must_use]
    pub fn rules(&self) -> watch::Receiver<RulesVersion> {
        self.rules.clone()
    }

    /// Loads of the subscribed models.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// Control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> TrafficCount {
        self.traffic.count()
    }

    /// Publishes the loads of a server that this instance polls.
    ///
    /// Call it after each poll, also when nothing changed: only changes are sent, and a load
    /// that is not refreshed is dropped by those who hold it.
    pub async fn publish(&self, delta: FleetDelta) {
        drop(self.mesh.send(PublishLoads(delta)).await);
    }

    /// Sets the models whose loads this instance wants to hear of.
    pub async fn set_subscriptions(&self, models: BTreeSet<String>) {
        drop(self.mesh.send(SetSubscriptions(models)).await);
    }

    /// Says that this instance has a version of the rules in force; a lower one is ignored.
    pub async fn announce_rules(&self, version: u64, digest: String) {
        let version = RulesVersion { version, digest };
        drop(self.mesh.send(AnnounceRules(version)).await);
    }

    /// Tells all instances that this one stops; it leaves the live members at once.
    ///
    /// Requests are still answered until the handle is dropped.
    pub async fn leave(&self) {
        drop(self.mesh.send(Leave).await);
    }

    /// Asks a peer for a model.
    ///
    /// A request on a silent connection is sent again on a fresh one, with the same id.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] where the peer may have seen the demand, the other variants where
    /// it surely has not.
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

    /// Fetches the text of the rules, of at least a version, from peers that have it in force.
    ///
    /// The text is checked against its digest.
    ///
    /// # Errors
    ///
    /// That of the last peer asked; [`PeerError::Unknown`] where no live peer has the version.
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
