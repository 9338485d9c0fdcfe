//! Loads ahead of need, and adapters.

use std::time::Duration;

use brassrack::policy::AbsentModel;

use super::cluster::Server;
use super::loads::Need;
use super::run::Replay;
use super::scheme::Keep;
use super::unit::State;

impl Replay<'_> {
    pub(super) fn ask_adapter(&mut self, model: usize) -> Option<Duration> {
        let base = self.base(model);
        let server = self.units[base].server;
        let bytes = self.units[model].spec.bytes;
        // The base is in use and so is none of the replicas that are evicted.
        self.units[base].running += 1;
        let room = self.make_room(server, bytes);
        self.units[base].running -= 1;
        if !room {
            return None;
        }
        self.servers[server].reserve(model, bytes);
        let unit = &mut self.units[model];
        unit.server = server;
        unit.life += 1;
        unit.state = State::Queued;
        self.grounded.push_back(model);
        self.launch();
        Some(self.now + self.units[model].spec.load)
    }

    /// Starts adapters' loads up to the number in flight at full speed.
    pub(super) fn launch(&mut self) {
        while self.flying < self.weights.adapters {
            let Some(model) = self.grounded.pop_front() else {
                return;
            };
            self.flying += 1;
            if self.now >= self.site.warmup {
                self.outcome.adapters += 1;
            }
            self.begin_load(model, self.now + self.units[model].spec.load);
        }
    }

    /// Loads models that the scheme wants before they are asked for.
    pub(super) fn load_ahead(&mut self) {
        let bases = 0..self.site.bases;
        let absent: Vec<usize> = bases
            .filter(|m| self.units[*m].state == State::Absent)
            .collect();
        let wanted = match self.scheme.keep {
            Keep::Policy { ahead: true, .. } => {
                let absent: Vec<AbsentModel> = absent
                    .iter()
                    .map(|m| AbsentModel {
                        model: self.units[*m].key,
                        load_time: self.reload(*m),
                    })
                    .collect();
                let keys = self.policy.choose_preloads(self.now, &absent);
                keys.iter().map(|k| self.index[k]).collect()
            }
            Keep::Always => absent,
            _ => return,
        };
        for model in wanted {
            let bytes = self.units[model].spec.bytes;
            if self.servers.iter().any(|s| s.live && s.free >= bytes) {
                self.load_free(model, bytes);
            }
        }
    }

    /// Loads a model where memory is free, evicting nothing.
    fn load_free(&mut self, model: usize, bytes: u64) {
        let roomy = |s: &&Server| s.live && s.free >= bytes;
        let best = self
            .servers
            .iter()
            .filter(roomy)
            .min_by_key(|s| (s.locality(model), s.free, s.key));
        if let Some(server) = best.map(|s| s.key)
            && let Some(i) = self.servers.iter().position(|s| s.key == server)
        {
            self.enqueue(model, i, Need::Ahead);
        }
    }
}
