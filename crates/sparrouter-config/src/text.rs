//! JSON as text: bounds checked before the parser sees it, white space dropped, objects and lists cut into slices.
//!
//! Slices rather than a rebuilt tree, because the parser rounds long decimals and large integers, and a read back
//! must equal what was sent.

use crate::refusal::Refusal;
use miniserde::json::{self, Value};
use std::borrow::Cow;
use std::collections::HashSet;

/// Largest configuration in bytes: some 20,000 routes.
pub const MAX_BYTES: usize = 8 << 20;
/// Deepest nesting of lists and objects.
pub const MAX_DEPTH: usize = 64;
/// Most values in a configuration. Bytes alone are no bound on memory: a list of digits takes 16 times its text.
pub const MAX_VALUES: usize = 500_000;

/// Checks the bounds, that no object holds a field twice and that all of it is JSON. Gives the text without white
/// space between tokens, and the tree.
pub(crate) fn read(body: &[u8]) -> Result<(String, Value), Refusal> {
    if body.len() > MAX_BYTES {
        return Err(Refusal::TooLarge {
            bytes: body.len(),
            limit: MAX_BYTES,
        });
    }
    let text = std::str::from_utf8(body).map_err(|e| Refusal::NotUtf8 {
        at: e.valid_up_to(),
    })?;
    let compact = scan(text)?;
    // The text as sent, not the compact one: without its white space `1 2` would read as 12.
    let tree = json::from_str(text).map_err(|_| Refusal::Malformed)?;
    Ok((compact, tree))
}

fn scan(text: &str) -> Result<String, Refusal> {
    let bytes = text.as_bytes();
    let mut compact = String::with_capacity(text.len());
    // The fields met so far of each open object; None for an open list.
    let mut open: Vec<Option<HashSet<Cow<str>>>> = Vec::new();
    let mut key_next = false;
    let mut values = 1;
    let mut i = 0;
    while i < bytes.len() {
        let start = i;
        i += 1;
        match bytes[start] {
            b' ' | b'\n' | b'\t' | b'\r' => continue,
            b'"' => {
                i = end_of_string(bytes, start).ok_or(Refusal::CutShort { at: bytes.len() })?;
                if let (true, Some(Some(met))) = (key_next, open.last_mut()) {
                    let key = unquote(&text[start..i]).ok_or(Refusal::Malformed)?;
                    if met.contains(&key) {
                        return Err(Refusal::DuplicateField {
                            key: key.into_owned(),
                            at: start,
                        });
                    }
                    met.insert(key);
                    key_next = false;
                }
            }
            opening @ (b'{' | b'[') => {
                if open.len() == MAX_DEPTH {
                    return Err(Refusal::TooDeep {
                        at: start,
                        limit: MAX_DEPTH,
                    });
                }
                key_next = opening == b'{';
                open.push(key_next.then(HashSet::new));
                values += 1;
            }
            b'}' | b']' => {
                open.pop().ok_or(Refusal::Malformed)?;
                key_next = false;
            }
            b',' => {
                key_next = matches!(open.last(), Some(Some(_)));
                values += 1;
            }
            _ => {
                while i < bytes.len()
                    && !matches!(
                        bytes[i],
                        b' ' | b'\n' | b'\t' | b'\r' | b'"' | b'{' | b'[' | b'}' | b']' | b','
                    )
                {
                    i += 1;
                }
            }
        }
        if values > MAX_VALUES {
            return Err(Refusal::TooManyValues { limit: MAX_VALUES });
        }
        compact.push_str(&text[start..i]);
    }
    if !open.is_empty() || compact.is_empty() {
        return Err(Refusal::CutShort { at: bytes.len() });
    }
    Ok(compact)
}

/// The place after the closing quote of the string that begins at `start`.
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

fn unquote(literal: &str) -> Option<Cow<'_, str>> {
    if literal.contains('\\') {
        json::from_str::<String>(literal).ok().map(Cow::Owned)
    } else {
        literal
            .strip_prefix('"')?
            .strip_suffix('"')
            .map(Cow::Borrowed)
    }
}

/// The fields of an object in compact text that was read before; none if it is no object.
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

/// The items of a list in compact text that was read before; None if it is no list.
pub(crate) fn items(list: &str) -> Option<Vec<&str>> {
    list.strip_prefix('[')
        .and_then(|l| l.strip_suffix(']'))
        .map(split)
}

/// The string under `name` in an object in compact text.
pub(crate) fn name_of(object: &str) -> Option<String> {
    fields(object)
        .into_iter()
        .find(|(key, _)| key == "name")
        .and_then(|(_, literal)| string(literal))
}

/// The value of a string in compact text; None if it is no string.
pub(crate) fn string(literal: &str) -> Option<String> {
    literal
        .starts_with('"')
        .then(|| unquote(literal).map(Cow::into_owned))?
}

fn split(inner: &str) -> Vec<&str> {
    let bytes = inner.as_bytes();
    let mut parts = Vec::new();
    let (mut depth, mut start, mut i) = (0usize, 0, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                i = end_of_string(bytes, i).unwrap_or(bytes.len());
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' if depth == 0 => {
                parts.push(&inner[start..i]);
                start = i + 1;
            }
            _ => {}
        }
        i += 1;
    }
    if !inner.is_empty() {
        parts.push(&inner[start..]);
    }
    parts
}
