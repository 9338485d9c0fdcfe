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
    /// Calls take effect and are never answered; their connections stay open.
    Mute,
    /// Connections are cut at once, and the calls take effect this many milliseconds later.
    Late(u64),
    /// The head and this many frames of the body (a stream's tokens) are sent, then the cut.
    CutAfter(u32),
    /// Two calls get each other's answers; a lone one gets its own under a foreign id.
    Cross,
    /// Connections that are open now go silent for good; new ones work.
    SilentOpen,
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
    /// Take effect, keep the connection and never answer.
    Mute,
    /// Cut the connection, then take effect after the delay.
    Late(Duration),
    /// Take effect, send this many frames of the body, then cut the connection.
    CutAfter(u32),
    /// Take effect and swap the answer with another call's.
    Cross,
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
            Fault::None | Fault::LoseNext(0) | Fault::SilentOpen => Effect::Answer,
            Fault::Down => Effect::Refuse,
            Fault::Slow(ms) => Effect::Delay(Duration::from_millis(ms)),
            Fault::LoseAnswer => Effect::Lose,
            Fault::LoseNext(n) => {
                *fault = Fault::LoseNext(n - 1);
                Effect::Lose
            }
            Fault::Silent => Effect::Hang,
            Fault::Mute => Effect::Mute,
            Fault::Late(ms) => Effect::Late(Duration::from_millis(ms)),
            Fault::CutAfter(n) => Effect::CutAfter(n),
            Fault::Cross => Effect::Cross,
        }
    }
}
