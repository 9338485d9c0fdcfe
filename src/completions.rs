//! Completions: finds a replica, sends the request and returns the answer to the caller.

mod dispatch;
mod stream;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use dispatch::EndpointReply;

use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use crate::admission::AdmissionPermit;
use crate::balancer::Prefix;
use crate::chooser;
use crate::http::{self, Body};
use crate::outbound::AnswerBody;
use crate::records::Record;
use crate::request::{CallerRequest, CompletionRequest};
use crate::request_context::RequestContext;
use crate::rules::PriorityClass;
use crate::suspect_request::SuspectRequest;
use crate::verdict::{Cause, Refusal, Verdict};

/// A completion request in progress.
#[derive(Debug)]
pub struct Completion {
    context: RequestContext,
    request: CallerRequest,
    prompt: CompletionRequest,
    class: PriorityClass,
    body: Bytes,
    tried_endpoints: BTreeSet<String>,
    attempts: usize,
    worst_verdict: Verdict,
    suspicion: SuspectRequest,
    prefix: Prefix,
    record: Record,
    _pass: AdmissionPermit,
}

impl Completion {
    /// Creates a completion for an admitted request.
    ///
    /// # Errors
    ///
    /// [`Cause::Unknown`] where no rule names the model.
    pub fn new(
        context: &RequestContext,
        request: CallerRequest,
        prompt: CompletionRequest,
        body: Bytes,
        pass: AdmissionPermit,
    ) -> Result<Self, Refusal> {
        let rules = context.in_force()?;
        let model = rules.rules.models.get(&prompt.model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown)
                .detail(format!("no rule names model '{}'", prompt.model))
        })?;
        let class = model.class;
        let suspicion = SuspectRequest::new(context, &prompt.model, &body);
        let prefix = chooser::prefix_digest(&prompt.model, &body);
        let record = Record::new(&context.name, &request, Some(class), prompt.model.clone());
        Ok(Self {
            context: context.clone(),
            request,
            prompt,
            class,
            body,
            tried_endpoints: BTreeSet::new(),
            attempts: 0,
            worst_verdict: Verdict::NotRun,
            suspicion,
            prefix,
            record,
            _pass: pass,
        })
    }

    /// Sends the request to an endpoint and returns the answer or a refusal.
    pub async fn serve(mut self) -> Response<Body> {
        let outcome = match self.dispatch(0).await {
            Ok(source) if is_stream(&source.reply.response) => {
                match self.open_stream(source, 0).await {
                    Ok(stream) => return self.start_relay(stream),
                    Err(refusal) => Err(refusal),
                }
            }
            Ok(source) => self.buffer_answer(source).await,
            Err(refusal) => Err(refusal),
        };
        match outcome {
            Ok(answer) => answer,
            Err(refusal) => {
                let refusal = self.with_verdict(refusal);
                let answer = http::refuse(&refusal, &self.request.id);
                self.record_end(StatusCode::OK, Some(&refusal));
                answer
            }
        }
    }

    /// Buffers the whole answer before the first byte is returned, so that a broken one is retried.
    async fn buffer_answer(&mut self, first: EndpointReply) -> Result<Response<Body>, Refusal> {
        let mut source = first;
        loop {
            let read = source
                .reply
                .read(&self.context.outbound, self.context.limits.answer_bytes);
            let detail = match timeout(self.request.remaining(), read).await {
                Ok(Ok(answer)) => {
                    self.suspicion.finish_trial(true).await;
                    self.record_first_byte();
                    self.record_end(answer.head.status, None);
                    let mut response = Response::new(http::full(answer.body));
                    copy_head(&mut response, answer.head.status, &answer.head.headers);
                    http::stamp(response.headers_mut(), &self.request.id);
                    return Ok(response);
                }
                Ok(Err(error)) => error.to_string(),
                Err(elapsed) => elapsed.to_string(),
            };
            self.record_broken_reply(&source.endpoint, Verdict::Ran, detail)
                .await?;
            source = self.dispatch(0).await?;
        }
    }

    /// Raises the verdict of a refusal to the worst of all attempts.
    fn with_verdict(&self, refusal: Refusal) -> Refusal {
        refusal.raise_verdict(self.worst_verdict)
    }

    fn record_first_byte(&mut self) {
        let first = self.record.mark_first_byte();
        self.context
            .metrics
            .first(&self.request.tenant, self.class, first);
    }

    /// Writes the metrics, the log line and the record of the finished request.
    fn record_end(&self, status: StatusCode, refusal: Option<&Refusal>) {
        match refusal {
            Some(refusal) => self.context.metrics.refused(&self.request.tenant, refusal),
            None => self.context.metrics.answered(&self.request.tenant),
        }
        let record = self.record.clone().finish(status.as_u16(), refusal);
        self.context.records.add(record);
    }
}

fn deadline_refusal() -> Refusal {
    Refusal::not_run(Cause::DeadlinePassed)
        .detail("the deadline passed before the answer began")
        .retry_after(Duration::from_secs(1))
}

fn copy_head(response: &mut Response<Body>, status: StatusCode, headers: &HeaderMap) {
    *response.status_mut() = status;
    if let Some(content_type) = headers.get(CONTENT_TYPE) {
        response
            .headers_mut()
            .insert(CONTENT_TYPE, content_type.clone());
    }
}

/// Whether an answer is an event stream.
fn is_stream(response: &Response<AnswerBody>) -> bool {
    let content_type = http::text(response.headers(), CONTENT_TYPE.as_str()).unwrap_or_default();
    response.status().is_success() && content_type.starts_with("text/event-stream")
}
