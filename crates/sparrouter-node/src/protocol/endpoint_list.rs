//! Parser for the endpoint list in discovery's format: the full list, or changes to it.
use super::json::Reader;
use super::{MAX_UPDATE, ParseError, Parsed};
use bytes::BytesMut;
use serde::Deserialize;
use std::net::SocketAddr;

/// An entry of the endpoint list: a cache server or the origin.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Unique id of the server, never reused.
    pub uid: String,
    /// Address of the server.
    pub endpoint: SocketAddr,
    /// Availability zone of the server.
    #[serde(default)]
    pub az: String,
    /// Kind of the server, as named in the settings.
    #[serde(default)]
    pub model: String,
    /// Failure domain within the zone.
    #[serde(default)]
    pub pod_group: i64,
    /// Lifecycle state, as named by discovery.
    pub state: String,
    /// Capacity relative to other servers; 1 if the field is missing.
    #[serde(default = "full_capacity")]
    pub capacity_hint: f64,
    /// Start time in milliseconds since 1970; 0 if unknown.
    #[serde(default)]
    pub boot_ms: u64,
}

fn full_capacity() -> f64 {
    1.0
}

/// The full endpoint list, or changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ListUpdate {
    /// Version of the list.
    pub rev: u64,
    /// Whether this is the full list, in which a missing server has left.
    pub all: bool,
    /// The listed servers.
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

/// A unit of the update stream.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// The bytes of one value, which may be malformed JSON.
    Value(BytesMut),
    /// An empty line, which an idle discovery sends as a heartbeat.
    Empty,
    /// The next unit is not complete yet.
    Incomplete,
}

/// Splits a stream of JSON values at their ends. Updates may be indented, so a line end does not mark the end of a
/// value.
#[derive(Debug, Default)]
pub struct FrameSplitter {
    /// Number of bytes already scanned.
    offset: usize,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the offset is within a string.
    in_string: bool,
    /// Whether the previous byte is a backslash that escapes the next byte of a string.
    is_escaped: bool,
}

impl FrameSplitter {
    /// Splits the next frame off the start of `text`.
    ///
    /// # Errors
    ///
    /// A string contains a line break, or a value is longer than `MAX_UPDATE`.
    pub fn next(&mut self, text: &mut BytesMut) -> Parsed<Frame> {
        while let Some(&byte) = text.get(self.offset) {
            self.offset += 1;
            match byte {
                b'\n' if self.in_string => return Err(ParseError("json: line break in a string")),
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' if self.in_string => self.is_escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
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

    /// Returns the scanned bytes as a frame; at the end of the stream this is its incomplete last value.
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

/// Parses one update of a subscription, or the answer to a request for the full list.
///
/// # Errors
///
/// The update is malformed or lacks a required field.
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
