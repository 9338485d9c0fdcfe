//! Deployments that are replayed.

use std::time::Duration;

/// One gibibyte.
pub const GIB: u64 = 1 << 30;

/// The measure that a deployment weighs more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// Tail of the cold starts.
    Tail,
    /// Idle accelerator hours.
    Idle,
}

/// How models wake and sleep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// Sessions of regular, sporadic and rare models, and nightly jobs.
    Sessions,
    /// Long active and idle periods of a large catalogue.
    Periods,
}

/// Sizes and limits of a deployment.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name in tables.
    pub name: String,
    /// The measure weighed more.
    pub measure: Measure,
    /// How models wake.
    pub demand: Demand,
    /// Base models.
    pub bases: usize,
    /// Adapters.
    pub adapters: usize,
    /// Smallest and largest checkpoint of a base model, in bytes.
    pub sizes: (u64, u64),
    /// Servers.
    pub servers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Accelerator memory of a server, in bytes.
    pub memory: u64,
    /// Memory of one accelerator, in bytes.
    pub accelerator: u64,
    /// Main memory for checkpoints on a server, in bytes.
    pub host: u64,
    /// Disk for checkpoints on a server, in bytes.
    pub disk: u64,
    /// Bytes a second of one load from the weight store at full speed.
    pub rate: u64,
    /// Loads that the weight store starts a second.
    pub starts: u32,
    /// Share of a day's sessions in each hour, in any unit.
    pub hours: [u32; 24],
    /// Hours of the day in which regular models wake.
    pub habits: [u64; 3],
    /// Time replayed.
    pub span: Duration,
    /// Time at the start that is not measured.
    pub warmup: Duration,
    /// Reclaimed servers a day.
    pub reclaims: f64,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            name: String::from("papirnica"),
            measure: Measure::Idle,
            demand: Demand::Sessions,
            bases: 50,
            adapters: 55,
            sizes: (4 * GIB, 40 * GIB),
            servers: 9,
            domains: 3,
            memory: 80 * GIB,
            accelerator: 80 * GIB,
            host: 24 * GIB,
            disk: 80 * GIB,
            rate: 2 * GIB,
            starts: 4,
            hours: [
                1, 1, 1, 1, 1, 1, 2, 4, 8, 10, 10, 8, 6, 6, 8, 10, 14, 18, 18, 12, 6, 3, 2, 1,
            ],
            habits: [9, 17, 18],
            span: Duration::from_hours(10 * 24),
            warmup: Duration::from_hours(4 * 24),
            reclaims: 1.0,
        }
    }
}

impl Site {
    /// Papirnica Ljubljana Invitation Drafting Rack.
    #[must_use]
    pub fn papirnica() -> Self {
        Self::default()
    }

    /// Delta Meridian Correction Desk Rollout.
    #[must_use]
    pub fn delta_meridian() -> Self {
        Self {
            name: String::from("delta-meridian"),
            measure: Measure::Tail,
            adapters: 60,
            sizes: (2 * GIB, 24 * GIB),
            memory: 48 * GIB,
            accelerator: 48 * GIB,
            host: 14 * GIB,
            disk: 48 * GIB,
            rate: GIB,
            starts: 2,
            hours: [
                1, 1, 1, 2, 6, 14, 18, 18, 14, 10, 8, 8, 8, 10, 12, 12, 10, 8, 5, 3, 2, 1, 1, 1,
            ],
            habits: [5, 6, 13],
            ..Self::default()
        }
    }

    /// The catalogue to design for, with one replica of each model and its requests thinned.
    #[must_use]
    pub fn two_year() -> Self {
        Self {
            name: String::from("two-year"),
            measure: Measure::Tail,
            demand: Demand::Periods,
            bases: 95,
            adapters: 3_800,
            sizes: (8 * GIB, 72 * GIB),
            servers: 600,
            domains: 5,
            memory: 640 * GIB,
            host: 256 * GIB,
            disk: 1_024 * GIB,
            span: Duration::from_hours(16),
            warmup: Duration::from_hours(8),
            reclaims: 14.0,
            ..Self::default()
        }
    }
}
