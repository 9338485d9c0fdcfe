//! Client accounts of a configuration, and the keys by which callers prove theirs.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

mod proof;

pub use proof::{DetourProof, ProvedRequest};

/// What a quota counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum QuotaUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its prompt tokens and the most tokens of its answer.
    Tokens,
}

/// What an account may use over all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once after a time without requests.
    pub burst: f64,
    /// Units of a request that states no tokens.
    pub plain_tokens: u32,
}

impl Quota {
    /// Units that a request counts as; `tokens` is none where it states none.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{Quota, QuotaUnit};
    ///
    /// let quota = Quota { unit: QuotaUnit::Tokens, plain_tokens: 200, ..Quota::default() };
    /// assert_eq!(quota.cost(Some(1540)), 1540.0);
    /// assert_eq!(quota.cost(None), 200.0);
    /// assert_eq!(Quota::default().cost(Some(1540)), 1.0);
    /// ```
    #[must_use]
    pub fn cost(&self, tokens: Option<u32>) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens => tokens.unwrap_or(self.plain_tokens).into(),
        }
    }
}

/// A client account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// Priority of its requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit on its use; none where it has no limit.
    pub quota: Option<Quota>,
}

/// Digest of a caller's key; the key itself is not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
    /// assert!(!format!("{:?}", KeyDigest::of("k1")).contains("k1"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).into())
    }

    /// The bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Why no account holds what a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyFault {
    /// The request has no key, or several.
    #[error("no key, or several")]
    NoKey,
    /// No account holds the key.
    #[error("unknown key")]
    UnknownKey,
    /// No account holds the key since this version.
    #[error("key removed by version {0}")]
    RemovedKey(u64),
    /// The proof of a detour was made with no key of the account that it names.
    #[error("proof of a detour without a key of its account")]
    BadProof,
}

/// Most removed keys that are remembered for logs; about a day of changes that each remove some.
const MAX_REMOVED_KEYS: usize = 4096;

/// The accounts of a configuration, by name and by key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    entries: BTreeMap<String, Entry>,
    keys: BTreeMap<KeyDigest, Arc<Account>>,
    /// Keys that no account holds any more, and the version that removed each.
    removed: BTreeMap<KeyDigest, u64>,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    account: Arc<Account>,
    keys: Vec<KeyDigest>,
}

impl Accounts {
    /// Adds an account with its keys.
    pub fn insert(&mut self, account: Account, keys: impl IntoIterator<Item = KeyDigest>) {
        let account = Arc::new(account);
        let keys: Vec<KeyDigest> = keys.into_iter().collect();
        for key in &keys {
            self.keys.insert(*key, Arc::clone(&account));
        }
        let name = account.name.clone();
        self.entries.insert(name, Entry { account, keys });
    }

    /// Takes over which keys were removed up to `version`, which follows that of `previous`.
    ///
    /// Only logs depend on this; the oldest are forgotten.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{Account, Accounts, KeyDigest, KeyFault, ProvedRequest};
    ///
    /// let (mut before, mut after) = (Accounts::default(), Accounts::default());
    /// before.insert(Account::default(), [KeyDigest::of("k1")]);
    /// after.record_removed(&before, 7);
    /// let request = ProvedRequest { id: "", method: "GET", path: "/" };
    /// let held = after.holder(Some(&KeyDigest::of("k1")), None, request);
    /// assert_eq!(held, Err(KeyFault::RemovedKey(7)));
    /// ```
    pub fn record_removed(&mut self, previous: &Self, version: u64) {
        let earlier = previous.removed.iter().map(|(key, by)| (*key, *by));
        let now = previous.keys.keys().map(|key| (*key, version));
        let removed = earlier.chain(now);
        self.removed = removed
            .filter(|(key, _)| !self.keys.contains_key(key))
            .collect();
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_KEYS);
        if excess > 0 {
            let mut oldest: Vec<(u64, KeyDigest)> =
                self.removed.iter().map(|(key, by)| (*by, *key)).collect();
            oldest.sort_unstable();
            for (_, key) in &oldest[..excess] {
                self.removed.remove(key);
            }
        }
    }

    /// The account that holds a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{Account, Accounts, KeyDigest};
    ///
    /// let mut accounts = Accounts::default();
    /// let desk = Account { name: "desk".into(), ..Account::default() };
    /// accounts.insert(desk, [KeyDigest::of("k1")]);
    /// assert_eq!(accounts.by_key(&KeyDigest::of("k1")).map(|a| a.name.as_str()), Some("desk"));
    /// assert!(accounts.by_key(&KeyDigest::of("k2")).is_none());
    /// ```
    #[must_use]
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// The account with a name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.entries.get(name).map(|entry| &entry.account)
    }

    /// Digests of the keys of the account with a name.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = &KeyDigest> {
        let entry = self.entries.get(name);
        entry.into_iter().flat_map(|entry| &entry.keys)
    }

    /// The account that holds the key of a request, or one of whose keys its proof was made with.
    ///
    /// # Errors
    ///
    /// [`KeyFault`] where there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::gateway::accounts::{
    ///     Account, Accounts, DetourProof, KeyDigest, KeyFault, ProvedRequest,
    /// };
    ///
    /// let mut accounts = Accounts::default();
    /// let desk = Account { name: "desk".into(), ..Account::default() };
    /// accounts.insert(desk, [KeyDigest::of("k1")]);
    /// let request = ProvedRequest { id: "r-1", method: "POST", path: "/drafts/7" };
    /// let proof = DetourProof::new("desk", &KeyDigest::of("k1"), request);
    /// assert!(accounts.holder(None, Some(&proof), request).is_ok());
    /// assert_eq!(accounts.holder(None, None, request), Err(KeyFault::NoKey));
    /// ```
    pub fn holder(
        &self,
        key: Option<&KeyDigest>,
        proof: Option<&DetourProof>,
        request: ProvedRequest<'_>,
    ) -> Result<&Arc<Account>, KeyFault> {
        if let Some(key) = key {
            let removed_by = || self.removed.get(key).copied();
            return self
                .by_key(key)
                .ok_or_else(|| removed_by().map_or(KeyFault::UnknownKey, KeyFault::RemovedKey));
        }
        let proof = proof.ok_or(KeyFault::NoKey)?;
        let mut keys = self.keys_of(&proof.account);
        keys.find(|key| proof.is_made_with(key, request))
            .and_then(|key| self.by_key(key))
            .ok_or(KeyFault::BadProof)
    }

    /// All accounts, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.entries.values().map(|entry| &entry.account)
    }
}
