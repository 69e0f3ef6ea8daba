//! The changes between two revisions of a membership table: the response to a poll.
use crate::changes::RecordKey;
use crate::{MembershipTable, NodeRecord, ServerDirective, ServerRecord};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;

/// The records that changed since a revision, or all records.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct MembershipDelta {
    /// Epoch of the [`MembershipTable`] that the revision belongs to. A restarted process has a new epoch and counts revisions
    /// from 0 again.
    pub epoch: u64,
    /// The revision up to which this delta contains all changes.
    pub revision: u64,
    /// Server records that changed.
    pub servers: Seq<ServerRecord>,
    /// Node records that changed.
    pub nodes: Seq<NodeRecord>,
    /// Server directives that changed.
    pub directives: Seq<ServerDirective>,
}

impl MembershipDelta {
    /// Whether the delta contains no record.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.nodes.is_empty() && self.directives.is_empty()
    }

    /// Adds the table's current record under `key`.
    pub(crate) fn push(&mut self, key: &RecordKey, table: &MembershipTable) {
        match key {
            RecordKey::Server(id) => self.servers.extend(table.server(id).cloned()),
            RecordKey::Node(name) => self.nodes.extend(table.node(name).cloned()),
            RecordKey::Directive(key) => self.directives.extend(table.directive(key).cloned()),
        }
    }
}
