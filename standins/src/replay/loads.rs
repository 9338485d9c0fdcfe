//! Loads of the replay: placement, slots, readiness, unloading.

use std::time::Duration;

use brassrack::policy::load_queue::{PendingLoad, estimate_completion};
use brassrack::policy::server_selection::{Candidate, EvictionCandidate};
use brassrack::policy::{choose_server, sort_by_urgency};

use super::arrivals::Request;
use super::cluster::local;
use super::run::{Event, Replay};
use super::scheme::{Keep, Order, Place};
use super::unit::State;

/// Why a load is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    /// A request waits for it.
    Waited,
    /// A request is predicted.
    Ahead,
}

impl Replay<'_> {
    /// Asks for a replica and estimates when it is ready; none where no memory can be had.
    pub(super) fn ask(&mut self, model: usize) -> Option<Duration> {
        match self.units[model].state {
            State::Ready => return Some(self.now),
            State::Loading(end) => return Some(end),
            State::Queued => return Some(self.now + self.remote(model)),
            State::Absent => {}
        }
        if self.units[model].spec.base.is_some() {
            return self.ask_adapter(model);
        }
        let server = self.place(model)?;
        self.make_room(server, self.units[model].spec.bytes);
        self.enqueue(model, server, Need::Waited)
    }

    /// Joins a request to the load that it waits for.
    pub(super) fn urge(&mut self, model: usize, request: &Request) {
        let key = self.units[model].key;
        let Some(pending) = self.queue.iter_mut().find(|p| p.model == key) else {
            return;
        };
        pending.deadline = pending.deadline.min(request.due);
        pending.class = Some(
            pending
                .class
                .map_or(request.class, |c| c.min(request.class)),
        );
        self.dispatch();
    }

    fn place(&self, model: usize) -> Option<usize> {
        let bytes = self.units[model].spec.bytes;
        let remote = self.remote(model);
        let live = self.servers.iter().enumerate().filter(|(_, s)| s.live);
        let candidates: Vec<Candidate> = live
            .map(|(i, s)| {
                let locality = s.locality(model);
                Candidate {
                    server: s.key,
                    domain: s.domain,
                    free_bytes: s.free,
                    idle_bytes: self.idle_bytes(i, bytes),
                    locality,
                    cached_bytes: s.cached(),
                    ready_in: local(locality, bytes).unwrap_or(remote),
                }
            })
            .collect();
        let key = match self.scheme.place {
            Place::Policy => choose_server(&candidates, bytes, &[]),
            Place::MostFree => candidates
                .iter()
                .filter(|c| c.free_bytes + c.idle_bytes >= bytes)
                .max_by_key(|c| (c.free_bytes, c.idle_bytes))
                .map(|c| c.server),
        }?;
        self.servers.iter().position(|s| s.key == key)
    }

    /// Memory of the idle replicas of a server that lacks free memory.
    fn idle_bytes(&self, server: usize, need: u64) -> u64 {
        if self.servers[server].free >= need {
            return 0;
        }
        self.residents(server).iter().map(|r| r.bytes).sum()
    }

    /// Idle replicas of a server.
    fn residents(&self, server: usize) -> Vec<EvictionCandidate> {
        let idle = self.servers[server].models.iter().filter(|m| {
            let unit = &self.units[**m];
            unit.spec.base.is_none() && unit.state == State::Ready && unit.running == 0
        });
        idle.map(|m| EvictionCandidate {
            model: self.units[*m].key,
            bytes: self.resident_bytes(*m),
            requests: self.held_up(*m),
            load_time: self.reload(*m),
        })
        .filter(|r| r.requests == 0)
        .collect()
    }

    /// Requests that wait for adapters of a ready base model.
    fn held_up(&self, base: usize) -> u32 {
        let waiting = self.units[base]
            .adapters
            .iter()
            .map(|a| self.units[*a].waiting.len())
            .sum::<usize>();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn resident_bytes(&self, base: usize) -> u64 {
        let adapters = self.units[base]
            .adapters
            .iter()
            .filter(|a| self.units[**a].state != State::Absent)
            .map(|a| self.units[*a].spec.bytes);
        self.units[base].spec.bytes + adapters.sum::<u64>()
    }

    /// Evicts idle replicas until a server has room; false where it cannot.
    pub(super) fn make_room(&mut self, server: usize, bytes: u64) -> bool {
        let need = bytes.saturating_sub(self.servers[server].free);
        if need == 0 {
            return true;
        }
        let mut residents = self.residents(server);
        let chosen = if matches!(self.scheme.keep, Keep::Policy { .. }) {
            self.policy.choose_evictions(&residents, need, self.now)
        } else {
            residents.sort_by_key(|r| self.units[self.index[&r.model]].since);
            let mut freed = 0;
            let oldest = residents.iter().take_while(|r| {
                let more = freed < need;
                freed += r.bytes;
                more
            });
            Some(oldest.map(|r| r.model).collect())
        };
        for key in chosen.unwrap_or_default() {
            self.unload(self.index[&key]);
        }
        self.servers[server].free >= bytes
    }

    pub(super) fn enqueue(&mut self, model: usize, server: usize, need: Need) -> Option<Duration> {
        let bytes = self.units[model].spec.bytes;
        if self.servers[server].free < bytes {
            return None;
        }
        self.servers[server].reserve(model, bytes);
        let own = self.store.time(bytes);
        let waited_for = self.queue.iter().any(|p| p.class.is_some());
        let free = !waited_for && !self.full(false) && !self.store.is_slow(self.now);
        let unit = &mut self.units[model];
        unit.server = server;
        unit.life += 1;
        if let Some(time) = local(self.servers[server].locality(model), bytes) {
            unit.asked = None;
            self.begin_load(model, self.now + time);
            return Some(self.now + time);
        }
        unit.state = State::Queued;
        unit.asked = (need == Need::Waited && free).then_some((self.now, own));
        let pending = PendingLoad {
            model: unit.key,
            class: None,
            deadline: Duration::MAX,
            load_time: own,
            requested_at: self.now,
        };
        let ready = self.now + self.remote(model);
        self.queue.push(pending);
        self.at(self.now, Event::Dispatch);
        Some(ready)
    }

    pub(super) fn begin_load(&mut self, model: usize, end: Duration) {
        let unit = &mut self.units[model];
        unit.state = State::Loading(end);
        let life = unit.life;
        self.at(end, Event::Loaded { model, life });
    }

    /// Whether the weight store's slots are taken, but for one that loads ahead leave free.
    fn full(&self, ahead: bool) -> bool {
        let limit = self.weights.loads.saturating_sub(u32::from(ahead));
        self.slots.len() >= usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Starts as many queued loads as the weight store takes.
    pub(super) fn dispatch(&mut self) {
        match self.scheme.order {
            Order::Policy => sort_by_urgency(&mut self.queue, self.now),
            Order::Fifo => self.queue.sort_by_key(|p| p.requested_at),
        }
        while let Some(first) = self.queue.first().copied() {
            if self.full(first.class.is_none()) {
                return;
            }
            if self.store.next() > self.now {
                self.at(self.store.next(), Event::Dispatch);
                return;
            }
            self.queue.remove(0);
            let model = self.index[&first.model];
            let end = self.store.start(self.now, self.units[model].spec.bytes);
            self.slots.push((model, end));
            self.begin_load(model, end);
        }
    }

    /// Time until a load from the weight store ends that is asked for now.
    fn remote(&self, model: usize) -> Duration {
        let busy: Vec<Duration> = self
            .slots
            .iter()
            .map(|(_, end)| end.saturating_sub(self.now))
            .collect();
        let key = self.units[model].key;
        let ahead: Vec<Duration> = self
            .queue
            .iter()
            .filter(|p| p.model != key && p.class.is_some())
            .map(|p| p.load_time)
            .collect();
        let own = self.store.estimate(self.now, self.units[model].spec.bytes);
        estimate_completion(&busy, &ahead, self.weights.loads, own)
    }

    /// Time of a load from where the checkpoint is found now, without queues.
    pub(super) fn reload(&self, model: usize) -> Duration {
        let spec = self.units[model].spec;
        if spec.base.is_some() {
            return spec.load;
        }
        let best = self
            .servers
            .iter()
            .filter(|s| s.live)
            .map(|s| s.locality(model))
            .min();
        best.and_then(|l| local(l, spec.bytes))
            .unwrap_or_else(|| self.store.estimate(self.now, spec.bytes))
    }

    pub(super) fn loaded(&mut self, model: usize, life: u32) {
        if self.units[model].life != life {
            return;
        }
        if self.units[model].spec.base.is_some() {
            self.flying -= 1;
            self.launch();
        } else {
            self.slots.retain(|(m, _)| *m != model);
            self.note_load(model);
        }
        let unit = &mut self.units[model];
        unit.state = State::Ready;
        unit.turn += 1;
        unit.since = self.now;
        for request in std::mem::take(&mut unit.waiting) {
            self.serve(request);
        }
        if self.units[model].running == 0 {
            self.open_idle(model);
        }
        self.dispatch();
    }

    fn note_load(&mut self, model: usize) {
        let bytes = self.units[model].spec.bytes;
        let server = self.units[model].server;
        self.servers[server].cache(model, bytes);
        if self.now < self.site.warmup {
            return;
        }
        self.outcome.loads += 1;
        if let Some((asked, own)) = self.units[model].asked {
            let took = self.now.saturating_sub(asked).as_millis() * 1_000;
            let permille = took / own.as_millis().max(1);
            self.outcome
                .own
                .push(u32::try_from(permille).unwrap_or(u32::MAX));
        }
    }

    /// Takes a replica or a load away and gives the requests that waited for it.
    pub(super) fn unload(&mut self, model: usize) -> Vec<usize> {
        let mut orphans = Vec::new();
        for i in 0..self.units[model].adapters.len() {
            let adapter = self.units[model].adapters[i];
            orphans.extend(self.unload(adapter));
        }
        self.close_idle(model);
        let unit = &mut self.units[model];
        orphans.append(&mut unit.waiting);
        let loading = matches!(unit.state, State::Loading(_));
        if unit.state != State::Absent {
            self.servers[unit.server].release(model, unit.spec.bytes);
        }
        unit.state = State::Absent;
        unit.life += 1;
        unit.turn += 1;
        unit.running = 0;
        let key = unit.key;
        if unit.spec.base.is_some() {
            self.flying -= u32::from(loading);
            self.grounded.retain(|m| *m != model);
        }
        self.slots.retain(|(m, _)| *m != model);
        self.queue.retain(|p| p.model != key);
        orphans
    }

    /// Tries again for the batch requests that found no memory.
    pub(super) fn feed(&mut self) {
        for model in std::mem::take(&mut self.starved) {
            if self.units[model].waiting.is_empty() {
                continue;
            }
            if self.ask(model).is_none() {
                self.starved.push(model);
                continue;
            }
            let first = self.units[model].waiting[0];
            let request = self.work.requests[first];
            self.urge(model, &request);
        }
    }
}
