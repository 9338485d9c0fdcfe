//! The holder's clock as other instances echo it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Lease, Successors};

/// Time without a report after which the next row leaves an instance out.
const REPORT_SILENCE: Duration = Duration::from_millis(1200);
/// Time from the claim in which other instances open their links, before a row names them.
const LINK_TIME: Duration = Duration::from_secs(1);

/// What a report of an instance says about the lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Echo {
    /// Reading of the holder's clock; zero before the instance has heard from the holder.
    pub reading: Duration,
    /// When the report was received.
    pub heard_at: Duration,
    /// Whether the instance looks for its name in the row before it takes over.
    pub reads_row: bool,
}

/// Newest echo of each instance that may take over after the term.
///
/// An echo shows that its instance knew the holder to be alive at that reading. One that has
/// fallen silent counts until a row is in force that leaves it out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Echoes {
    instances: BTreeMap<String, Echo>,
    /// Instances that the row being written leaves out.
    left_out: BTreeSet<String>,
    /// Whether the row in force names successors.
    names_successors: bool,
}

impl Echoes {
    /// Records the echo of an instance.
    pub fn record(&mut self, instance: &str, echo: Echo) {
        self.left_out.remove(instance);
        self.instances.insert(instance.to_owned(), echo);
    }

    /// Successors to name in the row that is written now; none in the first rows of a term.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::lease::{Echo, Echoes, Lease, LeaseRow, LeaseTiming};
    ///
    /// let row = LeaseRow {
    ///     holder: String::from("front-1"),
    ///     address: ([127, 0, 0, 1], 7).into(),
    ///     released: false,
    ///     era: 0,
    ///     successors: None,
    /// };
    /// let mut lease = Lease::new(row, LeaseTiming::default());
    /// lease.record_write(5, Duration::ZERO);
    /// let mut echoes = Echoes::default();
    /// let now = Duration::from_secs(10);
    /// echoes.record("front-2", Echo { heard_at: now, ..Echo::default() });
    /// let named = echoes.name_successors(&lease, now);
    /// assert!(named.is_some_and(|s| s.contains("front-2") && !s.contains("front-3")));
    /// ```
    pub fn name_successors(&mut self, lease: &Lease, now: Duration) -> Option<Successors> {
        self.left_out.clear();
        if lease.term().is_none() || now < lease.claimed_at() + LINK_TIME {
            return None;
        }
        // Earlier builds take over after the term whether they are named or not.
        let is_left_out = |e: &Echo| e.reads_row && now > e.heard_at + REPORT_SILENCE;
        let mut named = Vec::new();
        for (instance, echo) in &self.instances {
            if is_left_out(echo) {
                self.left_out.insert(instance.clone());
            } else {
                named.push(instance.as_str());
            }
        }
        Some(Successors::new(named))
    }

    /// Records that the row which names these successors is in force.
    ///
    /// Returns the instances that are no longer waited for.
    pub fn record_row(&mut self, successors: Option<&Successors>) -> BTreeSet<String> {
        self.names_successors = successors.is_some_and(|s| !s.is_empty());
        let left_out = std::mem::take(&mut self.left_out);
        self.instances.retain(|name, _| !left_out.contains(name));
        left_out
    }

    /// Records that it is unknown whether the row written last is in force.
    pub fn record_unknown_row(&mut self) {
        self.left_out.clear();
    }

    /// Extends the lease by the oldest echo.
    ///
    /// A renewal restarts the takeover wait of an instance without a link, so that its echo counts
    /// as if it were of that time.
    pub fn extend(&self, lease: &mut Lease) {
        if !self.names_successors {
            return;
        }
        let renewed = lease.renewed_at();
        let readings = self.instances.values().map(|e| e.reading.max(renewed));
        if let Some(oldest) = readings.min() {
            lease.extend(oldest);
        }
    }
}
