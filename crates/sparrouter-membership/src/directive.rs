//! Server directives: what the holder of a rollout lease announces to all nodes. The newest by fencing token and number
//! wins.
use nanoserde::{DeBin, SerBin};

/// One directive, such as that a server is loading new weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerDirective {
    /// What it is about: kind, server and model, such as `load/i-7f3a91c2/model`.
    pub key: String,
    /// Fencing token of the lease holder; orders the directives under one key.
    pub fencing_token: u64,
    /// The holder's own count; orders its directives under one fencing token.
    pub sequence: u64,
    /// The version of the weights; 0 if there is none.
    pub version: u64,
    /// It does not apply any more. Kept as a tombstone for a while, then dropped.
    pub withdrawn: bool,
}

impl ServerDirective {
    /// Whether this directive replaces the other one under the same key.
    pub(crate) fn supersedes(&self, than: &ServerDirective) -> bool {
        (self.fencing_token, self.sequence) > (than.fencing_token, than.sequence)
    }
}
