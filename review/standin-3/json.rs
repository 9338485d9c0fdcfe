//! A small JSON reader, and base64, as the store's protocol needs them.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    Some(value)
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        space(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        text.extend(c.to_string().as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

/// A JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= part.len() {
                let digit = (word >> (18 - 6 * at)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode64(text: &str) -> Vec<u8> {
    let (mut word, mut bits, mut bytes) = (0_u32, 0, Vec::new());
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        word = (word << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
