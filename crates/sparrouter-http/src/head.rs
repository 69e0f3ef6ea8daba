//! Parses heads of HTTP/1.1 messages. Parts of a head are slices of the buffer it was read into: nothing is copied.
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
    /// All fields in the order of the message, names as received.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.0.iter().map(|(n, v)| (n, v))
    }
    /// The value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, v)| v)
    }
    /// The value of the first field with this name, if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| std::str::from_utf8(v).ok())
    }
    /// Whether a comma-separated field with this name lists `value`, compared without case.
    pub fn lists(&self, name: &str, value: &str) -> bool {
        let all = self
            .0
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        all.flat_map(|(_, v)| v.split(|&b| b == b','))
            .any(|w| w.trim_ascii().eq_ignore_ascii_case(value.as_bytes()))
    }

    /// How the body is framed; `None` if the fields do not say. Conflicting fields are refused, because what one party
    /// takes for the body another would take for the next message (request smuggling).
    fn framing(&self) -> Parsed<Option<Framing>> {
        let mut lengths = self
            .0
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(b"content-length"));
        let length = lengths.next();
        let codings = self
            .0
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(b"transfer-encoding"));
        if lengths.next().is_some() || codings.count() > 1 {
            return Err(ParseError("more than one length or transfer-encoding"));
        }
        match (length, self.get("transfer-encoding")) {
            (Some(_), Some(_)) => Err(ParseError("content-length beside transfer-encoding")),
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_)) => Err(ParseError("unknown transfer-encoding")),
            (Some((_, v)), None) => {
                let digits = !v.is_empty() && v.iter().all(u8::is_ascii_digit);
                let text = std::str::from_utf8(v).ok().filter(|_| digits);
                let length = text
                    .and_then(|t| t.parse().ok())
                    .ok_or(ParseError("content-length is not a number"))?;
                Ok(Some(Framing::Length(length)))
            }
        }
    }
}

/// The first bytes of every response.
pub const REPLY: &[u8] = b"HTTP/1.";

/// The offset behind the empty line that ends a head; `None` if it is not whole yet. Bytes before `from` were searched
/// before.
pub fn find_end(buffer: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    buffer
        .get(from..)?
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| from + at + 4)
}

/// Whether a text is a token (RFC 9110, section 5.6.2): a method or a field's name.
fn is_token(text: &[u8]) -> bool {
    !text.is_empty()
        && text
            .iter()
            .all(|&b| b.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&b))
}

/// Splits a head into its first line and its fields.
fn split(head: &Bytes) -> Parsed<(Bytes, Fields)> {
    let mut lines = Vec::new();
    let mut at = 0;
    while let Some(length) = head[at..].windows(2).position(|w| w == b"\r\n") {
        if length == 0 {
            break;
        }
        lines.push(head.slice(at..at + length));
        at += length + 2;
    }
    let mut lines = lines.into_iter();
    let first = lines.next().ok_or(ParseError("empty head"))?;
    let field = |line: Bytes| {
        let colon = line
            .iter()
            .position(|&b| b == b':')
            .ok_or(ParseError("field without a colon"))?;
        let value = line[colon + 1..].trim_ascii();
        let plain = value.iter().all(|&b| b == b'\t' || b >= b' ' && b != 0x7f);
        if !is_token(&line[..colon]) || !plain {
            return Err(ParseError("field with forbidden characters"));
        }
        Ok((line.slice(..colon), line.slice_ref(value)))
    };
    Ok((first, Fields(lines.map(field).collect::<Parsed<_>>()?)))
}

/// Parses the version: true for HTTP/1.1, false for HTTP/1.0.
fn parse_version(text: &[u8]) -> Parsed<bool> {
    match text {
        b"HTTP/1.1" => Ok(true),
        b"HTTP/1.0" => Ok(false),
        _ => Err(ParseError("unknown version")),
    }
}

/// Whether the sender wants to keep the connection open behind this message.
fn keeps_alive(is_http_1_1: bool, fields: &Fields) -> bool {
    if is_http_1_1 {
        !fields.lists("connection", "close")
    } else {
        fields.lists("connection", "keep-alive")
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method, as received.
    pub method: Bytes,
    /// The request target in origin form: path and query.
    pub target: Bytes,
    /// The client wants to keep the connection open behind the response.
    pub keep_alive: bool,
    /// How the body is framed: an empty one if the fields do not say.
    pub framing: Framing,
    /// The header fields.
    pub fields: Fields,
}

/// Parses the head of a request, as [`crate::reading::head`] gives it.
///
/// # Errors
///
/// [`Bad`] if the head is malformed, its target is not in origin form, or its framing is contradictory.
pub fn parse_request(head: &Bytes) -> Parsed<RequestHead> {
    let (first, fields) = split(head)?;
    let mut words = first.split(|&b| b == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(ParseError("first line is not of three words"));
    };
    let plain = target.first() == Some(&b'/') && target.iter().all(u8::is_ascii_graphic);
    if !is_token(method) || !plain {
        return Err(ParseError("method or target"));
    }
    let is_http_1_1 = parse_version(version)?;
    let keep = keeps_alive(is_http_1_1, &fields);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    if !is_http_1_1 && framing == Framing::Chunked {
        return Err(ParseError("transfer-encoding in HTTP/1.0"));
    }
    Ok(RequestHead {
        method: first.slice_ref(method),
        target: first.slice_ref(target),
        keep_alive: keep,
        framing,
        fields,
    })
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code, 100 to 599.
    pub status: u16,
    /// The connection can carry another request behind this response.
    pub keep_alive: bool,
    /// How the body is framed.
    pub framing: Framing,
    /// The header fields.
    pub fields: Fields,
}

/// Parses the head of a response, as [`crate::reading::head`] gives it. Not for responses to HEAD requests, whose framing
/// fields do not describe the body.
///
/// # Errors
///
/// [`Bad`] if the head is malformed or its framing is contradictory.
pub fn parse_response(head: &Bytes) -> Parsed<ResponseHead> {
    let (first, fields) = split(head)?;
    let mut words = first.splitn(3, |&b| b == b' ');
    let is_http_1_1 = parse_version(words.next().unwrap_or_default())?;
    let status = words
        .next()
        .filter(|s| s.len() == 3)
        .and_then(|s| std::str::from_utf8(s).ok());
    let status = status
        .and_then(|s| s.parse().ok())
        .filter(|s| (100..600).contains(s));
    let status: u16 = status.ok_or(ParseError("status"))?;
    let has_no_body = status < 200 || status == 204 || status == 304;
    let framing = if has_no_body {
        Framing::Length(0)
    } else {
        fields.framing()?.unwrap_or(Framing::ToEnd)
    };
    let keep = keeps_alive(is_http_1_1, &fields) && framing != Framing::ToEnd;
    Ok(ResponseHead {
        status,
        keep_alive: keep,
        framing,
        fields,
    })
}
