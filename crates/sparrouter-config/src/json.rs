//! JSON as text: bounds checked before the parser sees it, white space removed, objects and lists cut into slices.
//!
//! A configuration must be read back exactly as it was sent, but the parser rounds long decimals and large integers. So a
//! document is never written out again from the parsed tree: it is compact text, and a change puts slices of the old and
//! the new text together. The tree only serves to validate and to read typed fields.
//!
//! | step | what it guards against |
//! | --- | --- |
//! | size | a body that fills the memory |
//! | `scanner` | nesting that overflows the parser's stack, more values than memory for them, a field twice |
//! | the parser | everything else that is not JSON |
//! | `slices` | nothing: it reads compact text that has passed the steps above |
mod scanner;
mod slices;

use crate::error::ConfigError;
use miniserde::json::Value;

pub(crate) use slices::{Field, fields, items, name_of, string};

/// Largest configuration in bytes, 8 MiB: enough for some 20,000 routes.
pub const MAX_BYTES: usize = 8 << 20;
/// Deepest nesting of lists and objects, in levels.
pub const MAX_DEPTH: usize = 64;
/// Largest number of values in a configuration. Limiting bytes alone does not bound memory: a list of single digits takes
/// 16 times its text once parsed.
pub const MAX_VALUES: usize = 500_000;

/// A JSON document that has passed all checks.
pub(crate) struct Json {
    /// The text without white space between its tokens.
    pub compact: String,
    /// The parsed tree, in which numbers may be rounded.
    pub tree: Value,
}

/// Checks the bounds, that no object contains a field twice, and that the body is one JSON value.
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
    // The text as sent, because without white space `1 2` would be parsed as 12.
    let tree = miniserde::json::from_str(text).map_err(|_| ConfigError::Malformed)?;
    Ok(Json { compact, tree })
}

/// The offset behind the closing quote of the string that begins at `start`; `None` if it does not end.
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

/// The value of a string literal; `None` if its escapes are invalid.
fn unquote(literal: &str) -> Option<std::borrow::Cow<'_, str>> {
    if literal.contains('\\') {
        let value: String = miniserde::json::from_str(literal).ok()?;
        return Some(value.into());
    }
    let value = literal.strip_prefix('"')?.strip_suffix('"')?;
    Some(value.into())
}
