//! Chooses an endpoint for a completion and sends the request there.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use tokio::time::{Instant, sleep, timeout};

use super::Completion;
use crate::chooser::{ActiveRequest, Candidate};
use crate::cold_start::{Decider, Phase};
use crate::dispatch_queue::Enqueue;
use crate::endpoint_registry::{Endpoint, ModelNotReady};
use crate::http;
use crate::limits::QueuedRequest;
use crate::outbound::{Freshness, Reply, SendError, SendFault};
use crate::relay::RESUME_HEADER;
use crate::suspect_request::SendMode;
use crate::verdict::{Cause, Refusal, Verdict};

/// Delay after an attempt that did not run; the deadline alone bounds the number of those.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay before the next search for an endpoint.
const ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A reply with the endpoint that sends it.
#[derive(Debug)]
pub(super) struct EndpointReply {
    pub(super) reply: Reply,
    pub(super) endpoint: Endpoint,
    pub(super) flight: ActiveRequest,
}

impl Completion {
    /// Sends the request until an endpoint replies; the reply starts after `sent_events` events.
    pub(super) async fn dispatch(&mut self, sent_events: u64) -> Result<EndpointReply, Refusal> {
        while self.attempts < self.context.limits.max_attempts {
            let endpoint = self.choose_endpoint().await?;
            self.attempts += 1;
            if self.attempts > 1 {
                self.context.metrics.retried();
            }
            match self.send(&endpoint, sent_events).await {
                Ok(source) if refused_before_run(&source.reply) => {
                    self.record_not_held(endpoint.listed.name).await;
                }
                Ok(source) => return Ok(source),
                Err(error) => {
                    if error.verdict() == Verdict::NotRun {
                        self.attempts -= 1;
                        sleep(NOT_RUN_RETRY_DELAY).await;
                    }
                    self.record_send_error(&endpoint, &error).await?;
                }
            }
        }
        Err(Refusal::not_run(Cause::EndpointFailed)
            .detail(format!("{} attempts failed", self.attempts))
            .retry_after(Duration::from_secs(1)))
    }

    /// Records that a reply ended early and spends one retry.
    ///
    /// # Errors
    ///
    /// [`Cause::EndpointFailed`] where the retry budget is used up.
    pub(super) async fn record_broken_reply(
        &mut self,
        endpoint: &Endpoint,
        verdict: Verdict,
        detail: String,
    ) -> Result<(), Refusal> {
        self.record.add_step("broke", detail);
        self.worst_verdict = self.worst_verdict.max(verdict);
        self.suspicion
            .check_crash(endpoint, &self.prompt.model)
            .await;
        self.spend_retry(verdict)
    }

    async fn record_not_held(&mut self, name: String) {
        self.record
            .add_step("refused", format!("{name} does not hold the model"));
        self.suspicion.finish_trial(false).await;
        let model = self.prompt.model.clone();
        let message = ModelNotReady {
            name: name.clone(),
            model,
        };
        if self.context.fleet.send(message).await.is_err() {
            log::debug!("endpoint registry has stopped; missing replica not reported");
        }
        self.tried_endpoints.insert(name);
    }

    async fn record_send_error(
        &mut self,
        endpoint: &Endpoint,
        error: &SendError,
    ) -> Result<(), Refusal> {
        let name = endpoint.listed.name.clone();
        log::info!(id = self.request.id, endpoint = name, error:% = error; "attempt failed");
        self.record.add_step("failed", error.to_string());
        self.worst_verdict = self.worst_verdict.max(error.verdict());
        match error.fault {
            SendFault::Closed => {
                self.suspicion
                    .check_crash(endpoint, &self.prompt.model)
                    .await;
                self.tried_endpoints.insert(name);
            }
            SendFault::Connect | SendFault::NotSent => {
                self.suspicion.finish_trial(false).await;
                self.context.report_unreachable(&name).await;
                self.tried_endpoints.insert(name);
            }
            SendFault::Garbled => {
                self.suspicion.finish_trial(false).await;
                self.tried_endpoints.insert(name);
            }
            SendFault::Silent | SendFault::Crossed | SendFault::Body | SendFault::Unended => {
                self.suspicion.finish_trial(false).await;
            }
        }
        self.spend_retry(error.verdict())
    }

    /// Takes one retry from the budget.
    fn spend_retry(&self, verdict: Verdict) -> Result<(), Refusal> {
        if self.context.admission.may_retry(verdict) {
            return Ok(());
        }
        Err(Refusal::new(verdict, Cause::EndpointFailed)
            .detail("the endpoint failed and the retry budget is used up")
            .retry_after(Duration::from_secs(1)))
    }

    /// Chooses an endpoint that holds the model, after a cold start where none does.
    async fn choose_endpoint(&mut self) -> Result<Endpoint, Refusal> {
        loop {
            if self.request.remaining().is_zero() {
                return Err(super::deadline_refusal());
            }
            let mode = self.suspicion.send_mode()?;
            if mode == SendMode::Normal && self.has_untried_holder() {
                self.wait_turn().await?;
            }
            if let Some(endpoint) = self.pick_endpoint(&mode) {
                self.context
                    .subscriptions
                    .renew(&self.prompt.model, self.context.clock.now());
                if mode == SendMode::Normal
                    || self
                        .suspicion
                        .begin_trial(&endpoint, &self.prompt.model)
                        .await?
                {
                    return Ok(endpoint);
                }
            }
            let wait_start = Instant::now();
            self.record.add_step("waiting", "for a replica");
            if !self.has_untried_holder() {
                self.wait_cold_start().await?;
                self.tried_endpoints.clear();
            }
            if mode == SendMode::Isolated || self.pick_endpoint(&mode).is_none() {
                sleep(ENDPOINT_RETRY_DELAY).await;
            }
            let wait = wait_start.elapsed();
            self.record.queue_wait += wait;
            self.context
                .metrics
                .wait(&self.request.tenant, self.class, wait);
        }
    }

    /// Waits in the dispatch queue where no endpoint has room or other requests are queued already.
    async fn wait_turn(&mut self) -> Result<(), Refusal> {
        let model = &self.prompt.model;
        if self.context.queued.count(model) == 0 && self.context.has_room(model) {
            return Ok(());
        }
        let _queued = self.context.queued.start(model);
        self.record.add_step("waiting", "for its turn");
        let enqueue = Enqueue {
            model: model.clone(),
            request: QueuedRequest {
                id: 0,
                tenant: self.request.tenant.clone(),
                class: self.class,
                deadline: self.context.clock.now() + self.request.remaining(),
                service_time: self.context.expected_first_token(model),
                cost: 1,
            },
        };
        let wait_start = Instant::now();
        let turn = self
            .context
            .dispatch_queue
            .send(enqueue)
            .await
            .map_err(|_stopped| stopping_refusal())?;
        let turn = turn.await.map_err(|_closed| stopping_refusal())?;
        self.record.queue_wait += wait_start.elapsed();
        self.context
            .metrics
            .wait(&self.request.tenant, self.class, wait_start.elapsed());
        turn
    }

    fn pick_endpoint(&self, mode: &SendMode) -> Option<Endpoint> {
        let model = self.prompt.model.as_str();
        if *mode == SendMode::Isolated {
            return self.suspicion.trial_endpoint(model);
        }
        let view = Arc::clone(&self.context.view.borrow());
        let trials = self.context.suspects.trials();
        let untried = view
            .ready_endpoints(model)
            .filter(|e| !self.tried_endpoints.contains(&e.listed.name));
        let (risky, safe): (Vec<_>, Vec<_>) = untried
            .map(|endpoint| Candidate {
                endpoint,
                load: view.load(endpoint, model),
            })
            .partition(|c| trials.contains(&c.endpoint.listed.name));
        // A trial of a suspect request may crash its endpoint, so other endpoints are preferred.
        let candidates = if safe.is_empty() { risky } else { safe };
        self.context.chooser.choose(&candidates, Some(self.prefix))
    }

    /// Whether an endpoint that this request has not tried holds the model.
    fn has_untried_holder(&self) -> bool {
        let view = self.context.view.borrow();
        view.ready_endpoints(&self.prompt.model)
            .any(|e| !self.tried_endpoints.contains(&e.listed.name))
    }

    /// Waits for a cold start; refuses where it would take longer than the time left.
    async fn wait_cold_start(&self) -> Result<(), Refusal> {
        if self.context.waiting_requests() >= self.context.limits.max_waiting {
            return Err(Refusal::not_run(Cause::Overload)
                .detail("too many requests wait for a replica")
                .retry_after(Duration::from_secs(1)));
        }
        let _waiting = self.context.cold_starts.waiters().start(&self.prompt.model);
        let mut phase = self
            .context
            .cold_starts
            .request(&self.prompt.model, Decider::Owner)
            .await?;
        loop {
            let now = phase.borrow_and_update().clone();
            match now {
                Phase::Ready => return Ok(()),
                Phase::Failed(refusal) => return Err(refusal),
                Phase::Loading { left } if left > self.request.remaining() => {
                    return Err(Refusal::not_run(Cause::DeadlineTooShort)
                        .detail("the model is being loaded and is ready only after the deadline")
                        .retry_after(left));
                }
                Phase::Loading { .. } => {}
            }
            match timeout(self.request.remaining(), phase.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_closed)) => return Err(stopping_refusal()),
                Err(_elapsed) => return Err(super::deadline_refusal()),
            }
        }
    }

    async fn send(
        &mut self,
        endpoint: &Endpoint,
        sent_events: u64,
    ) -> Result<EndpointReply, SendError> {
        let name = &endpoint.listed.name;
        self.record.add_send(name);
        let flight = self
            .context
            .chooser
            .start_request(endpoint, Some(self.prefix));
        let link = self
            .context
            .outbound
            .open(endpoint.listed.address, self.freshness())
            .await?;
        let limit = if link.reused() {
            self.context.limits.reuse_timeout
        } else {
            self.request.remaining()
        };
        let reply = link
            .send(
                self.build_request(sent_events),
                limit.min(self.request.remaining()),
            )
            .await?;
        Ok(EndpointReply {
            reply,
            endpoint: endpoint.clone(),
            flight,
        })
    }

    /// Reuses a pooled connection only for the first attempt of a stream.
    ///
    /// The head of a stream arrives early, so a short time limit detects a silent connection. The
    /// head of a plain answer arrives late and cannot be told from silence.
    const fn freshness(&self) -> Freshness {
        if self.prompt.stream && self.attempts == 1 {
            Freshness::Proved
        } else {
            Freshness::Fresh
        }
    }

    fn build_request(&self, sent_events: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/v1/chat/completions");
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.prompt.stream {
            headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
        }
        if sent_events > 0 {
            headers.insert(RESUME_HEADER, HeaderValue::from(sent_events));
        }
        http::stamp(headers, &self.request.id);
        request
    }
}

/// Whether the engine refused the request and reports that it did not run.
fn refused_before_run(reply: &Reply) -> bool {
    let head = reply.response.headers();
    !reply.response.status().is_success() && http::text(head, http::VERDICT) == Some("not-run")
}

fn stopping_refusal() -> Refusal {
    Refusal::not_run(Cause::Stopping)
        .detail("the instance is stopping")
        .retry_after(Duration::from_secs(1))
}
