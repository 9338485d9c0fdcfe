//! Endpoints whose entry was removed from the list and may come back.
//!
//! An entry is removed after some silence, or by a partition between the endpoint and the store. The
//! incarnation may go on: its requests take places there, and a pause that it asked for holds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::protocol::Endpoint;
use super::{Pause, Server, ServerKey, State};

impl Server {
    /// What is kept of it without its entry.
    fn without_entry(self) -> Self {
        Self {
            fleet_load: self.local_load,
            local_load: self.local_load,
            running: self.running,
            pause: self.pause,
            is_listed: false,
            ..Self::new(self.endpoint)
        }
    }

    const fn is_needed(&self) -> bool {
        self.local_load > 0 || !matches!(self.pause, Pause::Off)
    }
}

impl State {
    /// The endpoints in the list.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_listed)
    }

    /// Key of an endpoint by its id, whether it is listed or not.
    pub(super) fn known_key(&self, id: &str) -> Option<ServerKey> {
        self.keys.get(id).or_else(|| self.unlisted.get(id)).copied()
    }

    /// Keeps an endpoint whose entry was removed, if anything of it counts; returns its description.
    pub(super) fn unlist(&mut self, key: ServerKey) -> Option<Endpoint> {
        let server = self.servers.get_mut(key)?;
        let endpoint = server.endpoint.clone();
        if server.is_needed() {
            let kept = std::mem::replace(server, Server::new(endpoint.clone()));
            *server = kept.without_entry();
            self.unlisted.insert(endpoint.id.clone(), key);
        } else {
            self.servers.remove(key);
        }
        Some(endpoint)
    }

    /// Lists an endpoint again, if it is the incarnation that was kept.
    pub(super) fn list_again(&mut self, endpoint: &Endpoint, now: Duration) -> Option<ServerKey> {
        let key = self.unlisted.remove(&endpoint.id)?;
        let kept = self.servers.get_mut(key)?;
        if kept.endpoint.start_ms != endpoint.start_ms {
            self.servers.remove(key);
            return None;
        }
        kept.is_listed = true;
        kept.update(endpoint.clone(), now);
        self.keys.insert(endpoint.id.clone(), key);
        Some(key)
    }

    /// Forgets endpoints without an entry of which nothing counts any more.
    pub(super) fn forget_unlisted(&mut self, now: Duration) {
        let servers = &mut self.servers;
        self.unlisted.retain(|_, key| {
            let Some(server) = servers.get(*key) else {
                return false;
            };
            let counts = server.local_load > 0 || server.pause.left(now).is_some();
            if !counts {
                servers.remove(*key);
            }
            counts
        });
    }
}

/// Keys of endpoints without an entry, by id.
pub(super) type Unlisted = BTreeMap<String, ServerKey>;
