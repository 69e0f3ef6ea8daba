//! Parses heads of HTTP/1.1 messages. Parsed parts are slices of the input buffer, without copies.
use crate::fields::is_token;
pub use crate::fields::{Fields, Framing};
use crate::{ParseError, Parsed};
use bytes::Bytes;

/// The prefix of every HTTP/1.x response.
pub const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";

/// The end of a head: the line end of its last line, and the empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method, as received.
    pub method: Bytes,
    /// The request target in origin form: path and query.
    pub target: Bytes,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// Framing of the body; a length of 0 if the fields do not define it.
    pub framing: Framing,
    /// The header fields.
    pub fields: Fields,
}

impl RequestHead {
    /// Whether the method is HEAD: its response has no body, whatever the fields of the response define.
    pub fn is_head(&self) -> bool {
        &self.method[..] == b"HEAD"
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code, 100 to 599.
    pub status: u16,
    /// Whether the connection can be reused after this response.
    pub keep_alive: bool,
    /// Whether a body follows. None follows a status of 1xx, 204 or 304, nor any response to HEAD.
    pub has_body: bool,
    /// Framing of the body: a length of 0 if no body follows, [`Framing::ToEnd`] if the fields do not define it.
    pub framing: Framing,
    /// The header fields.
    pub fields: Fields,
}

impl ResponseHead {
    /// The length that `Content-Length` states, in bytes. Without a body it is that of the response to a GET request
    /// (RFC 9110, section 8.6). `None` if the fields state no length, or conflict.
    pub fn stated_length(&self) -> Option<usize> {
        match self.fields.framing() {
            Ok(Some(Framing::Length(length))) => Some(length),
            _ => None,
        }
    }
}

/// The HTTP version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

impl Version {
    fn parse(text: &[u8]) -> Parsed<Version> {
        match text {
            b"HTTP/1.1" => Ok(Version::Http11),
            b"HTTP/1.0" => Ok(Version::Http10),
            _ => Err(ParseError("unsupported HTTP version")),
        }
    }

    /// Whether the sender of a message with these fields keeps the connection open after it.
    fn keeps_alive(self, fields: &Fields) -> bool {
        match self {
            Version::Http11 => !fields.lists("connection", "close"),
            Version::Http10 => fields.lists("connection", "keep-alive"),
        }
    }
}

/// Finds the end of a head, and returns the offset after its empty line; `None` if the buffer does not contain it yet. The
/// caller has already searched the bytes before the offset `from`.
pub fn find_end(buffer: &[u8], from: usize) -> Option<usize> {
    // The end sequence may begin in the bytes that were already searched.
    let from = from.saturating_sub(HEAD_END.len() - 1);
    buffer
        .get(from..)?
        .windows(HEAD_END.len())
        .position(|bytes| bytes == HEAD_END)
        .map(|offset| from + offset + HEAD_END.len())
}

/// Splits a head into its first line and its header fields.
fn split(head: &Bytes) -> Parsed<(Bytes, Fields)> {
    let mut lines = Vec::new();
    let mut offset = 0;
    while let Some(length) = head[offset..].windows(2).position(|bytes| bytes == b"\r\n") {
        if length == 0 {
            break;
        }
        lines.push(head.slice(offset..offset + length));
        offset += length + 2;
    }
    let mut lines = lines.into_iter();
    let first = lines.next().ok_or(ParseError("message head is empty"))?;
    Ok((first, Fields::parse(lines)?))
}

/// Parses the head of a request, as [`crate::reading::head`] returns it.
///
/// # Errors
///
/// [`ParseError`] if the head is malformed, its target is not in origin form, or its framing fields conflict.
pub fn parse_request(head: &Bytes) -> Parsed<RequestHead> {
    let (first, fields) = split(head)?;
    let mut elements = first.split(|&byte| byte == b' ');
    let (Some(method), Some(target), Some(version), None) = (
        elements.next(),
        elements.next(),
        elements.next(),
        elements.next(),
    ) else {
        return Err(ParseError(
            "request line does not consist of method, target and version",
        ));
    };
    let is_origin_form = target.first() == Some(&b'/') && target.iter().all(u8::is_ascii_graphic);
    if !is_token(method) || !is_origin_form {
        return Err(ParseError(
            "method is not a token or target is not in origin form",
        ));
    }
    let version = Version::parse(version)?;
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    if version == Version::Http10 && framing == Framing::Chunked {
        return Err(ParseError("transfer-encoding in an HTTP/1.0 request"));
    }
    Ok(RequestHead {
        method: first.slice_ref(method),
        target: first.slice_ref(target),
        keep_alive: version.keeps_alive(&fields),
        framing,
        fields,
    })
}

/// Parses the head of a response to any request but HEAD, as [`crate::reading::head`] returns it.
///
/// # Errors
///
/// [`ParseError`] if the head is malformed or its framing fields conflict.
pub fn parse_response(head: &Bytes) -> Parsed<ResponseHead> {
    parse_response_head(head, |status| {
        status >= 200 && status != 204 && status != 304
    })
}

/// Parses the head of a response to a HEAD request. No body follows it: its framing fields describe the body of the
/// response to a GET request.
///
/// # Errors
///
/// [`ParseError`] if the head is malformed.
pub fn parse_response_to_head(head: &Bytes) -> Parsed<ResponseHead> {
    parse_response_head(head, |_| false)
}

/// Parses the head of a response; `has_body`: whether a body follows a response with this status.
fn parse_response_head(head: &Bytes, has_body: impl Fn(u16) -> bool) -> Parsed<ResponseHead> {
    let (first, fields) = split(head)?;
    let mut elements = first.splitn(3, |&byte| byte == b' ');
    let version = Version::parse(elements.next().unwrap_or_default())?;
    let status = parse_status(elements.next().unwrap_or_default())?;
    let has_body = has_body(status);
    let framing = if has_body {
        fields.framing()?.unwrap_or(Framing::ToEnd)
    } else {
        Framing::Length(0)
    };
    Ok(ResponseHead {
        status,
        keep_alive: version.keeps_alive(&fields) && framing != Framing::ToEnd,
        has_body,
        framing,
        fields,
    })
}

/// Parses a status code of three characters, 100 to 599.
fn parse_status(text: &[u8]) -> Parsed<u16> {
    std::str::from_utf8(text)
        .ok()
        .filter(|text| text.len() == 3)
        .and_then(|text| text.parse().ok())
        .filter(|status| (100..600).contains(status))
        .ok_or(ParseError("status code is not a number from 100 to 599"))
}
