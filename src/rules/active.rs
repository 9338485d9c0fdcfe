//! The active configuration of one instance, whose version never decreases.

use std::sync::Arc;

use super::{RuleError, Rules, VersionText, digest};

/// A version with its parsed and validated rules.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRules {
    /// Version and text, sent to peers that cannot read the object store.
    pub source: VersionText,
    /// Validated rules.
    pub rules: Rules,
}

/// Result of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The version is now active.
    Applied,
    /// The version is not newer than the active one, which stays active.
    Stale,
}

/// Reason a version was rejected; the active version stays active.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The digest of the text differs from the one recorded in the version.
    #[error("text of version {0} does not match its digest")]
    DigestMismatch(u64),
    /// The text is invalid for this release of the program.
    #[error("version {0} has {n} errors, the first at {first}",
        n = .1.len(), first = .1.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(u64, Vec<RuleError>),
}

impl ActiveRules {
    /// Verifies the digest and parses the text; a large file takes some milliseconds of CPU time.
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

/// Holds the active configuration; updated from the store and from peers.
#[derive(Debug, Clone, Default)]
pub struct RulesCell {
    current: Option<Arc<ActiveRules>>,
}

impl RulesCell {
    /// Returns the active configuration, or none before the first update.
    #[must_use]
    pub fn get(&self) -> Option<Arc<ActiveRules>> {
        self.current.as_ref().map(Arc::clone)
    }

    /// Returns the active version number, or 0 before the first update.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |c| c.source.version.version)
    }

    /// Verifies a version and makes it active if it is newer than the active one.
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

    /// Makes an already verified version active if it is newer than the active one.
    pub fn install(&mut self, rules: ActiveRules) -> UpdateOutcome {
        if rules.source.version.version <= self.version() {
            return UpdateOutcome::Stale;
        }
        self.current = Some(Arc::new(rules));
        UpdateOutcome::Applied
    }
}
