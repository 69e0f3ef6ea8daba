//! JSON as text: checks bounds before parsing, removes white space, and splits objects and lists into slices.
//!
//! A configuration must be returned exactly as the operator sent it, but the parser rounds long decimals and large integers.
//! A document is therefore never serialized from the parsed tree: it is stored as compact text, and a change concatenates
//! slices of the old and the new text. The tree serves only to validate and to read typed fields.
//!
//! | step | guards against |
//! | --- | --- |
//! | size check | a body that exhausts memory |
//! | `scanner` | nesting that overflows the parser's stack, values that exhaust memory, duplicate fields |
//! | parser | any other invalid JSON |
//! | `slices` | nothing: its input has passed the steps above |
mod scanner;
mod slices;

use crate::error::ConfigError;
use miniserde::json::Value;

pub(crate) use slices::{Field, fields, items, name_of, string};

/// Largest size of a configuration in bytes, 8 MiB: enough for about 20,000 routes.
pub const MAX_BYTES: usize = 8 << 20;
/// Deepest nesting of lists and objects, in levels.
pub const MAX_DEPTH: usize = 64;
/// Largest number of values in a configuration. A size limit does not bound memory by itself: a list of single digits takes
/// 16 times the size of its text once parsed.
pub const MAX_VALUES: usize = 500_000;

/// A JSON document that has passed all checks of [`read`].
pub(crate) struct Json {
    /// The text without white space between tokens.
    pub compact: String,
    /// The parsed tree, in which numbers may be rounded.
    pub tree: Value,
}

/// Parses a body. Rejects a body that exceeds a bound, is not exactly one JSON value, or contains an object with a duplicate
/// field.
pub(crate) fn read(body: &[u8]) -> Result<Json, ConfigError> {
    if body.len() > MAX_BYTES {
        return Err(ConfigError::TooLarge {
            bytes: body.len(),
            limit: MAX_BYTES,
        });
    }
    let text = std::str::from_utf8(body).map_err(|error| ConfigError::NotUtf8 {
        offset: error.valid_up_to(),
    })?;
    let compact = scanner::compact(text)?;
    // Parses the text as sent, because `1 2` without white space would be parsed as 12.
    let tree = miniserde::json::from_str(text).map_err(|_| ConfigError::Malformed)?;
    Ok(Json { compact, tree })
}

/// Returns the offset after the closing quote of the string that begins at `start`; `None` if the string is unterminated.
fn end_of_string(bytes: &[u8], start: usize) -> Option<usize> {
    let mut offset = start + 1;
    loop {
        match bytes.get(offset)? {
            b'"' => return Some(offset + 1),
            b'\\' => offset += 2,
            _ => offset += 1,
        }
    }
}

/// Decodes a string literal; `None` if its escapes are invalid.
fn unquote(literal: &str) -> Option<std::borrow::Cow<'_, str>> {
    if literal.contains('\\') {
        let value: String = miniserde::json::from_str(literal).ok()?;
        return Some(value.into());
    }
    let value = literal.strip_prefix('"')?.strip_suffix('"')?;
    Some(value.into())
}
