//! One send of a request to an endpoint, and what its answer's head says.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};

use super::edge::{Dispatch, Receipt};
use super::serve::{Job, Tries};
use super::servers::{RequestOutcome, SelectedEndpoint};
use crate::outbound::{Freshness, Reply, SendError, SendFault};
use crate::verdict::Verdict;

/// An answer whose head was checked.
#[derive(Debug)]
pub struct Checked {
    /// The answer.
    pub reply: Reply,
    /// What its head says.
    pub receipt: Receipt,
}

/// How a send ended.
#[derive(Debug)]
pub enum Sent {
    /// The endpoint answered; its head was signed.
    Answered(Box<Checked>),
    /// It surely did not run.
    Unrun,
    /// It may have run.
    Failed,
}

impl Job {
    /// Sends the request to an endpoint and checks the head of its answer.
    pub async fn send(
        &self,
        picked: &SelectedEndpoint,
        tries: &mut Tries,
        resume: Option<u64>,
        limit: Duration,
    ) -> Sent {
        tries.sends += 1;
        self.gateway
            .stats
            .record_send(&self.service, tries.sends > 1);
        let request = self.request(picked, resume);
        let sent = self
            .gateway
            .outbound
            .send(picked.address, request, Freshness::Proved, limit);
        tries.sending = true;
        let result = sent.await;
        tries.sending = false;
        let outcome = self.judge(picked, tries, result);
        match &outcome {
            Sent::Answered(_) => {}
            Sent::Unrun => tries.unrun += 1,
            Sent::Failed => tries.ran += 1,
        }
        outcome
    }

    /// Learns that an endpoint broke its answer off; `cut` where it closed the connection.
    pub fn broke_off(&self, picked: &SelectedEndpoint, tries: &mut Tries, cut: bool) {
        let now = self.now();
        self.gateway
            .servers
            .record_outcome(picked.key, RequestOutcome::Failure, now);
        if cut {
            self.gateway.crash_suspects().record_local(self.print, now);
        }
        tries.ran_at(&picked.id);
    }

    fn request(&self, picked: &SelectedEndpoint, resume: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let dispatch = Dispatch {
            left: self.left(),
            endpoint: picked.id.clone(),
            urgency: self
                .route
                .kind
                .is_stream()
                .then(|| self.route.priority.min(8) + 1),
            resume,
        };
        let headers = request.headers_mut();
        self.gateway.platform.wire.dispatch(headers, &dispatch);
        request
    }

    fn judge(
        &self,
        picked: &SelectedEndpoint,
        tries: &mut Tries,
        result: Result<Reply, SendError>,
    ) -> Sent {
        let now = self.now();
        let servers = &self.gateway.servers;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => {
                servers.record_outcome(picked.key, RequestOutcome::Failure, now);
                tries.failed.push(picked.id.clone());
                if error.fault == SendFault::Closed {
                    self.gateway.crash_suspects().record_local(self.print, now);
                }
                log::info!(id = self.call.id.as_str(), endpoint = picked.id.as_str(),
                    fault:% = error.fault, verdict:% = error.verdict(),
                    left_ms = super::link::millis(self.left()); "send failed");
                return match error.verdict() {
                    Verdict::NotRun => Sent::Unrun,
                    _ => Sent::Failed,
                };
            }
        };
        let (response, sender) = reply.into_parts();
        let (head, body) = response.into_parts();
        let receipt = self.gateway.platform.wire.receipt(&head);
        let encoded = head.headers.contains_key(hyper::header::CONTENT_ENCODING);
        let reply = Reply::new(Response::from_parts(head, body), picked.address, sender);
        if receipt.unrun {
            let status = reply.response.status();
            match &self.call.target {
                Some(target) => servers.mark_absent(picked.key, target, now),
                None => tries.failed.push(picked.id.clone()),
            }
            log::info!(id = self.call.id.as_str(), endpoint = picked.id.as_str(),
                status = status.as_u16(), load:? = receipt.load; "endpoint did not run the request");
            return Sent::Unrun;
        }
        if !receipt.signed || encoded {
            servers.record_outcome(picked.key, RequestOutcome::Failure, now);
            tries.failed.push(picked.id.clone());
            log::warn!(id = self.call.id.as_str(), endpoint = picked.id.as_str(),
                status = reply.response.status().as_u16(), encoded = encoded;
                "answer is not the endpoint's");
            return Sent::Failed;
        }
        Sent::Answered(Box::new(Checked { reply, receipt }))
    }
}
