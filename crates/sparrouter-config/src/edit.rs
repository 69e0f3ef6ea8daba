//! The difference between two texts of the configuration: ranges copied from the old text, and inserted new text. A change
//! of one tenant among many thousands is sent to other nodes as a few hundred bytes.
use crate::json::MAX_BYTES;
use std::collections::HashMap;

/// A range to copy from the old text, followed by new text to insert.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hunk {
    /// Offset of the range in the old text, in bytes.
    pub start: usize,
    /// Length of the range in bytes, 0 or more.
    pub length: usize,
    /// Text to insert after the range.
    pub text: String,
}

impl Hunk {
    /// The offset in the old text after the range.
    fn end(&self) -> usize {
        self.start + self.length
    }
}

/// Instructions that turn an old text into a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Digest of the old text.
    pub from: u64,
    /// Digest of the new text.
    pub to: u64,
    /// The ranges and insertions, in the order of the new text.
    pub hunks: Vec<Hunk>,
}

/// Approximate size of an encoded hunk without its text, in bytes.
const HUNK_BYTES: usize = 16;
/// Approximate size of an encoded edit without its hunks, in bytes.
const EDIT_BYTES: usize = 24;
/// Largest size in bytes of a text that an edit may result in.
const MAX_RESULT_BYTES: usize = MAX_BYTES * 2;

/// A hash of a text, identical in every process and release.
pub fn digest_of_text(text: &str) -> u64 {
    sparrouter_rendezvous::hash(text.as_bytes())
}

/// Splits a text into segments, each from one opening brace to the next, with its offset in bytes. The segments of a list's
/// item stay the same when other items are added or removed.
fn segments(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let next_brace = rest.bytes().skip(1).position(|byte| byte == b'{');
        let length = next_brace.map_or(rest.len(), |skipped| skipped + 1);
        let segment = (start, &rest[..length]);
        start += length;
        Some(segment)
    })
}

/// Among the offsets of equal segments, returns the first at or after `min_offset`, so that adjacent segments form one range
/// even if items are alike; the lowest offset if there is none. `offsets` is in ascending order and not empty.
fn first_offset_from(offsets: &[usize], min_offset: usize) -> usize {
    let index = offsets.partition_point(|offset| *offset < min_offset);
    offsets.get(index).copied().unwrap_or(offsets[0])
}

impl Edit {
    /// Computes the edit that turns `old` into `new`, in time proportional to the length of both.
    pub fn between(old: &str, new: &str) -> Edit {
        let mut old_offsets: HashMap<&str, Vec<usize>> = HashMap::new();
        for (offset, segment) in segments(old) {
            old_offsets.entry(segment).or_default().push(offset);
        }
        let mut hunks: Vec<Hunk> = Vec::new();
        // Offset in the old text after the last copied range.
        let mut next_offset = 0;
        for (_, segment) in segments(new) {
            let Some(offsets) = old_offsets.get(segment) else {
                push_text(&mut hunks, segment);
                continue;
            };
            let start = first_offset_from(offsets, next_offset);
            push_range(&mut hunks, start, segment.len());
            next_offset = start + segment.len();
        }
        Edit {
            from: digest_of_text(old),
            to: digest_of_text(new),
            hunks,
        }
    }

    /// Approximate size of the encoded edit, in bytes.
    pub fn size(&self) -> usize {
        let hunk_bytes = self.hunks.iter().map(|hunk| hunk.text.len() + HUNK_BYTES);
        hunk_bytes.sum::<usize>() + EDIT_BYTES
    }

    /// Applies the edit and returns the new text. `None` if `old` has another digest than the edit's old text, a range is out
    /// of bounds, the result is too large, or the result does not have the expected digest.
    pub fn apply(&self, old: &str) -> Option<String> {
        if digest_of_text(old) != self.from {
            return None;
        }
        let mut new = String::new();
        for hunk in &self.hunks {
            let end = hunk.start.checked_add(hunk.length)?;
            let range = old.get(hunk.start..end)?;
            // A hostile edit could repeat a range any number of times.
            if new.len() + range.len() + hunk.text.len() > MAX_RESULT_BYTES {
                return None;
            }
            new.push_str(range);
            new.push_str(&hunk.text);
        }
        (digest_of_text(&new) == self.to).then_some(new)
    }
}

/// Appends text to insert.
fn push_text(hunks: &mut Vec<Hunk>, text: &str) {
    match hunks.last_mut() {
        Some(hunk) => hunk.text.push_str(text),
        None => hunks.push(Hunk {
            text: text.to_owned(),
            ..Hunk::default()
        }),
    }
}

/// Appends a range of the old text. A range that continues the range of the last hunk is merged into that hunk.
fn push_range(hunks: &mut Vec<Hunk>, start: usize, length: usize) {
    match hunks.last_mut() {
        Some(hunk) if hunk.text.is_empty() && hunk.end() == start => hunk.length += length,
        _ => hunks.push(Hunk {
            start,
            length,
            text: String::new(),
        }),
    }
}
