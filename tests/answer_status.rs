//! Statuses of answers: only those of final answers pass for answers.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use brassrack::outbound::{Answer, Freshness, Outbound, SendError, SendFault};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// An endpoint that answers each request with a status and a body.
async fn endpoint(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut asked = [0; 4096];
            let _ = stream.read(&mut asked).await;
            let answer = format!("HTTP/1.1 {status} Some\r\ncontent-length: 4\r\n\r\nbody");
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.read(&mut asked).await;
        }
    });
    address
}

async fn call(status: &'static str) -> Result<Answer, SendError> {
    let request = Request::get("/x").body(Full::<Bytes>::default()).unwrap();
    let limit = Duration::from_secs(2);
    let to = endpoint(status).await;
    let pool = Outbound::default();
    pool.call(to, request, Freshness::Fresh, limit, 1024).await
}

/// Guards against MIXED: a status that is no final answer's is passed on with its body.
#[tokio::test]
async fn other_statuses_are_no_answers() {
    for status in ["000", "099", "101", "199", "600", "999"] {
        let fault = call(status).await.map_err(|error| error.fault);
        let fault = fault.map(|answer| answer.head.status);
        assert_eq!(fault, Err(SendFault::Garbled), "{status}");
    }
}

#[tokio::test]
async fn final_statuses_are_answers() {
    for status in ["200", "299", "302", "421", "503", "599"] {
        let answer = call(status).await.unwrap();
        assert_eq!(answer.head.status.as_str(), status);
        assert_eq!(answer.body, "body");
    }
}
