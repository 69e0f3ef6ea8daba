//! Server directives: announcements of the rollout lease holder to all nodes.
use crate::changes::{RecordKey, Urgency};
use crate::record_table::Record;
use nanoserde::{DeBin, SerBin};

/// An announcement about one server, for example that it is loading new weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ServerDirective {
    /// Subject of the directive: kind, server and model, such as `load/i-7f3a91c2/model`.
    pub key: String,
    /// Fencing token of the lease holder; orders the directives under one key.
    pub fencing_token: u64,
    /// Sequence number assigned by the lease holder; orders its directives with one fencing token.
    pub sequence: u64,
    /// Version of the weights; 0 if the directive has none.
    pub version: u64,
    /// Whether the directive was withdrawn. A withdrawn directive is kept as a tombstone until its retention ends.
    pub withdrawn: bool,
}

impl Record for ServerDirective {
    fn key(&self) -> &str {
        &self.key
    }

    fn record_key(&self) -> RecordKey {
        RecordKey::Directive(self.key.clone())
    }

    /// The directive with the higher fencing token wins; with equal tokens, the directive with the higher sequence number.
    /// Directives of a replaced lease holder are thus ignored.
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
