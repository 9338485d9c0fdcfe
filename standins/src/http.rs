//! Requests and answers of the stand-ins.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde_json::{Value, json};

/// Header that carries the id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that carries the key of a call that may run only once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that asks an engine to go on with a stream after this many events.
pub const RESUME: HeaderName = HeaderName::from_static("brassrack-resume");
/// Header that tells whether a failed request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("brassrack-verdict");

/// The fault switch cuts the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("fault switch: connection cut")]
pub struct Cut;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// An answer.
pub type Answer = Response<Body>;

/// A request whose body has arrived.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty where absent.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A header as text, empty where absent.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> String {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    }

    /// A parameter of the query, as written.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Digest of the body in hexadecimal digits.
    #[must_use]
    pub fn digest(&self) -> String {
        blake3::hash(&self.body).to_hex().to_string()
    }
}

/// An answer with a body of the given type.
#[must_use]
pub fn answer(status: StatusCode, kind: &'static str, body: Bytes) -> Answer {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// A JSON answer.
#[must_use]
pub fn json_answer(status: StatusCode, value: &Value) -> Answer {
    answer(status, "application/json", value.to_string().into())
}

/// A JSON answer that names a cause.
#[must_use]
pub fn failure(status: StatusCode, cause: &str) -> Answer {
    json_answer(status, &json!({ "cause": cause }))
}

/// A failure of a request that surely did not run.
#[must_use]
pub fn not_run(status: StatusCode, cause: &str) -> Answer {
    let mut answer = failure(status, cause);
    answer
        .headers_mut()
        .insert(VERDICT, HeaderValue::from_static("not-run"));
    answer
}
