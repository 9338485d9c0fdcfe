//! The path of a completion: find a replica, send, pass the answer on.

mod source;
mod stream;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use source::Source;

use crate::admission::Pass;
use crate::chooser;
use crate::gate::Gate;
use crate::http::{self, Body};
use crate::pick::Prefix;
use crate::records::Record;
use crate::request::{CallerRequest, Prompt};
use crate::rules::PriorityClass;
use crate::suspect_request::Suspicion;
use crate::verdict::{Cause, Refusal, Verdict};

/// One completion on its way.
#[derive(Debug)]
pub struct Completion {
    gate: Gate,
    ask: CallerRequest,
    prompt: Prompt,
    class: PriorityClass,
    body: Bytes,
    tried: BTreeSet<String>,
    attempts: usize,
    worst: Verdict,
    suspicion: Suspicion,
    prefix: Prefix,
    record: Record,
    _pass: Pass,
}

impl Completion {
    /// A completion that passed the limits.
    ///
    /// # Errors
    ///
    /// [`Cause::Unknown`] where no rule names the model.
    pub fn new(
        gate: &Gate,
        ask: CallerRequest,
        prompt: Prompt,
        body: Bytes,
        pass: Pass,
    ) -> Result<Self, Refusal> {
        let rules = gate.in_force()?;
        let model = rules.rules.models.get(&prompt.model).ok_or_else(|| {
            Refusal::not_run(Cause::Unknown)
                .detail(format!("no rule names model '{}'", prompt.model))
        })?;
        let class = model.class;
        let suspicion = Suspicion::new(gate, &prompt.model, &body);
        let prefix = chooser::prefix(&prompt.model, &body);
        let record = Record::new(&gate.name, &ask, Some(class), prompt.model.clone());
        Ok(Self {
            gate: gate.clone(),
            ask,
            prompt,
            class,
            body,
            tried: BTreeSet::new(),
            attempts: 0,
            worst: Verdict::NotRun,
            suspicion,
            prefix,
            record,
            _pass: pass,
        })
    }

    /// Serves the completion.
    pub async fn serve(mut self) -> Response<Body> {
        let outcome = match self.source(0).await {
            Ok(source) if is_stream(&source.reply.response) => match self.begin(source, 0).await {
                Ok(stream) => return self.stream(stream),
                Err(refusal) => Err(refusal),
            },
            Ok(source) => self.whole(source).await,
            Err(refusal) => Err(refusal),
        };
        match outcome {
            Ok(answer) => answer,
            Err(refusal) => {
                let refusal = self.with_verdict(refusal);
                let answer = http::refuse(&refusal, &self.ask.id);
                self.close(StatusCode::OK, Some(&refusal));
                answer
            }
        }
    }

    /// Reads a plain answer whole before its first byte goes back.
    async fn whole(&mut self, first: Source) -> Result<Response<Body>, Refusal> {
        let mut source = first;
        loop {
            let read = source
                .reply
                .read(&self.gate.outbound, self.gate.bounds.answer);
            let detail = match timeout(self.ask.left(), read).await {
                Ok(Ok(answer)) => {
                    self.suspicion.finish(true).await;
                    self.answering();
                    self.close(answer.head.status, None);
                    let mut response = Response::new(http::full(answer.body));
                    copy_head(&mut response, answer.head.status, &answer.head.headers);
                    http::stamp(response.headers_mut(), &self.ask.id);
                    return Ok(response);
                }
                Ok(Err(error)) => error.to_string(),
                Err(late) => late.to_string(),
            };
            self.broke(&source.endpoint, Verdict::Ran, detail).await?;
            source = self.source(0).await?;
        }
    }

    /// Gives a refusal the worst verdict of all attempts.
    fn with_verdict(&self, refusal: Refusal) -> Refusal {
        refusal.at_least(self.worst)
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
        self.gate.records.add(record);
    }
}

fn late() -> Refusal {
    Refusal::not_run(Cause::DeadlinePassed)
        .detail("the deadline passed before the answer began")
        .retry_after(Duration::from_secs(1))
}

fn copy_head(response: &mut Response<Body>, status: StatusCode, headers: &HeaderMap) {
    *response.status_mut() = status;
    if let Some(kind) = headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
}

/// Whether an answer is an event stream.
fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = http::text(response.headers(), CONTENT_TYPE.as_str()).unwrap_or_default();
    response.status().is_success() && kind.starts_with("text/event-stream")
}
