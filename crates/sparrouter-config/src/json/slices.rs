//! Objects and lists as slices of compact text that [`super::read`] has checked: valid JSON without white space between its
//! tokens.
use super::{end_of_string, unquote};
use std::borrow::Cow;

/// A field of an object.
pub(crate) struct Field<'a> {
    /// The key, without quotes and escapes.
    pub key: Cow<'a, str>,
    /// The value as JSON.
    pub value: &'a str,
}

/// The fields of an object; none if it is no object.
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

/// Key and value of a field such as `"name":"x"`.
fn split_field(field: &str) -> Option<Field<'_>> {
    let end = end_of_string(field.as_bytes(), 0)?;
    Some(Field {
        key: unquote(&field[..end])?,
        value: field[end..].strip_prefix(':')?,
    })
}

/// The items of a list; `None` if it is no list.
pub(crate) fn items(list: &str) -> Option<Vec<&str>> {
    let inner = list.strip_prefix('[')?.strip_suffix(']')?;
    Some(split_at_commas(inner))
}

/// The value of the field `name` of an object, if it is a string.
pub(crate) fn name_of(object: &str) -> Option<String> {
    let name = fields(object)
        .into_iter()
        .find(|field| field.key == "name")?;
    string(name.value)
}

/// The value of a string; `None` if it is no string.
pub(crate) fn string(literal: &str) -> Option<String> {
    if !literal.starts_with('"') {
        return None;
    }
    unquote(literal).map(Cow::into_owned)
}

/// Cuts the inside of an object or a list at its own commas, not at those of what is nested in it.
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
