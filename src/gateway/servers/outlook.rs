//! What a choice expects of an endpoint whose service states paces.

use std::time::Duration;

use super::super::pauses::{EngineSituation, PauseTable};
use super::super::protocol::Target;
use super::server::INTERVAL_TTL;
use super::{DEFAULT_RUN_TIME, SelectionCriteria, Server, ServerKey, Servers, State};

/// Time constant with which the load fades that an endpoint of a plain service stated: a few calls.
const STATED_LOAD_FADE: Duration = Duration::from_millis(500);
/// Load, as a share of the slots, from which a stream may be queued, and from which it surely is.
const QUEUE_RAMP: (f64, f64) = (0.9, 1.1);
/// Shortest assumed duration of a stream, which bounds the starts a second derived from it.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

/// Figures that determined the choice of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Expected {
    /// Expected late streams, with the work ahead over the slots that delays the first event; for a
    /// call, the time to its answer in multiples of the usual one.
    pub cost: f64,
    /// Pace of its machine, relative to the service.
    pub pace: f64,
    /// What runs there with this request.
    pub situation: EngineSituation,
}

/// Beliefs about a service that hold for all candidates of a choice.
#[derive(Debug)]
pub(super) struct Outlook<'a> {
    pauses: &'a PauseTable,
    run_time: f64,
    /// Mean stated pace of the service; none where its endpoints state none.
    usual_pace: Option<f64>,
    /// Average time between two events over all endpoints; zero until measured.
    pub(super) usual_interval: Duration,
}

impl<'a> Outlook<'a> {
    pub(super) fn new(state: &'a State, criteria: &SelectionCriteria<'_>, now: Duration) -> Self {
        let known = state.paces.get(criteria.service);
        let run_time = state.run_time.unwrap_or(DEFAULT_RUN_TIME).max(MIN_RUN_TIME);
        Self {
            pauses: &state.pauses,
            run_time: run_time.as_secs_f64(),
            usual_pace: known.filter(|p| p.is_recent(now)).map(|p| p.usual),
            usual_interval: state.event_interval,
        }
    }

    /// What to expect of a request at an endpoint; none where its load alone counts.
    ///
    /// `slowness` is the seen time between its events relative to that of all endpoints.
    pub(super) fn expected(
        &self,
        server: &Server,
        criteria: &SelectionCriteria<'_>,
        slowness: Option<f64>,
        now: Duration,
    ) -> Option<Expected> {
        let usual = self.usual_pace?;
        let stated = server.pace.relative(usual, now);
        match (criteria.target, criteria.gap_objective) {
            (Some(target), Some(_)) => {
                let pace = slowness.unwrap_or(stated);
                let before = server.situation(self.run_time);
                let after = server.situation_with(target, self.run_time);
                let slots = f64::from(server.endpoint.slots.max(1));
                let late = self.pauses.expected_late(before, after, pace);
                Some(Expected {
                    cost: late
                        + queued_share(after.running / slots)
                        + pace * before.running / slots,
                    pace,
                    situation: after,
                })
            }
            (None, None) => {
                let ahead = server.requests_ahead(now);
                let slots = f64::from(server.endpoint.slots.max(1));
                Some(Expected {
                    cost: stated * (1.0 + ahead / slots),
                    pace: stated,
                    situation: EngineSituation {
                        running: ahead + 1.0,
                        ..EngineSituation::default()
                    },
                })
            }
            _ => None,
        }
    }

    /// The same with the slowness that is known of the endpoint.
    pub(super) fn of(
        &self,
        server: &Server,
        criteria: &SelectionCriteria<'_>,
        now: Duration,
    ) -> Option<Expected> {
        let slowness = server.slowness(self.usual_interval, now);
        self.expected(server, criteria, slowness, now)
    }
}

/// Expected share of streams whose first event is late as they wait in the engine's queue, by the
/// streams running over the slots.
///
/// The load is known from a view: what ended and what others sent since is not in it.
fn queued_share(load: f64) -> f64 {
    ((load - QUEUE_RAMP.0) / (QUEUE_RAMP.1 - QUEUE_RAMP.0)).clamp(0.0, 1.0)
}

impl Server {
    /// Seen time between its events relative to the usual one, if both are known.
    pub(super) fn slowness(&self, usual: Duration, now: Duration) -> Option<f64> {
        let (interval, at) = self.event_interval?;
        let is_recent = now < at + INTERVAL_TTL && !usual.is_zero();
        is_recent.then(|| interval.as_secs_f64() / usual.as_secs_f64())
    }

    /// What runs on the engine, from all instances.
    ///
    /// Views do not tell the starts a second; they follow from what runs and how long streams run.
    fn situation(&self, run_time: f64) -> EngineSituation {
        let running = f64::from(self.fleet_load.max(self.local_load));
        let mut own = 0;
        let mut previous = None;
        for target in self.running.keys() {
            own += u32::from(previous != Some(&target.model));
            previous = Some(&target.model);
        }
        EngineSituation {
            running,
            models: self.models_running.max(own),
            starts: running / run_time,
        }
    }

    /// The same with one more stream of a target.
    fn situation_with(&self, target: &Target, run_time: f64) -> EngineSituation {
        let before = self.situation(run_time);
        let held = u32::try_from(self.models.len()).unwrap_or(u32::MAX);
        // Where all models that the engine holds are running, this one is among them.
        let is_running =
            before.models >= held.max(1) || self.running.keys().any(|t| t.model == target.model);
        EngineSituation {
            running: before.running + 1.0,
            models: before.models + u32::from(!is_running),
            starts: before.starts + run_time.recip(),
        }
    }

    /// Requests at an endpoint of a plain service: own ones, or those that it stated lately.
    fn requests_ahead(&self, now: Duration) -> f64 {
        let stated = self.stated_load.map_or(0.0, |(load, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            f64::from(load) * (-age / STATED_LOAD_FADE.as_secs_f64()).exp()
        });
        stated.max(f64::from(self.fleet_load.max(self.local_load)))
    }
}

impl Servers {
    /// Records the end of a stream, and whether a pause above its objective occurred.
    ///
    /// `begun` is what ran beside it at the start; the engine's present state counts as well.
    pub fn record_pauses(&self, key: ServerKey, begun: &Expected, paused: bool) {
        let state = &mut *self.state();
        let run_time = state.run_time.unwrap_or(DEFAULT_RUN_TIME).max(MIN_RUN_TIME);
        let Some(server) = state.servers.get(key) else {
            return;
        };
        let ended = server.situation(run_time.as_secs_f64());
        let during = begun.situation.mean(ended).at_pace(begun.pace);
        state.pauses.record(during, paused);
    }
}
