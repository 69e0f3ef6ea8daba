//! One pass over a text before it is parsed: depth, number of values, duplicate fields; white space is dropped.
//!
//! The scanner does not judge whether the text is JSON, which the parser does after it. It knows strings, brackets and
//! commas, and takes any other run of bytes as one token.
use super::{MAX_DEPTH, MAX_VALUES, end_of_string, unquote};
use crate::error::ConfigError;
use std::borrow::Cow;
use std::collections::HashSet;

/// Checks depth, number of values and duplicate fields, and gives the text without white space between tokens.
pub(super) fn compact(text: &str) -> Result<String, ConfigError> {
    let mut scanner = Scanner::new(text);
    let mut offset = 0;
    while offset < text.len() {
        offset = scanner.token(offset)?;
        if scanner.value_count > MAX_VALUES {
            return Err(ConfigError::TooManyValues { limit: MAX_VALUES });
        }
    }
    if !scanner.open.is_empty() || scanner.compact.is_empty() {
        return Err(ConfigError::Truncated { length: text.len() });
    }
    Ok(scanner.compact)
}

/// A list or an object whose closing bracket has not been read.
enum Container<'a> {
    List,
    Object { keys: HashSet<Cow<'a, str>> },
}

struct Scanner<'a> {
    text: &'a str,
    /// The text up to the current offset, without white space between tokens.
    compact: String,
    /// The containers that the current offset is in, outermost first; at most [`MAX_DEPTH`].
    open: Vec<Container<'a>>,
    /// The next string is the key of a field.
    key_is_next: bool,
    /// Upper bound on the number of values so far.
    value_count: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            compact: String::with_capacity(text.len()),
            open: Vec::new(),
            key_is_next: false,
            value_count: 1,
        }
    }

    /// Scans one token or one byte of white space; gives the offset behind it.
    fn token(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let mut end = start + 1;
        match bytes[start] {
            b' ' | b'\n' | b'\t' | b'\r' => return Ok(end),
            b'"' => end = self.string(start)?,
            b'{' => {
                let keys = HashSet::new();
                self.open_container(start, Container::Object { keys })?;
            }
            b'[' => self.open_container(start, Container::List)?,
            b'}' | b']' => {
                self.open.pop().ok_or(ConfigError::Malformed)?;
                self.key_is_next = false;
            }
            b',' => {
                self.key_is_next = matches!(self.open.last(), Some(Container::Object { .. }));
                self.value_count += 1;
            }
            _ => end = end_of_plain_token(bytes, end),
        }
        self.compact.push_str(&self.text[start..end]);
        Ok(end)
    }

    fn open_container(
        &mut self,
        offset: usize,
        container: Container<'a>,
    ) -> Result<(), ConfigError> {
        if self.open.len() == MAX_DEPTH {
            return Err(ConfigError::TooDeep {
                offset,
                limit: MAX_DEPTH,
            });
        }
        self.key_is_next = matches!(container, Container::Object { .. });
        self.open.push(container);
        self.value_count += 1;
        Ok(())
    }

    /// Scans a string; gives the offset behind it. A key must be new in its object.
    fn string(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let length = bytes.len();
        let end = end_of_string(bytes, start).ok_or(ConfigError::Truncated { length })?;
        if !self.key_is_next {
            return Ok(end);
        }
        if let Some(Container::Object { keys }) = self.open.last_mut() {
            let key = unquote(&self.text[start..end]).ok_or(ConfigError::Malformed)?;
            if keys.contains(&key) {
                return Err(ConfigError::DuplicateField {
                    key: key.into_owned(),
                    offset: start,
                });
            }
            keys.insert(key);
            self.key_is_next = false;
        }
        Ok(end)
    }
}

/// The offset, from `start` on, of the first byte behind a number, a literal such as `true`, or a run of bytes that are no
/// JSON.
fn end_of_plain_token(bytes: &[u8], start: usize) -> usize {
    let ends_token = |byte: &u8| {
        matches!(
            byte,
            b' ' | b'\n' | b'\t' | b'\r' | b'"' | b'{' | b'[' | b'}' | b']' | b','
        )
    };
    let length = bytes[start..].iter().position(ends_token);
    length.map_or(bytes.len(), |length| start + length)
}
