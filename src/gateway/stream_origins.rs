//! Software versions at which streams began, so that each goes on only at its own version.
//!
//! Two versions of a service write streams that do not fit together, and a caller may resume a stream
//! at any instance. While endpoints of several versions serve, instances tell each other through the
//! lease holder where their streams began; while one version serves, it began them all.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::link::millis;

pub mod history;
mod message;

pub use history::{from_rows, to_rows};
pub use message::{OriginNotice, VersionNotice};

slotmap::new_key_type! {
    /// Key of a software version of a service.
    pub struct VersionKey;
}

/// Most streams that are remembered; the oldest give way.
const MAX_STREAMS: usize = 100_000;
/// Retention until [`StreamOrigins::set_retention`] is called.
const DEFAULT_RETENTION: Duration = Duration::from_mins(1);
/// Interval between two removals of what is past its retention.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Digest of the id of the attempt that brought a stream's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(u32);

impl StreamKey {
    /// Digest of an attempt's id.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::stream_origins::StreamKey;
    ///
    /// assert_ne!(StreamKey::new("9c41d07b"), StreamKey::new("9c41d07c"));
    /// ```
    #[must_use]
    pub fn new(attempt: &str) -> Self {
        let mut first = [0; 4];
        first.copy_from_slice(&blake3::hash(attempt.as_bytes()).as_bytes()[..4]);
        Self(u32::from_le_bytes(first))
    }
}

/// What is known of the software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This version began it.
    Version(String),
    /// No endpoint of the service has been known of late.
    NoVersion,
    /// One of several versions began it, or one from before the start; which one is not known.
    Unknown,
}

#[derive(Debug)]
struct Version {
    service: String,
    software: String,
    /// When an endpoint of this version was last known.
    seen_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    version: VersionKey,
    begun_at: Duration,
    /// Number of the record; rises with each change that other instances do not know.
    number: u64,
    /// Whether it began at this instance.
    is_own: bool,
}

/// Which streams a notice to other instances names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those that began at this instance.
    Own,
    /// All that are known.
    All,
}

/// Software versions of services, and the streams that each of them began.
#[derive(Debug)]
pub struct StreamOrigins {
    retention: Duration,
    versions: SlotMap<VersionKey, Version>,
    streams: BTreeMap<StreamKey, Stream>,
    /// Streams by the number of their record.
    order: BTreeMap<u64, StreamKey>,
    last_number: u64,
    pruned_at: Duration,
    /// Whether versions of before the start are known, if there were any.
    is_complete: bool,
    /// When an endpoint was first known.
    began_at: Option<Duration>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            retention: DEFAULT_RETENTION,
            versions: SlotMap::default(),
            streams: BTreeMap::new(),
            order: BTreeMap::new(),
            last_number: 0,
            pruned_at: Duration::ZERO,
            is_complete: true,
            began_at: None,
        }
    }
}

impl StreamOrigins {
    /// No records of an instance that starts and does not know what was before.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            is_complete: false,
            ..Self::default()
        }
    }

    /// Records that what was before the start is known.
    pub const fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Whether all versions that may have begun a stream are known: reported by others, or observed for as long
    /// as a stream can be resumed.
    #[must_use]
    pub fn is_complete(&self, now: Duration) -> bool {
        let seen = self.began_at.is_some_and(|at| now > at + self.retention);
        self.is_complete || seen
    }

    /// Longest time from the beginning of a stream to its last resumption.
    #[must_use]
    pub const fn retention(&self) -> Duration {
        self.retention
    }

    /// Sets the longest time from the beginning of a stream to its last resumption.
    pub const fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Records that an endpoint of a version is known now.
    pub fn observe(&mut self, service: &str, software: &str, now: Duration) {
        self.began_at.get_or_insert(now);
        self.observe_at(service, software, now, now);
    }

    fn observe_at(
        &mut self,
        service: &str,
        software: &str,
        seen_at: Duration,
        now: Duration,
    ) -> VersionKey {
        let known = self
            .versions
            .iter_mut()
            .find(|(_, v)| v.service == service && v.software == software);
        if let Some((key, version)) = known {
            version.seen_at = version.seen_at.max(seen_at);
            return key;
        }
        let was_mixed = self.is_mixed(service, now);
        let key = self.versions.insert(Version {
            service: service.to_owned(),
            software: software.to_owned(),
            seen_at,
        });
        if !was_mixed && self.is_mixed(service, now) {
            self.renumber(service);
        }
        key
    }

    /// Records where a stream began.
    ///
    /// `attempt` is the id of the attempt that brought its first event.
    pub fn record(&mut self, attempt: &str, service: &str, software: &str, now: Duration) {
        self.prune(now);
        let version = self.observe_at(service, software, now, now);
        self.insert(StreamKey::new(attempt), version, true, now);
    }

    /// Where a stream began; `attempt` is the id of the attempt that brought its first event.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::stream_origins::{Origin, StreamOrigins};
    ///
    /// let (mut origins, now) = (StreamOrigins::default(), Duration::from_secs(9));
    /// origins.observe("writers", "v1", now);
    /// assert_eq!(origins.origin("a", "writers", now), Origin::Version("v1".into()));
    /// origins.observe("writers", "v2", now);
    /// assert_eq!(origins.origin("a", "writers", now), Origin::Unknown);
    /// origins.record("a", "writers", "v2", now);
    /// assert_eq!(origins.origin("a", "writers", now), Origin::Version("v2".into()));
    /// ```
    #[must_use]
    pub fn origin(&self, attempt: &str, service: &str, now: Duration) -> Origin {
        let recorded = self.streams.get(&StreamKey::new(attempt));
        let version = recorded.and_then(|s| self.versions.get(s.version));
        if let Some(version) = version.filter(|v| v.service == service) {
            return Origin::Version(version.software.clone());
        }
        let mut recent = self.recent(service, now);
        match (recent.next(), recent.next()) {
            (None, _) => Origin::NoVersion,
            (Some(sole), None) if self.is_complete(now) => Origin::Version(sole.software.clone()),
            (Some(_), _) => Origin::Unknown,
        }
    }

    /// Whether it is recorded where a stream began, so that it does not follow from the versions alone.
    #[must_use]
    pub fn is_recorded(&self, attempt: &str, service: &str) -> bool {
        let recorded = self.streams.get(&StreamKey::new(attempt));
        let version = recorded.and_then(|s| self.versions.get(s.version));
        version.is_some_and(|v| v.service == service)
    }

    /// Number of the newest record; the next notice tells what came after it.
    #[must_use]
    pub const fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Notice for another instance, which knows the records up to a number.
    ///
    /// None while each service has a single version.
    #[must_use]
    pub fn new_notice(&self, after: u64, scope: Scope, now: Duration) -> Option<OriginNotice> {
        let mut streams: BTreeMap<VersionKey, Vec<u32>> = BTreeMap::new();
        for key in self.order.range(after + 1..).map(|(_, key)| key) {
            let told = |s: &&Stream| s.is_own || scope == Scope::All;
            if let Some(stream) = self.streams.get(key).filter(told) {
                streams.entry(stream.version).or_default().push(key.0);
            }
        }
        let mixed = self
            .versions
            .iter()
            .filter(|(_, v)| self.is_recent(v, now) && self.is_mixed(&v.service, now));
        let versions = mixed.map(|(key, version)| VersionNotice {
            service: version.service.clone(),
            software: version.software.clone(),
            age_ms: millis(now.saturating_sub(version.seen_at)),
            streams: streams.remove(&key).unwrap_or_default(),
        });
        let versions: Vec<VersionNotice> = versions.collect();
        (!versions.is_empty()).then_some(OriginNotice { versions })
    }

    /// Takes over what another instance tells.
    pub fn apply(&mut self, notice: &OriginNotice, now: Duration) {
        self.prune(now);
        for told in &notice.versions {
            let seen_at = now.saturating_sub(Duration::from_millis(told.age_ms.into()));
            let version = self.observe_at(&told.service, &told.software, seen_at, now);
            for key in &told.streams {
                self.insert(StreamKey(*key), version, false, now);
            }
        }
    }

    /// Forgets streams and versions that are past their retention.
    fn prune(&mut self, now: Duration) {
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let retention = self.retention;
        self.versions.retain(|_, v| now <= v.seen_at + retention);
        let versions = &self.versions;
        self.streams
            .retain(|_, s| now <= s.begun_at + retention && versions.contains_key(s.version));
        let streams = &self.streams;
        self.order.retain(|_, key| streams.contains_key(key));
    }

    fn insert(&mut self, key: StreamKey, version: VersionKey, is_own: bool, now: Duration) {
        let known = self.streams.get(&key);
        if known.is_some_and(|s| s.version == version) {
            return;
        }
        if let Some(before) = known {
            self.order.remove(&before.number);
        }
        while self.order.len() >= MAX_STREAMS {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.streams.remove(&oldest);
            }
        }
        self.last_number += 1;
        let stream = Stream {
            version,
            begun_at: now,
            number: self.last_number,
            is_own,
        };
        self.streams.insert(key, stream);
        self.order.insert(self.last_number, key);
    }

    /// Gives the streams of a service new numbers, as no other instance knows of them.
    fn renumber(&mut self, service: &str) {
        let versions = &self.versions;
        let is_due = |s: &Stream| {
            versions
                .get(s.version)
                .is_some_and(|v| v.service == service)
        };
        for (key, stream) in self.streams.iter_mut().filter(|(_, s)| is_due(s)) {
            self.order.remove(&stream.number);
            self.last_number += 1;
            stream.number = self.last_number;
            self.order.insert(stream.number, *key);
        }
    }

    fn recent(&self, service: &str, now: Duration) -> impl Iterator<Item = &Version> {
        let is_recent = move |v: &&Version| v.service == service && self.is_recent(v, now);
        self.versions.values().filter(is_recent)
    }

    fn is_recent(&self, version: &Version, now: Duration) -> bool {
        now <= version.seen_at + self.retention
    }

    /// Whether a service has several versions, or had until lately.
    #[must_use]
    pub fn is_mixed(&self, service: &str, now: Duration) -> bool {
        self.recent(service, now).nth(1).is_some()
    }
}
