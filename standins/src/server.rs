//! The HTTP server of a stand-in and its fault switch.

use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::engine::Engine;
use crate::fault::{Effect, Fault, Switch};
use crate::http::{Answer, Call, Cut, REQUEST_ID, failure, json_answer, not_run};
use crate::line::{Graveyard, Line};
use crate::list::List;
use crate::service::Service;
use crate::store::Store;
use crate::weights::Weights;

/// How long a crossed answer waits for another to be swapped with.
const CROSS_WAIT: Duration = Duration::from_millis(500);
/// Pause before a cut, so that what was sent before it arrives.
const CUT_PAUSE: Duration = Duration::from_millis(5);

/// One of the stand-ins.
#[derive(Debug, Clone)]
pub enum Standin {
    /// Table service and object store.
    Store(Store),
    /// Instance list.
    List(List),
    /// Model engine.
    Engine(Engine),
    /// Plain service.
    Service(Service),
    /// Weight store.
    Weights(Weights),
}

impl Standin {
    async fn answer(&self, call: Call) -> Answer {
        match self {
            Self::Store(store) => store.answer(call).await,
            Self::List(list) => list.answer(&call),
            Self::Engine(engine) => engine.answer(call).await,
            Self::Service(service) => service.answer(&call),
            Self::Weights(weights) => weights.answer(call).await,
        }
    }

    /// What really happened so far.
    #[must_use]
    pub fn ledger(&self) -> Value {
        match self {
            Self::Store(store) => store.ledger(),
            Self::List(list) => list.ledger(),
            Self::Engine(engine) => engine.ledger(),
            Self::Service(service) => service.ledger(),
            Self::Weights(weights) => weights.ledger(),
        }
    }
}

/// A fault for the calls under a path prefix.
#[derive(Debug)]
struct Scope {
    path: String,
    switch: Switch,
    left: Option<u64>,
}

type Parked = (oneshot::Sender<Answer>, Answer);

#[derive(Debug)]
struct Shared {
    standin: Standin,
    scopes: Mutex<Vec<Scope>>,
    open: Mutex<BTreeMap<u64, Arc<AtomicBool>>>,
    graves: Graveyard,
    serial: AtomicU64,
    parked: Mutex<Option<Parked>>,
}

/// A running stand-in; dropping it stops taking connections.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    accept: JoinHandle<()>,
}

impl Server {
    /// Binds a stand-in to an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Any error of binding the address.
    pub async fn bind(address: SocketAddr, standin: Standin) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            standin,
            scopes: Mutex::default(),
            open: Mutex::default(),
            graves: Graveyard::default(),
            serial: AtomicU64::new(0),
            parked: Mutex::default(),
        });
        let accept = tokio::spawn(accept(listener, shared));
        Ok(Self { address, accept })
    }

    /// Waits until the server ends.
    pub async fn wait(mut self) {
        // The accept loop only ends with the runtime; how it ended says nothing more.
        drop((&mut self.accept).await);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(CUT_PAUSE).await;
            continue;
        };
        tokio::spawn(connection(stream, Arc::clone(&shared)));
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let serial = shared.serial.fetch_add(1, Ordering::SeqCst);
    let silent = Arc::new(AtomicBool::new(false));
    lock(&shared.open).insert(serial, Arc::clone(&silent));
    let line = Line::new(stream, silent, Arc::clone(&shared.graves));
    let serve = service_fn(|request| serve(Arc::clone(&shared), serial, request));
    // A broken connection is the other side's matter or a fault that was asked for.
    drop(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(line), serve)
            .await,
    );
    lock(&shared.open).remove(&serial);
}

async fn serve(
    shared: Arc<Shared>,
    serial: u64,
    request: Request<Incoming>,
) -> Result<Answer, Cut> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(Cut);
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    match (call.method.clone(), call.path.as_str()) {
        (Method::PUT, "/fault") => Ok(shared.set_fault(serial, &call)),
        (Method::GET, "/ledger") => Ok(json_answer(StatusCode::OK, &shared.standin.ledger())),
        _ => shared.faulty(call).await,
    }
}

impl Shared {
    fn set_fault(&self, serial: u64, call: &Call) -> Answer {
        let Ok(fault) = serde_json::from_slice::<Fault>(&call.body) else {
            return failure(StatusCode::BAD_REQUEST, "unknown-fault");
        };
        if fault == Fault::SilentOpen {
            self.silence(serial);
        }
        let path = call.param("path").unwrap_or("/").to_owned();
        let scope = Scope {
            path,
            switch: Switch::default(),
            left: call.param("count").and_then(|n| n.parse().ok()),
        };
        scope.switch.set(fault);
        let mut scopes = lock(&self.scopes);
        scopes.retain(|s| s.path != scope.path);
        scopes.push(scope);
        answer_ok()
    }

    /// Silences all open connections but the one that asks for it.
    fn silence(&self, serial: u64) {
        for (_, silent) in lock(&self.open).iter().filter(|(n, _)| **n != serial) {
            silent.store(true, Ordering::SeqCst);
        }
    }

    /// Decides the fault of one call; the longest prefix counts.
    fn effect(&self, path: &str) -> Effect {
        let mut scopes = lock(&self.scopes);
        let scope = scopes
            .iter_mut()
            .filter(|s| path.starts_with(&s.path) && s.left != Some(0))
            .max_by_key(|s| s.path.len());
        let Some(scope) = scope else {
            return Effect::Answer;
        };
        scope.left = scope.left.map(|n| n - 1);
        scope.switch.next()
    }

    async fn faulty(self: Arc<Self>, call: Call) -> Result<Answer, Cut> {
        let effect = self.effect(&call.path);
        match effect {
            Effect::Refuse => return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, "fault-switch")),
            Effect::Hang => return pending().await,
            Effect::Late(delay) => {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    drop(self.answer(call).await);
                });
                return Err(Cut);
            }
            _ => {}
        }
        let answer = self.answer(call).await;
        match effect {
            Effect::Delay(delay) => tokio::time::sleep(delay).await,
            Effect::Lose => return Err(Cut),
            Effect::Mute => return pending().await,
            Effect::CutAfter(frames) => return Ok(cut_after(answer, frames)),
            Effect::Cross => return Ok(self.cross(answer).await),
            _ => {}
        }
        Ok(answer)
    }

    /// The stand-in's answer under the id of the request.
    async fn answer(&self, call: Call) -> Answer {
        let id = call.headers.get(REQUEST_ID).cloned();
        let mut answer = self.standin.answer(call).await;
        if let Some(id) = id {
            answer.headers_mut().insert(REQUEST_ID, id);
        }
        answer
    }

    /// Swaps the answer with that of another crossed call.
    async fn cross(&self, answer: Answer) -> Answer {
        let (sender, receiver) = oneshot::channel();
        {
            let mut parked = lock(&self.parked);
            match parked.take() {
                Some((partner, other)) => {
                    // A partner that has gone leaves its answer all the same.
                    drop(partner.send(answer));
                    return other;
                }
                None => *parked = Some((sender, answer)),
            }
        }
        if let Ok(Ok(other)) = tokio::time::timeout(CROSS_WAIT, receiver).await {
            return other;
        }
        match lock(&self.parked).take() {
            Some((_, mut own)) => {
                own.headers_mut()
                    .insert(REQUEST_ID, HeaderValue::from_static("crossed"));
                own
            }
            None => failure(StatusCode::INTERNAL_SERVER_ERROR, "crossed"),
        }
    }
}

fn answer_ok() -> Answer {
    json_answer(StatusCode::OK, &Value::Bool(true))
}

/// The answer's head and first frames, then a cut.
fn cut_after(answer: Answer, frames: u32) -> Answer {
    let (head, body) = answer.into_parts();
    let kept = body
        .into_data_stream()
        .take(frames as usize)
        .map(|chunk| chunk.map(Frame::data));
    let cut = futures_util::stream::once(async {
        tokio::time::sleep(CUT_PAUSE).await;
        Err(Cut)
    });
    Answer::from_parts(head, StreamBody::new(kept.chain(cut)).boxed_unsync())
}

/// Locks a mutex whose holder can't have left it half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
