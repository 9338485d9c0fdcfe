//! An open connection: a request is sent on it, and the head of its answer read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, StatusCode, Version};
use tokio::time::timeout;

use super::meter::is_garbled;
use super::{AnswerBody, Reply, SendError, SendFault, Sender};
use crate::answer_room::AnswerRoom;

/// An open connection that carries no request yet.
#[derive(Debug)]
pub struct Link {
    pub(super) sender: Sender,
    pub(super) to: SocketAddr,
    pub(super) reused: bool,
    pub(super) echo: String,
    pub(super) answers: Arc<AnswerRoom>,
}

impl Link {
    /// Whether the connection carried a request before.
    #[must_use]
    pub const fn reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of the answer for at most `head`.
    ///
    /// # Errors
    ///
    /// [`SendError`], whose verdict tells whether the request may have run.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
        head: Duration,
    ) -> Result<Reply, SendError> {
        let to = self.to;
        timeout(head, self.exchange(request))
            .await
            .map_err(|late| SendError::new(SendFault::Silent, to, &late))?
    }

    async fn exchange(mut self, mut request: Request<Full<Bytes>>) -> Result<Reply, SendError> {
        let to = self.to;
        crate::http::set_host(request.headers_mut(), to);
        let asked = named(request.headers(), &self.echo);
        self.sender.last_id.clone_from(&asked);
        let meter = self.sender.meter.clone();
        meter.reset();
        let sent = self.sender.requests.try_send_request(request).await;
        meter.reset();
        let response = sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let error = e.into_error();
            let fault = if unsent {
                SendFault::NotSent
            } else if is_garbled(&error) {
                SendFault::Garbled
            } else {
                SendFault::Closed
            };
            SendError::new(fault, to, &error)
        })?;
        let status = response.status();
        if !is_final(status) {
            let detail = format!("status {status} is no final answer's");
            return Err(SendError::new(SendFault::Garbled, to, &detail));
        }
        let permit = self.answers.admit(to);
        let mut response = response.map(|body| AnswerBody::new(body, meter, permit));
        // Passed on in an older version, a body would end with the caller's connection.
        *response.version_mut() = Version::HTTP_11;
        // A request without an id has no answer with one: that is another's, late.
        let echoed = named(response.headers(), &self.echo);
        if asked != echoed {
            let detail = format!("the answer carries the request id {echoed:?}");
            return Err(SendError::new(SendFault::Crossed, to, &detail));
        }
        Ok(Reply::new(response, to, self.sender))
    }
}

/// Whether a status is that of a final answer.
///
/// Interim answers come before it; there is no upgrade to which 101 could lead.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Id of a request, as it or its answer carries it.
pub(super) fn named(headers: &HeaderMap, echo: &str) -> Option<HeaderValue> {
    headers.get(echo).filter(|id| !id.is_empty()).cloned()
}
