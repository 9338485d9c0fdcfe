//! Knowledge of the arrivals to come, for the clairvoyant schemes.

use std::time::Duration;

use super::arrivals::Workload;

/// Arrivals of each model in the order of time, those of adapters counted for the base, too.
#[derive(Debug, Clone)]
pub struct Future {
    arrivals: Vec<Vec<Duration>>,
}

impl Future {
    /// The arrivals of a workload.
    #[must_use]
    pub fn new(work: &Workload) -> Self {
        let mut arrivals = vec![Vec::new(); work.models.len()];
        for request in &work.requests {
            arrivals[request.model].push(request.at);
            if let Some(base) = work.models[request.model].base {
                arrivals[base].push(request.at);
            }
        }
        Self { arrivals }
    }

    /// The next arrival after a time.
    #[must_use]
    pub fn next(&self, model: usize, now: Duration) -> Option<Duration> {
        let times = &self.arrivals[model];
        times.get(times.partition_point(|t| *t <= now)).copied()
    }

    /// Number of requests that arrive within a time after the next one.
    #[must_use]
    pub fn waiters(&self, model: usize, now: Duration, load: Duration) -> u32 {
        let times = &self.arrivals[model];
        let first = times.partition_point(|t| *t <= now);
        let Some(next) = times.get(first) else {
            return 0;
        };
        let last = times.partition_point(|t| *t <= *next + load);
        u32::try_from(last - first).unwrap_or(u32::MAX)
    }
}
