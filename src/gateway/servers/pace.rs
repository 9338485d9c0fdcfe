//! Pace of the endpoints' machines: how long work takes there, relative to the usual time.
//!
//! An endpoint may state its pace in each response, and the time to the answer of calls shows it.
//! Both are compared with the other endpoints of the service, so that a service whose machines are all
//! equally slow is served like any other.

use std::time::Duration;

use super::{ServerKey, Servers, State, TIMING_WEIGHT};

/// Slowest and fastest pace that is believed; the platform drops stated figures outside it.
const PACE_BOUNDS: (f64, f64) = (0.25, 10.0);
/// Smoothing time of paces: the figure changes many times a second, and a stream runs for about 2 s.
const SMOOTHING_TIME: Duration = Duration::from_secs(2);
/// Largest weight of one figure, so that a single absurd one moves the belief by a quarter at most.
const MAX_WEIGHT: f64 = 0.25;
/// Smallest weight of one figure, for figures that arrive at the same moment.
const MIN_WEIGHT: f64 = 0.05;
/// Time constant with which a stated pace fades: a few views of the lease holder.
const STATED_FADE: Duration = Duration::from_secs(8);
/// Time constant with which a seen pace fades into the stated one: one of 89 instances calls an
/// endpoint of a plain service every few seconds.
const SEEN_FADE: Duration = Duration::from_secs(10);
/// Time for which a service counts as one whose endpoints state a pace after the last figure.
const REPORT_TTL: Duration = Duration::from_secs(30);
/// Age up to which the lease holder tells the pace of an engine's report: a few reports.
const REPORT_PACE_TTL: Duration = Duration::from_secs(3);

/// A smoothed pace; 1 is usual.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Belief {
    /// Value and time of the last update; none before the first one.
    latest: Option<(f64, Duration)>,
}

impl Belief {
    /// Value that has faded towards `usual` since the last update.
    fn at(self, usual: f64, fade: Duration, now: Duration) -> f64 {
        self.latest.map_or(usual, |(value, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            usual + (value - usual) * (-age / fade.as_secs_f64()).exp()
        })
    }

    fn record(&mut self, sample: f64, usual: f64, fade: Duration, now: Duration) {
        let before = self.at(usual, fade, now);
        let weight = self.latest.map_or(MAX_WEIGHT, |(_, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            let weight = 1.0 - (-age / SMOOTHING_TIME.as_secs_f64()).exp();
            weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
        });
        self.latest = Some((before + weight * (bounded(sample) - before), now));
    }
}

/// Belief about the pace of one endpoint's machine.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::servers::Pace;
///
/// let now = Duration::from_secs(9);
/// let mut pace = Pace::default();
/// pace.record_stated(5.0, 1.0, now);
/// assert_eq!(pace.relative(1.0, now), 2.0);
/// // What is seen goes before what is stated.
/// pace.record_seen(0.5, now);
/// assert!(pace.relative(1.0, now) < 2.0);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    /// As the endpoint states it.
    stated: Belief,
    /// Time to the answer of calls, relative to that of the service.
    seen: Belief,
}

impl Pace {
    /// Records a pace that the endpoint stated, where `usual` is the mean of its service.
    pub fn record_stated(&mut self, pace: f64, usual: f64, now: Duration) {
        if pace.is_finite() {
            self.stated.record(pace, usual, STATED_FADE, now);
        }
    }

    /// Records the time that work took, relative to the usual time of the service.
    pub fn record_seen(&mut self, relative: f64, now: Duration) {
        if relative.is_finite() {
            self.seen.record(relative, 1.0, SEEN_FADE, now);
        }
    }

    /// Pace relative to the service, whose mean stated pace is `usual`; 1 where nothing recent is
    /// known.
    #[must_use]
    pub fn relative(&self, usual: f64, now: Duration) -> f64 {
        let stated = self.stated.at(usual, STATED_FADE, now) / bounded(usual);
        bounded(self.seen.at(stated, SEEN_FADE, now))
    }
}

/// What the endpoints of a service that state a pace have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServicePace {
    /// Mean of the stated paces.
    pub(super) usual: f64,
    /// When an endpoint last stated one.
    stated_at: Duration,
    /// Mean time that a call takes with no other one ahead; zero until measured.
    work_time: Duration,
}

impl ServicePace {
    const fn new(pace: f64, now: Duration) -> Self {
        Self {
            usual: pace,
            stated_at: now,
            work_time: Duration::ZERO,
        }
    }

    pub(super) const fn is_recent(&self, now: Duration) -> bool {
        now.as_millis() < self.stated_at.as_millis() + REPORT_TTL.as_millis()
    }
}

fn bounded(pace: f64) -> f64 {
    pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
}

impl Servers {
    /// Whether any endpoint of a service has stated a pace lately.
    ///
    /// Choice, reports and ramps by pace take effect only for such services.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::Servers;
    ///
    /// assert!(!Servers::default().reports_pace("writers", Duration::ZERO));
    /// ```
    #[must_use]
    pub fn reports_pace(&self, service: &str, now: Duration) -> bool {
        let state = self.state();
        let known = state.paces.get(service);
        known.is_some_and(|p| p.is_recent(now))
    }

    /// Records the pace that an endpoint stated in a response, if it stated any.
    pub fn record_pace(&self, key: ServerKey, pace: Option<f64>, now: Duration) {
        if let Some(pace) = pace {
            self.state().record_pace(key, pace, now);
        }
    }

    /// Records the pace that an engine stated with its report to the lease holder, if it stated any.
    pub fn record_report_pace(&self, id: &str, started_ms: u64, pace: Option<f64>, now: Duration) {
        let mut state = self.state();
        let (Some(pace), Some(key)) = (pace, state.keys.get(id).copied()) else {
            return;
        };
        if let Some(server) = state.servers.get_mut(key)
            && server.endpoint.start_ms == started_ms
            && pace.is_finite()
        {
            server.report_pace = Some((bounded(pace), now));
            state.record_pace(key, pace, now);
        }
    }

    /// Records the time to the answer of a call, where the endpoint's service states paces.
    ///
    /// `load` is what the answer said of running and waiting requests and of slots: waiting ones
    /// lengthen the time whatever the pace is.
    pub fn record_call_time(
        &self,
        key: ServerKey,
        time: Duration,
        load: Option<(u32, u32, u32)>,
        now: Duration,
    ) {
        let state = &mut *self.state();
        let Some(server) = state.servers.get_mut(key) else {
            return;
        };
        let Some(known) = state.paces.get_mut(&server.endpoint.service) else {
            return;
        };
        if let Some((running, waiting, _)) = load {
            server.stated_load = Some((running.saturating_add(waiting), now));
        }
        let queue = load.map_or(1.0, |(_, waiting, slots)| {
            1.0 + f64::from(waiting) / f64::from(slots.max(1))
        });
        let work = time.div_f64(queue);
        if known.work_time.is_zero() {
            known.work_time = work;
        }
        let usual = known.work_time;
        // One endpoint that takes very long must not shift the usual time of the others.
        known.work_time =
            usual.mul_f64(1.0 - TIMING_WEIGHT) + work.min(usual * 4).mul_f64(TIMING_WEIGHT);
        if !usual.is_zero() {
            let relative = work.as_secs_f64() / usual.as_secs_f64();
            server.pace.record_seen(relative, now);
        }
    }

    /// Pace that an engine stated with its last report, in percent; 0 where that is old.
    ///
    /// Paces from views do not count, or a figure that stops arriving would be told for ever.
    #[must_use]
    pub fn report_pace_percent(&self, id: &str, now: Duration) -> u32 {
        let state = self.state();
        let server = state.keys.get(id).and_then(|k| state.servers.get(*k));
        let Some((pace, at)) = server.and_then(|s| s.report_pace) else {
            return 0;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "bounded to 25 to 1000 percent"
        )]
        let percent = (pace * 100.0).round() as u32;
        if now < at + REPORT_PACE_TTL {
            percent
        } else {
            0
        }
    }
}

impl State {
    pub(super) fn record_pace(&mut self, key: ServerKey, pace: f64, now: Duration) {
        let Some(server) = self.servers.get_mut(key).filter(|_| pace.is_finite()) else {
            return;
        };
        let pace = bounded(pace);
        let service = server.endpoint.service.as_str();
        let usual = if let Some(known) = self.paces.get_mut(service) {
            known.usual += TIMING_WEIGHT * (pace - known.usual);
            known.stated_at = now;
            known.usual
        } else {
            log::info!(service = service; "endpoints of a service state their pace");
            let first = ServicePace::new(pace, now);
            self.paces.insert(service.to_owned(), first);
            pace
        };
        server.pace.record_stated(pace, usual, now);
    }
}
