//! Pace of the servers of a service that do not ramp, as one instance sees it.

use std::time::Duration;

/// Time over which answers are counted; spans several plans and reports.
const WINDOW: Duration = Duration::from_secs(5);
/// Weight of a new answer in the usual time; spans about twenty answers.
const TIME_WEIGHT: f64 = 0.05;
/// Multiple of the usual time from which an answer is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Share of the objective below which no answer is slow: the difference is of no use to callers.
const MIN_OBJECTIVE_SHARE: f64 = 0.25;

/// How a server answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// At the pace of its peers.
    InTime,
    /// Later than its peers.
    Slow,
    /// Not, or with an error.
    Failed,
}

/// Rates of answers of the peers of a ramping server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerRates {
    /// Answers a second, from all of them.
    pub rate: f64,
    /// Late answers a second.
    pub slow: f64,
    /// Failed answers a second.
    pub failed: f64,
}

impl PeerRates {
    /// Adds what another instance sees.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            slow: self.slow + other.slow,
            failed: self.failed + other.failed,
        }
    }
}

/// Counts of answers that decay, and their usual time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PaceMeter {
    counts: PeerRates,
    counted_at: Duration,
    /// Time of an answer as a share of the objective; none until one has come.
    usual: Option<f64>,
}

impl PaceMeter {
    /// How an answer that took `took` compares with the peers and with the objective.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::ramp::{AnswerKind, PaceMeter};
    ///
    /// let ms = Duration::from_millis;
    /// let mut meter = PaceMeter::default();
    /// assert_eq!(meter.judge(ms(400), ms(500)), AnswerKind::InTime);
    /// for at in 0..100 {
    ///     meter.record(AnswerKind::InTime, ms(100), ms(500), ms(at));
    /// }
    /// assert_eq!(meter.judge(ms(400), ms(500)), AnswerKind::Slow);
    /// ```
    #[must_use]
    pub fn judge(&self, took: Duration, objective: Duration) -> AnswerKind {
        let usual = self.usual.unwrap_or(1.0);
        let share = (usual * SLOW_FACTOR).clamp(MIN_OBJECTIVE_SHARE, 1.0);
        if took > objective.mul_f64(share) {
            AnswerKind::Slow
        } else {
            AnswerKind::InTime
        }
    }

    /// Records an answer of a server that does not ramp.
    pub fn record(&mut self, kind: AnswerKind, took: Duration, objective: Duration, now: Duration) {
        self.counts = self.decayed(now);
        self.counted_at = now;
        self.counts.rate += 1.0;
        match kind {
            AnswerKind::InTime => {}
            AnswerKind::Slow => self.counts.slow += 1.0,
            AnswerKind::Failed => self.counts.failed += 1.0,
        }
        if kind != AnswerKind::Failed && !objective.is_zero() {
            let share = took.as_secs_f64() / objective.as_secs_f64();
            let before = self.usual.unwrap_or(share);
            self.usual = Some(TIME_WEIGHT.mul_add(share - before, before));
        }
    }

    /// Rates of answers over the last seconds.
    #[must_use]
    pub fn rates(&self, now: Duration) -> PeerRates {
        let counts = self.decayed(now);
        let window = WINDOW.as_secs_f64();
        PeerRates {
            rate: counts.rate / window,
            slow: counts.slow / window,
            failed: counts.failed / window,
        }
    }

    fn decayed(&self, now: Duration) -> PeerRates {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        let factor = (-age / WINDOW.as_secs_f64()).exp();
        PeerRates {
            rate: self.counts.rate * factor,
            slow: self.counts.slow * factor,
            failed: self.counts.failed * factor,
        }
    }
}
