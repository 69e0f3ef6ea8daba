//! Parses header fields, and derives from them how the body is framed. Names and values are slices of the head's bytes:
//! nothing is copied.
use crate::{ParseError, Parsed};
use bytes::Bytes;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has so many bytes.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection; responses only.
    ToEnd,
}

/// The header fields of a message. Names are compared without case.
#[derive(Clone, Debug)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// Parses the lines of a head that follow its first line.
    pub(crate) fn parse(lines: impl Iterator<Item = Bytes>) -> Parsed<Fields> {
        let fields: Parsed<_> = lines.map(|line| parse_field(&line)).collect();
        Ok(Fields(fields?))
    }

    /// All fields in the order of the message, names as received.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.0.iter().map(|(name, value)| (name, value))
    }

    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.values(name).next()
    }

    /// The value of the first field with this name, if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether a comma-separated field with this name lists `value`, compared without case.
    pub fn lists(&self, name: &str, value: &str) -> bool {
        self.values(name)
            .flat_map(|list| list.split(|&byte| byte == b','))
            .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(value.as_bytes()))
    }

    /// The values of all fields with this name.
    fn values(&self, name: &str) -> impl Iterator<Item = &Bytes> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// How the body is framed; `None` if the fields do not say. Conflicting fields are refused, because what one party
    /// takes for the body another would take for the next message (request smuggling).
    pub(crate) fn framing(&self) -> Parsed<Option<Framing>> {
        let mut lengths = self.values("content-length");
        let mut codings = self.values("transfer-encoding");
        let (length, coding) = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(ParseError("more than one length or transfer-encoding"));
        }
        match (length, coding) {
            (Some(_), Some(_)) => Err(ParseError("content-length beside transfer-encoding")),
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_)) => Err(ParseError("unknown transfer-encoding")),
            (Some(length), None) => Ok(Some(Framing::Length(parse_length(length)?))),
        }
    }
}

fn parse_length(value: &[u8]) -> Parsed<usize> {
    // The parser would also accept a sign.
    let is_plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_plain);
    text.and_then(|text| text.parse().ok())
        .ok_or(ParseError("content-length is not a number"))
}

/// Parses a field's line into its name and value.
fn parse_field(line: &Bytes) -> Parsed<(Bytes, Bytes)> {
    let colon = line
        .iter()
        .position(|&byte| byte == b':')
        .ok_or(ParseError("field without a colon"))?;
    let value = line[colon + 1..].trim_ascii();
    let is_allowed = |&byte: &u8| byte == b'\t' || byte >= b' ' && byte != 0x7f;
    if !is_token(&line[..colon]) || !value.iter().all(is_allowed) {
        return Err(ParseError("field with forbidden characters"));
    }
    Ok((line.slice(..colon), line.slice_ref(value)))
}

/// Whether a text is a token (RFC 9110, section 5.6.2): a method or a field's name.
pub(crate) fn is_token(text: &[u8]) -> bool {
    let is_token_byte =
        |&byte: &u8| byte.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&byte);
    !text.is_empty() && text.iter().all(is_token_byte)
}
