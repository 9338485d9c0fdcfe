//! Copies of the registry, by which one instance hands its server list to another.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{LeavingMark, Servers};
use crate::gateway::protocol::Endpoint;

/// An endpoint as another instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopiedEndpoint {
    /// Its description, with the models that it is believed to hold.
    pub endpoint: Endpoint,
    /// Time until it is removed, if that is scheduled.
    pub left: Option<Duration>,
}

/// A mark of an endpoint that leaves, as another instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopiedMark {
    /// The mark.
    pub mark: LeavingMark,
    /// Time since the mark was set.
    pub age: Duration,
}

impl Servers {
    /// All endpoints, for another instance.
    #[must_use]
    pub fn copy(&self, now: Duration) -> Vec<CopiedEndpoint> {
        let state = self.state();
        let copied = state.listed().map(|server| {
            let mut endpoint = server.endpoint.clone();
            endpoint.models.clone_from(&server.models);
            endpoint
                .models
                .retain(|model, _| !server.unloading.contains(model));
            CopiedEndpoint {
                endpoint,
                left: server.expires_at.map(|at| at.saturating_sub(now)),
            }
        });
        copied.collect()
    }

    /// Takes over another instance's endpoints, which are of a newer list than the own ones.
    ///
    /// A description that is no newer than the own one changes nothing, and an endpoint that the
    /// other instance does not have is removed.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::Servers;
    ///
    /// let servers = Servers::default();
    /// servers.apply_copy(&Servers::default().copy(Duration::ZERO), Duration::ZERO);
    /// assert!(servers.ids().is_empty());
    /// ```
    pub fn apply_copy(&self, copied: &[CopiedEndpoint], now: Duration) {
        let mut missing: BTreeSet<String> = self.ids().into_iter().collect();
        for CopiedEndpoint { endpoint, left } in copied {
            let is_known = missing.remove(&endpoint.id);
            self.upsert_copy(endpoint.clone(), now);
            if let (Some(left), false) = (left, is_known) {
                self.expire_at(&endpoint.id, now + *left);
            }
        }
        for id in missing {
            self.remove(&id);
        }
    }

    /// All marks of endpoints that leave, for another instance.
    #[must_use]
    pub fn copy_marks(&self, now: Duration) -> Vec<CopiedMark> {
        self.state().leaving.all(now)
    }
}
