//! Slices of JSON objects and lists. The text has passed [`super::read`]: it is valid JSON without white space between
//! tokens.
use super::{end_of_string, unquote};
use std::borrow::Cow;

/// A field of an object.
pub(crate) struct Field<'a> {
    /// The key, without quotes and escapes.
    pub key: Cow<'a, str>,
    /// The JSON text of the value.
    pub value: &'a str,
}

/// The fields of a JSON object; empty if `object` is another kind of value.
pub(crate) fn fields(object: &str) -> Vec<Field<'_>> {
    let inner = object
        .strip_prefix('{')
        .and_then(|rest| rest.strip_suffix('}'));
    let Some(inner) = inner else {
        return Vec::new();
    };
    split_at_commas(inner)
        .into_iter()
        .filter_map(split_field)
        .collect()
}

/// Splits a field into key and value, such as `"name":"x"`.
fn split_field(field: &str) -> Option<Field<'_>> {
    let end = end_of_string(field.as_bytes(), 0)?;
    Some(Field {
        key: unquote(&field[..end])?,
        value: field[end..].strip_prefix(':')?,
    })
}

/// The items of a JSON list; `None` if `list` is another kind of value.
pub(crate) fn items(list: &str) -> Option<Vec<&str>> {
    let inner = list.strip_prefix('[')?.strip_suffix(']')?;
    Some(split_at_commas(inner))
}

/// The value of an object's field `name`; `None` if the field is absent or not a string.
pub(crate) fn name_of(object: &str) -> Option<String> {
    let name = fields(object)
        .into_iter()
        .find(|field| field.key == "name")?;
    string(name.value)
}

/// The value of a JSON string; `None` if `literal` is another kind of value.
pub(crate) fn string(literal: &str) -> Option<String> {
    if !literal.starts_with('"') {
        return None;
    }
    unquote(literal).map(Cow::into_owned)
}

/// Splits the inside of an object or list at its top-level commas; commas in nested values and strings do not count.
fn split_at_commas(inner: &str) -> Vec<&str> {
    let bytes = inner.as_bytes();
    let mut slices = Vec::new();
    let mut depth = 0usize;
    let mut start = 0;
    let mut offset = 0;
    while offset < bytes.len() {
        match bytes[offset] {
            b'"' => {
                offset = end_of_string(bytes, offset).unwrap_or(bytes.len());
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' if depth == 0 => {
                slices.push(&inner[start..offset]);
                start = offset + 1;
            }
            _ => {}
        }
        offset += 1;
    }
    if !inner.is_empty() {
        slices.push(&inner[start..]);
    }
    slices
}
