//! Rule-by-rule diff of two rules files.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::lex::split_line;

/// One added, removed or changed rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Words that identify the rule, such as `model besedilo-03`.
    pub rule: String,
    /// Line in the old file; none for an added rule.
    pub old: Option<String>,
    /// Line in the new file; none for a removed rule.
    pub new: Option<String>,
}

/// All rules that differ, sorted by their identifying words.
///
/// # Examples
///
/// ```
/// use brassrack::rules::Diff;
///
/// let diff = Diff::between("service a # Ann: x\n", "service a # Ann: y\nservice b # Ann: x");
/// assert_eq!(diff.changes.len(), 2);
/// assert!(diff.to_string().starts_with("- service a # Ann: x\n+ service a # Ann: y\n"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diff {
    /// Changed rules.
    pub changes: Vec<Change>,
}

impl Diff {
    /// Compares two texts; a line without a rule, such as a comment, is compared as a whole.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Self {
        let (old, new) = (lines_by_rule(old), lines_by_rule(new));
        let mut rules: Vec<&String> = old.keys().chain(new.keys()).collect();
        rules.sort();
        rules.dedup();
        let changes = rules
            .into_iter()
            .filter(|rule| old.get(*rule) != new.get(*rule))
            .map(|rule| Change {
                rule: rule.clone(),
                old: old.get(rule).cloned(),
                new: new.get(rule).cloned(),
            })
            .collect();
        Self { changes }
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            if let Some(old) = &change.old {
                writeln!(f, "- {old}")?;
            }
            if let Some(new) = &change.new {
                writeln!(f, "+ {new}")?;
            }
        }
        Ok(())
    }
}

fn lines_by_rule(text: &str) -> BTreeMap<String, String> {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(|line| (identity(line), line.into()))
        .collect()
}

/// Returns the keyword and the words up to the first `key=value`, or the whole line if none.
fn identity(line: &str) -> String {
    let words: Vec<String> = split_line(line, 1)
        .words
        .into_iter()
        .map(|w| w.text)
        .take_while(|w| !w.contains('='))
        .collect();
    if words.is_empty() {
        return line.into();
    }
    words.join(" ")
}
