//! The policy and the baselines that it is held against.

use std::time::Duration;

/// How long an idle replica is kept, and whether models are loaded ahead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Keep {
    /// As the policy says, at a weight of idle hours.
    Policy {
        /// Weight of idle hours, from 0 to 1.
        idle: f64,
        /// Whether models are loaded ahead.
        ahead: bool,
    },
    /// For a fixed time.
    Fixed(Duration),
    /// For ever, loaded at the start.
    Always,
    /// Not at all.
    Never,
    /// Until the next request where that is near enough for the reload that it saves.
    Clairvoyant {
        /// Longest gap that is bridged for 16 GiB and one request that would wait, in seconds.
        gap: f64,
        /// Reloads up to this time are not worth bridging a gap.
        reload: Duration,
    },
    /// Not at all, and loaded again just before the next request.
    JustInTime,
}

/// In what order loads take the weight store's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// As the policy says.
    Policy,
    /// First in, first out.
    Fifo,
}

/// Where a replica is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// As the policy says.
    Policy,
    /// On the server with the most free memory.
    MostFree,
}

/// One way to run a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scheme {
    /// Keep-alive.
    pub keep: Keep,
    /// Load order.
    pub order: Order,
    /// Placement.
    pub place: Place,
}

impl Scheme {
    /// A scheme that differs from the policy in the keep-alive alone.
    #[must_use]
    pub const fn keep(keep: Keep) -> Self {
        Self {
            keep,
            order: Order::Policy,
            place: Place::Policy,
        }
    }

    /// The policy at a weight of idle hours.
    #[must_use]
    pub const fn policy(idle: f64) -> Self {
        Self::keep(Keep::Policy { idle, ahead: true })
    }

    /// Name in tables.
    #[must_use]
    pub fn name(&self) -> String {
        let keep = match self.keep {
            Keep::Policy { idle, ahead: true } => format!("policy, idle weight {idle:.2}"),
            Keep::Policy { idle, ahead: false } => {
                format!("policy, idle weight {idle:.2}, none ahead")
            }
            Keep::Fixed(time) => format!("fixed {} min", time.as_secs() / 60),
            Keep::Always => String::from("always on"),
            Keep::Never => String::from("on demand only"),
            Keep::Clairvoyant { gap, reload } => {
                format!(
                    "clairvoyant keep {gap:.0} s over {:.1} s",
                    reload.as_secs_f64()
                )
            }
            Keep::JustInTime => String::from("clairvoyant, just in time"),
        };
        let order = match self.order {
            Order::Policy => "",
            Order::Fifo => ", FIFO loads",
        };
        let place = match self.place {
            Place::Policy => "",
            Place::MostFree => ", most free memory",
        };
        format!("{keep}{order}{place}")
    }
}
