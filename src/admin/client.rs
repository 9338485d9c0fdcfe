//! Client of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::MAX_BODY;
use super::types::Failure;
use crate::verdict::Verdict;

const CONNECT_TIME: Duration = Duration::from_secs(2);

/// A client that opens a connection for each call.
#[derive(Debug, Clone)]
pub struct Client {
    /// Address of the API.
    pub address: SocketAddr,
    /// Text of the bearer token.
    pub token: Option<String>,
    /// Longest time for one answer.
    pub time: Duration,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// The call surely did not arrive.
    #[error("{0} does not answer: {1}")]
    Unreachable(SocketAddr, String),
    /// The answer was lost; a change may have been accepted.
    #[error("the answer of {0} was lost: {1}")]
    Lost(SocketAddr, String),
    /// The API answered with an error.
    #[error("{0}")]
    Failed(Box<Failure>),
}

impl ClientError {
    /// Whether a change may have been accepted.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(..) => Verdict::NotRun,
            Self::Lost(..) => Verdict::MayHaveRun,
            Self::Failed(failure) => failure.verdict,
        }
    }
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: Failure,
}

impl Client {
    /// Fetches the JSON document at a path.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn get(&self, path: &str) -> Result<Value, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a JSON document to a path and returns the answer.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`]; [`ClientError::verdict`] says whether it may have taken effect.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Value, ClientError> {
        self.call(method, path, Bytes::from(body.to_string())).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value, ClientError> {
        let request = self.request(method, path, body)?;
        let stream = self.connect().await?;
        timeout(self.time, self.exchange(stream, request))
            .await
            .unwrap_or_else(|_elapsed| {
                let time = humantime::format_duration(self.time);
                Err(self.lost(format!("no answer within {time}")))
            })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        request
            .body(Full::new(body))
            .map_err(|e| ClientError::Unreachable(self.address, e.to_string()))
    }

    async fn connect(&self) -> Result<TcpStream, ClientError> {
        match timeout(CONNECT_TIME, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(e)) => Err(ClientError::Unreachable(self.address, e.to_string())),
            Err(_) => {
                let cause = "no connection in time".into();
                Err(ClientError::Unreachable(self.address, cause))
            }
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        request: Request<Full<Bytes>>,
    ) -> Result<Value, ClientError> {
        let lost = |e: hyper::Error| self.lost(e.to_string());
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(lost)?;
        let connection = tokio::spawn(connection);
        let answer = sender.send_request(request).await.map_err(lost)?;
        let success = answer.status().is_success();
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
        connection.abort();
        let body = body.map_err(|e| self.lost(e.to_string()))?.to_bytes();
        let value = serde_json::from_slice(&body).map_err(|e| self.lost(e.to_string()))?;
        if success {
            return Ok(value);
        }
        match serde_json::from_value::<ErrorBody>(value) {
            Ok(body) => Err(ClientError::Failed(Box::new(body.error))),
            Err(e) => Err(self.lost(e.to_string())),
        }
    }

    const fn lost(&self, cause: String) -> ClientError {
        ClientError::Lost(self.address, cause)
    }
}
