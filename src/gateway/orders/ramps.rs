//! Ramps under this lease holder.

use std::time::Duration;

use super::OrderController;
use super::limits::OWN_NUMBER;

impl OrderController {
    /// Decides the bounds of servers that ramp; returns whether there is anything new to publish.
    pub(super) fn step_ramps(&mut self, now: Duration) -> bool {
        if !self.ramps.is_due(now) {
            return false;
        }
        self.ramps.set_links(self.peers.len());
        let servers = &self.gateway.servers;
        servers.step_ramps(&mut self.ramps, OWN_NUMBER, now);
        self.ramps.has_news()
    }
}
