//! A small HTTP client: one connection a request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::fault::Fault;

/// Longest time that a call may take.
const CALL_LIMIT: Duration = Duration::from_mins(1);

/// Why a call has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The request is malformed.
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection broke during the call.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer did not come in time.
    #[error("no answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The other side refused.
    #[error("refused: {0}")]
    Refused(String),
}

/// A request to send.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// HTTP method; empty means GET.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Ask {
    /// A request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }

    /// A request with a JSON body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: "POST".into(),
            path: path.into(),
            body: body.into(),
            ..Self::default()
        }
        .header("content-type", "application/json")
    }

    /// A request that puts a JSON body.
    #[must_use]
    pub fn put(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: "PUT".into(),
            ..Self::post(path, body)
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn build(&self, to: SocketAddr) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let method = match self.method.as_str() {
            "" => "GET",
            other => other,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(&self.path)
            .header("host", to.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// A header as text, empty where absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON, null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A connection that can carry several calls, one after the other.
#[derive(Debug)]
pub struct Connection {
    to: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// [`CallError`] where the other side does not take the connection.
    pub async fn open(to: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { to, sender })
    }

    /// Sends a request and returns the answer as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// [`CallError`] where no head arrives.
    pub async fn start(&mut self, ask: &Ask) -> Result<Response<Incoming>, CallError> {
        let request = ask.build(self.to)?;
        self.sender.ready().await?;
        Ok(self.sender.send_request(request).await?)
    }

    /// Sends a request and collects the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`] where the whole answer does not arrive.
    pub async fn call(&mut self, ask: &Ask) -> Result<Reply, CallError> {
        let (head, body) = self.start(ask).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Sends a request on a connection of its own and collects the answer, bounded in time.
///
/// # Errors
///
/// [`CallError`] where the whole answer does not arrive.
pub async fn call(to: SocketAddr, ask: &Ask) -> Result<Reply, CallError> {
    tokio::time::timeout(CALL_LIMIT, async {
        Connection::open(to).await?.call(ask).await
    })
    .await?
}

/// Sets a fault at a stand-in; the query limits it, such as `path=/v1/orders&count=1`.
///
/// # Errors
///
/// [`CallError`] where the stand-in does not confirm.
pub async fn set_fault(to: SocketAddr, query: &str, fault: Fault) -> Result<(), CallError> {
    let body = serde_json::json!(fault).to_string();
    let reply = call(to, &Ask::put(format!("/fault?{query}"), body)).await?;
    if reply.status == StatusCode::OK {
        return Ok(());
    }
    Err(CallError::Refused(reply.text()))
}

/// Fetches what really happened at a stand-in, as its ledger's JSON.
///
/// # Errors
///
/// [`CallError`] where the stand-in does not answer.
pub async fn ledger(to: SocketAddr) -> Result<Value, CallError> {
    Ok(call(to, &Ask::get("/ledger")).await?.json())
}
