//! Passes an event stream on and resumes it where it breaks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::dispatch::Source;
use super::{Completion, copy_head};
use crate::chooser::Flight;
use crate::fleet::Endpoint;
use crate::http::{self, Body};
use crate::outbound::Sender;
use crate::relay::{End, Feed, Outlet};
use crate::verdict::{Refusal, Verdict};

/// A stream whose first events are here.
#[derive(Debug)]
pub(super) struct Stream {
    response: Response<()>,
    feed: Feed,
    first: Bytes,
    from: SocketAddr,
    sender: Sender,
    endpoint: Endpoint,
    _running: Flight,
}

impl Completion {
    /// Waits for the first events; until then the request can still go elsewhere.
    pub(super) async fn begin(&mut self, first: Source, passed: u64) -> Result<Stream, Refusal> {
        let mut source = first;
        loop {
            let Source {
                reply,
                endpoint,
                flight,
            } = source;
            let from = reply.from;
            let (response, sender) = reply.into_parts();
            let (head, body) = response.into_parts();
            let mut feed = Feed::new(body);
            match feed.next(self.ask.left()).await {
                Ok(first) => {
                    flight.answering();
                    let response = Response::from_parts(head, ());
                    return Ok(Stream {
                        response,
                        feed,
                        first,
                        from,
                        sender,
                        endpoint,
                        _running: flight,
                    });
                }
                Err(end) => {
                    let detail = format!("{end} at {from} before the first event");
                    self.broke(&endpoint, Verdict::MayHaveRun, detail).await?;
                }
            }
            if self.ask.left().is_zero() {
                return Err(super::late());
            }
            source = self.source(passed).await?;
        }
    }

    /// Passes a stream on in a task of its own.
    pub(super) fn stream(mut self, stream: Stream) -> Response<Body> {
        self.answering();
        let (outlet, body) = Outlet::new();
        let mut response = Response::new(body);
        copy_head(
            &mut response,
            stream.response.status(),
            stream.response.headers(),
        );
        http::stamp(response.headers_mut(), &self.ask.id);
        tokio::spawn(self.pass(stream, outlet));
        response
    }

    async fn pass(mut self, first: Stream, mut outlet: Outlet) {
        let mut stream = first;
        let refusal = loop {
            let (from, endpoint) = (stream.from, stream.endpoint.clone());
            match self.pump(stream, &mut outlet).await {
                End::Whole => break None,
                End::CallerGone => {
                    self.suspicion.finish(false).await;
                    return self.close(StatusCode::OK, None);
                }
                end @ (End::Cut | End::Silent) => {
                    let detail = format!("{end} at {from} after {} events", outlet.passed());
                    if let Err(refusal) = self.broke(&endpoint, Verdict::Ran, detail).await {
                        break Some(refusal);
                    }
                }
            }
            stream = match self.resume(outlet.passed()).await {
                Ok(stream) => stream,
                Err(refusal) => break Some(refusal),
            };
        };
        let refusal = refusal.map(|r| self.with_verdict(r));
        if let Some(refusal) = &refusal {
            let error = http::error_json(refusal, &self.ask.id);
            outlet
                .pass(format!("event: error\ndata: {error}\n\n").into())
                .await;
        }
        self.suspicion.finish(refusal.is_none()).await;
        self.close(StatusCode::OK, refusal.as_ref());
    }

    /// Goes on behind the events that were passed on.
    async fn resume(&mut self, passed: u64) -> Result<Stream, Refusal> {
        self.ask.due = Instant::now() + self.gate.bounds.timeout;
        let source = self.source(passed).await?;
        self.begin(source, passed).await
    }

    async fn pump(&mut self, mut stream: Stream, outlet: &mut Outlet) -> End {
        if !outlet.pass(std::mem::take(&mut stream.first)).await {
            return End::CallerGone;
        }
        let (metrics, tenant) = (self.gate.metrics.clone(), self.ask.tenant.clone());
        let class = self.class;
        let gaps = move |gap: Duration| metrics.gap(&tenant, class, gap);
        let end = outlet
            .pump(&mut stream.feed, self.gate.bounds.gap, &gaps)
            .await;
        if end == End::Whole {
            self.gate.outbound.put(stream.from, stream.sender);
        }
        end
    }
}
