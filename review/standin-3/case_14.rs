//! The store resets the holder's writes and serves its reads, while another instance is frozen: do
//! orders of two holders reach the servers within the time that lies between two holders?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::{Order, Server};
use store::{Path, Store};

const MODELS: usize = 8;
/// Longest times that the sheet names for a store that turns machines away, and for a freeze.
const REFUSAL: Duration = Duration::from_millis(9000);
const FREEZE: Duration = Duration::from_millis(6500);
/// `leaseMs` and `thawMs`.
const LEASE: Duration = Duration::from_millis(3000);
const THAW: Duration = Duration::from_millis(300);

fn main() {
    rig::run(play);
}

fn play(case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", Some(rig::config_with(7, MODELS)));
    let gap = Duration::from_millis(20);
    let servers: Vec<Arc<Server>> = (1..=4)
        .map(|n| {
            let held = [format!("m{}", (n * 2) % 8), format!("m{}", (n * 2 + 1) % 8)];
            let held: Vec<&str> = held.iter().map(String::as_str).collect();
            Server::start(
                case.ip(100 + n as u8),
                &format!("i-{n:08x}"),
                "writers",
                &held,
                gap,
                &store,
            )
        })
        .collect();
    let names: Vec<String> = (0..MODELS).map(|m| format!("m{m}")).collect();
    for server in &servers {
        server.store_copies(&names);
    }
    let hosts = [1, 2, 3];
    let views: Vec<_> = hosts.iter().map(|h| store.view(case.ip(200 + h))).collect();
    let machine = Machine {
        ram_mb: 260,
        max_fds: 4100,
    };
    let instances: Vec<Instance> = hosts
        .iter()
        .zip(&views)
        .map(|(host, (address, _))| Instance::start(case, *host, &hosts, *address, machine))
        .collect();
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        return Err(String::from("the instances never became ready"));
    }
    thread::sleep(Duration::from_secs(6));
    let lease = store.value("lease", "orders").unwrap_or_default();
    case.say(&format!("lease: {lease}"));
    let holder = instances
        .iter()
        .position(|i| lease.contains(&format!("\"{}\"", i.name)));
    let Some(holder) = holder else {
        return Err(format!("no holder: {lease}"));
    };
    let frozen = (holder + 1) % 3;
    let stop = AtomicBool::new(false);
    let stop = &stop;
    let thawed = thread::scope(|scope| {
        // Callers ask for all models, which do not fit: the holder has to give orders all the time.
        for (at, instance) in instances.iter().enumerate() {
            for caller in 0..6 {
                let front = instance.front();
                scope.spawn(move || {
                    for number in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let model = format!("m{}", (caller + number * 3 + at) % MODELS);
                        let id = format!("i{at}c{caller}n{number:05}");
                        let headers = [
                            ("Host", HOST),
                            ("Connection", "close"),
                            ("Brassrack-Request-Id", id.as_str()),
                            ("Brassrack-Model", model.as_str()),
                            ("Brassrack-Token-Usage", "240,9"),
                            ("Brassrack-Deadline", "15000"),
                        ];
                        let limit = Duration::from_millis(2400);
                        let answer =
                            http::ask(front, "POST", "/explain/7", &headers, b"explain", limit);
                        case.say(&format!("{id} {model}: {} {}", answer.status, answer.error));
                        thread::sleep(Duration::from_millis(150));
                    }
                });
            }
        }
        thread::sleep(Duration::from_secs(5));
        let begun = Instant::now();
        if case.trouble {
            *views[holder].1.lock().unwrap() = Path::ResetWrites;
            case.say(&format!(
                "the store resets the writes of {}",
                instances[holder].name
            ));
            thread::sleep(Duration::from_millis(300));
            instances[frozen].signal("STOP");
            case.say(&format!("{} is frozen", instances[frozen].name));
            thread::sleep(FREEZE);
            instances[frozen].signal("CONT");
            case.say(&format!("{} goes on", instances[frozen].name));
        } else {
            thread::sleep(FREEZE);
        }
        let thawed = Instant::now();
        thread::sleep(REFUSAL.saturating_sub(begun.elapsed()));
        if case.trouble {
            *views[holder].1.lock().unwrap() = Path::Open;
            case.say(&format!(
                "the store serves {} again",
                instances[holder].name
            ));
        }
        thread::sleep(Duration::from_secs(5));
        stop.store(true, Ordering::Relaxed);
        thawed
    });
    let mut orders: Vec<(String, Order)> = Vec::new();
    for server in &servers {
        let given = server.orders.lock().unwrap();
        orders.extend(given.iter().map(|order| (server.id.clone(), order.clone())));
    }
    orders.sort_by_key(|(_, order)| order.at);
    for (server, order) in &orders {
        case.say_at(
            order.at,
            &format!(
                "{server} gets of {} (fence {}) {}",
                order.holder, order.fence, order.text
            ),
        );
    }
    // Orders that arrive within `thawMs` after the sender was thawed do not count.
    let name = &instances[frozen].name;
    orders.retain(|(_, o)| !(o.holder == *name && o.at >= thawed && o.at < thawed + THAW));
    let mut last: BTreeMap<String, Instant> = BTreeMap::new();
    let mut turns = Vec::new();
    for (_, order) in &orders {
        for (other, at) in &last {
            if *other != order.holder && order.at < *at + LEASE {
                let ms = order.at.duration_since(*at).as_millis();
                turns.push(format!("{} {ms} ms after {other}", order.holder));
            }
        }
        last.insert(order.holder.clone(), order.at);
    }
    if orders.len() < 10 {
        return Err(format!("only {} orders", orders.len()));
    }
    let text = format!(
        "{} of {} orders came less than {LEASE:?} after one of another holder: {}",
        turns.len(),
        orders.len(),
        turns.iter().take(6).cloned().collect::<Vec<_>>().join(", ")
    );
    Ok((!turns.is_empty(), text))
}
