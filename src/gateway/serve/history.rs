//! What became of the sends of one request.

use std::time::Duration;

use super::super::servers::Expected;
use crate::verdict::Verdict;

/// Record of the sends of one request to endpoints.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    /// Ids of the endpoints that failed, which are not tried again.
    pub failed_endpoints: Vec<String>,
    /// Ids of the endpoints that it was sent to.
    pub asked_endpoints: Vec<String>,
    /// Number of sends.
    pub sends: u32,
    /// Number of sends that ended as no connection could be opened.
    pub unconnected: u32,
    /// Number of failed sends whose request ran or may have run.
    pub possible_runs: u32,
    /// Number of sends whose request certainly did not run.
    pub not_run: u32,
    /// Whether a send is in flight.
    pub in_flight: bool,
    /// Longest gap between two reads of a stream's events.
    pub longest_gap: Duration,
    /// Whether the first event came after the route's objective.
    pub first_late: bool,
    /// What the last choice expected of its endpoint.
    pub expected: Option<Expected>,
}

impl SendHistory {
    /// Marks a send as in flight, and returns the record for that attempt alone.
    #[must_use]
    pub fn begin_attempt(&mut self) -> Self {
        let attempt = self.clone();
        self.in_flight = true;
        attempt
    }

    /// Counts the attempt in flight, whose endpoint is silent, as a run; other attempts follow.
    pub fn record_silence(&mut self, endpoint: &str) {
        self.in_flight = false;
        self.sends += 1;
        self.record_possible_run(endpoint);
    }

    /// Counts the sends made beside a silent attempt that still goes on, but not that attempt.
    ///
    /// `runs_before` is the number of possible runs before its silence was recorded.
    pub fn settle_silence(&mut self, runs_before: u32) {
        let beside = self.possible_runs.saturating_sub(runs_before + 1);
        self.possible_runs = runs_before + beside + u32::from(self.in_flight);
        self.in_flight = false;
    }

    /// Counts a send that ran, or may have run, without a usable response.
    pub fn record_possible_run(&mut self, endpoint: &str) {
        self.possible_runs += 1;
        self.failed_endpoints.push(endpoint.to_owned());
    }

    /// Whether the request may have run on any endpoint so far.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        if self.possible_runs > 0 || self.in_flight {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}
