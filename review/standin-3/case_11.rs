//! Model servers are upgraded in place while one instance is partitioned from the store: do streams
//! that clients take up there go on at the version that began them?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::Answer;
use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::Server;
use store::{Path, Store};

/// Time between two events, and the output tokens of a stream of 9 s.
const GAP: Duration = Duration::from_millis(60);
const LONG: u64 = 450;
const STREAMS: usize = 48;
/// The longest partition from the store that the sheet names.
const CUT: Duration = Duration::from_millis(5500);
const DOWN: Duration = Duration::from_millis(400);
/// The rule: more than two streams.
const ALLOWED: usize = 2;

fn main() {
    rig::run(play);
}

/// Software versions of the events in a body, and the id of the last event.
fn events(body: &[u8]) -> (BTreeSet<String>, u64) {
    let text = String::from_utf8_lossy(body);
    let (mut versions, mut last) = (BTreeSet::new(), 0);
    for event in text.split("\n\n").filter(|e| e.contains("data: ")) {
        let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        let data = field("data: ").unwrap_or_default();
        versions.extend(data.split(' ').next().map(str::to_owned));
        last = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(last);
    }
    (versions, last)
}

fn attempt(
    number: usize,
    at: SocketAddr,
    id: &str,
    tokens: u64,
    resumes: Option<(&str, u64)>,
) -> Answer {
    let usage = format!("1460,{tokens}");
    let after = resumes.map_or(0, |(_, after)| after).to_string();
    let prompt = format!(
        "5c1e{:04x}:210,91bd{:04x}:140,e440{number:04x}:1110",
        number % 3,
        number % 20
    );
    let body = format!("explain float solution {number}");
    let mut headers = vec![
        ("Host", HOST),
        ("Brassrack-Request-Id", id),
        ("Brassrack-Model", "m0"),
        ("Brassrack-Token-Usage", &usage),
        ("Brassrack-Prompt-Prefix", &prompt),
        ("Brassrack-Deadline", "15000"),
    ];
    if let Some((first, _)) = resumes {
        headers.push(("Resumes", first));
        headers.push(("Last-Event-Id", &after));
    }
    http::ask(
        at,
        "POST",
        "/explain/7",
        &headers,
        body.as_bytes(),
        Duration::from_millis(2400),
    )
}

/// A client with one retry, which takes a broken stream up at another instance.
fn client(
    case: &Case,
    number: usize,
    at: SocketAddr,
    other: SocketAddr,
    mixed: &Mutex<Vec<String>>,
) -> bool {
    let first = format!("s{number:03}a");
    let begun = Instant::now();
    let answer = attempt(number, at, &first, LONG, None);
    let (mut versions, last) = events(&answer.body);
    case.say_at(begun, &format!("{first} sent to {at}"));
    let name = |v: &BTreeSet<String>| v.iter().cloned().collect::<Vec<_>>().join("+");
    case.say(&format!(
        "{first} answered {} whole={} last event {last}, versions {} {}",
        answer.status,
        answer.whole,
        name(&versions),
        answer.error
    ));
    let mut whole = answer.whole && answer.status == 200;
    if answer.status == 200 && !answer.whole {
        let second = format!("s{number:03}b");
        let answer = attempt(number, other, &second, LONG, Some((&first, last)));
        let (later, last) = events(&answer.body);
        case.say(&format!(
            "{second} resumes {first} at {other}: answered {} whole={} last event {last}, versions {}",
            answer.status, answer.whole, name(&later)
        ));
        whole = answer.whole && answer.status == 200;
        versions.extend(later);
    }
    if versions.len() > 1 {
        mixed
            .lock()
            .unwrap()
            .push(format!("{first} ({})", name(&versions)));
    }
    whole
}

fn play(case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", Some(rig::config(7)));
    let servers: Vec<Arc<Server>> = (1..=4)
        .map(|n| {
            Server::start(
                case.ip(100 + n),
                &format!("i-{n:08x}"),
                "writers",
                &["m0", "m1"],
                GAP,
                &store,
            )
        })
        .collect();
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
    thread::sleep(Duration::from_secs(4));
    let lease = store.value("lease", "orders").unwrap_or_default();
    let cut = instances
        .iter()
        .position(|i| !lease.contains(&format!("\"{}\"", i.name)));
    let Some(cut) = cut.filter(|_| !lease.is_empty()) else {
        return Err(format!("no holder: {lease}"));
    };
    let first = [
        instances[(cut + 1) % 3].front(),
        instances[(cut + 2) % 3].front(),
    ];
    let second = instances[cut].front();
    case.say(&format!(
        "lease: {lease}; second tries go to {}",
        instances[cut].name
    ));
    let mixed = Mutex::new(Vec::new());
    let mixed = &mixed;
    let (whole, in_time) = thread::scope(|scope| {
        let begun = Instant::now();
        if case.trouble {
            *views[cut].1.lock().unwrap() = Path::Cut;
            case.say(&format!(
                "{} is partitioned from the store",
                instances[cut].name
            ));
        }
        thread::sleep(Duration::from_millis(100));
        upgrade(case, &servers[..2]);
        let clients: Vec<_> = (0..STREAMS)
            .map(|n| {
                thread::sleep(Duration::from_millis(10));
                scope.spawn(move || client(case, n, first[n % 2], second, mixed))
            })
            .collect();
        let loaded = until(Duration::from_secs(3), || {
            servers[..2].iter().any(|s| s.holds("m0"))
        });
        thread::sleep(Duration::from_millis(300));
        let held: Vec<&str> = servers
            .iter()
            .filter(|s| s.holds("m0"))
            .map(|s| s.id.as_str())
            .collect();
        case.say(&format!("m0 is held by {}", held.join(" ")));
        let is_late = begun.elapsed() + DOWN > CUT;
        upgrade(case, &servers[2..3]);
        thread::sleep(CUT.saturating_sub(begun.elapsed()));
        if case.trouble {
            *views[cut].1.lock().unwrap() = Path::Open;
            case.say(&format!("{} reaches the store again", instances[cut].name));
        }
        let whole = clients
            .into_iter()
            .map(|client| client.join().unwrap_or(false));
        (whole.filter(|whole| *whole).count(), loaded && !is_late)
    });
    for server in &servers {
        for run in server.runs.lock().unwrap().iter() {
            case.say_at(
                run.at,
                &format!(
                    "{} ({}) runs {} after event {}",
                    server.id, run.software, run.id, run.after
                ),
            );
        }
    }
    if !in_time {
        return Err(String::from("the upgraded servers had no model in time"));
    }
    let mixed = mixed.lock().unwrap().clone();
    let text = format!(
        "{} streams hold events of two software versions ({ALLOWED} allowed), {whole} of {STREAMS} were whole: {}",
        mixed.len(),
        mixed.join(", ")
    );
    Ok((mixed.len() > ALLOWED, text))
}

/// Restarts servers under their ids with the next version of their software.
fn upgrade(case: &Case, servers: &[Arc<Server>]) {
    for server in servers {
        server.end();
        case.say(&format!("{} ends", server.id));
    }
    thread::sleep(DOWN);
    for server in servers {
        server.begin("v2");
        case.say(&format!("{} starts again with v2", server.id));
    }
}
