//! What the store keeps of where streams began, for instances that start when all others have ended.
//!
//! While a service has several software versions, the lease holder writes the new streams to rows of
//! their own, and drops a row once its streams are past their retention. One more row names the holder
//! that does so: only after that one may an instance take the sole version that it knows for the one
//! that began a stream.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::{OriginNotice, Scope, VersionNotice};
use crate::gateway::lease::LeaseRow;
use crate::gateway::renewal::LEASE_KEY;
use crate::gateway::shared::Gateway;
use crate::table::{Commit, Read, Row, TableError, Txn, Write};

/// Start of the keys.
const PREFIX: &str = "origins/";
/// Key of the row that names the holder that keeps the others.
const KEEPER_KEY: &str = "origins/keeper";
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two reads of an instance that has not learnt the history.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time that a link to the lease holder has to bring the history.
const LINK_HEAD_START: Duration = Duration::from_millis(250);
/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most streams of a row; as text they stay below the smallest row size of a store.
const STREAMS_PER_ROW: usize = 2_000;
/// Most rows of a transaction; they stay below its size limit.
const MAX_WRITES: usize = 20;

/// Streams that a software version began, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredVersion {
    service: String,
    software: String,
    /// Digests of the attempts that brought the first events.
    #[serde(default)]
    streams: Vec<u32>,
}

/// The holder that keeps the rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Keeper {
    holder: String,
}

/// Rows that stand for a notice, by the text of each.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::stream_origins::{OriginNotice, VersionNotice, from_rows, to_rows};
///
/// let version = VersionNotice { service: "writers".into(), streams: vec![7], ..VersionNotice::default() };
/// let notice = OriginNotice { versions: vec![version] };
/// let rows = to_rows(&notice);
/// assert_eq!(from_rows(rows.iter().map(String::as_str)), notice);
/// ```
#[must_use]
pub fn to_rows(notice: &OriginNotice) -> Vec<String> {
    let mut rows = Vec::new();
    let mut row: Vec<StoredVersion> = Vec::new();
    let mut count = 0;
    for version in &notice.versions {
        let stored = |streams: &[u32]| StoredVersion {
            service: version.service.clone(),
            software: version.software.clone(),
            streams: streams.to_vec(),
        };
        if version.streams.is_empty() {
            row.push(stored(&[]));
        }
        for part in version.streams.chunks(STREAMS_PER_ROW) {
            if count + part.len() > STREAMS_PER_ROW {
                rows.extend(serde_json::to_string(&std::mem::take(&mut row)));
                count = 0;
            }
            count += part.len();
            row.push(stored(part));
        }
    }
    if !row.is_empty() {
        rows.extend(serde_json::to_string(&row));
    }
    rows
}

/// The notice that rows stand for; a row that cannot be read counts as empty.
#[must_use]
pub fn from_rows<'a>(rows: impl Iterator<Item = &'a str>) -> OriginNotice {
    let mut streams: BTreeMap<(String, String), Vec<u32>> = BTreeMap::new();
    for text in rows {
        match serde_json::from_str::<Vec<StoredVersion>>(text) {
            Ok(stored) => {
                for version in stored {
                    let key = (version.service, version.software);
                    streams.entry(key).or_default().extend(version.streams);
                }
            }
            Err(error) => {
                log::error!(error:% = error; "cannot decode stored origins of streams; row skipped");
            }
        }
    }
    let versions = streams
        .into_iter()
        .map(|((service, software), streams)| VersionNotice {
            service,
            software,
            age_ms: 0,
            streams,
        });
    OriginNotice {
        versions: versions.collect(),
    }
}

/// What an instance has read.
struct History {
    notice: OriginNotice,
    /// Keys of the rows with streams.
    keys: Vec<String>,
    /// Whether the last holder kept the rows.
    complete: bool,
}

async fn call<T>(answer: impl Future<Output = Result<T, TableError>>) -> Result<T, TableError> {
    let late = |_| TableError::Unknown(String::from("timeout"));
    timeout(STORE_TIMEOUT, answer).await.map_err(late)?
}

async fn read(gateway: &Gateway) -> Result<History, TableError> {
    let table = &gateway.platform.table;
    let rows = call(table.read(Read::Prefix(PREFIX.to_owned()))).await?;
    let lease = call(table.read(Read::Keys(vec![LEASE_KEY.to_owned()]))).await?;
    gateway.stats.record_store_call("origins-read", false);
    let is_keeper = |row: &&Row| row.key == KEEPER_KEY;
    let keeper = rows.iter().find(is_keeper);
    let keeper = keeper.and_then(|row| serde_json::from_str::<Keeper>(&row.value).ok());
    let holder = lease.first();
    let holder = holder.and_then(|row| serde_json::from_str::<LeaseRow>(&row.value).ok());
    let streams = rows.iter().filter(|row| !is_keeper(row));
    Ok(History {
        notice: from_rows(streams.clone().map(|row| row.value.as_str())),
        keys: streams.map(|row| row.key.clone()).collect(),
        complete: keeper.is_some_and(|k| holder.is_some_and(|h| h.holder == k.holder)),
    })
}

/// Learns the history at the start of an instance, unless a link brings it, and keeps it while this
/// instance holds the lease, until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    sleep(LINK_HEAD_START).await;
    loop {
        if gateway.holds_lease() {
            Keeping::default().run(&gateway).await;
        } else if !gateway.stream_origins().is_complete(gateway.now()) {
            match read(&gateway).await {
                Ok(history) => adopt(&gateway, &history),
                Err(error) => read_failed(&gateway, &error),
            }
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Writes rows; returns whether they surely are there.
async fn write(gateway: &Gateway, rows: &[Write]) -> bool {
    let txn = Txn {
        checks: Vec::new(),
        writes: rows.to_vec(),
    };
    let answer = call(gateway.platform.table.commit(txn)).await;
    let is_done = matches!(answer, Ok(Commit::Done(_)));
    gateway.stats.record_store_call("origins-write", !is_done);
    if !is_done {
        log::debug!(answer:? = answer; "where streams began was not stored; trying again");
    }
    is_done
}

fn read_failed(gateway: &Gateway, error: &TableError) {
    gateway.stats.record_store_call("origins-read", true);
    log::debug!(error:% = error; "cannot read where streams began");
}

fn adopt(gateway: &Gateway, history: &History) {
    let now = gateway.now();
    let mut origins = gateway.stream_origins();
    origins.apply(&history.notice, now);
    if history.complete {
        origins.complete();
    }
    drop(origins);
    log::info!(rows = history.keys.len(), versions = history.notice.versions.len(),
        complete = history.complete; "read from the store where streams began");
    gateway.origins_told.notify_waiters();
}

/// State of the lease holder that keeps the rows.
#[derive(Default)]
struct Keeping {
    /// Keys of the rows, and when their streams are past their retention.
    rows: BTreeMap<String, Duration>,
    /// Number of the last record that was written.
    written: u64,
    /// Versions that were written.
    versions: BTreeSet<(String, String)>,
    /// Whether the row that names this holder is written.
    is_named: bool,
    /// Random number in the keys of this term, and the number of the last row.
    term: u64,
    last_row: u64,
}

impl Keeping {
    /// Keeps the rows until the lease is lost, or the store has come back from an older copy.
    async fn run(mut self, gateway: &Gateway) {
        let history = loop {
            match read(gateway).await {
                Ok(history) => break history,
                Err(error) => read_failed(gateway, &error),
            }
            sleep(READ_INTERVAL).await;
            if !gateway.holds_lease() {
                return;
            }
        };
        let is_complete = gateway.stream_origins().is_complete(gateway.now());
        if !is_complete {
            adopt(gateway, &history);
        }
        let expiry = gateway.now() + gateway.stream_origins().retention();
        self.rows = history.keys.into_iter().map(|key| (key, expiry)).collect();
        self.term = rand::random();
        let era = gateway.platform.table.era();
        while gateway.holds_lease() && gateway.platform.table.era() == era {
            self.step(gateway).await;
            sleep(WRITE_INTERVAL).await;
        }
    }

    async fn step(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        let (notice, last, retention, is_complete) = {
            let origins = gateway.stream_origins();
            (
                origins.new_notice(self.written, Scope::All, now),
                origins.last_number(),
                origins.retention(),
                origins.is_complete(now),
            )
        };
        let notice = notice.unwrap_or_default();
        let versions = notice.versions.iter();
        let versions: BTreeSet<_> = versions
            .map(|v| (v.service.clone(), v.software.clone()))
            .collect();
        let is_new = notice.has_streams() || !versions.is_subset(&self.versions);
        let texts = if is_new { to_rows(&notice) } else { Vec::new() };
        let mut written = Vec::new();
        let mut writes = Vec::new();
        for text in texts {
            self.last_row += 1;
            let key = format!("{PREFIX}{:016x}-{:08}", self.term, self.last_row);
            written.push(key.clone());
            writes.push(Write {
                key,
                value: Some(text),
            });
        }
        let expired = self.rows.iter().filter(|(_, at)| **at <= now);
        let expired: Vec<String> = expired
            .map(|(key, _)| key.clone())
            .take(MAX_WRITES)
            .collect();
        writes.extend(expired.iter().map(|key| Write {
            key: key.clone(),
            value: None,
        }));
        let names_keeper = is_complete && !self.is_named;
        if names_keeper {
            let holder = gateway.settings.name.clone();
            let value = serde_json::to_string(&Keeper { holder }).ok();
            writes.push(Write {
                key: KEEPER_KEY.to_owned(),
                value,
            });
        }
        if writes.is_empty() {
            return;
        }
        let mut is_done = true;
        for part in writes.chunks(MAX_WRITES) {
            is_done &= write(gateway, part).await;
        }
        // Rows of a write without an answer may be there.
        let expiry = now + retention;
        self.rows
            .extend(written.into_iter().map(|key| (key, expiry)));
        if !is_done {
            return;
        }
        self.rows.retain(|key, _| !expired.contains(key));
        self.is_named |= names_keeper;
        if is_new {
            self.written = last;
            self.versions = versions;
        }
    }
}
