//! The configuration that one instance has in force; its version never goes down.

use std::sync::Arc;

use super::{RuleError, Rules, VersionText, digest};

/// A version with its checked rules.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRules {
    /// The version and its text, for peers that cannot fetch it themselves.
    pub source: VersionText,
    /// The checked rules.
    pub rules: Rules,
}

/// What became of an offered version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is in force now.
    Applied,
    /// It is not newer than the version in force, which stays.
    Stale,
}

/// Why an offered version cannot be put in force; the version in force stays.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The text does not have the version's digest.
    #[error("version {0} has another digest than its text")]
    DigestMismatch(u64),
    /// The text has errors, as seen by this release.
    #[error("version {0} has {n} errors, the first at {first}",
        n = .1.len(), first = .1.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(u64, Vec<RuleError>),
}

impl ActiveRules {
    /// Verifies and reads a version; a large one takes some milliseconds of processor time.
    ///
    /// # Errors
    ///
    /// [`UpdateError`] where the text is damaged or has errors.
    pub fn verify(source: VersionText) -> Result<Self, UpdateError> {
        let number = source.version.version;
        if digest(&source.text) != source.version.digest {
            return Err(UpdateError::DigestMismatch(number));
        }
        let rules = Rules::parse(&source.text).map_err(|e| UpdateError::Invalid(number, e))?;
        Ok(Self { source, rules })
    }
}

/// Holder of the configuration in force, fed from the store and from peers.
#[derive(Debug, Clone, Default)]
pub struct RulesCell {
    current: Option<Arc<ActiveRules>>,
}

impl RulesCell {
    /// The configuration in force; none before the first one is known.
    #[must_use]
    pub fn get(&self) -> Option<Arc<ActiveRules>> {
        self.current.as_ref().map(Arc::clone)
    }

    /// Number of the version in force; 0 before the first one is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |c| c.source.version.version)
    }

    /// Puts a version in force if it is newer than the one that is.
    ///
    /// # Errors
    ///
    /// [`UpdateError`] where the text is damaged or has errors.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::rules::{RulesCell, UpdateOutcome, Version, VersionText, digest};
    ///
    /// let text = String::from("service a # Ann: x\n");
    /// let version = Version {
    ///     version: 7,
    ///     digest: digest(&text),
    ///     op: "op".into(),
    ///     author: "ann".into(),
    ///     note: String::new(),
    ///     at: String::new(),
    /// };
    /// let mut cell = RulesCell::default();
    /// assert_eq!(cell.update(VersionText { version, text }), Ok(UpdateOutcome::Applied));
    /// assert_eq!(cell.version(), 7);
    /// ```
    pub fn update(&mut self, source: VersionText) -> Result<UpdateOutcome, UpdateError> {
        if source.version.version <= self.version() {
            return Ok(UpdateOutcome::Stale);
        }
        Ok(self.install(ActiveRules::verify(source)?))
    }

    /// Puts a version that was read before in force if it is newer than the one that is.
    pub fn install(&mut self, rules: ActiveRules) -> UpdateOutcome {
        if rules.source.version.version <= self.version() {
            return UpdateOutcome::Stale;
        }
        self.current = Some(Arc::new(rules));
        UpdateOutcome::Applied
    }
}
