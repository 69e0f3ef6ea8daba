//! The changes between two revisions of a membership table, as a poll answers with them.
use crate::changes::RecordKey;
use crate::{MembershipTable, NodeRecord, ServerDirective, ServerRecord};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;

/// What changed since a revision, or everything.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct MembershipDelta {
    /// Identifies the [`MembershipTable`] that the revision belongs to: a restarted process counts from 0 again.
    pub epoch: u64,
    /// The revision that this delta leads to.
    pub revision: u64,
    /// Records of servers.
    pub servers: Seq<ServerRecord>,
    /// Records of nodes.
    pub nodes: Seq<NodeRecord>,
    /// Server directives.
    pub directives: Seq<ServerDirective>,
}

impl MembershipDelta {
    /// Whether it contains no record.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.nodes.is_empty() && self.directives.is_empty()
    }

    /// Adds the record under `key`, as it stands in the table.
    pub(crate) fn push(&mut self, key: &RecordKey, table: &MembershipTable) {
        match key {
            RecordKey::Server(id) => self.servers.extend(table.server(id).cloned()),
            RecordKey::Node(name) => self.nodes.extend(table.node(name).cloned()),
            RecordKey::Directive(key) => self.directives.extend(table.directive(key).cloned()),
        }
    }
}
