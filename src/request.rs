//! Parsing of a caller's request headers and body.

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

/// Maximum length of a request id, tenant or idempotency key.
const MAX_ID_HEADER_BYTES: usize = 256;

/// Parsed headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Request id from the caller, else a generated one.
    pub id: String,
    /// Tenant; empty if the caller names none.
    pub tenant: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Maximum time to the first byte of the answer.
    pub timeout: Duration,
    /// Deadline of the first byte of the answer.
    pub deadline: Instant,
}

impl CallerRequest {
    /// Parses the headers of a request; its deadline counts from now.
    ///
    /// # Errors
    ///
    /// [`Cause::BadRequest`] if a header is malformed or out of range.
    pub fn from_headers(headers: &HeaderMap, bounds: &RequestLimits) -> Result<Self, Refusal> {
        let timeout = match http::text(headers, http::TIMEOUT) {
            Some(text) => parse_timeout(text, bounds.max_timeout)?,
            None => bounds.default_timeout,
        };
        Ok(Self {
            id: id_header(headers, http::REQUEST_ID)?.unwrap_or_else(new_request_id),
            tenant: id_header(headers, http::TENANT)?.unwrap_or_default(),
            key: id_header(headers, http::IDEMPOTENCY_KEY)?,
            timeout,
            deadline: Instant::now() + timeout,
        })
    }

    /// Time remaining until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Generates a random request id.
#[must_use]
pub fn new_request_id() -> String {
    format!("r-{:016x}", rand::random::<u64>())
}

fn id_header(headers: &HeaderMap, header: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let readable = value
        .to_str()
        .ok()
        .filter(|t| !t.is_empty() && t.len() <= MAX_ID_HEADER_BYTES);
    readable.map(|t| Some(t.to_owned())).ok_or_else(|| {
        Refusal::not_run(Cause::BadRequest).detail(format!(
            "header {header}: expected 1 to {MAX_ID_HEADER_BYTES} printable characters"
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

/// Reads a body within the size and time limits.
///
/// # Errors
///
/// [`Cause::TooLarge`] above the size limit, [`Cause::SlowSender`] after the time limit, or
/// [`Cause::BadRequest`] if the body ends early.
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

/// Reads a body within the size and time limits, and drops it.
///
/// A connection that closes with unread bytes is reset, and the response before it may be lost.
pub async fn discard_body(mut body: Incoming, bounds: &RequestLimits) {
    let discard = async {
        let mut left = bounds.body_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    if timeout(bounds.body_timeout, discard).await.is_err() {
        log::debug!("the body of a refused request did not arrive in time");
    }
}

/// Fields read from a completion request; all others reach the engine unparsed.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CompletionRequest {
    /// Name of a model or adapter.
    pub model: String,
    /// Whether the answer is an event stream.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// Parses the body of a completion request.
    ///
    /// # Errors
    ///
    /// [`Cause::BadRequest`] if it is not JSON or names no model.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::request::CompletionRequest;
    ///
    /// let request = CompletionRequest::parse(br#"{"model": "m", "messages": []}"#);
    /// assert_eq!(request.unwrap().model, "m");
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|e| {
            Refusal::not_run(Cause::BadRequest)
                .detail(format!("the body is not a valid completion request: {e}"))
        })
    }
}
