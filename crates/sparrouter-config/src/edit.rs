//! What makes one configuration's text another: ranges that are kept and text between them, so that a change of one
//! tenant of many thousands is told by itself.
use crate::text::MAX_BYTES;
use std::collections::{HashMap, VecDeque};

/// A range of the old text, then new text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Piece {
    /// Bytes of the old text: where the range begins, and how many.
    pub start: usize,
    pub length: usize,
    pub text: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Digests of the text that it changes and of what it makes.
    pub from: u64,
    pub to: u64,
    pub pieces: Vec<Piece>,
}

/// A number for a text, the same in every process and release.
pub fn digest_of_text(text: &str) -> u64 {
    sparrouter_rendezvous::hash(text.as_bytes())
}

/// A text in runs, each from one opening brace to the next: items keep theirs where others are added or removed.
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
    pub fn between(old: &str, new: &str) -> Edit {
        let mut places: HashMap<&str, Vec<usize>> = HashMap::new();
        for (at, run) in runs(old) {
            places.entry(run).or_default().push(at);
        }
        let mut pieces: Vec<Piece> = Vec::new();
        // Where the old text goes on after what was kept last.
        let mut next = 0;
        for (_, run) in runs(new) {
            let Some(at) = places.get(run) else {
                if pieces.is_empty() {
                    pieces.push(Piece::default());
                }
                pieces.last_mut().expect("one is there").text.push_str(run);
                continue;
            };
            // The one that comes next, so that ranges stay whole where items are alike.
            let start = at.get(at.partition_point(|a| *a < next)).unwrap_or(&at[0]);
            match pieces
                .last_mut()
                .filter(|p| p.text.is_empty() && p.start + p.length == *start)
            {
                Some(piece) => piece.length += run.len(),
                None => pieces.push(Piece {
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
            pieces,
        }
    }

    /// About how many bytes it takes to tell.
    pub fn size(&self) -> usize {
        self.pieces.iter().map(|p| p.text.len() + 16).sum::<usize>() + 24
    }

    /// The new text; None where `old` is another than it was made from, or what comes out another than was meant.
    pub fn apply(&self, old: &str) -> Option<String> {
        if digest_of_text(old) != self.from {
            return None;
        }
        let mut new = String::new();
        for piece in &self.pieces {
            let kept = old.get(piece.start..piece.start.checked_add(piece.length)?)?;
            // A range may be named again and again.
            if new.len() + kept.len() + piece.text.len() > MAX_BYTES * 2 {
                return None;
            }
            new.push_str(kept);
            new.push_str(&piece.text);
        }
        (digest_of_text(&new) == self.to).then_some(new)
    }
}

/// Most changes that are kept, and most bytes of them.
const MOST_EDITS: usize = 32;
const MOST_BYTES: usize = 256 << 10;

/// The last changes of a text.
#[derive(Debug, Default)]
pub struct Edits(VecDeque<Edit>);

impl Edits {
    pub fn add(&mut self, old: &str, new: &str) {
        let edit = Edit::between(old, new);
        // Half of the text is no saving: whoever has an older one is told it whole.
        if edit.size() > new.len() / 2 {
            return self.0.clear();
        }
        self.0.push_back(edit);
        while self.0.len() > MOST_EDITS || self.0.iter().map(Edit::size).sum::<usize>() > MOST_BYTES
        {
            self.0.pop_front();
        }
    }

    /// What leads from the text with one digest to that with the other, in order; None where that is not known here.
    pub fn since(&self, from: u64, to: u64) -> Option<Vec<&Edit>> {
        if from == to {
            return Some(Vec::new());
        }
        let mut at = from;
        let mut edits = Vec::new();
        let begin = self.0.iter().rposition(|e| e.from == from)?;
        for edit in self.0.range(begin..) {
            if edit.from != at {
                return None;
            }
            at = edit.to;
            edits.push(edit);
        }
        (at == to).then_some(edits)
    }
}
