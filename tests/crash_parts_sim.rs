//! Requests, endpoints that end, and reports on links in simulated time, under seeded cases.

use std::collections::BTreeMap;
use std::time::Duration;

use brassrack::gateway::crash_parts::{CrashParts, PartId, incarnation_id, part_ids};

/// Seeds of each sort of case.
const CASES: u64 = 20;
const STEP_MS: u64 = 10;
const END_MS: u64 = 40_000;
const BAD_FROM_MS: u64 = 5_000;
const INSTANCES: usize = 4;
const ENDPOINTS: usize = 12;
/// Time in which an endpoint that ended starts again.
const RESTART_MS: u64 = 4_000;
const REPORT_MS: u64 = 200;
/// Time after the fifth death from which the rule counts.
const STABLE_MS: u64 = 3_000;
/// Deaths under the part that the rule allows after that.
const MAX_LATER: usize = 3;

/// Seeded generator (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    fn chance(&mut self, permille: u64) -> bool {
        self.below(1000) < permille
    }
}

struct Running {
    request: u64,
    parts: Vec<PartId>,
    is_bad: bool,
    instance: usize,
    endpoint: usize,
    begins_at: u64,
    ends_at: u64,
    has_begun: bool,
    sends: u32,
}

#[derive(Default)]
struct Endpoint {
    start: u64,
    down_until: u64,
}

/// What happens in a case beside sound requests.
#[derive(Clone, Copy, Default)]
struct Troubles {
    /// Share of requests with the bad part, in thousandths.
    bad: u64,
    /// Share of sound requests whose middle part is used by few others, in thousandths.
    rare: u64,
    /// Times at which a third of all endpoints end together.
    waves: u64,
    /// Share of answers whose connection is closed though the endpoint lives, in thousandths.
    lost: u64,
    /// Whether the lease holder is replaced by a blank one now and then.
    new_holders: bool,
}

#[derive(Default, Debug)]
struct Outcome {
    bad_deaths: Vec<u64>,
    later: usize,
    sound: usize,
    refused: usize,
}

struct Case {
    random: Random,
    troubles: Troubles,
    holder: CrashParts,
    instances: Vec<CrashParts>,
    endpoints: Vec<Endpoint>,
    running: Vec<Running>,
    outcome: Outcome,
    last: u64,
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Case {
    fn new(seed: u64, troubles: Troubles) -> Self {
        Self {
            random: Random(seed),
            troubles,
            holder: CrashParts::default(),
            instances: (0..INSTANCES).map(|_| CrashParts::default()).collect(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            running: Vec::new(),
            outcome: Outcome::default(),
            last: 0,
        }
    }

    fn play(mut self) -> Outcome {
        let waves: Vec<u64> = (0..self.troubles.waves)
            .map(|_| self.random.below(END_MS / STEP_MS) * STEP_MS)
            .collect();
        for now in (0..END_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            if self.random.chance(600) {
                self.arrive(now);
            }
            if waves.contains(&now) {
                for endpoint in 0..ENDPOINTS {
                    if self.random.chance(333) {
                        self.end_endpoint(endpoint, now);
                    }
                }
            }
            self.advance(now);
            if now.is_multiple_of(REPORT_MS) {
                self.exchange(now);
            }
        }
        let counted = self
            .outcome
            .bad_deaths
            .get(4)
            .map_or(u64::MAX, |fifth| fifth + STABLE_MS);
        self.outcome.later = self
            .outcome
            .bad_deaths
            .iter()
            .filter(|at| **at > counted)
            .count();
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        let is_bad = now >= BAD_FROM_MS && self.random.chance(self.troubles.bad);
        let middle = if is_bad {
            "bad".to_owned()
        } else if self.random.chance(self.troubles.rare) {
            format!("rare{}", self.random.below(40))
        } else {
            format!("tool{}", self.random.below(5))
        };
        let parts = part_ids(&[format!("sys{}", self.random.below(2)), middle]);
        let instance = usize::try_from(self.random.below(INSTANCES as u64)).unwrap_or(0);
        self.last += 1;
        let (request, sends) = (self.last, 0);
        self.send(request, &parts, is_bad, instance, sends, now);
    }

    fn send(
        &mut self,
        request: u64,
        parts: &[PartId],
        is_bad: bool,
        instance: usize,
        sends: u32,
        now: u64,
    ) {
        self.outcome.sound += usize::from(!is_bad && sends == 0);
        let known = &mut self.instances[instance];
        if known.refusal(parts, at(now)).is_some() {
            self.outcome.refused += usize::from(!is_bad);
            return;
        }
        if sends > 0 && known.is_suspect(parts, at(now)) {
            return;
        }
        let up: Vec<usize> = (0..ENDPOINTS)
            .filter(|e| self.endpoints[*e].down_until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let endpoint = up[usize::try_from(self.random.below(up.len() as u64)).unwrap_or(0)];
        let begins_at = now + 30 + self.random.below(400);
        self.running.push(Running {
            request,
            parts: parts.to_vec(),
            is_bad,
            instance,
            endpoint,
            begins_at,
            ends_at: begins_at + 100 + self.random.below(1500),
            has_begun: false,
            sends: sends + 1,
        });
    }

    fn advance(&mut self, now: u64) {
        let due: Vec<usize> = (0..self.running.len())
            .filter(|n| !self.running[*n].has_begun && self.running[*n].begins_at <= now)
            .collect();
        let mut ended = Vec::new();
        let mut broken = Vec::new();
        for index in due {
            let running = &mut self.running[index];
            let id = incarnation_id(
                &running.endpoint.to_string(),
                self.endpoints[running.endpoint].start,
            );
            if running.is_bad {
                ended.push(running.endpoint);
            } else if self.random.chance(self.troubles.lost) {
                broken.push(running.request);
            } else {
                running.has_begun = true;
                self.instances[running.instance].record_begun(id, &running.parts, at(now));
            }
        }
        for endpoint in ended {
            if self.endpoints[endpoint].down_until <= now {
                self.outcome.bad_deaths.push(now);
                self.end_endpoint(endpoint, now);
            }
        }
        let lost = |r: &mut Running| broken.contains(&r.request);
        let lost: Vec<Running> = self.running.extract_if(.., lost).collect();
        self.break_off(lost, now);
        self.running.retain(|r| r.ends_at > now);
    }

    fn end_endpoint(&mut self, endpoint: usize, now: u64) {
        let on_it = |r: &mut Running| r.endpoint == endpoint;
        let broken: Vec<Running> = self.running.extract_if(.., on_it).collect();
        self.endpoints[endpoint].down_until = now + RESTART_MS;
        self.break_off(broken, now);
        self.endpoints[endpoint].start = now + RESTART_MS;
    }

    fn break_off(&mut self, broken: Vec<Running>, now: u64) {
        for r in &broken {
            let start = self.endpoints[r.endpoint].start;
            let id = incarnation_id(&r.endpoint.to_string(), start);
            if !r.has_begun {
                self.instances[r.instance].record_break(id, r.request, &r.parts, at(now));
            }
        }
        for r in broken.into_iter().filter(|r| r.sends < 2 && !r.has_begun) {
            self.send(r.request, &r.parts, r.is_bad, r.instance, r.sends, now);
        }
    }

    /// Reports to the holder and its notice; a tenth of each is lost.
    fn exchange(&mut self, now: u64) {
        if self.troubles.new_holders && now.is_multiple_of(6_000) {
            self.holder = CrashParts::default();
            for instance in &self.instances {
                self.holder
                    .merge(&instance.report(true, at(now)), at(now), at(now));
            }
        }
        for instance in &self.instances {
            if !self.random.chance(100) {
                self.holder
                    .merge(&instance.report(false, at(now)), at(now), at(now));
            }
        }
        self.holder.judge(at(now));
        let notice = self.holder.notice(at(now));
        for instance in &mut self.instances {
            if !self.random.chance(100) {
                instance.apply_notice(&notice, at(now));
            }
        }
    }
}

/// Plays the cases of one sort and prints what they sum up to.
fn play(name: &str, troubles: Troubles) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> = (0..CASES)
        .map(|n| Case::new(n + 1, troubles).play())
        .collect();
    let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let mut sums = BTreeMap::new();
    sums.insert("deaths under the part", sum(|o| o.bad_deaths.len()));
    sums.insert("later than allowed", sum(|o| o.later));
    sums.insert("sound requests", sum(|o| o.sound));
    sums.insert("sound requests refused", sum(|o| o.refused));
    sums.insert(
        "cases with one refused",
        sum(|o| usize::from(o.refused > 0)),
    );
    println!("{name}: {sums:?}");
    outcomes
}

/// Guards against BUDGET: a part crashes endpoint after endpoint beside waves, lost answers and
/// new lease holders.
#[test]
fn bad_part_is_contained() {
    let calm = Troubles {
        rare: 200,
        ..Troubles::default()
    };
    for bad in [5, 30, 100, 300] {
        for (waves, lost, new_holders) in [(0, 0, false), (3, 20, false), (3, 20, true)] {
            let troubles = Troubles {
                bad,
                waves,
                lost,
                new_holders,
                ..calm
            };
            let name = format!("bad {bad}/1000, waves {waves}, lost {lost}, new {new_holders}");
            for (seed, outcome) in (1..).zip(play(&name, troubles)) {
                assert!(
                    outcome.later <= MAX_LATER,
                    "{name}, seed {seed}: {outcome:?}"
                );
                assert!(
                    outcome.refused * 2 <= outcome.sound,
                    "{name}, seed {seed}: {outcome:?}"
                );
            }
        }
    }
}

/// Guards against LOST: deaths that no part causes make no sound request refused.
#[test]
fn ordinary_deaths_blame_nobody() {
    for (waves, lost) in [(6, 0), (0, 40), (6, 40)] {
        let troubles = Troubles {
            rare: 200,
            waves,
            lost,
            ..Troubles::default()
        };
        let name = format!("no bad part, waves {waves}, lost {lost}");
        for (seed, outcome) in (1..).zip(play(&name, troubles)) {
            assert_eq!(outcome.refused, 0, "{name}, seed {seed}: {outcome:?}");
        }
    }
}
