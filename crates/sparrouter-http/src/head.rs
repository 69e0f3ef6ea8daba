//! Heads of HTTP/1.1 messages: slices of the buffer that they were read into.
use crate::{Bad, Parsed};
use bytes::Bytes;

/// How long the body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

#[derive(Clone, Debug)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// All fields in the order of the message, names as they came.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.0.iter().map(|(n, v)| (n, v))
    }
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, v)| v)
    }
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| std::str::from_utf8(v).ok())
    }
    /// Whether a comma-separated field holds this word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let all = self
            .0
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        all.flat_map(|(_, v)| v.split(|&b| b == b','))
            .any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// None where neither a length nor chunks are given. Two statements that disagree are an attack or
    /// a fault: what one side takes for a body the other would take for the next message.
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
            return Err(Bad("more than one length or transfer-encoding"));
        }
        match (length, self.get("transfer-encoding")) {
            (Some(_), Some(_)) => Err(Bad("content-length beside transfer-encoding")),
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_)) => Err(Bad("unknown transfer-encoding")),
            (Some((_, v)), None) => {
                let digits = !v.is_empty() && v.iter().all(u8::is_ascii_digit);
                let text = std::str::from_utf8(v).ok().filter(|_| digits);
                let length = text
                    .and_then(|t| t.parse().ok())
                    .ok_or(Bad("content-length is no number"))?;
                Ok(Some(Framing::Length(length)))
            }
        }
    }
}

/// How every answer begins.
pub const REPLY: &[u8] = b"HTTP/1.";

/// Where a head ends, past its empty line.
pub fn end(buffer: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    buffer
        .get(from..)?
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| from + at + 4)
}

fn token(text: &[u8]) -> bool {
    !text.is_empty()
        && text
            .iter()
            .all(|&b| b.is_ascii_graphic() && !b"\"(),/:;<=>?@[\\]{}".contains(&b))
}

/// The first line and the fields behind it.
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
    let first = lines.next().ok_or(Bad("empty head"))?;
    let field = |line: Bytes| {
        let colon = line
            .iter()
            .position(|&b| b == b':')
            .ok_or(Bad("field without a colon"))?;
        let value = line[colon + 1..].trim_ascii();
        let plain = value.iter().all(|&b| b == b'\t' || b >= b' ' && b != 0x7f);
        if !token(&line[..colon]) || !plain {
            return Err(Bad("field with forbidden characters"));
        }
        Ok((line.slice(..colon), line.slice_ref(value)))
    };
    Ok((first, Fields(lines.map(field).collect::<Parsed<_>>()?)))
}

fn version(text: &[u8]) -> Parsed<bool> {
    match text {
        b"HTTP/1.1" => Ok(true),
        b"HTTP/1.0" => Ok(false),
        _ => Err(Bad("unknown version")),
    }
}

fn keeps(newer: bool, fields: &Fields) -> bool {
    if newer {
        !fields.lists("connection", "close")
    } else {
        fields.lists("connection", "keep-alive")
    }
}

/// What a client asks.
#[derive(Clone, Debug)]
pub struct CallHead {
    pub method: Bytes,
    pub target: Bytes,
    pub keep: bool,
    pub framing: Framing,
    pub fields: Fields,
}

pub fn call(head: &Bytes) -> Parsed<CallHead> {
    let (first, fields) = split(head)?;
    let mut words = first.split(|&b| b == b' ');
    let (Some(method), Some(target), Some(v), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Bad("first line is not of three words"));
    };
    let plain = target.first() == Some(&b'/') && target.iter().all(u8::is_ascii_graphic);
    if !token(method) || !plain {
        return Err(Bad("method or target"));
    }
    let newer = version(v)?;
    let keep = keeps(newer, &fields);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    if !newer && framing == Framing::Chunked {
        return Err(Bad("transfer-encoding in HTTP/1.0"));
    }
    Ok(CallHead {
        method: first.slice_ref(method),
        target: first.slice_ref(target),
        keep,
        framing,
        fields,
    })
}

/// What a cache server, the origin or discovery answers.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    pub status: u16,
    pub keep: bool,
    pub framing: Framing,
    pub fields: Fields,
}

pub fn reply(head: &Bytes) -> Parsed<ReplyHead> {
    let (first, fields) = split(head)?;
    let mut words = first.splitn(3, |&b| b == b' ');
    let newer = version(words.next().unwrap_or_default())?;
    let status = words
        .next()
        .filter(|s| s.len() == 3)
        .and_then(|s| std::str::from_utf8(s).ok());
    let status = status
        .and_then(|s| s.parse().ok())
        .filter(|s| (100..600).contains(s));
    let status: u16 = status.ok_or(Bad("status"))?;
    let bare = status < 200 || status == 204 || status == 304;
    let framing = if bare {
        Framing::Length(0)
    } else {
        fields.framing()?.unwrap_or(Framing::ToEnd)
    };
    let keep = keeps(newer, &fields) && framing != Framing::ToEnd;
    Ok(ReplyHead {
        status,
        keep,
        framing,
        fields,
    })
}
