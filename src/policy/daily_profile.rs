//! Times of day at which a model wakes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Slots of a day.
const SLOTS: usize = 96;
/// Length of a slot.
pub const SLOT: Duration = Duration::from_mins(15);
/// One, in the fixed-point numbers of the odds.
const ONE: u32 = 1 << 15;
/// Days without a wake after which the profile is forgotten.
const FORGET_DAYS: u32 = 14;
/// Share of its distance to the newest day that an odd moves, one in so many.
const MEMORY_DAYS: u32 = 6;

/// Odds of a wake in each quarter of an hour of the day, averaged over recent days.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::policy::daily_profile::Rhythm;
///
/// let day = Duration::from_secs(86_400);
/// let noon = day / 2;
/// let mut rhythm = Rhythm::default();
/// for n in 0..5 {
///     rhythm.wake(noon + day * n);
/// }
/// let next = noon + day * 5;
/// assert!(rhythm.rate(next) > rhythm.rate(next + day / 4));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rhythm {
    odds: Vec<u16>,
    /// Slot that is being counted, since the origin of time.
    slot: u32,
    woke: bool,
}

impl Default for Rhythm {
    fn default() -> Self {
        Self {
            odds: vec![0; SLOTS],
            slot: 0,
            woke: false,
        }
    }
}

impl Rhythm {
    /// Counts a wake.
    pub fn wake(&mut self, now: Duration) {
        self.advance(now);
        self.woke = true;
    }

    /// Wakes a second to be expected at a time.
    #[must_use]
    pub fn rate(&self, at: Duration) -> f64 {
        let i = slot(at) as usize;
        let near = [SLOTS - 1, 0, 1].map(|d| f64::from(self.odds[(i + d) % SLOTS]));
        let odds = (near[0] + 2.0 * near[1] + near[2]) / 4.0 / f64::from(ONE);
        odds / SLOT.as_secs_f64()
    }

    fn advance(&mut self, now: Duration) {
        let current = slot(now);
        let days = current.saturating_sub(self.slot) / 96;
        if days >= FORGET_DAYS {
            self.odds.fill(0);
            self.slot = current;
        }
        while self.slot < current {
            self.close();
        }
    }

    fn close(&mut self) {
        let odd = &mut self.odds[self.slot as usize % SLOTS];
        let target = if self.woke { ONE } else { 0 };
        let moved = (u32::from(*odd) * (MEMORY_DAYS - 1) + target) / MEMORY_DAYS;
        *odd = u16::try_from(moved).unwrap_or(u16::MAX);
        self.woke = false;
        self.slot += 1;
    }
}

fn slot(at: Duration) -> u32 {
    u32::try_from(at.as_secs() / SLOT.as_secs()).unwrap_or(u32::MAX)
}
