//! HTTP/1.1 of the stand-ins: a server with a thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a stand-in received it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads bytes up to the end of a head; the rest of what came stays in `buffer`.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = std::mem::replace(buffer, rest);
            return Ok(Some(String::from_utf8_lossy(&head[..end]).into_owned()));
        }
        let mut part = [0; 16384];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
}

fn read_exactly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        let mut part = [0; 16384];
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
    let rest = buffer.split_off(length);
    Ok(std::mem::replace(buffer, rest))
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
            let line = read_exactly(stream, buffer, end + 2)?;
            return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
        }
        let length = buffer.len();
        let more = read_exactly(stream, buffer, length + 1)?;
        let rest = std::mem::replace(buffer, more);
        buffer.extend(rest);
    }
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &BTreeMap<String, String>,
    to_the_end: bool,
) -> io::Result<Vec<u8>> {
    let is_chunked = headers
        .get("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        let mut body = Vec::new();
        loop {
            let line = read_line(stream, buffer)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(read_exactly(stream, buffer, size)?);
            read_line(stream, buffer)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match headers.get("content-length").and_then(|v| v.parse().ok()) {
        Some(length) => read_exactly(stream, buffer, length),
        None if to_the_end => {
            let mut body = std::mem::take(buffer);
            stream.read_to_end(&mut body)?;
            Ok(body)
        }
        None => Ok(Vec::new()),
    }
}

fn headers_of(head: &str) -> BTreeMap<String, String> {
    head.lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|c| u8::from_str_radix(std::str::from_utf8(c).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A port at which a stand-in answers, and which can be shut as by a crash.
pub struct Door {
    pub address: SocketAddr,
    is_open: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Door {
    pub fn new(address: SocketAddr) -> Arc<Door> {
        Arc::new(Door {
            address,
            is_open: AtomicBool::new(false),
            streams: Mutex::default(),
        })
    }

    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// Listens, and answers the requests that come. `answer` writes the whole answer and says whether
    /// the connection stays open.
    pub fn open(
        self: &Arc<Self>,
        answer: impl Fn(&Request, &mut TcpStream) -> bool + Clone + Send + 'static,
    ) {
        let listener = TcpListener::bind(self.address).expect("port of a stand-in");
        listener
            .set_nonblocking(true)
            .expect("listener of a stand-in");
        self.is_open.store(true, Ordering::SeqCst);
        let door = Arc::clone(self);
        thread::spawn(move || {
            while door.is_open() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(kept) = stream.try_clone() {
                    door.streams.lock().unwrap().push(kept);
                }
                let answer = answer.clone();
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                    let _ = serve_connection(stream, answer);
                });
            }
        });
    }

    /// Ends all connections and listens no longer; false if it did not before.
    pub fn shut(&self) -> bool {
        let was_open = self.is_open.swap(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        was_open
    }
}

/// Answers the requests of a connection.
fn serve_connection(
    mut stream: TcpStream,
    answer: impl Fn(&Request, &mut TcpStream) -> bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer)? {
        let mut words = head.lines().next().unwrap_or_default().split(' ');
        let target = words.nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let headers = headers_of(&head);
        let body = read_body(&mut stream, &mut buffer, &headers, false)?;
        let request = Request {
            path: path.to_owned(),
            query: query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .map(|(k, v)| (k.to_owned(), decode(v)))
                .collect(),
            headers,
            body,
        };
        if !answer(&request, &mut stream) {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// What a client got.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection; an error is a connection refused, closed or silent.
pub fn call(to: SocketAddr, text: &str, limit: Duration) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.write_all(text.as_bytes())?;
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer)? else {
        return Err(io::ErrorKind::ConnectionAborted.into());
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let headers = headers_of(&head);
    let body = read_body(&mut stream, &mut buffer, &headers, true)?;
    Ok(Answer {
        status: status.unwrap_or(0),
        headers,
        body,
    })
}
