//! What an instance knows, what another one lacks of it, and how it is taken over.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use super::super::feed::observe_software;
use super::super::link::{apply_origins, millis};
use super::super::shared::Gateway;
use super::super::stream_origins::Scope;
use super::message::{EndpointEntry, Knowledge, KnownVersions, LeavingEntry};

/// Age of the own reading of the list, in drain deadlines, from which a newer copy is wanted: more
/// than the longest interval between two reads.
const STALE_LIST_FACTOR: u32 = 4;
/// Most endpoints of one frame.
const ENDPOINTS_PER_FRAME: usize = 100;

/// State of the exchange, and of the server list as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExchangeState {
    /// Revision of the server list; 0 until it is known.
    pub list_version: u64,
    /// Whether the list was last taken from another instance.
    pub list_copied: bool,
    /// Until when an answer to the last question to another instance is waited for.
    pub asked_until: Duration,
}

impl Gateway {
    /// State of the exchange with other instances.
    pub fn exchange_state(&self) -> MutexGuard<'_, ExchangeState> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance lacks what it needs to serve.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.active_config.borrow().is_none() || !*self.servers_listed.borrow()
    }
}

/// Versions of what this instance knows.
#[must_use]
pub fn known_versions(gateway: &Gateway) -> KnownVersions {
    let state = *gateway.exchange_state();
    let age = gateway.now().saturating_sub(*gateway.list_read_at.borrow());
    let is_stale = age > gateway.settings.drain_deadline * STALE_LIST_FACTOR;
    KnownVersions {
        config_version: gateway.catalog().map_or(0, |c| c.version),
        list_version: state.list_version,
        wants_list: state.list_version == 0 || state.list_copied || is_stale,
        beliefs: beliefs(gateway),
        stopping: *gateway.stopping.borrow(),
        config_only: false,
    }
}

/// Whether an instance lacks something that another one knows.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::exchange::{KnownVersions, lacks};
///
/// let blank = KnownVersions { wants_list: true, ..KnownVersions::default() };
/// let knows = KnownVersions { config_version: 3, list_version: 9, ..blank };
/// assert!(lacks(&blank, &knows) && !lacks(&knows, &blank));
/// ```
#[must_use]
pub fn lacks(own: &KnownVersions, other: &KnownVersions) -> bool {
    lacks_config(own, other)
        || lacks_list(own, other)
        || (other.beliefs != 0 && other.beliefs != own.beliefs)
}

/// Whether an instance that stays has all of another one's configuration and list.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::exchange::{KnownVersions, keeps};
///
/// let own = KnownVersions { config_version: 3, stopping: true, ..KnownVersions::default() };
/// assert!(!keeps(&own, &own), "it stops itself");
/// assert!(keeps(&KnownVersions { stopping: false, ..own }, &own));
/// ```
#[must_use]
pub fn keeps(peer: &KnownVersions, own: &KnownVersions) -> bool {
    !peer.stopping && !lacks_config(peer, own) && !lacks_list(peer, own)
}

fn lacks_config(own: &KnownVersions, other: &KnownVersions) -> bool {
    other.config_version > own.config_version
}

/// A list of an instance that stops is wanted in any case: nobody else may have it.
fn lacks_list(own: &KnownVersions, other: &KnownVersions) -> bool {
    (own.wants_list || other.stopping) && other.list_version > own.list_version
}

/// What this instance knows beyond `other`, in frames; at least one.
#[must_use]
pub fn newer_than(gateway: &Gateway, other: &KnownVersions) -> Vec<Knowledge> {
    let now = gateway.now();
    let mut frames = Vec::new();
    let own = known_versions(gateway);
    if lacks_config(other, &own) {
        let active = gateway.active_config.borrow();
        frames.push(Knowledge {
            config: active
                .as_ref()
                .map(|f| String::from_utf8_lossy(&f.text).into_owned())
                .unwrap_or_default(),
            ..Knowledge::default()
        });
    }
    let mut last = Knowledge::default();
    if own.beliefs != other.beliefs {
        let marks = gateway.servers.copy_marks(now);
        last.leaving = marks.into_iter().map(LeavingEntry::from).collect();
        last.refused = refused(gateway, now);
        last.blamed = gateway.crash_parts().blamed_parts(now);
    }
    last.origins = gateway.stream_origins().new_notice(0, Scope::All, now);
    let list_version = {
        // Held so that the list is of this version.
        let state = gateway.exchange_state();
        let version = state.list_version;
        let own = KnownVersions {
            list_version: version,
            ..own
        };
        if lacks_list(other, &own) {
            let copied = gateway.servers.copy(now);
            let entries: Vec<_> = copied.iter().map(EndpointEntry::from_copy).collect();
            last.has_list = true;
            last.list_age_ms = millis(now.saturating_sub(*gateway.list_read_at.borrow()));
            for part in entries.chunks(ENDPOINTS_PER_FRAME) {
                frames.push(Knowledge {
                    endpoints: part.to_vec(),
                    ..Knowledge::default()
                });
            }
        }
        version
    };
    frames.push(last);
    let count = frames.len();
    for (at, frame) in frames.iter_mut().enumerate() {
        frame.more = at + 1 < count;
        frame.known = Some(KnownVersions {
            list_version,
            ..own
        });
    }
    frames
}

/// Joins the frames of one message.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::exchange::{Knowledge, join};
///
/// let config = Knowledge { config: "c".into(), more: true, ..Knowledge::default() };
/// let list = Knowledge { has_list: true, ..Knowledge::default() };
/// let whole = join(vec![config, list]);
/// assert!(whole.has_list && whole.config == "c");
/// ```
#[must_use]
pub fn join(frames: Vec<Knowledge>) -> Knowledge {
    let mut whole = Knowledge::default();
    for frame in frames {
        whole.known = frame.known;
        whole.asks |= frame.asks;
        if !frame.config.is_empty() {
            whole.config = frame.config;
        }
        if frame.has_list {
            whole.has_list = true;
            whole.list_age_ms = frame.list_age_ms;
        }
        whole.endpoints.extend(frame.endpoints);
        whole.leaving.extend(frame.leaving);
        whole.refused.extend(frame.refused);
        whole.blamed.extend(frame.blamed);
        whole.origins = whole.origins.or(frame.origins);
    }
    whole
}

/// Takes over what another instance knows, where it is newer.
pub fn apply(gateway: &Gateway, knowledge: &Knowledge) {
    let now = gateway.now();
    if !knowledge.config.is_empty() {
        gateway.activate_config(&knowledge.config, "link");
    }
    gateway.crash_parts().merge_blamed(&knowledge.blamed, now);
    let is_blamed = |id: &&u64| knowledge.blamed.iter().any(|b| b.part == **id);
    let counted = knowledge.refused.iter().filter(|id| !is_blamed(id));
    let counted: Vec<u64> = counted.copied().collect();
    gateway.crash_suspects().merge_refused(&counted, now);
    apply_origins(gateway, knowledge.origins.as_ref());
    for entry in &knowledge.leaving {
        let found_at = now.saturating_sub(Duration::from_millis(entry.age_ms.into()));
        let servers = &gateway.servers;
        servers.mark_leaving(&entry.id, entry.started_ms, "link", found_at);
    }
    if knowledge.has_list {
        let version = knowledge.known.map_or(0, |k| k.list_version);
        apply_list(gateway, knowledge, version, now);
    }
}

fn apply_list(gateway: &Gateway, knowledge: &Knowledge, version: u64, now: Duration) {
    let age = Duration::from_millis(knowledge.list_age_ms.into());
    let mut state = gateway.exchange_state();
    if version <= state.list_version {
        return;
    }
    let entries = knowledge.endpoints.iter();
    let copied: Vec<_> = entries.filter_map(EndpointEntry::to_copy).collect();
    observe_software(gateway);
    gateway.servers.apply_copy(&copied, now);
    observe_software(gateway);
    log::info!(version = version, before = state.list_version, endpoints = copied.len(),
        age_ms = millis(age); "server list taken from another instance");
    state.list_version = version;
    state.list_copied = true;
    drop(state);
    let read_at = now.saturating_sub(age);
    gateway
        .list_read_at
        .send_modify(|at| *at = read_at.max(*at));
    gateway
        .servers_listed
        .send_if_modified(|l| !std::mem::replace(l, true));
}

/// Requests that are refused here, by the verdict of this build or that of an earlier one.
fn refused(gateway: &Gateway, now: Duration) -> Vec<u64> {
    let mut refused = gateway.crash_suspects().refused(now);
    refused.extend(gateway.crash_parts().blamed_ids(now));
    refused
}

/// Digest of refused requests and of endpoints that leave; 0 without any.
fn beliefs(gateway: &Gateway) -> u64 {
    let marks = gateway.servers.copy_marks(gateway.now());
    let refused = refused(gateway, gateway.now());
    if marks.is_empty() && refused.is_empty() {
        return 0;
    }
    let mut hasher = blake3::Hasher::new();
    for print in refused {
        hasher.update(&print.to_le_bytes());
    }
    for marked in marks {
        hasher.update(marked.mark.id.as_bytes());
        hasher.update(&marked.mark.started_ms.to_le_bytes());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
