//! Calls to services other than model engines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use tokio::time::Instant;

use crate::admission::AdmissionPermit;
use crate::chooser::{ActiveRequest, Candidate};
use crate::endpoint_registry::Endpoint;
use crate::http::{self, Body};
use crate::outbound::{Answer, Freshness, Link, SendError, SendFault};
use crate::records::Record;
use crate::request::{self, CallerRequest};
use crate::request_context::RequestContext;
use crate::rules::{Call, PriorityClass, Repeat, Rules};
use crate::verdict::{Cause, Refusal, Verdict};

/// Path prefix of service calls.
pub const PATH_PREFIX: &str = "/services/";

/// Headers forwarded from callers to services.
const FORWARDED_HEADERS: [hyper::header::HeaderName; 2] = [CONTENT_TYPE, ACCEPT];

/// A service call in progress.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    pub(crate) context: RequestContext,
    pub(crate) request: CallerRequest,
    pub(crate) service: String,
    pub(crate) rule: Call,
    pub(crate) uri: Uri,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) class: PriorityClass,
    pub(crate) record: Record,
    _admission: Arc<AdmissionPermit>,
}

/// Serves a call to a service.
pub async fn serve(context: &RequestContext, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let request = match CallerRequest::from_headers(&head.headers, &context.limits) {
        Ok(request) => request,
        Err(refusal) => return http::refuse(&refusal, &request::new_request_id()),
    };
    let (caller_request, target) = (request.clone(), head.uri.path().to_owned());
    let call = match ServiceCall::read(context, request, head, body).await {
        Ok(call) => call,
        Err(refusal) => return context.refuse(&caller_request, &target, &refusal),
    };
    match call.rule.repeat {
        Repeat::Safe => call.serve_repeatable().await,
        Repeat::Never | Repeat::Keyed => call.serve_once().await,
    }
}

impl ServiceCall {
    async fn read(
        context: &RequestContext,
        request: CallerRequest,
        head: hyper::http::request::Parts,
        body: Incoming,
    ) -> Result<Self, Refusal> {
        let rules = context.in_force()?;
        let permit = Arc::new(context.admission.admit(&request.tenant)?);
        let class = rules
            .rules
            .tenants
            .get(&request.tenant)
            .map_or(PriorityClass::Batch, |t| t.class);
        let (service, service_uri) = split_path(&head.uri)?;
        let rule = find_rule(&rules.rules, &service, &head.method, service_uri.path())?;
        let request = CallerRequest {
            deadline: request.deadline.min(Instant::now() + rule.timeout),
            ..request
        };
        let target = format!("{service} {} {}", rule.method, rule.path);
        let record = Record::new(&context.name, &request, Some(class), target);
        let body = request::read_body(body, &context.limits).await?;
        Ok(Self {
            context: context.clone(),
            request,
            service,
            rule,
            uri: service_uri,
            method: head.method,
            headers: head.headers,
            body,
            class,
            record,
            _admission: permit,
        })
    }

    /// Serves a call that is safe to repeat; retries after failures.
    async fn serve_repeatable(mut self) -> Response<Body> {
        let outcome = self.send_repeatable().await;
        self.respond(outcome)
    }

    async fn send_repeatable(&mut self) -> Result<Answer, Refusal> {
        let mut tried = BTreeSet::new();
        let mut worst_verdict = Verdict::NotRun;
        for attempt in 0..self.context.limits.max_attempts {
            if self.request.remaining().is_zero() {
                return Err(Refusal::new(worst_verdict, Cause::DeadlinePassed)
                    .detail("the deadline passed before an answer came"));
            }
            let freshness = if attempt == 0 {
                Freshness::Proved
            } else {
                Freshness::Fresh
            };
            let (endpoint, link, active_request) = self
                .connect(&mut tried, freshness)
                .await
                .map_err(|refusal| refusal.raise_verdict(worst_verdict))?;
            match self.exchange(link, self.request.remaining()).await {
                Ok(answer) => {
                    active_request.record_first_byte();
                    return Ok(answer);
                }
                Err(error) => {
                    worst_verdict = worst_verdict.max(error.verdict());
                    self.record_failure(&endpoint, &error, &mut tried).await;
                    if !self.context.admission.may_retry(error.verdict()) {
                        break;
                    }
                    self.context.metrics.retried();
                }
            }
        }
        Err(Refusal::new(worst_verdict, Cause::EndpointFailed)
            .detail("all attempts failed")
            .retry_after(Duration::from_secs(1)))
    }

    /// Connects to an endpoint that was not tried yet.
    pub(crate) async fn connect(
        &mut self,
        tried: &mut BTreeSet<String>,
        freshness: Freshness,
    ) -> Result<(Endpoint, Link, ActiveRequest), Refusal> {
        loop {
            let view = Arc::clone(&self.context.view.borrow());
            let candidates: Vec<Candidate<'_>> = view
                .service_endpoints(&self.service)
                .filter(|e| !tried.contains(&e.listed.name))
                .map(|endpoint| Candidate {
                    endpoint,
                    load: None,
                })
                .collect();
            let endpoint = self
                .context
                .chooser
                .choose(&candidates, None)
                .ok_or_else(|| {
                    Refusal::not_run(Cause::NoEndpoint)
                        .detail(format!("no endpoint of '{}' can be reached", self.service))
                        .retry_after(Duration::from_secs(1))
                })?;
            let name = endpoint.listed.name.clone();
            match self
                .context
                .outbound
                .open(endpoint.listed.address, freshness)
                .await
            {
                Ok(link) => {
                    self.record.add_send(&name);
                    let active_request = self.context.chooser.start_request(&endpoint, None);
                    return Ok((endpoint, link, active_request));
                }
                Err(error) => self.record_failure(&endpoint, &error, tried).await,
            }
        }
    }

    /// Sends the request on a connection and reads the complete answer within `limit`.
    pub(crate) async fn exchange(&self, link: Link, limit: Duration) -> Result<Answer, SendError> {
        let end = Instant::now() + limit;
        let head = if link.reused() {
            self.context.limits.reuse_timeout.min(limit)
        } else {
            limit
        };
        let reply = link.send(self.endpoint_request(), head).await?;
        let from = reply.from;
        let read = reply.read(&self.context.outbound, self.context.limits.answer_bytes);
        tokio::time::timeout_at(end, read)
            .await
            .map_err(|elapsed| SendError {
                fault: SendFault::Unended,
                to: from,
                detail: elapsed.to_string(),
            })?
    }

    pub(crate) async fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        error: &SendError,
        tried: &mut BTreeSet<String>,
    ) {
        log::info!(
            id = self.request.id, endpoint = endpoint.listed.name, error:% = error;
            "attempt failed"
        );
        self.record.add_step("failed", error.to_string());
        if error.fault == SendFault::Silent {
            return;
        }
        tried.insert(endpoint.listed.name.clone());
        if error.fault == SendFault::Connect {
            self.context.report_unreachable(&endpoint.listed.name).await;
        }
    }

    fn endpoint_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        for name in FORWARDED_HEADERS {
            if let Some(value) = self.headers.get(&name) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        if let Some(key) = self.headers.get(http::IDEMPOTENCY_KEY) {
            request
                .headers_mut()
                .insert(http::IDEMPOTENCY_KEY, key.clone());
        }
        http::stamp(request.headers_mut(), &self.request.id);
        request
    }

    /// Builds the response for the caller; updates metrics and closes the request record.
    pub(crate) fn respond(&mut self, outcome: Result<Answer, Refusal>) -> Response<Body> {
        let first = self.record.mark_first_byte();
        let (response, status, refusal) = match outcome {
            Ok(answer) => {
                self.context
                    .metrics
                    .first(&self.request.tenant, self.class, first);
                self.context.metrics.answered(&self.request.tenant);
                (
                    answer_response(&answer, &self.request.id),
                    answer.head.status.as_u16(),
                    None,
                )
            }
            Err(refusal) => {
                self.context.metrics.refused(&self.request.tenant, &refusal);
                (http::refuse(&refusal, &self.request.id), 0, Some(refusal))
            }
        };
        let record = self.record.clone().finish(status, refusal.as_ref());
        self.context.records.add(record);
        response
    }
}

fn answer_response(answer: &Answer, id: &str) -> Response<Body> {
    let mut response = Response::new(http::full(answer.body.clone()));
    *response.status_mut() = answer.head.status;
    if let Some(kind) = answer.head.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
    http::stamp(response.headers_mut(), id);
    response
}

/// Splits a URI into the service name and the URI sent to the service.
fn split_path(uri: &Uri) -> Result<(String, Uri), Refusal> {
    let unknown = || Refusal::not_run(Cause::Unknown).detail(format!("no such path: {uri}"));
    let path_and_query = uri.path_and_query().map_or("", |p| p.as_str());
    let tail = path_and_query
        .strip_prefix(PATH_PREFIX)
        .ok_or_else(unknown)?;
    let (service, _) = tail.split_once('/').ok_or_else(unknown)?;
    let service_uri = tail.get(service.len()..).unwrap_or("/");
    let service_uri = service_uri.parse().map_err(|_invalid| unknown())?;
    Ok((service.to_owned(), service_uri))
}

fn find_rule(rules: &Rules, service: &str, method: &Method, path: &str) -> Result<Call, Refusal> {
    let known = rules.services.get(service);
    let call = known.and_then(|s| s.calls.iter().find(|c| rule_matches(c, method, path)));
    call.cloned().ok_or_else(|| {
        Refusal::not_run(Cause::Unknown).detail(format!(
            "no rule matches the call {method} {path} of '{service}'"
        ))
    })
}

fn rule_matches(call: &Call, method: &Method, path: &str) -> bool {
    if call.method != method.as_str() {
        return false;
    }
    match call.path.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => call.path == path,
    }
}
