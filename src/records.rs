//! Records of recent requests, for `brassrack why`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::verdict::{Cause, Refusal, Verdict};

/// What happened to one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request id.
    pub id: String,
    /// Tenant.
    pub tenant: String,
    /// Model or service call.
    pub target: String,
    /// Endpoints that the request was sent to, in order.
    pub endpoints: Vec<String>,
    /// HTTP status of the answer.
    pub status: u16,
    /// Verdict, where the answer is not the endpoint's.
    pub verdict: Option<Verdict>,
    /// Cause, where the answer is not the endpoint's.
    pub cause: Option<Cause>,
    /// One sentence on the cause.
    pub detail: String,
    /// Time that the request waited for a replica, in milliseconds.
    pub wait_ms: u64,
    /// Time to the first byte of the answer, in milliseconds.
    pub first_ms: u64,
    /// Whole time, in milliseconds.
    pub total_ms: u64,
}

impl Record {
    /// Notes a refusal.
    pub fn refuse(&mut self, refusal: &Refusal) {
        self.status = refusal.cause.status();
        self.verdict = Some(refusal.verdict);
        self.cause = Some(refusal.cause);
        self.detail.clone_from(&refusal.detail);
    }
}

/// The most recent records; the oldest give way.
#[derive(Debug, Clone)]
pub struct Records {
    kept: usize,
    ring: Arc<Mutex<VecDeque<Record>>>,
}

impl Records {
    /// Keeps at most `kept` records.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::records::{Record, Records};
    ///
    /// let records = Records::new(1);
    /// records.push(Record { id: "r-1".into(), ..Record::default() });
    /// assert!(records.find("r-1").is_some());
    /// ```
    #[must_use]
    pub fn new(kept: usize) -> Self {
        Self {
            kept,
            ring: Arc::default(),
        }
    }

    /// Adds a record.
    pub fn push(&self, record: Record) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= self.kept {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// The latest record with this request id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Record> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|r| r.id == id).cloned()
    }
}
