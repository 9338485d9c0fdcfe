//! Fault switches of the stand-ins.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It behaves.
    #[default]
    None,
    /// Calls are refused and have no effect.
    Down,
    /// Calls take effect and are answered after this many milliseconds.
    Slow(u64),
    /// Calls take effect, and their answers are lost.
    LoseAnswer,
    /// The next calls, as many as given, take effect and lose their answers.
    LoseNext(u32),
    /// Calls neither take effect nor are answered.
    Silent,
}

/// What one call has to do about the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Take effect and answer.
    Answer,
    /// Refuse without effect.
    Refuse,
    /// Take effect, then answer late.
    Delay(Duration),
    /// Take effect and never answer.
    Lose,
    /// Do nothing and never answer.
    Hang,
}

/// A shared fault switch.
#[derive(Debug, Clone, Default)]
pub struct Switch(Arc<Mutex<Fault>>);

impl Switch {
    /// Sets the fault for the calls that follow.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Decides one call.
    #[must_use]
    pub fn next(&self) -> Effect {
        let mut fault = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match *fault {
            Fault::None | Fault::LoseNext(0) => Effect::Answer,
            Fault::Down => Effect::Refuse,
            Fault::Slow(ms) => Effect::Delay(Duration::from_millis(ms)),
            Fault::LoseAnswer => Effect::Lose,
            Fault::LoseNext(n) => {
                *fault = Fault::LoseNext(n - 1);
                Effect::Lose
            }
            Fault::Silent => Effect::Hang,
        }
    }
}
