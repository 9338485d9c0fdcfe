//! Case: a status check that is repeated stays refused after a few lost answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::site::{Folder, Instance, Ports, address, unix_ms};
use crate::store::Store;

pub const HOST: &str = "desk.example";
/// Deadline of both kinds of request.
const DEADLINE: Duration = Duration::from_millis(600);
/// Length of the day.
const LENGTH: Duration = Duration::from_secs(90);
/// When the answers begin to be lost, each time for how long, and how often.
const TROUBLE_AT: Duration = Duration::from_secs(1);
const TROUBLE_FOR: Duration = Duration::from_secs(4);
const PAUSE_FOR: Duration = Duration::from_secs(1);
const ROUNDS: u32 = 3;
/// From when on requests are counted apart: 10 s after the last lost answer.
const CALM_FROM: Duration = Duration::from_secs(25);
/// Share of a server's answers that are lost, in percent, and the number of servers that lose them.
const LOST_PERCENT: u64 = 6;
const LOSING_SERVERS: usize = 2;
/// Number of instances, as the deployment has.
const INSTANCES: u8 = 8;
/// Time that a client waits where a refusal names none.
const PAUSE: Duration = Duration::from_millis(100);

/// A kind of request.
struct Kind {
    name: &'static str,
    start: &'static str,
    is_safe: bool,
    /// Time between two requests.
    every: Duration,
    sent: AtomicU64,
    served: AtomicU64,
    /// Sent and served from 10 s after the end of the disruption on.
    late_sent: AtomicU64,
    late_served: AtomicU64,
}

impl Kind {
    fn new(name: &'static str, start: &'static str, is_safe: bool, per_s: f64) -> Arc<Kind> {
        Arc::new(Kind {
            name,
            start,
            is_safe,
            every: Duration::from_secs_f64(1.0 / per_s),
            sent: AtomicU64::new(0),
            served: AtomicU64::new(0),
            late_sent: AtomicU64::new(0),
            late_served: AtomicU64::new(0),
        })
    }
}

pub fn config() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeoutMs":600,"sloMs":100,"priority":2,"service":"sub-desk","attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"sub-desk","healthPath":"/healthz","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("status", "safe"),
        route("activate", "unsafe")
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let folder = Folder::create();
    let store = Store::start(address(1));
    store.put("op", "config", &config());
    let servers: Vec<_> = (1..=3)
        .map(|n| Server::start(address(10 + n), &format!("i-desk{n}"), "sub-desk", &store, record))
        .collect();
    let ports: Vec<_> = (0..INSTANCES).map(|n| Ports::new(20 + n)).collect();
    let seeds: Vec<_> = ports.iter().take(3).map(Ports::control).collect();
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
    let fronts: Arc<Vec<_>> = Arc::new(instances.iter().map(|i| i.front).collect());
    let kinds = [
        Kind::new("status", "GET /status/seat", true, 27.0),
        Kind::new("activate", "POST /activate/seat", false, 67.0),
    ];
    let started = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = kinds
        .iter()
        .map(|kind| {
            let (kind, fronts, record) = (Arc::clone(kind), Arc::clone(&fronts), Arc::clone(record));
            let (is_over, clients) = (Arc::clone(&is_over), Arc::clone(&clients));
            thread::spawn(move || {
                for number in 0u64.. {
                    let due = kind.every * u32::try_from(number).unwrap_or(u32::MAX);
                    thread::sleep((started + due).saturating_duration_since(Instant::now()));
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let (kind, fronts, record) = (Arc::clone(&kind), Arc::clone(&fronts), Arc::clone(&record));
                    let client = thread::spawn(move || client(&kind, number, &fronts, &record, started));
                    clients.lock().unwrap().push(client);
                }
            })
        })
        .collect();
    thread::sleep(TROUBLE_AT);
    for round in 1..=ROUNDS {
        if trouble {
            record.say(&format!("round {round}: {LOSING_SERVERS} of 3 servers lose {LOST_PERCENT} in 100 of their answers"));
            for server in servers.iter().cycle().skip(round as usize).take(LOSING_SERVERS) {
                server.lost_percent.store(LOST_PERCENT, Ordering::Relaxed);
            }
        }
        thread::sleep(TROUBLE_FOR);
        for server in &servers {
            server.lost_percent.store(0, Ordering::Relaxed);
        }
        record.line("all servers are sound");
        thread::sleep(PAUSE_FOR);
    }
    thread::sleep((started + LENGTH).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    for client in std::mem::take(&mut *clients.lock().unwrap()) {
        let _ = client.join();
    }
    judge(&kinds, record)
}

/// Sends one request, with one retry as the deployment's clients have.
fn client(kind: &Kind, number: u64, fronts: &[std::net::SocketAddr], record: &Record, started: Instant) {
    let end = Instant::now() + DEADLINE;
    let is_late = started.elapsed() > CALM_FROM;
    kind.sent.fetch_add(1, Ordering::Relaxed);
    kind.late_sent.fetch_add(u64::from(is_late), Ordering::Relaxed);
    // Each check is for another seat; each activation has its own body.
    let start = format!("{}?number={}", kind.start, 100 + number % 40);
    let body = if kind.is_safe { String::new() } else { format!("seat {number} {:x}", unix_ms()) };
    for attempt in 0..2 {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = format!("{:016x}", unix_ms() << 20 ^ number << 4 ^ attempt ^ u64::from(kind.is_safe) << 63);
        let front = fronts[(number + attempt) as usize % fronts.len()];
        let deadline = left.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("brassrack-request-id", id.as_str()),
            ("brassrack-deadline", deadline.as_str()),
            ("connection", "close"),
        ];
        record.line(&format!("client sends {id} ({}, attempt {attempt}) to {front}", kind.name));
        let answer = http::ask(front, &start, &headers, body.as_bytes(), left);
        let (status, signed, pause) = match &answer {
            Ok(answer) => {
                let pause = answer.header("retry-after").parse().map(Duration::from_secs_f64);
                (answer.status(), !answer.header("brassrack-response-signature").is_empty(), pause.unwrap_or(PAUSE))
            }
            Err(_) => (0, false, PAUSE),
        };
        let text = answer.as_ref().map_or(String::from("no answer"), |a| {
            String::from_utf8_lossy(&a.body[..a.body.len().min(60)]).trim().replace('\n', " ")
        });
        record.line(&format!("client gets {status} for {id}: {}", if signed { "a server's answer" } else { &text }));
        if status == 200 && signed {
            kind.served.fetch_add(1, Ordering::Relaxed);
            kind.late_served.fetch_add(u64::from(is_late), Ordering::Relaxed);
            return;
        }
        if !kind.is_safe && !matches!(status, 429 | 503) {
            return;
        }
        // Clients honour the time in a refusal up to a third of the time that they have left.
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(pause.min(left / 3));
    }
}

fn judge(kinds: &[Arc<Kind>], record: &Record) -> Outcome {
    let count = |of: fn(&Kind) -> &AtomicU64| {
        kinds.iter().map(|k| of(k).load(Ordering::Relaxed)).collect::<Vec<_>>()
    };
    let (sent, served) = (count(|k| &k.sent), count(|k| &k.served));
    let (late_sent, late_served) = (count(|k| &k.late_sent), count(|k| &k.late_served));
    for (at, kind) in kinds.iter().enumerate() {
        record.say(&format!(
            "{}: {} of {} served; of those sent 10 s after the last lost answer or later: {} of {}",
            kind.name, served[at], sent[at], late_served[at], late_sent[at]
        ));
    }
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let all = share(served.iter().sum(), sent.iter().sum());
    for (at, kind) in kinds.iter().enumerate() {
        let own = share(served[at], sent[at]);
        if own < all / 4.0 {
            record.say(&format!("Starved: {} is served {own:.3}, all requests {all:.3}", kind.name));
            return Outcome::Broken;
        }
    }
    if all == 0.0 {
        return Outcome::NotRun;
    }
    record.say("held");
    Outcome::Held
}
