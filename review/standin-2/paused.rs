//! A server that wants nothing for some seconds, and is out of the list for a part of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::rig::{Clients, Record, Rig, ends};

/// Seconds that the server names in `Retry-After`.
const PAUSE: u64 = 15;
/// Requests that may reach a server from one machine meanwhile.
const ALLOWED: usize = 2;
/// Time from the 503 after which requests count.
const REACTION: f64 = 0.5;

/// Whether more than two requests of a machine reached a server that wanted none.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start(2, 2, record);
    let clients = Clients::start(&rig, 4, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(2));
    let server = &rig.servers[0];
    if trouble {
        server.reach_store(false);
    }
    thread::sleep(Duration::from_millis(500));
    record.say(&format!(
        "{} is full for half a second: Retry-After {PAUSE}",
        server.id
    ));
    server.behaviour.lock().unwrap().turns_away = Some(PAUSE);
    thread::sleep(Duration::from_millis(500));
    server.behaviour.lock().unwrap().turns_away = None;
    record.say(&format!("{} has room again", server.id));
    thread::sleep(Duration::from_secs(5));
    if trouble {
        server.reach_store(true);
    }
    thread::sleep(Duration::from_secs(PAUSE - 6));
    let tries = clients.stop();
    record.say(&format!("ordinary clients: {:?}", ends(&tries)));
    let machine_of: BTreeMap<&str, usize> = tries.iter().map(|t| (&*t.id, t.instance)).collect();
    let arrivals = server.arrivals.lock().unwrap().clone();
    let mut broken = false;
    for (number, instance) in rig.instances.iter().enumerate() {
        let own: Vec<_> = arrivals
            .iter()
            .filter(|a| machine_of.get(&*a.id) == Some(&number))
            .collect();
        let Some(asked) = own.iter().find(|a| a.status == 503) else {
            record.say(&format!("{} was not turned away", instance.name));
            continue;
        };
        let (from, to) = (asked.at + REACTION, asked.at + PAUSE as f64);
        let count = own.iter().filter(|a| a.at > from && a.at < to).count();
        record.say(&format!(
            "{} is turned away at {:.2} s; {count} of its requests reach {} until {to:.2} s",
            instance.name, asked.at, server.id
        ));
        broken |= count > ALLOWED;
    }
    rig.stop();
    broken
}
