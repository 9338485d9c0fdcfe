//! Contract of the administration API.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

mod console;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use brassrack::admin::{
    self, Applied, Apply, Client, ClientError, Failure, FailureCode, RulesAnswer, Status,
};
use brassrack::rules::{Diff, Version};
use brassrack_standins::fault::Fault;
use console::{FakeConsole, TOKEN};
use hyper::Method;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TEXT: &str = "service narocila # Maja: orders\n";

fn client(address: SocketAddr) -> Client {
    Client {
        address,
        token: None,
        time: Duration::from_secs(30),
    }
}

async fn start(console: FakeConsole) -> (Arc<FakeConsole>, Client) {
    let console = Arc::new(console);
    let address = Arc::clone(&console).start(None).await;
    (console, client(address))
}

fn change(base: u64, text: &str) -> Value {
    let apply = Apply {
        base,
        text: text.into(),
        author: "maja".into(),
        op: format!("op-{base}"),
        ..Apply::default()
    };
    serde_json::to_value(apply).unwrap()
}

async fn put(client: &Client, path: &str, body: &Value) -> Result<Applied, Failure> {
    match client.send(Method::PUT, path, body).await {
        Ok(value) => Ok(serde_json::from_value(value).unwrap()),
        Err(ClientError::Failed(failure)) => Err(*failure),
        Err(e) => panic!("{e}"),
    }
}

async fn get_code(client: &Client, path: &str) -> Option<FailureCode> {
    match client.get(path).await {
        Ok(_) => None,
        Err(ClientError::Failed(failure)) => Some(failure.code),
        Err(e) => panic!("{e}"),
    }
}

/// Sends raw bytes and returns the head of the answer.
async fn raw(address: SocketAddr, text: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

#[tokio::test]
async fn reads() {
    let (_, client) = start(FakeConsole::default()).await;
    let cases = [
        ("/v1/status", None),
        ("/v1/servers", None),
        ("/v1/models", None),
        ("/v1/requests/r-1", None),
        ("/v1/requests/r-2", Some(FailureCode::NotFound)),
        ("/v1/requests/", Some(FailureCode::NotFound)),
        ("/v1/rules", Some(FailureCode::NotFound)),
        ("/v1/rules?version=1", Some(FailureCode::NotFound)),
        ("/v1/rules?version=x", Some(FailureCode::BadRequest)),
        ("/v1/rules/history", None),
        ("/v1/rules/history?count=-1", Some(FailureCode::BadRequest)),
        ("/v1/rules/diff", Some(FailureCode::BadRequest)),
        ("/v1/rules/diff?to=1", Some(FailureCode::NotFound)),
        ("/v2/status", Some(FailureCode::NotFound)),
        ("/v1/drain", Some(FailureCode::BadMethod)),
    ];
    for (path, code) in cases {
        assert_eq!(get_code(&client, path).await, code, "{path}");
    }
}

#[tokio::test]
async fn accepted_change_is_shown() {
    let (_, client) = start(FakeConsole::default()).await;
    let applied = put(&client, "/v1/rules?wait=10s", &change(0, TEXT))
        .await
        .unwrap();
    assert_eq!(applied.pending, Some(Vec::new()));
    let answer: RulesAnswer =
        serde_json::from_value(client.get("/v1/rules").await.unwrap()).unwrap();
    assert_eq!(
        (answer.source.text.as_str(), answer.confirmed),
        (TEXT, true)
    );
    let status: Status = serde_json::from_value(client.get("/v1/status").await.unwrap()).unwrap();
    assert_eq!(status.instances[0].version, 1);
    let history: Vec<Version> =
        serde_json::from_value(client.get("/v1/rules/history").await.unwrap()).unwrap();
    assert_eq!(history, [applied.version]);
    let diff: Diff =
        serde_json::from_value(client.get("/v1/rules/diff?to=1").await.unwrap()).unwrap();
    assert_eq!(diff.changes.len(), 1);
}

#[tokio::test]
async fn repeated_operation_makes_one_version() {
    let (_, client) = start(FakeConsole::default()).await;
    let first = put(&client, "/v1/rules", &change(0, TEXT)).await;
    put(&client, "/v1/rules", &change(1, "")).await.unwrap();
    assert_eq!(put(&client, "/v1/rules", &change(0, TEXT)).await, first);
}

#[tokio::test]
async fn wait_names_the_instances_behind() {
    let console = FakeConsole {
        lagging: true,
        ..FakeConsole::default()
    };
    let (_, client) = start(console).await;
    let applied = put(&client, "/v1/rules?wait=1ms", &change(0, TEXT))
        .await
        .unwrap();
    assert_eq!(applied.pending, Some(vec!["brassrack-2".into()]));
}

#[tokio::test]
async fn refused_changes() {
    let (console, client) = start(FakeConsole::default()).await;
    let unnamed = serde_json::json!({"base": 0, "text": TEXT, "author": " "});
    let cases = [
        ("/v1/rules", change(0, "servise"), FailureCode::Invalid),
        ("/v1/rules", change(2, TEXT), FailureCode::NoSuchBase),
        ("/v1/rules", unnamed, FailureCode::BadRequest),
        ("/v1/rules", Value::Null, FailureCode::BadRequest),
        (
            "/v1/rules?wait=2h",
            change(0, TEXT),
            FailureCode::BadRequest,
        ),
        (
            "/v1/rules",
            change(0, &"#".repeat(admin::MAX_RULES + 1)),
            FailureCode::TooLarge,
        ),
        (
            "/v1/rules",
            change(0, &"#".repeat(admin::MAX_BODY)),
            FailureCode::TooLarge,
        ),
    ];
    for (path, body, code) in cases {
        assert_eq!(
            put(&client, path, &body).await.unwrap_err().code,
            code,
            "{path}"
        );
    }
    assert!(console.table.rows().is_empty());
}

#[tokio::test]
async fn loser_of_a_race_sees_the_change() {
    let (_, client) = start(FakeConsole::default()).await;
    put(&client, "/v1/rules", &change(0, TEXT)).await.unwrap();
    let lost = Apply {
        text: "service a # Ann: b".into(),
        author: "tina".into(),
        ..Apply::default()
    };
    let lost = serde_json::to_value(lost).unwrap();
    let failure = put(&client, "/v1/rules", &lost).await.unwrap_err();
    assert_eq!(failure.code, FailureCode::Raced);
    assert_eq!(failure.race.unwrap().diff, Some(Diff::between("", TEXT)));
}

#[tokio::test]
async fn outage_shows_the_version_in_force() {
    let (console, client) = start(FakeConsole::default()).await;
    put(&client, "/v1/rules", &change(0, TEXT)).await.unwrap();
    console.table.switch.set(Fault::Down);
    let answer: RulesAnswer =
        serde_json::from_value(client.get("/v1/rules").await.unwrap()).unwrap();
    assert!(!answer.confirmed);
    let failure = put(&client, "/v1/rules", &change(1, "")).await.unwrap_err();
    assert_eq!(failure.code, FailureCode::Unavailable);
}

#[tokio::test]
async fn only_the_token_opens() {
    let address = Arc::new(FakeConsole::default()).start(Some(TOKEN)).await;
    let cases = [
        (None, Some(FailureCode::Denied)),
        (Some("0123456789abcdeF"), Some(FailureCode::Denied)),
        (Some("0123"), Some(FailureCode::Denied)),
        (Some(TOKEN), None),
    ];
    for (token, code) in cases {
        let client = Client {
            token: token.map(String::from),
            ..client(address)
        };
        assert_eq!(get_code(&client, "/v1/status").await, code, "{token:?}");
    }
}

#[tokio::test]
async fn bad_requests() {
    let address = Arc::new(FakeConsole::default()).start(None).await;
    let long = "x".repeat(64 << 10);
    let cases = [
        (
            "GET /v1/status HTTP/1.1\r\nhost: rack.example\r\n\r\n".into(),
            "401",
        ),
        (
            "GET /v1/status HTTP/1.1\r\nhost: localhost:1\r\n\r\n".into(),
            "200",
        ),
        (
            "GET /v1/status HTTP/1.1\r\nhost: [::1]:1\r\n\r\n".into(),
            "200",
        ),
        (
            "POST /v1/drain HTTP/1.1\r\nhost: [::1]\r\ncontent-length: 0\r\n\r\n".into(),
            "400",
        ),
        (
            "DELETE /v1/rules HTTP/1.1\r\nhost: [::1]\r\n\r\n".into(),
            "405",
        ),
        ("nonsense\r\n\r\n".into(), "400"),
        (
            format!("GET /v1/status HTTP/1.1\r\nhost: [::1]\r\nx: {long}\r\n\r\n"),
            "431",
        ),
    ];
    for (request, status) in cases {
        let expected = format!("HTTP/1.1 {status}");
        let head = raw(address, &request).await;
        assert!(head.starts_with(&expected), "{request:.60} {head}");
    }
}

#[tokio::test]
async fn refusal_carries_its_verdict() {
    let address = Arc::new(FakeConsole::default()).start(None).await;
    let head = raw(address, "GET /v2 HTTP/1.1\r\nhost: [::1]\r\n\r\n").await;
    assert!(
        head.contains("\r\nbrassrack-verdict: not-run\r\n"),
        "{head}"
    );
}

#[tokio::test]
async fn drain_is_told() {
    let (_, client) = start(FakeConsole::default()).await;
    let body = client
        .send(Method::POST, "/v1/drain", &Value::Null)
        .await
        .unwrap();
    assert_eq!(body["instance"], "brassrack-1");
}

#[tokio::test]
async fn open_address_needs_a_token() {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))
        .await
        .unwrap();
    let served = admin::serve(listener, None, Arc::new(FakeConsole::default())).await;
    assert_eq!(
        served.unwrap_err().kind(),
        std::io::ErrorKind::PermissionDenied
    );
}
