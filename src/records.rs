//! Records of recent requests, which `brassrack why` shows.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use crate::admin::{RequestRecord, RequestStep};
use crate::request::CallerRequest;
use crate::rules::PriorityClass;
use crate::verdict::Refusal;

/// Maximum number of steps that are recorded for one request.
const MAX_STEPS: usize = 32;

/// Record of a running request, with its timings.
#[derive(Debug, Clone)]
pub struct Record {
    stored: RequestRecord,
    started: Instant,
    /// Time that the request has waited for a replica or in the dispatch queue.
    pub queue_wait: Duration,
    /// Time to the first byte of the answer.
    pub first_byte: Option<Duration>,
}

impl Record {
    /// Starts the record of a request that arrives now.
    #[must_use]
    pub fn new(
        instance: &str,
        request: &CallerRequest,
        class: Option<PriorityClass>,
        target: String,
    ) -> Self {
        let stored = RequestRecord {
            id: request.id.clone(),
            instance: instance.to_owned(),
            tenant: request.tenant.clone(),
            class,
            target,
            arrived: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            ..RequestRecord::default()
        };
        Self {
            stored,
            started: Instant::now(),
            queue_wait: Duration::ZERO,
            first_byte: None,
        }
    }

    /// Adds a step; steps beyond the maximum are dropped.
    pub fn add_step(&mut self, state: &str, detail: impl Into<String>) {
        if self.stored.steps.len() < MAX_STEPS {
            self.stored.steps.push(RequestStep {
                at_ms: millis(self.started.elapsed()),
                state: state.to_owned(),
                detail: detail.into(),
            });
        }
    }

    /// Records that the request is sent to an endpoint.
    pub fn add_send(&mut self, endpoint: &str) {
        self.stored.endpoint = Some(endpoint.to_owned());
        self.add_step("sent", endpoint);
    }

    /// Time since the request arrived.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records the first byte of the answer and returns the time to it; later calls change nothing.
    pub fn mark_first_byte(&mut self) -> Duration {
        *self
            .first_byte
            .get_or_insert_with(|| self.started.elapsed())
    }

    /// Completes the record with the status of the answer or the refusal, and logs it.
    #[must_use]
    pub fn finish(mut self, status: u16, refusal: Option<&Refusal>) -> RequestRecord {
        self.stored.status = Some(refusal.map_or(status, |r| r.cause.status()));
        if let Some(refusal) = refusal {
            self.stored.verdict = Some(refusal.verdict);
            self.stored.cause = Some(refusal.cause);
            self.add_step("refused", refusal.detail.clone());
        } else {
            self.add_step("answered", "");
        }
        crate::logs::request(&self);
        self.stored
    }

    /// The data that is stored so far.
    #[must_use]
    pub const fn stored(&self) -> &RequestRecord {
        &self.stored
    }
}

/// Ring buffer of the most recent records.
#[derive(Debug, Clone)]
pub struct Records {
    capacity: usize,
    ring: Arc<Mutex<VecDeque<RequestRecord>>>,
}

impl Records {
    /// Creates a buffer for at most `capacity` records.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::admin::RequestRecord;
    /// use brassrack::records::Records;
    ///
    /// let records = Records::new(1);
    /// records.add(RequestRecord { id: "r-1".into(), ..RequestRecord::default() });
    /// assert!(records.find("r-1").is_some());
    /// ```
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ring: Arc::default(),
        }
    }

    /// Adds a record; drops the oldest one where the buffer is full.
    pub fn add(&self, record: RequestRecord) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= self.capacity {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Returns the latest record with this request id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<RequestRecord> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|r| r.id == id).cloned()
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
