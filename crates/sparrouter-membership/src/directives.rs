//! Short words of whoever holds a duty, for all nodes: the newest by fencing token and number wins.
use nanoserde::{DeBin, SerBin};

/// What the holder of a duty tells of one thing: that a server is taking new weights, say.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Note {
    /// Kind and name, such as `load/i-7f3a91c2`.
    pub key: String,
    /// Fencing token of the holder, then its own count: the order of notes under one key.
    pub fence: u64,
    pub number: u64,
    pub value: u64,
    /// Over: kept as a tombstone for a while, then dropped.
    pub over: bool,
}

impl Note {
    pub(crate) fn newer(&self, than: &Note) -> bool {
        (self.fence, self.number) > (than.fence, than.number)
    }
}
