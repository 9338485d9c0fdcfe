//! Membership table: the known instances and the transitions of their states.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::instances::{Listed, OWN_SERVICE, Standing};

/// Most other members in the table.
const MAX_MEMBERS: usize = 4096;

/// State of a member; within one incarnation, the later state in this order wins.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Heard from recently, or not reported otherwise.
    Live,
    /// Suspected of having failed; it counts as live until it is dead.
    Suspect,
    /// Shutting down gracefully; it takes no new work.
    Leaving,
    /// Failed; only an update with a higher incarnation revives it.
    Dead,
}

impl MemberState {
    /// Returns the state to adopt when a peer reports `self` of a member in state `known`.
    ///
    /// A report of death only makes a member suspect, so that the member can refute it.
    const fn reported(self, known: Self) -> Self {
        match (self, known) {
            (Self::Dead, Self::Live | Self::Suspect) => Self::Suspect,
            _ => self,
        }
    }
}

/// An instance of the cluster, as known locally.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Number that grows with each start of the instance and each refutation of a suspicion.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
    /// Version of the rules in force at the instance; 0 for none.
    pub rules: u64,
}

impl Member {
    /// Returns whether this is newer than the other state of the same instance.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    const fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}

/// Settings of a [`Roster`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterSettings {
    /// Silence after which a monitored member becomes suspect.
    pub silence_timeout: Duration,
    /// Time that a suspect member has to refute the suspicion before it is dead.
    pub suspect_timeout: Duration,
    /// Time for which a dead or leaving member stays in the table.
    pub retention: Duration,
    /// Longest time between two ticks that does not count as a pause of this process.
    pub max_pause: Duration,
}

impl Default for RosterSettings {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_millis(3500),
            suspect_timeout: Duration::from_millis(2500),
            retention: Duration::from_mins(10),
            max_pause: Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    last_heard: Duration,
    state_since: Duration,
}

/// Membership table of the known instances, this one included.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use brassrack::members::{Member, MemberState, Roster, RosterSettings};
///
/// let me = Member {
///     name: "entry-1".to_string(),
///     address: "127.0.0.1:7001".parse().unwrap(),
///     region: "osrednja".to_string(),
///     domain: "vic".to_string(),
///     incarnation: 1,
///     state: MemberState::Live,
///     rules: 0,
/// };
/// let mut roster = Roster::new(RosterSettings::default(), me.clone());
/// let suspected = Member { state: MemberState::Suspect, ..me };
/// assert!(roster.merge(suspected, Duration::ZERO));
/// assert_eq!(roster.me().incarnation, 2);
/// ```
#[derive(Debug, Clone)]
pub struct Roster {
    settings: RosterSettings,
    me: Member,
    others: BTreeMap<String, Entry>,
    listed: BTreeMap<String, Standing>,
    last_tick: Option<Duration>,
}

impl Roster {
    /// Creates a table that holds this instance only.
    #[must_use]
    pub const fn new(settings: RosterSettings, me: Member) -> Self {
        Self {
            settings,
            me,
            others: BTreeMap::new(),
            listed: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// This instance.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns a known member.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// Iterates over all known members, this instance first.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Returns the members that take work, this instance included unless it is leaving.
    #[must_use]
    pub fn live(&self) -> BTreeMap<String, Member> {
        self.all()
            .filter(|member| member.takes_work())
            .map(|member| (member.name.clone(), member.clone()))
            .collect()
    }

    /// Merges the platform's instance list; returns the names of the members that changed.
    ///
    /// The list lags, so it only adds unknown instances and marks instances as leaving. Whether an
    /// instance that is missing from it is live is decided by its heartbeats.
    pub fn merge_list(&mut self, list: &[Listed], now: Duration) -> Vec<String> {
        let me = self.me.name.clone();
        let listed = list
            .iter()
            .filter(|entry| entry.service == OWN_SERVICE && entry.name != me);
        let mut changed = Vec::new();
        let mut standings = BTreeMap::new();
        for entry in listed {
            let before = self.listed.get(&entry.name).copied();
            standings.insert(entry.name.clone(), entry.standing);
            if self.merge_listed(entry, before, now) {
                changed.push(entry.name.clone());
            }
        }
        self.listed = standings;
        changed
    }

    /// Merges one listed instance; returns whether it changed the table.
    ///
    /// Only a change of the list from live to leaving counts: a member that was listed as leaving
    /// before, while its heartbeats say otherwise, has restarted under the same name. A dead member
    /// stays in the table while it is listed.
    fn merge_listed(&mut self, entry: &Listed, before: Option<Standing>, now: Duration) -> bool {
        let Some(known) = self.others.get_mut(&entry.name) else {
            return self.merge(listed_member(entry), now);
        };
        if known.member.state == MemberState::Dead {
            known.state_since = now;
        }
        let now_leaving = entry.standing == Standing::Leaving && before == Some(Standing::Live);
        if !now_leaving || known.member.address != entry.address {
            return false;
        }
        let member = Member {
            state: MemberState::Leaving,
            ..known.member.clone()
        };
        self.merge(member, now)
    }

    /// Records a message received directly from a member.
    pub fn mark_heard(&mut self, name: &str, now: Duration) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.last_heard = now;
        }
    }

    /// Merges an update; returns whether it changed the table.
    ///
    /// An update that contradicts the state of this instance is refuted with a higher incarnation.
    /// A member that a peer reports as dead becomes suspect here, so that it can refute the report
    /// after a network partition.
    pub fn merge(&mut self, update: Member, now: Duration) -> bool {
        if update.name == self.me.name {
            return self.refute(&update);
        }
        let Some(entry) = self.others.get_mut(&update.name) else {
            if !update.takes_work() || self.others.len() >= MAX_MEMBERS {
                return false;
            }
            let entry = Entry {
                member: update,
                last_heard: now,
                state_since: now,
            };
            self.others.insert(entry.member.name.clone(), entry);
            return true;
        };
        let same = update.incarnation == entry.member.incarnation;
        let update = Member {
            state: update.state.reported(entry.member.state),
            rules: if same {
                update.rules.max(entry.member.rules)
            } else {
                update.rules
            },
            ..update
        };
        if update.supersedes(&entry.member) {
            if !same {
                entry.last_heard = now;
            }
            entry.state_since = now;
            entry.member = update;
            return true;
        }
        let newer = same && update.rules > entry.member.rules;
        if newer {
            entry.member.rules = update.rules;
        }
        newer
    }

    /// Marks a live member as suspect; returns whether its state changed.
    pub fn suspect(&mut self, name: &str, now: Duration) -> bool {
        let Some(entry) = self.others.get_mut(name) else {
            return false;
        };
        if entry.member.state != MemberState::Live {
            return false;
        }
        entry.member.state = MemberState::Suspect;
        entry.state_since = now;
        true
    }

    /// Applies the timeouts to all members; returns the names of those whose state changed.
    ///
    /// Only watched members become suspect by their silence.
    pub fn tick(&mut self, watched: &BTreeSet<String>, now: Duration) -> Vec<String> {
        self.compensate_pause(now);
        let settings = self.settings;
        let mut changed = Vec::new();
        for (name, entry) in &mut self.others {
            let silence = now.saturating_sub(entry.last_heard);
            let state = match entry.member.state {
                MemberState::Live
                    if watched.contains(name) && silence > settings.silence_timeout =>
                {
                    MemberState::Suspect
                }
                MemberState::Suspect
                    if now.saturating_sub(entry.state_since) > settings.suspect_timeout =>
                {
                    MemberState::Dead
                }
                _ => continue,
            };
            entry.member.state = state;
            entry.state_since = now;
            changed.push(name.clone());
        }
        self.others.retain(|_, entry| {
            entry.member.takes_work() || now.saturating_sub(entry.state_since) <= settings.retention
        });
        changed
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
    }

    /// Sets the version of the rules in force at this instance; ignores one that is not higher.
    pub fn set_rules(&mut self, version: u64) -> bool {
        let newer = version > self.me.rules;
        if newer {
            self.me.rules = version;
        }
        newer
    }

    /// Returns a digest of the live members with their incarnations and versions of the rules.
    ///
    /// Equal views have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for member in self.live().values() {
            hasher.update(member.name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&member.incarnation.to_le_bytes());
            hasher.update(&member.rules.to_le_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// Merges an update about this instance, refuting it where it is wrong.
    fn refute(&mut self, update: &Member) -> bool {
        if update.incarnation < self.me.incarnation {
            return false;
        }
        let newer = update.incarnation > self.me.incarnation;
        let marked_leaving =
            update.state == MemberState::Leaving && self.me.state != MemberState::Leaving;
        if !newer && marked_leaving {
            self.me.state = MemberState::Leaving;
            return true;
        }
        let contradicts = newer || update.state > self.me.state;
        if contradicts {
            self.me.incarnation = update.incarnation + 1;
        }
        contradicts
    }

    /// Extends the timeouts by a pause of this process, which is no silence of the members.
    fn compensate_pause(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if elapsed <= self.settings.max_pause {
            return;
        }
        for entry in self.others.values_mut() {
            entry.last_heard = (entry.last_heard + elapsed).min(now);
            if entry.member.state == MemberState::Suspect {
                entry.state_since = (entry.state_since + elapsed).min(now);
            }
        }
    }
}

fn listed_member(entry: &Listed) -> Member {
    Member {
        name: entry.name.clone(),
        address: entry.address,
        region: entry.region.clone(),
        domain: entry.domain.clone(),
        incarnation: 0,
        state: match entry.standing {
            Standing::Live => MemberState::Live,
            Standing::Leaving => MemberState::Leaving,
        },
        rules: 0,
    }
}
