//! Streams that are slow but sound, and streams that are stalled though bytes come now and then.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack::outbound::{Freshness, Outbound};
use brassrack::relay::{CallerStream, EventReader, StreamEnd};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Longest time without an event.
const LIMIT: Duration = Duration::from_millis(400);
/// Pause between two parts of a stream.
const PAUSE: Duration = Duration::from_millis(100);
/// Time in which a stalled stream has to end.
const END: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

/// How the relay of a stream ends that sends these parts, with a pause before each, the last one for
/// ever.
async fn relay(parts: &'static [&'static str]) -> Option<StreamEnd> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        let last = parts.last().into_iter().cycle();
        for part in parts.iter().chain(last) {
            sleep(PAUSE).await;
            if stream.write_all(part.as_bytes()).await.is_err() || part.contains("[DONE]") {
                return;
            }
        }
    });
    let request = Request::new(Full::new(Bytes::new()));
    let pool = Outbound::default();
    let reply = pool.send(address, request, Freshness::Fresh, END).await;
    let (response, _sender) = reply.unwrap().into_parts();
    let mut events = EventReader::new(response.into_body());
    let (mut caller, body) = CallerStream::new();
    tokio::spawn(body.collect());
    let ended = caller.relay(&mut events, LIMIT, &|_| {});
    timeout(END, ended).await.ok()
}

/// Guards against a stalled stream that never ends, as a byte of an event comes now and then.
#[tokio::test]
async fn bytes_without_an_event() {
    assert_eq!(relay(&["data: a\n\n", "d"]).await, Some(StreamEnd::Silent));
}

/// Guards against the same where comments come, which are no events.
#[tokio::test]
async fn comments_without_an_event() {
    let found = relay(&["data: a\n\n", ": ping\n\n"]).await;
    assert_eq!(found, Some(StreamEnd::Silent));
}

/// Guards against a sound stream that is cut since it is slow, or has comments between its events.
#[tokio::test]
async fn slow_events() {
    let parts = &[
        "data: a\n\n",
        ": ping\n\n",
        "da",
        "ta: b\n\n",
        ": ping\r\n\r\n",
        ": ping\n\ndata: c\n\n",
        "data: d\n\n",
        "data: [DONE]\n\n",
    ];
    assert_eq!(relay(parts).await, Some(StreamEnd::Whole));
}
