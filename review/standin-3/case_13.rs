//! Clients that the operators do not control begin requests and do not end their bodies, on as many
//! connections as an instance takes: do ordinary callers still get answers?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::Server;
use store::Store;

/// Connections of the crowd; a machine has 4,100 descriptors.
const CROWD: usize = 3000;
/// Fewest of them with which the case can run.
const FEWEST: usize = 2700;
/// Ordinary callers, which try one after the other on new connections.
const CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which they try.
const TIME: Duration = Duration::from_secs(16);
/// The rule: `stableWindowMs`.
const WINDOW: Duration = Duration::from_millis(3000);

fn main() {
    rig::run(play);
}

/// One ordinary request on a new connection; whether it was answered, and what came.
fn ordinary(at: SocketAddr, id: &str, path: &str) -> (bool, String) {
    let headers = [
        ("Host", HOST),
        ("Connection", "close"),
        ("Brassrack-Request-Id", id),
        ("Brassrack-Model", "m0"),
        ("Brassrack-Token-Usage", "240,9"),
        ("Brassrack-Prompt-Prefix", "5c1e0001:210,e4400001:30"),
        ("Brassrack-Deadline", "15000"),
    ];
    let answer = http::ask(
        at,
        "POST",
        path,
        &headers,
        b"explain",
        Duration::from_millis(2400),
    );
    let text = if answer.status > 0 {
        answer.status.to_string()
    } else {
        answer.error.clone()
    };
    (answer.status > 0, text)
}

/// Begins a request of the crowd; without the trouble it is sent whole, its answer read and its
/// connection kept.
fn begin(at: SocketAddr, number: usize, trouble: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    let head = format!(
        "POST /report/7 HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: crowd{number:06}\r\n\
         Brassrack-Model: m0\r\nBrassrack-Token-Usage: 240,3\r\n\
         Brassrack-Prompt-Prefix: 5c1e0001:210,e4400002:30\r\nBrassrack-Deadline: 30000\r\n\
         Content-Length: 600\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let length = if trouble { 10 } else { 600 };
    stream.write_all(&vec![b'x'; length]).ok()?;
    if !trouble {
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let (mut got, mut part) = (Vec::new(), [0; 4096]);
        while !got.ends_with(b"0\r\n\r\n") && !got.starts_with(b"HTTP/1.1 503") {
            let length = stream.read(&mut part).ok().filter(|l| *l > 0)?;
            got.extend(&part[..length]);
        }
    }
    Some(stream)
}

fn play(case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", Some(rig::config(7)));
    let gap = Duration::from_millis(5);
    let servers: Vec<_> = (1..=3)
        .map(|n| {
            Server::start(
                case.ip(100 + n),
                &format!("i-{n:08x}"),
                "writers",
                &["m0", "m1"],
                gap,
                &store,
            )
        })
        .collect();
    let (address, _path) = store.view(case.ip(201));
    let machine = Machine {
        ram_mb: 260,
        max_fds: 4100,
    };
    let mut instance = Instance::start(case, 1, &[1], address, machine);
    if !until(Duration::from_secs(15), || instance.is_ready()) {
        return Err(String::from("the instance never became ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let front = instance.front();
    let (served, text) = ordinary(front, "before", "/explain/7");
    if !served {
        return Err(format!("an ordinary request before the crowd: {text}"));
    }
    let crowd_began = Instant::now();
    let crowd = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for part in 0..10 {
            let crowd = &crowd;
            scope.spawn(move || {
                for number in 0..CROWD / 10 {
                    let begun = begin(front, part * CROWD / 10 + number, case.trouble);
                    crowd.lock().unwrap().extend(begun);
                }
            });
        }
    });
    let crowd = crowd.into_inner().unwrap();
    let took = crowd_began.elapsed();
    case.say(&format!(
        "the crowd has {} connections, opened in {took:?}",
        crowd.len()
    ));
    if crowd.len() < FEWEST {
        return Err(format!(
            "only {} connections of the crowd could be opened",
            crowd.len()
        ));
    }
    thread::sleep(Duration::from_millis(500));
    let tries: Mutex<Vec<(Instant, bool)>> = Mutex::new(Vec::new());
    let probes: Mutex<Vec<(Instant, bool)>> = Mutex::new(Vec::new());
    let stop = AtomicBool::new(false);
    let begun = Instant::now();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (tries, stop) = (&tries, &stop);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let at = Instant::now();
                    let (answered, text) =
                        ordinary(front, &format!("c{caller}n{number:04}"), "/explain/7");
                    tries.lock().unwrap().push((at, answered));
                    case.say_at(at, &format!("caller {caller} try {number}: {text}"));
                    thread::sleep(PAUSE);
                }
            });
        }
        while begun.elapsed() < TIME {
            let at = Instant::now();
            let ready = instance.is_ready();
            probes.lock().unwrap().push((at, ready));
            thread::sleep(Duration::from_millis(500));
        }
        stop.store(true, Ordering::Relaxed);
    });
    let ended = instance.has_ended();
    let (used, peak) = instance.memory_kb();
    drop(crowd);
    thread::sleep(Duration::from_millis(500));
    let (served, text) = ordinary(front, "after", "/explain/7");
    case.say(&format!(
        "an ordinary request after the crowd: {served} {text}; memory {used} kB, peak {peak} kB"
    ));
    for server in &servers {
        case.say(&format!(
            "{} ran {} requests",
            server.id,
            server.runs.lock().unwrap().len()
        ));
    }
    if ended {
        return Ok((true, String::from("the process ended")));
    }
    let (mut tries, probes) = (tries.into_inner().unwrap(), probes.into_inner().unwrap());
    tries.sort();
    let answered = tries.iter().filter(|(_, answered)| *answered).count();
    // The longest time without an answer to a new connection, while all probes said ready.
    let mut longest = Duration::ZERO;
    let mut since = begun;
    let marks = tries.iter().map(|(at, ok)| (*at, *ok));
    let unready = probes
        .iter()
        .filter(|(_, ready)| !ready)
        .map(|(at, _)| (*at, true));
    let mut marks: Vec<_> = marks.chain(unready).collect();
    marks.sort();
    for (at, ends) in marks {
        longest = longest.max(at.saturating_duration_since(since));
        if ends {
            since = at;
        }
    }
    let ready = probes.iter().filter(|(_, ready)| *ready).count();
    let text = format!(
        "{answered} of {} tries of {CALLERS} ordinary callers were answered, {ready} of {} probes said ready; \
         the longest time without a new connection taken while ready was {longest:?} ({WINDOW:?} allowed)",
        tries.len(),
        probes.len()
    );
    Ok((longest > WINDOW, text))
}
