//! An answer to an earlier request that comes where the next one is due.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use brassrack::http::REQUEST_ID;
use brassrack::outbound::{Answer, Freshness, Outbound, OutboundSettings, SendError, SendFault};
use brassrack::verdict::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);
const MOST: usize = 4096;

/// An endpoint whose answers all name the same request, if any.
async fn endpoint(named: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                let answer = format!("HTTP/1.1 200 OK\r\n{named}content-length: 5\r\n\r\nwhole");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

async fn call(to: SocketAddr, id: Option<&str>) -> Result<Answer, SendError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/order".parse().unwrap();
    if let Some(id) = id {
        let headers = request.headers_mut();
        headers.insert(REQUEST_ID, id.parse().unwrap());
    }
    let pool = Outbound::default();
    pool.call(to, request, Freshness::Proved, LIMIT, MOST).await
}

/// Guards against orders and reports, which name no request, that take the late answer to a call.
#[tokio::test]
async fn answer_to_a_call_is_none_to_an_order() {
    let to = endpoint("x-request-id: a\r\n").await;
    assert_eq!(call(to, Some("a")).await.unwrap().body, "whole");
    for id in [Some("b"), None] {
        let error = call(to, id).await.unwrap_err();
        let found = (error.fault, error.verdict());
        assert_eq!(found, (SendFault::Crossed, Verdict::MayHaveRun), "{id:?}");
    }
    for named in ["", "x-request-id: \r\n"] {
        let to = endpoint(named).await;
        assert_eq!(call(to, None).await.unwrap().body, "whole");
    }
}

/// An endpoint that sends each answer again, late: before the answer to the next request on its
/// connection. An answer holds the number of the request.
async fn repeating_endpoint() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let number = Arc::new(AtomicU32::new(0));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let number = Arc::clone(&number);
            tokio::spawn(async move {
                let (mut request, mut copy) = ([0; 4096], String::new());
                while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let body = number.fetch_add(1, Ordering::Relaxed) + 1;
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{body}");
                    let both = format!("{copy}{answer}");
                    stream.write_all(both.as_bytes()).await.unwrap();
                    copy = answer;
                }
            });
        }
    });
    address
}

/// Guards against an order that takes the late second copy of the answer to a report or an order for
/// its own.
#[tokio::test]
async fn second_copy_is_no_answer_to_the_next_order() {
    let to = repeating_endpoint().await;
    let pool = Outbound::new(OutboundSettings {
        late_copy: Duration::from_millis(500),
        ..OutboundSettings::default()
    });
    for number in 1..=3 {
        let request = Request::new(Full::new(Bytes::new()));
        let call = pool.call(to, request, Freshness::Distinct, LIMIT, MOST);
        let body = call.await.unwrap().body;
        assert_eq!(body, number.to_string());
    }
}
