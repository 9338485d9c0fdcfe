//! What is known of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Weight of a new sample in the smoothed time.
const SMOOTHING: f64 = 0.1;
/// Time in which half of what is known of an endpoint's speed is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Oldest change that a report may still lack.
const OLDEST_CHANGE: Duration = Duration::from_secs(10);

/// Load and speed of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Track {
    /// Whether it is in the instance's failure domain.
    pub(super) near: bool,
    own: u32,
    reported: u32,
    at: Duration,
    /// Sends (true) and ends (false) since the time of the report.
    since: VecDeque<(Duration, bool)>,
    /// Smoothed time to first token for each request ahead, in seconds, and its last sample.
    unit: Option<(f64, Duration)>,
}

impl Track {
    pub(super) const fn new(near: bool) -> Self {
        Self {
            near,
            own: 0,
            reported: 0,
            at: Duration::ZERO,
            since: VecDeque::new(),
            unit: None,
        }
    }

    pub(super) fn report(&mut self, load: u32, at: Duration) {
        if at < self.at {
            return;
        }
        self.reported = load;
        self.at = at;
        while self.since.front().is_some_and(|(t, _)| *t <= at) {
            self.since.pop_front();
        }
    }

    pub(super) fn sent(&mut self, now: Duration) {
        self.own += 1;
        self.note(now, true);
    }

    pub(super) fn ended(&mut self, now: Duration) {
        self.own = self.own.saturating_sub(1);
        self.note(now, false);
    }

    /// Keeps a change for the next report; what is too old to lack in it is dropped.
    fn note(&mut self, now: Duration, sent: bool) {
        while self
            .since
            .front()
            .is_some_and(|(t, _)| now.saturating_sub(*t) > OLDEST_CHANGE)
        {
            self.since.pop_front();
        }
        if !self.at.is_zero() {
            self.since.push_back((now, sent));
        }
    }

    /// The reported load with what this instance sent and saw end since, and never less than its own.
    pub(super) fn load(&self) -> u32 {
        let change: i32 = self
            .since
            .iter()
            .map(|(_, sent)| if *sent { 1 } else { -1 })
            .sum();
        self.reported.saturating_add_signed(change).max(self.own)
    }

    pub(super) fn first_token(&mut self, ahead: u32, took: Duration, now: Duration) {
        let sample = took.as_secs_f64() / f64::from(ahead + 1);
        let old = self.unit.map_or(sample, |(unit, _)| unit);
        self.unit = Some((old + SMOOTHING * (sample - old), now));
    }

    /// Smoothed time for each request, where it is not forgotten.
    pub(super) fn known(&self, now: Duration) -> Option<f64> {
        let (unit, at) = self.unit?;
        (now.saturating_sub(at) < HALF_LIFE * 4).then_some(unit)
    }

    /// Time for each request, which drifts back to the usual one without samples.
    pub(super) fn unit(&self, usual: f64, now: Duration) -> f64 {
        let Some((unit, at)) = self.unit else {
            return usual;
        };
        let age = now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        usual + (unit - usual) * 0.5f64.powf(age)
    }
}
