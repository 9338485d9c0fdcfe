//! Just enough JSON and base64 for the calls of the platform's store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => -1.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    if self.peek()? == b',' {
                        self.at += 1;
                        continue;
                    }
                    let name = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    fields.insert(name, self.value()?);
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    if self.peek()? == b',' {
                        self.at += 1;
                        continue;
                    }
                    list.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word(4, Json::Bool(true)),
            b'f' => self.word(5, Json::Bool(false)),
            b'n' => self.word(4, Json::Null),
            _ => {
                let from = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[from..self.at]).ok()?;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Option<Json> {
        self.at += length;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        if self.peek()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            bytes.extend(letter.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

/// A text as JSON writes it.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let number = part(0) << 16 | part(1) << 8 | part(2);
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(DIGITS[(number >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        number = (number << 6 | digit as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((number >> bits & 255) as u8);
        }
    }
    out
}
