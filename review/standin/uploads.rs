//! Case: bodies within the configuration's limit, sent at once, take a process over its memory.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http;
use crate::record::Record;
use crate::repeated::{HOST, config};
use crate::server::Server;
use crate::site::{Folder, Instance, Ports, address, unix_ms};
use crate::store::Store;

/// Memory of a process over which the platform kills it (`limits.ramMb`).
const RAM_MB: u64 = 260;
/// Size of each body: `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Parts in which a client sends a body, and the time between them.
const PARTS: usize = 16;
const PART_EVERY: Duration = Duration::from_millis(100);
/// Clients that send at once through one instance, and how often they do.
const CLIENTS: u64 = 55;
const WAVES: u32 = 3;
/// Clients at a time without the burst.
const CALM_CLIENTS: u64 = 4;
const DEADLINE: Duration = Duration::from_secs(15);
/// Time after which an ended process is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Ends of a process that make it count, and machines on which they must be seen.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

/// The platform's view of a machine.
struct Machine {
    front: SocketAddr,
    ends: AtomicU64,
    peak_mb: AtomicU64,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let folder = Folder::create();
    let store = Store::start(address(1));
    // A route with the longest deadline of the sheet leaves time for a slow upload.
    store.put("op", "config", &config().replace("\"timeoutMs\":600", "\"timeoutMs\":15000"));
    let _servers: Vec<_> = (1..=3)
        .map(|n| Server::start(address(10 + n), &format!("i-desk{n}"), "sub-desk", &store, record))
        .collect();
    let ports: Vec<_> = (0..2).map(|n| Ports::new(20 + n)).collect();
    let seeds: Vec<_> = ports.iter().map(Ports::control).collect();
    let instances: Vec<_> = ports
        .iter()
        .enumerate()
        .map(|(n, p)| Instance::start(&format!("front-{n}"), *p, &seeds, store.address, &folder))
        .collect();
    if !instances.iter().all(Instance::until_ready) {
        record.say("an instance is not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut machines = Vec::new();
    let mut watchers = Vec::new();
    for instance in instances {
        let machine = Arc::new(Machine {
            front: instance.front,
            ends: AtomicU64::new(0),
            peak_mb: AtomicU64::new(0),
        });
        machines.push(Arc::clone(&machine));
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        watchers.push(thread::spawn(move || watch(instance, &machine, &record, &is_over)));
    }
    let counts = Arc::new(Mutex::new([0u64; 3]));
    for wave in 1..=WAVES {
        record.say(&format!("wave {wave}"));
        let mut clients = Vec::new();
        let parallel = if trouble { CLIENTS } else { CALM_CLIENTS };
        for machine in &machines {
            for lane in 0..parallel {
                let (front, record, counts) = (machine.front, Arc::clone(record), Arc::clone(&counts));
                clients.push(thread::spawn(move || {
                    for number in (lane..CLIENTS).step_by(parallel as usize) {
                        let pace = if trouble { PART_EVERY } else { Duration::ZERO };
                        let id = format!("{:012x}{wave:02x}{number:02x}", unix_ms());
                        let status = upload(front, &id, pace);
                        record.line(&format!("client gets {} for {id} at {front}", status.map_or("no answer".into(), |s| s.to_string())));
                        let at = match status {
                            Some(200) => 0,
                            Some(_) => 1,
                            None => 2,
                        };
                        counts.lock().unwrap()[at] += 1;
                    }
                }));
            }
        }
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(Duration::from_secs(4));
    }
    is_over.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let [served, refused, lost] = *counts.lock().unwrap();
    record.say(&format!("{served} served, {refused} refused or failed, {lost} without an answer"));
    let mut broken = 0;
    for machine in &machines {
        let (ends, peak) = (machine.ends.load(Ordering::Relaxed), machine.peak_mb.load(Ordering::Relaxed));
        record.say(&format!("{}: {ends} ends over {RAM_MB} MB, peak {peak} MB", machine.front));
        broken += usize::from(ends >= ENDS);
    }
    if broken >= MACHINES {
        record.say("Fault: processes end three times on two machines, as their memory is over the limit");
        return Outcome::Broken;
    }
    record.say("held");
    Outcome::Held
}

/// Kills a process over its memory, as the platform does, and starts it again.
fn watch(mut instance: Instance, machine: &Machine, record: &Record, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let memory = instance.memory_mb();
        machine.peak_mb.fetch_max(memory, Ordering::Relaxed);
        if memory > RAM_MB {
            instance.kill();
            while !instance.has_ended() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        if instance.has_ended() {
            machine.ends.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("process of {} ended at {memory} MB", machine.front));
            thread::sleep(RESTART_AFTER);
            instance.restart();
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a body in parts; the status of the answer, or none without one.
fn upload(front: SocketAddr, id: &str, pace: Duration) -> Option<u16> {
    let end = Instant::now() + DEADLINE;
    let mut stream = http::connect(front).ok()?;
    let head = format!(
        "POST /activate/seat?number={id} HTTP/1.1\r\nhost: {HOST}\r\nbrassrack-request-id: {id}\r\n\
         brassrack-deadline: {}\r\ncontent-length: {BODY_BYTES}\r\nconnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    stream.set_write_timeout(Some(DEADLINE)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    let mut part = vec![b'x'; BODY_BYTES / PARTS];
    // Each body is its own.
    part[..id.len()].copy_from_slice(id.as_bytes());
    for _ in 0..PARTS {
        stream.write_all(&part).ok()?;
        thread::sleep(pace);
    }
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
