//! Processing of new connections and received frames by the mesh.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::codec::Frames;
use super::handle::{Inbound, Request};
use super::link::{Connection, Link, LinkId};
use super::mesh::Mesh;
use super::message::{
    Body, Frame, Hello, MemberUpdate, Members, ModelReply, ModelRequest, RulesFetch,
};
use crate::members::Member;
use crate::verdict::Cause;

/// Most requests from peers that the daemon processes at a time.
const MAX_RUNNING_REQUESTS: usize = 1024;

/// Time limit for the daemon's answer to a request from a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(2);

/// Answer of the daemon to a request from a peer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) link: LinkId,
    pub(super) call: u64,
    pub(super) body: Body,
}

impl Mesh {
    /// Adds a link for a connection whose peer has sent its hello.
    pub(super) fn add_link(&mut self, frames: Frames, hello: Hello, dialed: bool) {
        let now = self.clock.now();
        let update = hello.member.and_then(MemberUpdate::into_member);
        let Some(member) = update.filter(|m| m.name != self.roster.me().name) else {
            return;
        };
        self.last_link += 1;
        let id = LinkId(self.last_link);
        let conn = Connection {
            frames,
            mesh: self.address.clone(),
            traffic: self.traffic.clone(),
        };
        let peer = member.name.clone();
        let mut link = Link::open(id, peer.clone(), dialed, conn, now);
        if !dialed {
            link.send(Body::Hello(self.hello()).into());
        }
        let sync_members = self.neighbours.contains(&peer) || !self.live.contains(&peer);
        let known = self.roster.get(&peer).map_or(0, |m| m.incarnation);
        let outdated = member.incarnation < known;
        let changed = self.roster.merge(member, now);
        if !outdated {
            self.roster.mark_heard(&peer, now);
        }
        if sync_members && hello.digest != self.roster.digest() {
            link.unsent_members = self.roster.all().map(|m| m.name.clone()).collect();
        }
        let known = self.rules.borrow().clone();
        if known.version > 0 {
            link.send(Body::Rules(known).into());
        }
        self.links.insert(id, link);
        if changed {
            self.propagate(&[peer], Some(id));
        }
        self.resend();
        self.flush(now);
    }

    /// Processes a received frame.
    pub(super) fn receive(&mut self, id: LinkId, frame: Frame) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.last_received = now;
        let peer = link.peer.clone();
        self.roster.mark_heard(&peer, now);
        let Some(body) = frame.body else {
            return;
        };
        if !matches!(body, Body::Heartbeat(_)) {
            link.last_used = now;
        }
        match body {
            Body::Hello(_) => {}
            Body::Heartbeat(heartbeat) => self.on_heartbeat(id, &heartbeat),
            Body::Members(members) => self.on_members(id, members, now),
            Body::Rules(version) => self.adopt_rules(&version, Some(id)),
            Body::Fleet(update) => {
                self.fleet.subscribe(&peer, update.subscriptions, now);
                for load in &update.loads {
                    self.fleet.apply_load(load, now);
                }
            }
            Body::ModelRequest(demand) => self.on_model_request(id, frame.call, peer, demand),
            Body::RulesFetch(fetch) => self.on_rules_fetch(id, frame.call, peer, fetch),
            Body::ModelReply(_) | Body::RulesText(_) => self.on_reply(frame.call, &peer, body),
        }
    }

    fn on_members(&mut self, id: LinkId, members: Members, now: Duration) {
        let updates = members.members.into_iter();
        let changed: Vec<String> = updates
            .filter_map(MemberUpdate::into_member)
            .filter_map(|member: Member| {
                let name = member.name.clone();
                self.roster.merge(member, now).then_some(name)
            })
            .collect();
        let refuted = changed.contains(&self.roster.me().name);
        self.propagate(&changed, (!refuted).then_some(id));
    }

    fn on_rules_fetch(&self, id: LinkId, call: u64, from: String, fetch: RulesFetch) {
        let (reply, answer) = oneshot::channel();
        let request = Request::Rules(fetch, reply);
        if self.enqueue_request(Inbound { from, request }) {
            self.spawn_answer(id, call, async { answer.await.ok().map(Body::RulesText) });
        }
    }

    fn on_reply(&mut self, call: u64, peer: &str, body: Body) {
        if self.pending.get(&call).is_none_or(|p| p.peer != *peer) {
            return;
        }
        if let Some(pending) = self.pending.remove(&call) {
            drop(pending.reply.send(Ok(body)));
        }
    }

    fn on_model_request(&mut self, id: LinkId, call: u64, from: String, demand: ModelRequest) {
        let (reply, answer) = oneshot::channel();
        let request = Request::Model(demand, reply);
        if self.enqueue_request(Inbound { from, request }) {
            self.spawn_answer(id, call, async { answer.await.ok().map(Body::ModelReply) });
            return;
        }
        let refusal = ModelReply {
            cause: Cause::Overload.to_string(),
            ..ModelReply::default()
        };
        self.answer(id, call, Body::ModelReply(refusal));
    }

    /// Queues a request for the daemon; returns `false` if the daemon has too many.
    fn enqueue_request(&self, inbound: Inbound) -> bool {
        Arc::strong_count(&self.answer_slots) <= MAX_RUNNING_REQUESTS
            && self.inbound.try_send(inbound).is_ok()
    }

    fn spawn_answer(
        &self,
        link: LinkId,
        call: u64,
        answer: impl Future<Output = Option<Body>> + Send + 'static,
    ) {
        let mesh = self.address.clone();
        let slot = Arc::clone(&self.answer_slots);
        tokio::spawn(async move {
            if let Ok(Some(body)) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
                drop(mesh.send(Answer { link, call, body }).detach().await);
            }
            drop(slot);
        });
    }

    /// Sends the answer to a request from a peer, if its link is still open.
    pub(super) fn answer(&self, link: LinkId, call: u64, body: Body) {
        let body = Some(body);
        if let Some(link) = self.links.get(&link) {
            link.send(Frame { call, body });
        }
    }
}
