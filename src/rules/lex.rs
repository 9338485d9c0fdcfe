//! Lexer that splits a line of a rules file into words and a comment.

/// A word with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Word {
    /// Text with quotes and escapes resolved.
    pub(super) text: String,
    /// Line number, starting at 1.
    pub(super) line: usize,
    /// Column in characters, starting at 1.
    pub(super) column: usize,
}

/// Words and comment of one line.
#[derive(Debug)]
pub(super) struct LexedLine {
    pub(super) words: Vec<Word>,
    /// Text after the `#`, at the column of the `#`; none without a comment.
    pub(super) comment: Option<Word>,
    /// Column after the last character.
    pub(super) end: usize,
    /// Word with a quote that is not closed.
    pub(super) unclosed_quote: Option<Word>,
}

/// Splits one line; quotes and backslashes follow POSIX shell rules.
pub(super) fn split_line(text: &str, line: usize) -> LexedLine {
    let chars: Vec<char> = text.chars().collect();
    let mut lexed = LexedLine {
        words: Vec::new(),
        comment: None,
        end: chars.len() + 1,
        unclosed_quote: None,
    };
    let mut position = 0;
    while position < chars.len() {
        if chars[position].is_whitespace() {
            position += 1;
            continue;
        }
        let word = |raw: &[char]| Word {
            text: raw.iter().collect(),
            line,
            column: position + 1,
        };
        if chars[position] == '#' {
            let mut comment = word(&chars[position + 1..]);
            comment.text = comment.text.trim().into();
            lexed.comment = Some(comment);
            break;
        }
        let end = position + word_length(&chars[position..]);
        let raw = word(&chars[position..end]);
        if !raw.text.contains(['"', '\'', '\\']) {
            lexed.words.push(raw);
        } else if let Some(parts) = shlex::split(&raw.text) {
            let text = parts.concat();
            lexed.words.push(Word { text, ..raw });
        } else {
            lexed.unclosed_quote = Some(raw);
        }
        position = end;
    }
    lexed
}

/// Counts the characters up to the first whitespace outside quotes and escapes.
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
