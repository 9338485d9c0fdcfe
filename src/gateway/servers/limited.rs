//! Requests and the limits of the endpoints in the registry.

use std::time::Duration;

use super::limits::{LimitAnswer, LimitNotice};
use super::permits::{Grant, Wanted};
use super::{SelectedEndpoint, SelectionCriteria, Server, Servers};

/// An endpoint that could run a request, but for its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedEndpoint {
    /// Id of the endpoint.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Expected time until the request can be sent.
    pub wait: Duration,
}

/// Counts a request as waiting for a permit until it is dropped.
#[derive(Debug)]
pub struct PermitWait {
    servers: Servers,
    /// Id of the endpoint.
    pub id: String,
    started_ms: u64,
    priority: u8,
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        self.servers
            .set_waiting(&self.id, self.started_ms, self.priority, false);
    }
}

impl Servers {
    /// Records what an answer of an incarnation says about its limit.
    pub fn record_limit(&self, id: &str, started_ms: u64, answer: LimitAnswer) {
        let changed = self
            .state()
            .limits
            .record(id, started_ms, answer, rand::random());
        if changed {
            self.announce_limit(id, answer.rate, "answer");
        }
    }

    /// Takes over what another instance knows about a limit.
    pub fn merge_limit(&self, notice: &LimitNotice, now: Duration) {
        let changed = self.state().limits.merge(notice, now, rand::random());
        if changed {
            self.announce_limit(&notice.id, notice.rate, "link");
        }
    }

    fn announce_limit(&self, id: &str, rate: Option<f64>, source: &'static str) {
        match rate {
            Some(rate) => {
                log::info!(endpoint = id, limit = rate, from = source; "endpoint names a limit");
            }
            None => {
                log::info!(endpoint = id, from = source; "endpoint names no limit any more");
            }
        }
        self.notify_change();
    }

    /// Records the lease holder's grant of permits.
    pub fn grant_permits(&self, id: &str, grant: Grant, now: Duration) {
        self.state().limits.grant(id, grant, now, rand::random());
        if grant.permits > 0 {
            self.notify_change();
        }
    }

    /// The limit of an incarnation, in requests a second; none where it has none.
    #[must_use]
    pub fn limit(&self, id: &str, started_ms: u64) -> Option<f64> {
        self.state().limits.rate(id, started_ms)
    }

    /// What this instance knows about limits, and the permits that it asks for.
    #[must_use]
    pub fn limit_notices(&self, now: Duration) -> Vec<(LimitNotice, Wanted)> {
        let state = self.state();
        let notices = state.limits.notices(now).into_iter();
        notices
            .map(|notice| {
                let missing = state.limits.missing(&notice.id, now);
                (notice, missing)
            })
            .collect()
    }

    /// The endpoints that could run a request but for their limits, soonest first.
    #[must_use]
    pub fn limited(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> Vec<LimitedEndpoint> {
        let state = self.state();
        if state.limits.is_empty() {
            return Vec::new();
        }
        let matching = state.servers.values().filter(|s| s.matches(criteria, now));
        let limited = matching.filter_map(|Server { endpoint, .. }| {
            let wait = state.limits.wait(&endpoint.id, endpoint.start_ms, now)?;
            Some(LimitedEndpoint {
                id: endpoint.id.clone(),
                started_ms: endpoint.start_ms,
                wait,
            })
        });
        let mut limited: Vec<LimitedEndpoint> = limited.collect();
        limited.sort_by_key(|endpoint| endpoint.wait);
        limited
    }

    /// Counts a request that could use a permit of these endpoints.
    pub fn record_wanted(&self, limited: &[LimitedEndpoint], now: Duration) {
        let count = u32::try_from(limited.len()).unwrap_or(u32::MAX);
        let mut state = self.state();
        for endpoint in limited {
            let (id, started_ms) = (&endpoint.id, endpoint.started_ms);
            let share = 1.0 / f64::from(count);
            state.limits.record_wanted(id, started_ms, share, now);
        }
    }

    /// Counts a request as waiting for a permit until the guard is dropped.
    #[must_use]
    pub fn wait_for_permit(&self, endpoint: &LimitedEndpoint, priority: u8) -> PermitWait {
        self.set_waiting(&endpoint.id, endpoint.started_ms, priority, true);
        PermitWait {
            servers: self.clone(),
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            priority,
        }
    }

    /// Uses a permit for a request; false where the endpoint has a limit, or a permit of its ramp
    /// was expected, and there is none.
    #[must_use]
    pub fn take_permit(&self, selected: &SelectedEndpoint, now: Duration) -> bool {
        let mut state = self.state();
        state.take_ramp_permit(selected, now)
            && state.limits.take(&selected.id, selected.started_ms, now)
            && state.take_room(selected, now)
    }

    fn set_waiting(&self, id: &str, started_ms: u64, priority: u8, waits: bool) {
        let mut state = self.state();
        state.limits.set_waiting(id, started_ms, priority, waits);
    }
}
