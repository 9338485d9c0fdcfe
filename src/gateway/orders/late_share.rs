//! Share of late streams of a model, from the reports of all instances.

use std::time::Duration;

/// Time constant with which streams are forgotten: a model out of 530 has some ten streams in it.
const WINDOW: Duration = Duration::from_secs(30);
/// Streams in time that count on top, so that a few late ones say little.
const PRIOR_STREAMS: f64 = 4.0;
/// Streams below which an entry is dropped.
const MIN_STREAMS: f64 = 0.05;

/// Streams that ended lately, and those of them that were late.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::orders::late_share::LateShare;
///
/// let now = Duration::from_secs(9);
/// let mut share = LateShare::default();
/// share.add(96, 48, now);
/// assert_eq!(share.at(now), 0.48);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LateShare {
    ended: f64,
    late: f64,
    updated: Duration,
}

impl LateShare {
    /// Adds streams that ended, of which some were late.
    pub fn add(&mut self, ended: u32, late: u32, now: Duration) {
        let kept = self.kept(now);
        *self = Self {
            ended: self.ended * kept + f64::from(ended),
            late: self.late * kept + f64::from(late.min(ended)),
            updated: now,
        };
    }

    /// Smoothed share of late streams, from 0 to 1.
    #[must_use]
    pub fn at(&self, now: Duration) -> f64 {
        let kept = self.kept(now);
        self.late * kept / (self.ended * kept + PRIOR_STREAMS)
    }

    /// Whether it no longer says anything.
    #[must_use]
    pub fn is_old(&self, now: Duration) -> bool {
        self.ended * self.kept(now) < MIN_STREAMS
    }

    fn kept(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / WINDOW.as_secs_f64()).exp()
    }
}
