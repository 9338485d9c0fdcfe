//! A caller's request: what its head and its body say.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use crate::http;
use crate::request_context::RequestLimits;
use crate::verdict::{Cause, Refusal};

/// Longest request id, tenant or idempotency key, in bytes.
const NAME_BYTES: usize = 256;

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Request id, the caller's or a new one.
    pub id: String,
    /// Tenant.
    pub tenant: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time to the first byte of the answer.
    pub timeout: Duration,
    /// When the first byte is due.
    pub due: Instant,
}

impl CallerRequest {
    /// Reads the head of a request that arrives now.
    ///
    /// # Errors
    ///
    /// [`Cause::BadRequest`] where a header is unreadable or impossible.
    pub fn read(headers: &HeaderMap, bounds: &RequestLimits) -> Result<Self, Refusal> {
        let timeout = match http::text(headers, http::TIMEOUT) {
            Some(text) => parse_timeout(text, bounds.max_timeout)?,
            None => bounds.default_timeout,
        };
        Ok(Self {
            id: name(headers, http::REQUEST_ID)?.unwrap_or_else(new_id),
            tenant: name(headers, http::TENANT)?.unwrap_or_default(),
            key: name(headers, http::IDEMPOTENCY_KEY)?,
            timeout,
            due: Instant::now() + timeout,
        })
    }

    /// Time that is left until the first byte is due.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }
}

/// A new request id.
#[must_use]
pub fn new_id() -> String {
    format!("r-{:016x}", rand::random::<u64>())
}

fn name(headers: &HeaderMap, header: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let readable = value
        .to_str()
        .ok()
        .filter(|t| !t.is_empty() && t.len() <= NAME_BYTES);
    readable.map(|t| Some(t.to_owned())).ok_or_else(|| {
        Refusal::not_run(Cause::BadRequest).detail(format!(
            "header {header}: expected 1 to {NAME_BYTES} printable characters"
        ))
    })
}

fn parse_timeout(text: &str, longest: Duration) -> Result<Duration, Refusal> {
    let parsed = humantime::parse_duration(text).ok();
    parsed
        .filter(|t| !t.is_zero() && *t <= longest)
        .ok_or_else(|| {
            let longest = humantime::format_duration(longest);
            Refusal::not_run(Cause::BadRequest).detail(format!(
                "header {}: expected a time such as 1500ms, at most {longest}, found '{text}'",
                http::TIMEOUT
            ))
        })
}

/// Reads a body within the bounds.
///
/// # Errors
///
/// [`Cause::TooLarge`], [`Cause::SlowSender`] or [`Cause::BadRequest`].
pub async fn read_body(body: Incoming, bounds: &RequestLimits) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, bounds.body_bytes).collect();
    let collected = timeout(bounds.body_timeout, limited)
        .await
        .map_err(|_elapsed| {
            Refusal::not_run(Cause::SlowSender).detail("the body did not arrive in time")
        })?;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| {
            if e.downcast_ref::<LengthLimitError>().is_some() {
                return Refusal::not_run(Cause::TooLarge).detail(format!(
                    "the body is larger than {} bytes",
                    bounds.body_bytes
                ));
            }
            Refusal::not_run(Cause::BadRequest).detail("the body ended early")
        })
}

/// What a completion request must say; all other fields go to the engine unread.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Prompt {
    /// Model or adapter.
    pub model: String,
    /// Whether the answer is an event stream.
    #[serde(default)]
    pub stream: bool,
}

impl Prompt {
    /// Reads the body of a completion request.
    ///
    /// # Errors
    ///
    /// [`Cause::BadRequest`] where it is not JSON or names no model.
    ///
    /// # Examples
    ///
    /// ```
    /// let prompt = brassrack::request::Prompt::parse(br#"{"model": "m", "messages": []}"#);
    /// assert_eq!(prompt.unwrap().model, "m");
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|e| {
            Refusal::not_run(Cause::BadRequest).detail(format!("the body is no completion: {e}"))
        })
    }
}
