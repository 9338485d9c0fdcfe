//! The lease holder and two instances without processes, and what they are asked.

use std::time::Duration;

use brassrack::gateway::crash_parts::{CrashParts, PartId, incarnation_id, part_ids};

/// Time after which a death counts.
pub(crate) const SETTLED: Duration = Duration::from_secs(1);

pub(crate) fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn parts(names: &[&str]) -> Vec<PartId> {
    let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
    part_ids(&names)
}

pub(crate) fn endpoint(number: u64) -> u64 {
    incarnation_id("i-1", number)
}

pub(crate) fn is_refused(known: &mut CrashParts, names: &[&str], now: Duration) -> bool {
    known.refusal(&parts(names), now).is_some()
}

/// The lease holder and two instances, which report to it and hear from it.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) holder: CrashParts,
    pub(crate) instances: [CrashParts; 2],
}

impl Fleet {
    /// One round of reports and of the notice that follows.
    pub(crate) fn exchange(&mut self, now: Duration) {
        for instance in &self.instances {
            self.holder.merge(&instance.report(false, now), now, now);
        }
        self.holder.judge(now);
        let notice = self.holder.notice(now);
        for instance in &mut self.instances {
            instance.apply_notice(&notice, now);
        }
    }

    /// Rounds as they happen on the links, from one time to another.
    pub(crate) fn run(&mut self, from: u64, to: u64) {
        for now in (from..=to).step_by(200) {
            self.exchange(at(now));
        }
    }
}
