//! Endpoints that fall over when they turn too many requests away.
//!
//! Such an endpoint gets no more requests than it has room for, as far as this instance knows, and
//! none for a while after it has turned one away; requests wait at the instance instead.

use std::time::Duration;

use super::{SelectionCriteria, Server, ServerKey, Servers};

/// Shortest time without requests after an endpoint has turned one away.
const MIN_HOLD: Duration = Duration::from_secs(1);
/// Requests of this instance at an engine, in multiples of its share of the slots: the lease holder
/// tells how many all instances have there, so that shares need not be even.
const ENGINE_SHARE_FACTOR: u32 = 2;

/// Time for which one of `instances` sends nothing to an endpoint that has turned its request away
/// and bears `bound` of these a second from all instances together.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::gateway::servers::brittle_hold;
///
/// assert_eq!(brittle_hold(20, 8), Duration::from_secs(1));
/// assert_eq!(brittle_hold(2, 8), Duration::from_secs(4));
/// ```
#[must_use]
pub fn brittle_hold(bound: u32, instances: u32) -> Duration {
    Duration::from_secs(u64::from(instances.div_ceil(bound.max(1)))).max(MIN_HOLD)
}

impl Server {
    /// Whether it has room for one more request, if it is brittle or the request leaves slots to others.
    pub(super) fn has_room(&self, criteria: &SelectionCriteria<'_>) -> bool {
        if let Some(share) = criteria.slot_share {
            let (running, queued) = self.engine_load;
            let load = self.fleet_load.max(running + queued);
            if f64::from(load) >= f64::from(self.endpoint.slots) * share {
                return false;
            }
        }
        if self.brittle.is_none() {
            return true;
        }
        let slots = self.endpoint.slots;
        let share = slots / criteria.instances.max(1);
        let most = if criteria.target.is_some() {
            share * ENGINE_SHARE_FACTOR
        } else {
            share
        };
        self.local_load < most.max(1) && self.fleet_load < slots
    }
}

impl Servers {
    /// Records whether an endpoint is brittle: the requests turned away within a second that it bears.
    pub fn record_brittle(&self, key: ServerKey, bound: Option<u32>) {
        let mut state = self.state();
        let Some(server) = state.servers.get_mut(key) else {
            return;
        };
        if server.brittle != bound {
            log::info!(endpoint = server.endpoint.id.as_str(), bound:? = bound;
                "endpoint is brittle, or no longer");
            server.brittle = bound;
        }
    }

    /// Requests of this instance in progress at an endpoint, and what it bears if it is brittle.
    #[must_use]
    pub fn own_requests(&self, key: ServerKey) -> (u32, Option<u32>) {
        let state = self.state();
        let server = state.servers.get(key);
        server.map_or((0, None), |s| (s.local_load, s.brittle))
    }

    /// Whether an endpoint could run a request if it had room for it.
    #[must_use]
    pub fn lacks_room(&self, criteria: &SelectionCriteria<'_>, now: Duration) -> bool {
        let state = self.state();
        let mut matching = state.servers.values();
        matching.any(|s| s.could_run(criteria, now) && !s.has_room(criteria))
    }
}
