//! Server directives: what the holder of a rollout lease announces to all nodes.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::Record;
use nanoserde::{DeBin, SerBin};

/// One directive, such as that a server is loading new weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerDirective {
    /// What it is about: kind, server and model, such as `load/i-7f3a91c2/model`.
    pub key: String,
    /// Fencing token of the lease holder; orders the directives under one key.
    pub fencing_token: u64,
    /// The lease holder's own count; orders its directives under one fencing token.
    pub sequence: u64,
    /// The version of the weights; 0 if there is none.
    pub version: u64,
    /// It does not apply any more. The directive remains as a tombstone for a while, then it is dropped.
    pub withdrawn: bool,
}

impl Record for ServerDirective {
    fn key(&self) -> &str {
        &self.key
    }

    fn record_key(&self) -> RecordKey {
        RecordKey::Directive(self.key.clone())
    }

    /// The directive with the higher fencing token wins; of two with the same, the one with the higher sequence. A lease
    /// holder that was replaced thereby changes nothing.
    fn merge(&self, update: ServerDirective) -> Option<ServerDirective> {
        let is_newer =
            (update.fencing_token, update.sequence) > (self.fencing_token, self.sequence);
        is_newer.then_some(update)
    }

    fn urgency(&self) -> Urgency {
        Urgency::Immediate
    }

    fn retention_periods(&self) -> Option<u64> {
        self.withdrawn.then_some(1)
    }
}
