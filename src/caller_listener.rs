//! HTTP listener for callers.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::completions::Completion;
use crate::http::{self, Body};
use crate::request::{self, CallerRequest, CompletionRequest};
use crate::request_context::RequestContext;
use crate::verdict::{Cause, Refusal};

/// Maximum number of connections beyond the limit that get a refusal before they are closed.
const MAX_REFUSING_CONNECTIONS: usize = 64;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of the listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Maximum number of connections that are served at once.
    pub max_connections: usize,
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum time for the request head to arrive.
    pub head_timeout: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(5),
        }
    }
}

/// Accepts connections until `stop` is set, then shuts the open ones down gracefully.
///
/// Returns once the last connection is closed.
pub async fn run(
    listener: TcpListener,
    context: RequestContext,
    limits: ListenerLimits,
    stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let refusing_slots = Arc::new(Semaphore::new(MAX_REFUSING_CONNECTIONS));
    let connections = TaskTracker::new();
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|s| *s) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (slot, mode) = match Arc::clone(&slots).try_acquire_owned() {
            Ok(slot) => (slot, ConnectionMode::Serving),
            Err(_full) => match Arc::clone(&refusing_slots).try_acquire_owned() {
                Ok(slot) => (slot, ConnectionMode::Refusing),
                Err(_full) => {
                    log::warn!("too many connections; closed a new one without a response");
                    continue;
                }
            },
        };
        let connection =
            serve_connection(stream, context.clone(), limits.clone(), mode, stop.clone());
        connections.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    connections.close();
    connections.wait().await;
}

/// How the requests of a connection are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionMode {
    /// Requests are served.
    Serving,
    /// The connection limit is reached: refuses one request, then closes the connection.
    Refusing,
}

async fn serve_connection(
    stream: TcpStream,
    context: RequestContext,
    limits: ListenerLimits,
    mode: ConnectionMode,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot set TCP_NODELAY on a caller's connection");
    }
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, std::convert::Infallible>(Box::pin(respond(context, mode, request)).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_connection_error(result),
        _ = stop.wait_for(|s| *s) => connection.as_mut().graceful_shutdown(),
    }
    log_connection_error(connection.await);
}

fn log_connection_error(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:% = error; "a caller's connection ended with an error");
    }
}

/// Responds to one request.
///
/// The connection closes afterwards if it is [`ConnectionMode::Refusing`] or the instance is
/// stopping.
async fn respond(
    context: RequestContext,
    mode: ConnectionMode,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut answer = match mode {
        ConnectionMode::Serving => route(&context, request).await,
        ConnectionMode::Refusing => refuse(
            &Refusal::not_run(Cause::Overload)
                .detail("too many connections")
                .retry_after(Duration::from_secs(1)),
        ),
    };
    if mode == ConnectionMode::Refusing || *context.stopping.borrow() {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn route(context: &RequestContext, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Response::new(http::full("ok\n")),
        (&Method::GET, "/readyz") => readiness_response(context),
        (&Method::GET, "/metrics") => metrics_response(context),
        (&Method::GET, "/v1/models") => models_response(context),
        (&Method::POST, "/v1/chat/completions") => serve_completion(context, request).await,
        (_, path) if path.starts_with(crate::service_calls::PATH_PREFIX) => {
            crate::service_calls::serve(context, request).await
        }
        _ => refuse(&Refusal::not_run(Cause::Unknown).detail(format!("no such path: {path}"))),
    }
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    http::refuse(refusal, &request::new_request_id())
}

fn readiness_response(context: &RequestContext) -> Response<Body> {
    if context.ready() {
        return Response::new(http::full("ready\n"));
    }
    refuse(&Refusal::not_run(Cause::NotReady).retry_after(Duration::from_secs(1)))
}

fn metrics_response(context: &RequestContext) -> Response<Body> {
    match context.metrics.text() {
        Ok(text) => {
            let mut answer = Response::new(http::full(text));
            let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
            answer.headers_mut().insert(CONTENT_TYPE, content_type);
            answer
        }
        Err(error) => refuse(&Refusal::not_run(Cause::NotReady).detail(error.to_string())),
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

fn models_response(context: &RequestContext) -> Response<Body> {
    let rules = match context.in_force() {
        Ok(rules) => rules,
        Err(refusal) => return refuse(&refusal),
    };
    let entry = |(id, model): (&String, &crate::rules::Model)| ModelEntry {
        id: id.clone(),
        object: "model",
        owned_by: model.engines.clone(),
    };
    let data = rules.rules.models.iter().map(entry).collect();
    http::json(
        200,
        &ModelList {
            object: "list",
            data,
        },
    )
}

async fn serve_completion(context: &RequestContext, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let caller_request = match CallerRequest::from_headers(&head.headers, &context.limits) {
        Ok(caller_request) => caller_request,
        Err(refusal) => return refuse(&refusal),
    };
    let refused_request = caller_request.clone();
    match admit(context, caller_request, body).await {
        Ok(completion) => completion.serve().await,
        Err(refusal) => context.refuse(&refused_request, "completion", &refusal),
    }
}

async fn admit(
    context: &RequestContext,
    caller_request: CallerRequest,
    body: Incoming,
) -> Result<Completion, Refusal> {
    context.in_force()?;
    let pass = context.admission.admit(&caller_request.tenant)?;
    let body = request::read_body(body, &context.limits).await?;
    let prompt = CompletionRequest::parse(&body)?;
    Completion::new(context, caller_request, prompt, body, pass)
}
