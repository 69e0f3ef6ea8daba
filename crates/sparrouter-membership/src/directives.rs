//! Server directives: what the holder of a rollout lease announces to all nodes. The newest by fencing token and number
//! wins.
use nanoserde::{DeBin, SerBin};

/// One directive, such as that a server is loading new weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Note {
    /// What it is about: kind, server and model, such as `load/i-7f3a91c2/model`.
    pub key: String,
    /// Fencing token of the lease holder; orders the directives under one key.
    pub fence: u64,
    /// The holder's own count; orders its directives under one fencing token.
    pub number: u64,
    /// The version of the weights; 0 if there is none.
    pub value: u64,
    /// It does not apply any more. Kept as a tombstone for a while, then dropped.
    pub over: bool,
}

impl Note {
    /// Whether this directive replaces the other one under the same key.
    pub(crate) fn newer(&self, than: &Note) -> bool {
        (self.fence, self.number) > (than.fence, than.number)
    }
}
