//! The most recent edits of the configuration's text, from which a node with an older text is sent only the difference.
use crate::edit::Edit;
use std::collections::VecDeque;

/// Largest number of edits in a history.
const MAX_EDITS: usize = 32;
/// Largest approximate total size of the encoded edits of a history, in bytes: 256 KiB.
const MAX_EDIT_BYTES: usize = 256 << 10;

/// The most recent edits of a text, oldest first. Their number and total size are bounded.
#[derive(Debug, Default)]
pub struct EditHistory(VecDeque<Edit>);

impl EditHistory {
    /// Adds the edit from `old` to `new`. If the edit is larger than half of the new text, all edits are dropped instead, and
    /// nodes with an older text are sent the complete new text.
    pub fn add(&mut self, old: &str, new: &str) {
        let edit = Edit::between(old, new);
        if edit.size() > new.len() / 2 {
            self.0.clear();
            return;
        }
        self.0.push_back(edit);
        while self.0.len() > MAX_EDITS || self.size() > MAX_EDIT_BYTES {
            self.0.pop_front();
        }
    }

    /// Approximate total size of the encoded edits, in bytes.
    fn size(&self) -> usize {
        self.0.iter().map(Edit::size).sum()
    }

    /// The edits that turn the text with digest `from` into the text with digest `to`, in order. `None` if the history does not
    /// contain all of them.
    pub fn edits_between(&self, from: u64, to: u64) -> Option<Vec<&Edit>> {
        if from == to {
            return Some(Vec::new());
        }
        let first = self.0.iter().rposition(|edit| edit.from == from)?;
        let mut digest = from;
        let mut edits = Vec::new();
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
