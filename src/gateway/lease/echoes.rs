//! The holder's clock as other instances echo it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Lease, NOTICE_TIME, Successors};

/// Time without a report after which the next row announces that an instance may be left out.
const NOTICE_SILENCE: Duration = Duration::from_millis(450);
/// Time without a report after which a row leaves an instance out, once that was announced.
const REPORT_SILENCE: Duration = Duration::from_millis(1200);

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
/// fallen silent counts until a row is in force that leaves it out. Rows announce this first, so that
/// an instance which has read a row knows for how long it counts at least, whatever is written after.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Echoes {
    instances: BTreeMap<String, Echo>,
    /// Instances that the row being written leaves out.
    left_out: BTreeSet<String>,
    /// Instances of which the row being written announces that they may be left out.
    announced: BTreeSet<String>,
    /// Instances that the first row which names any will name, if the row being written names none.
    heard: Option<Successors>,
    /// Silent instances, and when a row that announces them was known to be in force.
    notices: BTreeMap<String, Duration>,
    /// Whether the row in force names successors.
    names_successors: bool,
}

impl Echoes {
    /// Records the echo of an instance.
    pub fn record(&mut self, instance: &str, echo: Echo) {
        self.left_out.remove(instance);
        self.announced.remove(instance);
        self.notices.remove(instance);
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
    ///     heard: None,
    ///     expiring: None,
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
        self.announced.clear();
        self.heard = None;
        let names_nobody = lease.is_claim() || now < lease.claimed_at() + NOTICE_TIME;
        let mut named = Vec::new();
        for (instance, echo) in &self.instances {
            let is_announced = self
                .notices
                .get(instance)
                .is_some_and(|since| now >= *since + NOTICE_TIME);
            // Earlier builds take over after the term whether they are named or not.
            let silence = if echo.reads_row {
                now.saturating_sub(echo.heard_at)
            } else {
                Duration::ZERO
            };
            if is_announced && silence > REPORT_SILENCE && !names_nobody {
                self.left_out.insert(instance.clone());
                continue;
            }
            if silence > NOTICE_SILENCE {
                self.announced.insert(instance.clone());
            }
            named.push(instance.as_str());
        }
        let named = Successors::new(named);
        if names_nobody {
            self.heard = Some(named);
            return None;
        }
        Some(named)
    }

    /// Instances that the first row which names any will name, where the one that is written now names
    /// none.
    #[must_use]
    pub fn heard(&self) -> Option<Successors> {
        self.heard.clone()
    }

    /// Successors named last that a later row may leave out.
    #[must_use]
    pub fn expiring(&self) -> Successors {
        Successors::new(self.announced.iter().map(String::as_str))
    }

    /// Records that the row which names these successors is known to be in force from `now`.
    ///
    /// Returns the instances that are no longer waited for.
    pub fn record_row(
        &mut self,
        successors: Option<&Successors>,
        now: Duration,
    ) -> BTreeSet<String> {
        self.names_successors = successors.is_some_and(|s| !s.is_empty());
        let left_out = std::mem::take(&mut self.left_out);
        self.instances.retain(|name, _| !left_out.contains(name));
        self.notices.retain(|name, _| !left_out.contains(name));
        for name in std::mem::take(&mut self.announced) {
            self.notices.entry(name).or_insert(now);
        }
        left_out
    }

    /// Records that it is unknown whether the row written last is in force.
    pub fn record_unknown_row(&mut self) {
        self.left_out.clear();
        self.announced.clear();
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
