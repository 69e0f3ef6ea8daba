//! Parses header fields and derives the framing of the body. Names and values are slices of the head, without copies.
use crate::{ParseError, Parsed};
use bytes::Bytes;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this length in bytes.
    Length(usize),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed. Only responses have this framing.
    ToEnd,
}

/// The header fields of a message. Names are compared case-insensitively.
#[derive(Clone, Debug)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// Parses the lines of a head after its first line.
    pub(crate) fn parse(lines: impl Iterator<Item = Bytes>) -> Parsed<Fields> {
        let fields: Parsed<_> = lines.map(|line| parse_field(&line)).collect();
        Ok(Fields(fields?))
    }

    /// All fields in the order of the message, with names as received.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.0.iter().map(|(name, value)| (name, value))
    }

    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.values(name).next()
    }

    /// The value of the first field with this name; `None` if there is no such field or its value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether a comma-separated field with this name contains `value`, compared case-insensitively.
    pub fn lists(&self, name: &str, value: &str) -> bool {
        self.values(name)
            .flat_map(|list| list.split(|&byte| byte == b','))
            .any(|element| element.trim_ascii().eq_ignore_ascii_case(value.as_bytes()))
    }

    /// The values of all fields with this name.
    fn values(&self, name: &str) -> impl Iterator<Item = &Bytes> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Framing of the body; `None` if the fields do not define it. Conflicting fields are rejected to prevent request smuggling:
    /// one recipient would treat bytes as body that another recipient treats as the next message.
    pub(crate) fn framing(&self) -> Parsed<Option<Framing>> {
        let mut lengths = self.values("content-length");
        let mut codings = self.values("transfer-encoding");
        let (length, coding) = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(ParseError(
                "more than one content-length or transfer-encoding",
            ));
        }
        match (length, coding) {
            (Some(_), Some(_)) => Err(ParseError("both content-length and transfer-encoding")),
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_)) => Err(ParseError("unsupported transfer-encoding")),
            (Some(length), None) => Ok(Some(Framing::Length(parse_length(length)?))),
        }
    }
}

fn parse_length(value: &[u8]) -> Parsed<usize> {
    // `parse` would also accept a sign.
    let is_plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_plain);
    text.and_then(|text| text.parse().ok())
        .ok_or(ParseError("content-length is not a number"))
}

/// Parses a field line into name and value.
fn parse_field(line: &Bytes) -> Parsed<(Bytes, Bytes)> {
    let colon = line
        .iter()
        .position(|&byte| byte == b':')
        .ok_or(ParseError("header field has no colon"))?;
    let value = line[colon + 1..].trim_ascii();
    let is_allowed = |&byte: &u8| byte == b'\t' || byte >= b' ' && byte != 0x7f;
    if !is_token(&line[..colon]) || !value.iter().all(is_allowed) {
        return Err(ParseError("header field contains a forbidden character"));
    }
    Ok((line.slice(..colon), line.slice_ref(value)))
}

/// Whether `text` is a token (RFC 9110, section 5.6.2), the syntax of methods and field names.
pub(crate) fn is_token(text: &[u8]) -> bool {
    let is_token_byte =
        |&byte: &u8| byte.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&byte);
    !text.is_empty() && text.iter().all(is_token_byte)
}
