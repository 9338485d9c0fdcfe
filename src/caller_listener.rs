//! The listener for callers.

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
use crate::request::{self, CallerRequest, Prompt};
use crate::request_context::Gate;
use crate::verdict::{Cause, Refusal};

/// Connections beyond the bound that are told so before they are closed.
const SPARE_CONNECTIONS: usize = 64;
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admittance {
    /// Most connections at once.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Longest time for the head to arrive.
    pub arrival: Duration,
}

impl Default for Admittance {
    fn default() -> Self {
        Self {
            connections: 4096,
            head: 16 << 10,
            arrival: Duration::from_secs(5),
        }
    }
}

/// Accepts callers until the instance stops, then ends its connections gracefully.
///
/// Returns once the last connection has ended.
pub async fn run(
    listener: TcpListener,
    gate: Gate,
    bounds: Admittance,
    stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(bounds.connections));
    let spare = Arc::new(Semaphore::new(SPARE_CONNECTIONS));
    let open = TaskTracker::new();
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|s| *s) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (slot, mode) = match Arc::clone(&slots).try_acquire_owned() {
            Ok(slot) => (slot, Mode::Serving),
            Err(_full) => match Arc::clone(&spare).try_acquire_owned() {
                Ok(slot) => (slot, Mode::Refusing),
                Err(_full) => {
                    log::warn!("too many connections; one was closed");
                    continue;
                }
            },
        };
        let connection = serve(stream, gate.clone(), bounds.clone(), mode, stop.clone());
        open.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    open.close();
    open.wait().await;
}

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Requests are served.
    Serving,
    /// There are too many connections: one request is refused, then the connection closes.
    Refusing,
}

async fn serve(
    stream: TcpStream,
    gate: Gate,
    bounds: Admittance,
    mode: Mode,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot tune a caller's connection");
    }
    let service = service_fn(move |request| {
        let gate = gate.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(gate, mode, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.arrival)
        .max_buf_size(bounds.head.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        _ = stop.wait_for(|s| *s) => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended");
    }
}

/// Answers one request of a caller; while the instance stops, its connection closes after it.
async fn answer(gate: Gate, mode: Mode, request: Request<Incoming>) -> Response<Body> {
    let mut answer = match mode {
        Mode::Serving => route(&gate, request).await,
        Mode::Refusing => refuse(
            &Refusal::not_run(Cause::Overload)
                .detail("too many connections")
                .retry_after(Duration::from_secs(1)),
        ),
    };
    if mode == Mode::Refusing || *gate.stopping.borrow() {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn route(gate: &Gate, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Response::new(http::full("ok\n")),
        (&Method::GET, "/readyz") => readiness(gate),
        (&Method::GET, "/metrics") => metrics(gate),
        (&Method::GET, "/v1/models") => models(gate),
        (&Method::POST, "/v1/chat/completions") => completion(gate, request).await,
        (_, path) if path.starts_with(crate::calls::PREFIX) => {
            crate::calls::answer(gate, request).await
        }
        _ => refuse(&Refusal::not_run(Cause::Unknown).detail(format!("no such path: {path}"))),
    }
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    http::refuse(refusal, &request::new_id())
}

fn readiness(gate: &Gate) -> Response<Body> {
    if gate.ready() {
        return Response::new(http::full("ready\n"));
    }
    refuse(&Refusal::not_run(Cause::NotReady).retry_after(Duration::from_secs(1)))
}

fn metrics(gate: &Gate) -> Response<Body> {
    match gate.metrics.text() {
        Ok(text) => {
            let mut answer = Response::new(http::full(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            answer.headers_mut().insert(CONTENT_TYPE, kind);
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

fn models(gate: &Gate) -> Response<Body> {
    let rules = match gate.in_force() {
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

async fn completion(gate: &Gate, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let ask = match CallerRequest::read(&head.headers, &gate.bounds) {
        Ok(ask) => ask,
        Err(refusal) => return refuse(&refusal),
    };
    let asked = ask.clone();
    match admit(gate, ask, body).await {
        Ok(completion) => completion.serve().await,
        Err(refusal) => gate.refuse(&asked, "completion", &refusal),
    }
}

async fn admit(gate: &Gate, ask: CallerRequest, body: Incoming) -> Result<Completion, Refusal> {
    gate.in_force()?;
    let pass = gate.admission.admit(&ask.tenant)?;
    let body = request::read_body(body, &gate.bounds).await?;
    let prompt = Prompt::parse(&body)?;
    Completion::new(gate, ask, prompt, body, pass)
}
