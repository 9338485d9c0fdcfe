//! Endpoints that said in an answer that they leave.
//!
//! The server list may say so later, or never, and may list such an endpoint as ready once more. Only
//! another incarnation takes requests again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CopiedMark;

/// Time for which a mark is reported to other instances: many report and update intervals.
const SHARE_TIME: Duration = Duration::from_secs(3);
/// Age at which a mark is dropped; endpoints leave within seconds.
const MARK_TTL: Duration = Duration::from_mins(10);

/// An incarnation of an endpoint that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingMark {
    /// Id of the endpoint.
    pub id: String,
    /// Start of the incarnation, in Unix milliseconds.
    pub started_ms: u64,
}

/// Endpoints known to leave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingMarks {
    /// Start of the incarnation and time of the mark, by id.
    marks: BTreeMap<String, (u64, Duration)>,
}

impl LeavingMarks {
    /// Adds a mark; returns whether it is new.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::servers::LeavingMarks;
    ///
    /// let mut marks = LeavingMarks::default();
    /// assert!(marks.add("e", 5, Duration::ZERO));
    /// assert!(marks.contains("e", 5) && !marks.contains("e", 6));
    /// assert!(!marks.add("e", 4, Duration::ZERO));
    /// ```
    pub fn add(&mut self, id: &str, started_ms: u64, now: Duration) -> bool {
        if self
            .marks
            .get(id)
            .is_some_and(|(known, _)| *known >= started_ms)
        {
            return false;
        }
        self.marks.retain(|_, (_, at)| now < *at + MARK_TTL);
        self.marks.insert(id.to_owned(), (started_ms, now));
        true
    }

    /// Whether an incarnation is known to leave.
    #[must_use]
    pub fn contains(&self, id: &str, started_ms: u64) -> bool {
        self.marks
            .get(id)
            .is_some_and(|(known, _)| *known == started_ms)
    }

    /// Marks that other instances may not know yet.
    #[must_use]
    pub fn recent(&self, now: Duration) -> Vec<LeavingMark> {
        let recent = self
            .marks
            .iter()
            .filter(|(_, (_, at))| now < *at + SHARE_TIME);
        let mark = |(id, (started_ms, _)): (&String, &(u64, Duration))| LeavingMark {
            id: id.clone(),
            started_ms: *started_ms,
        };
        recent.map(mark).collect()
    }
    /// All marks that have not lapsed, with their age.
    pub(super) fn all(&self, now: Duration) -> Vec<CopiedMark> {
        let marks = self.marks.iter().map(|(id, (started_ms, at))| CopiedMark {
            mark: LeavingMark {
                id: id.clone(),
                started_ms: *started_ms,
            },
            age: now.saturating_sub(*at),
        });
        marks.filter(|m| m.age < MARK_TTL).collect()
    }
}
