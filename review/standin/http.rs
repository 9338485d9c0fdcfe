//! HTTP/1.1 over blocking sockets: reading messages, writing messages.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Start line, headers with lower-case names, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut fields = query.split('&').filter_map(|f| f.split_once('='));
        fields.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.replace("%00", "\0"))
    }
}

/// Reads the start line and the headers; none at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that follows a head.
pub fn read_body(from: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or("x"), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut part = vec![0; size + 2];
            from.read_exact(&mut part)?;
            message.body.extend_from_slice(&part[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)
}

/// Reads a whole message.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    read_body(from, &mut message)?;
    Ok(Some(message))
}

/// Writes a message with a body of this length.
pub fn write(to: &mut TcpStream, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{start}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Connects within a second, as the platform's clients do.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the answer within a time.
pub fn ask(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = connect(to)?;
    write(&mut stream, &format!("{start} HTTP/1.1"), headers, body)?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
