//! The endpoint list as discovery writes it: the full list, or what changed.
use super::json::Reader;
use super::{MAX_UPDATE, ParseError, Parsed};
use bytes::BytesMut;
use serde::Deserialize;
use std::net::SocketAddr;

/// A cache server or the origin.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its id, which no other server ever has.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its availability zone.
    #[serde(default)]
    pub az: String,
    /// Its kind, as the settings name it.
    #[serde(default)]
    pub model: String,
    /// Servers of one group share a failure domain.
    #[serde(default)]
    pub pod_group: i64,
    /// Its lifecycle state, as discovery names it.
    pub state: String,
    /// Its capacity relative to others; 1 without the field.
    #[serde(default = "full_capacity")]
    pub capacity_hint: f64,
    /// When it started, in milliseconds since 1970; 0 where that is not known.
    #[serde(default)]
    pub boot_ms: u64,
}

fn full_capacity() -> f64 {
    1.0
}

/// The full list, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ListUpdate {
    /// Version of the list.
    pub rev: u64,
    /// It is the full list: what it does not name has left.
    pub all: bool,
    /// The servers.
    pub targets: Vec<Target>,
}

fn target(r: &mut Reader) -> Parsed<Target> {
    let (mut uid, mut endpoint, mut state) = (None, None, None);
    let (mut az, mut model) = (String::new(), String::new());
    let (mut pod_group, mut capacity_hint, mut boot_ms) = (0, full_capacity(), 0);
    r.object(|r, name| {
        match name {
            "uid" => uid = Some(r.string()?.into_owned()),
            "endpoint" => endpoint = Some(r.string()?.parse().map_err(|_| ParseError("endpoint"))?),
            "state" => state = Some(r.string()?.into_owned()),
            "az" => az = r.string()?.into_owned(),
            "model" => model = r.string()?.into_owned(),
            "pod_group" => pod_group = r.number()? as i64,
            "capacity_hint" => capacity_hint = r.number()?,
            "boot_ms" => boot_ms = r.number()? as u64,
            _ => r.skip()?,
        }
        Ok(())
    })?;
    let uid = uid.ok_or(ParseError("target without uid"))?;
    let endpoint = endpoint.ok_or(ParseError("target without endpoint"))?;
    let state = state.ok_or(ParseError("target without state"))?;
    Ok(Target {
        uid,
        endpoint,
        az,
        model,
        pod_group,
        state,
        capacity_hint,
        boot_ms,
    })
}

/// What a stream of updates is split into.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// One complete JSON value, or what is there instead.
    Value(BytesMut),
    /// An empty line, by which an idle discovery shows that it is there.
    Empty,
    /// More has to be read first.
    Incomplete,
}

/// Splits the text where a value ends: updates may be indented, so that the end of a line alone says nothing.
#[derive(Debug, Default)]
pub struct FrameSplitter {
    /// How much of the text has been looked at.
    offset: usize,
    /// Open braces and brackets.
    depth: usize,
    /// The offset is within a string, and behind a backslash there.
    is_string: bool,
    is_escaped: bool,
}

impl FrameSplitter {
    /// The next frame, split off the text.
    ///
    /// # Errors
    ///
    /// A line breaks in a string, or a value is longer than `MAX_UPDATE`.
    pub fn next(&mut self, text: &mut BytesMut) -> Parsed<Frame> {
        while let Some(&byte) = text.get(self.offset) {
            self.offset += 1;
            match byte {
                b'\n' if self.is_string => return Err(ParseError("json: line break in a string")),
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' if self.is_string => self.is_escaped = true,
                b'"' => self.is_string = !self.is_string,
                _ if self.is_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return Ok(self.rest(text));
                    }
                }
                b'\n' if self.depth == 0 => return Ok(self.rest(text)),
                _ => {}
            }
        }
        if text.len() > MAX_UPDATE {
            Err(ParseError("line of discovery too long"))
        } else {
            Ok(Frame::Incomplete)
        }
    }

    /// What has been looked at, as a frame: also what remains at the end of the text.
    pub fn rest(&mut self, text: &mut BytesMut) -> Frame {
        let value = text.split_to(self.offset);
        *self = FrameSplitter::default();
        if value.trim_ascii().is_empty() {
            Frame::Empty
        } else {
            Frame::Value(value)
        }
    }
}

/// Reads one update of a subscription, or the answer to a call for the full list.
///
/// # Errors
///
/// It is malformed, or lacks a required field.
pub fn parse(update: &[u8]) -> Parsed<ListUpdate> {
    let text = std::str::from_utf8(update).map_err(|_| ParseError("line is not UTF-8"))?;
    let mut r = Reader::new(text);
    let (mut rev, mut all, mut targets) = (None, false, None);
    r.object(|r, name| {
        match name {
            "rev" => rev = Some(r.number()? as u64),
            "all" => all = r.boolean()?,
            "targets" => {
                let mut list = Vec::new();
                r.array(|r| {
                    list.push(target(r)?);
                    Ok(())
                })?;
                targets = Some(list);
            }
            _ => r.skip()?,
        }
        Ok(())
    })?;
    r.end()?;
    let rev = rev.ok_or(ParseError("list without rev"))?;
    Ok(ListUpdate {
        rev,
        all,
        targets: targets.ok_or(ParseError("list without targets"))?,
    })
}
