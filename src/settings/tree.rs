//! Typed access to a settings tree that collects all errors.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytesize::ByteSize;
use humantime::format_duration;
use serde_json::Value;

/// One error of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {found}; expected {expected}")]
pub struct SettingError {
    /// Path of the key, such as `limits.body`.
    pub path: String,
    /// Value found in the file.
    pub found: String,
    /// Description of the accepted values.
    pub expected: String,
}

/// An unknown key, or a value where a section is expected.
#[derive(Debug)]
struct UnknownEntry {
    path: String,
    /// Value found in place of a section; none for an unknown key.
    found: Option<String>,
}

/// A settings tree with the paths read from it and the errors found.
#[derive(Debug)]
pub(super) struct Tree {
    root: Value,
    known: BTreeSet<String>,
    errors: Vec<SettingError>,
}

impl Tree {
    pub(super) fn new(text: &str) -> Self {
        let mut tree = Self {
            root: Value::Null,
            known: BTreeSet::new(),
            errors: Vec::new(),
        };
        match serde_saphyr::from_str::<Value>(text) {
            Ok(root @ Value::Object(_)) => tree.root = root,
            Ok(Value::Null) => {}
            Ok(other) => tree.reject("(file)", describe(&other), "keys with values"),
            Err(e) => tree.reject("(file)", first_line(&e.to_string()), "valid YAML"),
        }
        tree
    }

    /// Reports a value that is not accepted.
    pub(super) fn reject(&mut self, path: &str, found: String, expected: &str) {
        self.errors.push(SettingError {
            path: path.into(),
            found,
            expected: expected.into(),
        });
    }

    /// Returns all errors, including one for each key that was never read.
    pub(super) fn finish(mut self) -> Vec<SettingError> {
        let mut unknown = Vec::new();
        collect_unknown(&self.root, "", &self.known, &mut unknown);
        for UnknownEntry { path, found } in unknown {
            if let Some(found) = found {
                self.reject(&path, found, "keys with values");
                continue;
            }
            let section = path.rsplit_once('.').map_or("", |(s, _)| s);
            let expected = format!("one of {}", self.keys(section).join(", "));
            self.reject(&path, "unknown key".into(), &expected);
        }
        self.errors
    }

    /// Lists the accepted keys of a section.
    fn keys(&self, section: &str) -> Vec<String> {
        let keys: BTreeSet<&str> = self
            .known
            .iter()
            .filter_map(|k| match section {
                "" => Some(k.as_str()),
                _ => k.strip_prefix(section)?.strip_prefix('.'),
            })
            .filter_map(|k| k.split('.').next())
            .collect();
        keys.into_iter().map(String::from).collect()
    }

    /// Reads the scalar at a path as text; numbers are converted to text.
    fn scalar(&mut self, path: &str, expected: &str) -> Option<String> {
        self.known.insert(path.into());
        let mut value = &self.root;
        for key in path.split('.') {
            value = value.get(key)?;
        }
        match value {
            Value::Null => None,
            Value::String(s) => Some(s.clone()),
            Value::Number(n) => Some(n.to_string()),
            other => {
                let found = describe(other);
                self.reject(path, found, expected);
                None
            }
        }
    }

    fn required(&mut self, path: &str, expected: &str) -> Option<String> {
        let before = self.errors.len();
        let value = self.scalar(path, expected);
        if value.is_none() && self.errors.len() == before {
            self.reject(path, "missing key".into(), expected);
        }
        value
    }

    /// Reads a required name.
    pub(super) fn name(&mut self, path: &str) -> String {
        const EXPECTED: &str = "1 to 64 letters, digits, '-', '_' or '.'";
        let Some(text) = self.required(path, EXPECTED) else {
            return String::new();
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > 64 || !text.chars().all(allowed) {
            self.reject(path, quoted(&text), EXPECTED);
        }
        text
    }

    /// Reads a required address.
    pub(super) fn address(&mut self, path: &str) -> Option<SocketAddr> {
        const EXPECTED: &str = "an IP number and a port, such as 10.0.0.7:8080";
        let text = self.required(path, EXPECTED)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.reject(path, quoted(&text), EXPECTED);
        }
        address
    }

    /// Reads an optional text of bounded length, which no error message contains.
    pub(super) fn secret(&mut self, path: &str, length: RangeInclusive<usize>) -> Option<String> {
        let expected = format!("{} to {} characters", length.start(), length.end());
        let text = self.scalar(path, &expected)?;
        if !length.contains(&text.len()) {
            self.reject(path, format!("{} characters", text.len()), &expected);
        }
        Some(text)
    }

    /// Reads an optional choice among names.
    pub(super) fn choice(&mut self, path: &str, names: &[&str], default: &str) -> String {
        let expected = format!("one of {}", names.join(", "));
        match self.scalar(path, &expected) {
            None => default.into(),
            Some(text) => {
                if !names.contains(&text.as_str()) {
                    self.reject(path, quoted(&text), &expected);
                }
                text
            }
        }
    }

    /// Reads an optional integer within a range.
    pub(super) fn count(
        &mut self,
        path: &str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> usize {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(text) = self.scalar(path, &expected) else {
            return default;
        };
        match text.parse() {
            Ok(n) if range.contains(&n) => n,
            _ => {
                self.reject(path, quoted(&text), &expected);
                default
            }
        }
    }

    /// Reads an optional size in bytes within a range.
    pub(super) fn size(
        &mut self,
        path: &str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> usize {
        let [low, high] = [*range.start(), *range.end()].map(|n| ByteSize(n as u64));
        let expected = format!("a size from {low} to {high}, such as 64KiB");
        let Some(text) = self.scalar(path, &expected) else {
            return default;
        };
        let size = text.parse::<ByteSize>().ok().map(|s| s.as_u64());
        match size.and_then(|s| usize::try_from(s).ok()) {
            Some(n) if range.contains(&n) => n,
            _ => {
                self.reject(path, quoted(&text), &expected);
                default
            }
        }
    }

    /// Reads an optional duration within a range.
    pub(super) fn time(&mut self, path: &str, range: [Duration; 2], default: Duration) -> Duration {
        let [low, high] = range.map(format_duration);
        let expected = format!("a time from {low} to {high}, such as 500ms or 2s");
        let Some(text) = self.scalar(path, &expected) else {
            return default;
        };
        match humantime::parse_duration(&text) {
            Ok(t) if t >= range[0] && t <= range[1] => t,
            _ => {
                self.reject(path, quoted(&text), &expected);
                default
            }
        }
    }
}

/// Collects unknown keys and values found where a section is expected.
fn collect_unknown(
    section: &Value,
    path: &str,
    known: &BTreeSet<String>,
    out: &mut Vec<UnknownEntry>,
) {
    let map = match section {
        Value::Object(map) => map,
        Value::Null => return,
        other => {
            out.push(UnknownEntry {
                path: path.into(),
                found: Some(describe(other)),
            });
            return;
        }
    };
    for (key, child) in map {
        let path = match path {
            "" => key.clone(),
            _ => format!("{path}.{key}"),
        };
        let prefix = format!("{path}.");
        if known.iter().any(|k| k.starts_with(&prefix)) {
            collect_unknown(child, &path, known, out);
        } else if !known.contains(&path) {
            out.push(UnknownEntry { path, found: None });
        }
    }
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "nothing".into(),
        Value::Bool(b) => b.to_string(),
        Value::Number(n) => n.to_string(),
        Value::String(s) => quoted(s),
        Value::Array(_) => "a list".into(),
        Value::Object(_) => "a section with keys".into(),
    }
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.escape_debug())
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().into()
}
