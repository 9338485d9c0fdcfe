//! Why a request has no answer, and whether it may have run.

use std::net::SocketAddr;

use crate::verdict::Verdict;

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendFault {
    /// No connection could be opened.
    Connect,
    /// The connection closed before the request was sent.
    NotSent,
    /// The connection closed after the request was sent.
    Closed,
    /// The head of the answer did not come in time.
    Silent,
    /// Bytes came that are no head of a final answer.
    Garbled,
    /// The answer belongs to another request.
    Crossed,
    /// The body of the answer ended early.
    Body,
    /// The body of the answer was too large, too slow or no body, on a connection still open.
    Unended,
}

/// A request that has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{fault} at {to}: {detail}")]
pub struct SendError {
    /// What happened.
    pub fault: SendFault,
    /// The other end.
    pub to: SocketAddr,
    /// Text of the underlying error.
    pub detail: String,
}

impl SendError {
    pub(super) fn new(fault: SendFault, to: SocketAddr, detail: &dyn ToString) -> Self {
        Self {
            fault,
            to,
            detail: detail.to_string(),
        }
    }

    /// Whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self.fault {
            SendFault::Connect | SendFault::NotSent => Verdict::NotRun,
            SendFault::Closed | SendFault::Silent | SendFault::Garbled | SendFault::Crossed => {
                Verdict::MayHaveRun
            }
            SendFault::Body | SendFault::Unended => Verdict::Ran,
        }
    }
}
