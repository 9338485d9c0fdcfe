//! Endpoints that send bytes without end: in a head, between the chunks of a body, or in a body.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use brassrack::outbound::{Freshness, Outbound, SendError, SendFault};
use brassrack::relay::{EventReader, StreamEnd};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Time that the caller gives an answer.
const LIMIT: Duration = Duration::from_secs(6);
/// Time in which an answer without end has to be given up.
const SOON: Duration = Duration::from_secs(2);
/// Largest body that the caller accepts, in bytes.
const MOST: usize = 128 << 10;
/// Bytes that an endpoint sends at once.
const PIECE: usize = 4 << 10;
/// Most bytes that a connection takes beyond the body, among them the buffers of the sockets.
const MOST_TAKEN: usize = 512 << 10;
/// The same where the endpoint sends faster than chunks of one byte are read.
const MOST_QUEUED: usize = 16 << 20;

/// An answer without end: how it begins, and what is repeated.
struct Endless {
    begin: &'static str,
    again: &'static str,
    fault: SendFault,
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const ENDLESS: [(&str, Endless); 12] = [
    (
        "status line",
        endless("HTTP/1.1 200 ", "o", SendFault::Garbled),
    ),
    (
        "header",
        endless("HTTP/1.1 200 OK\r\nx: ", "a", SendFault::Garbled),
    ),
    (
        "headers",
        endless("HTTP/1.1 200 OK\r\n", "x: a\r\n", SendFault::Garbled),
    ),
    (
        "1xx",
        endless("", "HTTP/1.1 100 Continue\r\n\r\n", SendFault::Garbled),
    ),
    (
        "early hints",
        endless(
            "",
            "HTTP/1.1 103 Early\r\nlink: a\r\n\r\n",
            SendFault::Garbled,
        ),
    ),
    ("blank lines", endless("", "\r\n", SendFault::Garbled)),
    (
        "no answer",
        endless("", "\u{16}\u{3}\u{1}", SendFault::Garbled),
    ),
    ("chunk extension", endless("1;", "a", SendFault::Unended)),
    ("chunk size", endless("", "0", SendFault::Unended)),
    ("chunk blanks", endless("1", " ", SendFault::Unended)),
    ("chunks", endless("", "1\r\na\r\n", SendFault::Unended)),
    (
        "body",
        endless("HTTP/1.1 200 OK\r\n\r\n", "a", SendFault::Unended),
    ),
];

const fn endless(begin: &'static str, again: &'static str, fault: SendFault) -> Endless {
    Endless {
        begin,
        again,
        fault,
    }
}

/// An endpoint that answers each request alike, and what its connections took until they closed.
struct Endpoint {
    address: SocketAddr,
    closed: mpsc::UnboundedReceiver<usize>,
    opened: Arc<AtomicUsize>,
}

impl Endpoint {
    async fn start(begin: String, again: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (closing, closed) = mpsc::unbounded_channel();
        let opened = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&opened);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                let (closing, begin) = (closing.clone(), begin.clone());
                tokio::spawn(async move {
                    let taken = flood(stream, &begin, again).await;
                    let _ = closing.send(taken);
                });
            }
        });
        Self {
            address,
            closed,
            opened,
        }
    }
}

/// Reads a request and writes until the other end closes; returns the bytes written.
async fn flood(mut stream: TcpStream, begin: &str, again: &str) -> usize {
    let mut request = [0; 4096];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return 0;
    }
    let piece = again.repeat(PIECE / again.len());
    let mut taken = 0;
    let mut next = begin;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        taken += next.len();
        next = &piece;
        sleep(Duration::from_micros(100)).await;
    }
    taken
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/look/1".parse().unwrap();
    request
}

async fn ask(pool: &Outbound, to: SocketAddr) -> Result<(), SendError> {
    let call = pool.call(to, request(), Freshness::Proved, LIMIT, MOST);
    call.await.map(drop)
}

/// Guards against endpoints that keep a request, a processor and memory busy until its deadline.
#[tokio::test]
async fn answer_without_end_is_given_up() {
    for (
        name,
        Endless {
            begin,
            again,
            fault,
        },
    ) in ENDLESS
    {
        let is_chunk = name.starts_with("chunk");
        let begin = format!("{}{begin}", if is_chunk { CHUNKED } else { "" });
        let mut endpoint = Endpoint::start(begin, again).await;
        let pool = Outbound::default();
        let since = Instant::now();
        let error = ask(&pool, endpoint.address).await.unwrap_err();
        assert!(since.elapsed() < SOON, "{name}: {:?}", since.elapsed());
        assert_eq!(error.fault, fault, "{name}: {error}");
        let closed = timeout(SOON, endpoint.closed.recv()).await;
        let taken = closed.expect(name).unwrap();
        let most = if name == "chunks" {
            MOST_QUEUED
        } else {
            MOST + MOST_TAKEN
        };
        assert!(taken < most, "{name}: {taken} bytes");
        ask(&pool, endpoint.address).await.unwrap_err();
        assert_eq!(endpoint.opened.load(Ordering::Relaxed), 2, "{name}");
    }
}

/// An event without end is given up, and costs no more time than its bytes.
#[tokio::test]
async fn event_without_end_is_given_up() {
    for (begin, again) in [
        (CHUNKED, "8\r\naaaaaaaa\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "data: a\n"),
    ] {
        let mut endpoint = Endpoint::start(begin.to_owned(), again).await;
        let pool = Outbound::default();
        let sent = pool.send(endpoint.address, request(), Freshness::Proved, LIMIT);
        let (response, sender) = sent.await.unwrap().into_parts();
        let mut events = EventReader::new(response.into_body());
        let since = Instant::now();
        let end = events.next(Duration::from_secs(30)).await;
        assert_eq!(end, Err(StreamEnd::Invalid));
        assert!(since.elapsed() < 10 * SOON, "{:?}", since.elapsed());
        drop((events, sender));
        let closed = timeout(SOON, endpoint.closed.recv()).await;
        assert!(closed.unwrap().unwrap() < MOST_QUEUED);
    }
}
