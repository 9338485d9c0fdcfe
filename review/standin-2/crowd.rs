//! Clients that nobody controls, as a process of their own: connections that stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::HOST;

/// Most connections of one process, so that it stays within the usual limit of descriptors.
pub const MOST: usize = 900;

/// Connections that a process opens in all for each one that it holds.
const MOST_OPENED: usize = 8;

/// Length of a model's name, within `maxHeaderBytes`.
const NAME_BYTES: usize = 15_000;

/// Time between two connections that a process opens.
const PACE: Duration = Duration::from_millis(1);

/// What the clients of a crowd send on each connection.
#[derive(Debug, Clone, Copy)]
pub enum Sends {
    /// Nothing.
    Nothing,
    /// A head within `maxHeaderBytes` that names many parts of a prompt, and no byte of the body.
    Head,
    /// One request after the other, each of which names a model that nobody has.
    Names,
}

/// Starts processes that open `count` connections in all and hold them for `seconds`.
pub fn start(to: SocketAddr, count: usize, sends: Sends, seconds: u64) -> Vec<Child> {
    let own = std::env::current_exe().expect("path of the stand-in");
    let mut left = count;
    let mut children = Vec::new();
    while left > 0 {
        let part = left.min(MOST);
        left -= part;
        let child = Command::new(&own)
            .args([
                "crowd",
                &to.to_string(),
                &part.to_string(),
                &format!("{sends:?}"),
            ])
            .arg(seconds.to_string())
            .stdin(Stdio::null())
            .spawn();
        children.push(child.expect("process of a crowd"));
    }
    children
}

/// Ends the processes of a crowd.
pub fn stop(children: Vec<Child>) {
    for mut child in children {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Head of a request that is allowed by its length: its prompt has as many parts as fit.
pub fn long_head(number: usize) -> String {
    let head = format!(
        "POST /activate/2f HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: crowd{number}\r\n\
         Brassrack-Deadline: 15000\r\nContent-Length: 16\r\nBrassrack-Prompt-Prefix: "
    );
    let parts = (16_000 - head.len()) / 2;
    format!("{head}{}a\r\n\r\n", "a,".repeat(parts))
}

/// The process of a part of a crowd: ADDRESS COUNT SENDS SECONDS.
pub fn run(words: &[&str]) {
    let [to, count, sends, seconds] = words else {
        return;
    };
    let to: SocketAddr = to.parse().expect("address");
    let count: usize = count.parse().expect("count");
    let end = Instant::now() + Duration::from_secs(seconds.parse().expect("seconds"));
    if *sends == "Names" {
        return ask_for_names(to, count, end);
    }
    let mut held: Vec<TcpStream> = Vec::new();
    let mut opened = 0;
    while Instant::now() < end {
        // One that the other end has closed is opened again.
        held.retain_mut(|stream| is_open(stream));
        while held.len() < count && opened < count * MOST_OPENED && Instant::now() < end {
            opened += 1;
            if let Ok(stream) = open(to, sends, opened) {
                held.push(stream);
            }
            thread::sleep(PACE);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

fn open(to: SocketAddr, sends: &str, number: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    if sends == "Head" {
        stream.write_all(long_head(number).as_bytes())?;
    }
    stream.set_nonblocking(true)?;
    Ok(stream)
}

fn is_open(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 256]) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// Each connection asks for one unknown model after the other.
fn ask_for_names(to: SocketAddr, count: usize, end: Instant) {
    let asking = (0..count).map(|client| {
        let asking = thread::Builder::new().stack_size(128 << 10).spawn(move || {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let name = format!("{client:05}-{number:05}-{}", "n".repeat(NAME_BYTES));
                let text = format!(
                    "POST /explain/2f HTTP/1.1\r\nHost: {HOST}\r\n\
                     Brassrack-Request-Id: u{}x{client}n{number}\r\nBrassrack-Model: {name}\r\n\
                     Brassrack-Deadline: 6000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
                    std::process::id()
                );
                let _ = crate::http::call(to, &text, Duration::from_secs(6));
            }
        });
        asking.expect("thread of a client")
    });
    for thread in asking.collect::<Vec<_>>() {
        let _ = thread.join();
    }
}
