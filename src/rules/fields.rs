//! Typed access to the words of one rule.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytesize::ByteSize;
use humantime::format_duration;

use super::RuleError;
use super::lex::{LexedLine, Word};

const MAX_DURATION: Duration = Duration::from_hours(24);
const MAX_NAME_CHARS: usize = 128;

/// Characters of the file quoted in an error message; longer text is truncated.
const MAX_QUOTED_CHARS: usize = 80;

/// A `key=value` word.
#[derive(Debug)]
struct Field {
    key: Word,
    value: Word,
    used: bool,
}

/// Positional and `key=value` words of one rule, with the errors found in them.
#[derive(Debug)]
pub(super) struct Fields {
    positional: std::vec::IntoIter<Word>,
    keyed: Vec<Field>,
    known_keys: Vec<&'static str>,
    line_end: Word,
    pub(super) errors: Vec<RuleError>,
}

impl Fields {
    /// Splits the words after the keyword into positional and `key=value` words.
    pub(super) fn new(lexed: LexedLine, line: usize) -> Self {
        let mut positional = Vec::new();
        let mut keyed = Vec::new();
        let mut errors = Vec::new();
        for word in lexed.words.into_iter().skip(1) {
            let Some((key, text)) = word.text.split_once('=') else {
                positional.push(word);
                continue;
            };
            let value = Word {
                text: text.into(),
                line,
                column: word.column + key.chars().count() + 1,
            };
            let key = Word {
                text: key.into(),
                ..word
            };
            if keyed.iter().any(|f: &Field| f.key.text == key.text) {
                errors.push(key.error("each key once"));
            }
            keyed.push(Field {
                key,
                value,
                used: false,
            });
        }
        Self {
            positional: positional.into_iter(),
            keyed,
            known_keys: Vec::new(),
            line_end: Word {
                text: String::new(),
                line,
                column: lexed.comment.map_or(lexed.end, |c| c.column),
            },
            errors,
        }
    }

    /// Reports words that were not consumed: extra positional words and unknown keys.
    pub(super) fn finish(&mut self) {
        for word in self.positional.by_ref() {
            self.errors.push(word.error("key=value words or a comment"));
        }
        let expected = match self.known_keys.as_slice() {
            [] => "no key=value word here".into(),
            keys => format!("one of the keys {}", keys.join(", ")),
        };
        for field in self.keyed.iter().filter(|f| !f.used) {
            // A duplicate of a known key was already reported by `new`.
            if !self.known_keys.contains(&field.key.text.as_str()) {
                self.errors.push(field.key.error(&expected));
            }
        }
    }

    /// Takes the next positional word; reports an error if there is none.
    pub(super) fn positional(&mut self, expected: &str) -> Option<Word> {
        let word = self.positional.next();
        if word.is_none() {
            self.report_missing(expected);
        }
        word
    }

    /// Takes the next positional word as a name.
    pub(super) fn name(&mut self, expected: &str) -> Option<Word> {
        let word = self.positional(expected)?;
        self.checked_name(word)
    }

    /// Reads a `key=value` word as a reference to a name.
    pub(super) fn reference(&mut self, key: &'static str, expected: &str) -> Option<Word> {
        let word = self.required(key, expected)?;
        self.checked_name(word)
    }

    fn checked_name(&mut self, word: Word) -> Option<Word> {
        const EXPECTED: &str = "a name of 1 to 128 letters, digits, '-', '_', '.' or '/'";
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
        let text = &word.text;
        let edges = text.starts_with('/') || text.ends_with('/');
        if text.is_empty() || text.len() > MAX_NAME_CHARS || edges || !text.chars().all(allowed) {
            self.reject(&word, EXPECTED);
            return None;
        }
        Some(word)
    }

    /// Reads a size in bytes, with the word it came from.
    pub(super) fn size(&mut self, key: &'static str) -> Option<(u64, Word)> {
        const EXPECTED: &str = "a size above zero with its unit, such as 60MiB or 13GiB";
        let word = self.required(key, EXPECTED)?;
        let unit = word.text.ends_with(|c: char| c.is_ascii_alphabetic());
        match word.text.parse::<ByteSize>() {
            Ok(size) if unit && size.as_u64() > 0 && size.as_u64() < u64::MAX => {
                Some((size.as_u64(), word))
            }
            _ => {
                self.reject(&word, EXPECTED);
                None
            }
        }
    }

    /// Reads a duration above zero and at most [`MAX_DURATION`].
    pub(super) fn duration(&mut self, key: &'static str) -> Option<Duration> {
        let expected = format!(
            "a time above zero and at most {}, such as 500ms or 2s",
            format_duration(MAX_DURATION)
        );
        let word = self.required(key, &expected)?;
        match humantime::parse_duration(&word.text) {
            Ok(time) if !time.is_zero() && time <= MAX_DURATION => Some(time),
            _ => {
                self.reject(&word, &expected);
                None
            }
        }
    }

    /// Reads an integer within a range.
    pub(super) fn count(&mut self, key: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let word = self.required(key, &expected)?;
        match word.text.parse() {
            Ok(n) if range.contains(&n) => Some(n),
            _ => {
                self.reject(&word, &expected);
                None
            }
        }
    }

    /// Reads a number from 0 to 1.
    pub(super) fn fraction(&mut self, key: &'static str) -> Option<f64> {
        const EXPECTED: &str = "a number from 0 to 1";
        let word = self.required(key, EXPECTED)?;
        match word.text.parse() {
            Ok(x) if (0.0..=1.0).contains(&x) => Some(x),
            _ => {
                self.reject(&word, EXPECTED);
                None
            }
        }
    }

    /// Reads one of a fixed set of names.
    pub(super) fn choice(&mut self, key: &'static str, names: &[&str]) -> Option<String> {
        let expected = format!("one of {}", names.join(", "));
        let word = self.required(key, &expected)?;
        if !names.contains(&word.text.as_str()) {
            self.reject(&word, &expected);
            return None;
        }
        Some(word.text)
    }

    /// Reports a word that is not accepted.
    pub(super) fn reject(&mut self, word: &Word, expected: &str) {
        self.errors.push(word.error(expected));
    }

    fn required(&mut self, key: &'static str, expected: &str) -> Option<Word> {
        self.known_keys.push(key);
        let Some(field) = self.keyed.iter_mut().find(|f| f.key.text == key) else {
            self.report_missing(&format!("{key}= with {expected}"));
            return None;
        };
        field.used = true;
        Some(field.value.clone())
    }

    fn report_missing(&mut self, expected: &str) {
        self.errors.push(self.line_end.error(expected));
    }
}

impl Word {
    /// Creates an error at the position of this word.
    pub(super) fn error(&self, expected: &str) -> RuleError {
        RuleError {
            line: self.line,
            column: self.column,
            found: match self.text.as_str() {
                "" => "nothing".into(),
                text => quoted(text),
            },
            expected: expected.into(),
        }
    }
}

/// Quotes and escapes the text, truncated to [`MAX_QUOTED_CHARS`].
fn quoted(text: &str) -> String {
    let mut chars = text.chars();
    let start: String = chars.by_ref().take(MAX_QUOTED_CHARS).collect();
    let rest = if chars.next().is_some() { ".." } else { "" };
    format!("'{}{rest}'", start.escape_debug())
}
