//! HTTP/1.1 with blocking sockets: a server's side and a caller's side.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let pair = query.split('&').filter_map(|p| p.split_once('='));
        let mut found = pair.filter(|(n, _)| *n == name);
        found
            .next()
            .map_or_else(String::new, |(_, v)| v.replace("%00", "\0"))
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
    Ok(Some(text))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body; none at its end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_e| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    if size == 0 {
        read_headers(reader)?;
        return Ok(None);
    }
    read_line(reader)?;
    Ok(Some(chunk))
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_e| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// What a handler did with a connection.
pub enum Served {
    Keep,
    Close,
}

pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<Served> + Send + Sync;

/// Serves an address until `stop` is set; the listener is closed then.
pub fn serve(listener: TcpListener, stop: Arc<AtomicBool>, handler: Arc<Handler>) {
    listener.set_nonblocking(true).expect("nonblocking");
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let handler = Arc::clone(&handler);
                    let builder = thread::Builder::new().stack_size(256 << 10);
                    let spawned = builder.spawn(move || {
                        let _ = stream.set_nonblocking(false);
                        let _ = serve_connection(stream, &handler);
                    });
                    drop(spawned);
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(&request, &mut writer)? {
            Served::Keep => {}
            Served::Close => return Ok(()),
        }
    }
    Ok(())
}

pub fn respond(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Served> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    to.write_all(&bytes)?;
    Ok(Served::Keep)
}

/// What a caller got.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// 0 where there was none.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body came to its end as its framing says.
    pub whole: bool,
    pub error: String,
}

/// Sends a request on a connection of its own; gives up after a silence of `limit`.
pub fn ask(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let connected = TcpStream::connect_timeout(&at, Duration::from_secs(1));
    let outcome = connected.and_then(|mut stream| {
        ask_on(&mut stream, method, path, headers, body, limit, &mut answer)
    });
    if let Err(error) = outcome {
        answer.error = error.to_string();
    }
    answer
}

/// The same on an open connection.
pub fn ask_on(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let first = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    answer.headers = read_headers(&mut reader)?;
    answer.status = status;
    if header(&answer.headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
    } else {
        let length = header(&answer.headers, "content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body)?;
    }
    answer.whole = true;
    Ok(())
}
