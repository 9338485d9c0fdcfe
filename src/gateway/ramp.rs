//! Bound on the requests to a server that has just started or recovered.
//!
//! All instances together send such a server few requests at first. The bound grows while its
//! answers keep to the pace of its peers, falls at once when they do not, and ends when the server
//! carries the share of a peer.

use std::time::Duration;

mod answers;
mod holder;
mod meter;
mod table;

pub use holder::RampHolder;
pub use meter::{AnswerKind, PaceMeter, PeerRates};
pub use table::{RampAnswer, RampGroup, RampNews, RampReport, RampTable, RampTarget};

/// Settings of ramps.
#[derive(Debug, Clone, PartialEq)]
pub struct RampSettings {
    /// First bound, as a share of the requests that a peer gets: three doublings below it.
    pub start_share: f64,
    /// Lowest first bound of a server that has not fallen before, in requests a second.
    pub min_start: f64,
    /// Lowest bound, in requests a second: a server that has recovered shows it within 2 s.
    pub floor: f64,
    /// The same as a share of the requests that a peer gets; the higher one of both counts.
    pub floor_share: f64,
    /// Answers in time after which the bound doubles; each earlier fall asks for one more.
    pub answers: u32,
    /// Time for which the answers must show that the server carries the bound.
    pub proof_time: Duration,
    /// Time without a fall after which one earlier fall is forgiven.
    pub trust_time: Duration,
    /// Falls at the lowest bound, for slowness alone, after which the ramp ends.
    ///
    /// Slowness that few requests do not cure is a matter of the choice among uneven servers.
    pub slow_falls: u32,
    /// Time without any answer after which a ramp ends.
    pub max_idle: Duration,
    /// Time for which a service must be known before a new server of it ramps; at the start of the
    /// system all servers are new.
    pub known_time: Duration,
}

impl Default for RampSettings {
    fn default() -> Self {
        Self {
            start_share: 0.125,
            min_start: 1.0,
            floor: 0.5,
            floor_share: 0.03125,
            answers: 2,
            proof_time: Duration::from_millis(250),
            trust_time: Duration::from_mins(1),
            slow_falls: 4,
            max_idle: Duration::from_mins(5),
            known_time: Duration::from_secs(5),
        }
    }
}

impl RampSettings {
    /// Lowest bound where a peer gets `peer_rate` requests a second.
    fn floor(&self, peer_rate: f64) -> f64 {
        self.floor.max(peer_rate * self.floor_share)
    }
}

/// Most falls that count: beyond them the bound is at its floor in any case.
const MAX_FALLS: u32 = 4;
/// Share of late answers that is normal for peers even where few or none were seen.
const MIN_SLOW_SHARE: f64 = 0.05;
/// Share of failed answers that is normal for peers even where few or none were seen.
const MIN_FAILED_SHARE: f64 = 0.01;
/// Standard deviations by which bad answers must exceed what is normal for peers.
const DEVIATIONS: f64 = 2.0;
/// Answers in time at other instances that outweigh the failures of a single one.
const OUTWEIGHING_ANSWERS: u32 = 3;

/// Answers of a server to the requests of one round.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answered in time.
    pub in_time: u32,
    /// Answered late.
    pub slow: u32,
    /// Failed.
    pub failed: u32,
}

impl AnswerCounts {
    /// Counts one answer.
    pub const fn add(&mut self, kind: AnswerKind) {
        match kind {
            AnswerKind::InTime => self.in_time += 1,
            AnswerKind::Slow => self.slow += 1,
            AnswerKind::Failed => self.failed += 1,
        }
    }

    /// Sums up what the instances counted.
    ///
    /// Failures that a single instance sees beside answers in time at others are those of its path,
    /// not of the server, and do not count.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::ramp::AnswerCounts;
    ///
    /// let cut_off = AnswerCounts { failed: 2, ..AnswerCounts::default() };
    /// let sound = AnswerCounts { in_time: 3, ..AnswerCounts::default() };
    /// assert_eq!(AnswerCounts::sum(&[cut_off, sound]).failed, 0);
    /// assert_eq!(AnswerCounts::sum(&[cut_off, cut_off, sound]).failed, 4);
    /// ```
    #[must_use]
    pub fn sum(counts: &[Self]) -> Self {
        let total = |of: fn(&Self) -> u32| counts.iter().map(of).sum::<u32>();
        let failing = counts.iter().filter(|c| c.failed > 0).count();
        let others = counts.iter().filter(|c| c.failed == 0);
        let outweighed =
            failing == 1 && others.map(|c| c.in_time).sum::<u32>() >= OUTWEIGHING_ANSWERS;
        Self {
            in_time: total(|c| c.in_time),
            slow: total(|c| c.slow),
            failed: if outweighed { 0 } else { total(|c| c.failed) },
        }
    }

    const fn total(self) -> u32 {
        self.in_time + self.slow + self.failed
    }
}

/// What the peers of a server do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peers {
    /// Whether there are enough of them to compare with.
    pub present: bool,
    /// Requests a second that a peer of the server's size gets from all instances together.
    pub rate: f64,
    /// Share of their answers that is late.
    pub slow: f64,
    /// Share of their answers that failed.
    pub failed: f64,
}

/// Why a ramp ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RampEnd {
    /// The server carries the share of a peer.
    Equal,
    /// Too few peers are left to compare with.
    NoPeers,
    /// It is late however few requests it gets.
    SteadilySlow,
    /// It had no request for long.
    Idle,
    /// The lease holder ended the ramp, or another incarnation took the server's place.
    Dropped,
}

/// Outcome of a look at the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampStep {
    /// The bound stays.
    Kept,
    /// The bound grew.
    Grown,
    /// The bound fell.
    Fallen,
    /// There is no bound any more.
    Ended(RampEnd),
}

/// Ramp of one server.
///
/// Each change of the bound begins a round. Only answers to requests of the current round count, so
/// that a late report neither raises the bound nor lowers it a second time.
#[derive(Debug, Clone, PartialEq)]
pub struct Ramp {
    /// Requests a second, from all instances together.
    pub bound: f64,
    /// Number of the round.
    pub round: u32,
    /// When the round began.
    pub since: Duration,
    /// Earlier falls that still count; those in a row count once.
    pub falls: u32,
    /// Whether the bound has grown since the last fall.
    has_grown: bool,
    /// Falls at the lowest bound in a row, for slowness alone.
    slow_falls: u32,
}

impl Ramp {
    /// Begins a ramp after `falls` earlier ones, where a peer gets `peer_rate` requests a second.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::ramp::{Ramp, RampSettings};
    ///
    /// let (settings, now) = (RampSettings::default(), Duration::from_secs(9));
    /// assert_eq!(Ramp::new(40.0, 0, 1, &settings, now).bound, 5.0);
    /// assert_eq!(Ramp::new(40.0, 1, 1, &settings, now).bound, 2.5);
    /// assert_eq!(Ramp::new(0.0, 0, 1, &settings, now).bound, 1.0);
    /// ```
    #[must_use]
    pub fn new(
        peer_rate: f64,
        falls: u32,
        round: u32,
        settings: &RampSettings,
        now: Duration,
    ) -> Self {
        let falls = falls.min(MAX_FALLS);
        let first = (peer_rate * settings.start_share).max(settings.min_start);
        Self {
            bound: (first * reduction(falls)).max(settings.floor(peer_rate)),
            round,
            since: now,
            falls,
            has_grown: true,
            slow_falls: 0,
        }
    }

    /// Takes over what the lease holder says; returns whether the bound fell.
    pub fn follow(&mut self, bound: f64, round: u32, falls: u32, now: Duration) -> bool {
        if round == self.round {
            return false;
        }
        let fell = bound < self.bound;
        (self.bound, self.round, self.falls) = (bound, round, falls);
        (self.since, self.has_grown) = (now, !fell);
        fell
    }

    /// Looks at the answers of the current round.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::ramp::{AnswerCounts, Peers, Ramp, RampSettings, RampStep};
    ///
    /// let (settings, now) = (RampSettings::default(), Duration::from_secs(9));
    /// let peers = Peers { present: true, rate: 40.0, ..Peers::default() };
    /// let mut ramp = Ramp::new(peers.rate, 0, 1, &settings, now);
    /// let good = AnswerCounts { in_time: 2, ..AnswerCounts::default() };
    /// assert_eq!(ramp.step(good, &peers, &settings, now), RampStep::Grown);
    /// let bad = AnswerCounts { failed: 1, ..AnswerCounts::default() };
    /// assert_eq!(ramp.step(bad, &peers, &settings, now), RampStep::Fallen);
    /// assert_eq!(ramp.bound, 5.0);
    /// ```
    pub fn step(
        &mut self,
        answers: AnswerCounts,
        peers: &Peers,
        settings: &RampSettings,
        now: Duration,
    ) -> RampStep {
        if !peers.present {
            return RampStep::Ended(RampEnd::NoPeers);
        }
        let total = answers.total();
        if total == 0 {
            if now > self.since + settings.max_idle {
                return RampStep::Ended(RampEnd::Idle);
            }
            return RampStep::Kept;
        }
        let failed_share = peers.failed.max(MIN_FAILED_SHARE);
        let bad_share = (peers.failed + peers.slow).max(MIN_SLOW_SHARE);
        let fails = f64::from(answers.failed) > allowance(failed_share, total);
        let bad = answers.failed + answers.slow;
        if fails || f64::from(bad) > allowance(bad_share, total) {
            return self.fall(fails, settings.floor(peers.rate), settings, now);
        }
        if answers.in_time < self.needed(settings) {
            return RampStep::Kept;
        }
        if self.bound >= peers.rate {
            return RampStep::Ended(RampEnd::Equal);
        }
        self.bound = (self.bound * 2.0).min(peers.rate);
        (self.has_grown, self.slow_falls) = (true, 0);
        self.begin_round(now);
        RampStep::Grown
    }

    /// Answers in time after which the bound grows.
    fn needed(&self, settings: &RampSettings) -> u32 {
        let carried = self.bound * settings.proof_time.as_secs_f64();
        let least = settings.answers + self.falls;
        least.max(ceil(carried))
    }

    fn fall(
        &mut self,
        fails: bool,
        floor: f64,
        settings: &RampSettings,
        now: Duration,
    ) -> RampStep {
        let at_floor = self.bound <= floor;
        self.slow_falls = if at_floor && !fails {
            self.slow_falls + 1
        } else {
            0
        };
        if self.slow_falls >= settings.slow_falls {
            return RampStep::Ended(RampEnd::SteadilySlow);
        }
        if std::mem::replace(&mut self.has_grown, false) {
            self.falls = (self.falls + 1).min(MAX_FALLS);
        }
        self.bound = (self.bound * reduction(self.falls)).max(floor);
        self.begin_round(now);
        RampStep::Fallen
    }

    const fn begin_round(&mut self, now: Duration) {
        self.round = self.round.wrapping_add(1);
        self.since = now;
    }
}

/// Factor by which the bound is lowered after as many falls: a half, a quarter, and so on.
fn reduction(falls: u32) -> f64 {
    1.0 / f64::from(1_u32 << falls.min(MAX_FALLS))
}

/// Most bad answers out of `total` that peers with this share of them would show too.
fn allowance(share: f64, total: u32) -> f64 {
    let total = f64::from(total);
    let deviation = (share * (1.0 - share).max(0.0) * total).sqrt();
    DEVIATIONS.mul_add(deviation, share * total)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count that is never negative"
)]
fn ceil(count: f64) -> u32 {
    count.ceil() as u32
}

/// Short id of an incarnation in messages.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::ramp::incarnation_digest;
///
/// assert_ne!(incarnation_digest("e", 5), incarnation_digest("e", 6));
/// ```
#[must_use]
pub fn incarnation_digest(id: &str, started_ms: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(id.as_bytes())
        .update(&started_ms.to_le_bytes());
    let hash = hasher.finalize();
    let first: [u8; 8] = std::array::from_fn(|at| hash.as_bytes()[at]);
    u64::from_le_bytes(first)
}
