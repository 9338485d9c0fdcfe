//! A client that the operators do not control names a new first part of its prompt in each request:
//! does the process stay within the memory of its machine?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::Answer;
use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::Server;
use store::Store;

/// Memory of the machine, as the sheet has it.
const RAM_MB: u64 = 260;
/// Connections of the client, each with one request at a time.
const CONNECTIONS: usize = 12;
/// Bytes of a part's id; the head stays inside `maxHeaderBytes`.
const ID_BYTES: usize = 14_000;
const MOST_REQUESTS: usize = 24_000;
const MOST_TIME: Duration = Duration::from_secs(75);
/// Time in which nobody sends anything, at the end.
const CALM: Duration = Duration::from_secs(8);

fn main() {
    rig::run(play);
}

fn request(stream: &mut TcpStream, id: &str, part: &str) -> Answer {
    let prompt = format!("{part}:210,{id}:30");
    let headers = [
        ("Host", HOST),
        ("Brassrack-Request-Id", id),
        ("Brassrack-Model", "m0"),
        ("Brassrack-Token-Usage", "240,3"),
        ("Brassrack-Prompt-Prefix", &prompt),
        ("Brassrack-Deadline", "15000"),
    ];
    let mut answer = Answer::default();
    let limit = Duration::from_secs(15);
    let sent = http::ask_on(
        stream,
        "POST",
        "/explain/7",
        &headers,
        b"explain",
        limit,
        &mut answer,
    );
    if let Err(error) = sent {
        answer.error = error.to_string();
    }
    answer
}

fn play(case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", Some(rig::config(7)));
    let gap = Duration::from_millis(1);
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
        ram_mb: RAM_MB,
        max_fds: 4100,
    };
    let mut instance = Instance::start(case, 1, &[1], address, machine);
    if !until(Duration::from_secs(15), || instance.is_ready()) {
        return Err(String::from("the instance never became ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let front = instance.front();
    let (stop, sent, served) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let (stop, sent, served) = (&stop, &sent, &served);
    let limit_kb = RAM_MB * 1024;
    let mut over = None;
    thread::scope(|scope| {
        for connection in 0..CONNECTIONS {
            scope.spawn(move || {
                let mut open: Option<TcpStream> = None;
                while !stop.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    if number >= MOST_REQUESTS {
                        return;
                    }
                    // Without the trouble, all requests share their first part.
                    let first = if case.trouble { number } else { 0 };
                    let part = format!("{first:0>width$x}", width = ID_BYTES);
                    let mut stream = match open.take().or_else(|| TcpStream::connect(front).ok()) {
                        Some(stream) => stream,
                        None => continue,
                    };
                    let answer = request(
                        &mut stream,
                        &format!("{:08x}{number:08x}", connection + 1),
                        &part,
                    );
                    if answer.status == 200 && answer.whole {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    if answer.whole {
                        open = Some(stream);
                    } else {
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            });
        }
        let begun = Instant::now();
        let mut told = Instant::now();
        while begun.elapsed() < MOST_TIME && sent.load(Ordering::Relaxed) < MOST_REQUESTS {
            thread::sleep(Duration::from_millis(100));
            let (used, _) = instance.memory_kb();
            if told.elapsed() > Duration::from_secs(1) {
                told = Instant::now();
                case.say(&format!(
                    "{} requests sent, {} served; the process uses {used} kB of {limit_kb} kB",
                    sent.load(Ordering::Relaxed),
                    served.load(Ordering::Relaxed)
                ));
            }
            over = over.or((used > limit_kb).then_some(used));
            if instance.has_ended() {
                break;
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    let served = served.load(Ordering::Relaxed);
    if instance.has_ended() {
        return Ok((true, format!("the process ended after {served} requests")));
    }
    let (before, _) = instance.memory_kb();
    thread::sleep(CALM);
    let (after, peak) = instance.memory_kb();
    case.say(&format!("{before} kB in use at the end, {after} kB after {CALM:?} without a request; peak {peak} kB"));
    for server in &servers {
        case.say(&format!(
            "{} ran {} requests",
            server.id,
            server.runs.lock().unwrap().len()
        ));
    }
    if served < 1000 {
        return Err(format!("only {served} requests were served"));
    }
    let text = format!(
        "{served} requests served; peak {peak} kB, {after} kB after {CALM:?} of calm; the machine has {limit_kb} kB"
    );
    Ok((over.is_some() || peak > limit_kb, text))
}
