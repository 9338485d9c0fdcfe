//! Clients that the operators do not control begin requests with long heads, on as many connections as
//! an instance takes, and do not end their bodies: does the process stay within the memory of its
//! machine?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::Server;
use store::Store;

/// A machine of the sheet.
const MACHINE: Machine = Machine {
    ram_mb: 160,
    max_fds: 4100,
};
/// Connections of the crowd, and the fewest with which the case can run.
const CROWD: usize = 2890;
const FEWEST: usize = 2700;
/// Bytes of a head; the configuration allows 16,384.
const HEAD_BYTES: usize = 15_800;
const TIME: Duration = Duration::from_secs(6);

fn main() {
    rig::run(play);
}

fn head(number: usize) -> Vec<u8> {
    let mut head = format!(
        "POST /report/7 HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: crowd{number:06}\r\n\
         Brassrack-Model: m0\r\nBrassrack-Token-Usage: 240,3\r\n\
         Brassrack-Prompt-Prefix: 5c1e0001:210,e4400002:30\r\nBrassrack-Deadline: 30000\r\n\
         Content-Length: 600\r\n"
    );
    let mut field = 0;
    while head.len() < HEAD_BYTES {
        let length = (HEAD_BYTES - head.len()).min(900);
        head.push_str(&format!("X-Note-{field}: {}\r\n", "n".repeat(length)));
        field += 1;
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// Begins a request of the crowd; without the trouble it is sent whole, its answer read and its
/// connection kept.
fn begin(at: SocketAddr, number: usize, trouble: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    stream
        .set_write_timeout(Some(Duration::from_secs(5)))
        .ok()?;
    stream.write_all(&head(number)).ok()?;
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
    let mut instance = Instance::start(case, 1, &[1], address, MACHINE);
    if !until(Duration::from_secs(15), || instance.is_ready()) {
        return Err(String::from("the instance never became ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let (calm, _) = instance.memory_kb();
    case.say(&format!("{calm} kB before the crowd"));
    let front = instance.front();
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
    case.say(&format!("the crowd has {} connections", crowd.len()));
    let began = Instant::now();
    while began.elapsed() < TIME && !instance.has_ended() {
        let (used, peak) = instance.memory_kb();
        case.say(&format!("{used} kB in use, peak {peak} kB"));
        thread::sleep(Duration::from_secs(1));
    }
    let (_, peak) = instance.memory_kb();
    if instance.has_ended() {
        return Ok((true, String::from("the process ended")));
    }
    for server in &servers {
        case.say(&format!(
            "{} ran {} requests",
            server.id,
            server.runs.lock().unwrap().len()
        ));
    }
    if crowd.len() < FEWEST {
        return Err(format!(
            "only {} connections of the crowd could be opened",
            crowd.len()
        ));
    }
    let limit = MACHINE.ram_mb * 1024;
    let text = format!(
        "peak {peak} kB with {} connections; the machine has {limit} kB",
        crowd.len()
    );
    Ok((peak > limit, text))
}
