//! Answers whose body is still to be read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::timeout;

use super::meter::{AnswerBody, is_garbled};
use super::{Outbound, SendError, SendFault, Sender};

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Reply {
    /// Head and body.
    pub response: Response<AnswerBody>,
    /// The other end.
    pub from: SocketAddr,
    sender: Sender,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Head.
    pub head: hyper::http::response::Parts,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// An answer that was taken apart before.
    #[must_use]
    pub const fn new(response: Response<AnswerBody>, from: SocketAddr, sender: Sender) -> Self {
        Self {
            response,
            from,
            sender,
        }
    }

    /// Takes the answer apart; the sender keeps the connection open.
    #[must_use]
    pub fn into_parts(self) -> (Response<AnswerBody>, Sender) {
        (self.response, self.sender)
    }

    /// Reads the whole body and gives the connection back.
    ///
    /// # Errors
    ///
    /// [`SendFault::Body`] where the body ends early, [`SendFault::Unended`] where it is larger than
    /// `most` bytes or is no body.
    pub async fn read(self, pool: &Outbound, most: usize) -> Result<Answer, SendError> {
        self.read_while(pool, most, Duration::MAX).await
    }

    /// The same, where each part of the body comes within `pause` of the one before.
    pub(super) async fn read_while(
        self,
        pool: &Outbound,
        most: usize,
        pause: Duration,
    ) -> Result<Answer, SendError> {
        let from = self.from;
        let (head, mut body) = self.response.into_parts();
        // One buffer: a body in chunks of one byte takes many times its size as a list of frames.
        let mut bytes = BytesMut::new();
        loop {
            let next = timeout(pause, body.frame()).await;
            let next = next.map_err(|late| SendError::new(SendFault::Unended, from, &late))?;
            let Some(frame) = next else { break };
            let frame = frame.map_err(|error| {
                let fault = if is_garbled(&error) {
                    SendFault::Unended
                } else {
                    SendFault::Body
                };
                SendError::new(fault, from, &error)
            })?;
            let part = frame.into_data().unwrap_or_default();
            if bytes.len() + part.len() > most {
                let detail = format!("the body is larger than {most} bytes");
                return Err(SendError::new(SendFault::Unended, from, &detail));
            }
            bytes.extend_from_slice(&part);
        }
        pool.put(from, self.sender);
        let body = bytes.freeze();
        Ok(Answer { head, body })
    }
}
