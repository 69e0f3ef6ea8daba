//! The last edits of the configuration's text, so that a node with an older text is sent the difference only.
use crate::edit::Edit;
use std::collections::VecDeque;

/// Largest number of edits in a history.
const MAX_EDITS: usize = 32;
/// Largest number of bytes that the edits of a history take on the wire together: 256 KiB.
const MAX_EDIT_BYTES: usize = 256 << 10;

/// The last edits of a text, oldest first; bounded.
#[derive(Debug, Default)]
pub struct EditHistory(VecDeque<Edit>);

impl EditHistory {
    /// Adds the edit from `old` to `new`. If it would save less than half of the text, all edits are dropped instead: nodes
    /// with an older text are then sent the complete new one.
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

    /// Bytes that all edits take on the wire.
    fn size(&self) -> usize {
        self.0.iter().map(Edit::size).sum()
    }

    /// The edits that lead from the text with the digest `from` to the one with the digest `to`, in order. `None` if they
    /// are not all in the history.
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
