//! The difference between two texts of the configuration: ranges of the old text that stay, and new text between them. A
//! change of one tenant among many thousands is sent to other nodes as a few hundred bytes.
use crate::json::MAX_BYTES;
use std::collections::HashMap;

/// A range of the old text, followed by new text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hunk {
    /// Where the range begins in the old text, in bytes.
    pub start: usize,
    /// Length of the range in bytes; may be 0.
    pub length: usize,
    /// New text behind the range.
    pub text: String,
}

impl Hunk {
    /// The offset in the old text behind the range.
    fn end(&self) -> usize {
        self.start + self.length
    }
}

/// How to make one text from another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Digest of the old text.
    pub from: u64,
    /// Digest of the new text.
    pub to: u64,
    /// The new text, in order.
    pub hunks: Vec<Hunk>,
}

/// Bytes that a hunk takes on the wire beside its text.
const HUNK_BYTES: usize = 16;
/// Bytes that an edit takes on the wire beside its hunks.
const EDIT_BYTES: usize = 24;
/// Longest text in bytes that an edit may result in.
const MAX_RESULT_BYTES: usize = MAX_BYTES * 2;

/// A hash of a text: the same in every process and release.
pub fn digest_of_text(text: &str) -> u64 {
    sparrouter_rendezvous::hash(text.as_bytes())
}

/// Cuts a text into runs, each from one opening brace to the next, with its offset in bytes. An item of a list has the same
/// runs when others are added or removed.
fn runs(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let next_brace = rest.bytes().skip(1).position(|byte| byte == b'{');
        let length = next_brace.map_or(rest.len(), |skipped| skipped + 1);
        let run = (start, &rest[..length]);
        start += length;
        Some(run)
    })
}

/// The offset of the first of some equal runs at or behind `next`, so that ranges stay complete where items are alike; the
/// first one if there is none. `offsets`: in ascending order, at least one.
fn offset_from(offsets: &[usize], next: usize) -> usize {
    let index = offsets.partition_point(|offset| *offset < next);
    offsets.get(index).copied().unwrap_or(offsets[0])
}

impl Edit {
    /// Finds how to make `new` from `old`. Takes time proportional to the length of both.
    pub fn between(old: &str, new: &str) -> Edit {
        let mut old_offsets: HashMap<&str, Vec<usize>> = HashMap::new();
        for (offset, run) in runs(old) {
            old_offsets.entry(run).or_default().push(offset);
        }
        let mut hunks: Vec<Hunk> = Vec::new();
        // Where the old text continues behind the range that was used last.
        let mut next = 0;
        for (_, run) in runs(new) {
            let Some(offsets) = old_offsets.get(run) else {
                push_text(&mut hunks, run);
                continue;
            };
            let start = offset_from(offsets, next);
            push_range(&mut hunks, start, run.len());
            next = start + run.len();
        }
        Edit {
            from: digest_of_text(old),
            to: digest_of_text(new),
            hunks,
        }
    }

    /// About how many bytes the edit takes on the wire.
    pub fn size(&self) -> usize {
        let hunk_bytes = self.hunks.iter().map(|hunk| hunk.text.len() + HUNK_BYTES);
        hunk_bytes.sum::<usize>() + EDIT_BYTES
    }

    /// Makes the new text. `None` if `old` is not the text that the edit was made from, if a range lies outside of it, or
    /// if the result does not have the expected digest.
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

/// Appends new text.
fn push_text(hunks: &mut Vec<Hunk>, text: &str) {
    match hunks.last_mut() {
        Some(hunk) => hunk.text.push_str(text),
        None => hunks.push(Hunk {
            text: text.to_owned(),
            ..Hunk::default()
        }),
    }
}

/// Appends a range of the old text: to the last hunk if the range continues that one's.
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
