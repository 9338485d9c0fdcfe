//! Regular work of the mesh: heartbeats, dials, replaced links, open requests.

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

/// Members in one message at most.
const BATCH: usize = 1000;

/// Time for which views may differ before all members are sent.
const DIFFERENCE: Duration = Duration::from_secs(3);

/// Interval at which subscriptions are sent again.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(10);

/// Pause after a subscription that could not be sent.
const SUBSCRIBE_RETRY: Duration = Duration::from_millis(500);

/// Interval at which a member that is held for dead is dialed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which two links to one peer may stand beside each other.
const DOUBLE_LINK: Duration = Duration::from_secs(5);

/// Pause after the first failed dial; it doubles with each that follows.
const BACKOFF: Duration = Duration::from_millis(100);

/// Doublings of the pause at most.
const DOUBLINGS: u32 = 5;

/// Longest time for reading the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The upkeep is due.
#[derive(Debug)]
pub(super) struct Tick;

/// What the platform lists.
#[derive(Debug)]
pub(super) struct Seeded(pub(super) Vec<Listed>);

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

pub(super) async fn poll_list(
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
                if mesh.send(Seeded(list)).await.is_err() {
                    return;
                }
            }
            Ok(Err(error)) => log::debug!("{error}"),
            Err(_) => log::debug!("instance list did not answer in time"),
        }
    }
}

impl Mesh {
    pub(super) fn upkeep(&mut self) {
        let now = self.clock.now();
        self.replace_silent(now);
        let changed = self.roster.tick(&self.ring.near, now);
        self.spread(&changed, None);
        self.keep_neighbours(now);
        self.close_spare(now);
        self.probe_dead(now);
        self.heartbeats(now);
        self.flush(now);
        self.send_fleet(now);
        self.expire_asks(now);
        self.resend();
    }

    /// Sends the member changes that are due.
    pub(super) fn flush(&mut self, now: Duration) {
        for link in self.links.values_mut() {
            if link.dirty.is_empty() || now.saturating_sub(link.flushed) < FLUSH_INTERVAL {
                continue;
            }
            let names: Vec<String> = link.dirty.iter().take(BATCH).cloned().collect();
            let known = names.iter().filter_map(|name| self.roster.get(name));
            let members: Vec<MemberUpdate> = known.map(MemberUpdate::from).collect();
            if link.send(Body::Members(Members { members }).into()) {
                link.dirty.retain(|name| names.binary_search(name).is_err());
                link.flushed = now;
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, id: LinkId, beat: &Heartbeat) {
        let now = self.clock.now();
        let same = beat.digest == self.digest;
        let known = self.rules.borrow().clone();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.received = link.received.max(beat.sequence);
        if beat.echo > link.echo {
            link.echo = beat.echo;
            link.echoed = now;
        }
        if beat.rules < known.version {
            link.send(Body::Rules(known).into());
        }
        if same || !self.ring.contains(&link.peer) {
            link.differs = None;
        } else if now.saturating_sub(*link.differs.get_or_insert(now)) > DIFFERENCE {
            link.differs = Some(now);
            link.dirty = self.roster.all().map(|m| m.name.clone()).collect();
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
        let pause = BACKOFF * 2_u32.pow(backoff.failures.min(DOUBLINGS));
        *backoff = Backoff {
            busy: false,
            failures: backoff.failures + 1,
            next: now + pause.mul_f64(jitter),
        };
        let linked = self.links.values().any(|link| link.peer == peer);
        if error == DialError::Refused && !linked && self.roster.suspect(peer, now) {
            self.spread(&[peer.to_string()], None);
        }
    }

    /// Sends the open requests that are on no link, dialing their peers where there is none.
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
                    link.used = now;
                    pending.sent = Some((*id, now));
                    pending.tried = true;
                }
                Some(_) => {}
                None => missing.push(pending.peer.clone()),
            }
        }
        for peer in missing {
            self.dial(&peer, now);
        }
    }

    /// Dials a peer unless a dial is under way or has just failed.
    fn dial(&mut self, peer: &str, now: Duration) {
        let Some(member) = self.roster.get(peer) else {
            return;
        };
        let address = member.address;
        let backoff = self.dials.entry(peer.to_string()).or_default();
        if backoff.busy || now < backoff.next {
            return;
        }
        backoff.busy = true;
        let hello = self.hello();
        let mesh = self.address.clone();
        let traffic = self.traffic.clone();
        tokio::spawn(dial(peer.to_string(), address, hello, mesh, traffic));
    }

    /// Closes links on which nothing is heard, so that new ones take their place.
    fn replace_silent(&mut self, now: Duration) {
        let settings = self.settings;
        let limit = |link: &Link| {
            let both = self.ring.near.contains(&link.peer);
            let beat = if both { settings.beat } else { settings.slow };
            beat * settings.misses + beat / 2
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

    /// Dials neighbours without a link; the one with the lower name goes first.
    fn keep_neighbours(&mut self, now: Duration) {
        let me = self.roster.me().name.clone();
        let wanted = self.ring.near.iter().chain(&self.ring.far);
        let missing: Vec<String> = wanted
            .filter(|peer| !self.links.values().any(|link| link.peer == **peer))
            .cloned()
            .collect();
        for peer in missing {
            let first = !self.dials.contains_key(&peer);
            if me > peer && first {
                let next = now + self.settings.beat / 2;
                let wait = Backoff {
                    next,
                    ..Backoff::default()
                };
                self.dials.insert(peer, wait);
                continue;
            }
            self.dial(&peer, now);
        }
        self.dials
            .retain(|peer, backoff| backoff.busy || self.roster.get(peer).is_some());
    }

    /// Closes links that are unused or doubled.
    fn close_spare(&mut self, now: Duration) {
        let me = &self.roster.me().name;
        let spare = |id: &LinkId, link: &Link| {
            let other = |(i, l): (&LinkId, &Link)| {
                let better = if l.dialed { i > id } else { *me > l.peer };
                l.peer == link.peer && i != id && better && now >= l.opened + DOUBLE_LINK
            };
            let idle = now.saturating_sub(link.used) > self.settings.idle;
            let unused = idle && !self.ring.contains(&link.peer);
            link.dialed && (unused || self.links.iter().any(other))
        };
        let closing: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(id, link)| spare(id, link))
            .map(|(id, _)| *id)
            .collect();
        for id in closing {
            self.drop_link(id);
        }
    }

    /// Dials one of the members held for dead, so that parted sides find each other again.
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
            let pick = self.rng.random_range(0..dead.len());
            self.dial(&dead[pick], now);
        }
    }

    fn heartbeats(&mut self, now: Duration) {
        let digest = self.digest;
        let rules = self.rules.borrow().version;
        for link in self.links.values_mut() {
            let near = self.ring.near.contains(&link.peer);
            let every = if near {
                self.settings.beat
            } else {
                self.settings.slow
            };
            if link.sequence > 0 && now.saturating_sub(link.beat) < every {
                continue;
            }
            link.sequence += 1;
            link.beat = now;
            let beat = Heartbeat {
                sequence: link.sequence,
                echo: link.received,
                digest,
                rules,
            };
            link.send(Body::Heartbeat(beat).into());
        }
    }

    fn send_fleet(&mut self, now: Duration) {
        self.fleet.expire(now);
        if let Some(view) = self.fleet.changed_view() {
            self.views.send_replace(Arc::new(view));
        }
        if now >= self.subscriptions_due {
            self.subscriptions_due = now + SUBSCRIBE_INTERVAL;
            for (peer, update) in self.fleet.subscriptions(&self.live) {
                self.send_update(&peer, update, now);
            }
        }
        for (peer, update) in self.fleet.drain(&self.live) {
            self.send_update(&peer, update, now);
        }
    }

    fn send_update(&mut self, peer: &str, update: FleetUpdate, now: Duration) {
        let link = self.links.values_mut().filter(|link| link.peer == peer);
        let Some(link) = link.max_by_key(|link| link.opened) else {
            if !update.subscriptions.is_empty() {
                self.subscriptions_due = self.subscriptions_due.min(now + SUBSCRIBE_RETRY);
            }
            self.fleet.restore(peer, update);
            self.dial(peer, now);
            return;
        };
        link.used = now;
        if !link.send(Body::Fleet(update.clone()).into()) {
            self.fleet.restore(peer, update);
        }
    }

    /// Ends requests whose time is up, and takes others off links that went quiet.
    fn expire_asks(&mut self, now: Duration) {
        let over: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.expires || pending.reply.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in over {
            if let Some(pending) = self.pending.remove(&call) {
                let error = if pending.tried {
                    PeerError::NoAnswer
                } else {
                    PeerError::Unreachable
                };
                drop(pending.reply.send(Err(error)));
            }
        }
        let quiet: Vec<LinkId> = self
            .pending
            .values()
            .filter_map(|p| p.sent.filter(|(_, at)| now >= *at + p.resend))
            .filter(|(id, at)| self.links.get(id).is_some_and(|link| link.heard < *at))
            .map(|(id, _)| id)
            .collect();
        for id in quiet {
            self.drop_link(id);
        }
    }
}
