//! The platform and the engines as they are met over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::BoxFuture;
use crate::engine::{Engine, EngineError, Order, Report};
use crate::instances::{Directory, ListError, Listed, decode_list};
use crate::objects::{ObjectError, Objects};
use crate::outbound::{Answer, Freshness, Outbound, SendError};
use crate::table::{Commit, Read, Row, Table, TableError, Txn};
use crate::verdict::Verdict;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// Calls one outside system over HTTP.
#[derive(Debug, Clone)]
pub struct Remote {
    outbound: Outbound,
    address: SocketAddr,
    limit: Duration,
}

impl Remote {
    /// The system at this address, whose calls may take this long.
    #[must_use]
    pub const fn new(outbound: Outbound, address: SocketAddr, limit: Duration) -> Self {
        Self {
            outbound,
            address,
            limit,
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, SendError> {
        send(&self.outbound, self.address, method, path, body, self.limit).await
    }
}

impl Table for Remote {
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>> {
        Box::pin(async move {
            let answer = self
                .call(Method::POST, "/v1/commit", encode(&txn))
                .await
                .map_err(|e| table_error(&e))?;
            decode_table(&answer)
        })
    }

    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            let answer = self
                .call(Method::POST, "/v1/read", encode(&read))
                .await
                .map_err(|e| table_error(&e))?;
            decode_table(&answer)
        })
    }
}

impl Objects for Remote {
    fn put(&self, key: String, body: Bytes) -> BoxFuture<'_, Result<(), ObjectError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{key}");
            let answer = self
                .call(Method::PUT, &path, body)
                .await
                .map_err(|e| ObjectError(e.to_string()))?;
            if answer.head.status.is_success() {
                return Ok(());
            }
            Err(ObjectError(answer.head.status.to_string()))
        })
    }

    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Bytes>, ObjectError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{key}");
            let answer = self
                .call(Method::GET, &path, Bytes::new())
                .await
                .map_err(|e| ObjectError(e.to_string()))?;
            match answer.head.status {
                StatusCode::NOT_FOUND => Ok(None),
                status if status.is_success() => Ok(Some(answer.body)),
                status => Err(ObjectError(status.to_string())),
            }
        })
    }
}

impl Directory for Remote {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>, ListError>> {
        Box::pin(async move {
            let answer = self
                .call(Method::GET, "/v1/instances", Bytes::new())
                .await
                .map_err(|e| ListError(e.to_string()))?;
            decode_list(&answer.body)
        })
    }
}

/// Engines, each at the address of the call.
#[derive(Debug, Clone)]
pub struct RemoteEngines {
    outbound: Outbound,
    limit: Duration,
}

impl RemoteEngines {
    /// Engines whose orders and reports may take this long.
    #[must_use]
    pub const fn new(outbound: Outbound, limit: Duration) -> Self {
        Self { outbound, limit }
    }
}

impl Engine for RemoteEngines {
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async move {
            let body = encode(&order);
            let answer = send(
                &self.outbound,
                to,
                Method::POST,
                "/v1/orders",
                body,
                self.limit,
            )
            .await
            .map_err(|e| engine_error(&e))?;
            match answer.head.status {
                StatusCode::CONFLICT => Err(EngineError::StaleFence),
                StatusCode::INSUFFICIENT_STORAGE => Err(EngineError::OutOfMemory),
                status if status.is_success() => Ok(()),
                status => Err(EngineError::Unknown(status.to_string())),
            }
        })
    }

    fn report(&self, from: SocketAddr) -> BoxFuture<'_, Result<Report, EngineError>> {
        Box::pin(async move {
            let answer = send(
                &self.outbound,
                from,
                Method::GET,
                "/v1/report",
                Bytes::new(),
                self.limit,
            )
            .await
            .map_err(|e| engine_error(&e))?;
            if !answer.head.status.is_success() {
                return Err(EngineError::Unknown(answer.head.status.to_string()));
            }
            serde_json::from_slice(&answer.body).map_err(|e| EngineError::Unknown(e.to_string()))
        })
    }
}

async fn send(
    outbound: &Outbound,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<Answer, SendError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    outbound
        .call(to, request, Freshness::Proved, limit, ANSWER_BYTES)
        .await
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn table_error(error: &SendError) -> TableError {
    match error.verdict() {
        Verdict::NotRun => TableError::Refused(error.to_string()),
        Verdict::MayHaveRun | Verdict::Ran => TableError::Unknown(error.to_string()),
    }
}

fn engine_error(error: &SendError) -> EngineError {
    match error.verdict() {
        Verdict::NotRun => EngineError::Unreachable(error.to_string()),
        Verdict::MayHaveRun | Verdict::Ran => EngineError::Unknown(error.to_string()),
    }
}

fn decode_table<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, TableError> {
    let status = answer.head.status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(TableError::Refused(status.to_string()));
    }
    if !status.is_success() {
        return Err(TableError::Unknown(status.to_string()));
    }
    serde_json::from_slice(&answer.body).map_err(|e| TableError::Unknown(e.to_string()))
}
