//! Times of day of a model's wake-ups.

use std::time::Duration;

use serde::{Deserialize, Serialize};

const SLOTS_PER_DAY: usize = 96;
/// Length of a slot of the day.
pub const SLOT_LENGTH: Duration = Duration::from_mins(15);
/// Fixed-point representation of probability 1.
const FIXED_POINT_ONE: u32 = 1 << 15;
/// Days without a wake-up after which the profile is reset.
const RESET_DAYS: u32 = 14;
/// Divisor of the moving average, in which the newest day has a weight of one in this many.
const AVERAGING_DAYS: u32 = 6;

/// Probability of a wake-up in each quarter of an hour of the day, averaged over recent days.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::daily_profile::DailyProfile;
///
/// let day = Duration::from_secs(86_400);
/// let noon = day / 2;
/// let mut daily = DailyProfile::default();
/// for n in 0..5 {
///     daily.record_wake(noon + day * n);
/// }
/// let next = noon + day * 5;
/// assert!(daily.rate(next) > daily.rate(next + day / 4));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DailyProfile {
    #[serde(rename = "odds")]
    probabilities: Vec<u16>,
    /// Current slot, counted from the origin of time.
    slot: u32,
    #[serde(rename = "woke")]
    wake_seen: bool,
}

impl Default for DailyProfile {
    fn default() -> Self {
        Self {
            probabilities: vec![0; SLOTS_PER_DAY],
            slot: 0,
            wake_seen: false,
        }
    }
}

impl DailyProfile {
    /// Records a wake-up.
    pub fn record_wake(&mut self, now: Duration) {
        self.advance_to(now);
        self.wake_seen = true;
    }

    /// Expected wake-ups per second at a time, smoothed over the neighbouring slots.
    #[must_use]
    pub fn rate(&self, at: Duration) -> f64 {
        let i = slot_index(at) as usize;
        let nearby = [SLOTS_PER_DAY - 1, 0, 1]
            .map(|d| f64::from(self.probabilities[(i + d) % SLOTS_PER_DAY]));
        let probability =
            (nearby[0] + 2.0 * nearby[1] + nearby[2]) / 4.0 / f64::from(FIXED_POINT_ONE);
        probability / SLOT_LENGTH.as_secs_f64()
    }

    fn advance_to(&mut self, now: Duration) {
        let current = slot_index(now);
        let days = current.saturating_sub(self.slot) / 96;
        if days >= RESET_DAYS {
            self.probabilities.fill(0);
            self.slot = current;
        }
        while self.slot < current {
            self.close_slot();
        }
    }

    fn close_slot(&mut self) {
        let probability = &mut self.probabilities[self.slot as usize % SLOTS_PER_DAY];
        let target = if self.wake_seen { FIXED_POINT_ONE } else { 0 };
        let average = (u32::from(*probability) * (AVERAGING_DAYS - 1) + target) / AVERAGING_DAYS;
        *probability = u16::try_from(average).unwrap_or(u16::MAX);
        self.wake_seen = false;
        self.slot += 1;
    }
}

fn slot_index(at: Duration) -> u32 {
    u32::try_from(at.as_secs() / SLOT_LENGTH.as_secs()).unwrap_or(u32::MAX)
}
