//! Model engine over HTTP.

mod ledger;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brassrack::engine::{Action, Order};
use bytes::Bytes;
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};

pub use ledger::{Change, End, Ledger, Ordered, Outcome, Run, Step};
use state::{State, Ticket};

use crate::answer::Prompt;
use crate::client::{Ask, call};
use crate::http::{Answer, Call, REQUEST_ID, RESUME, answer, failure, json_answer, not_run};
use crate::server::lock;
use crate::weights::nanos;

/// Text in a request's body that makes the engine's process exit.
pub const CRASH_MARK: &str = "crash-engine";
/// Exit code after a request that crashes the engine.
const CRASH_CODE: i32 = 70;
/// Pause between looks at the base of a loading adapter.
const BASE_POLL: Duration = Duration::from_millis(2);

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Whether fencing numbers are checked.
    pub checked: bool,
    /// Weight store; without one a load takes its bytes over `rate`.
    pub weights: Option<SocketAddr>,
    /// Bytes a second of a load without a weight store.
    pub rate: u64,
    /// Bytes a second of a load from the engine's own disk.
    pub disk: u64,
    /// Tokens of an answer that does not limit them.
    pub tokens: u32,
    /// Time for each token.
    pub gap: Duration,
    /// Requests that run at once; more are queued.
    pub batch: usize,
    /// Age of the reports.
    pub lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory: 80_000_000_000,
            checked: true,
            weights: None,
            rate: 16_000_000_000,
            disk: 64_000_000_000,
            tokens: 16,
            gap: Duration::ZERO,
            batch: 64,
            lag: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    state: Mutex<State>,
    batch: Semaphore,
}

/// A model engine; clones share its state.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Core>);

/// A request in the engine; dropped before its end it counts as cut.
struct Seat {
    core: Arc<Core>,
    ticket: Ticket,
    end: End,
}

impl Drop for Seat {
    fn drop(&mut self) {
        lock(&self.core.state).leave(&self.ticket, self.end);
    }
}

impl Engine {
    /// An engine with nothing loaded.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let boot = format!("{:016x}", rand::random::<u64>());
        let state = State::new(boot, settings.memory, settings.checked, settings.lag);
        Self(Arc::new(Core {
            batch: Semaphore::new(settings.batch),
            state: Mutex::new(state),
            settings,
        }))
    }

    /// Answers one call.
    pub async fn answer(&self, call: Call) -> Answer {
        match (call.method.clone(), call.path.as_str()) {
            (Method::POST, "/v1/orders") => self.order(&call),
            (Method::GET, "/v1/report") => {
                json_answer(StatusCode::OK, &json!(lock(&self.0.state).report()))
            }
            (Method::POST, "/v1/chat/completions") => self.chat(call).await,
            _ => not_run(StatusCode::NOT_FOUND, "unknown"),
        }
    }

    /// What the engine did so far.
    #[must_use]
    pub fn ledger(&self) -> Value {
        json!(lock(&self.0.state).ledger)
    }

    fn order(&self, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
            return failure(StatusCode::BAD_REQUEST, "bad-request");
        };
        let outcome = lock(&self.0.state).order(&order);
        match outcome {
            Outcome::Stale => failure(StatusCode::CONFLICT, "stale-fence"),
            Outcome::Full => failure(StatusCode::INSUFFICIENT_STORAGE, "out-of-memory"),
            Outcome::Known => json_answer(StatusCode::ACCEPTED, &json!(true)),
            Outcome::Accepted => {
                if order.action == Action::Load {
                    tokio::spawn(load(Arc::clone(&self.0), order));
                }
                json_answer(StatusCode::ACCEPTED, &json!(true))
            }
        }
    }

    async fn chat(&self, call: Call) -> Answer {
        let Some(prompt) = Prompt::parse(&call.body, self.0.settings.tokens) else {
            return not_run(StatusCode::BAD_REQUEST, "bad-request");
        };
        let id = call.header(&REQUEST_ID);
        let ticket = lock(&self.0.state).enter(&prompt.model, id, call.digest());
        let Some(ticket) = ticket else {
            return not_run(StatusCode::NOT_FOUND, "not-ready");
        };
        if String::from_utf8_lossy(&call.body).contains(CRASH_MARK) {
            std::process::exit(CRASH_CODE);
        }
        let seat = Seat {
            core: Arc::clone(&self.0),
            ticket,
            end: End::Cut,
        };
        if prompt.stream {
            let skipped = call.header(&RESUME).parse().unwrap_or_default();
            let events = prompt.events().into_iter().skip(skipped).collect();
            return stream(seat, events);
        }
        plain(seat, &prompt).await
    }
}

/// Fetches a checkpoint and makes its replica ready.
async fn load(core: Arc<Core>, order: Order) {
    let whole = fetch(&core, &order).await;
    while whole && lock(&core.state).wanted(&order.op) && !lock(&core.state).base_ready(&order) {
        tokio::time::sleep(BASE_POLL).await;
    }
    lock(&core.state).loaded(&order, whole);
}

/// Fetches a checkpoint from the disk or the weight store; false where that fails.
async fn fetch(core: &Core, order: &Order) -> bool {
    if !lock(&core.state).wanted(&order.op) {
        return false;
    }
    let settings = &core.settings;
    let cached = lock(&core.state).is_cached(&order.model);
    let rate = if cached { settings.disk } else { settings.rate };
    let Some(weights) = settings.weights.filter(|_| !cached) else {
        tokio::time::sleep(Duration::from_nanos(nanos(order.bytes, rate))).await;
        return true;
    };
    let kind = match order.base {
        Some(_) => "adapter",
        None => "model",
    };
    let path = format!(
        "/v1/weights/{}?bytes={}&kind={kind}",
        order.model, order.bytes
    );
    matches!(call(weights, &Ask::get(path)).await, Ok(reply) if reply.status == StatusCode::OK)
}

/// Waits for a place in the batch.
async fn admit<'a>(core: &'a Core, seat: &mut Seat) -> Option<SemaphorePermit<'a>> {
    let permit = core.batch.acquire().await.ok()?;
    lock(&core.state).begin(&mut seat.ticket);
    Some(permit)
}

async fn plain(mut seat: Seat, prompt: &Prompt) -> Answer {
    let core = Arc::clone(&seat.core);
    let _permit = admit(&core, &mut seat).await;
    pause(core.settings.gap * prompt.tokens).await;
    seat.end = End::Whole;
    answer(StatusCode::OK, "application/json", prompt.plain().into())
}

fn stream(seat: Seat, events: Vec<String>) -> Answer {
    let (sender, mut receiver) = mpsc::channel(1);
    tokio::spawn(generate(seat, events, sender));
    let frames = poll_fn(move |cx| receiver.poll_recv(cx).map(|event| event.map(Ok)));
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// Generates the events of a stream until the other side goes away.
async fn generate(mut seat: Seat, events: Vec<String>, sender: mpsc::Sender<Frame<Bytes>>) {
    let core = Arc::clone(&seat.core);
    let _permit = admit(&core, &mut seat).await;
    for event in events {
        pause(core.settings.gap).await;
        if sender.send(Frame::data(event.into())).await.is_err() {
            return;
        }
    }
    seat.end = End::Whole;
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
