//! Paths of the administration API.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde_json::{Value, to_value};
use tokio::time::timeout;

use super::answer::{Answer, failure, json as answer_json};
use super::console::{Console, ConsoleError};
use super::types::{Failure, FailureCode};
use super::{MAX_BODY, rules};
use crate::settings::Token;

const BODY_TIME: Duration = Duration::from_secs(10);

/// A status and a body, or why there is none.
pub(super) type Outcome = Result<(u16, Value), Failure>;

/// Parameters of a query string.
pub(super) type Query = BTreeMap<String, String>;

/// The routes over one daemon.
#[derive(Debug)]
pub(super) struct Routes {
    pub(super) token: Option<Token>,
    pub(super) console: Arc<dyn Console>,
}

impl Routes {
    pub(super) async fn answer(&self, request: Request<Incoming>) -> Answer {
        match self.route(request).await {
            Ok((status, body)) => answer_json(status, &body),
            Err(e) => failure(&e),
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Outcome {
        self.authorize(&request)?;
        let path = request.uri().path().to_string();
        let query = query(request.uri().query().unwrap_or_default());
        let console = self.console.as_ref();
        if let Some(id) = path.strip_prefix("/v1/requests/") {
            only(&request, &Method::GET)?;
            return record(console, id).await;
        }
        match path.as_str() {
            "/v1/rules" if request.method() == Method::PUT => {
                let body = json_body(request).await?;
                rules::apply(console, &query, &body).await
            }
            "/v1/drain" => {
                only(&request, &Method::POST)?;
                json_body(request).await?;
                encode(202, to_value(console.drain().await))
            }
            _ => {
                let found = get(console, &path, &query, request.method());
                found.await
            }
        }
    }

    /// Checks the token; without one, that no web page of another site sent the request.
    fn authorize(&self, request: &Request<Incoming>) -> Result<(), Failure> {
        let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let denied = |detail: &str| Err(Failure::new(FailureCode::Denied, detail.into()));
        let Some(token) = &self.token else {
            return if header(HOST).is_none_or(is_local) {
                Ok(())
            } else {
                denied("the host header must be an IP number or localhost")
            };
        };
        let bearer = header(AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
        match bearer {
            None => denied("a bearer token is needed"),
            Some(text) if !token.matches(text) => denied("the token is wrong"),
            Some(_) => Ok(()),
        }
    }
}

/// Whether a host header names an IP number or localhost, so that no DNS name led here.
fn is_local(host: &str) -> bool {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    let name = name.trim_start_matches('[').trim_end_matches(']');
    name == "localhost" || name.parse::<IpAddr>().is_ok()
}

async fn get(console: &dyn Console, path: &str, query: &Query, method: &Method) -> Outcome {
    let known = [
        "/v1/status",
        "/v1/servers",
        "/v1/models",
        "/v1/rules",
        "/v1/rules/history",
        "/v1/rules/diff",
    ];
    if !known.contains(&path) {
        let detail = format!("there is no {path}");
        return Err(Failure::new(FailureCode::NotFound, detail));
    }
    if method != Method::GET {
        return Err(bad_method(method));
    }
    match path {
        "/v1/status" => encode(200, to_value(console.status().await?)),
        "/v1/servers" => encode(200, to_value(console.servers().await?)),
        "/v1/models" => encode(200, to_value(console.models().await?)),
        "/v1/rules/history" => rules::history(console, query).await,
        "/v1/rules/diff" => rules::diff(console, query).await,
        _ => rules::show(console, query).await,
    }
}

async fn record(console: &dyn Console, id: &str) -> Outcome {
    if let Some(record) = console.request(id.into()).await? {
        return encode(200, to_value(record));
    }
    let detail = format!("no instance has a record of request {id}");
    Err(Failure::new(FailureCode::NotFound, detail))
}

fn only(request: &Request<Incoming>, method: &Method) -> Result<(), Failure> {
    if request.method() == method {
        return Ok(());
    }
    Err(bad_method(request.method()))
}

fn bad_method(method: &Method) -> Failure {
    let detail = format!("this path has no method {method}");
    Failure::new(FailureCode::BadMethod, detail)
}

/// The body of a change, bounded in size and time.
async fn json_body(request: Request<Incoming>) -> Result<Bytes, Failure> {
    // Other sites' pages cannot send this type without asking first.
    let kind = request
        .headers()
        .get(CONTENT_TYPE)
        .map(|v| v.as_bytes().to_vec());
    if kind
        .as_deref()
        .is_none_or(|k| !k.starts_with(b"application/json"))
    {
        return Err(bad_request("content-type must be application/json"));
    }
    let body = Limited::new(request.into_body(), MAX_BODY).collect();
    match timeout(BODY_TIME, body).await {
        Err(_) => {
            let detail = "the body arrived too slowly".into();
            Err(Failure::new(FailureCode::SlowSender, detail))
        }
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {MAX_BODY} bytes");
            Err(Failure::new(FailureCode::TooLarge, detail))
        }
        Ok(Err(e)) => Err(bad_request(&e.to_string())),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

pub(super) fn bad_request(detail: &str) -> Failure {
    Failure::new(FailureCode::BadRequest, detail.into())
}

pub(super) fn encode(status: u16, body: serde_json::Result<Value>) -> Outcome {
    match body {
        Ok(body) => Ok((status, body)),
        Err(e) => Err(Failure::new(FailureCode::Unavailable, e.to_string())),
    }
}

/// Parameters of a query string; none of the API's needs escapes.
fn query(text: &str) -> Query {
    text.split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}

impl From<ConsoleError> for Failure {
    fn from(error: ConsoleError) -> Self {
        Self::new(FailureCode::Unavailable, error.to_string())
    }
}
