//! The difference between two texts of the configuration: ranges of the old text that are kept, and new text between
//! them. A change of one tenant among many thousands is sent to other nodes as a few hundred bytes.
use crate::json::MAX_BYTES;
use std::collections::{HashMap, VecDeque};

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

/// A hash of a text: the same in every process and release.
pub fn digest_of_text(text: &str) -> u64 {
    sparrouter_rendezvous::hash(text.as_bytes())
}

/// Cuts a text into runs, each from one opening brace to the next, with its offset. An item of a list keeps its runs when
/// others are added or removed.
fn runs(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|r| !r.is_empty())?;
        let end = rest
            .bytes()
            .skip(1)
            .position(|b| b == b'{')
            .map_or(rest.len(), |at| at + 1);
        let run = (start, &rest[..end]);
        start += end;
        Some(run)
    })
}

impl Edit {
    /// Finds how to make `new` from `old`. Takes time proportional to the length of both.
    pub fn between(old: &str, new: &str) -> Edit {
        let mut offsets: HashMap<&str, Vec<usize>> = HashMap::new();
        for (at, run) in runs(old) {
            offsets.entry(run).or_default().push(at);
        }
        let mut pieces: Vec<Hunk> = Vec::new();
        // Where the old text continues behind the range that was kept last.
        let mut next = 0;
        for (_, run) in runs(new) {
            let Some(candidates) = offsets.get(run) else {
                if pieces.is_empty() {
                    pieces.push(Hunk::default());
                }
                pieces.last_mut().expect("one is there").text.push_str(run);
                continue;
            };
            // Of several equal runs the next one, so that ranges stay whole where items are alike.
            let start = candidates
                .get(candidates.partition_point(|offset| *offset < next))
                .unwrap_or(&candidates[0]);
            match pieces
                .last_mut()
                .filter(|p| p.text.is_empty() && p.start + p.length == *start)
            {
                Some(piece) => piece.length += run.len(),
                None => pieces.push(Hunk {
                    start: *start,
                    length: run.len(),
                    text: String::new(),
                }),
            }
            next = start + run.len();
        }
        Edit {
            from: digest_of_text(old),
            to: digest_of_text(new),
            hunks: pieces,
        }
    }

    /// About how many bytes the edit takes on the wire.
    pub fn size(&self) -> usize {
        let pieces = self.hunks.iter().map(|p| p.text.len() + PIECE_BYTES);
        pieces.sum::<usize>() + EDIT_BYTES
    }

    /// Makes the new text. `None` if `old` is not the text that the edit was made from, if a range lies outside of it, or
    /// if the result does not have the expected digest.
    pub fn apply(&self, old: &str) -> Option<String> {
        if digest_of_text(old) != self.from {
            return None;
        }
        let mut new = String::new();
        for piece in &self.hunks {
            let kept = old.get(piece.start..piece.start.checked_add(piece.length)?)?;
            // A hostile edit could repeat a range any number of times.
            if new.len() + kept.len() + piece.text.len() > MAX_RESULT_BYTES {
                return None;
            }
            new.push_str(kept);
            new.push_str(&piece.text);
        }
        (digest_of_text(&new) == self.to).then_some(new)
    }
}

/// Bytes on the wire of a piece beside its text, and of an edit beside its pieces.
const PIECE_BYTES: usize = 16;
const EDIT_BYTES: usize = 24;
/// Longest text that an edit may result in.
const MAX_RESULT_BYTES: usize = MAX_BYTES * 2;
/// Most edits that are kept, and most bytes of them on the wire.
const MAX_EDITS: usize = 32;
const MAX_EDIT_BYTES: usize = 256 << 10;

/// The last edits of a text, oldest first; bounded.
#[derive(Debug, Default)]
pub struct EditHistory(VecDeque<Edit>);

impl EditHistory {
    /// Adds the edit from `old` to `new`. If it would save less than half of the text, all edits are dropped instead: nodes
    /// with an older text then get the new one whole.
    pub fn add(&mut self, old: &str, new: &str) {
        let edit = Edit::between(old, new);
        if edit.size() > new.len() / 2 {
            return self.0.clear();
        }
        self.0.push_back(edit);
        while self.0.len() > MAX_EDITS
            || self.0.iter().map(Edit::size).sum::<usize>() > MAX_EDIT_BYTES
        {
            self.0.pop_front();
        }
    }

    /// The edits that lead from the text with the digest `from` to the one with the digest `to`, in order. `None` if they
    /// are not all kept.
    pub fn edits_between(&self, from: u64, to: u64) -> Option<Vec<&Edit>> {
        if from == to {
            return Some(Vec::new());
        }
        let mut digest = from;
        let mut edits = Vec::new();
        let first = self.0.iter().rposition(|e| e.from == from)?;
        for edit in self.0.range(first..) {
            if edit.from != digest {
                return None;
            }
            digest = edit.to;
            edits.push(edit);
        }
        (digest == to).then_some(edits)
    }
}
