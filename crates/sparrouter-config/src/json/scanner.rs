//! Scans a JSON text before it is parsed: bounds depth and number of values, rejects duplicate fields, drops white space.
//!
//! The scanner does not check that the text is valid JSON; the parser does so afterwards. It recognizes strings, brackets
//! and commas, and treats any other run of bytes as one token.
use super::{MAX_DEPTH, MAX_VALUES, end_of_string, unquote};
use crate::error::ConfigError;
use std::borrow::Cow;
use std::collections::HashSet;

/// Checks depth, number of values and duplicate fields, and returns the text without white space between tokens.
pub(super) fn compact(text: &str) -> Result<String, ConfigError> {
    let mut scanner = Scanner::new(text);
    let mut offset = 0;
    while offset < text.len() {
        offset = scanner.scan_token(offset)?;
        if scanner.value_count > MAX_VALUES {
            return Err(ConfigError::TooManyValues { limit: MAX_VALUES });
        }
    }
    if !scanner.open_containers.is_empty() || scanner.compact.is_empty() {
        return Err(ConfigError::Truncated { length: text.len() });
    }
    Ok(scanner.compact)
}

/// A list or an object whose closing bracket has not been scanned yet.
enum Container<'a> {
    List,
    Object { keys: HashSet<Cow<'a, str>> },
}

struct Scanner<'a> {
    text: &'a str,
    /// The text up to the current offset, without white space between tokens.
    compact: String,
    /// The lists and objects that enclose the current offset, outermost first; at most [`MAX_DEPTH`].
    open_containers: Vec<Container<'a>>,
    /// Whether the next string is the key of a field.
    expects_key: bool,
    /// Upper bound on the number of values scanned so far.
    value_count: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Scanner<'a> {
        Scanner {
            text,
            compact: String::with_capacity(text.len()),
            open_containers: Vec::new(),
            expects_key: false,
            value_count: 1,
        }
    }

    /// Scans one token or one byte of white space, and returns the offset after it.
    fn scan_token(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let mut end = start + 1;
        match bytes[start] {
            b' ' | b'\n' | b'\t' | b'\r' => return Ok(end),
            b'"' => end = self.scan_string(start)?,
            b'{' => {
                let keys = HashSet::new();
                self.open_container(start, Container::Object { keys })?;
            }
            b'[' => self.open_container(start, Container::List)?,
            b'}' | b']' => {
                self.open_containers.pop().ok_or(ConfigError::Malformed)?;
                self.expects_key = false;
            }
            b',' => {
                self.expects_key =
                    matches!(self.open_containers.last(), Some(Container::Object { .. }));
                self.value_count += 1;
            }
            _ => end = end_of_bare_token(bytes, end),
        }
        self.compact.push_str(&self.text[start..end]);
        Ok(end)
    }

    fn open_container(
        &mut self,
        offset: usize,
        container: Container<'a>,
    ) -> Result<(), ConfigError> {
        if self.open_containers.len() == MAX_DEPTH {
            return Err(ConfigError::TooDeep {
                offset,
                limit: MAX_DEPTH,
            });
        }
        self.expects_key = matches!(container, Container::Object { .. });
        self.open_containers.push(container);
        self.value_count += 1;
        Ok(())
    }

    /// Scans a string and returns the offset after it. Rejects a key that its object already contains.
    fn scan_string(&mut self, start: usize) -> Result<usize, ConfigError> {
        let bytes = self.text.as_bytes();
        let length = bytes.len();
        let end = end_of_string(bytes, start).ok_or(ConfigError::Truncated { length })?;
        if !self.expects_key {
            return Ok(end);
        }
        if let Some(Container::Object { keys }) = self.open_containers.last_mut() {
            let key = unquote(&self.text[start..end]).ok_or(ConfigError::Malformed)?;
            if keys.contains(&key) {
                return Err(ConfigError::DuplicateField {
                    key: key.into_owned(),
                    offset: start,
                });
            }
            keys.insert(key);
            self.expects_key = false;
        }
        Ok(end)
    }
}

/// Returns the offset after a token that is neither a string nor punctuation: a number, a literal such as `true`, or a run of
/// bytes that is invalid JSON. `offset` is the offset after the token's first byte.
fn end_of_bare_token(bytes: &[u8], offset: usize) -> usize {
    let ends_token = |byte: &u8| {
        matches!(
            byte,
            b' ' | b'\n' | b'\t' | b'\r' | b'"' | b'{' | b'[' | b'}' | b']' | b','
        )
    };
    let remaining_length = bytes[offset..].iter().position(ends_token);
    remaining_length.map_or(bytes.len(), |length| offset + length)
}
