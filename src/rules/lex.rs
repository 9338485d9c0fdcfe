//! Splits a line of a rules file into words and its comment.

/// A piece of a line and where it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Word {
    /// Text, without quotes.
    pub(super) text: String,
    /// Line, from 1.
    pub(super) line: usize,
    /// Column in characters, from 1.
    pub(super) column: usize,
}

/// The pieces of one line.
#[derive(Debug)]
pub(super) struct Lexed {
    /// Words in their order.
    pub(super) words: Vec<Word>,
    /// Text after the `#`; where there is none, the end of the line.
    pub(super) comment: Option<Word>,
    /// Column after the last character.
    pub(super) end: usize,
    /// Start of a word whose quote is not closed.
    pub(super) open: Option<Word>,
}

/// Splits one line; quotes and backslashes are those of a POSIX shell.
pub(super) fn split(text: &str, line: usize) -> Lexed {
    let chars: Vec<char> = text.chars().collect();
    let mut lexed = Lexed {
        words: Vec::new(),
        comment: None,
        end: chars.len() + 1,
        open: None,
    };
    let mut at = 0;
    while at < chars.len() {
        if chars[at].is_whitespace() {
            at += 1;
            continue;
        }
        let word = |raw: &[char]| Word {
            text: raw.iter().collect(),
            line,
            column: at + 1,
        };
        if chars[at] == '#' {
            let mut comment = word(&chars[at + 1..]);
            comment.text = comment.text.trim().into();
            lexed.comment = Some(comment);
            break;
        }
        let end = at + word_length(&chars[at..]);
        let raw = word(&chars[at..end]);
        if !raw.text.contains(['"', '\'', '\\']) {
            lexed.words.push(raw);
        } else if let Some(parts) = shlex::split(&raw.text) {
            let text = parts.concat();
            lexed.words.push(Word { text, ..raw });
        } else {
            lexed.open = Some(raw);
        }
        at = end;
    }
    lexed
}

/// Characters up to the first blank outside quotes.
fn word_length(chars: &[char]) -> usize {
    let mut quote = None;
    let mut escaped = false;
    for (i, &c) in chars.iter().enumerate() {
        if escaped {
            escaped = false;
            continue;
        }
        match (quote, c) {
            (None | Some('"'), '\\') => escaped = true,
            (None, '"' | '\'') => quote = Some(c),
            (Some(q), _) if q == c => quote = None,
            (None, _) if c.is_whitespace() => return i,
            _ => {}
        }
    }
    chars.len()
}
