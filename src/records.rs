//! Records of recent requests, for `brassrack why`.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use crate::admin::{RequestRecord, RequestStep};
use crate::request::CallerRequest;
use crate::rules::PriorityClass;
use crate::verdict::Refusal;

/// Steps that are kept of one request.
const STEPS: usize = 32;

/// The record of a request that runs, with its times.
#[derive(Debug, Clone)]
pub struct Record {
    kept: RequestRecord,
    started: Instant,
    /// Time that the request waited for a replica.
    pub wait: Duration,
    /// Time to the first byte of the answer.
    pub first: Option<Duration>,
}

impl Record {
    /// The record of a request that arrived now.
    #[must_use]
    pub fn new(
        instance: &str,
        ask: &CallerRequest,
        class: Option<PriorityClass>,
        target: String,
    ) -> Self {
        let kept = RequestRecord {
            id: ask.id.clone(),
            instance: instance.to_owned(),
            tenant: ask.tenant.clone(),
            class,
            target,
            arrived: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            ..RequestRecord::default()
        };
        Self {
            kept,
            started: Instant::now(),
            wait: Duration::ZERO,
            first: None,
        }
    }

    /// Adds a step; past the bound no more are kept.
    pub fn step(&mut self, state: &str, detail: impl Into<String>) {
        if self.kept.steps.len() < STEPS {
            self.kept.steps.push(RequestStep {
                at_ms: millis(self.started.elapsed()),
                state: state.to_owned(),
                detail: detail.into(),
            });
        }
    }

    /// Notes that the request is sent to an endpoint.
    pub fn sent(&mut self, endpoint: &str) {
        self.kept.endpoint = Some(endpoint.to_owned());
        self.step("sent", endpoint);
    }

    /// Time since the request arrived.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes the first byte of the answer.
    pub fn answering(&mut self) -> Duration {
        *self.first.get_or_insert_with(|| self.started.elapsed())
    }

    /// Closes the record with the answer's status or the refusal, and logs it.
    #[must_use]
    pub fn close(mut self, status: u16, refusal: Option<&Refusal>) -> RequestRecord {
        self.kept.status = Some(refusal.map_or(status, |r| r.cause.status()));
        if let Some(refusal) = refusal {
            self.kept.verdict = Some(refusal.verdict);
            self.kept.cause = Some(refusal.cause);
            self.step("refused", refusal.detail.clone());
        } else {
            self.step("answered", "");
        }
        crate::logs::request(&self);
        self.kept
    }

    /// The record so far.
    #[must_use]
    pub const fn kept(&self) -> &RequestRecord {
        &self.kept
    }
}

/// The most recent records; the oldest give way.
#[derive(Debug, Clone)]
pub struct Records {
    kept: usize,
    ring: Arc<Mutex<VecDeque<RequestRecord>>>,
}

impl Records {
    /// Keeps at most `kept` records.
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
    pub fn new(kept: usize) -> Self {
        Self {
            kept,
            ring: Arc::default(),
        }
    }

    /// Adds a record.
    pub fn add(&self, record: RequestRecord) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= self.kept {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// The latest record with this request id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<RequestRecord> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|r| r.id == id).cloned()
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
