//! Header names, bodies and answers that both HTTP listeners share.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Serialize;

use crate::verdict::{Cause, Refusal, Verdict};

/// Header that carries the id of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that carries the verdict of a failed request.
pub const VERDICT: &str = "brassrack-verdict";
/// Header that carries the cause of a failed request.
pub const CAUSE: &str = "brassrack-cause";
/// Header that names the tenant of a request.
pub const TENANT: &str = "brassrack-tenant";
/// Header with the longest time to the first byte of the answer, such as `1500ms`.
pub const TIMEOUT: &str = "brassrack-timeout";
/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A whole body.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: String,
    r#type: &'static str,
    code: Cause,
    verdict: Verdict,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// The answer to a refused request.
///
/// # Examples
///
/// ```
/// use brassrack::verdict::{Cause, Refusal};
///
/// let answer = brassrack::http::refuse(&Refusal::not_run(Cause::Overload), "r-1");
/// assert_eq!(answer.headers()["brassrack-verdict"], "not-run");
/// ```
#[must_use]
pub fn refuse(refusal: &Refusal, id: &str) -> Response<Body> {
    let mut answer = json(refusal.cause.status(), &error_body(refusal, id));
    let headers = answer.headers_mut();
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.into()));
    headers.insert(CAUSE, HeaderValue::from_static(refusal.cause.into()));
    if let Some(retry) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(retry)));
    }
    stamp(headers, id);
    answer
}

/// The refusal as JSON text, as answers and event streams carry it.
#[must_use]
pub fn error_json(refusal: &Refusal, id: &str) -> String {
    serde_json::to_string(&error_body(refusal, id)).unwrap_or_default()
}

fn error_body<'a>(refusal: &Refusal, id: &'a str) -> ErrorBody<'a> {
    ErrorBody {
        error: ErrorDetail {
            message: refusal.to_string(),
            r#type: "brassrack_refusal",
            code: refusal.cause,
            verdict: refusal.verdict,
            request_id: id,
            retry_after_ms: refusal.retry_after.map(|r| r.as_millis()),
        },
    }
}

/// An answer with a JSON body.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut answer = Response::new(full(text));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Writes the request id into the head of an answer.
pub fn stamp(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}

/// Sets the `host` header that HTTP/1.1 asks for, where there is none.
pub fn set_host(headers: &mut HeaderMap, to: std::net::SocketAddr) {
    if headers.contains_key(hyper::header::HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        headers.insert(hyper::header::HOST, host);
    }
}

/// Text of a header, if it is there and readable.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Seconds for `retry-after`, rounded up and at least 1.
fn whole_seconds(retry: Duration) -> u64 {
    retry
        .as_millis()
        .div_ceil(1000)
        .max(1)
        .try_into()
        .unwrap_or(u64::MAX)
}
