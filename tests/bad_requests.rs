//! Bad input of callers: a clear refusal each, as not run, on the record, with nothing disturbed.

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::{Ask, Connection, call};
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, chat, service_path};

const CHAT: &str = "/v1/chat/completions";
const TENANT: &str = "brassrack-tenant";
/// Larger than the largest body that the settings allow.
const LARGE: usize = 5 << 20;

struct Case {
    what: &'static str,
    ask: Ask,
    status: u16,
    cause: &'static str,
}

fn case(what: &'static str, ask: Ask, status: u16, cause: &'static str) -> Case {
    Case {
        what,
        ask,
        status,
        cause,
    }
}

fn ask(body: &str) -> Ask {
    Ask::post(CHAT, body.to_owned()).header(TENANT, "papirnica")
}

fn cases() -> Vec<Case> {
    let good = r#"{"model":"counter-draft","messages":[{"role":"user","content":"x"}]}"#;
    let orders = service_path(ORDER_SERVICE, "/orders");
    let large = format!(
        r#"{{"model":"counter-draft","messages":"{}"}}"#,
        "x".repeat(LARGE)
    );
    vec![
        case("no JSON", ask("wording"), 400, "bad-request"),
        case("no model", ask("{}"), 400, "bad-request"),
        case(
            "model is a number",
            ask(r#"{"model":7}"#),
            400,
            "bad-request",
        ),
        case(
            "unknown model",
            ask(r#"{"model":"nobody"}"#),
            404,
            "unknown",
        ),
        case("empty body", ask(""), 400, "bad-request"),
        case("large body", ask(&large), 413, "too-large"),
        case("no tenant", Ask::post(CHAT, good), 401, "unknown-tenant"),
        case(
            "unknown tenant",
            Ask::post(CHAT, good).header(TENANT, "x"),
            401,
            "unknown-tenant",
        ),
        case(
            "timeout 0s",
            ask(good).header("brassrack-timeout", "0s"),
            400,
            "bad-request",
        ),
        case(
            "timeout soon",
            ask(good).header("brassrack-timeout", "soon"),
            400,
            "bad-request",
        ),
        case(
            "timeout 40d",
            ask(good).header("brassrack-timeout", "40d"),
            400,
            "bad-request",
        ),
        case(
            "long key",
            ask(good).header("idempotency-key", &"k".repeat(300)),
            400,
            "bad-request",
        ),
        case(
            "order without key",
            Ask::post(orders, "{}").header(TENANT, "papirnica"),
            400,
            "key-missing",
        ),
        case(
            "unknown call",
            Ask::post(service_path(ORDER_SERVICE, "/x"), "{}").header(TENANT, "papirnica"),
            404,
            "unknown",
        ),
        case(
            "unknown service",
            Ask::post(service_path("x", "/y"), "{}").header(TENANT, "papirnica"),
            404,
            "unknown",
        ),
        case("unknown path", Ask::get("/v2"), 404, "unknown"),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_as_not_run() {
    let rack = Rack::start(Settings {
        daemons: 1,
        ..Settings::default()
    })
    .await
    .unwrap();
    for case in cases() {
        let reply = rack.call(0, &case.ask).await.unwrap();
        assert_eq!(reply.status, case.status, "{}: {}", case.what, reply.text());
        assert_eq!(reply.header("brassrack-cause"), case.cause, "{}", case.what);
        assert_eq!(
            reply.header("brassrack-verdict"),
            "not-run",
            "{}",
            case.what
        );
        assert_eq!(reply.json()["error"]["code"], case.cause, "{}", case.what);
        assert!(!reply.header("x-request-id").is_empty(), "{}", case.what);
    }
    let good = Prompt {
        model: "counter-draft".into(),
        text: "wording".into(),
        tokens: 4,
        stream: true,
    };
    let reply = rack.call(0, &chat(&good, "papirnica")).await.unwrap();
    assert_eq!(reply.text(), good.bytes());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_on_the_record() {
    let rack = Rack::start(Settings {
        daemons: 1,
        ..Settings::default()
    })
    .await
    .unwrap();
    let unknown = ask(r#"{"model":"nobody"}"#).header("x-request-id", "r-nobody");
    assert_eq!(rack.call(0, &unknown).await.unwrap().status, 404);
    let daemon = &rack.daemons[0];
    let record = call(daemon.admin, &Ask::get("/v1/requests/r-nobody"))
        .await
        .unwrap();
    assert_eq!(record.json()["cause"], "unknown", "{}", record.text());
    let metrics = call(daemon.callers, &Ask::get("/metrics"))
        .await
        .unwrap()
        .text();
    let counted = |line: &str| line.contains("refused") && line.contains(r#"cause="unknown""#);
    assert!(metrics.lines().any(counted), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_connections_are_told() {
    let settings = Settings {
        daemons: 1,
        extra: "limits:\n  connections: 8\n".into(),
        ..Settings::default()
    };
    let rack = Rack::start(settings).await.unwrap();
    let to = rack.daemons[0].callers;
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(Connection::open(to).await.unwrap());
    }
    let refused = call(to, &Ask::get("/v1/models")).await.unwrap();
    assert_eq!(
        refused.header("brassrack-cause"),
        "overload",
        "{}",
        refused.text()
    );
    assert_eq!(refused.header("brassrack-verdict"), "not-run");
    held.clear();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(call(to, &Ask::get("/v1/models")).await.unwrap().status, 200);
}
