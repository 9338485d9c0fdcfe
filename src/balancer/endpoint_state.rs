//! Load and speed of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Weight of a new sample in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Time after the last sample in which the known speed loses half of its weight.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(30);

/// Largest lag of a report; older changes are taken to be included in it.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// Estimated load and speed of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointState {
    /// Whether the endpoint is in the instance's failure domain.
    pub(super) same_domain: bool,
    own_requests: u32,
    reported_load: u32,
    reported_at: Duration,
    /// Requests sent (`true`) and ended (`false`) since the time of the report.
    changes: VecDeque<(Duration, bool)>,
    /// Smoothed time to first token per request of load, in seconds, and its last sample's time.
    unit_secs: Option<(f64, Duration)>,
}

impl EndpointState {
    pub(super) const fn new(same_domain: bool) -> Self {
        Self {
            same_domain,
            own_requests: 0,
            reported_load: 0,
            reported_at: Duration::ZERO,
            changes: VecDeque::new(),
            unit_secs: None,
        }
    }

    pub(super) fn record_load(&mut self, load: u32, at: Duration) {
        if at < self.reported_at {
            return;
        }
        self.reported_load = load;
        self.reported_at = at;
        while self.changes.front().is_some_and(|(t, _)| *t <= at) {
            self.changes.pop_front();
        }
    }

    pub(super) fn record_sent(&mut self, now: Duration) {
        self.own_requests += 1;
        self.record_change(now, true);
    }

    pub(super) fn record_end(&mut self, now: Duration) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.record_change(now, false);
    }

    /// Keeps a change until a report includes it, and drops changes older than the largest lag.
    fn record_change(&mut self, now: Duration, sent: bool) {
        while self
            .changes
            .front()
            .is_some_and(|(t, _)| now.saturating_sub(*t) > MAX_REPORT_LAG)
        {
            self.changes.pop_front();
        }
        if !self.reported_at.is_zero() {
            self.changes.push_back((now, sent));
        }
    }

    /// Reported load with this instance's changes since then, but at least its own requests.
    pub(super) fn load(&self) -> u32 {
        let change: i32 = self
            .changes
            .iter()
            .map(|(_, sent)| if *sent { 1 } else { -1 })
            .sum();
        self.reported_load
            .saturating_add_signed(change)
            .max(self.own_requests)
    }

    pub(super) fn record_first_token(&mut self, ahead: u32, took: Duration, now: Duration) {
        let sample = took.as_secs_f64() / f64::from(ahead + 1);
        let previous = self.unit_secs.map_or(sample, |(unit_secs, _)| unit_secs);
        self.unit_secs = Some((previous + SMOOTHING_FACTOR * (sample - previous), now));
    }

    /// Smoothed time per request of load, or `None` after four half-lives without a sample.
    pub(super) fn recent_unit_secs(&self, now: Duration) -> Option<f64> {
        let (unit_secs, at) = self.unit_secs?;
        (now.saturating_sub(at) < SPEED_HALF_LIFE * 4).then_some(unit_secs)
    }

    /// Time per request of load, which decays towards the median while there are no samples.
    pub(super) fn decayed_unit_secs(&self, median_secs: f64, now: Duration) -> f64 {
        let Some((unit_secs, at)) = self.unit_secs else {
            return median_secs;
        };
        let age = now.saturating_sub(at).as_secs_f64() / SPEED_HALF_LIFE.as_secs_f64();
        median_secs + (unit_secs - median_secs) * 0.5f64.powf(age)
    }
}
