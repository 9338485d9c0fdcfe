//! Answers that end with their connection, soundly or not.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack::outbound::{Answer, Freshness, Outbound, SendError, SendFault};
use brassrack::relay::{EventReader, StreamEnd};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Version};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const MOST: usize = 4096;

/// How an endpoint ends an answer.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
}

/// An endpoint that gives one answer to each connection and ends it.
async fn endpoint(answer: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(answer.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(20)).await;
            if matches!(end, End::Reset) {
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/look/1".parse().unwrap();
    request
}

async fn call(answer: &'static str, end: End) -> Result<Answer, SendError> {
    let to = endpoint(answer, end).await;
    let pool = Outbound::default();
    pool.call(to, request(), Freshness::Proved, LIMIT, MOST)
        .await
}

#[tokio::test]
async fn close_ends_an_answer_without_length() {
    for answer in [
        "HTTP/1.1 200 OK\r\n\r\nwhole",
        "HTTP/1.0 200 OK\r\n\r\nwhole",
    ] {
        let got = call(answer, End::Close).await.unwrap();
        assert_eq!(got.body, "whole", "{answer}");
    }
}

#[tokio::test]
async fn other_ends_are_breaks() {
    for (answer, end) in [
        ("HTTP/1.1 200 OK\r\n\r\nwhole", End::Reset),
        ("HTTP/1.0 200 OK\r\n\r\nwhole", End::Reset),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole",
            End::Close,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            End::Close,
        ),
    ] {
        let error = call(answer, end).await.unwrap_err();
        assert_eq!(error.fault, SendFault::Body, "{answer} {end:?}");
    }
}

/// Guards against MIXED: a stream in HTTP/1.0 was passed on in HTTP/1.0, where its end is the
/// connection's, so that one broken off inside an event looked complete to the caller.
#[tokio::test]
async fn old_version_goes_no_further() {
    let to = endpoint("HTTP/1.0 200 OK\r\n\r\nid: 1\n\nid", End::Close).await;
    let sent = Outbound::default();
    let sent = sent.send(to, request(), Freshness::Proved, LIMIT);
    let (response, _sender) = sent.await.unwrap().into_parts();
    assert_eq!(response.version(), Version::HTTP_11);
    let mut events = EventReader::new(response.into_body());
    assert_eq!(events.next(LIMIT).await.unwrap(), "id: 1\n\n");
    assert_eq!(events.next(LIMIT).await, Err(StreamEnd::Cut));
    assert!(!events.ended_cleanly());
}
