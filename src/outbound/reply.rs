//! Answers whose body is still to be read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as _;
use tokio::time::timeout;

use super::meter::{AnswerBody, is_garbled};
use super::{Outbound, SendError, SendFault, Sender};
use crate::segments::Segments;

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
    /// `most` bytes or is no body, or there is no memory for it.
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
        let out_of_memory =
            || SendError::new(SendFault::Unended, from, &"no memory for the answer");
        let permit = body.take_permit().ok_or_else(out_of_memory)?;
        let stated = body.size_hint().exact();
        let stated = stated.and_then(|length| usize::try_from(length).ok());
        // A body in chunks of one byte takes many times its size as a list of frames.
        let mut read = Segments::default();
        let mut taken = 0;
        loop {
            let next = tokio::select! {
                next = timeout(pause, body.frame()) => next,
                () = permit.evicted() => return Err(out_of_memory()),
            };
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
            if read.length() + part.len() > most {
                let detail = format!("the body is larger than {most} bytes");
                return Err(SendError::new(SendFault::Unended, from, &detail));
            }
            let mut part: &[u8] = &part;
            while !part.is_empty() {
                if let Some(size) = read.missing(part.len(), stated) {
                    taken += size;
                    if !permit.hold(taken).await {
                        return Err(out_of_memory());
                    }
                    read.add(size);
                }
                part = read.fill(part);
            }
        }
        pool.put(from, self.sender);
        let body = permit.complete(read.join());
        Ok(Answer { head, body })
    }
}
