//! JSON as text: bounds checked before the parser sees it, white space removed, objects and lists cut into slices.
//!
//! Slices and not a tree that is written out again, because the parser rounds long decimals and large integers, and a
//! configuration must be read back exactly as it was sent.

use crate::error::ConfigError;
use miniserde::json::Value;
use std::borrow::Cow;
use std::collections::HashSet;

/// Largest configuration in bytes: room for some 20,000 routes.
pub const MAX_BYTES: usize = 8 << 20;
/// Deepest nesting of lists and objects.
pub const MAX_DEPTH: usize = 64;
/// Most values in a configuration. Limiting bytes alone does not bound memory: a list of single digits takes 16 times its
/// text once parsed.
pub const MAX_VALUES: usize = 500_000;

/// Checks the bounds, that no object holds a field twice, and that the body is one JSON value. Gives the text without
/// white space between tokens, and the parsed tree.
pub(crate) fn read(body: &[u8]) -> Result<(String, Value), ConfigError> {
    if body.len() > MAX_BYTES {
        return Err(ConfigError::TooLarge {
            bytes: body.len(),
            limit: MAX_BYTES,
        });
    }
    let text = std::str::from_utf8(body).map_err(|e| ConfigError::NotUtf8 {
        at: e.valid_up_to(),
    })?;
    let compact = scan(text)?;
    // The text as sent, because without white space `1 2` would be parsed as 12.
    let tree = miniserde::json::from_str(text).map_err(|_| ConfigError::Malformed)?;
    Ok((compact, tree))
}

/// Checks depth, number of values and duplicate fields, and gives the text without white space between tokens.
fn scan(text: &str) -> Result<String, ConfigError> {
    let bytes = text.as_bytes();
    let mut scanner = Scanner {
        text,
        compact: String::with_capacity(text.len()),
        open: Vec::new(),
        key_is_next: false,
        values: 1,
    };
    let mut position = 0;
    while position < bytes.len() {
        position = scanner.token(position)?;
        if scanner.values > MAX_VALUES {
            return Err(ConfigError::TooManyValues { limit: MAX_VALUES });
        }
    }
    if !scanner.open.is_empty() || scanner.compact.is_empty() {
        return Err(ConfigError::Truncated { at: bytes.len() });
    }
    Ok(scanner.compact)
}

struct Scanner<'a> {
    text: &'a str,
    compact: String,
    /// The fields met so far of each object that is open; `None` for a list.
    open: Vec<Option<HashSet<Cow<'a, str>>>>,
    /// The next string is the key of a field.
    key_is_next: bool,
    /// Upper bound on the number of values so far.
    values: usize,
}

impl Scanner<'_> {
    /// Scans one token or white space; gives the position behind it.
    fn token(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let mut end = start + 1;
        match bytes[start] {
            b' ' | b'\n' | b'\t' | b'\r' => return Ok(end),
            b'"' => end = self.string(start)?,
            opening @ (b'{' | b'[') => {
                if self.open.len() == MAX_DEPTH {
                    return Err(ConfigError::TooDeep {
                        at: start,
                        limit: MAX_DEPTH,
                    });
                }
                self.key_is_next = opening == b'{';
                self.open.push(self.key_is_next.then(HashSet::new));
                self.values += 1;
            }
            b'}' | b']' => {
                self.open.pop().ok_or(ConfigError::Malformed)?;
                self.key_is_next = false;
            }
            b',' => {
                self.key_is_next = matches!(self.open.last(), Some(Some(_)));
                self.values += 1;
            }
            _ => {
                while end < bytes.len() && !ends_plain_token(bytes[end]) {
                    end += 1;
                }
            }
        }
        self.compact.push_str(&self.text[start..end]);
        Ok(end)
    }

    /// Scans a string; gives the position behind it. A key must be new in its object.
    fn string(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let end = end_of_string(bytes, start).ok_or(ConfigError::Truncated { at: bytes.len() })?;
        if let (true, Some(Some(met))) = (self.key_is_next, self.open.last_mut()) {
            let key = unquote(&self.text[start..end]).ok_or(ConfigError::Malformed)?;
            if met.contains(&key) {
                return Err(ConfigError::DuplicateField {
                    key: key.into_owned(),
                    at: start,
                });
            }
            met.insert(key);
            self.key_is_next = false;
        }
        Ok(end)
    }
}

/// Whether a byte ends a number, a literal such as `true`, or a run of bytes that are no JSON.
fn ends_plain_token(byte: u8) -> bool {
    matches!(
        byte,
        b' ' | b'\n' | b'\t' | b'\r' | b'"' | b'{' | b'[' | b'}' | b']' | b','
    )
}

/// The position behind the closing quote of the string that begins at `start`; `None` if it does not end.
fn end_of_string(bytes: &[u8], start: usize) -> Option<usize> {
    let mut i = start + 1;
    loop {
        match bytes.get(i)? {
            b'"' => return Some(i + 1),
            b'\\' => i += 2,
            _ => i += 1,
        }
    }
}

/// The value of a string literal; `None` if its escapes are invalid.
fn unquote(literal: &str) -> Option<Cow<'_, str>> {
    if literal.contains('\\') {
        miniserde::json::from_str::<String>(literal)
            .ok()
            .map(Cow::Owned)
    } else {
        literal
            .strip_prefix('"')?
            .strip_suffix('"')
            .map(Cow::Borrowed)
    }
}

/// The fields of an object in compact text that [`read`] has checked; empty if it is no object.
pub(crate) fn fields(object: &str) -> Vec<(Cow<'_, str>, &str)> {
    let Some(inner) = object.strip_prefix('{').and_then(|o| o.strip_suffix('}')) else {
        return Vec::new();
    };
    split(inner)
        .into_iter()
        .filter_map(|field| {
            let end = end_of_string(field.as_bytes(), 0)?;
            Some((unquote(&field[..end])?, field[end..].strip_prefix(':')?))
        })
        .collect()
}

/// The items of a list in compact text that [`read`] has checked; `None` if it is no list.
pub(crate) fn items(list: &str) -> Option<Vec<&str>> {
    list.strip_prefix('[')
        .and_then(|l| l.strip_suffix(']'))
        .map(split)
}

/// The value of the field `name` of an object in compact text, if it is a string.
pub(crate) fn name_of(object: &str) -> Option<String> {
    fields(object)
        .into_iter()
        .find(|(key, _)| key == "name")
        .and_then(|(_, literal)| string(literal))
}

/// The value of a string in compact text; `None` if it is no string.
pub(crate) fn string(literal: &str) -> Option<String> {
    literal
        .starts_with('"')
        .then(|| unquote(literal).map(Cow::into_owned))?
}

/// Cuts the inside of an object or a list at its commas.
fn split(inner: &str) -> Vec<&str> {
    let bytes = inner.as_bytes();
    let mut parts = Vec::new();
    let (mut depth, mut start, mut position) = (0usize, 0, 0);
    while position < bytes.len() {
        match bytes[position] {
            b'"' => {
                position = end_of_string(bytes, position).unwrap_or(bytes.len());
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' if depth == 0 => {
                parts.push(&inner[start..position]);
                start = position + 1;
            }
            _ => {}
        }
        position += 1;
    }
    if !inner.is_empty() {
        parts.push(&inner[start..]);
    }
    parts
}
