//! Message handlers of the mesh actor.

use std::time::Duration;

use xtra::{Context, Handler};

use super::dial::{Accepted, DialError, Dialed};
use super::handle::{AnnounceRules, Leave, PeerCall, PeerError, PublishLoads, SetSubscriptions};
use super::link::{FrameReceived, LinkClosed};
use super::maintenance::{InstanceList, Tick};
use super::mesh::{Mesh, PendingCall};
use super::message::Frame;
use super::receive::Answer;

/// Most pending requests to peers.
const MAX_PENDING_CALLS: usize = 4096;

/// Time after which a request on a link that went silent is sent again on a new link.
const RESEND_AFTER: Duration = Duration::from_secs(1);

impl Handler<Accepted> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: Accepted, _: &mut Context<Self>) {
        self.add_link(message.frames, message.hello, false);
    }
}

impl Handler<Dialed> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: Dialed, _: &mut Context<Self>) {
        let result = message.result.map(|(frames, hello)| {
            let name = hello.member.as_ref().map(|m| m.name.clone());
            self.add_link(frames, hello, true);
            name
        });
        match result {
            Ok(name) if name.as_ref() == Some(&message.peer) => {
                self.dials.remove(&message.peer);
            }
            Ok(_) => self.dial_failed(&message.peer, DialError::Refused),
            Err(error) => self.dial_failed(&message.peer, error),
        }
    }
}

impl Handler<FrameReceived> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: FrameReceived, _: &mut Context<Self>) {
        self.receive(message.link, message.frame);
    }
}

impl Handler<LinkClosed> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: LinkClosed, _: &mut Context<Self>) {
        self.drop_link(message.0);
    }
}

impl Handler<Tick> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.maintain();
    }
}

impl Handler<InstanceList> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: InstanceList, _: &mut Context<Self>) {
        let changed = self.roster.merge_list(&message.0, self.clock.now());
        self.propagate(&changed, None);
    }
}

impl Handler<Answer> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: Answer, _: &mut Context<Self>) {
        self.answer(message.link, message.call, message.body);
    }
}

impl Handler<PeerCall> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: PeerCall, _: &mut Context<Self>) {
        let refusal =
            if message.peer == self.roster.me().name || self.roster.get(&message.peer).is_none() {
                Some(PeerError::Unknown)
            } else {
                (self.pending.len() >= MAX_PENDING_CALLS).then_some(PeerError::Overload)
            };
        if let Some(error) = refusal {
            drop(message.reply.send(Err(error)));
            return;
        }
        let now = self.clock.now();
        self.last_call += 1;
        let call = self.last_call;
        let body = Some(message.body);
        let pending = PendingCall {
            peer: message.peer,
            frame: Frame { call, body },
            reply: message.reply,
            sent: None,
            was_sent: false,
            resend_after: RESEND_AFTER.min(message.timeout / 2),
            deadline: now + message.timeout,
        };
        self.pending.insert(call, pending);
        self.resend();
    }
}

impl Handler<PublishLoads> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: PublishLoads, _: &mut Context<Self>) {
        self.fleet.publish(&message.0, &self.live, self.clock.now());
    }
}

impl Handler<SetSubscriptions> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: SetSubscriptions, _: &mut Context<Self>) {
        if self.fleet.set_subscriptions(message.0) {
            self.subscriptions_due = Duration::ZERO;
        }
    }
}

impl Handler<AnnounceRules> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: AnnounceRules, _: &mut Context<Self>) {
        self.adopt_rules(&message.0, None);
        if self.roster.set_rules(message.0.version) {
            let me = self.roster.me().name.clone();
            self.propagate(&[me], None);
        }
    }
}

impl Handler<Leave> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.roster.leave();
        let me = self.roster.me().name.clone();
        self.propagate(&[me], None);
    }
}
