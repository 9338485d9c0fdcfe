//! Calls to plain services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use tokio::time::Instant;

use crate::admission::Pass;
use crate::chooser::{Candidate, Flight};
use crate::fleet::Endpoint;
use crate::gate::Gate;
use crate::http::{self, Body};
use crate::outbound::{Answer, Freshness, Link, SendError, SendFault};
use crate::records::Record;
use crate::request::{self, CallerRequest};
use crate::rules::{Call, PriorityClass, Repeat, Rules};
use crate::verdict::{Cause, Refusal, Verdict};

/// Path prefix of calls to plain services.
pub const PREFIX: &str = "/services/";

/// Headers that pass between callers and services.
const PASSED_HEADERS: [hyper::header::HeaderName; 2] = [CONTENT_TYPE, ACCEPT];

/// One call on its way.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    pub(crate) gate: Gate,
    pub(crate) ask: CallerRequest,
    pub(crate) service: String,
    pub(crate) rule: Call,
    pub(crate) uri: Uri,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) class: PriorityClass,
    pub(crate) record: Record,
    _pass: Arc<Pass>,
}

/// Answers a call to a plain service.
pub async fn answer(gate: &Gate, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let ask = match CallerRequest::read(&head.headers, &gate.bounds) {
        Ok(ask) => ask,
        Err(refusal) => return http::refuse(&refusal, &request::new_id()),
    };
    let (asked, target) = (ask.clone(), head.uri.path().to_owned());
    let call = match ServiceCall::read(gate, ask, head, body).await {
        Ok(call) => call,
        Err(refusal) => return gate.refuse(&asked, &target, &refusal),
    };
    match call.rule.repeat {
        Repeat::Safe => call.serve_safe().await,
        Repeat::Never | Repeat::Keyed => call.serve_once().await,
    }
}

impl ServiceCall {
    async fn read(
        gate: &Gate,
        ask: CallerRequest,
        head: hyper::http::request::Parts,
        body: Incoming,
    ) -> Result<Self, Refusal> {
        let rules = gate.in_force()?;
        let pass = Arc::new(gate.admission.admit(&ask.tenant)?);
        let class = rules
            .rules
            .tenants
            .get(&ask.tenant)
            .map_or(PriorityClass::Batch, |t| t.class);
        let (service, rest) = split_path(&head.uri)?;
        let rule = find_call(&rules.rules, &service, &head.method, rest.path())?;
        let ask = CallerRequest {
            due: ask.due.min(Instant::now() + rule.timeout),
            ..ask
        };
        let target = format!("{service} {} {}", rule.method, rule.path);
        let record = Record::new(&gate.name, &ask, Some(class), target);
        let body = request::read_body(body, &gate.bounds).await?;
        Ok(Self {
            gate: gate.clone(),
            ask,
            service,
            rule,
            uri: rest,
            method: head.method,
            headers: head.headers,
            body,
            class,
            record,
            _pass: pass,
        })
    }

    /// Sends a call that may be repeated, more than once where need be.
    async fn serve_safe(mut self) -> Response<Body> {
        let outcome = self.try_safe().await;
        self.respond(outcome)
    }

    async fn try_safe(&mut self) -> Result<Answer, Refusal> {
        let mut tried = BTreeSet::new();
        let mut worst = Verdict::NotRun;
        for attempt in 0..self.gate.bounds.attempts {
            if self.ask.left().is_zero() {
                return Err(Refusal::new(worst, Cause::DeadlinePassed)
                    .detail("the deadline passed before an answer came"));
            }
            let freshness = if attempt == 0 {
                Freshness::Proved
            } else {
                Freshness::Fresh
            };
            let (endpoint, link, flight) = self
                .connect(&mut tried, freshness)
                .await
                .map_err(|refusal| refusal.at_least(worst))?;
            match self.exchange(link, self.ask.left()).await {
                Ok(answer) => {
                    flight.answering();
                    return Ok(answer);
                }
                Err(error) => {
                    worst = worst.max(error.verdict());
                    self.note(&endpoint, &error, &mut tried).await;
                    if !self.gate.admission.may_retry(error.verdict()) {
                        break;
                    }
                    self.gate.metrics.retried();
                }
            }
        }
        Err(Refusal::new(worst, Cause::EndpointFailed)
            .detail("all attempts failed")
            .retry_after(Duration::from_secs(1)))
    }

    /// An open connection to an endpoint that was not tried yet.
    pub(crate) async fn connect(
        &mut self,
        tried: &mut BTreeSet<String>,
        freshness: Freshness,
    ) -> Result<(Endpoint, Link, Flight), Refusal> {
        loop {
            let view = Arc::clone(&self.gate.view.borrow());
            let candidates: Vec<Candidate<'_>> = view
                .members(&self.service)
                .filter(|e| !tried.contains(&e.listed.name))
                .map(|endpoint| Candidate {
                    endpoint,
                    load: None,
                })
                .collect();
            let endpoint = self.gate.chooser.choose(&candidates, None).ok_or_else(|| {
                Refusal::not_run(Cause::NoEndpoint)
                    .detail(format!("no endpoint of '{}' can be reached", self.service))
                    .retry_after(Duration::from_secs(1))
            })?;
            let name = endpoint.listed.name.clone();
            match self
                .gate
                .outbound
                .open(endpoint.listed.address, freshness)
                .await
            {
                Ok(link) => {
                    self.record.sent(&name);
                    let flight = self.gate.chooser.start(&endpoint, None);
                    return Ok((endpoint, link, flight));
                }
                Err(error) => self.note(&endpoint, &error, tried).await,
            }
        }
    }

    /// Sends the request on a connection and reads the whole answer within `limit`.
    pub(crate) async fn exchange(&self, link: Link, limit: Duration) -> Result<Answer, SendError> {
        let end = Instant::now() + limit;
        let head = if link.reused() {
            self.gate.bounds.reused.min(limit)
        } else {
            limit
        };
        let reply = link.send(self.request(), head).await?;
        let from = reply.from;
        let read = reply.read(&self.gate.outbound, self.gate.bounds.answer);
        tokio::time::timeout_at(end, read)
            .await
            .map_err(|late| SendError {
                fault: SendFault::Body,
                to: from,
                detail: late.to_string(),
            })?
    }

    pub(crate) async fn note(
        &mut self,
        endpoint: &Endpoint,
        error: &SendError,
        tried: &mut BTreeSet<String>,
    ) {
        log::info!(id = self.ask.id, endpoint = endpoint.listed.name, error:% = error; "attempt failed");
        self.record.step("failed", error.to_string());
        if error.fault == SendFault::Silent {
            return;
        }
        tried.insert(endpoint.listed.name.clone());
        if error.fault == SendFault::Connect {
            self.gate.lost(&endpoint.listed.name).await;
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        for name in PASSED_HEADERS {
            if let Some(value) = self.headers.get(&name) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        if let Some(key) = self.headers.get(http::IDEMPOTENCY_KEY) {
            request
                .headers_mut()
                .insert(http::IDEMPOTENCY_KEY, key.clone());
        }
        http::stamp(request.headers_mut(), &self.ask.id);
        request
    }

    /// The answer for the caller; closes the record.
    pub(crate) fn respond(&mut self, outcome: Result<Answer, Refusal>) -> Response<Body> {
        let first = self.record.answering();
        let (response, status, refusal) = match outcome {
            Ok(answer) => {
                self.gate.metrics.first(&self.ask.tenant, self.class, first);
                self.gate.metrics.answered(&self.ask.tenant);
                (
                    whole(&answer, &self.ask.id),
                    answer.head.status.as_u16(),
                    None,
                )
            }
            Err(refusal) => {
                self.gate.metrics.refused(&self.ask.tenant, &refusal);
                (http::refuse(&refusal, &self.ask.id), 0, Some(refusal))
            }
        };
        let record = self.record.clone().close(status, refusal.as_ref());
        self.gate.records.add(record);
        response
    }
}

fn whole(answer: &Answer, id: &str) -> Response<Body> {
    let mut response = Response::new(http::full(answer.body.clone()));
    *response.status_mut() = answer.head.status;
    if let Some(kind) = answer.head.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
    http::stamp(response.headers_mut(), id);
    response
}

/// Service name and the path that the service sees.
fn split_path(uri: &Uri) -> Result<(String, Uri), Refusal> {
    let unknown = || Refusal::not_run(Cause::Unknown).detail(format!("no such path: {uri}"));
    let whole = uri.path_and_query().map_or("", |p| p.as_str());
    let tail = whole.strip_prefix(PREFIX).ok_or_else(unknown)?;
    let (service, _) = tail.split_once('/').ok_or_else(unknown)?;
    let rest = tail.get(service.len()..).unwrap_or("/");
    let rest = rest.parse().map_err(|_invalid| unknown())?;
    Ok((service.to_owned(), rest))
}

fn find_call(rules: &Rules, service: &str, method: &Method, path: &str) -> Result<Call, Refusal> {
    let known = rules.services.get(service);
    let call = known.and_then(|s| s.calls.iter().find(|c| matches(c, method, path)));
    call.cloned().ok_or_else(|| {
        Refusal::not_run(Cause::Unknown).detail(format!(
            "no rule names the call {method} {path} of '{service}'"
        ))
    })
}

fn matches(call: &Call, method: &Method, path: &str) -> bool {
    if call.method != method.as_str() {
        return false;
    }
    match call.path.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => call.path == path,
    }
}
