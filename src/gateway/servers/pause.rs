//! Pauses that an endpoint asked this instance for.

use std::time::Duration;

/// Time between two requests after a pause, until one of them is answered.
pub(crate) const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Whether an endpoint wants requests of this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pause {
    /// It takes requests.
    #[default]
    Off,
    /// It wants none until this time.
    Until(Duration),
    /// The pause is over, and it gets few requests until one of them is answered.
    Trial {
        /// When the first of them was sent.
        first: Duration,
        /// When the next one may be sent.
        next: Duration,
    },
}

impl Pause {
    /// Begins a pause, or prolongs it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::Pause;
    ///
    /// let (now, second) = (Duration::from_secs(9), Duration::from_secs(1));
    /// let mut pause = Pause::default();
    /// pause.begin(now + second);
    /// assert_eq!(pause.left(now), Some(second));
    /// assert_eq!(pause.left(now + second), None);
    /// ```
    pub fn begin(&mut self, until: Duration) {
        let known = match *self {
            Self::Until(known) => known,
            Self::Off | Self::Trial { .. } => Duration::ZERO,
        };
        *self = Self::Until(known.max(until));
    }

    /// Time for which no request is to be sent; none if one can be sent now.
    #[must_use]
    pub fn left(self, now: Duration) -> Option<Duration> {
        let until = match self {
            Self::Off => return None,
            Self::Until(until) | Self::Trial { next: until, .. } => until,
        };
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Records a send; after a pause the next one waits for an answer, or for an interval.
    pub fn record_send(&mut self, now: Duration) {
        let next = now + TRIAL_INTERVAL;
        *self = match *self {
            Self::Until(until) if until <= now => Self::Trial { first: now, next },
            Self::Trial { first, .. } => Self::Trial { first, next },
            other => other,
        };
    }

    /// Records an answer that asks for no pause; returns whether that ends a trial.
    ///
    /// An answer to a request sent before the pause proves nothing.
    pub fn record_answer(&mut self, sent_at: Duration) -> bool {
        let ends = matches!(*self, Self::Trial { first, .. } if sent_at >= first);
        if ends {
            *self = Self::Off;
        }
        ends
    }
}
