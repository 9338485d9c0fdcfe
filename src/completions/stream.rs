//! Relays an event stream to the caller and resumes it at another endpoint where it breaks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::dispatch::EndpointReply;
use super::{Completion, copy_head};
use crate::chooser::ActiveRequest;
use crate::endpoint_registry::Endpoint;
use crate::http::{self, Body};
use crate::outbound::Sender;
use crate::relay::{CallerStream, EventReader, StreamEnd};
use crate::verdict::{Refusal, Verdict};

/// A stream whose first events have arrived.
#[derive(Debug)]
pub(super) struct OpenStream {
    response: Response<()>,
    events: EventReader,
    first_events: Bytes,
    from: SocketAddr,
    sender: Sender,
    endpoint: Endpoint,
    _flight: ActiveRequest,
}

impl Completion {
    /// Waits for the first events; until they arrive, the request can be sent to another endpoint.
    pub(super) async fn open_stream(
        &mut self,
        first: EndpointReply,
        sent_events: u64,
    ) -> Result<OpenStream, Refusal> {
        let mut source = first;
        loop {
            let EndpointReply {
                reply,
                endpoint,
                flight,
            } = source;
            let from = reply.from;
            let (response, sender) = reply.into_parts();
            let (head, body) = response.into_parts();
            let mut events = EventReader::new(body);
            match events.next(self.request.remaining()).await {
                Ok(first_events) => {
                    flight.record_first_byte();
                    let response = Response::from_parts(head, ());
                    return Ok(OpenStream {
                        response,
                        events,
                        first_events,
                        from,
                        sender,
                        endpoint,
                        _flight: flight,
                    });
                }
                Err(end) => {
                    let detail = format!("{end} at {from} before the first event");
                    self.record_broken_reply(&endpoint, Verdict::MayHaveRun, detail)
                        .await?;
                }
            }
            if self.request.remaining().is_zero() {
                return Err(super::deadline_refusal());
            }
            source = self.dispatch(sent_events).await?;
        }
    }

    /// Starts a task that relays the stream, and returns the response that it feeds.
    pub(super) fn start_relay(mut self, stream: OpenStream) -> Response<Body> {
        self.record_first_byte();
        let (caller, body) = CallerStream::new();
        let mut response = Response::new(body);
        copy_head(
            &mut response,
            stream.response.status(),
            stream.response.headers(),
        );
        http::stamp(response.headers_mut(), &self.request.id);
        tokio::spawn(self.relay_stream(stream, caller));
        response
    }

    async fn relay_stream(mut self, first: OpenStream, mut caller: CallerStream) {
        let mut stream = first;
        let refusal = loop {
            let (from, endpoint) = (stream.from, stream.endpoint.clone());
            match self.relay_events(stream, &mut caller).await {
                StreamEnd::Whole => break None,
                StreamEnd::CallerGone => {
                    self.suspicion.finish_trial(false).await;
                    return self.record_end(StatusCode::OK, None);
                }
                end @ (StreamEnd::Cut | StreamEnd::Invalid | StreamEnd::Silent) => {
                    let detail = format!("{end} at {from} after {} events", caller.sent_events());
                    if let Err(refusal) = self
                        .record_broken_reply(&endpoint, Verdict::Ran, detail)
                        .await
                    {
                        break Some(refusal);
                    }
                }
            }
            stream = match self.resume_stream(caller.sent_events()).await {
                Ok(stream) => stream,
                Err(refusal) => break Some(refusal),
            };
        };
        let refusal = refusal.map(|r| self.with_verdict(r));
        if let Some(refusal) = &refusal {
            let error = http::error_json(refusal, &self.request.id);
            caller
                .send(format!("event: error\ndata: {error}\n\n").into())
                .await;
        }
        caller.finish();
        self.suspicion.finish_trial(refusal.is_none()).await;
        self.record_end(StatusCode::OK, refusal.as_ref());
    }

    /// Resumes the stream after the events that the caller was sent.
    async fn resume_stream(&mut self, sent_events: u64) -> Result<OpenStream, Refusal> {
        self.request.deadline = Instant::now() + self.context.limits.default_timeout;
        let source = self.dispatch(sent_events).await?;
        self.open_stream(source, sent_events).await
    }

    async fn relay_events(
        &mut self,
        mut stream: OpenStream,
        caller: &mut CallerStream,
    ) -> StreamEnd {
        if !caller.send(std::mem::take(&mut stream.first_events)).await {
            return StreamEnd::CallerGone;
        }
        let (metrics, tenant) = (self.context.metrics.clone(), self.request.tenant.clone());
        let class = self.class;
        let on_gap = move |gap: Duration| metrics.gap(&tenant, class, gap);
        let end = caller
            .relay(
                &mut stream.events,
                self.context.limits.event_timeout,
                &on_gap,
            )
            .await;
        if end == StreamEnd::Whole {
            self.context.outbound.put(stream.from, stream.sender);
        }
        end
    }
}
