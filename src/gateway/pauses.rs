//! Expected pauses of streams, by what runs beside them on their engine.
//!
//! A new stream's prompt is processed between two events of the streams that run on the engine, so
//! each start may delay them. The share of streams with a pause above their route's objective is
//! learnt from the streams of this instance.

/// What runs on an engine while a stream runs there, the stream included.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineSituation {
    /// Streams running.
    pub running: f64,
    /// Distinct models among them.
    pub models: u32,
    /// Streams that start a second.
    pub starts: f64,
}

impl EngineSituation {
    /// Mean of two situations, for a stream that began in one and ended in the other.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::pauses::EngineSituation;
    ///
    /// let begun = EngineSituation { running: 2.0, models: 1, starts: 0.0 };
    /// let ended = EngineSituation { running: 4.0, models: 2, starts: 2.0 };
    /// let mean = EngineSituation { running: 3.0, models: 2, starts: 1.0 };
    /// assert_eq!(begun.mean(ended), mean);
    /// ```
    #[must_use]
    pub fn mean(self, other: Self) -> Self {
        Self {
            running: f64::midpoint(self.running, other.running),
            models: (self.models + other.models).div_ceil(2),
            starts: f64::midpoint(self.starts, other.starts),
        }
    }

    /// Situation at the usual pace in which as much work is done at a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::pauses::EngineSituation;
    ///
    /// let during = EngineSituation { running: 2.0, models: 1, starts: 1.0 };
    /// assert_eq!(during.at_pace(3.0).running, 6.0);
    /// ```
    #[must_use]
    pub fn at_pace(self, pace: f64) -> Self {
        Self {
            running: self.running * pace,
            models: self.models,
            starts: self.starts * pace,
        }
    }
}

/// Ranges of the number of streams running, and of models among them.
const RUNNING_RANGES: usize = 4;
const MODEL_RANGES: usize = 3;
/// Ranges of starts a second: below [`MANY_STARTS`], and from there on.
const START_RANGES: usize = 2;
/// Starts a second at the middle of the first range, and distance to that of the second one.
const START_STEP: (f64, f64) = (3.0, 6.0);
/// Width of a range of streams running; the last one is open.
const RUNNING_STEP: f64 = 4.0;
/// Starts a second from which the share of streams with a pause was 0.30 whatever ran.
const MANY_STARTS: f64 = 6.0;
/// That share.
const MANY_STARTS_SHARE: f64 = 0.30;
/// Share of streams with a pause, by models and streams running, measured over 6,554 streams.
const PRIOR: [[f64; RUNNING_RANGES]; MODEL_RANGES] = [
    [0.03, 0.10, 0.23, 0.31],
    [0.04, 0.15, 0.19, 0.23],
    [0.14, 0.27, 0.32, 0.43],
];
/// Streams that the prior counts as in each cell: its standard error is then 0.03 to 0.07.
const PRIOR_STREAMS: f64 = 50.0;
/// Streams of a cell after which older ones count for less, so that the table follows changes.
const MAX_STREAMS: f64 = 500.0;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Cell {
    streams: f64,
    paused: f64,
}

impl Cell {
    fn share(self) -> f64 {
        self.paused / self.streams
    }

    fn record(&mut self, paused: bool) {
        let kept = (MAX_STREAMS - 1.0).min(self.streams) / self.streams;
        self.streams = self.streams * kept + 1.0;
        self.paused = self.paused * kept + f64::from(u8::from(paused));
    }
}

/// Learnt shares of streams with a pause above their objective.
#[derive(Debug, Clone, PartialEq)]
pub struct PauseTable {
    cells: [[[Cell; RUNNING_RANGES]; MODEL_RANGES]; START_RANGES],
    /// Shares of `cells`, made to rise with the streams running; kept, as each choice reads them.
    shares: [[[f64; RUNNING_RANGES]; MODEL_RANGES]; START_RANGES],
}

impl Default for PauseTable {
    fn default() -> Self {
        let cell = |share: f64| Cell {
            streams: PRIOR_STREAMS,
            paused: share * PRIOR_STREAMS,
        };
        let few = PRIOR.map(|row| row.map(cell));
        let many = PRIOR.map(|row| row.map(|share| cell(share.max(MANY_STARTS_SHARE))));
        let cells = [few, many];
        Self {
            cells,
            shares: cells.map(|rows| rows.map(rising_shares)),
        }
    }
}

impl PauseTable {
    /// Records a stream that ended, and whether it had a pause above its objective.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::pauses::{EngineSituation, PauseTable};
    ///
    /// let mut table = PauseTable::default();
    /// let alone = EngineSituation { running: 2.0, models: 1, starts: 1.0 };
    /// let before = table.share(alone);
    /// table.record(alone, true);
    /// assert!(table.share(alone) > before);
    /// ```
    pub fn record(&mut self, during: EngineSituation, paused: bool) {
        let (starts, models) = ranges(during);
        let row = &mut self.cells[starts][models];
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small and not negative"
        )]
        let range = (during.running.max(0.0) / RUNNING_STEP) as usize;
        row[range.min(RUNNING_RANGES - 1)].record(paused);
        self.shares[starts][models] = rising_shares(*row);
    }

    /// Expected share of streams with a pause in a situation, between the middles of the ranges.
    #[must_use]
    pub fn share(&self, during: EngineSituation) -> f64 {
        let (_, models) = ranges(during);
        // Middle of the first range is 2 streams running; the line goes on beyond both ends.
        let position = (during.running.max(0.0) - RUNNING_STEP / 2.0) / RUNNING_STEP;
        let low = position.clamp(0.0, 2.0).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "0 to 2"
        )]
        let at = low as usize;
        let [few, many] = self.shares.map(|rows| {
            let shares = rows[models];
            shares[at] + (shares[at + 1] - shares[at]) * (position - low)
        });
        let is_many = ((during.starts - START_STEP.0) / START_STEP.1).clamp(0.0, 1.0);
        (few + (many - few) * is_many).clamp(0.0, 1.0)
    }

    /// Expected number of streams that become late as one more starts: that one, and those that run
    /// there.
    ///
    /// Work at a `pace` of 2 takes twice as long, like that of twice the streams. A stream is late only
    /// once, so one more adds little where most are late.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::pauses::{EngineSituation, PauseTable};
    ///
    /// let table = PauseTable::default();
    /// let before = EngineSituation { running: 3.0, models: 1, starts: 1.0 };
    /// let after = EngineSituation { running: 4.0, models: 1, starts: 1.5 };
    /// let late = table.expected_late(before, after, 1.0);
    /// assert!(late < table.expected_late(before, after, 2.0));
    /// ```
    #[must_use]
    pub fn expected_late(&self, before: EngineSituation, after: EngineSituation, pace: f64) -> f64 {
        let own = self.share(after.at_pace(pace));
        let added = (own - self.share(before.at_pace(pace))).max(0.0);
        own + before.running * added
    }
}

/// Ranges of starts and models that a situation is in.
fn ranges(during: EngineSituation) -> (usize, usize) {
    let models = during.models.clamp(1, 3) - 1;
    (
        usize::from(during.starts >= MANY_STARTS),
        usize::try_from(models).unwrap_or_default(),
    )
}

/// Shares of the cells, none below that of fewer streams running: few samples must not make a busy
/// engine look better than an idle one.
fn rising_shares(cells: [Cell; RUNNING_RANGES]) -> [f64; RUNNING_RANGES] {
    let mut highest: f64 = 0.0;
    cells.map(|cell| {
        highest = highest.max(cell.share());
        highest
    })
}
