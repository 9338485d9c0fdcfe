//! Finds an endpoint for a completion and sends it there.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use tokio::time::{Instant, sleep, timeout};

use super::Completion;
use crate::chooser::{Candidate, Flight};
use crate::cold_start::{Decider, Phase};
use crate::dispatch_queue::Enqueue;
use crate::fleet::{Endpoint, NotHeld};
use crate::http;
use crate::limits::Waiting;
use crate::outbound::{Freshness, Reply, SendError, SendFault};
use crate::relay::RESUME;
use crate::suspect_request::SendMode;
use crate::verdict::{Cause, Refusal, Verdict};

/// Pause after an attempt that surely did not run; the deadline bounds those.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Pause before an endpoint is looked for again.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// A reply and the endpoint that gives it.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) reply: Reply,
    pub(super) endpoint: Endpoint,
    pub(super) flight: Flight,
}

impl Completion {
    /// A reply that begins after `passed` events.
    pub(super) async fn source(&mut self, passed: u64) -> Result<Source, Refusal> {
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
                    if error.verdict() == Verdict::NotRun {
                        self.attempts -= 1;
                        sleep(CONNECT_PAUSE).await;
                    }
                    self.note(&endpoint, &error).await?;
                }
            }
        }
        Err(Refusal::not_run(Cause::EndpointFailed)
            .detail(format!("{} attempts failed", self.attempts))
            .retry_after(Duration::from_secs(1)))
    }

    /// Notes that a reply broke off.
    ///
    /// # Errors
    ///
    /// The refusal where the retry budget is used up.
    pub(super) async fn broke(
        &mut self,
        endpoint: &Endpoint,
        verdict: Verdict,
        detail: String,
    ) -> Result<(), Refusal> {
        self.record.step("broke", detail);
        self.worst = self.worst.max(verdict);
        self.suspicion.inspect(endpoint, &self.prompt.model).await;
        self.spend(verdict)
    }

    async fn not_held(&mut self, name: String) {
        self.record
            .step("refused", format!("{name} does not hold the model"));
        self.suspicion.finish(false).await;
        let model = self.prompt.model.clone();
        let told = NotHeld {
            name: name.clone(),
            model,
        };
        if self.gate.fleet.send(told).await.is_err() {
            log::debug!("the fleet has stopped");
        }
        self.tried.insert(name);
    }

    async fn note(&mut self, endpoint: &Endpoint, error: &SendError) -> Result<(), Refusal> {
        let name = endpoint.listed.name.clone();
        log::info!(id = self.ask.id, endpoint = name, error:% = error; "attempt failed");
        self.record.step("failed", error.to_string());
        self.worst = self.worst.max(error.verdict());
        match error.fault {
            SendFault::Closed => {
                self.suspicion.inspect(endpoint, &self.prompt.model).await;
                self.tried.insert(name);
            }
            SendFault::Connect | SendFault::NotSent => {
                self.suspicion.finish(false).await;
                self.gate.lost(&name).await;
                self.tried.insert(name);
            }
            SendFault::Silent | SendFault::Crossed | SendFault::Body => {
                self.suspicion.finish(false).await;
            }
        }
        self.spend(error.verdict())
    }

    /// Spends one retry.
    fn spend(&self, verdict: Verdict) -> Result<(), Refusal> {
        if self.gate.admission.may_retry(verdict) {
            return Ok(());
        }
        Err(Refusal::new(verdict, Cause::EndpointFailed)
            .detail("the endpoint failed and the retry budget is used up")
            .retry_after(Duration::from_secs(1)))
    }

    /// An endpoint that holds the model, after a cold start where none does.
    async fn endpoint(&mut self) -> Result<Endpoint, Refusal> {
        loop {
            if self.ask.left().is_zero() {
                return Err(super::late());
            }
            let mode = self.suspicion.send_mode()?;
            if mode == SendMode::Normal && self.held() {
                self.turn().await?;
            }
            if let Some(endpoint) = self.pick(&mode) {
                self.gate
                    .subscriptions
                    .touch(&self.prompt.model, self.gate.clock.now());
                if mode == SendMode::Normal
                    || self.suspicion.begin(&endpoint, &self.prompt.model).await?
                {
                    return Ok(endpoint);
                }
            }
            let waited = Instant::now();
            self.record.step("waiting", "for a replica");
            if !self.held() {
                self.wake().await?;
                self.tried.clear();
            }
            if mode == SendMode::Isolated || self.pick(&mode).is_none() {
                sleep(LOOK_PAUSE).await;
            }
            let wait = waited.elapsed();
            self.record.wait += wait;
            self.gate.metrics.wait(&self.ask.tenant, self.class, wait);
        }
    }

    /// Waits its turn where the endpoints have too much work, or others wait already.
    async fn turn(&mut self) -> Result<(), Refusal> {
        let model = &self.prompt.model;
        if self.gate.lined.count(model) == 0 && self.gate.has_room(model) {
            return Ok(());
        }
        let _lined = self.gate.lined.start(model);
        self.record.step("waiting", "for its turn");
        let enqueue = Enqueue {
            model: model.clone(),
            waiting: Waiting {
                id: 0,
                tenant: self.ask.tenant.clone(),
                class: self.class,
                deadline: self.gate.clock.now() + self.ask.left(),
                needs: self.gate.expected(model),
                cost: 1,
            },
        };
        let waited = Instant::now();
        let turn = self
            .gate
            .dispatch_queue
            .send(enqueue)
            .await
            .map_err(|_stopped| stopping())?;
        let turn = turn.await.map_err(|_closed| stopping())?;
        self.record.wait += waited.elapsed();
        self.gate
            .metrics
            .wait(&self.ask.tenant, self.class, waited.elapsed());
        turn
    }

    fn pick(&self, mode: &SendMode) -> Option<Endpoint> {
        let model = self.prompt.model.as_str();
        if *mode == SendMode::Isolated {
            return self.suspicion.host(model);
        }
        let view = Arc::clone(&self.gate.view.borrow());
        let trials = self.gate.suspects.trials();
        let untried = view
            .holders(model)
            .filter(|e| !self.tried.contains(&e.listed.name));
        let (risky, safe): (Vec<_>, Vec<_>) = untried
            .map(|endpoint| Candidate {
                endpoint,
                load: view.load(endpoint, model),
            })
            .partition(|c| trials.contains(&c.endpoint.listed.name));
        // A trial may end its endpoint, so others stay away where they can.
        let candidates = if safe.is_empty() { risky } else { safe };
        self.gate.chooser.choose(&candidates, Some(self.prefix))
    }

    /// Whether an endpoint that was not tried holds the model.
    fn held(&self) -> bool {
        let view = self.gate.view.borrow();
        view.holders(&self.prompt.model)
            .any(|e| !self.tried.contains(&e.listed.name))
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
            .request(&self.prompt.model, Decider::Owner)
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
                Ok(Err(_closed)) => return Err(stopping()),
                Err(_elapsed) => return Err(super::late()),
            }
        }
    }

    async fn send(&mut self, endpoint: &Endpoint, passed: u64) -> Result<Source, SendError> {
        let name = &endpoint.listed.name;
        self.record.sent(name);
        let flight = self.gate.chooser.start(endpoint, Some(self.prefix));
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
        Ok(Source {
            reply,
            endpoint: endpoint.clone(),
            flight,
        })
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
}

/// Whether the engine says that the request did not run there.
fn refused_before_run(reply: &Reply) -> bool {
    let head = reply.response.headers();
    !reply.response.status().is_success() && http::text(head, http::VERDICT) == Some("not-run")
}

fn stopping() -> Refusal {
    Refusal::not_run(Cause::Stopping)
        .detail("the instance is stopping")
        .retry_after(Duration::from_secs(1))
}
