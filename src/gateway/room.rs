//! Room of brittle endpoints, shared by all instances.
//!
//! Endpoints that fall over when they turn too many requests away get no more than they have room for.
//! The lease holder keeps what each of them has ([`ledger`]) and grants permits to instances
//! ([`permits`]). See `docs/design/room.md`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::link::FleetUpdate;
use super::shared::Gateway;
use ledger::{LinkGrants, RoomLedger};
use message::{RoomReport, RoomUpdate};

pub mod ledger;
pub mod message;
pub mod permits;

/// Number of the holder's own instance in the ledger; links are numbered from 1.
const OWN_LINK: u64 = 0;
/// Interval between reports of the holder's own instance to its ledger.
const OWN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which room that comes free by time is granted while requests wait.
const SERVE_INTERVAL: Duration = Duration::from_millis(50);

/// Links of the lease holder to instances that use brittle endpoints, and its ledger.
#[derive(Debug, Default)]
pub struct RoomSharing {
    granting: Mutex<Granting>,
    /// Notified when requests wait in the ledger.
    waiting: Notify,
}

#[derive(Debug, Default)]
struct Granting {
    ledger: RoomLedger,
    links: BTreeMap<u64, mpsc::Sender<FleetUpdate>>,
}

impl RoomSharing {
    fn granting(&self) -> MutexGuard<'_, Granting> {
        self.granting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a report at once; a holder that has lost the lease grants nothing.
    pub(super) fn serve(
        &self,
        gateway: &Gateway,
        link: u64,
        report: &RoomReport,
        updates: &mpsc::Sender<FleetUpdate>,
    ) {
        gateway
            .servers
            .merge_brittle(&report.services, gateway.now());
        let mut granting = self.granting();
        if !gateway.holds_lease() {
            granting.end();
            return;
        }
        granting.links.insert(link, updates.clone());
        let now = gateway.now();
        let grants = granting.ledger.report(link, report, now);
        let has_waits = granting.ledger.has_waits();
        let own = granting.send(grants);
        drop(granting);
        if has_waits {
            self.waiting.notify_one();
        }
        apply_own(gateway, own);
    }

    /// Forgets a link; what its instance has at endpoints counts for a while.
    pub(super) fn close(&self, link: u64, now: Duration) {
        let mut granting = self.granting();
        granting.links.remove(&link);
        granting.ledger.close(link, now);
    }

    /// Reports of the holder's own instance, without a link.
    fn serve_own(&self, gateway: &Gateway, updates: &mpsc::Sender<FleetUpdate>) {
        if let Some(report) = gateway.servers.room_report(gateway.now()) {
            self.serve(gateway, OWN_LINK, &report, updates);
        }
    }

    /// Grants room that has come free by time; returns whether requests still wait.
    fn serve_waiting(&self, gateway: &Gateway) -> bool {
        let mut granting = self.granting();
        if !gateway.holds_lease() {
            granting.end();
            return false;
        }
        let now = gateway.now();
        let grants = granting.ledger.serve(now);
        let has_waits = granting.ledger.has_waits();
        let own = granting.send(grants);
        drop(granting);
        apply_own(gateway, own);
        has_waits
    }
}

fn apply_own(gateway: &Gateway, own: Option<RoomUpdate>) {
    if let Some(update) = own {
        gateway.servers.apply_room(&update, gateway.now());
    }
}

impl Granting {
    fn end(&mut self) {
        if !self.links.is_empty() {
            self.links.clear();
            self.ledger.end_term();
        }
    }

    /// Sends grants to the linked instances; returns those of the holder's own one.
    fn send(&self, grants: LinkGrants) -> Option<RoomUpdate> {
        let mut own = None;
        for (link, grants) in grants {
            let update = RoomUpdate {
                number: self.ledger.number(),
                grants,
            };
            if link == OWN_LINK {
                own = Some(update);
                continue;
            }
            let update = FleetUpdate {
                room: Some(update),
                ..FleetUpdate::default()
            };
            let is_sent = match self.links.get(&link) {
                Some(to) => to.try_send(update).is_ok(),
                None => false,
            };
            if !is_sent {
                log::debug!(link = link; "link is full or closed; its permits lapse");
            }
        }
        own
    }
}

/// Serves waiting requests as room comes free, until the process exits.
pub async fn run(gateway: Arc<Gateway>) {
    let (own_updates, _unused) = mpsc::channel(1);
    let room = &gateway.room;
    let mut holding = gateway.lease_held.subscribe();
    loop {
        if !*holding.borrow_and_update() {
            room.granting().end();
            gateway.servers.begin_room_link();
            if holding.changed().await.is_err() {
                return;
            }
            continue;
        }
        room.serve_own(&gateway, &own_updates);
        let own_due = tokio::time::Instant::now() + OWN_INTERVAL;
        loop {
            let has_waits = room.serve_waiting(&gateway);
            let pause = if has_waits {
                SERVE_INTERVAL
            } else {
                OWN_INTERVAL
            };
            tokio::select! {
                () = sleep(pause) => {}
                () = room.waiting.notified() => sleep(SERVE_INTERVAL).await,
                () = gateway.servers.room_changed().notified() => break,
                () = tokio::time::sleep_until(own_due) => break,
                _ = holding.changed() => break,
            }
        }
    }
}
