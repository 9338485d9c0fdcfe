//! Periodic work of the mesh: heartbeats, dials, replacement of links, pending requests.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{MissedTickBehavior, interval, timeout};
use xtra::WeakAddress;

use super::dial::{DialError, dial};
use super::handle::PeerError;
use super::link::{Link, LinkId};
use super::mesh::{Backoff, Mesh};
use super::message::{Body, FleetUpdate, Heartbeat, MemberUpdate, Members};
use crate::instances::{Directory, Listed};
use crate::members::MemberState;

/// Shortest time between two batches of member changes on one link.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Most members in one message.
const MAX_BATCH_MEMBERS: usize = 1000;

/// Time for which a peer's view may differ before all members are sent to it.
const RESYNC_AFTER: Duration = Duration::from_secs(3);

/// Interval at which subscriptions are sent again.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(10);

/// Delay after a subscription that could not be sent.
const SUBSCRIBE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which one of the dead members is dialed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which two links to one peer may coexist.
const DUPLICATE_GRACE: Duration = Duration::from_secs(5);

/// Delay after the first failed dial; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Most doublings of the delay after a failed dial.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Time limit for reading the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The periodic maintenance is due.
#[derive(Debug)]
pub(super) struct Tick;

/// The instance list read from the platform.
#[derive(Debug)]
pub(super) struct InstanceList(pub(super) Vec<Listed>);

pub(super) async fn tick(every: Duration, mesh: WeakAddress<Mesh>) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if mesh.send(Tick).await.is_err() {
            return;
        }
    }
}

pub(super) async fn poll_instances(
    directory: Arc<dyn Directory>,
    every: Duration,
    mesh: WeakAddress<Mesh>,
) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match timeout(LIST_TIMEOUT, directory.list()).await {
            Ok(Ok(list)) => {
                if mesh.send(InstanceList(list)).await.is_err() {
                    return;
                }
            }
            Ok(Err(error)) => log::debug!("{error}"),
            Err(_) => log::debug!("reading the instance list timed out"),
        }
    }
}

impl Mesh {
    pub(super) fn maintain(&mut self) {
        let now = self.clock.now();
        self.drop_silent_links(now);
        let changed = self.roster.tick(&self.neighbours.near, now);
        self.propagate(&changed, None);
        self.dial_neighbours(now);
        self.close_redundant_links(now);
        self.probe_dead(now);
        self.send_heartbeats(now);
        self.flush(now);
        self.send_loads(now);
        self.expire_calls(now);
        self.resend();
    }

    /// Sends the member changes that are due.
    pub(super) fn flush(&mut self, now: Duration) {
        for link in self.links.values_mut() {
            if link.unsent_members.is_empty()
                || now.saturating_sub(link.last_flush) < FLUSH_INTERVAL
            {
                continue;
            }
            let names: Vec<String> = link
                .unsent_members
                .iter()
                .take(MAX_BATCH_MEMBERS)
                .cloned()
                .collect();
            let known = names.iter().filter_map(|name| self.roster.get(name));
            let members: Vec<MemberUpdate> = known.map(MemberUpdate::from).collect();
            if link.send(Body::Members(Members { members }).into()) {
                link.unsent_members
                    .retain(|name| names.binary_search(name).is_err());
                link.last_flush = now;
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, id: LinkId, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        let same = heartbeat.digest == self.digest;
        let known = self.rules.borrow().clone();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.received_sequence = link.received_sequence.max(heartbeat.sequence);
        if heartbeat.echo > link.echoed_sequence {
            link.echoed_sequence = heartbeat.echo;
            link.last_echo = now;
        }
        if heartbeat.rules < known.version {
            link.send(Body::Rules(known).into());
        }
        if same || !self.neighbours.contains(&link.peer) {
            link.diverged_since = None;
        } else if now.saturating_sub(*link.diverged_since.get_or_insert(now)) > RESYNC_AFTER {
            link.diverged_since = Some(now);
            link.unsent_members = self.roster.all().map(|m| m.name.clone()).collect();
        }
    }

    pub(super) fn drop_link(&mut self, id: LinkId) {
        self.links.remove(&id);
        for pending in self.pending.values_mut() {
            if pending.sent.is_some_and(|(link, _)| link == id) {
                pending.sent = None;
            }
        }
    }

    pub(super) fn dial_failed(&mut self, peer: &str, error: DialError) {
        let now = self.clock.now();
        let jitter = self.rng.random_range(0.5..1.0);
        let backoff = self.dials.entry(peer.to_string()).or_default();
        let pause = INITIAL_BACKOFF * 2_u32.pow(backoff.failures.min(MAX_BACKOFF_DOUBLINGS));
        *backoff = Backoff {
            dialing: false,
            failures: backoff.failures + 1,
            retry_at: now + pause.mul_f64(jitter),
        };
        let linked = self.links.values().any(|link| link.peer == peer);
        if error == DialError::Refused && !linked && self.roster.suspect(peer, now) {
            self.propagate(&[peer.to_string()], None);
        }
    }

    /// Sends the pending requests that are on no link; dials their peers where there is none.
    pub(super) fn resend(&mut self) {
        let now = self.clock.now();
        let mut missing = Vec::new();
        for pending in self.pending.values_mut().filter(|p| p.sent.is_none()) {
            let links = self
                .links
                .iter_mut()
                .filter(|(_, l)| l.peer == pending.peer);
            let newest = links.max_by_key(|(_, link)| link.opened);
            match newest {
                Some((id, link)) if link.send(pending.frame.clone()) => {
                    link.last_used = now;
                    pending.sent = Some((*id, now));
                    pending.was_sent = true;
                }
                Some(_) => {}
                None => missing.push(pending.peer.clone()),
            }
        }
        for peer in missing {
            self.dial(&peer, now);
        }
    }

    /// Dials a peer unless a dial is in progress or its backoff has not elapsed.
    fn dial(&mut self, peer: &str, now: Duration) {
        let Some(member) = self.roster.get(peer) else {
            return;
        };
        let address = member.address;
        let backoff = self.dials.entry(peer.to_string()).or_default();
        if backoff.dialing || now < backoff.retry_at {
            return;
        }
        backoff.dialing = true;
        let hello = self.hello();
        let mesh = self.address.clone();
        let traffic = self.traffic.clone();
        tokio::spawn(dial(peer.to_string(), address, hello, mesh, traffic));
    }

    /// Closes silent links, so that new ones replace them.
    fn drop_silent_links(&mut self, now: Duration) {
        let settings = self.settings;
        let limit = |link: &Link| {
            let near = self.neighbours.near.contains(&link.peer);
            let interval = if near {
                settings.heartbeat
            } else {
                settings.slow_heartbeat
            };
            interval * settings.missed_heartbeats + interval / 2
        };
        let silent: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.silence(now) > limit(link))
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.drop_link(id);
        }
    }

    /// Dials neighbours without a link.
    ///
    /// The instance with the greater name delays its first dial, which avoids duplicate links.
    fn dial_neighbours(&mut self, now: Duration) {
        let me = self.roster.me().name.clone();
        let wanted = self.neighbours.near.iter().chain(&self.neighbours.far);
        let missing: Vec<String> = wanted
            .filter(|peer| !self.links.values().any(|link| link.peer == **peer))
            .cloned()
            .collect();
        for peer in missing {
            let first = !self.dials.contains_key(&peer);
            if me > peer && first {
                let retry_at = now + self.settings.heartbeat / 2;
                let wait = Backoff {
                    retry_at,
                    ..Backoff::default()
                };
                self.dials.insert(peer, wait);
                continue;
            }
            self.dial(&peer, now);
        }
        self.dials
            .retain(|peer, backoff| backoff.dialing || self.roster.get(peer).is_some());
    }

    /// Closes dialed links that are unused or duplicates of another link to the same peer.
    fn close_redundant_links(&mut self, now: Duration) {
        let me = &self.roster.me().name;
        let redundant = |id: &LinkId, link: &Link| {
            let duplicate = |(i, l): (&LinkId, &Link)| {
                let preferred = if l.dialed { i > id } else { *me > l.peer };
                l.peer == link.peer && i != id && preferred && now >= l.opened + DUPLICATE_GRACE
            };
            let idle = now.saturating_sub(link.last_used) > self.settings.idle_timeout;
            let unused = idle && !self.neighbours.contains(&link.peer);
            link.dialed && (unused || self.links.iter().any(duplicate))
        };
        let closing: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(id, link)| redundant(id, link))
            .map(|(id, _)| *id)
            .collect();
        for id in closing {
            self.drop_link(id);
        }
    }

    /// Dials a random dead member, so that the sides of a network partition reconnect.
    fn probe_dead(&mut self, now: Duration) {
        if now < self.probe_due {
            return;
        }
        self.probe_due = now + PROBE_INTERVAL;
        let dead: Vec<String> = self
            .roster
            .all()
            .filter(|member| member.state == MemberState::Dead)
            .map(|member| member.name.clone())
            .collect();
        if !dead.is_empty() {
            let index = self.rng.random_range(0..dead.len());
            self.dial(&dead[index], now);
        }
    }

    fn send_heartbeats(&mut self, now: Duration) {
        let digest = self.digest;
        let rules = self.rules.borrow().version;
        for link in self.links.values_mut() {
            let near = self.neighbours.near.contains(&link.peer);
            let every = if near {
                self.settings.heartbeat
            } else {
                self.settings.slow_heartbeat
            };
            if link.sent_sequence > 0 && now.saturating_sub(link.last_heartbeat) < every {
                continue;
            }
            link.sent_sequence += 1;
            link.last_heartbeat = now;
            let heartbeat = Heartbeat {
                sequence: link.sent_sequence,
                echo: link.received_sequence,
                digest,
                rules,
            };
            link.send(Body::Heartbeat(heartbeat).into());
        }
    }

    fn send_loads(&mut self, now: Duration) {
        self.fleet.expire(now);
        if let Some(view) = self.fleet.changed_view() {
            self.loads_view.send_replace(Arc::new(view));
        }
        if now >= self.subscriptions_due {
            self.subscriptions_due = now + SUBSCRIBE_INTERVAL;
            for (peer, update) in self.fleet.subscriptions(&self.live) {
                self.send_update(&peer, update, now);
            }
        }
        for (peer, update) in self.fleet.take_updates(&self.live) {
            self.send_update(&peer, update, now);
        }
    }

    fn send_update(&mut self, peer: &str, update: FleetUpdate, now: Duration) {
        let link = self.links.values_mut().filter(|link| link.peer == peer);
        let Some(link) = link.max_by_key(|link| link.opened) else {
            if !update.subscriptions.is_empty() {
                self.subscriptions_due = self.subscriptions_due.min(now + SUBSCRIBE_RETRY_DELAY);
            }
            self.fleet.requeue(peer, update);
            self.dial(peer, now);
            return;
        };
        link.last_used = now;
        if !link.send(Body::Fleet(update.clone()).into()) {
            self.fleet.requeue(peer, update);
        }
    }

    /// Fails overdue or abandoned requests, and closes silent links so that others are sent again.
    fn expire_calls(&mut self, now: Duration) {
        let ended: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline || pending.reply.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in ended {
            if let Some(pending) = self.pending.remove(&call) {
                let error = if pending.was_sent {
                    PeerError::NoAnswer
                } else {
                    PeerError::Unreachable
                };
                drop(pending.reply.send(Err(error)));
            }
        }
        let silent: Vec<LinkId> = self
            .pending
            .values()
            .filter_map(|p| p.sent.filter(|(_, at)| now >= *at + p.resend_after))
            .filter(|(id, at)| {
                self.links
                    .get(id)
                    .is_some_and(|link| link.last_received < *at)
            })
            .map(|(id, _)| id)
            .collect();
        for id in silent {
            self.drop_link(id);
        }
    }
}
