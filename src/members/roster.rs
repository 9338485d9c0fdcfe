//! Table of the known instances and the rules by which it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::instances::{Listed, OWN_SERVICE, Standing};

/// Other members that are remembered at most.
const MAX_MEMBERS: usize = 4096;

/// State of a member; at one incarnation, the later state in this order wins.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Heard lately, or not contradicted.
    Live,
    /// Not heard for a while; it still counts as live until it is dead.
    Suspect,
    /// Stops on its own account; it takes no new work.
    Leaving,
    /// Gone, unless it comes back with a higher incarnation.
    Dead,
}

impl MemberState {
    /// The state to take over when others tell it of a member that is known in a state.
    const fn reported(self, known: Self) -> Self {
        match (self, known) {
            (Self::Dead, Self::Live | Self::Suspect) => Self::Suspect,
            _ => self,
        }
    }
}

/// What is known of an instance.
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
    /// Number that grows with each start of the instance and each objection to a suspicion.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
    /// Version of the rules in force at it; 0 for none.
    pub rules: u64,
}

impl Member {
    /// Whether this says something newer than the other about the same instance.
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
    /// Silence after which a watched member is suspected.
    pub silence_timeout: Duration,
    /// Time that a suspected member has to object.
    pub suspect_timeout: Duration,
    /// Time for which a dead or leaving member is remembered.
    pub retention: Duration,
    /// Longest span between two ticks that is not taken for a pause of this process.
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

/// Known instances, with this one among them.
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
    /// A roster that knows this instance alone.
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

    /// A known member.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// All known members.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Members that take work, this instance among them unless it is leaving.
    #[must_use]
    pub fn live(&self) -> BTreeMap<String, Member> {
        self.all()
            .filter(|member| member.takes_work())
            .map(|member| (member.name.clone(), member.clone()))
            .collect()
    }

    /// Adds what the platform lists; answers the names that changed.
    ///
    /// The list lags, so it adds unknown instances and says who is leaving, and nothing else: an
    /// instance that it misses is judged by its heartbeats.
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

    /// A member that is listed as leaving already when its heartbeats say otherwise has restarted
    /// under its name, so only the change to leaving counts.
    fn merge_listed(&mut self, entry: &Listed, before: Option<Standing>, now: Duration) -> bool {
        let Some(known) = self.others.get_mut(&entry.name) else {
            return self.merge(listed_member(entry), now);
        };
        if known.member.state == MemberState::Dead {
            known.state_since = now;
        }
        let leaves = entry.standing == Standing::Leaving && before == Some(Standing::Live);
        if !leaves || known.member.address != entry.address {
            return false;
        }
        let member = Member {
            state: MemberState::Leaving,
            ..known.member.clone()
        };
        self.merge(member, now)
    }

    /// Notes that a member was heard directly.
    pub fn mark_heard(&mut self, name: &str, now: Duration) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.last_heard = now;
        }
    }

    /// Takes an update in; answers whether it changed anything.
    ///
    /// An update that speaks against this instance is answered with a higher incarnation of it.
    /// That others take a member for dead makes it a suspect here, so that it can object after
    /// two parts of the network lost each other.
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

    /// Suspects a live member; answers whether that is news.
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

    /// Judges the silence of the watched members; answers the names that changed.
    pub fn tick(&mut self, watched: &BTreeSet<String>, now: Duration) -> Vec<String> {
        self.compensate_pause(now);
        let settings = self.settings;
        let mut changed = Vec::new();
        for (name, entry) in &mut self.others {
            let quiet = now.saturating_sub(entry.last_heard);
            let state = match entry.member.state {
                MemberState::Live if watched.contains(name) && quiet > settings.silence_timeout => {
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

    /// Sets the version of the rules in force at this instance; a lower one is ignored.
    pub fn set_rules(&mut self, version: u64) -> bool {
        let newer = version > self.me.rules;
        if newer {
            self.me.rules = version;
        }
        newer
    }

    /// Digest of who is live in which incarnation; equal views have equal digests.
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

    /// Answers an update about this instance itself.
    fn refute(&mut self, update: &Member) -> bool {
        if update.incarnation < self.me.incarnation {
            return false;
        }
        let ahead = update.incarnation > self.me.incarnation;
        let told_to_leave =
            update.state == MemberState::Leaving && self.me.state != MemberState::Leaving;
        if !ahead && told_to_leave {
            self.me.state = MemberState::Leaving;
            return true;
        }
        let against = ahead || update.state > self.me.state;
        if against {
            self.me.incarnation = update.incarnation + 1;
        }
        against
    }

    /// A pause of this process is no silence of the others.
    fn compensate_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap <= self.settings.max_pause {
            return;
        }
        for entry in self.others.values_mut() {
            entry.last_heard = (entry.last_heard + gap).min(now);
            if entry.member.state == MemberState::Suspect {
                entry.state_since = (entry.state_since + gap).min(now);
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
