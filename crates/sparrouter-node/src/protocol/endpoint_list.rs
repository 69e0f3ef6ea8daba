//! Discovery's lists: the whole, or what changed.
use super::json::Reader;
use super::{MAX_LINE, ParseError, Parsed};
use bytes::BytesMut;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub pod_group: i64,
    pub state: String,
    #[serde(default = "full")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: u64,
}

fn full() -> f64 {
    1.0
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct ListUpdate {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

fn target(r: &mut Reader) -> Parsed<Target> {
    let (mut uid, mut endpoint, mut state) = (None, None, None);
    let (mut az, mut model) = (String::new(), String::new());
    let (mut pod_group, mut capacity_hint, mut boot_ms) = (0, full(), 0);
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

/// What a stream of lists comes apart into.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// One whole JSON value, or what stands in its place.
    Value(BytesMut),
    /// An empty line, by which a quiet discovery shows that it is there.
    Empty,
    /// More has to be read first.
    Incomplete,
}

/// Cuts the text where a value ends: lists may come indented, so that a line's end alone says nothing.
#[derive(Debug, Default)]
pub struct FrameSplitter {
    at: usize,
    depth: usize,
    string: bool,
    escaped: bool,
}

impl FrameSplitter {
    pub fn next(&mut self, text: &mut BytesMut) -> Parsed<Frame> {
        while let Some(&byte) = text.get(self.at) {
            self.at += 1;
            match byte {
                b'\n' if self.string => return Err(ParseError("json: line break in a string")),
                _ if self.escaped => self.escaped = false,
                b'\\' if self.string => self.escaped = true,
                b'"' => self.string = !self.string,
                _ if self.string => {}
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
        if text.len() > MAX_LINE {
            Err(ParseError("line of discovery too long"))
        } else {
            Ok(Frame::Incomplete)
        }
    }

    /// Up to where it was read: also what is left at the end of the text.
    pub fn rest(&mut self, text: &mut BytesMut) -> Frame {
        let value = text.split_to(self.at);
        *self = FrameSplitter::default();
        if value.trim_ascii().is_empty() {
            Frame::Empty
        } else {
            Frame::Value(value)
        }
    }
}

/// One line of a watch, or the whole answer of a plain call.
pub fn parse(line: &[u8]) -> Parsed<ListUpdate> {
    let text = std::str::from_utf8(line).map_err(|_| ParseError("line is not UTF-8"))?;
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
