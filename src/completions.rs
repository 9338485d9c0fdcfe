//! The path of a completion: find a replica, send, pass the answer on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use crate::ask::{Ask, Prompt};
use crate::fleet::{Endpoint, NotHeld, Running};
use crate::gate::Gate;
use crate::http::{self, Body};
use crate::loads::{Decider, Phase};
use crate::outbound::{Freshness, Reply, SendError, SendFault};
use crate::records::Record;
use crate::relay::{End, Outlet, RESUME};
use crate::rules::Class;
use crate::verdict::{Cause, Refusal, Verdict};

/// Pause where a replica is ready but its endpoint is not known here yet.
const NEWS_PAUSE: Duration = Duration::from_millis(50);

/// One completion on its way.
#[derive(Debug)]
pub struct Completion {
    gate: Gate,
    ask: Ask,
    prompt: Prompt,
    class: Class,
    body: Bytes,
    tried: BTreeSet<String>,
    attempts: usize,
    worst: Verdict,
    record: Record,
}

/// A reply and the endpoint that gives it.
#[derive(Debug)]
struct Source {
    reply: Reply,
    running: Running,
}

impl Completion {
    /// A completion that passed the limits.
    ///
    /// # Errors
    ///
    /// [`Cause::Unknown`] where no rule names the model.
    pub fn new(gate: &Gate, ask: Ask, prompt: Prompt, body: Bytes) -> Result<Self, Refusal> {
        let rules = gate.in_force()?;
        let model = rules.rules.models.get(&prompt.model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown)
                .detail(format!("no rule names model '{}'", prompt.model))
        })?;
        let class = model.class;
        let record = Record::new(&gate.name, &ask, class, prompt.model.clone());
        Ok(Self {
            gate: gate.clone(),
            ask,
            prompt,
            class,
            body,
            tried: BTreeSet::new(),
            attempts: 0,
            worst: Verdict::NotRun,
            record,
        })
    }

    /// Serves the completion.
    pub async fn serve(mut self) -> Response<Body> {
        let outcome = match self.source(0).await {
            Ok(source) if self.prompt.stream => return self.stream(source),
            Ok(source) => self.whole(source).await,
            Err(refusal) => Err(refusal),
        };
        match outcome {
            Ok(answer) => answer,
            Err(refusal) => {
                let refusal = self.weigh(refusal);
                let answer = http::refuse(&refusal, &self.ask.id);
                self.close(StatusCode::OK, Some(&refusal));
                answer
            }
        }
    }

    /// A reply that begins after `passed` events.
    async fn source(&mut self, passed: u64) -> Result<Source, Refusal> {
        while self.attempts < self.gate.bounds.attempts {
            let endpoint = self.endpoint().await?;
            self.attempts += 1;
            if self.attempts > 1 {
                self.gate.metrics.retried();
            }
            match self.send(&endpoint, passed).await {
                Ok(source) if refused_before_run(&source.reply) => {
                    self.not_held(endpoint.listed.name).await;
                }
                Ok(source) => return Ok(source),
                Err(error) => {
                    self.note(&endpoint, &error).await;
                }
            }
        }
        Err(self.exhausted())
    }

    async fn not_held(&mut self, name: String) {
        self.record
            .step("refused", format!("{name} does not hold the model"));
        let model = self.prompt.model.clone();
        let told = self
            .gate
            .fleet
            .send(NotHeld {
                name: name.clone(),
                model,
            })
            .await;
        if told.is_err() {
            log::debug!("the fleet has stopped");
        }
        self.tried.insert(name);
    }

    async fn note(&mut self, endpoint: &Endpoint, error: &SendError) {
        log::info!(id = self.ask.id, endpoint = endpoint.listed.name, error:% = error; "attempt failed");
        self.record.step("failed", error.to_string());
        self.worst = self.worst.max(error.verdict());
        match error.fault {
            SendFault::Connect | SendFault::Closed | SendFault::NotSent => {
                self.tried.insert(endpoint.listed.name.clone());
                self.gate.lost(&endpoint.listed.name).await;
            }
            SendFault::Silent | SendFault::Crossed | SendFault::Body => {}
        }
    }

    /// An endpoint that holds the model, after a cold start where none does.
    async fn endpoint(&mut self) -> Result<Endpoint, Refusal> {
        loop {
            if let Some(endpoint) = self.pick() {
                self.gate
                    .interest
                    .touch(&self.prompt.model, self.gate.clock.now());
                return Ok(endpoint);
            }
            if self.ask.left().is_zero() {
                return Err(late());
            }
            let waited = Instant::now();
            self.record.step("waiting", "for a replica");
            self.wake().await?;
            self.tried.clear();
            if self.pick().is_none() {
                sleep(NEWS_PAUSE).await;
            }
            let wait = waited.elapsed();
            self.record.wait += wait;
            self.gate.metrics.wait(&self.ask.tenant, self.class, wait);
        }
    }

    fn pick(&self) -> Option<Endpoint> {
        let view = Arc::clone(&self.gate.view.borrow());
        let model = self.prompt.model.as_str();
        let untried = view
            .holders(model)
            .filter(|e| !self.tried.contains(&e.listed.name));
        self.gate
            .least_loaded(untried.map(|e| (e, view.load(e, model))))
    }

    /// Waits for a cold start, or refuses where it takes longer than the time left.
    async fn wake(&self) -> Result<(), Refusal> {
        if self.gate.waiting() >= self.gate.bounds.waiting {
            return Err(Refusal::not_run(Cause::Overload)
                .detail("too many requests wait for a replica")
                .retry_after(Duration::from_secs(1)));
        }
        let _waiting = self.gate.loads.waiters().start(&self.prompt.model);
        let mut phase = self
            .gate
            .loads
            .wake(&self.prompt.model, Decider::Home)
            .await?;
        loop {
            let now = phase.borrow_and_update().clone();
            match now {
                Phase::Ready => return Ok(()),
                Phase::Failed(refusal) => return Err(refusal),
                Phase::Loading { left } if left > self.ask.left() => {
                    return Err(Refusal::not_run(Cause::DeadlineTooShort)
                        .detail("the model is being loaded and is ready only after the deadline")
                        .retry_after(left));
                }
                Phase::Loading { .. } => {}
            }
            match timeout(self.ask.left(), phase.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_closed)) => {
                    return Err(Refusal::not_run(Cause::Stopping)
                        .detail("the instance is stopping")
                        .retry_after(Duration::from_secs(1)));
                }
                Err(_elapsed) => return Err(late()),
            }
        }
    }

    async fn send(&mut self, endpoint: &Endpoint, passed: u64) -> Result<Source, SendError> {
        let name = &endpoint.listed.name;
        self.record.sent(name);
        let running = self.gate.inflight.start(name);
        let link = self
            .gate
            .outbound
            .open(endpoint.listed.address, self.freshness())
            .await?;
        let limit = if link.reused() {
            self.gate.bounds.reused
        } else {
            self.ask.left()
        };
        let reply = link
            .send(self.request(passed), limit.min(self.ask.left()))
            .await?;
        Ok(Source { reply, running })
    }

    /// The head of a stream comes early, so a silent connection shows; a plain answer comes late.
    const fn freshness(&self) -> Freshness {
        if self.prompt.stream && self.attempts == 1 {
            Freshness::Proved
        } else {
            Freshness::Fresh
        }
    }

    fn request(&self, passed: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/v1/chat/completions");
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.prompt.stream {
            headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
        }
        if passed > 0 {
            headers.insert(RESUME, HeaderValue::from(passed));
        }
        http::stamp(headers, &self.ask.id);
        request
    }

    /// Reads a plain answer whole before its first byte goes back.
    async fn whole(&mut self, first: Source) -> Result<Response<Body>, Refusal> {
        let mut source = first;
        loop {
            let read = source
                .reply
                .read(&self.gate.outbound, self.gate.bounds.answer);
            match timeout(self.ask.left(), read).await {
                Ok(Ok(answer)) => {
                    self.answering();
                    self.close(answer.head.status, None);
                    let mut response = Response::new(http::full(answer.body));
                    copy_head(&mut response, answer.head.status, &answer.head.headers);
                    http::stamp(response.headers_mut(), &self.ask.id);
                    return Ok(response);
                }
                Ok(Err(error)) => log::info!(id = self.ask.id, error:% = error; "answer broke"),
                Err(_elapsed) => log::info!(id = self.ask.id; "answer is late"),
            }
            self.worst = Verdict::Ran;
            drop(source.running);
            if self.ask.left().is_zero() {
                return Err(late());
            }
            source = self.source(0).await?;
        }
    }

    /// Passes an event stream on in a task of its own.
    fn stream(self, source: Source) -> Response<Body> {
        let (outlet, body) = Outlet::new();
        let mut response = Response::new(body);
        copy_head(
            &mut response,
            source.reply.response.status(),
            source.reply.response.headers(),
        );
        http::stamp(response.headers_mut(), &self.ask.id);
        tokio::spawn(self.pass(source, outlet));
        response
    }

    async fn pass(mut self, first: Source, mut outlet: Outlet) {
        let mut source = first;
        let refusal = loop {
            let from = source.reply.from;
            match self.pump(source, &mut outlet).await {
                End::Whole => break None,
                End::CallerGone => return self.close(StatusCode::OK, None),
                End::Cut | End::Silent => {
                    log::info!(id = self.ask.id, passed = outlet.passed(); "stream broke at {from}");
                }
            }
            self.worst = Verdict::Ran;
            self.ask.due = Instant::now() + self.gate.bounds.timeout;
            source = match self.source(outlet.passed()).await {
                Ok(source) => source,
                Err(refusal) => break Some(self.weigh(refusal)),
            };
        };
        if let Some(refusal) = &refusal {
            let event = format!(
                "event: error\ndata: {}\n\n",
                http::error_json(refusal, &self.ask.id)
            );
            outlet.pass(event.into()).await;
        }
        self.close(StatusCode::OK, refusal.as_ref());
    }

    async fn pump(&mut self, source: Source, outlet: &mut Outlet) -> End {
        let from: SocketAddr = source.reply.from;
        let (response, sender) = source.reply.into_parts();
        let mut body = response.into_body();
        if outlet.passed() == 0 {
            self.answering();
        }
        let (metrics, tenant, class) = (
            self.gate.metrics.clone(),
            self.ask.tenant.clone(),
            self.class,
        );
        let gaps = move |gap| metrics.gap(&tenant, class, gap);
        let end = outlet.pump(&mut body, self.gate.bounds.gap, &gaps).await;
        if end == End::Whole {
            self.gate.outbound.put(from, sender);
        }
        end
    }

    fn exhausted(&self) -> Refusal {
        Refusal::not_run(Cause::EndpointFailed)
            .detail(format!("{} attempts failed", self.attempts))
            .retry_after(Duration::from_secs(1))
    }

    /// Gives a refusal the worst verdict of all attempts.
    fn weigh(&self, refusal: Refusal) -> Refusal {
        Refusal {
            verdict: refusal.verdict.max(self.worst),
            ..refusal
        }
    }

    fn answering(&mut self) {
        let first = self.record.answering();
        self.gate.metrics.first(&self.ask.tenant, self.class, first);
    }

    /// Writes the record, the log line and the metrics of the finished request.
    fn close(&self, status: StatusCode, refusal: Option<&Refusal>) {
        match refusal {
            Some(refusal) => self.gate.metrics.refused(&self.ask.tenant, refusal),
            None => self.gate.metrics.answered(&self.ask.tenant),
        }
        let record = self.record.clone().close(status.as_u16(), refusal);
        self.gate.records.push(record);
    }
}

fn late() -> Refusal {
    Refusal::not_run(Cause::DeadlinePassed)
        .detail("the deadline passed before the answer began")
        .retry_after(Duration::from_secs(1))
}

/// Whether the engine says that the request did not run there.
fn refused_before_run(reply: &Reply) -> bool {
    let head = reply.response.headers();
    !reply.response.status().is_success() && http::text(head, http::VERDICT) == Some("not-run")
}

fn copy_head(response: &mut Response<Body>, status: StatusCode, headers: &HeaderMap) {
    *response.status_mut() = status;
    if let Some(kind) = headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
}
